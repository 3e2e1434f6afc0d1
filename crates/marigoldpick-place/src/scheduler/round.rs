//! Rounds: waiting tasks are placed until none fits.
//!
//! The kind that goes next has the highest priority, aging counted in, then the team with the
//! least share, then the oldest job. A kind whose task does not fit is left alone until room comes.

use std::cmp::Ordering;

use marigoldpick_core::intent::{Class, Priority};
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Spec;

use super::Scheduler;
use crate::action::Action;
use crate::job::{Job, State};
use crate::kind::{Block, Kind, Waiter};
use crate::run::{Phase, Run};
use crate::score::Policy;
use crate::size::Size;

/// Tasks of one kind that are placed before the order is looked at again.
const QUANTUM: u32 = 16;
/// The level of jobs that have waited for several agings: below urgent, above all others.
const OVERDUE: u8 = 3;
/// The level of jobs of high priority, and of those whose deadline is near.
const HIGH: u8 = 2;
/// Run times before its deadline at which a job counts as of high priority.
const DEADLINE_RUNS: u64 = 2;
/// The level of urgent jobs.
const URGENT: u8 = 4;
/// Agings after which a job is overdue.
const OVERDUE_AGINGS: u64 = 4;

/// `Rank` is a kind's place in the order.
#[derive(Clone, Copy, Debug)]
struct Rank {
    level: u8,
    share: f64,
    order: u64,
}

impl Rank {
    fn before(&self, other: &Self) -> bool {
        let level = other.level.cmp(&self.level);
        let share = if self.level == OVERDUE {
            Ordering::Equal
        } else {
            self.share.total_cmp(&other.share)
        };
        level.then(share).then(self.order.cmp(&other.order)) == Ordering::Less
    }
}

impl<P: Policy> Scheduler<P> {
    pub(super) fn fill(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.fulfil(now, out);
        while let Some(kind) = self.next_kind(now) {
            self.place_from(kind, now, out);
        }
    }

    /// Returns the kind whose first job goes next.
    fn next_kind(&mut self, now: Millis) -> Option<u32> {
        let mut best: Option<(Rank, u32)> = None;
        let mut at = 0;
        while let Some(&slot) = self.active.get(at) {
            let Some(head) = self.head(slot) else {
                self.kinds.get_mut(slot).active = false;
                self.active.swap_remove(at);
                continue;
            };
            at += 1;
            let kind = self.kinds.get(slot);
            if kind.block.is_some() || kind.hold > now {
                continue;
            }
            let rank = self.rank(kind, head, now);
            if best.is_none_or(|(first, _)| rank.before(&first)) {
                best = Some((rank, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }

    fn rank(&self, kind: &Kind, head: Waiter, now: Millis) -> Rank {
        let job = self.jobs.get(head.job);
        let level = self.level(kind.priority, job.arrived, now);
        let pressed = level < HIGH && self.is_pressed(kind, job, now);
        Rank {
            level: if pressed { HIGH } else { level },
            share: self.teams.get(kind.team).share(self.fleet.total()),
            order: head.order,
        }
    }

    /// Tells whether a job has to start soon to end by its deadline.
    fn is_pressed(&self, kind: &Kind, job: &Job, now: Millis) -> bool {
        let Some(deadline) = job.spec.deadline_ms else {
            return false;
        };
        let run = kind.estimate.long_run(job.spec.run_ms);
        let run = run.unwrap_or(self.settings.run);
        now + run.times(DEADLINE_RUNS) >= job.arrived + deadline
    }

    /// Returns the level of a job: its priority, raised with its wait, but never up to urgent.
    pub(super) fn level(&self, priority: Priority, arrived: Millis, now: Millis) -> u8 {
        let base = match priority {
            Priority::Low => 0,
            Priority::Normal => 1,
            Priority::High => HIGH,
            Priority::Urgent => return URGENT,
        };
        let agings = now.since(arrived).0 / self.settings.aging.0.max(1);
        if agings >= OVERDUE_AGINGS {
            return OVERDUE;
        }
        (base + agings as u8).min(HIGH)
    }

    /// Returns a kind's first job with waiting tasks.
    fn head(&mut self, kind: u32) -> Option<Waiter> {
        loop {
            let waiter = *self.kinds.get(kind).queue.front()?;
            if self.jobs.find(waiter.job, waiter.order).is_some() {
                let job = self.jobs.get_mut(waiter.job);
                let partial = job.spec.class == Class::Gang && (job.placed > 0 || job.delayed > 0);
                if !partial && job.next_waiting().is_some() {
                    return Some(waiter);
                }
                job.queued = false;
            }
            self.kinds.get_mut(kind).queue.pop_front();
        }
    }

    fn place_from(&mut self, slot: u32, now: Millis, out: &mut Vec<Action>) {
        let Some(waiter) = self.head(slot) else {
            return;
        };
        if !self.prepare(slot) {
            self.kinds.get_mut(slot).block = Some(Block::Kind);
            return;
        }
        if self.kinds.get(slot).class == Class::Gang {
            let block = self.place_gang(waiter, now, out);
            self.kinds.get_mut(slot).block = block;
            return;
        }
        for _ in 0..QUANTUM {
            let Some(index) = self.jobs.get_mut(waiter.job).next_waiting() else {
                return;
            };
            if let Some(block) = self.place_one(waiter, index, now, out) {
                self.kinds.get_mut(slot).block = Some(block);
                return;
            }
            if self.hold_kind(slot, now) {
                return;
            }
        }
    }

    /// Converts a kind's needs once the accelerators are known; tells whether they are.
    fn prepare(&mut self, slot: u32) -> bool {
        let kind = self.kinds.get_mut(slot);
        if kind.declared.is_none() {
            kind.declared = self.accelerators.convert(&kind.needs).ok();
            kind.ask = kind.declared.unwrap_or_default();
        }
        kind.declared.is_some()
    }

    /// Returns what to set aside for a task.
    pub(super) fn ask(&self, job: u32, index: u32) -> Size {
        let job = self.jobs.get(job);
        let mut ask = self.kinds.get(job.kind).ask;
        if let Some(&memory) = job.memory.get(&index) {
            ask.memory = ask.memory.max(memory);
        }
        ask
    }

    /// Places one task, or returns what is in the way.
    fn place_one(
        &mut self,
        waiter: Waiter,
        index: u32,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> Option<Block> {
        let job = self.jobs.get(waiter.job);
        let lost = job.task(index).is_some_and(|task| task.lost);
        let urgent = job.spec.priority == Priority::Urgent;
        if lost && !urgent && self.tokens == 0 {
            return Some(Block::Paced);
        }
        let ask = self.ask(waiter.job, index);
        if !self.teams.get(job.team).allows(&ask) {
            return Some(Block::Quota);
        }
        let found = self.pick(waiter.job, index, &ask);
        let found = found.or_else(|| self.backfill(waiter.job, &ask, now));
        if let Some(worker) = found {
            self.tokens -= u64::from(lost && !urgent);
            self.start(waiter.job, index, worker, &ask, now, out);
            self.trim_claims(waiter);
            return None;
        }
        if !self.claimed_all(waiter) && !self.displace(waiter, index, &ask, now, out) {
            self.reserve_overdue(waiter, &ask, now);
        }
        Some(Block::Room)
    }

    pub(super) fn start(
        &mut self,
        job: u32,
        index: u32,
        worker: u32,
        ask: &Size,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let this = self.jobs.get_mut(job);
        let (name, team) = (this.spec.name.clone(), this.team);
        let Some(task) = this.task_mut(index) else {
            return;
        };
        task.attempt += 1;
        task.lost = false;
        task.displaced = false;
        let attempt = task.attempt;
        let slot = self.add_run(Run {
            name,
            job: Some(job),
            index,
            attempt,
            worker,
            team,
            held: *ask,
            phase: Phase::Starting,
            since: now,
            limit: None,
            displaced: None,
            serial: 0,
            young: false,
        });
        self.jobs.get_mut(job).set(index, State::Placed(slot));
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
            // The lead fills it in.
            accepted: 0,
            team: job.spec.team.clone(),
            needs: self.accelerators.amount(ask),
            service: job.spec.service.clone(),
            command: job.spec.command.clone(),
            idempotent: job.spec.idempotent,
            grace: job.spec.stop_ms,
            checkpoint: job.checkpoints.get(&run.index).cloned(),
        }
    }
}
