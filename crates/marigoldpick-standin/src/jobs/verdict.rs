//! Defines the result that a stand-in with callers reports of a test run.

use serde::{Deserialize, Serialize};

/// `Verdict` is the counts and violations up to now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Whether all entries were ready and the callers have begun.
    pub begun: bool,
    /// Whether all jobs are submitted and no caller waits for an answer.
    pub over: bool,
    /// The number of jobs that were accepted.
    pub accepted: u64,
    /// The number of jobs that were reported to callers as completed.
    pub completed: u64,
    /// The number of jobs that were cancelled.
    pub cancelled: u64,
    /// The number of jobs that callers abandoned before they were accepted.
    pub given_up: u64,
    /// The number of answers that refused a call.
    pub refused: u64,
    /// The number of calls without an answer.
    pub unanswered: u64,
    /// The number of runs that actually began.
    pub runs: u64,
    /// The accepted jobs that should be completed but are not.
    pub open: Vec<String>,
    /// The violations of guarantees.
    pub broken: Vec<String>,
}
