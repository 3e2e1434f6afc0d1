//! Group commit of the records of changed jobs.

use marigoldpick_core::prelude::*;

use super::Lead;
use super::backlog::Reason;
use crate::action::{Action, Batch};

/// The most records in one batch: a store transaction has 32 operations, and the term needs two.
const MAX_RECORDS: usize = 30;

/// A batch without records is sent for the roster, or to say that all runs are recorded, if none has been sent for
/// this time.
const IDLE_INTERVAL: Millis = Millis(50);

/// `State` is the state of the commit in flight.
#[derive(Debug, Default)]
pub(super) struct State {
    /// The jobs in the batch with their revisions; empty when no commit is in flight.
    pending: Vec<(id::Job, u64)>,
    /// The jobs that the batch deletes.
    forgetting: Vec<id::Job>,
    /// The workers whose leases the batch waives, sorted.
    waived: Vec<id::Worker>,
    /// Whether the batch says that all runs are recorded.
    settles: bool,
    /// Whether the last stored batch of the term says so.
    has_settled: bool,
    /// Whether the store may have a batch of the term that says so and none after it that does not.
    may_say_settled: bool,
    /// When the last batch was sent.
    pub(super) sent_at: Millis,
    in_flight: bool,
    next_at: Millis,
}

/// `Outcome` is the result of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The store has the batch.
    Stored,
    /// The commit failed or its result is unknown; it can be repeated.
    Retry,
    /// Another lead's term has begun.
    Deposed,
}

impl Lead {
    /// Handles the outcome of the commit in flight.
    pub fn handle_commit(&mut self, outcome: Outcome, now: Millis) {
        let pending = std::mem::take(&mut self.commit.pending);
        let forgetting = std::mem::take(&mut self.commit.forgetting);
        let waived = std::mem::take(&mut self.commit.waived);
        self.commit.in_flight = false;
        self.roster.record_outcome(outcome == Outcome::Stored);
        match outcome {
            Outcome::Stored => {
                self.commit.next_at = now.max(self.commit.next_at);
                self.backlog.confirm();
                for (id, revision) in pending {
                    self.record_stored(&id, revision, now);
                }
                for id in forgetting {
                    self.backlog.remove(&id);
                    if let Some(at) = self.job_index(&id) {
                        self.jobs.remove(at);
                    }
                }
                self.withdraw_waivers(&waived, now);
                self.commit.has_settled = self.commit.settles;
                self.commit.may_say_settled &= self.commit.settles;
                if self.commit.settles && self.is_settled(&[], now) {
                    self.may_lack_records = false;
                    self.has_unrecorded = false;
                }
                self.start_recorded(now);
            }
            Outcome::Retry => {
                self.commit.next_at = now + self.settings.commit_retry;
                self.backlog.restore();
            }
            Outcome::Deposed => self.deposed = true,
        }
    }

    fn record_stored(&mut self, id: &id::Job, revision: u64, now: Millis) {
        let Some(at) = self.job_index(id) else { return };
        let job = &mut self.jobs[at];
        job.stored_revision = job.stored_revision.max(revision);
        if job.stored_revision == job.revision && job.recorded != job.phase {
            job.recorded = job.phase;
            if job.phase.is_over() {
                let waited = now.since(job.ended_at.unwrap_or(now));
                let phase = job.phase;
                let detail = format!("phase={phase:?} change={revision} waited_ms={}", waited.0);
                self.end_waits.push(waited);
                self.log("job-over", id.to_string(), detail);
            }
        }
    }

    pub(super) fn send_commit(&mut self, now: Millis) {
        if self.commit.in_flight || now < self.commit.next_at {
            return;
        }
        let forgotten = self.expired_jobs(now);
        let waivers = self.waivers(now);
        let has_news = !forgotten.is_empty()
            || self.has_new_waivers(&waivers, now)
            || self.is_idle_batch_due(now);
        if self.backlog.is_empty() && !has_news {
            return;
        }
        let roster = self.roster.take_parts();
        let limit = MAX_RECORDS - roster.len();
        let batch = self.backlog.take(limit);
        let mut records = Vec::with_capacity(batch.len());
        for id in batch {
            if let Some(job) = self.job(&id) {
                let text = job.record().text();
                self.commit.pending.push((id.clone(), job.revision));
                records.push((id, text));
            }
        }
        // Deleting a job takes three operations, one for each of its keys.
        let budget = (limit - records.len()) / 3;
        let forgotten: Vec<id::Job> = forgotten.into_iter().take(budget).collect();
        if records.is_empty() && roster.is_empty() && !has_news {
            self.backlog.confirm();
            return;
        }
        self.commit.forgetting.clone_from(&forgotten);
        self.commit.waived = self.waive(&waivers, now);
        self.commit.settles = self.is_settled(&self.commit.pending, now);
        self.commit.has_settled &= self.commit.settles;
        self.commit.may_say_settled |= self.commit.settles;
        self.commit.sent_at = now;
        self.commit.in_flight = true;
        self.commit.next_at = now + self.settings.commit_gap;
        self.counters.commits += 1;
        self.actions.push(Action::Commit(Batch {
            records,
            forgotten,
            waivers,
            roster,
            settled: self.commit.settles,
        }));
    }

    /// Returns whether a batch is due only for the roster, or to say that all runs are recorded or no longer are.
    fn is_idle_batch_due(&self, now: Millis) -> bool {
        let last = self.commit.sent_at.max(self.term_start);
        let is_outdated = || {
            let is_settled = self.is_settled(&[], now);
            (!self.commit.has_settled && is_settled) || (self.commit.may_say_settled && !is_settled)
        };
        now.since(last) >= IDLE_INTERVAL && (self.roster.is_stale() || is_outdated())
    }

    /// Returns how many jobs wait for a commit for this reason.
    #[must_use]
    pub fn waiting_records(&self, reason: Reason) -> usize {
        self.backlog.count(reason)
    }

    /// Removes and returns how long the ends of jobs waited for their records, for metrics.
    pub fn take_end_waits(&mut self) -> Vec<Millis> {
        std::mem::take(&mut self.end_waits)
    }

    /// Returns ended jobs whose retention has expired and whose last revision is stored.
    fn expired_jobs(&self, now: Millis) -> Vec<id::Job> {
        let is_expired = |job: &crate::job::Job| {
            job.stored_revision == job.revision
                && job
                    .ended_at
                    .is_some_and(|ended_at| now.since(ended_at) > self.settings.retention)
        };
        self.jobs
            .iter()
            .filter(|job| is_expired(job))
            .map(|job| job.id.clone())
            .take(MAX_RECORDS / 3)
            .collect()
    }
}
