//! Gangs: all tasks start together, or none.

use marigoldpick_core::prelude::*;

use super::Scheduler;
use super::claim::times;
use crate::action::Action;
use crate::kind::{Block, Waiter};
use crate::score::Policy;
use crate::size::Size;

impl<P: Policy> Scheduler<P> {
    /// Starts all tasks of a gang, or none; returns what is in the way.
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
        let ask = self.gang_ask(waiter.job);
        if !self.teams.get(team).allows(&times(&ask, count)) {
            return Some(Block::Quota);
        }
        let workers = self.pick_all(waiter, &ask, count);
        if workers.len() == count as usize {
            self.start_all(waiter, &workers, &ask, now, out);
            return None;
        }
        if !self.displace_for_gang(waiter, &ask, count, now, out) && self.reservation.is_none() {
            self.reserve(waiter, &ask, count, now);
        }
        Some(Block::Room)
    }

    /// Returns the largest that a task of the gang needs.
    fn gang_ask(&self, slot: u32) -> Size {
        let job = self.jobs.get(slot);
        let kind = self.kinds.get(job.kind).ask;
        let memory = job.memory.values().copied().max().unwrap_or_default();
        Size {
            memory: kind.memory.max(memory),
            ..kind
        }
    }

    /// Chooses workers for up to `count` tasks; nothing is held afterwards.
    pub(super) fn pick_all(&mut self, waiter: Waiter, ask: &Size, count: u32) -> Vec<u32> {
        let mut workers = Vec::new();
        let index = self.jobs.get(waiter.job).span.from;
        for _ in 0..count {
            let Some(worker) = self.pick(waiter.job, index, ask) else {
                break;
            };
            self.claim(worker, ask, true);
            self.count_rack(waiter.job, worker, true);
            workers.push(worker);
        }
        for &worker in &workers {
            self.claim(worker, ask, false);
            self.count_rack(waiter.job, worker, false);
        }
        workers
    }

    pub(super) fn start_all(
        &mut self,
        waiter: Waiter,
        workers: &[u32],
        ask: &Size,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        for &worker in workers {
            if let Some(index) = self.jobs.get_mut(waiter.job).next_waiting() {
                self.start(waiter.job, index, worker, ask, now, out);
            }
        }
    }
}
