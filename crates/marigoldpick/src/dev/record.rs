//! Records what operators and callers observed during a run.

use std::sync::{Mutex, MutexGuard, PoisonError};

use marigoldpick_core::id;
use marigoldpick_core::intent::{Class, Intent};

/// `Record` is shared by the operators, callers and watchers of a run.
#[derive(Debug, Default)]
pub(super) struct Record {
    state: Mutex<State>,
}

/// `State` holds what was observed so far.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    /// The accepted batch and gang jobs.
    pub(super) jobs: Vec<Job>,
    /// The accepted service jobs.
    pub(super) services: Vec<Job>,
    /// The highest sequence number of an accepted configuration.
    pub(super) sequence: u64,
    /// The number of accepted intents.
    pub(super) intents: usize,
    /// The number of requests by outcome.
    pub(super) requests: Requests,
    /// The ids of non-idempotent requests, which may run at most once.
    pub(super) non_idempotent: Vec<String>,
    /// Attempts that callers were told did not run.
    pub(super) not_run_attempts: Vec<Attempt>,
    /// Descriptions of the broken promises that were observed.
    pub(super) violations: Vec<String>,
    /// How often an entry returned to an older configuration.
    pub(super) reverted_configs: u64,
}

/// `Job` is an accepted job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) name: id::Job,
    pub(super) count: u32,
    pub(super) cancelled: bool,
    /// Whether its tasks may run more than once.
    pub(super) idempotent: bool,
}

/// `Requests` counts requests by outcome.
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

impl Record {
    /// Records that an intent was accepted.
    pub(super) fn add_accepted(&self, intent: &Intent, sequence: u64) {
        let mut state = self.lock();
        state.sequence = state.sequence.max(sequence);
        state.intents += 1;
        for job in &intent.job {
            let entry = Job {
                name: job.name.clone(),
                count: job.count,
                cancelled: false,
                idempotent: job.idempotent,
            };
            if job.class == Class::Service {
                state.services.push(entry);
            } else {
                state.jobs.push(entry);
            }
        }
    }

    /// Records that jobs were cancelled.
    pub(super) fn mark_cancelled(&self, jobs: &[id::Job], sequence: u64) {
        let mut state = self.lock();
        state.sequence = state.sequence.max(sequence);
        let state = &mut *state;
        for job in state.jobs.iter_mut().chain(&mut state.services) {
            job.cancelled |= jobs.contains(&job.name);
        }
    }

    /// Records and logs a broken promise.
    pub(super) fn add_violation(&self, text: String) {
        log::warn!(target: "dev", "{text}.");
        self.lock().violations.push(text);
    }

    /// Returns a copy of the state.
    pub(super) fn snapshot(&self) -> State {
        self.lock().clone()
    }

    /// Locks the state for writing.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the batch and gang jobs that must complete: those that were not cancelled.
    pub(super) fn expected_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.iter().filter(|job| !job.cancelled)
    }
}
