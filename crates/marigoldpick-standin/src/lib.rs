//! Simulates the platform on loopback listeners: store, workers, endpoints and VM list.
//!
//! The stand-ins replace the platform in tests and in the `dev` command, inject its failures on
//! demand, and are the only parts that count what actually ran.

mod command;
pub mod endpoint;
pub mod fault;
mod fleet;
pub mod http;
pub mod jobs;
pub mod listener;
mod partition;
pub mod platform;
pub mod relay;
mod seed;
pub mod settings;
mod slot;
pub mod store;
pub mod truth;
mod vms;
mod worker;

pub use fault::Fault;
pub use platform::Platform;
pub use relay::Relay;
pub use settings::Settings;
pub use truth::Truth;
