//! Ownership of shards: logs, leads, leases, membership and take-over.
//!
//! All parts are pure machines: an input and the time go in, outputs come out. The entry makes the
//! store and worker calls that they ask for and hands the results back.

pub mod config;
pub mod counter;
pub mod event;
pub mod gate;
pub mod journal;
pub mod lead;
pub mod membership;
pub mod quota;
pub mod record;
pub mod settings;
pub mod shards;
pub mod trim;

pub use settings::Settings;
