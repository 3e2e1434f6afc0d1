//! Simulates the VM list, which shows each change only after a lag.

use std::sync::{Arc, Mutex, PoisonError};

use marigoldpick_core::prelude::*;
use marigoldpick_core::vm::{List, State, Worker};

/// `Vms` is the lagging list of VMs.
#[derive(Clone, Debug)]
pub(crate) struct Vms {
    inner: Arc<Mutex<Inner>>,
    lag: Millis,
}

#[derive(Debug)]
struct Inner {
    /// The VMs as they were at the start, sorted by worker.
    workers: Vec<Worker>,
    changes: Vec<Change>,
}

#[derive(Debug)]
struct Change {
    at: Millis,
    worker: id::Worker,
    state: State,
}

impl Vms {
    /// Creates a list of `workers`, which are sorted by id.
    pub(crate) fn new(workers: Vec<Worker>, lag: Millis) -> Self {
        let changes = Vec::new();
        Self {
            inner: Arc::new(Mutex::new(Inner { workers, changes })),
            lag,
        }
    }

    /// Records that a VM's state changed at `at`.
    pub(crate) fn record_change(&self, worker: &id::Worker, state: State, at: Millis) {
        let worker = worker.clone();
        self.lock().changes.push(Change { at, worker, state });
    }

    /// Returns the list of one failure domain as it appears at `now`.
    pub(crate) fn list(&self, domain: &str, now: Millis) -> List {
        let inner = self.lock();
        let is_visible = |change: &&Change| change.at + self.lag <= now;
        let mut workers: Vec<Worker> = inner
            .workers
            .iter()
            .filter(|worker| worker.domain.as_str() == domain)
            .cloned()
            .collect();
        for change in inner.changes.iter().filter(is_visible) {
            if let Ok(at) = workers.binary_search_by(|worker| worker.id.cmp(&change.worker)) {
                workers[at].state = change.state;
            }
        }
        let version = 1 + inner.changes.iter().filter(is_visible).count() as u64;
        List { version, workers }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
