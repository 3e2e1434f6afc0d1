//! The keys in the platform's store.
//!
//! What callers hand in is written by any entry; what becomes of it by the lead alone, each time
//! under the condition that the chain has not moved since its last write. A late write of an earlier
//! lead, or an earlier write of the same one, therefore has no effect.

use marigoldpick_core::prelude::*;

/// The start of all keys that callers' requests write.
pub const INBOX: &str = "marigold/in/";
/// The start of the keys of jobs.
pub const JOBS: &str = "marigold/in/job/";
/// The start of the keys of cancels.
pub const CANCELS: &str = "marigold/in/cancel/";
/// The start of the keys of progress.
pub const RECORDS: &str = "marigold/run/";
/// The key of the entry that leads; it ends with its lease.
pub const LEAD: &str = "marigold/lead";
/// The key that each write of the lead moves on.
pub const CHAIN: &str = "marigold/chain";
/// The start of the keys of entries that live.
pub const ENTRIES: &str = "marigold/entry/";

/// Returns the key of a job.
#[must_use]
pub fn job(id: &id::Job) -> String {
    format!("{JOBS}{id}")
}

/// Returns the key of a cancel.
#[must_use]
pub fn cancel(id: &id::Job) -> String {
    format!("{CANCELS}{id}")
}

/// Returns the key of a job's progress.
#[must_use]
pub fn record(id: &id::Job) -> String {
    format!("{RECORDS}{id}")
}
