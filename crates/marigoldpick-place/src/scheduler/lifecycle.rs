//! Provides the life cycle of jobs: acceptance, cancellation and end.

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

/// `History` is what earlier leads have recorded about a job.
#[derive(Clone, Debug)]
pub(super) struct History {
    /// Completed tasks.
    pub done: Vec<Span>,
    /// Tasks that were given up.
    pub failed: Vec<Span>,
    /// Whether no worker can be running a task of the job yet.
    pub fresh: bool,
}

impl<P: Policy> Scheduler<P> {
    pub(super) fn accept_job(
        &mut self,
        spec: intent::Job,
        span: Span,
        history: &History,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        if self.jobs.slot(&spec.name).is_some() {
            return;
        }
        let name = spec.name.clone();
        let team = self.teams.slot(&spec.team);
        let kind = self.kinds.slot(&spec, team);
        self.record_arrival(&spec, span, now);
        self.last_order += 1;
        let mut job = Job::new(spec, span, kind, now, self.last_order);
        job.fresh = history.fresh;
        job.team = team;
        restore_history(&mut job, history);
        let slot = self.jobs.add(job);
        self.kinds.get_mut(kind).jobs += 1;
        self.adopt_orphans(&name, out);
        self.stop_partial_gang(slot, out);
        self.enqueue(slot);
        self.end_job_if_finished(slot, out);
    }

    /// Assigns runs that were reported before their job was known to the job.
    fn adopt_orphans(&mut self, name: &id::Job, out: &mut Vec<Action>) {
        for run in self.orphans.remove(name).unwrap_or_default() {
            self.match_reported_run(run, out);
        }
    }

    /// Makes a reported run the current run of its task.
    pub(super) fn assign_run(&mut self, slot: u32, run: u32) {
        let (index, attempt, worker) = {
            let run = self.runs.get_mut(run);
            run.job = Some(slot);
            (run.index, run.attempt, run.worker)
        };
        self.adjust_rack_count(slot, worker, true);
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

    /// Inserts a job with waiting tasks into the queue of its kind, by arrival order.
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
            self.active_kinds.push(slot_of_kind);
        }
    }

    /// Records the arrival of a job in the mix of sizes and, if it is urgent, for the headroom.
    fn record_arrival(&mut self, spec: &intent::Job, span: Span, now: Millis) {
        let Ok(size) = self.accelerators.to_size(&spec.needs) else {
            return;
        };
        let count = span.to.saturating_sub(span.from);
        self.mix.record_arrivals(&size, count);
        if spec.priority != Priority::Urgent {
            return;
        }
        if self.headroom.record_arrivals(&size, count, now) {
            self.fleet.set_headroom_size(*self.headroom.size());
        }
        self.refresh_headroom(now);
    }

    pub(super) fn refresh_headroom(&mut self, now: Millis) {
        let span = self.settings.headroom_span;
        let waiting = waiting_weight(&self.objective);
        let ceased = self
            .headroom
            .refresh(span, waiting, self.fleet.total(), now);
        if ceased {
            self.fleet.set_headroom_size(Size::default());
        }
    }

    /// Enqueues the jobs of earlier leads once every worker was heard from.
    pub(super) fn enqueue_all_jobs(&mut self, out: &mut Vec<Action>) {
        let slots: Vec<u32> = self.jobs.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            self.stop_partial_gang(slot, out);
            self.enqueue(slot);
        }
    }

    /// Stops the remaining runs of a gang that lost tasks while the shard had no lead.
    fn stop_partial_gang(&mut self, slot: u32, out: &mut Vec<Action>) {
        if self.unheard.is_empty() && self.jobs.get(slot).waiting > 0 {
            self.stop_gang(slot, out);
        }
    }

    pub(super) fn cancel_jobs(&mut self, names: &[id::Job], out: &mut Vec<Action>) {
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
        self.end_job_if_finished(slot, out);
    }

    /// Requests a graceful stop unless one was requested before.
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

    /// Reports the end of a job and removes it once all its tasks have ended.
    pub(super) fn end_job_if_finished(&mut self, slot: u32, out: &mut Vec<Action>) {
        if self.jobs.get(slot).unfinished > 0 {
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

fn restore_history(job: &mut Job, history: &History) {
    for span in &history.done {
        (span.from..span.to).for_each(|index| job.set(index, State::Done));
    }
    for span in &history.failed {
        (span.from..span.to).for_each(|index| job.set(index, State::Failed));
    }
}

/// Returns the weight of waiting against packing: 1 if both weigh the same, at most 2.
fn waiting_weight(objective: &Objective) -> f64 {
    let sum = objective.waiting + objective.packing;
    if sum > 0.0 {
        2.0 * objective.waiting / sum
    } else {
        1.0
    }
}
