//! Provides health records, which attribute failures to workers or to kinds of job.
//!
//! A failure counts against the worker if the job's kind is known to run well elsewhere. All failures
//! of a kind without such a record count as one, so that no single job can put a worker into
//! quarantine. A kind that fails on several workers at least as often as it succeeds is at fault.

use marigoldpick_core::prelude::*;

/// Number of workers on which a kind must fail to be at fault.
const MIN_FAILED_WORKERS: usize = 3;
/// Interval at which the counts of a kind are halved.
const HALVING_SPAN: Millis = Millis::from_secs(300);
/// Weight of a run that reached the stable age, in halves of a success.
const STABLE_RUN_WEIGHT: u32 = 1;
/// Weight of a success or a failure, in halves of a success.
const OUTCOME_WEIGHT: u32 = 2;

/// `Kind` is the health record of a kind of job.
#[derive(Clone, Debug, Default)]
pub struct Kind {
    good: u32,
    bad: u32,
    failed_on: Vec<u32>,
    halved_at: Millis,
}

impl Kind {
    /// Records a success.
    pub fn record_success(&mut self, now: Millis) {
        self.decay(now);
        self.good = self.good.saturating_add(OUTCOME_WEIGHT);
    }

    /// Records a run that reached the stable age.
    pub fn record_stable_run(&mut self, now: Millis) {
        self.decay(now);
        self.good = self.good.saturating_add(STABLE_RUN_WEIGHT);
    }

    /// Records a failure on a worker.
    pub fn record_failure(&mut self, worker: u32, now: Millis) {
        self.decay(now);
        self.bad = self.bad.saturating_add(OUTCOME_WEIGHT);
        if !self.failed_on.contains(&worker) {
            self.failed_on.push(worker);
        }
    }

    /// Returns whether the failures are the kind's own fault.
    #[must_use]
    pub fn is_at_fault(&self) -> bool {
        self.failed_on.len() >= MIN_FAILED_WORKERS && self.bad >= self.good
    }

    /// Returns whether the kind is known to run well.
    #[must_use]
    pub const fn is_reliable(&self) -> bool {
        self.good > self.bad
    }

    fn decay(&mut self, now: Millis) {
        if now.since(self.halved_at) < HALVING_SPAN {
            return;
        }
        self.halved_at = now;
        self.good /= 2;
        self.bad /= 2;
        if self.bad == 0 {
            self.failed_on.clear();
        }
    }
}

/// `FailureCount` is the number of failures of one kind on a worker.
#[derive(Clone, Copy, Debug)]
struct FailureCount {
    kind: u32,
    count: u32,
    reliable: bool,
}

/// `Worker` is the health record of a worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Number of runs that have not reached the stable age.
    pub young_runs: u32,
    /// Whether a run went well since the worker came up or was last quarantined.
    pub proven: bool,
    failures: Vec<FailureCount>,
    quarantined_until: Option<Millis>,
    quarantines: u32,
    probation: bool,
}

impl Worker {
    /// Records a failure of a kind; returns the weighted sum of failures.
    pub fn record_failure(&mut self, kind: u32, reliable: bool) -> u32 {
        match self.failures.iter_mut().find(|entry| entry.kind == kind) {
            Some(entry) => {
                entry.count += 1;
                entry.reliable |= reliable;
            }
            None => self.failures.push(FailureCount {
                kind,
                count: 1,
                reliable,
            }),
        }
        self.failure_sum()
    }

    /// Removes the failures of a kind that is itself at fault.
    pub fn clear_failures(&mut self, kind: u32) {
        self.failures.retain(|entry| entry.kind != kind);
    }

    /// Records a run that went well.
    pub fn record_success(&mut self) {
        self.proven = true;
        self.failures.clear();
        if self.probation {
            self.probation = false;
        } else {
            self.quarantines = self.quarantines.saturating_sub(1);
        }
    }

    /// Starts a quarantine; returns its duration.
    pub fn quarantine(&mut self, first: Millis, most: Millis, now: Millis) -> Millis {
        let span = first.times(1 << self.quarantines.min(20)).min(most);
        self.quarantines += 1;
        self.quarantined_until = Some(now + span);
        self.proven = false;
        self.failures.clear();
        span
    }

    /// Ends the quarantine if it has expired; returns whether it did.
    pub fn end_quarantine(&mut self, now: Millis) -> bool {
        let over = self.quarantined_until.is_some_and(|until| until <= now);
        if over {
            self.quarantined_until = None;
            self.probation = true;
        }
        over
    }

    /// Returns whether the worker is on probation.
    #[must_use]
    pub const fn is_on_probation(&self) -> bool {
        self.probation
    }

    /// Returns whether failures count against the worker.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        !self.failures.is_empty()
    }

    fn failure_sum(&self) -> u32 {
        let weight = |entry: &FailureCount| if entry.reliable { entry.count } else { 1 };
        self.failures.iter().map(weight).sum()
    }
}
