//! Jobs: how they come, are cancelled and end.

use marigoldpick_core::intent::{self, Class, Objective, Priority};
use marigoldpick_core::prelude::*;

use super::Scheduler;
use crate::action::Action;
use crate::event::Span;
use crate::fleet;
use crate::job::{Job, State};
use crate::kind::Waiter;
use crate::run::Phase;
use crate::score::Policy;
use crate::size::Size;

/// `Past` is what earlier leads have recorded of a job.
#[derive(Clone, Debug)]
pub(super) struct Past {
    /// Tasks that have been completed.
    pub done: Vec<Span>,
    /// Tasks that have been given up.
    pub failed: Vec<Span>,
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
        let team = self.teams.slot(&spec.team);
        let kind = self.kinds.slot(&spec, team);
        self.note_arrival(&spec, span, now);
        self.order += 1;
        let mut job = Job::new(spec, span, kind, now, self.order);
        job.fresh = past.fresh;
        job.team = team;
        recall(&mut job, past);
        let slot = self.jobs.add(job);
        self.kinds.get_mut(kind).jobs += 1;
        self.adopt_orphans(&name, out);
        self.mend_gang(slot, out);
        self.enqueue(slot);
        self.end_if_over(slot, out);
    }

    /// Runs that were reported before their job was known become the job's.
    fn adopt_orphans(&mut self, name: &id::Job, out: &mut Vec<Action>) {
        for run in self.orphans.remove(name).unwrap_or_default() {
            self.adopt(run, out);
        }
    }

    /// Makes a reported run the run of its task.
    pub(super) fn adopt_run(&mut self, slot: u32, run: u32) {
        let (index, attempt, worker) = {
            let run = self.runs.get_mut(run);
            run.job = Some(slot);
            (run.index, run.attempt, run.worker)
        };
        self.count_rack(slot, worker, true);
        let job = self.jobs.get_mut(slot);
        job.set(index, State::Placed(run));
        if let Some(task) = job.task_mut(index) {
            task.attempt = task.attempt.max(attempt);
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
        if job.spec.class == Class::Gang && (job.placed > 0 || job.delayed > 0) {
            return;
        }
        job.queued = true;
        let order = job.order;
        let slot_of_kind = job.kind;
        let kind = self.kinds.get_mut(slot_of_kind);
        let at = kind.queue.partition_point(|waiter| waiter.order < order);
        kind.queue.insert(at, Waiter { job: slot, order });
        kind.block = kind.block.filter(|_| kind.class != Class::Gang);
        if !kind.active {
            kind.active = true;
            self.active.push(slot_of_kind);
        }
    }

    /// Notes what the shard is asked for: the mix of sizes, and urgent work.
    fn note_arrival(&mut self, spec: &intent::Job, span: Span, now: Millis) {
        let Ok(size) = self.accelerators.convert(&spec.needs) else {
            return;
        };
        let count = span.to.saturating_sub(span.from);
        self.mix.note(&size, count);
        if spec.priority != Priority::Urgent {
            return;
        }
        if self.headroom.note(&size, count, now) {
            self.fleet.watch(*self.headroom.size());
        }
        self.refresh_headroom(now);
    }

    pub(super) fn refresh_headroom(&mut self, now: Millis) {
        let span = self.settings.headroom;
        let waiting = waiting_share(&self.objective);
        let ceased = self
            .headroom
            .refresh(span, waiting, self.fleet.total(), now);
        if ceased {
            self.fleet.watch(Size::default());
        }
    }

    /// Lets jobs of earlier leads start, now that every worker was heard.
    pub(super) fn all_heard(&mut self, out: &mut Vec<Action>) {
        let slots: Vec<u32> = self.jobs.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            self.mend_gang(slot, out);
            self.enqueue(slot);
        }
    }

    /// Stops what is left of a gang that lost tasks while the shard had no lead.
    fn mend_gang(&mut self, slot: u32, out: &mut Vec<Action>) {
        if self.unheard.is_empty() && self.jobs.get(slot).waiting > 0 {
            self.stop_gang(slot, out);
        }
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
        let worker = self.fleet.get(run.worker);
        if worker.state == fleet::State::Gone {
            return;
        }
        out.push(Action::Stop {
            worker: worker.id.clone(),
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
        self.kinds.get_mut(job.kind).jobs -= 1;
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

/// Returns how waiting weighs against packing: one when they weigh the same, two at most.
fn waiting_share(objective: &Objective) -> f64 {
    let sum = objective.waiting + objective.packing;
    if sum > 0.0 {
        2.0 * objective.waiting / sum
    } else {
        1.0
    }
}
