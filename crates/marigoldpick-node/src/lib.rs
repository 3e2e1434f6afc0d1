//! A process that accepts jobs made of steps and runs them on a platform's workers.
//!
//! All processes ("entries") run the same code. Each accepts jobs, writes them to the platform's store and
//! can query the placement adviser. One of them is the lead, which schedules the jobs; the entries elect
//! it through a leased key in the store.

pub mod access;
mod admission;
pub mod attempt;
pub mod attestation;
pub mod config;
mod control;
mod dispatch;
mod driver;
pub mod election;
mod explain;
pub mod handover;
pub mod inbox;
pub mod keys;
mod leadership;
pub mod listing;
pub mod member;
mod members;
mod node;
pub mod paths;
pub mod peer_reports;
pub mod phases;
pub mod platform;
mod probe;
pub mod reachability;
pub mod relay;
mod renewal;
mod request;
pub mod retry;
mod serve;
pub mod settings;
mod snapshot;
pub mod standby;
pub mod submission;
mod succession;
mod vacancy;

pub use config::Config;
pub use node::{Handle, Node};
pub use platform::Platform;
pub use settings::Settings;
