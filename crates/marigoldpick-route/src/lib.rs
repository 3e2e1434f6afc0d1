//! Request placement as pure decisions: slots, choice, queues, retries and once-only records.
//!
//! Nothing here does I/O, reads a clock or draws a number that was not seeded by the caller.

pub mod arbiter;
pub mod back;
pub mod budget;
pub mod holder;
pub mod once;
pub mod queue;
pub mod quorum;
pub mod rank;
pub mod router;

pub use router::Router;
