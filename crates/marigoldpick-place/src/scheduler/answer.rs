//! Answers of workers: starts carried out or refused, and the ends of runs.

use std::cmp::Reverse;

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Outcome, Refusal};

use super::usage::Shortage;
use super::{Delay, Scheduler};
use crate::action::Action;
use crate::fleet;
use crate::job::State;
use crate::run::{Phase, Run};
use crate::score::Policy;

/// `End` is what a worker told of a run's end.
#[derive(Clone, Debug)]
pub(super) struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// How long it ran.
    pub age: Millis,
    /// The most it used.
    pub usage: Option<Amount>,
}

impl<P: Policy> Scheduler<P> {
    pub(super) fn started(&mut self, id: &id::Run, worker: &id::Worker, now: Millis) {
        let Some(slot) = self.find(id, worker) else {
            return;
        };
        let run = self.runs.get_mut(slot);
        if run.phase == Phase::Starting {
            run.phase = Phase::Running;
            run.since = now;
        }
    }

    pub(super) fn refused(
        &mut self,
        id: &id::Run,
        worker: &id::Worker,
        refusal: Option<Refusal>,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.find(id, worker) else {
            return;
        };
        if self.runs.get(slot).phase == Phase::Running {
            return;
        }
        match refusal {
            Some(Refusal::Runs) => self.started(id, worker, now),
            Some(Refusal::Again) => self.lose(slot, out),
            Some(Refusal::Fenced) => {
                let at = self.runs.get(slot).worker;
                self.fleet.change(at, |w| w.state = fleet::State::Silent);
                self.retry(slot, now, out);
            }
            Some(Refusal::Lapsed | Refusal::Full | Refusal::UnknownRun) | None => {
                self.retry(slot, now, out);
            }
        }
    }

    /// Puts the task of a run that had no effect back, after a short delay.
    fn retry(&mut self, slot: u32, now: Millis, out: &mut Vec<Action>) {
        let Some(run) = self.remove_run(slot) else {
            return;
        };
        let Some(job) = run.job else {
            return;
        };
        self.delay(job, run.index, now + self.settings.backoff, out);
        self.stop_gang(job, out);
        self.end_if_over(job, out);
    }

    pub(super) fn maybe_started(&mut self, id: &id::Run, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.slot(&id.task.job) else {
            return;
        };
        let state = self.jobs.get(job).task(id.task.index).map(|t| t.state);
        if let Some(State::Placed(slot)) = state {
            self.remove_run(slot);
        }
        if self
            .jobs
            .get(job)
            .task(id.task.index)
            .is_some_and(|t| !t.ended())
        {
            self.give_up(job, id.task.index, Code::TaskMaybeStarted, out);
            self.doom(job, out);
            self.stop_gang(job, out);
            self.end_if_over(job, out);
        }
    }

    pub(super) fn finished(
        &mut self,
        id: &id::Run,
        worker: &id::Worker,
        end: End,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.find(id, worker) else {
            self.finished_before(id, &end.outcome, out);
            return;
        };
        let Some(run) = self.remove_run(slot) else {
            return;
        };
        let Some(job) = run.job else {
            return;
        };
        let current = self.jobs.get(job).task(run.index).map(|task| task.state);
        if current != Some(State::Placed(slot)) {
            return;
        }
        self.learn_end(job, &run, &end);
        self.end_run(job, &run, end, now, out);
        self.end_if_over(job, out);
    }

    fn end_run(&mut self, job: u32, run: &Run, end: End, now: Millis, out: &mut Vec<Action>) {
        let index = run.index;
        match end.outcome {
            Outcome::Done => {
                self.note_done(job, run.worker, now);
                if self.runs_on(job) {
                    let again = now + self.settings.backoff;
                    self.delay(job, index, again, out);
                } else {
                    self.jobs.get_mut(job).set(index, State::Done);
                    self.enqueue(job);
                }
            }
            Outcome::Failed => {
                let shortage = self.shortage(job, run, end.usage.as_ref());
                if shortage != Shortage::None {
                    self.note_shortage(job, run, end.age, now, out);
                }
                match shortage {
                    Shortage::None => {
                        self.note_failure(job, run, now, out);
                        self.failed(job, run, now, out);
                    }
                    Shortage::Ours => {
                        if let Some(task) = self.jobs.get_mut(job).task_mut(index) {
                            task.failed_on = Some(run.worker);
                        }
                        self.put_back(job, index, out);
                    }
                    Shortage::Theirs => self.failed(job, run, now, out),
                }
                self.stop_gang(job, out);
            }
            Outcome::Checkpointed(text) => {
                self.jobs.get_mut(job).checkpoints.insert(index, text);
                self.put_back(job, index, out);
                self.stop_gang(job, out);
            }
            Outcome::Stopped | Outcome::Lapsed => self.put_back_lost(job, run, out),
        }
    }

    fn failed(&mut self, slot: u32, run: &Run, now: Millis, out: &mut Vec<Action>) {
        let forgiven = if self.runs_on(slot) {
            now.since(run.since).0 / self.settings.forgive.0.max(1)
        } else {
            0
        };
        let job = self.jobs.get_mut(slot);
        let (limit, idempotent) = (job.spec.attempts, job.spec.idempotent);
        let Some(task) = job.task_mut(run.index) else {
            return;
        };
        let forgiven = u16::try_from(forgiven).unwrap_or(u16::MAX);
        task.failures = task.failures.saturating_sub(forgiven).saturating_add(1);
        task.failed_on = Some(run.worker);
        let failures = u32::from(task.failures);
        if failures >= limit || !idempotent {
            self.give_up(slot, run.index, Code::TaskFailed, out);
            self.doom(slot, out);
            return;
        }
        let doubled = self.settings.backoff.times(1 << (failures - 1).min(20));
        let wait = doubled.min(self.settings.backoff_max);
        self.delay(slot, run.index, now + wait, out);
    }

    /// The end of a run that an earlier lead started and this one never saw running.
    fn finished_before(&mut self, id: &id::Run, outcome: &Outcome, out: &mut Vec<Action>) {
        let Some(slot) = self.jobs.slot(&id.task.job) else {
            return;
        };
        let job = self.jobs.get_mut(slot);
        let Some(task) = job.task_mut(id.task.index) else {
            return;
        };
        let latest = id.attempt >= task.attempt;
        task.attempt = task.attempt.max(id.attempt);
        let state = task.state;
        if let Outcome::Checkpointed(text) = outcome {
            if latest && matches!(state, State::Waiting | State::Delayed) {
                job.checkpoints.insert(id.task.index, text.clone());
            }
            return;
        }
        if *outcome != Outcome::Done || task.ended() || self.runs_on(slot) {
            return;
        }
        let job = self.jobs.get_mut(slot);
        job.set(id.task.index, State::Done);
        if let State::Placed(run) = state {
            self.disown(run);
            self.stop(run, Millis::ZERO, out);
        }
        self.end_if_over(slot, out);
    }

    /// Tells whether a job's tasks run until they are cancelled, so that one that ends by itself is
    /// started again.
    fn runs_on(&self, slot: u32) -> bool {
        let spec = &self.jobs.get(slot).spec;
        spec.class == Class::Service && spec.idempotent
    }

    /// Ends a run whose worker lost it.
    pub(super) fn lose(&mut self, slot: u32, out: &mut Vec<Action>) {
        let Some(run) = self.remove_run(slot) else {
            return;
        };
        let Some(job) = run.job else {
            return;
        };
        let current = self.jobs.get(job).task(run.index).map(|task| task.state);
        if current == Some(State::Placed(slot)) {
            self.put_back_lost(job, &run, out);
            self.end_if_over(job, out);
        }
    }

    /// Lets a task wait again, unless it may have run and must not run twice.
    fn put_back_lost(&mut self, slot: u32, run: &Run, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        if !job.spec.idempotent && !job.cancelled {
            self.give_up(slot, run.index, Code::TaskMaybeStarted, out);
            self.doom(slot, out);
            self.stop_gang(slot, out);
            return;
        }
        if let Some(task) = job.task_mut(run.index) {
            task.lost = run.displaced.is_none();
        }
        self.put_back(slot, run.index, out);
        self.stop_gang(slot, out);
    }

    /// Lets a task wait again; it keeps its job's age.
    pub(super) fn put_back(&mut self, slot: u32, index: u32, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        if job.cancelled {
            job.set(index, State::Cancelled);
            return;
        }
        if let Some(code) = job.doomed {
            self.give_up(slot, index, code, out);
            return;
        }
        job.put_back(index);
        self.enqueue(slot);
    }

    fn delay(&mut self, slot: u32, index: u32, until: Millis, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        if job.cancelled || job.doomed.is_some() {
            self.put_back(slot, index, out);
            return;
        }
        job.set(index, State::Delayed);
        let order = job.order;
        self.delays.push(Reverse(Delay {
            until,
            job: slot,
            order,
            index,
        }));
    }

    /// Stops the rest of a gang one of whose tasks has no run, so that all start together again.
    pub(super) fn stop_gang(&mut self, slot: u32, out: &mut Vec<Action>) {
        let job = self.jobs.get(slot);
        if job.spec.class != Class::Gang || job.placed == 0 {
            return;
        }
        let grace = job.spec.stop_ms;
        for run in job.placed_runs() {
            self.stop(run, grace, out);
        }
    }

    pub(super) fn end_delays(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some(Reverse(delay)) = self.delays.peek().copied() {
            if delay.until > now {
                return;
            }
            self.delays.pop();
            if self.jobs.find(delay.job, delay.order).is_none() {
                continue;
            }
            let state = self.jobs.get(delay.job).task(delay.index).map(|t| t.state);
            if state == Some(State::Delayed) {
                self.put_back(delay.job, delay.index, out);
            }
        }
    }

    /// Returns the slot of a run that is the present one of its task.
    pub(super) fn find_run(&self, id: &id::Run) -> Option<u32> {
        let job = self.jobs.get(self.jobs.slot(&id.task.job)?);
        match job.task(id.task.index)?.state {
            State::Placed(slot) if self.runs.get(slot).attempt == id.attempt => Some(slot),
            _ => None,
        }
    }

    /// Returns the slot of a run on a worker.
    fn find(&self, id: &id::Run, worker: &id::Worker) -> Option<u32> {
        let at = self.fleet.slot(worker)?;
        let present = self
            .find_run(id)
            .filter(|&slot| self.runs.get(slot).worker == at);
        let same = |slot: &&u32| self.runs.get(**slot).is(id);
        present.or_else(|| self.fleet.get(at).runs.iter().find(same).copied())
    }
}
