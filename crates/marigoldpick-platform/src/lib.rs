//! Adapters to the platform: its store, its workers and its list of VMs, over HTTP and JSON.
//!
//! No adapter repeats a call. Each fault tells whether the call may have taken effect: as long as
//! no byte of a request has left it is away, from then on only a whole answer tells what became
//! of it.

pub mod caller;
pub mod exchange;
mod link;
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
/// The header of an answer to a request that was refused unread; its value is `1`.
pub const REFUSED_HEADER: &str = "x-marigold-refused";
