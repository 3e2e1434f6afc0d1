//! The keys in the platform's store.
//!
//! Any entry writes the jobs and cancels that callers submit. Only the lead writes the progress of jobs,
//! each time under the condition that the chain's key has not changed since the lead's last write. Each
//! such write changes that key, which therefore fences delayed writes of an earlier lead and delayed
//! earlier writes of the same one.

use marigoldpick_core::prelude::*;

/// The prefix of all keys that callers' requests write.
pub const INBOX: &str = "marigold/in/";
/// The prefix of the keys of jobs.
pub const JOBS: &str = "marigold/in/job/";
/// The prefix of the keys of cancels.
pub const CANCELS: &str = "marigold/in/cancel/";
/// The prefix of the keys of jobs' records, which hold their progress.
pub const RECORDS: &str = "marigold/run/";
/// The key that names the lead; it is removed when its lease ends.
pub const LEAD: &str = "marigold/lead";
/// The key that each write of the lead changes, and that conditions the next write.
pub const CHAIN: &str = "marigold/chain";
/// The prefix of the keys of the parts of the roster, which name the workers that may have runs.
pub const ROSTER: &str = "marigold/roster/";
/// The prefix of the keys of live entries.
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

/// Returns the key of a part of the roster.
#[must_use]
pub fn roster(part: usize) -> String {
    format!("{ROSTER}{part:02}")
}

/// Returns the key of a job's record.
#[must_use]
pub fn record(id: &id::Job) -> String {
    format!("{RECORDS}{id}")
}

/// The digits with which the id of a job begins, ascending. Callers' requests are refused if their id is not
/// hexadecimal; the case of its digits is kept.
const LEADING_DIGITS: &str = "0123456789ABCDEFabcdef";

/// Returns whether reads that are split by the leading digit of the ids find the job.
#[must_use]
pub fn is_listed(id: &id::Job) -> bool {
    id.as_str().starts_with(|c| LEADING_DIGITS.contains(c))
}

/// Returns the ranges into which the keys with a prefix are split for reading, ascending; none if they are few.
#[must_use]
pub fn split(prefix: &str) -> Vec<String> {
    let groups: &[&str] = match prefix {
        INBOX => &[CANCELS, JOBS],
        RECORDS => &[RECORDS],
        _ => &[],
    };
    let split = |group: &&str| {
        let group = (*group).to_owned();
        let digits = LEADING_DIGITS.chars();
        digits.map(move |digit| format!("{group}{digit}"))
    };
    groups.iter().flat_map(split).collect()
}
