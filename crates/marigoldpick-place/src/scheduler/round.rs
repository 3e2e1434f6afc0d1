//! Rounds: waiting tasks are placed until none fits.

use std::cmp::Reverse;

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Spec;

use super::Scheduler;
use crate::action::Action;
use crate::job::State;
use crate::run::{Phase, Run};
use crate::score::{Ask, Policy};
use crate::size::Size;

impl<P: Policy> Scheduler<P> {
    pub(super) fn fill(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some(kind) = self.next_kind() {
            self.place_from(kind, now, out);
        }
    }

    /// Returns the kind whose first job goes next.
    fn next_kind(&mut self) -> Option<u32> {
        let count = u32::try_from(self.kinds.kinds().len()).unwrap_or(u32::MAX);
        let mut best = None;
        for kind in 0..count {
            if self.kinds.get(kind).blocked {
                continue;
            }
            let Some(order) = self.head(kind) else {
                continue;
            };
            let rank = (self.kinds.get(kind).priority, Reverse(order), kind);
            best = best.max(Some(rank));
        }
        best.map(|(_, _, kind)| kind)
    }

    /// Returns the order of a kind's first job with waiting tasks.
    fn head(&mut self, kind: u32) -> Option<u64> {
        loop {
            let waiter = *self.kinds.get(kind).queue.front()?;
            let valid = self.jobs.find(waiter.job, waiter.order).is_some();
            if valid {
                let job = self.jobs.get_mut(waiter.job);
                if job.next_waiting().is_some() {
                    return Some(waiter.order);
                }
                job.queued = false;
            }
            self.kinds.get_mut(kind).queue.pop_front();
        }
    }

    fn place_from(&mut self, kind: u32, now: Millis, out: &mut Vec<Action>) {
        let Some(waiter) = self.kinds.get(kind).queue.front().copied() else {
            return;
        };
        let Ok(ask) = self.accelerators.convert(&self.kinds.get(kind).needs) else {
            self.kinds.get_mut(kind).blocked = true;
            return;
        };
        let placed = if self.kinds.get(kind).class == Class::Gang {
            self.place_gang(waiter.job, &ask, now, out)
        } else {
            self.place_one(waiter.job, &ask, now, out)
        };
        if !placed {
            self.kinds.get_mut(kind).blocked = true;
        }
    }

    fn place_one(&mut self, job: u32, ask: &Size, now: Millis, out: &mut Vec<Action>) -> bool {
        let Some(worker) = self.pick(job, ask) else {
            return false;
        };
        let Some(index) = self.jobs.get_mut(job).next_waiting() else {
            return false;
        };
        self.start(job, index, worker, ask, now, out);
        true
    }

    /// Starts all tasks of a gang, or none.
    fn place_gang(&mut self, job: u32, ask: &Size, now: Millis, out: &mut Vec<Action>) -> bool {
        let mut workers = Vec::new();
        for _ in 0..self.jobs.get(job).waiting {
            let Some(worker) = self.pick(job, ask) else {
                break;
            };
            self.fleet
                .change(worker, |w| w.claimed = w.claimed.plus(ask));
            workers.push(worker);
        }
        for &worker in &workers {
            self.fleet
                .change(worker, |w| w.claimed = w.claimed.minus(ask));
        }
        if workers.len() < self.jobs.get(job).waiting as usize {
            return false;
        }
        for worker in workers {
            if let Some(index) = self.jobs.get_mut(job).next_waiting() {
                self.start(job, index, worker, ask, now, out);
            }
        }
        true
    }

    fn pick(&mut self, _job: u32, needs: &Size) -> Option<u32> {
        let ask = Ask {
            needs: *needs,
            mix: &self.mix,
            objective: self.objective,
        };
        self.policy.pick(&self.fleet, &ask, |_| true, &mut self.rng)
    }

    fn start(
        &mut self,
        job: u32,
        index: u32,
        worker: u32,
        ask: &Size,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let this = self.jobs.get_mut(job);
        let Some(task) = this.task_mut(index) else {
            return;
        };
        task.attempt += 1;
        task.lost = false;
        let attempt = task.attempt;
        let name = this.spec.name.clone();
        let slot = self.runs.add(Run {
            name,
            job: Some(job),
            index,
            attempt,
            worker,
            held: *ask,
            phase: Phase::Starting,
            since: now,
            limit: None,
            displaced: false,
        });
        self.jobs.get_mut(job).set(index, State::Placed(slot));
        self.fleet.change(worker, |w| {
            w.held = w.held.plus(ask);
            w.runs.push(slot);
        });
        out.push(Action::Start {
            worker: self.fleet.get(worker).id.clone(),
            spec: self.spec(job, slot, ask),
        });
    }

    fn spec(&self, job: u32, slot: u32, ask: &Size) -> Spec {
        let job = self.jobs.get(job);
        let run = self.runs.get(slot);
        Spec {
            run: run.id(),
            team: job.spec.team.clone(),
            needs: self.accelerators.amount(ask),
            service: job.spec.service.clone(),
            command: job.spec.command.clone(),
            idempotent: job.spec.idempotent,
            grace: job.spec.stop_ms,
            checkpoint: job.checkpoints.get(&run.index).cloned(),
        }
    }

    /// Lets kinds be tried again that may fit into what a worker has free now.
    pub(super) fn unblock(&mut self, worker: u32) {
        let worker = self.fleet.get(worker);
        if !worker.usable() {
            return;
        }
        let free = worker.free();
        for kind in self.kinds.kinds_mut() {
            if kind.blocked && kind.ask.is_none_or(|ask| free.holds(&ask)) {
                kind.blocked = false;
            }
        }
    }
}
