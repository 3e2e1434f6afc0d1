//! Answers of workers: starts carried out or refused, and the ends of runs.

use std::cmp::Reverse;

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Outcome, Refusal};

use super::{Delay, Scheduler};
use crate::action::Action;
use crate::fleet;
use crate::job::State;
use crate::run::{Phase, Run};
use crate::score::Policy;

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
                self.retry(slot, now);
            }
            Some(Refusal::Lapsed | Refusal::Full | Refusal::UnknownRun) | None => {
                self.retry(slot, now);
            }
        }
    }

    /// Puts the task of a run that had no effect back, after a short delay.
    fn retry(&mut self, slot: u32, now: Millis) {
        let Some(run) = self.remove_run(slot) else {
            return;
        };
        if let Some(job) = run.job {
            self.delay(job, run.index, now + self.settings.backoff);
        }
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
            self.end_if_over(job, out);
        }
    }

    pub(super) fn finished(
        &mut self,
        id: &id::Run,
        worker: &id::Worker,
        outcome: Outcome,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.find(id, worker) else {
            self.finished_before(id, &outcome, out);
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
        self.end_run(job, &run, outcome, now, out);
        self.end_if_over(job, out);
    }

    fn end_run(
        &mut self,
        job: u32,
        run: &Run,
        outcome: Outcome,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let index = run.index;
        match outcome {
            Outcome::Done => self.jobs.get_mut(job).set(index, State::Done),
            Outcome::Failed => self.failed(job, run, now, out),
            Outcome::Checkpointed(text) => {
                self.jobs.get_mut(job).checkpoints.insert(index, text);
                self.put_back(job, index);
            }
            Outcome::Stopped | Outcome::Lapsed => self.put_back_lost(job, index, out),
        }
    }

    fn failed(&mut self, slot: u32, run: &Run, now: Millis, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        let limit = job.spec.attempts;
        let idempotent = job.spec.idempotent;
        let Some(task) = job.task_mut(run.index) else {
            return;
        };
        task.failures = task.failures.saturating_add(1);
        task.failed_on = Some(run.worker);
        let failures = u32::from(task.failures);
        if failures >= limit || !idempotent {
            self.give_up(slot, run.index, Code::TaskFailed, out);
            return;
        }
        let doubled = self.settings.backoff.times(1 << (failures - 1).min(20));
        let wait = doubled.min(self.settings.backoff_max);
        self.delay(slot, run.index, now + wait);
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
        task.attempt = task.attempt.max(id.attempt);
        let state = task.state;
        if *outcome != Outcome::Done || task.ended() {
            return;
        }
        job.set(id.task.index, State::Done);
        if let State::Placed(run) = state {
            self.runs.get_mut(run).job = None;
            self.stop(run, Millis::ZERO, out);
        }
        self.end_if_over(slot, out);
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
            self.put_back_lost(job, run.index, out);
            self.end_if_over(job, out);
        }
    }

    /// Lets a task wait again, unless it may have run and must not run twice.
    fn put_back_lost(&mut self, slot: u32, index: u32, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        if job.cancelled {
            job.set(index, State::Cancelled);
            return;
        }
        if !job.spec.idempotent {
            self.give_up(slot, index, Code::TaskMaybeStarted, out);
            return;
        }
        if let Some(task) = job.task_mut(index) {
            task.lost = true;
        }
        self.put_back(slot, index);
    }

    /// Lets a task wait again; it keeps its job's age.
    pub(super) fn put_back(&mut self, slot: u32, index: u32) {
        let job = self.jobs.get_mut(slot);
        if job.cancelled {
            job.set(index, State::Cancelled);
            return;
        }
        job.put_back(index);
        self.enqueue(slot);
    }

    fn delay(&mut self, slot: u32, index: u32, until: Millis) {
        let job = self.jobs.get_mut(slot);
        if job.cancelled {
            job.set(index, State::Cancelled);
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

    pub(super) fn end_delays(&mut self, now: Millis) {
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
                self.put_back(delay.job, delay.index);
            }
        }
    }

    /// Returns the slot of a run on a worker.
    fn find(&self, id: &id::Run, worker: &id::Worker) -> Option<u32> {
        let at = self.fleet.slot(worker)?;
        let job = self.jobs.slot(&id.task.job).map(|job| self.jobs.get(job));
        if let Some(State::Placed(slot)) = job.and_then(|j| j.task(id.task.index)).map(|t| t.state)
        {
            let run = self.runs.get(slot);
            if run.worker == at && run.attempt == id.attempt {
                return Some(slot);
            }
        }
        let same = |slot: &&u32| {
            let run = self.runs.get(**slot);
            run.index == id.task.index && run.attempt == id.attempt && run.name == id.task.job
        };
        self.fleet.get(at).runs.iter().find(same).copied()
    }

    /// Removes a run and gives its room back.
    fn remove_run(&mut self, slot: u32) -> Option<Run> {
        let run = self.runs.remove(slot)?;
        self.fleet.change(run.worker, |worker| {
            worker.held = worker.held.minus(&run.held);
            worker.runs.retain(|&have| have != slot);
        });
        if run.job.is_none()
            && let Some(orphans) = self.orphans.get_mut(&run.name)
        {
            orphans.retain(|&have| have != slot);
        }
        self.unblock(run.worker);
        Some(run)
    }
}
