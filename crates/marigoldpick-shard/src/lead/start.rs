//! Starts of runs, held while an unseen worker may have the task.
//!
//! The start of a non-idempotent task is recorded in the log before it is sent, so that the task runs
//! at most once.

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Refusal, Spec};

use super::member::Command;
use super::report::Placement;
use super::takeover::Role;
use super::{Lead, Notice, Output};
use crate::record::Record;

/// `Stage` is the progress of a pending start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits because a worker that was not yet seen may have the task.
    Held,
    /// Its write-ahead record is being written.
    Recording,
    /// It is in the worker's queue of commands.
    Queued,
    /// It was sent, and the worker accepts it until its clock passes this time.
    Sent(Millis),
    /// Its answer was lost; a whole report with a later stamp shows whether it was started.
    Uncertain(Millis),
}

/// `Pending` is a start without an outcome.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Pending {
    pub(super) worker: id::Worker,
    pub(super) spec: Spec,
    pub(super) stage: Stage,
    pub(super) since: Millis,
}

impl Pending {
    const fn is_unsent(&self) -> bool {
        matches!(self.stage, Stage::Held | Stage::Recording | Stage::Queued)
    }
}

impl Lead {
    pub(super) fn start(
        &mut self,
        worker: id::Worker,
        mut spec: Spec,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if let Err(code) = self.check_start(&worker, &spec) {
            let run = spec.run;
            let refused = Notice::Refused {
                run,
                worker,
                code,
                refusal: None,
            };
            return Self::push_notice(out, refused);
        }
        spec.accepted = self
            .homed_job(&spec.run.task.job)
            .map_or(0, |home| home.accepted);
        let placement = Placement {
            worker: worker.clone(),
            attempt: spec.run.attempt,
        };
        self.placements.insert(spec.run.task.clone(), placement);
        let stage = Stage::Held;
        self.starts.push(Pending {
            worker,
            spec,
            stage,
            since: now,
        });
        self.release_held_starts(now, out);
    }

    fn check_start(&self, worker: &id::Worker, spec: &Spec) -> Result<(), Code> {
        if self.role != Role::Lead {
            return Err(Code::NotLead);
        }
        let there = self
            .find_member(worker)
            .is_some_and(|at| self.members[at].up);
        if !there {
            return Err(Code::WorkerAway);
        }
        let task = &spec.run.task;
        let completed = self
            .completions
            .iter()
            .any(|e| e.finished.run.task == *task);
        if self.homed_job(&task.job).is_none() || self.is_config_behind(&task.job) {
            return Err(Code::ConfigOld);
        }
        if self.placements.contains_key(task) || completed || self.is_over(task) {
            return Err(Code::Duplicate);
        }
        if spec.idempotent {
            return Ok(());
        }
        if self.is_started(task) {
            // Until all workers have reported, one of them may run the task or have completed it.
            return Err(if self.seen_all {
                Code::TaskMaybeStarted
            } else {
                Code::WorkerAway
            });
        }
        let recordable = self.epoch.interim == 0 && !self.backoff.is_store_down();
        if recordable {
            Ok(())
        } else {
            Err(Code::StoreAway)
        }
    }

    /// Returns whether a non-idempotent task was or may have been started.
    fn is_started(&self, task: &id::Task) -> bool {
        let Some(attempt) = self.recorded_attempt(task) else {
            return false;
        };
        let run = id::Run {
            task: task.clone(),
            attempt,
        };
        let released = Record::NotStarted(run);
        let written = self.journal.appending();
        !(self.outbox.contains(&released)
            || written.is_some_and(|entry| entry.records.contains(&released)))
    }

    /// Releases held starts whose task cannot be on an unseen worker.
    pub(super) fn release_held_starts(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.refuse_late_starts(now, out);
        self.refuse_starts_of_ended_tasks(out);
        let has_unseen = self.has_unseen_workers();
        for at in 0..self.starts.len() {
            let pending = &self.starts[at];
            if pending.stage != Stage::Held
                || (has_unseen && !self.seen_tasks.contains(&pending.spec.run.task))
            {
                continue;
            }
            let run = pending.spec.run.clone();
            if pending.spec.idempotent {
                self.queue_start(at);
            } else {
                self.starts[at].stage = Stage::Recording;
                self.starts[at].since = now;
                self.outbox.push(Record::Started(run));
            }
        }
    }

    /// Refuses held starts of tasks that the log showed to be over only after the request.
    fn refuse_starts_of_ended_tasks(&mut self, out: &mut Vec<Output>) {
        let over = |p: &&Pending| p.stage == Stage::Held && self.is_over(&p.spec.run.task);
        let runs: Vec<id::Run> = self
            .starts
            .iter()
            .filter(over)
            .map(|p| p.spec.run.clone())
            .collect();
        for run in runs {
            self.cancel_start(&run, Code::Duplicate, out);
        }
    }

    /// Refuses starts whose write-ahead record is not in the log in time.
    fn refuse_late_starts(&mut self, now: Millis, out: &mut Vec<Output>) {
        let patience = self.settings.propose_ms;
        let late = |p: &&Pending| p.stage == Stage::Recording && now >= p.since + patience;
        let runs: Vec<id::Run> = self
            .starts
            .iter()
            .filter(late)
            .map(|p| p.spec.run.clone())
            .collect();
        for run in runs {
            self.cancel_start(&run, Code::StoreAway, out);
        }
    }

    fn queue_start(&mut self, at: usize) {
        let pending = &mut self.starts[at];
        pending.stage = Stage::Queued;
        let command = Command::Start(pending.spec.run.clone());
        let worker = pending.worker.clone();
        if let Some(at) = self.find_member(&worker) {
            self.members[at].commands.push_back(command);
        }
    }

    pub(super) fn pending(&self, run: &id::Run) -> Option<usize> {
        self.starts.iter().position(|p| p.spec.run == *run)
    }

    /// Queues a start whose write-ahead record is now in the log.
    pub(super) fn queue_recorded_start(&mut self, run: &id::Run) {
        match self.pending(run) {
            Some(at) if self.starts[at].stage == Stage::Recording => self.queue_start(at),
            Some(_) => {}
            None => self.outbox.push(Record::NotStarted(run.clone())),
        }
    }

    /// Cancels an unsent start because a worker reports that the task runs or ended elsewhere.
    ///
    /// Each lead counts attempts from one, so the reported run may have the same id.
    pub(super) fn abandon_start(&mut self, there: &id::Run, out: &mut Vec<Output>) {
        let other = |p: &&Pending| p.spec.run.task == there.task && p.is_unsent();
        let Some(run) = self.starts.iter().find(other).map(|p| p.spec.run.clone()) else {
            return;
        };
        self.cancel_start(&run, Code::Duplicate, out);
    }

    /// Cancels a start that was not yet sent.
    fn cancel_start(&mut self, run: &id::Run, code: Code, out: &mut Vec<Output>) {
        self.outbox.retain(|r| *r != Record::Started(run.clone()));
        let start = Command::Start(run.clone());
        for member in &mut self.members {
            member.commands.retain(|command| *command != start);
        }
        self.refuse_start(run, code, out);
    }

    /// Handles the confirmation that `worker` started the run.
    pub(super) fn confirm_start(
        &mut self,
        run: &id::Run,
        worker: &id::Worker,
        out: &mut Vec<Output>,
    ) {
        let here = |p: &Pending| p.spec.run == *run && p.worker == *worker;
        let Some(at) = self.starts.iter().position(here) else {
            return;
        };
        let pending = self.starts.swap_remove(at);
        self.release_checkpoints(|task| *task == run.task);
        if let Some(at) = self.find_member(&pending.worker) {
            self.members[at].add_run(run);
        }
        let (run, worker) = (pending.spec.run, pending.worker);
        Self::push_notice(out, Notice::Started { run, worker });
    }

    pub(super) fn start_refused(&mut self, run: &id::Run, refusal: Refusal, out: &mut Vec<Output>) {
        let code = match refusal {
            Refusal::Fenced => Code::Fenced,
            Refusal::Full => Code::WorkerFull,
            Refusal::Runs | Refusal::Again => Code::Duplicate,
            Refusal::Lapsed | Refusal::UnknownRun => Code::WorkerAway,
        };
        self.end_start(run, code, Some(refusal), out);
    }

    /// Refuses a start of a run that certainly does not run.
    pub(super) fn refuse_start(&mut self, run: &id::Run, code: Code, out: &mut Vec<Output>) {
        self.end_start(run, code, None, out);
    }

    fn end_start(
        &mut self,
        run: &id::Run,
        code: Code,
        refusal: Option<Refusal>,
        out: &mut Vec<Output>,
    ) {
        let Some(at) = self.pending(run) else {
            return;
        };
        let pending = self.starts.swap_remove(at);
        if self.recorded_attempt(&run.task) == Some(run.attempt) {
            self.outbox.push(Record::NotStarted(run.clone()));
        }
        self.unplace(run, &pending.worker);
        let (run, worker) = (pending.spec.run, pending.worker);
        let notice = Notice::Refused {
            run,
            worker,
            code,
            refusal,
        };
        Self::push_notice(out, notice);
    }

    /// Marks a start as uncertain because its answer was lost.
    pub(super) fn doubt_start(&mut self, run: &id::Run, until: Millis) {
        if let Some(at) = self.pending(run) {
            let until = match self.starts[at].stage {
                Stage::Sent(valid) => valid.max(until),
                _ => until,
            };
            self.starts[at].stage = Stage::Uncertain(until);
        }
    }

    /// Refuses the uncertain starts that a whole report of the worker shows were not carried out.
    ///
    /// The report does not contain them, and the worker's clock has passed the time until which it
    /// accepts them.
    pub(super) fn resolve_uncertain_starts(
        &mut self,
        worker: &id::Worker,
        stamp: Millis,
        out: &mut Vec<Output>,
    ) {
        let settled = |p: &&Pending| {
            p.worker == *worker && matches!(p.stage, Stage::Uncertain(until) if stamp > until)
        };
        let runs: Vec<id::Run> = self
            .starts
            .iter()
            .filter(settled)
            .map(|p| p.spec.run.clone())
            .collect();
        for run in runs {
            self.refuse_start(&run, Code::WorkerAway, out);
        }
    }

    /// Returns whether a start on `worker` is uncertain until the next whole report.
    pub(super) fn has_uncertain_start(&self, worker: &id::Worker) -> bool {
        let doubtful = |p: &Pending| p.worker == *worker && matches!(p.stage, Stage::Uncertain(_));
        self.starts.iter().any(doubtful)
    }

    /// Drops the starts on a lost worker: sent ones have ended if they ran, others never started.
    ///
    /// Sent starts of non-idempotent runs are reported as possibly started. All others are refused, so
    /// that the scheduler may start the task again.
    pub(super) fn drop_starts_on(&mut self, worker: &id::Worker, out: &mut Vec<Output>) {
        let here: Vec<Pending> = self
            .starts
            .iter()
            .filter(|p| p.worker == *worker)
            .cloned()
            .collect();
        for pending in here {
            let run = pending.spec.run;
            let sent = matches!(pending.stage, Stage::Sent(_) | Stage::Uncertain(_));
            if sent && !pending.spec.idempotent {
                self.starts.retain(|p| p.spec.run != run);
                self.unplace(&run, worker);
                Self::push_notice(out, Notice::MaybeStarted(run));
            } else {
                self.refuse_start(&run, Code::WorkerAway, out);
            }
        }
    }

    pub(super) fn stop(&mut self, run: &id::Run, grace: Millis, out: &mut Vec<Output>) {
        match self.pending(run) {
            Some(at) if self.starts[at].is_unsent() => {
                self.cancel_start(run, Code::TaskCancelled, out);
            }
            _ => self.queue(run, Command::Stop(run.clone(), grace)),
        }
    }

    /// Queues a command for the worker that has the run.
    pub(super) fn queue(&mut self, run: &id::Run, command: Command) {
        let Some(placement) = self.placements.get(&run.task) else {
            return;
        };
        let worker = placement.worker.clone();
        if let Some(at) = self.find_member(&worker) {
            self.members[at].commands.push_back(command);
        }
    }
}
