//! The least scheduler that keeps all tasks going.

use std::collections::{BTreeMap, BTreeSet};

use marigoldpick_core::prelude::*;
use marigoldpick_shard::record;

/// The least scheduler that keeps all tasks going.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub leading: bool,
    pub(super) up: BTreeSet<id::Worker>,
    /// Where each task is or may be, with its attempt.
    pub at: BTreeMap<id::Task, (id::Worker, u32)>,
    pub(super) over: BTreeSet<id::Task>,
    pub(super) attempts: BTreeMap<id::Task, u32>,
    pub(super) whole: bool,
}

impl Scheduler {
    pub(super) fn progress(&mut self, progress: &[record::Job]) {
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

    pub(super) fn runs(&mut self, run: &id::Run, worker: &id::Worker) {
        self.at
            .insert(run.task.clone(), (worker.clone(), run.attempt));
    }
}
