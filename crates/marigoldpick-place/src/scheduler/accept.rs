//! Jobs: how they come, are cancelled and end.

use marigoldpick_core::intent;
use marigoldpick_core::prelude::*;

use super::Scheduler;
use crate::action::Action;
use crate::event::Span;
use crate::job::{Job, State};
use crate::kind::Waiter;
use crate::run::Phase;
use crate::score::Policy;

/// `Past` is what earlier leads have recorded of a job.
#[derive(Clone, Debug)]
pub(super) struct Past {
    /// Tasks that have been completed.
    pub done: Vec<Span>,
    /// Tasks that have been given up.
    pub failed: Vec<Span>,
    /// Tasks that may have been started once.
    pub held: Vec<u32>,
    /// Whether no worker can hold a task of it yet.
    pub fresh: bool,
}

impl<P: Policy> Scheduler<P> {
    pub(super) fn accept(
        &mut self,
        spec: intent::Job,
        span: Span,
        past: &Past,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        if self.jobs.slot(&spec.name).is_some() {
            return;
        }
        let name = spec.name.clone();
        let kind = self.kinds.slot(&spec);
        if let Ok(size) = self.accelerators.convert(&spec.needs) {
            self.mix.note(&size, span.to.saturating_sub(span.from));
        }
        self.order += 1;
        let mut job = Job::new(spec, span, kind, now, self.order);
        job.fresh = past.fresh;
        recall(&mut job, past);
        let slot = self.jobs.add(job);
        self.adopt_orphans(slot, &name);
        self.give_up_held(slot, &past.held, out);
        self.enqueue(slot);
        self.end_if_over(slot, out);
    }

    /// Runs that were reported before their job was known become the job's.
    fn adopt_orphans(&mut self, slot: u32, name: &id::Job) {
        for run in self.orphans.remove(name).unwrap_or_default() {
            self.adopt_run(slot, run);
        }
    }

    /// Makes a reported run the run of its task.
    pub(super) fn adopt_run(&mut self, slot: u32, run: u32) {
        let (index, attempt) = {
            let run = self.runs.get_mut(run);
            run.job = Some(slot);
            (run.index, run.attempt)
        };
        let job = self.jobs.get_mut(slot);
        job.set(index, State::Placed(run));
        if let Some(task) = job.task_mut(index) {
            task.attempt = task.attempt.max(attempt);
        }
    }

    fn give_up_held(&mut self, slot: u32, held: &[u32], out: &mut Vec<Action>) {
        for &index in held {
            let job = self.jobs.get(slot);
            let waits = job.task(index).is_some_and(|t| t.state == State::Waiting);
            if waits {
                self.give_up(slot, index, Code::TaskMaybeStarted, out);
            }
        }
    }

    pub(super) fn give_up(&mut self, slot: u32, index: u32, code: Code, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        job.set(index, State::Failed);
        let task = id::Task::new(job.spec.name.clone(), index);
        out.push(Action::GiveUp { task, code });
    }

    /// Puts a job with waiting tasks into its kind's queue, at its place by arrival.
    pub(super) fn enqueue(&mut self, slot: u32) {
        let job = self.jobs.get_mut(slot);
        if job.queued || job.cancelled || job.waiting == 0 {
            return;
        }
        if !job.fresh && !self.unheard.is_empty() {
            return;
        }
        job.queued = true;
        let order = job.order;
        let queue = &mut self.kinds.get_mut(job.kind).queue;
        let at = queue.partition_point(|waiter| waiter.order < order);
        queue.insert(at, Waiter { job: slot, order });
    }

    /// Lets jobs of earlier leads start, now that every worker was heard.
    pub(super) fn all_heard(&mut self) {
        let slots: Vec<u32> = self.jobs.iter().map(|(slot, _)| slot).collect();
        slots.into_iter().for_each(|slot| self.enqueue(slot));
    }

    pub(super) fn cancel(&mut self, names: &[id::Job], out: &mut Vec<Action>) {
        for name in names {
            if let Some(slot) = self.jobs.slot(name) {
                self.cancel_job(slot, out);
            }
            for run in self.orphans.get(name).cloned().unwrap_or_default() {
                self.stop(run, Millis::ZERO, out);
            }
        }
    }

    fn cancel_job(&mut self, slot: u32, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        job.cancelled = true;
        job.pending.clear();
        let mut placed = Vec::with_capacity(job.placed as usize);
        for index in job.span.from..job.span.to {
            match job.task(index).map(|task| task.state) {
                Some(State::Waiting | State::Delayed) => job.set(index, State::Cancelled),
                Some(State::Placed(run)) => placed.push(run),
                _ => {}
            }
        }
        let grace = job.spec.stop_ms;
        placed
            .into_iter()
            .for_each(|run| self.stop(run, grace, out));
        self.end_if_over(slot, out);
    }

    /// Asks for a graceful stop, once.
    pub(super) fn stop(&mut self, slot: u32, grace: Millis, out: &mut Vec<Action>) {
        let run = self.runs.get_mut(slot);
        if run.phase == Phase::Stopping {
            return;
        }
        run.phase = Phase::Stopping;
        out.push(Action::Stop {
            worker: self.fleet.get(run.worker).id.clone(),
            run: run.id(),
            grace,
        });
    }

    /// Tells of a job's end once all its tasks have ended, and forgets it.
    pub(super) fn end_if_over(&mut self, slot: u32, out: &mut Vec<Action>) {
        if self.jobs.get(slot).open > 0 {
            return;
        }
        let Some(job) = self.jobs.remove(slot) else {
            return;
        };
        out.push(Action::JobEnded {
            job: job.spec.name,
            completed: job.completed,
            failed: job.failed,
        });
    }
}

fn recall(job: &mut Job, past: &Past) {
    for span in &past.done {
        (span.from..span.to).for_each(|index| job.set(index, State::Done));
    }
    for span in &past.failed {
        (span.from..span.to).for_each(|index| job.set(index, State::Failed));
    }
}
