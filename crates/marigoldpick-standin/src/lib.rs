//! Small stand-ins of the platform: store, workers, endpoints and VM list on loopback listeners.
//!
//! They take the platform's place in tests and in the `dev` command, cause its failures on demand,
//! and alone count what truly ran.

mod command;
mod cut;
pub mod endpoint;
pub mod fault;
mod fleet;
pub mod http;
pub mod jobs;
pub mod listener;
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
