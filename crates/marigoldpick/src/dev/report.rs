//! Defines the counts of a run and checks them against the promises.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// `Report` holds the counts of a run, the last line of `dev --once --json`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Batch and gang tasks of accepted jobs that were not cancelled.
    pub tasks_accepted: u64,
    /// Accepted tasks that completed.
    pub tasks_completed: u64,
    /// Non-idempotent tasks that were reported as failed since their worker failed or was lost.
    pub tasks_failed: u64,
    /// Non-idempotent tasks that were started more than once.
    pub tasks_started_twice: u64,
    /// Tasks that ran in two places at the same time.
    pub tasks_in_two_places: u64,
    /// Task starts that exceeded the size of a VM.
    pub vm_overloads: u64,
    /// Requests from callers, without retries.
    pub requests_sent: u64,
    /// Requests that got their complete and correct response.
    pub requests_answered: u64,
    /// Requests that ended as not run and of which no attempt may have run.
    pub requests_not_run: u64,
    /// Requests that may have run.
    pub requests_unknown: u64,
    /// Non-idempotent requests that ran more than once.
    pub requests_run_twice: u64,
    /// Responses that were another request's or incomplete.
    pub answers_wrong_or_cut: u64,
    /// Attempts that were reported as not run but ran.
    pub not_run_but_ran: u64,
    /// Configurations that were accepted.
    pub configs_accepted: u64,
    /// Accepted configurations that were lost or changed later.
    pub configs_reverted: u64,
}

impl Report {
    /// Describes each promise that the counts show to be broken.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        let violation_counts = [
            ("tasks_in_two_places", self.tasks_in_two_places),
            ("tasks_started_twice", self.tasks_started_twice),
            ("vm_overloads", self.vm_overloads),
            ("requests_run_twice", self.requests_run_twice),
            ("answers_wrong_or_cut", self.answers_wrong_or_cut),
            ("not_run_but_ran", self.not_run_but_ran),
            ("configs_reverted", self.configs_reverted),
        ];
        let mut broken: Vec<String> = violation_counts
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{name} is {count}"))
            .collect();
        // A task may have completed on a worker that was lost before it reported the end, and
        // may then count as failed too.
        if self.tasks_completed > self.tasks_accepted
            || self.tasks_completed + self.tasks_failed < self.tasks_accepted
        {
            broken.push(format!(
                "{} of {} accepted tasks were completed, {} reported as failed",
                self.tasks_completed, self.tasks_accepted, self.tasks_failed
            ));
        }
        let ended = self.requests_answered + self.requests_not_run + self.requests_unknown;
        if ended != self.requests_sent {
            broken.push(format!(
                "{ended} of {} requests have a known outcome",
                self.requests_sent
            ));
        }
        broken
    }
}

impl AddAssign for Report {
    fn add_assign(&mut self, rhs: Self) {
        self.tasks_accepted += rhs.tasks_accepted;
        self.tasks_completed += rhs.tasks_completed;
        self.tasks_failed += rhs.tasks_failed;
        self.tasks_started_twice += rhs.tasks_started_twice;
        self.tasks_in_two_places += rhs.tasks_in_two_places;
        self.vm_overloads += rhs.vm_overloads;
        self.requests_sent += rhs.requests_sent;
        self.requests_answered += rhs.requests_answered;
        self.requests_not_run += rhs.requests_not_run;
        self.requests_unknown += rhs.requests_unknown;
        self.requests_run_twice += rhs.requests_run_twice;
        self.answers_wrong_or_cut += rhs.answers_wrong_or_cut;
        self.not_run_but_ran += rhs.not_run_but_ran;
        self.configs_accepted += rhs.configs_accepted;
        self.configs_reverted += rhs.configs_reverted;
    }
}
