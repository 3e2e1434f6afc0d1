//! The entry process: a control thread, traffic threads, and servers for callers and operators.

pub mod carrier;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod error;
pub mod exposition;
pub mod handler;
pub mod operators;
pub mod recorder;
pub mod settings;
pub mod traffic;
pub mod view;

pub use entry::Entry;
pub use error::Error;
pub use settings::Settings;
