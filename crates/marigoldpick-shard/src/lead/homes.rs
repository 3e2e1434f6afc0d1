//! The jobs that are homed in the shard, and which of them a record or a run belongs to.
//!
//! A job's name may be used again after its end. So records and runs carry the number of the
//! configuration's entry that accepted their job.

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Finished;

use super::takeover::Role;
use super::{Homed, Lead};
use crate::record::{Progress, Record};

/// `Owner` is the job that a run belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// A job that is homed here.
    Homed,
    /// A job that has ended.
    Past,
    /// A job that the configuration here does not have yet.
    Unknown,
}

impl Lead {
    pub(super) fn home(&self, job: &id::Job) -> Option<&Homed> {
        let at = self.jobs.binary_search_by(|have| have.job.cmp(job)).ok()?;
        Some(&self.jobs[at])
    }

    /// Tells which job a run belongs to.
    pub(super) fn owner(&self, finished: &Finished) -> Owner {
        let home = self.home(&finished.run.task.job);
        if home.is_some_and(|home| home.accepted == finished.accepted) {
            Owner::Homed
        } else if finished.accepted <= self.config_sequence {
            Owner::Past
        } else {
            Owner::Unknown
        }
    }

    /// Returns what is recorded of a job, without what is left of an earlier one of that name.
    pub(super) fn progress(&self, job: &id::Job) -> Option<&Progress> {
        let progress = self.journal.state().progress(job)?;
        let other = |home: &Homed| home.accepted != progress.accepted;
        (!self.home(job).is_some_and(other)).then_some(progress)
    }

    /// Tells whether a task was completed or given up.
    pub(super) fn is_over(&self, task: &id::Task) -> bool {
        self.progress(&task.job)
            .is_some_and(|progress| progress.is_over(task.index))
    }

    /// Returns the recorded run of a non-idempotent task, if any.
    pub(super) fn started_as(&self, task: &id::Task) -> Option<u32> {
        self.progress(&task.job)?.started(task.index)
    }

    /// Tells whether the log knows of a later job of that name than the configuration here does.
    pub(super) fn is_behind(&self, job: &id::Job) -> bool {
        let known = self.home(job).map_or(0, |home| home.accepted);
        let recorded = self.journal.state().progress(job);
        recorded.is_some_and(|progress| progress.accepted > known.max(self.config_sequence))
    }

    /// Tells whether completions of a job's tasks are kept: instances of services are started anew.
    pub(super) fn is_recorded(&self, job: &id::Job) -> bool {
        self.home(job)
            .is_none_or(|home| home.class != Class::Service)
    }

    /// Keeps the list of jobs, and drops what waits for jobs that have left the shard.
    pub(super) fn homed(&mut self, jobs: Vec<Homed>, sequence: u64) {
        let before = std::mem::replace(&mut self.jobs, jobs);
        self.config_sequence = sequence;
        if self.role != Role::Lead {
            return;
        }
        for old in before {
            let there = self.home(&old.job).is_some_and(|home| *home == old);
            if !there {
                self.outbox.retain(|record| record.job() != Some(&old.job));
                self.drop_endings(&old);
                self.drop_checkpoints(|task| task.job == old.job);
            }
        }
        self.prune();
    }

    /// Lets workers forget ends that need no record any more.
    fn drop_endings(&mut self, old: &Homed) {
        let endings = std::mem::take(&mut self.endings);
        let left = |run: &id::Run, accepted| run.task.job == old.job && accepted == old.accepted;
        for ending in endings {
            let finished = &ending.finished;
            if ending.written || !left(&finished.run, finished.accepted) {
                self.endings.push(ending);
            } else if let Some(at) = self.find(&ending.worker) {
                let member = &mut self.members[at];
                member.ending.retain(|run| *run != finished.run);
                member.acks.push(finished.run.clone());
            }
        }
    }

    /// Drops what was recorded of jobs whose end is in the configuration, also by earlier leads.
    pub(super) fn prune(&mut self) {
        if self.role != Role::Lead {
            return;
        }
        let over = self.journal.state().jobs.iter().filter(|recorded| {
            recorded.progress.accepted <= self.config_sequence && self.home(&recorded.job).is_none()
        });
        let gone: Vec<Record> = over.map(|job| Record::Pruned(job.job.clone())).collect();
        for record in gone {
            let written = self.journal.appending();
            let there = written.is_some_and(|entry| entry.records.contains(&record));
            if !there && !self.outbox.contains(&record) {
                self.outbox.push(record);
            }
        }
    }

    /// Puts the opening of each job ahead of its first records.
    pub(super) fn open_jobs(&self, records: &mut Vec<Record>) {
        let state = self.journal.state();
        let named = records.iter().filter(|r| !matches!(r, Record::Pruned(_)));
        let mut homes: Vec<&Homed> = named
            .filter_map(|record| self.home(record.job()?))
            .filter(|home| {
                let known = state.progress(&home.job).map_or(0, |p| p.accepted);
                known < home.accepted
            })
            .collect();
        homes.sort_unstable_by(|a, b| a.job.cmp(&b.job));
        homes.dedup_by(|a, b| a.job == b.job);
        let opened = homes.into_iter().map(|home| Record::Opened {
            job: home.job.clone(),
            accepted: home.accepted,
        });
        let opened: Vec<Record> = opened.collect();
        records.splice(0..0, opened);
    }
}
