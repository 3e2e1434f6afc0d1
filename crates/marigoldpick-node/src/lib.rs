//! The process that accepts jobs of steps and runs them on a platform's workers.
//!
//! All processes are equal. Each accepts jobs and writes them to the platform's store; each can put
//! questions to the adviser; one of them leads, which the store settles.

mod ask;
pub mod config;
mod control;
mod desk;
mod dispatch;
mod driver;
pub mod election;
mod face;
mod health;
mod inbox;
pub mod keys;
mod leading;
pub mod member;
mod members;
mod others;
pub mod platform;
pub mod reach;
pub mod relay;
pub mod retry;
pub mod settings;

pub use config::Config;
pub use face::{Face, Node};
pub use platform::Platform;
pub use settings::Settings;
