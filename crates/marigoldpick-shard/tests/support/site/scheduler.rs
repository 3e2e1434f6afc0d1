//! A minimal scheduler that keeps all tasks running.

use std::collections::{BTreeMap, BTreeSet};

use marigoldpick_core::prelude::*;
use marigoldpick_shard::record;

/// A minimal scheduler that keeps all tasks running.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub leading: bool,
    pub(super) up: BTreeSet<id::Worker>,
    /// The worker on which each task runs or may run, with its attempt.
    pub placements: BTreeMap<id::Task, (id::Worker, u32)>,
    pub(super) over: BTreeSet<id::Task>,
    pub(super) attempts: BTreeMap<id::Task, u32>,
    pub(super) whole: bool,
}

impl Scheduler {
    pub(super) fn apply_progress(&mut self, progress: &[record::Job]) {
        for job in progress {
            for (from, to) in job
                .progress
                .completed
                .0
                .iter()
                .chain(&job.progress.failed.0)
            {
                for index in *from..*to {
                    self.over.insert(id::Task::new(job.job.clone(), index));
                }
            }
        }
    }

    pub(super) fn record_run(&mut self, run: &id::Run, worker: &id::Worker) {
        self.placements
            .insert(run.task.clone(), (worker.clone(), run.attempt));
    }
}
