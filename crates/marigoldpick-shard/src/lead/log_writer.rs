//! Writes of the lead to the shard's log, and the steps that follow once a record is in the log.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::Fault;
use marigoldpick_core::worker::Finished;

use super::member::Member;
use super::takeover::Role;
use super::{Lead, Notice, Output};
use crate::journal::Step;
use crate::record::{Entry, Ranges, Record};

/// The most records in one log entry.
///
/// With the longest names this many records stay below the store's largest value.
const MAX_RECORDS: usize = 1_000;

/// `Completion` is a completed run that is not yet recorded in the log.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Completion {
    pub(super) worker: id::Worker,
    pub(super) finished: Finished,
    /// Whether the log entry that is being written contains its record.
    pub(super) written: bool,
}

/// `Checkpoint` is an ended run whose checkpoint the worker keeps until the task runs again.
///
/// The worker keeps it so that the next lead can find it there. It may delete it earlier if the task
/// is given up or its job leaves the shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Checkpoint {
    pub(super) worker: id::Worker,
    pub(super) finished: Finished,
}

impl Lead {
    pub(super) fn keep_checkpoint(&mut self, at: usize, finished: Finished) {
        let member = &mut self.members[at];
        member.unrecorded.push(finished.run.clone());
        let worker = member.id.clone();
        self.checkpoints.push(Checkpoint { worker, finished });
    }

    /// Reports to the new scheduler the checkpoints that workers listed when they were claimed.
    pub(super) fn report_checkpoints(&self, out: &mut Vec<Output>) {
        for Checkpoint { worker, finished } in &self.checkpoints {
            let (worker, finished) = (worker.clone(), finished.clone());
            Self::push_notice(out, Notice::Finished { worker, finished });
        }
    }

    /// Lets workers delete the checkpoints of tasks that no longer need them.
    pub(super) fn release_checkpoints(&mut self, over: impl Fn(&id::Task) -> bool) {
        let (gone, kept) = std::mem::take(&mut self.checkpoints)
            .into_iter()
            .partition(|checkpoint| over(&checkpoint.finished.run.task));
        self.checkpoints = kept;
        let gone: Vec<Checkpoint> = gone;
        for Checkpoint { worker, finished } in gone {
            let run = finished.run;
            if let Some(at) = self.find_member(&worker) {
                let member = &mut self.members[at];
                member.unrecorded.retain(|have| *have != run);
                member.acks.push(run);
            }
        }
    }

    /// Writes the waiting records in one log entry.
    pub(super) fn flush_records(&mut self, now: Millis) {
        let holds_tenure = self.role == Role::Lead && self.epoch.interim == 0;
        if !holds_tenure || !self.journal.is_idle() || !self.backoff.has_elapsed(now) {
            return;
        }
        let mut records = self.completion_records(now);
        let count = self.outbox.len().min(MAX_RECORDS);
        records.extend(self.outbox.drain(..count));
        if !records.is_empty() {
            self.open_jobs(&mut records);
            self.append(records, now);
        }
    }

    /// Returns records of the completed tasks as index ranges, at most once per `record_ms`.
    fn completion_records(&mut self, now: Millis) -> Vec<Record> {
        if self.completions.is_empty() || now < self.record_at {
            return Vec::new();
        }
        self.record_at = now + self.settings.record_ms;
        let mut jobs: Vec<(id::Job, Ranges)> = Vec::new();
        for at in 0..self.completions.len().min(MAX_RECORDS) {
            self.completions[at].written = true;
            let completion = &self.completions[at];
            let task = &completion.finished.run.task;
            let at = match jobs.binary_search_by(|(job, _)| job.cmp(&task.job)) {
                Ok(at) => at,
                Err(at) => {
                    jobs.insert(at, (task.job.clone(), Ranges::default()));
                    at
                }
            };
            jobs[at].1.insert(task.index, task.index + 1);
        }
        jobs.into_iter()
            .map(|(job, tasks)| Record::Completed {
                job,
                tasks: tasks.0,
            })
            .collect()
    }

    pub(super) fn handle_step(&mut self, step: Step<Entry>, now: Millis, out: &mut Vec<Output>) {
        match step {
            Step::CaughtUp => self.handle_log_read(now, out),
            Step::Appended(entry) => self.handle_appended(&entry, now, out),
            Step::Superseded(_) => self.handle_superseded(now, out),
            Step::Refused(entry, _) => self.handle_refused_append(entry, out),
            Step::Failed(fault) => {
                if fault == Fault::Invalid {
                    self.push_event(out, "log-unreadable", "");
                }
            }
        }
    }

    /// Checks after a complete read of the log that this entry still holds the tenure.
    ///
    /// A lead at an interim epoch appends its tenure if no other entry has taken one.
    fn handle_log_read(&mut self, now: Millis, out: &mut Vec<Output>) {
        let from = self.journal.read_from();
        self.read_at = self.read_at.max(Some(from));
        if !matches!(self.role, Role::Claim { .. } | Role::Lead) {
            return;
        }
        let state = self.journal.state();
        let mine = state
            .holder
            .as_ref()
            .is_some_and(|h| h.entry == self.me && h.incarnation == self.incarnation);
        if self.epoch.interim == 0 {
            if state.tenure == self.epoch.tenure && mine {
                self.confirmed_at = self.confirmed_at.max(Some(from));
            } else {
                self.depose(now, out);
            }
        } else if state.tenure > self.epoch.tenure && !mine {
            self.depose(now, out);
        } else if !self.journal.is_appending() {
            self.append_tenure(now);
        }
    }

    /// Steps down when another writer has taken the entry's number.
    ///
    /// For a lead that holds the tenure, this means that the log has a newer one. A candidate or a lead
    /// at an interim epoch defers to the other writer, which leads, is a candidate or resigns.
    fn handle_superseded(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.role != Role::Follow {
            self.depose(now, out);
        }
    }

    fn handle_appended(&mut self, entry: &Entry, now: Millis, out: &mut Vec<Output>) {
        if matches!(entry.records.first(), Some(Record::Tenure { .. })) {
            return self.handle_tenure_recorded(now, out);
        }
        if self.role != Role::Lead {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(self.append_began_at));
        for record in &entry.records {
            match record {
                Record::Started(run) => self.queue_recorded_start(run),
                Record::Pace(_) => self.renew_all(now),
                _ => {}
            }
        }
        let (written, rest) = std::mem::take(&mut self.completions)
            .into_iter()
            .partition(|completion| completion.written);
        self.completions = rest;
        let written: Vec<Completion> = written;
        for completion in written {
            if let Some(at) = self.find_member(&completion.worker) {
                let member = &mut self.members[at];
                member
                    .unrecorded
                    .retain(|run| *run != completion.finished.run);
                member.acks.push(completion.finished.run.clone());
            }
            let (worker, finished) = (completion.worker, completion.finished);
            Self::push_notice(out, Notice::Finished { worker, finished });
        }
        self.prune_ended_jobs();
    }

    /// Handles an entry that was certainly not written.
    ///
    /// A lead refuses the starts in it and writes its other records again; a lead at an interim epoch
    /// appends its tenure again after the next read of the log. A candidate probes again.
    fn handle_refused_append(&mut self, entry: Entry, out: &mut Vec<Output>) {
        match self.role {
            Role::Tenure { since } => {
                self.role = Role::Probe { since };
                return;
            }
            Role::Lead => {}
            _ => return,
        }
        for completion in &mut self.completions {
            completion.written = false;
        }
        let mut kept = Vec::new();
        for record in entry.records {
            match record {
                Record::Started(run) => self.refuse_start(&run, Code::StoreAway, out),
                Record::Completed { .. } | Record::Opened { .. } | Record::Tenure { .. } => {}
                other => kept.push(other),
            }
        }
        self.outbox.splice(0..0, kept);
    }

    pub(super) fn give_up(&mut self, task: id::Task) {
        if self.role != Role::Lead || self.homed_job(&task.job).is_none() || self.is_over(&task) {
            return;
        }
        self.release_checkpoints(|have| *have == task);
        self.outbox.push(Record::Failed {
            job: task.job,
            tasks: vec![(task.index, task.index + 1)],
        });
    }

    /// Changes the electors. At first all workers join; later they join or are dropped one at a time.
    ///
    /// A lead that knows an older set can therefore bound by how many electors it may be off.
    pub(super) fn update_electors(&mut self, now: Millis) {
        if self.epoch.interim > 0 || self.majority_at.is_none() || self.has_pending_elector_change()
        {
            return;
        }
        let state = self.journal.state();
        let first = state.electors.is_empty();
        if !first && now < self.joined_at + self.settings.join_ms {
            return;
        }
        let elector = |m: &&Member| state.electors.binary_search(&m.id).is_ok();
        let gone = self.members.iter().filter(elector).find(|m| m.is_gone());
        let mut changes: Vec<Record> = gone
            .map(|m| Record::Dropped(m.id.clone()))
            .into_iter()
            .collect();
        let fit = |m: &&Member| m.up && !m.silent && !elector(m);
        let joining = self.members.iter().filter(fit);
        changes.extend(joining.map(|m| Record::Joined(m.id.clone())));
        if !first {
            changes.truncate(1);
        }
        if !changes.is_empty() {
            self.joined_at = now;
            self.outbox.extend(changes);
        }
    }

    /// Returns whether a change of the electors is waiting or being written.
    pub(super) fn has_pending_elector_change(&self) -> bool {
        let elects = |record: &Record| matches!(record, Record::Joined(_) | Record::Dropped(_));
        let written = self.journal.appending();
        written.is_some_and(|entry| entry.records.iter().any(elects))
            || self.outbox.iter().any(elects)
    }
}
