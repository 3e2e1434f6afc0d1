//! What a stand-in with callers tells of a run.

use serde::{Deserialize, Serialize};

/// `Verdict` is what happened up to now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Whether all entries were ready and callers have begun.
    pub begun: bool,
    /// Whether all jobs are handed in and no caller waits for an answer any more.
    pub over: bool,
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs of which callers were told that they are completed.
    pub completed: u64,
    /// Jobs that were cancelled.
    pub cancelled: u64,
    /// Jobs that callers gave up on before they were accepted.
    pub given_up: u64,
    /// Answers that a call was refused.
    pub refused: u64,
    /// Calls without an answer.
    pub unanswered: u64,
    /// Runs that truly began.
    pub runs: u64,
    /// Accepted jobs that are not completed yet and should be.
    pub open: Vec<String>,
    /// Promises that were broken.
    pub broken: Vec<String>,
}
