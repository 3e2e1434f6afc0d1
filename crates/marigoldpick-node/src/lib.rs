//! A process that accepts jobs made of steps and runs them on a platform's workers.
//!
//! All processes ("entries") run the same code. Each accepts jobs, writes them to the platform's store and
//! can query the placement adviser. One of them is the lead, which schedules the jobs; the entries elect
//! it through a leased key in the store.

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
