//! Ownership of shards of workers: logs in the store, leads, leases, membership and takeover.
//!
//! All parts are deterministic state machines without I/O: each takes an input and the current time
//! and returns outputs. The entry makes the store and worker calls that they request and feeds the
//! results back as inputs.

pub mod backoff;
pub mod compaction;
pub mod config;
pub mod counter;
pub mod event;
pub mod journal;
pub mod lead;
pub mod membership;
pub mod quota;
pub mod record;
pub mod settings;
pub mod shards;

pub use settings::Settings;
