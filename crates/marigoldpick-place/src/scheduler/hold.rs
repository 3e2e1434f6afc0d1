//! Runs and the room, quota and counts that hang on them: all of it changes here alone.

use marigoldpick_core::intent::Spread;
use marigoldpick_core::prelude::*;

use super::{Proof, Scheduler};
use crate::kind::Block;
use crate::run::{Phase, Run};
use crate::score::Policy;
use crate::size::Size;

impl<P: Policy> Scheduler<P> {
    /// Adds a run and takes its room.
    pub(super) fn add_run(&mut self, run: Run) -> u32 {
        let (worker, held) = (run.worker, run.held);
        self.teams.charge(run.team, &held);
        if let Some(job) = run.job {
            self.count_rack(job, worker, true);
        }
        let until = run.since + self.settings.proof;
        let slot = self.runs.add(run);
        self.fleet.change(worker, |w| {
            w.held = w.held.plus(&held);
            w.runs.push(slot);
            w.health.young += 1;
        });
        self.runs.get_mut(slot).young = true;
        self.serial += 1;
        self.runs.get_mut(slot).serial = self.serial;
        self.proofs.push_back(Proof {
            at: until,
            run: slot,
            serial: self.serial,
        });
        slot
    }

    /// Removes a run and gives its room back.
    pub(super) fn remove_run(&mut self, slot: u32) -> Option<Run> {
        let run = self.runs.remove(slot)?;
        self.teams.refund(run.team, &run.held);
        if let Some(job) = run.job {
            self.count_rack(job, run.worker, false);
        }
        self.fleet.change(run.worker, |worker| {
            worker.held = worker.held.minus(&run.held);
            worker.runs.retain(|&have| have != slot);
            worker.health.young -= u32::from(run.young);
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

    /// Changes what a run holds.
    pub(super) fn resize_run(&mut self, slot: u32, held: Size) {
        let run = self.runs.get_mut(slot);
        let before = std::mem::replace(&mut run.held, held);
        let (worker, team) = (run.worker, run.team);
        self.teams.refund(team, &before);
        self.teams.charge(team, &held);
        self.fleet.change(worker, |w| {
            w.held = w.held.minus(&before).plus(&held);
        });
        self.unblock(worker);
    }

    /// Parts a run from its job, which has another run or has ended.
    pub(super) fn disown(&mut self, slot: u32) {
        let run = self.runs.get_mut(slot);
        let worker = run.worker;
        if let Some(job) = run.job.take() {
            self.count_rack(job, worker, false);
        }
    }

    pub(super) fn count_rack(&mut self, job: u32, worker: u32, more: bool) {
        let rack = self.fleet.get(worker).rack;
        let job = self.jobs.get_mut(job);
        if matches!(job.spec.place.spread, Spread::Rack | Spread::Domain) {
            job.count_rack(rack, more);
        }
    }

    /// Notes runs that have grown old enough to show that their worker and kind are sound.
    pub(super) fn prove(&mut self, now: Millis) {
        while let Some(proof) = self.proofs.front().copied().filter(|p| p.at <= now) {
            self.proofs.pop_front();
            let Some(run) = self
                .runs
                .find(proof.run)
                .filter(|r| r.serial == proof.serial)
            else {
                continue;
            };
            let (worker, job, running) = (run.worker, run.job, run.phase == Phase::Running);
            self.runs.get_mut(proof.run).young = false;
            self.fleet.change(worker, |w| {
                w.health.young -= 1;
                w.health.proven |= running;
            });
            if let Some(job) = job.filter(|_| running) {
                let kind = self.jobs.get(job).kind;
                self.kinds.get_mut(kind).health.note_proof(now);
            }
            self.unblock(worker);
        }
    }

    /// Lets kinds be tried again that may fit into what a worker has free now.
    pub(super) fn unblock(&mut self, worker: u32) {
        let worker = self.fleet.get(worker);
        if !worker.usable() {
            return;
        }
        let free = worker.free();
        for &slot in &self.active {
            let kind = self.kinds.get_mut(slot);
            if kind.block == Some(Block::Room) && free.holds(&kind.ask) {
                kind.block = None;
            }
        }
    }

    pub(super) fn unblock_team(&mut self, team: u32) {
        for &slot in &self.active {
            let kind = self.kinds.get_mut(slot);
            if kind.block == Some(Block::Quota) && kind.team == team {
                kind.block = None;
            }
        }
    }

    pub(super) fn unblock_paced(&mut self) {
        for &slot in &self.active {
            let kind = self.kinds.get_mut(slot);
            if kind.block == Some(Block::Paced) {
                kind.block = None;
            }
        }
    }

    /// Lets all kinds be tried again, but those whose quota is used up.
    pub(super) fn unblock_all(&mut self) {
        for &slot in &self.active {
            let kind = self.kinds.get_mut(slot);
            if kind.block != Some(Block::Quota) {
                kind.block = None;
            }
        }
    }
}
