//! The waiting tasks that can use capacity which is expected to become free.
//!
//! Load pattern: work waits that nothing on its way will let start, since lasting tasks or long runs hold what it needs,
//! its label is gone or its spread limit is reached. What is kept from other work for a waiting step is therefore kept
//! only as far as the runs on the workers show that the step can use it.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Part, Step};

use super::Lead;
use super::advise::{count_fitting, spread_left};
use super::room::Room;
use crate::job::{Job, Stage};
use crate::queue::Queue;
use crate::worker::Worker;

/// How far ahead free capacity counts in a service without advised queues: as far as with tickets of this validity.
const DEFAULT_HORIZON: Millis = Millis(2_500);

/// Returns whether a worker may run tasks of a step, as far as is known.
pub(super) fn is_allowed(queue: &Queue, step: &Step, stage: &Stage, worker: &Worker) -> bool {
    let verdict = stage.tickets.find(&worker.node.id);
    let is_refused = verdict.is_some_and(|verdict| verdict.ticket.is_none());
    worker.has_label_for(step) && !(queue.policy.is_some() && is_refused)
}

/// `Request` is a waiting step with what decides where its tasks may run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request<'a> {
    part: &'a Part,
    step: &'a Step,
    stage: &'a Stage,
    queue: &'a Queue,
    claim: &'a Amount,
}

impl<'a> Request<'a> {
    /// Creates the request of a step; `None` if the job has no such step, or the occurrence is not open.
    pub(super) fn new(job: &'a Job, queue: &'a Queue, part: &'a Part) -> Option<Self> {
        Some(Self {
            part,
            step: job.step(part)?,
            stage: job.stage(part.occurrence, part.step)?,
            queue,
            claim: job.claims.get(part.step as usize)?,
        })
    }

    /// Returns whether a worker may run tasks of the step, as far as is known.
    pub(super) fn allows(&self, worker: &Worker) -> bool {
        is_allowed(self.queue, self.step, self.stage, worker)
    }

    /// Returns whether a worker may run tasks of the step, and no question is needed to know that.
    pub(super) fn is_known_to_allow(&self, worker: &Worker) -> bool {
        let verdict = self.stage.tickets.find(&worker.node.id);
        self.allows(worker) && (self.queue.policy.is_none() || verdict.is_some())
    }

    /// Returns how many more tasks a worker may run at `at`, whatever its capacity.
    fn allowance_at(&self, worker: &Worker, at: Millis, now: Millis) -> u64 {
        if !self.allows(worker) {
            return 0;
        }
        spread_left(self.step, || worker.count_of_step_at(self.part, at, now))
    }

    /// Returns how many tasks a worker is expected to be able to take at `at`, if nothing else starts there.
    pub(super) fn tasks_at(&self, worker: &Worker, at: Millis, now: Millis) -> u64 {
        count_fitting(&worker.free_at(at, now), self.claim).min(self.allowance_at(worker, at, now))
    }
}

/// Adds up numbers of tasks until there are `most`.
pub(super) fn add_up(most: usize, tasks: impl Iterator<Item = u64>) -> usize {
    let mut left = most as u64;
    for tasks in tasks {
        left = left.saturating_sub(tasks);
        if left == 0 {
            return most;
        }
    }
    most - usize::try_from(left).unwrap_or(most)
}

impl Lead {
    /// Returns the request of a step; `None` if its job, occurrence or queue is not known.
    pub(super) fn request<'a>(&'a self, part: &'a Part) -> Option<Request<'a>> {
        let job = self.job(&part.job)?;
        Request::new(job, self.queue(&job.spec.queue)?, part)
    }

    /// Returns the time until which tickets that are asked for now are valid, the longest one of a service's queues.
    pub(super) fn horizon(&self, service: &Name, now: Millis) -> Millis {
        let queues = self.queues.iter().filter(|queue| queue.service == *service);
        let policies = queues.filter_map(|queue| queue.policy);
        let valid = policies.map(|policy| policy.span(1) + policy.valid).max();
        now + valid.unwrap_or(DEFAULT_HORIZON)
    }

    /// Returns how many of `most` tasks of a step the workers of a room can take now, or are expected to by the room's
    /// horizon.
    ///
    /// Load pattern: a step of 10,000 tasks waits for a label or beyond its spread limit. None of its tasks is looked at.
    pub(super) fn count_usable(
        &self,
        part: &Part,
        room: &mut Room,
        most: usize,
        now: Millis,
    ) -> usize {
        let Some(request) = self.request(part) else {
            return 0;
        };
        let claim = request.claim;
        let allowance = |worker: &Worker, at: Millis| request.allowance_at(worker, at, now);
        let mut usable = 0;
        if room.can_fit(claim) {
            let workers = room.workers.iter().map(|at| &self.workers[*at]);
            let fitting = workers.map(|worker| (count_fitting(worker.free(), claim), worker));
            let tasks = fitting.filter(|(fitting, _)| *fitting > 0);
            usable = add_up(most, tasks.map(|(n, worker)| n.min(allowance(worker, now))));
        }
        if usable < most && room.can_fit_soon(&self.workers, claim, now) {
            let at = room.horizon();
            let soon = room.count_soon(claim, most, |position| {
                allowance(&self.workers[position], at)
            });
            usable = usable.max(soon);
        }
        usable
    }

    /// Charges the question budget of a service for `most` waiting tasks of a step.
    ///
    /// Only tasks that can use capacity are charged: capacity that is free or expected to be free within the room's
    /// horizon, and not charged yet for steps earlier in rank. A gang is charged as a whole or not at all. Returns the
    /// number of tasks charged.
    pub(super) fn charge_questions(
        &self,
        room: &mut Room,
        part: &Part,
        most: usize,
        now: Millis,
    ) -> u64 {
        let Some(request) = self.request(part) else {
            return 0;
        };
        let (step, claim) = (request.step, request.claim);
        if !room.can_fit_soon(&self.workers, claim, now) {
            return 0;
        }
        let (at, end) = (room.horizon(), now + step.estimate);
        let allowance = |position: usize| request.allowance_at(&self.workers[position], at, now);
        let shares = room.share_out(claim, most as u64, end, allowance);
        let charged = shares.iter().map(|(_, tasks)| tasks).sum();
        if step.gang && charged < most as u64 {
            return 0;
        }
        room.charge(part, claim, &shares);
        charged
    }

    /// Returns when the workers of a room are expected to have capacity for `count` tasks of a step at once; `None` if
    /// the runs don't show that.
    pub(super) fn expected_room(
        &self,
        part: &Part,
        room: &Room,
        count: u32,
        now: Millis,
    ) -> Option<Millis> {
        let request = self.request(part)?;
        let workers = room.workers.iter().map(|at| &self.workers[*at]);
        let allowed: Vec<&Worker> = workers.filter(|worker| request.allows(worker)).collect();
        let has_room = |at: Millis| {
            let tasks = allowed
                .iter()
                .map(|worker| request.tasks_at(worker, at, now));
            add_up(count as usize, tasks) == count as usize
        };
        if has_room(now) {
            return Some(now);
        }
        if !has_room(Millis::MAX) {
            return None;
        }
        let runs = allowed.iter().flat_map(|worker| &worker.runs);
        let mut ends: Vec<Millis> = runs.filter_map(|run| run.expected_end(now)).collect();
        ends.sort_unstable();
        ends.dedup();
        let first = ends.partition_point(|end| !has_room(*end));
        ends.get(first).copied()
    }
}
