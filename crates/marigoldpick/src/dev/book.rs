//! The operators' and callers' own record of a run.

use std::sync::{Mutex, MutexGuard, PoisonError};

use marigoldpick_core::id;
use marigoldpick_core::intent::{Class, Intent};

/// `Book` is shared by all that act in a run.
#[derive(Debug, Default)]
pub(super) struct Book {
    pages: Mutex<Pages>,
}

/// `Pages` is what was recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct Pages {
    /// Batch and gang jobs that were accepted.
    pub(super) jobs: Vec<Job>,
    /// Jobs of services that were accepted, with their counts.
    pub(super) services: Vec<Job>,
    /// The highest number of a configuration that was accepted.
    pub(super) sequence: u64,
    /// Intents that are accepted.
    pub(super) intents: usize,
    /// Requests by how they ended.
    pub(super) requests: Requests,
    /// Requests that may run once at most.
    pub(super) once_only: Vec<String>,
    /// Attempts that were told "not run".
    pub(super) told_not_run: Vec<Attempt>,
    /// What was wrong, in words, for people.
    pub(super) notes: Vec<String>,
    /// Accepted configurations that were seen to be lost.
    pub(super) reverted: u64,
}

/// `Job` is an accepted job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) name: id::Job,
    pub(super) count: u32,
    pub(super) cancelled: bool,
    /// Whether its tasks may run again.
    pub(super) idempotent: bool,
}

/// `Requests` counts requests by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Requests {
    pub(super) sent: u64,
    pub(super) answered: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    pub(super) wrong: u64,
}

/// `Attempt` is one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    pub(super) request: String,
    pub(super) attempt: u32,
}

impl Book {
    /// Notes that an intent was accepted.
    pub(super) fn accepted(&self, intent: &Intent, sequence: u64) {
        let mut pages = self.write();
        pages.sequence = pages.sequence.max(sequence);
        pages.intents += 1;
        for job in &intent.job {
            let entry = Job {
                name: job.name.clone(),
                count: job.count,
                cancelled: false,
                idempotent: job.idempotent,
            };
            if job.class == Class::Service {
                pages.services.push(entry);
            } else {
                pages.jobs.push(entry);
            }
        }
    }

    /// Notes that jobs were cancelled.
    pub(super) fn cancelled(&self, jobs: &[id::Job], sequence: u64) {
        let mut pages = self.write();
        pages.sequence = pages.sequence.max(sequence);
        let pages = &mut *pages;
        for job in pages.jobs.iter_mut().chain(&mut pages.services) {
            job.cancelled |= jobs.contains(&job.name);
        }
    }

    /// Notes something that is wrong.
    pub(super) fn note(&self, text: String) {
        log::warn!(target: "dev", "{text}.");
        self.write().notes.push(text);
    }

    /// Returns what was recorded up to now.
    pub(super) fn read(&self) -> Pages {
        self.write().clone()
    }

    /// Opens the record for writing.
    pub(super) fn write(&self) -> MutexGuard<'_, Pages> {
        self.pages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pages {
    /// Returns the batch and gang jobs that must be completed.
    pub(super) fn due(&self) -> impl Iterator<Item = &Job> {
        self.jobs.iter().filter(|job| !job.cancelled)
    }
}
