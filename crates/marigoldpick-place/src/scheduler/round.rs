//! Provides the placement round, which places waiting tasks until none fits.
//!
//! The next job kind is the one with the highest priority, as raised by aging and near deadlines;
//! among equals the one whose team has the lowest share, then the one with the oldest job. Overdue
//! kinds are ordered by the age of their job alone. A kind whose task does not fit is blocked until
//! capacity becomes free.

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

/// Maximum number of tasks of one kind that are placed before the kinds are ranked again.
const QUANTUM_TASKS: u32 = 16;
/// Level of jobs that have waited for [`OVERDUE_AGINGS`] aging spans: below urgent, above all others.
const OVERDUE: u8 = 3;
/// Level of jobs of high priority, and of jobs whose deadline is near.
const HIGH: u8 = 2;
/// Number of run times before its deadline at which a job is raised to high priority.
const DEADLINE_MARGIN_RUNS: u64 = 2;
/// Level of urgent jobs.
const URGENT: u8 = 4;
/// Number of aging spans after which a waiting job is overdue.
const OVERDUE_AGINGS: u64 = 4;

/// `Rank` is the position of a job kind in the order of placement.
#[derive(Clone, Copy, Debug)]
struct Rank {
    level: u8,
    share: f64,
    order: u64,
}

impl Rank {
    fn is_before(&self, other: &Self) -> bool {
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
    pub(super) fn place_waiting_tasks(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.fulfil_claims_and_reservation(now, out);
        while let Some(kind) = self.next_kind(now) {
            self.place_kind(kind, now, out);
        }
    }

    /// Returns the job kind that is placed next.
    fn next_kind(&mut self, now: Millis) -> Option<u32> {
        let mut best: Option<(Rank, u32)> = None;
        let mut at = 0;
        while let Some(&slot) = self.active_kinds.get(at) {
            let Some(head) = self.first_waiting_job(slot) else {
                self.kinds.get_mut(slot).active = false;
                self.active_kinds.swap_remove(at);
                continue;
            };
            at += 1;
            let kind = self.kinds.get(slot);
            if kind.block.is_some() || kind.backoff_until > now {
                continue;
            }
            let rank = self.rank(kind, head, now);
            if best.is_none_or(|(first, _)| rank.is_before(&first)) {
                best = Some((rank, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }

    fn rank(&self, kind: &Kind, head: Waiter, now: Millis) -> Rank {
        let job = self.jobs.get(head.job);
        let level = self.level(kind.priority, job.arrived, now);
        let near_deadline = level < HIGH && self.is_near_deadline(kind, job, now);
        Rank {
            level: if near_deadline { HIGH } else { level },
            share: self.teams.get(kind.team).weighted_share(self.fleet.total()),
            order: head.order,
        }
    }

    /// Returns whether a job must start soon to end by its deadline.
    fn is_near_deadline(&self, kind: &Kind, job: &Job, now: Millis) -> bool {
        let Some(deadline) = job.spec.deadline_ms else {
            return false;
        };
        let run = kind.estimate.conservative_run_time(job.spec.run_ms);
        let run = run.unwrap_or(self.settings.default_run_time);
        now + run.times(DEADLINE_MARGIN_RUNS) >= job.arrived + deadline
    }

    /// Returns the level of a job: its priority, raised by its waiting time but never to urgent.
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

    /// Returns the first job of a kind that has waiting tasks.
    fn first_waiting_job(&mut self, kind: u32) -> Option<Waiter> {
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

    fn place_kind(&mut self, slot: u32, now: Millis, out: &mut Vec<Action>) {
        let Some(waiter) = self.first_waiting_job(slot) else {
            return;
        };
        if !self.convert_needs(slot) {
            self.kinds.get_mut(slot).block = Some(Block::Accelerators);
            return;
        }
        if self.kinds.get(slot).class == Class::Gang {
            let block = self.place_gang(waiter, now, out);
            self.kinds.get_mut(slot).block = block;
            return;
        }
        for _ in 0..QUANTUM_TASKS {
            let Some(index) = self.jobs.get_mut(waiter.job).next_waiting() else {
                return;
            };
            if let Some(block) = self.place_task(waiter, index, now, out) {
                self.kinds.get_mut(slot).block = Some(block);
                return;
            }
            if self.back_off_if_at_fault(slot, now) {
                return;
            }
        }
    }

    /// Converts the needs of a kind; returns whether all of its accelerator kinds are known.
    fn convert_needs(&mut self, slot: u32) -> bool {
        let kind = self.kinds.get_mut(slot);
        if kind.declared.is_none() {
            kind.declared = self.accelerators.to_size(&kind.needs).ok();
            kind.request = kind.declared.unwrap_or_default();
        }
        kind.declared.is_some()
    }

    /// Returns the resources to allocate to a task.
    pub(super) fn request_of(&self, job: u32, index: u32) -> Size {
        let job = self.jobs.get(job);
        let mut request = self.kinds.get(job.kind).request;
        if let Some(&memory) = job.memory_overrides.get(&index) {
            request.memory = request.memory.max(memory);
        }
        request
    }

    /// Places one task, or returns why it can't be placed.
    fn place_task(
        &mut self,
        waiter: Waiter,
        index: u32,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> Option<Block> {
        let job = self.jobs.get(waiter.job);
        let lost = job.task(index).is_some_and(|task| task.lost);
        let urgent = job.spec.priority == Priority::Urgent;
        if lost && !urgent && self.restart_tokens == 0 {
            return Some(Block::Paced);
        }
        let request = self.request_of(waiter.job, index);
        if !self.teams.get(job.team).has_quota_for(&request) {
            return Some(Block::Quota);
        }
        let found = self.pick_worker(waiter.job, index, &request);
        let found = found.or_else(|| self.find_backfill(waiter.job, &request, now));
        if let Some(worker) = found {
            self.restart_tokens -= u64::from(lost && !urgent);
            self.start_task(waiter.job, index, worker, &request, now, out);
            self.trim_claims(waiter);
            return None;
        }
        if !self.has_claims_for_all(waiter)
            && !self.displace_for_task(waiter, index, &request, now, out)
        {
            self.reserve_if_aged(waiter, &request, now);
        }
        Some(Block::Room)
    }

    pub(super) fn start_task(
        &mut self,
        job: u32,
        index: u32,
        worker: u32,
        request: &Size,
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
            held: *request,
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
            spec: self.spec(job, slot, request),
        });
    }

    fn spec(&self, job: u32, slot: u32, request: &Size) -> Spec {
        let job = self.jobs.get(job);
        let run = self.runs.get(slot);
        Spec {
            run: run.id(),
            // Filled in by the lead.
            accepted: 0,
            team: job.spec.team.clone(),
            needs: self.accelerators.to_amount(request),
            service: job.spec.service.clone(),
            command: job.spec.command.clone(),
            idempotent: job.spec.idempotent,
            grace: job.spec.stop_ms,
            checkpoint: job.checkpoints.get(&run.index).cloned(),
        }
    }
}
