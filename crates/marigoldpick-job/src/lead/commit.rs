//! Group commit of the records of changed jobs.

use marigoldpick_core::prelude::*;

use super::Lead;
use crate::action::{Action, Batch};

/// The most records of one batch: a store transaction has 32 parts, two of which are the term's.
const MOST: usize = 30;

/// `State` is the commit under way, if any.
#[derive(Debug, Default)]
pub(super) struct State {
    /// Each job with the change that the batch has; empty when none is under way.
    pending: Vec<(id::Job, u64)>,
    /// The jobs that the batch forgets.
    forgetting: Vec<id::Job>,
    busy: bool,
    next: Millis,
}

/// `Outcome` is what became of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The store has it.
    Stored,
    /// It was not carried out, or it is not known whether it was; it may be repeated.
    Retry,
    /// Another lead's term has begun.
    Deposed,
}

impl Lead {
    /// Takes in the outcome of the commit under way.
    pub fn committed(&mut self, outcome: Outcome, now: Millis) {
        let pending = std::mem::take(&mut self.commit.pending);
        let forgetting = std::mem::take(&mut self.commit.forgetting);
        self.commit.busy = false;
        match outcome {
            Outcome::Stored => {
                self.commit.next = now.max(self.commit.next);
                for (id, change) in pending {
                    self.note_stored(&id, change);
                }
                for id in forgetting {
                    if let Some(at) = self.at(&id) {
                        self.jobs.remove(at);
                    }
                }
                self.start_recorded(now);
            }
            Outcome::Retry => {
                self.commit.next = now + self.settings.commit_retry;
                for (id, _) in pending {
                    if let Err(at) = self.dirty.binary_search(&id) {
                        self.dirty.insert(at, id);
                    }
                }
            }
            Outcome::Deposed => self.deposed = true,
        }
    }

    fn note_stored(&mut self, id: &id::Job, change: u64) {
        let Some(at) = self.at(id) else { return };
        let job = &mut self.jobs[at];
        job.stored = job.stored.max(change);
        if job.stored == job.change && job.recorded != job.phase {
            job.recorded = job.phase;
            if job.phase.is_over() {
                let detail = format!("phase={:?} change={change}", job.phase);
                self.note("job-over", id.to_string(), detail);
            }
        }
    }

    pub(super) fn give_commit(&mut self, now: Millis) {
        if self.commit.busy || now < self.commit.next {
            return;
        }
        let forgotten = self.outdated(now);
        if self.dirty.is_empty() && forgotten.is_empty() {
            return;
        }
        let batch = self.next_batch();
        let mut records = Vec::with_capacity(batch.len());
        for id in batch {
            if let Some(job) = self.job(&id) {
                let text = job.record().text();
                self.commit.pending.push((id.clone(), job.change));
                records.push((id, text));
            }
        }
        // Each job that is forgotten has several keys.
        let room = (MOST - records.len()) / 3;
        let forgotten: Vec<id::Job> = forgotten.into_iter().take(room).collect();
        if records.is_empty() && forgotten.is_empty() {
            return;
        }
        self.commit.forgetting.clone_from(&forgotten);
        self.commit.busy = true;
        self.commit.next = now + self.settings.commit_gap;
        self.count.commits += 1;
        self.actions
            .push(Action::Commit(Batch { records, forgotten }));
    }

    /// Takes the changed jobs that are written next: those with starts that wait for it first.
    ///
    /// Load pattern: the store is slow, and more jobs change than a commit holds. Starts that wait for
    /// their record keep room on workers from others, and their tickets expire meanwhile.
    fn next_batch(&mut self) -> Vec<id::Job> {
        let mut batch: Vec<id::Job> = Vec::new();
        for start in &self.recording {
            if batch.len() == MOST {
                break;
            }
            if let Ok(at) = self.dirty.binary_search(&start.task.part.job) {
                batch.push(self.dirty.remove(at));
            }
        }
        let left = MOST - batch.len();
        batch.extend(self.dirty.drain(..self.dirty.len().min(left)));
        batch
    }

    /// Returns jobs that have been over for long and whose runs are all gone.
    fn outdated(&self, now: Millis) -> Vec<id::Job> {
        let old = |job: &crate::job::Job| {
            job.stored == job.change
                && job
                    .over
                    .is_some_and(|over| now.since(over) > self.settings.retention)
        };
        self.jobs
            .iter()
            .filter(|job| old(job))
            .map(|job| job.id.clone())
            .take(MOST / 3)
            .collect()
    }
}
