//! Provides the placement of gangs, whose tasks all start together or not at all.

use marigoldpick_core::prelude::*;

use super::Scheduler;
use super::claim::times;
use crate::action::Action;
use crate::kind::{Block, Waiter};
use crate::score::Policy;
use crate::size::Size;

impl<P: Policy> Scheduler<P> {
    /// Starts all tasks of a gang or none; returns why they can't be started.
    pub(super) fn place_gang(
        &mut self,
        waiter: Waiter,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> Option<Block> {
        let own = self
            .reservation
            .as_ref()
            .is_some_and(|r| r.waiter == waiter);
        if own {
            return Some(Block::Room);
        }
        let job = self.jobs.get(waiter.job);
        let count = job.waiting;
        let team = job.team;
        let request = self.gang_request(waiter.job);
        if !self.teams.get(team).has_quota_for(&times(&request, count)) {
            return Some(Block::Quota);
        }
        let workers = self.pick_workers(waiter, &request, count);
        if workers.len() == count as usize {
            self.start_tasks(waiter, &workers, &request, now, out);
            return None;
        }
        if !self.displace_for_gang(waiter, &request, count, now, out) && self.reservation.is_none()
        {
            self.reserve(waiter, &request, count, now);
        }
        Some(Block::Room)
    }

    /// Returns the largest request among the tasks of a gang.
    fn gang_request(&self, slot: u32) -> Size {
        let job = self.jobs.get(slot);
        let kind = self.kinds.get(job.kind).request;
        let memory = job
            .memory_overrides
            .values()
            .copied()
            .max()
            .unwrap_or_default();
        Size {
            memory: kind.memory.max(memory),
            ..kind
        }
    }

    /// Chooses workers for up to `count` tasks without leaving any room claimed.
    pub(super) fn pick_workers(&mut self, waiter: Waiter, request: &Size, count: u32) -> Vec<u32> {
        let mut workers = Vec::new();
        let index = self.jobs.get(waiter.job).span.from;
        for _ in 0..count {
            let Some(worker) = self.pick_worker(waiter.job, index, request) else {
                break;
            };
            self.adjust_claimed(worker, request, true);
            self.adjust_rack_count(waiter.job, worker, true);
            workers.push(worker);
        }
        for &worker in &workers {
            self.adjust_claimed(worker, request, false);
            self.adjust_rack_count(waiter.job, worker, false);
        }
        workers
    }

    pub(super) fn start_tasks(
        &mut self,
        waiter: Waiter,
        workers: &[u32],
        request: &Size,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        for &worker in workers {
            if let Some(index) = self.jobs.get_mut(waiter.job).next_waiting() {
                self.start_task(waiter.job, index, worker, request, now, out);
            }
        }
    }
}
