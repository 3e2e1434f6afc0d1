//! Dispatch of callers' requests as pure decisions: admission, slots, choice of an endpoint,
//! queues, the retry budget and at-most-once records.
//!
//! No code in this crate does I/O, reads a clock or draws a random number that the caller did not
//! seed.

pub mod arbiter;
pub mod budget;
pub mod endpoint;
pub mod holder;
pub mod once;
pub mod queue;
pub mod quorum;
pub mod rank;
pub mod router;

pub use router::Router;
