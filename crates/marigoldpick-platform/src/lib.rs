//! Provides clients of the platform's store, its workers and its list of VMs, over HTTP and JSON.
//!
//! No client retries a call. Each fault tells whether the call may have taken effect. Before the first
//! byte of a request is sent, a failure is reported as `Away`: nothing was executed. After that, only a
//! complete answer tells the outcome, and a call without one is reported as `Unknown`.

pub mod caller;
mod connection;
pub mod exchange;
mod pool;
pub mod store;
pub mod vm;
pub mod worker;

pub use caller::{Caller, Settings};
pub use store::Store;
pub use vm::Vms;
pub use worker::Workers;

/// The header with the caller's failure domain.
pub const DOMAIN_HEADER: &str = "x-marigold-domain";
/// The header with the calling entry.
pub const ENTRY_HEADER: &str = "x-marigold-entry";
/// The header that marks an answer to a request that was refused unread; its value is `1`.
pub const REFUSED_HEADER: &str = "x-marigold-refused";
