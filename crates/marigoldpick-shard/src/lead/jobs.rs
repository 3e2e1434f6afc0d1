//! The jobs that are homed in the shard, and the assignment of runs and records to them.
//!
//! A job's name may be reused after the job has ended. Records and runs therefore carry the sequence
//! number of the configuration entry that accepted their job.

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Finished;

use super::takeover::Role;
use super::{Homed, Lead};
use crate::record::{Progress, Record};

/// `Owner` is the kind of job that a run belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// A job that is homed here.
    Homed,
    /// A job that has ended and is no longer homed here.
    Past,
    /// A job that is not yet in the configuration at this entry.
    Unknown,
}

impl Lead {
    pub(super) fn homed_job(&self, job: &id::Job) -> Option<&Homed> {
        let at = self.jobs.binary_search_by(|have| have.job.cmp(job)).ok()?;
        Some(&self.jobs[at])
    }

    /// Returns which kind of job a run belongs to.
    pub(super) fn owner(&self, finished: &Finished) -> Owner {
        let home = self.homed_job(&finished.run.task.job);
        if home.is_some_and(|home| home.accepted == finished.accepted) {
            Owner::Homed
        } else if finished.accepted <= self.config_sequence {
            Owner::Past
        } else {
            Owner::Unknown
        }
    }

    /// Returns the recorded progress of a job, but not that of an earlier job of the same name.
    pub(super) fn progress(&self, job: &id::Job) -> Option<&Progress> {
        let progress = self.journal.state().progress(job)?;
        let other = |home: &Homed| home.accepted != progress.accepted;
        (!self.homed_job(job).is_some_and(other)).then_some(progress)
    }

    /// Returns whether a task was completed or given up.
    pub(super) fn is_over(&self, task: &id::Task) -> bool {
        self.progress(&task.job)
            .is_some_and(|progress| progress.is_over(task.index))
    }

    /// Returns the attempt of a non-idempotent task that is recorded as started, if any.
    pub(super) fn recorded_attempt(&self, task: &id::Task) -> Option<u32> {
        self.progress(&task.job)?.started(task.index)
    }

    /// Returns whether the log has a later job of that name than the configuration at this entry.
    pub(super) fn is_config_behind(&self, job: &id::Job) -> bool {
        let known = self.homed_job(job).map_or(0, |home| home.accepted);
        let recorded = self.journal.state().progress(job);
        recorded.is_some_and(|progress| progress.accepted > known.max(self.config_sequence))
    }

    /// Returns whether completions of a job's tasks are recorded.
    ///
    /// Those of services are not, because an instance that ends is started again.
    pub(super) fn is_recorded(&self, job: &id::Job) -> bool {
        self.homed_job(job)
            .is_none_or(|home| home.class != Class::Service)
    }

    /// Replaces the list of jobs, and drops the waiting records of jobs that have left the shard.
    pub(super) fn set_jobs(&mut self, jobs: Vec<Homed>, sequence: u64) {
        let before = std::mem::replace(&mut self.jobs, jobs);
        self.config_sequence = sequence;
        if self.role != Role::Lead {
            return;
        }
        for old in before {
            let there = self.homed_job(&old.job).is_some_and(|home| *home == old);
            if !there {
                self.outbox.retain(|record| record.job() != Some(&old.job));
                self.release_completions(&old);
                self.release_checkpoints(|task| task.job == old.job);
            }
        }
        self.prune_ended_jobs();
    }

    /// Lets workers discard completed runs that no longer need a record.
    fn release_completions(&mut self, old: &Homed) {
        let completions = std::mem::take(&mut self.completions);
        let left = |run: &id::Run, accepted| run.task.job == old.job && accepted == old.accepted;
        for completion in completions {
            let finished = &completion.finished;
            if completion.written || !left(&finished.run, finished.accepted) {
                self.completions.push(completion);
            } else if let Some(at) = self.find_member(&completion.worker) {
                let member = &mut self.members[at];
                member.unrecorded.retain(|run| *run != finished.run);
                member.acks.push(finished.run.clone());
            }
        }
    }

    /// Removes the records, also by earlier leads, of jobs whose end is in the configuration.
    pub(super) fn prune_ended_jobs(&mut self) {
        if self.role != Role::Lead {
            return;
        }
        let over = self.journal.state().jobs.iter().filter(|recorded| {
            recorded.progress.accepted <= self.config_sequence
                && self.homed_job(&recorded.job).is_none()
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

    /// Inserts an `Opened` record at the front for each job that the log does not yet have.
    pub(super) fn open_jobs(&self, records: &mut Vec<Record>) {
        let state = self.journal.state();
        let named = records.iter().filter(|r| !matches!(r, Record::Pruned(_)));
        let mut homes: Vec<&Homed> = named
            .filter_map(|record| self.homed_job(record.job()?))
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
