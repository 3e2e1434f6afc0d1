//! Provides the accounting of runs: no other code changes the capacity that is held on workers or the
//! quota usage of teams.

use marigoldpick_core::intent::Spread;
use marigoldpick_core::prelude::*;

use super::{Scheduler, StabilityCheck};
use crate::kind::Block;
use crate::run::{Phase, Run};
use crate::score::Policy;
use crate::size::Size;

impl<P: Policy> Scheduler<P> {
    /// Adds a run and allocates its resources.
    pub(super) fn add_run(&mut self, run: Run) -> u32 {
        let (worker, held) = (run.worker, run.held);
        self.teams.charge(run.team, &held);
        if let Some(job) = run.job {
            self.adjust_rack_count(job, worker, true);
        }
        let until = run.since + self.settings.stable_age;
        let slot = self.runs.add(run);
        self.fleet.update(worker, |w| {
            w.held = w.held.plus(&held);
            w.runs.push(slot);
            w.health.young_runs += 1;
        });
        self.runs.get_mut(slot).young = true;
        self.last_serial += 1;
        self.runs.get_mut(slot).serial = self.last_serial;
        self.stability_checks.push_back(StabilityCheck {
            at: until,
            run: slot,
            serial: self.last_serial,
        });
        slot
    }

    /// Removes a run and releases its resources.
    pub(super) fn remove_run(&mut self, slot: u32) -> Option<Run> {
        let run = self.runs.remove(slot)?;
        self.teams.refund(run.team, &run.held);
        if let Some(job) = run.job {
            self.adjust_rack_count(job, run.worker, false);
        }
        self.fleet.update(run.worker, |worker| {
            worker.held = worker.held.minus(&run.held);
            worker.runs.retain(|&have| have != slot);
            worker.health.young_runs -= u32::from(run.young);
        });
        if run.job.is_none()
            && let Some(orphans) = self.orphans.get_mut(&run.name)
        {
            orphans.retain(|&have| have != slot);
        }
        if let Some(by) = run.displaced {
            self.end_displacing(by);
        }
        self.unblock(run.worker);
        self.unblock_team(run.team);
        Some(run)
    }

    /// Changes the resources that a run holds.
    pub(super) fn resize_run(&mut self, slot: u32, held: Size) {
        let run = self.runs.get_mut(slot);
        let before = std::mem::replace(&mut run.held, held);
        let (worker, team) = (run.worker, run.team);
        self.teams.refund(team, &before);
        self.teams.charge(team, &held);
        self.fleet.update(worker, |w| {
            w.held = w.held.minus(&before).plus(&held);
        });
        self.unblock(worker);
    }

    /// Detaches a run from its job, because the task has another run or has ended.
    pub(super) fn detach_run(&mut self, slot: u32) {
        let run = self.runs.get_mut(slot);
        let worker = run.worker;
        if let Some(job) = run.job.take() {
            self.adjust_rack_count(job, worker, false);
        }
    }

    pub(super) fn adjust_rack_count(&mut self, job: u32, worker: u32, more: bool) {
        let rack = self.fleet.get(worker).rack;
        let job = self.jobs.get_mut(job);
        if matches!(job.spec.place.spread, Spread::Rack | Spread::Domain) {
            job.adjust_rack_count(rack, more);
        }
    }

    /// Records runs that have reached the stable age as evidence for their worker and their kind.
    pub(super) fn check_stable_runs(&mut self, now: Millis) {
        while let Some(check) = self
            .stability_checks
            .front()
            .copied()
            .filter(|p| p.at <= now)
        {
            self.stability_checks.pop_front();
            let Some(run) = self
                .runs
                .find(check.run)
                .filter(|r| r.serial == check.serial)
            else {
                continue;
            };
            let (worker, job, running) = (run.worker, run.job, run.phase == Phase::Running);
            self.runs.get_mut(check.run).young = false;
            self.fleet.update(worker, |w| {
                w.health.young_runs -= 1;
                w.health.proven |= running;
            });
            if let Some(job) = job.filter(|_| running) {
                let kind = self.jobs.get(job).kind;
                self.kinds.get_mut(kind).health.record_stable_run(now);
            }
            self.unblock(worker);
        }
    }

    /// Unblocks the kinds whose tasks may fit into the free capacity of a worker.
    pub(super) fn unblock(&mut self, worker: u32) {
        let worker = self.fleet.get(worker);
        if !worker.is_usable() {
            return;
        }
        let free = worker.free();
        for &slot in &self.active_kinds {
            let kind = self.kinds.get_mut(slot);
            if kind.block == Some(Block::Room) && free.can_hold(&kind.request) {
                kind.block = None;
            }
        }
    }

    pub(super) fn unblock_team(&mut self, team: u32) {
        for &slot in &self.active_kinds {
            let kind = self.kinds.get_mut(slot);
            if kind.block == Some(Block::Quota) && kind.team == team {
                kind.block = None;
            }
        }
    }

    pub(super) fn unblock_paced(&mut self) {
        for &slot in &self.active_kinds {
            let kind = self.kinds.get_mut(slot);
            if kind.block == Some(Block::Paced) {
                kind.block = None;
            }
        }
    }

    /// Unblocks all kinds except those that are blocked by quota.
    pub(super) fn unblock_all(&mut self) {
        for &slot in &self.active_kinds {
            let kind = self.kinds.get_mut(slot);
            if kind.block != Some(Block::Quota) {
                kind.block = None;
            }
        }
    }
}
