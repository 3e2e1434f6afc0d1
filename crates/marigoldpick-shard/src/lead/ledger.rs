//! The lead's records: what goes into the shard's log, and what follows once it is there.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::Fault;
use marigoldpick_core::worker::Finished;

use super::member::Member;
use super::takeover::Role;
use super::{Lead, Notice, Output};
use crate::journal::Step;
use crate::record::{Entry, Ranges, Record};

/// The most records in one entry; with the longest names they stay below the store's largest value.
const MOST_RECORDS: usize = 1_000;

/// `Ending` is a completed run whose record is not yet in the log.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Ending {
    pub(super) worker: id::Worker,
    pub(super) finished: Finished,
    /// Whether the entry that is being written has it.
    pub(super) written: bool,
}

/// `Checkpoint` is an ended run whose checkpoint its worker keeps until the task runs again, so that
/// the next lead finds it there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Checkpoint {
    pub(super) worker: id::Worker,
    pub(super) finished: Finished,
}

impl Lead {
    pub(super) fn keep_checkpoint(&mut self, at: usize, finished: Finished) {
        let member = &mut self.members[at];
        member.ending.push(finished.run.clone());
        let worker = member.id.clone();
        self.checkpoints.push(Checkpoint { worker, finished });
    }

    /// Tells the scheduler, which is new, of the checkpoints that workers told at the claims.
    pub(super) fn tell_checkpoints(&self, out: &mut Vec<Output>) {
        for Checkpoint { worker, finished } in &self.checkpoints {
            let (worker, finished) = (worker.clone(), finished.clone());
            Self::notice(out, Notice::Finished { worker, finished });
        }
    }

    /// Lets workers forget the checkpoints of tasks that need them no more.
    pub(super) fn drop_checkpoints(&mut self, over: impl Fn(&id::Task) -> bool) {
        let (gone, kept) = std::mem::take(&mut self.checkpoints)
            .into_iter()
            .partition(|checkpoint| over(&checkpoint.finished.run.task));
        self.checkpoints = kept;
        let gone: Vec<Checkpoint> = gone;
        for Checkpoint { worker, finished } in gone {
            let run = finished.run;
            if let Some(at) = self.find(&worker) {
                let member = &mut self.members[at];
                member.ending.retain(|have| *have != run);
                member.acks.push(run);
            }
        }
    }

    /// Writes what waits, all in one entry.
    pub(super) fn flush(&mut self, now: Millis) {
        let rightful = self.role == Role::Lead && self.epoch.interim == 0;
        if !rightful || !self.journal.is_idle() || !self.gate.is_open(now) {
            return;
        }
        let mut records = self.completions(now);
        let count = self.outbox.len().min(MOST_RECORDS);
        records.extend(self.outbox.drain(..count));
        if !records.is_empty() {
            self.open_jobs(&mut records);
            self.append(records, now);
        }
    }

    /// Sums up the completed tasks as ranges, no more often than the settings say.
    fn completions(&mut self, now: Millis) -> Vec<Record> {
        if self.endings.is_empty() || now < self.record_at {
            return Vec::new();
        }
        self.record_at = now + self.settings.record_ms;
        let mut jobs: Vec<(id::Job, Ranges)> = Vec::new();
        for at in 0..self.endings.len().min(MOST_RECORDS) {
            self.endings[at].written = true;
            let ending = &self.endings[at];
            let task = &ending.finished.run.task;
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

    pub(super) fn after_step(&mut self, step: Step<Entry>, now: Millis, out: &mut Vec<Output>) {
        match step {
            Step::Fresh => self.read(now, out),
            Step::Appended(entry) => self.recorded(&entry, now, out),
            Step::Lost(_) => self.outrun(now, out),
            Step::Refused(entry, _) => self.unrecorded(entry, out),
            Step::Failed(fault) => {
                if fault == Fault::Invalid {
                    self.event(out, "log-unreadable", "");
                }
            }
        }
    }

    /// The log was read to its end.
    fn read(&mut self, now: Millis, out: &mut Vec<Output>) {
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

    /// Another writer had the number: for a lead that means another tenure.
    fn outrun(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.role != Role::Follow {
            self.depose(now, out);
        }
    }

    fn recorded(&mut self, entry: &Entry, now: Millis, out: &mut Vec<Output>) {
        if matches!(entry.records.first(), Some(Record::Tenure { .. })) {
            return self.tenured(now, out);
        }
        if self.role != Role::Lead {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(self.appended_from));
        for record in &entry.records {
            match record {
                Record::Started(run) => self.start_recorded(run),
                Record::Pace(_) => self.paced(now),
                _ => {}
            }
        }
        let (written, rest) = std::mem::take(&mut self.endings)
            .into_iter()
            .partition(|ending| ending.written);
        self.endings = rest;
        let written: Vec<Ending> = written;
        for ending in written {
            if let Some(at) = self.find(&ending.worker) {
                let member = &mut self.members[at];
                member.ending.retain(|run| *run != ending.finished.run);
                member.acks.push(ending.finished.run.clone());
            }
            let (worker, finished) = (ending.worker, ending.finished);
            Self::notice(out, Notice::Finished { worker, finished });
        }
        self.prune();
    }

    /// The entry was certainly not written: starts are refused, all else waits.
    fn unrecorded(&mut self, entry: Entry, out: &mut Vec<Output>) {
        match self.role {
            Role::Tenure { since } => {
                self.role = Role::Probe { since };
                return;
            }
            Role::Lead => {}
            _ => return,
        }
        for ending in &mut self.endings {
            ending.written = false;
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
        if self.role != Role::Lead || self.home(&task.job).is_none() || self.is_over(&task) {
            return;
        }
        self.drop_checkpoints(|have| *have == task);
        self.outbox.push(Record::Failed {
            job: task.job,
            tasks: vec![(task.index, task.index + 1)],
        });
    }

    /// Changes the electors: all workers join at first, later one joins or is dropped at a time, so
    /// that a lead which knows an older set can tell how far it may be off.
    pub(super) fn elect(&mut self, now: Millis) {
        if self.epoch.interim > 0 || self.majority_at.is_none() || self.is_electing() {
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

    /// Tells whether a change of the electors is under way.
    pub(super) fn is_electing(&self) -> bool {
        let elects = |record: &Record| matches!(record, Record::Joined(_) | Record::Dropped(_));
        let written = self.journal.appending();
        written.is_some_and(|entry| entry.records.iter().any(elects))
            || self.outbox.iter().any(elects)
    }
}
