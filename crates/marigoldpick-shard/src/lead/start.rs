//! Starts: held while a worker may hold the task, written ahead when they must run at most once.

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Refusal, Spec};

use super::member::Act;
use super::report::Place;
use super::takeover::Role;
use super::{Lead, Notice, Output};
use crate::record::Record;

/// `Stage` is how far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// A worker that was not yet seen may hold the task.
    Held,
    /// The record that goes ahead is being written.
    Recording,
    /// It waits for its turn at the worker.
    Queued,
    /// It was sent, and the worker takes it until its clock passes this.
    Sent(Millis),
    /// The answer was lost; a whole report after this stamp settles it.
    Doubt(Millis),
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
            return Self::notice(out, refused);
        }
        spec.accepted = self
            .home(&spec.run.task.job)
            .map_or(0, |home| home.accepted);
        let place = Place {
            worker: worker.clone(),
            attempt: spec.run.attempt,
        };
        self.placed.insert(spec.run.task.clone(), place);
        let stage = Stage::Held;
        self.starts.push(Pending {
            worker,
            spec,
            stage,
            since: now,
        });
        self.release_starts(now, out);
    }

    fn check_start(&self, worker: &id::Worker, spec: &Spec) -> Result<(), Code> {
        if self.role != Role::Lead {
            return Err(Code::NotLead);
        }
        let there = self.find(worker).is_some_and(|at| self.members[at].up);
        if !there {
            return Err(Code::WorkerAway);
        }
        let task = &spec.run.task;
        let ending = self.endings.iter().any(|e| e.finished.run.task == *task);
        if self.home(&task.job).is_none() || self.is_behind(&task.job) {
            return Err(Code::ConfigOld);
        }
        if self.placed.contains_key(task) || ending || self.is_over(task) {
            return Err(Code::Duplicate);
        }
        if spec.idempotent {
            return Ok(());
        }
        if self.is_started(task) {
            // Until all workers have told what they have, one of them may run it or have it done.
            return Err(if self.settled {
                Code::TaskMaybeStarted
            } else {
                Code::WorkerAway
            });
        }
        let recordable = self.epoch.interim == 0 && !self.gate.is_out();
        if recordable {
            Ok(())
        } else {
            Err(Code::StoreAway)
        }
    }

    /// Tells whether a non-idempotent task was or may have been started.
    fn is_started(&self, task: &id::Task) -> bool {
        let Some(attempt) = self.started_as(task) else {
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

    /// Lets go of the starts that nothing holds any more.
    pub(super) fn release_starts(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.refuse_late(now, out);
        self.refuse_over(out);
        let blind = self.is_blind();
        for at in 0..self.starts.len() {
            let pending = &self.starts[at];
            if pending.stage != Stage::Held
                || (blind && !self.seen.contains(&pending.spec.run.task))
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

    /// Refuses starts of tasks that are over, as the log has shown only after they were asked for.
    fn refuse_over(&mut self, out: &mut Vec<Output>) {
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

    /// Refuses starts whose record does not get into the log in time.
    fn refuse_late(&mut self, now: Millis, out: &mut Vec<Output>) {
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
        let act = Act::Start(pending.spec.run.clone());
        let worker = pending.worker.clone();
        if let Some(at) = self.find(&worker) {
            self.members[at].queue.push_back(act);
        }
    }

    pub(super) fn pending(&self, run: &id::Run) -> Option<usize> {
        self.starts.iter().position(|p| p.spec.run == *run)
    }

    /// The record that goes ahead is in the log.
    pub(super) fn start_recorded(&mut self, run: &id::Run) {
        match self.pending(run) {
            Some(at) if self.starts[at].stage == Stage::Recording => self.queue_start(at),
            Some(_) => {}
            None => self.outbox.push(Record::NotStarted(run.clone())),
        }
    }

    /// Gives up a start that was not yet sent, since the task turns out to be elsewhere or over.
    ///
    /// Leads count attempts anew, so the run there may have the same name.
    pub(super) fn yield_start(&mut self, there: &id::Run, out: &mut Vec<Output>) {
        let other = |p: &&Pending| p.spec.run.task == there.task && p.is_unsent();
        let Some(run) = self.starts.iter().find(other).map(|p| p.spec.run.clone()) else {
            return;
        };
        self.cancel_start(&run, Code::Duplicate, out);
    }

    /// Takes back a start that was not yet sent.
    fn cancel_start(&mut self, run: &id::Run, code: Code, out: &mut Vec<Output>) {
        self.outbox.retain(|r| *r != Record::Started(run.clone()));
        let start = Act::Start(run.clone());
        for member in &mut self.members {
            member.queue.retain(|act| *act != start);
        }
        self.refuse_start(run, code, out);
    }

    /// The run was started on `worker`.
    pub(super) fn started(&mut self, run: &id::Run, worker: &id::Worker, out: &mut Vec<Output>) {
        let here = |p: &Pending| p.spec.run == *run && p.worker == *worker;
        let Some(at) = self.starts.iter().position(here) else {
            return;
        };
        let pending = self.starts.swap_remove(at);
        self.drop_checkpoints(|task| *task == run.task);
        if let Some(at) = self.find(&pending.worker) {
            self.members[at].add_run(run);
        }
        let (run, worker) = (pending.spec.run, pending.worker);
        Self::notice(out, Notice::Started { run, worker });
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

    /// The run was certainly not started.
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
        if self.started_as(&run.task) == Some(run.attempt) {
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
        Self::notice(out, notice);
    }

    /// The answer to a start was lost.
    pub(super) fn doubt_start(&mut self, run: &id::Run, until: Millis) {
        if let Some(at) = self.pending(run) {
            let until = match self.starts[at].stage {
                Stage::Sent(valid) => valid.max(until),
                _ => until,
            };
            self.starts[at].stage = Stage::Doubt(until);
        }
    }

    /// Settles starts whose answer was lost: the worker's whole report doesn't have them, and its
    /// clock has passed the last moment at which they could have been carried out.
    pub(super) fn settle_doubts(
        &mut self,
        worker: &id::Worker,
        stamp: Millis,
        out: &mut Vec<Output>,
    ) {
        let settled = |p: &&Pending| {
            p.worker == *worker && matches!(p.stage, Stage::Doubt(until) if stamp > until)
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

    /// Tells whether a start at `worker` waits to be settled by a whole report.
    pub(super) fn has_doubt(&self, worker: &id::Worker) -> bool {
        let doubtful = |p: &Pending| p.worker == *worker && matches!(p.stage, Stage::Doubt(_));
        self.starts.iter().any(doubtful)
    }

    /// The worker was lost: what was sent has ended if it ran, all else was not started.
    pub(super) fn lose_starts(&mut self, worker: &id::Worker, out: &mut Vec<Output>) {
        let here: Vec<Pending> = self
            .starts
            .iter()
            .filter(|p| p.worker == *worker)
            .cloned()
            .collect();
        for pending in here {
            let run = pending.spec.run;
            let sent = matches!(pending.stage, Stage::Sent(_) | Stage::Doubt(_));
            if sent && !pending.spec.idempotent {
                self.starts.retain(|p| p.spec.run != run);
                self.unplace(&run, worker);
                Self::notice(out, Notice::MaybeStarted(run));
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
            _ => self.act(run, Act::Stop(run.clone(), grace)),
        }
    }

    /// Queues a call for the worker that has the run.
    pub(super) fn act(&mut self, run: &id::Run, act: Act) {
        let Some(place) = self.placed.get(&run.task) else {
            return;
        };
        let worker = place.worker.clone();
        if let Some(at) = self.find(&worker) {
            self.members[at].queue.push_back(act);
        }
    }
}
