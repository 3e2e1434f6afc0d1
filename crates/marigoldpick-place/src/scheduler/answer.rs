//! Handles the answers of workers: confirmed and refused starts, and the ends of runs.

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

/// `End` is the report of a worker on the end of a run.
#[derive(Clone, Debug)]
pub(super) struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// How long it ran.
    pub age: Millis,
    /// Its peak usage.
    pub usage: Option<Amount>,
}

impl<P: Policy> Scheduler<P> {
    pub(super) fn handle_started(&mut self, id: &id::Run, worker: &id::Worker, now: Millis) {
        let Some(slot) = self.find_run_on(id, worker) else {
            return;
        };
        let run = self.runs.get_mut(slot);
        if run.phase == Phase::Starting {
            run.phase = Phase::Running;
            run.since = now;
        }
    }

    pub(super) fn handle_refused(
        &mut self,
        id: &id::Run,
        worker: &id::Worker,
        refusal: Option<Refusal>,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.find_run_on(id, worker) else {
            return;
        };
        if self.runs.get(slot).phase == Phase::Running {
            return;
        }
        match refusal {
            Some(Refusal::Runs) => self.handle_started(id, worker, now),
            Some(Refusal::Again) => self.end_lost_run(slot, out),
            Some(Refusal::Fenced) => {
                let at = self.runs.get(slot).worker;
                self.fleet.update(at, |w| w.state = fleet::State::Silent);
                self.retry_after_backoff(slot, now, out);
            }
            Some(Refusal::Lapsed | Refusal::Full | Refusal::UnknownRun) | None => {
                self.retry_after_backoff(slot, now, out);
            }
        }
    }

    /// Lets the task of a run that never started wait again after a short delay.
    fn retry_after_backoff(&mut self, slot: u32, now: Millis, out: &mut Vec<Action>) {
        let Some(run) = self.remove_run(slot) else {
            return;
        };
        let Some(job) = run.job else {
            return;
        };
        self.delay_task(job, run.index, now + self.settings.backoff, out);
        self.stop_gang(job, out);
        self.end_job_if_finished(job, out);
    }

    pub(super) fn handle_maybe_started(&mut self, id: &id::Run, out: &mut Vec<Action>) {
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
            .is_some_and(|t| !t.has_ended())
        {
            self.give_up(job, id.task.index, Code::TaskMaybeStarted, out);
            self.abandon_if_hopeless(job, out);
            self.stop_gang(job, out);
            self.end_job_if_finished(job, out);
        }
    }

    pub(super) fn handle_finished(
        &mut self,
        id: &id::Run,
        worker: &id::Worker,
        end: End,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.find_run_on(id, worker) else {
            self.finish_unknown_run(id, &end.outcome, out);
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
        self.learn_from_end(job, &run, &end);
        self.end_run(job, &run, end, now, out);
        self.end_job_if_finished(job, out);
    }

    fn end_run(&mut self, job: u32, run: &Run, end: End, now: Millis, out: &mut Vec<Action>) {
        let index = run.index;
        match end.outcome {
            Outcome::Done => {
                self.record_success(job, run.worker, now);
                if self.is_restarted_on_exit(job) {
                    let again = now + self.settings.backoff;
                    self.delay_task(job, index, again, out);
                } else {
                    self.jobs.get_mut(job).set(index, State::Done);
                    self.enqueue(job);
                }
            }
            Outcome::Failed => {
                let shortage = self.classify_shortage(job, run, end.usage.as_ref());
                if shortage != Shortage::None {
                    self.record_shortage(job, run, end.age, now, out);
                }
                match shortage {
                    Shortage::None => {
                        self.record_failure(job, run, now, out);
                        self.record_task_failure(job, run, now, out);
                    }
                    Shortage::Underestimated => {
                        if let Some(task) = self.jobs.get_mut(job).task_mut(index) {
                            task.failed_on = Some(run.worker);
                        }
                        self.requeue_task(job, index, out);
                    }
                    Shortage::Underdeclared => self.record_task_failure(job, run, now, out),
                }
                self.stop_gang(job, out);
            }
            Outcome::Checkpointed(text) => {
                self.jobs.get_mut(job).checkpoints.insert(index, text);
                self.requeue_task(job, index, out);
                self.stop_gang(job, out);
            }
            Outcome::Stopped | Outcome::Lapsed => self.requeue_lost_task(job, run, out),
        }
    }

    fn record_task_failure(&mut self, slot: u32, run: &Run, now: Millis, out: &mut Vec<Action>) {
        let forgiven = if self.is_restarted_on_exit(slot) {
            now.since(run.since).0 / self.settings.failure_decay.0.max(1)
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
            self.abandon_if_hopeless(slot, out);
            return;
        }
        let doubled = self.settings.backoff.times(1 << (failures - 1).min(20));
        let wait = doubled.min(self.settings.backoff_max);
        self.delay_task(slot, run.index, now + wait, out);
    }

    /// Handles the end of a run that an earlier lead started and that this lead never saw running.
    fn finish_unknown_run(&mut self, id: &id::Run, outcome: &Outcome, out: &mut Vec<Action>) {
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
        if *outcome != Outcome::Done || task.has_ended() || self.is_restarted_on_exit(slot) {
            return;
        }
        let job = self.jobs.get_mut(slot);
        job.set(id.task.index, State::Done);
        if let State::Placed(run) = state {
            self.detach_run(run);
            self.stop(run, Millis::ZERO, out);
        }
        self.end_job_if_finished(slot, out);
    }

    /// Returns whether the tasks of a job run until they are cancelled, so that a task that exits is
    /// started again.
    fn is_restarted_on_exit(&self, slot: u32) -> bool {
        let spec = &self.jobs.get(slot).spec;
        spec.class == Class::Service && spec.idempotent
    }

    /// Ends a run that was lost with its worker or is missing from it.
    pub(super) fn end_lost_run(&mut self, slot: u32, out: &mut Vec<Action>) {
        let Some(run) = self.remove_run(slot) else {
            return;
        };
        let Some(job) = run.job else {
            return;
        };
        let current = self.jobs.get(job).task(run.index).map(|task| task.state);
        if current == Some(State::Placed(slot)) {
            self.requeue_lost_task(job, &run, out);
            self.end_job_if_finished(job, out);
        }
    }

    /// Lets a task wait again, or gives it up if it may have run and must not run twice.
    fn requeue_lost_task(&mut self, slot: u32, run: &Run, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        if !job.spec.idempotent && !job.cancelled {
            self.give_up(slot, run.index, Code::TaskMaybeStarted, out);
            self.abandon_if_hopeless(slot, out);
            self.stop_gang(slot, out);
            return;
        }
        if let Some(task) = job.task_mut(run.index) {
            task.lost = run.displaced.is_none();
        }
        self.requeue_task(slot, run.index, out);
        self.stop_gang(slot, out);
    }

    /// Lets a task wait again with the age of its job; ends it if the job is cancelled or abandoned.
    pub(super) fn requeue_task(&mut self, slot: u32, index: u32, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        if job.cancelled {
            job.set(index, State::Cancelled);
            return;
        }
        if let Some(code) = job.abandoned {
            self.give_up(slot, index, code, out);
            return;
        }
        job.requeue(index);
        self.enqueue(slot);
    }

    fn delay_task(&mut self, slot: u32, index: u32, until: Millis, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        if job.cancelled || job.abandoned.is_some() {
            self.requeue_task(slot, index, out);
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

    /// Stops the remaining runs of a gang that has lost one, so that all its tasks start together again.
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

    pub(super) fn release_delayed_tasks(&mut self, now: Millis, out: &mut Vec<Action>) {
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
                self.requeue_task(delay.job, delay.index, out);
            }
        }
    }

    /// Returns the slot of a run if it is the current run of its task.
    pub(super) fn find_current_run(&self, id: &id::Run) -> Option<u32> {
        let job = self.jobs.get(self.jobs.slot(&id.task.job)?);
        match job.task(id.task.index)?.state {
            State::Placed(slot) if self.runs.get(slot).attempt == id.attempt => Some(slot),
            _ => None,
        }
    }

    /// Returns the slot of a run on a worker, whether or not it is the current run of its task.
    fn find_run_on(&self, id: &id::Run, worker: &id::Worker) -> Option<u32> {
        let at = self.fleet.slot(worker)?;
        let present = self
            .find_current_run(id)
            .filter(|&slot| self.runs.get(slot).worker == at);
        let same = |slot: &&u32| self.runs.get(**slot).is(id);
        present.or_else(|| self.fleet.get(at).runs.iter().find(same).copied())
    }
}
