//! Claims: room set aside on busy workers, for gangs and for tasks that others give way to.
//!
//! Only one job at a time holds a reservation that waits for runs to end by themselves, so no two
//! gangs can wait for each other. Its workers stay the same until it starts or one of them is lost,
//! so every end of a run on them brings the start nearer.

use marigoldpick_core::intent::Where;
use marigoldpick_core::prelude::*;

use super::Scheduler;
use super::pick::admits;
use crate::action::Action;
use crate::fleet::Worker;
use crate::kind::{Block, Waiter};
use crate::run::{Phase, Run};
use crate::score::Policy;
use crate::size::Size;

/// How much longer than expected a backfilled run is taken to be, in hundredths.
const DOUBT_PERCENT: u64 = 150;

/// Claims of one reservation that are counted on one worker at most.
const MOST_CLAIMS: u32 = 10_000;

/// `Slot` is room for one task on a worker, from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Slot {
    /// When the room is expected to be there.
    pub at: Millis,
    /// The worker.
    pub worker: u32,
}

/// `Claim` is room for one task that others give way to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// The job.
    pub waiter: Waiter,
    /// The worker.
    pub worker: u32,
    /// The room.
    pub ask: Size,
    /// When the claim ends without effect.
    pub until: Millis,
}

/// `Reservation` is room for all tasks of a job that start together.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// The job.
    pub waiter: Waiter,
    /// The room for each task.
    pub ask: Size,
    /// The workers, one for each task.
    pub workers: Vec<u32>,
    /// When all room is expected to be there.
    pub at: Millis,
}

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

    fn start_all(
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

    pub(super) fn claim(&mut self, worker: u32, ask: &Size, on: bool) {
        self.fleet.change(worker, |w| {
            w.claimed = if on {
                w.claimed.plus(ask)
            } else {
                w.claimed.minus(ask)
            };
        });
    }

    /// Makes the one reservation for a job whose tasks start together.
    fn reserve(&mut self, waiter: Waiter, ask: &Size, count: u32, now: Millis) {
        let place = self.jobs.get(waiter.job).spec.place.clone();
        let slots = self.availability(ask, &place, count, now);
        if slots.len() < count as usize {
            return;
        }
        let at = slots.last().map_or(now, |slot| slot.at);
        let workers: Vec<u32> = slots.iter().map(|slot| slot.worker).collect();
        for &worker in &workers {
            self.claim(worker, ask, true);
        }
        self.hold_together(waiter, ask, workers, at);
    }

    /// Keeps claimed room until all of it is there.
    pub(super) fn hold_together(
        &mut self,
        waiter: Waiter,
        ask: &Size,
        workers: Vec<u32>,
        at: Millis,
    ) {
        self.reservation = Some(Reservation {
            waiter,
            ask: *ask,
            workers,
            at,
        });
    }

    /// Reserves room for a task that has waited for so long that smaller ones must not pass it.
    pub(super) fn reserve_overdue(&mut self, waiter: Waiter, ask: &Size, now: Millis) {
        let arrived = self.jobs.get(waiter.job).arrived;
        if self.reservation.is_none() && now.since(arrived) >= self.settings.aging {
            self.reserve(waiter, ask, 1, now);
        }
    }

    /// Returns the `count` earliest slots for a task, as far as run times are known.
    pub(super) fn availability(
        &self,
        ask: &Size,
        place: &Where,
        count: u32,
        now: Millis,
    ) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (worker, this) in (0u32..).zip(self.fleet.workers()) {
            let open = this.usable() && this.size.holds(ask) && admits(place, &self.fleet, this);
            if open {
                self.slots_on(worker, this, ask, count, now, &mut slots);
            }
        }
        slots.sort_unstable();
        slots.truncate(count as usize);
        slots
    }

    fn slots_on(
        &self,
        worker: u32,
        this: &Worker,
        ask: &Size,
        count: u32,
        now: Millis,
        slots: &mut Vec<Slot>,
    ) {
        let mut room = this.free();
        let mut found = room.fits(ask, count);
        slots.extend((0..found).map(|_| Slot { at: now, worker }));
        let mut ends: Vec<(Millis, Size)> = this
            .runs
            .iter()
            .map(|&run| self.runs.get(run))
            .filter_map(|run| self.end_of(run, now).map(|end| (end, run.held)))
            .collect();
        ends.sort_unstable();
        for (at, held) in ends {
            room = room.plus(&held);
            let fits = room.fits(ask, count);
            slots.extend((found..fits).map(|_| Slot { at, worker }));
            found = found.max(fits);
        }
    }

    /// Returns when a run is expected to end; runs of services don't.
    fn end_of(&self, run: &Run, now: Millis) -> Option<Millis> {
        if run.phase == Phase::Stopping {
            return Some(now + self.settings.throttle_wait);
        }
        let job = self.jobs.get(run.job?);
        if job.spec.class == marigoldpick_core::intent::Class::Service {
            return None;
        }
        let expected = self.kinds.get(job.kind).estimate.run(job.spec.run_ms);
        let expected = expected.unwrap_or(self.settings.run);
        Some((run.since + expected).max(now + Millis(expected.0 / 2)))
    }

    /// Finds claimed room that a task would leave before it is needed.
    pub(super) fn backfill(&self, job: u32, ask: &Size, now: Millis) -> Option<u32> {
        let reservation = self.reservation.as_ref()?;
        let this = self.jobs.get(job);
        let run = self
            .kinds
            .get(this.kind)
            .estimate
            .long_run(this.spec.run_ms)?;
        let end = now + Millis(run.0.saturating_mul(DOUBT_PERCENT) / 100);
        if end > reservation.at {
            return None;
        }
        let place = &this.spec.place;
        let fits = |slot: &u32| {
            let worker = self.fleet.get(*slot);
            worker.usable() && worker.unheld().holds(ask) && admits(place, &self.fleet, worker)
        };
        reservation.workers.iter().copied().find(fits)
    }

    /// Starts what its claimed room has come for, and drops claims that are void.
    pub(super) fn fulfil(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.claims.is_empty() {
            self.fulfil_claims(now, out);
        }
        if self.reservation.is_some() {
            self.fulfil_reservation(now, out);
        }
    }

    fn fulfil_claims(&mut self, now: Millis, out: &mut Vec<Action>) {
        for claim in std::mem::take(&mut self.claims) {
            let known = self
                .jobs
                .find(claim.waiter.job, claim.waiter.order)
                .is_some();
            let next = known.then(|| self.jobs.get_mut(claim.waiter.job).next_waiting());
            let worker = self.fleet.get(claim.worker);
            let (Some(index), true) = (next.flatten(), worker.usable() && now < claim.until) else {
                self.drop_claim(&claim);
                continue;
            };
            if !worker.unheld().holds(&claim.ask) {
                self.claims.push(claim);
                continue;
            }
            let team = self.jobs.get(claim.waiter.job).team;
            let within = self.teams.get(team).allows(&claim.ask);
            self.drop_claim(&claim);
            if within {
                let job = claim.waiter.job;
                self.start(job, index, claim.worker, &claim.ask, now, out);
            }
        }
    }

    fn drop_claim(&mut self, claim: &Claim) {
        self.claim(claim.worker, &claim.ask, false);
        if self
            .jobs
            .find(claim.waiter.job, claim.waiter.order)
            .is_some()
        {
            let kind = self.jobs.get(claim.waiter.job).kind;
            self.kinds.get_mut(kind).block = None;
        }
        self.unblock(claim.worker);
    }

    fn fulfil_reservation(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Some(held) = self.reservation.take() else {
            return;
        };
        if !self.holds_good(&held) {
            self.drop_reservation(&held);
            return;
        }
        let held = self.move_claims(held);
        if !self.room_is_there(&held) {
            self.reservation = Some(held);
            return;
        }
        self.drop_reservation(&held);
        let team = self.jobs.get(held.waiter.job).team;
        let count = u32::try_from(held.workers.len()).unwrap_or(u32::MAX);
        if self.teams.get(team).allows(&times(&held.ask, count)) {
            self.start_all(held.waiter, &held.workers, &held.ask, now, out);
        }
    }

    /// Tells whether a reservation's job still waits as it did and its workers take work.
    fn holds_good(&self, held: &Reservation) -> bool {
        let Some(job) = self.jobs.find(held.waiter.job, held.waiter.order) else {
            return false;
        };
        let gang = job.spec.class == marigoldpick_core::intent::Class::Gang;
        let same = !gang || (job.waiting as usize == held.workers.len() && job.placed == 0);
        let usable = |worker: &u32| self.fleet.get(*worker).usable();
        same && job.waiting > job.delayed && held.workers.iter().all(usable)
    }

    /// Moves claims on workers that are still full to workers that have room now.
    fn move_claims(&mut self, mut held: Reservation) -> Reservation {
        let index = self.jobs.get(held.waiter.job).span.from;
        let mut order = held.workers.clone();
        order.sort_unstable();
        for same in order.chunk_by(|a, b| a == b) {
            let worker = same[0];
            let have = self.fleet.get(worker).unheld().fits(&held.ask, MOST_CLAIMS) as usize;
            for _ in have..same.len() {
                let Some(other) = self.pick(held.waiter.job, index, &held.ask) else {
                    return held;
                };
                self.claim(worker, &held.ask, false);
                self.claim(other, &held.ask, true);
                if let Some(at) = held.workers.iter().position(|&have| have == worker) {
                    held.workers[at] = other;
                }
            }
        }
        held
    }

    fn room_is_there(&self, held: &Reservation) -> bool {
        let mut workers = held.workers.clone();
        workers.sort_unstable();
        workers.chunk_by(|a, b| a == b).all(|same| {
            let count = u32::try_from(same.len()).unwrap_or(u32::MAX);
            self.fleet.get(same[0]).unheld().fits(&held.ask, count) >= count
        })
    }

    fn drop_reservation(&mut self, held: &Reservation) {
        for &worker in &held.workers {
            self.claim(worker, &held.ask, false);
        }
        self.unblock_all();
    }

    /// Tells whether every waiting task of a job has a claim.
    pub(super) fn claimed_all(&self, waiter: Waiter) -> bool {
        let have = self
            .claims
            .iter()
            .filter(|claim| claim.waiter == waiter)
            .count();
        have >= self.jobs.get(waiter.job).waiting as usize
    }

    /// Drops claims of a job that has fewer waiting tasks than claims.
    pub(super) fn trim_claims(&mut self, waiter: Waiter) {
        let have = self
            .claims
            .iter()
            .filter(|claim| claim.waiter == waiter)
            .count();
        if have <= self.jobs.get(waiter.job).waiting as usize {
            return;
        }
        if let Some(at) = self.claims.iter().rposition(|claim| claim.waiter == waiter) {
            let claim = self.claims.remove(at);
            self.drop_claim(&claim);
        }
    }
}

/// Returns a size `count` times.
pub(super) fn times(size: &Size, count: u32) -> Size {
    let mut sum = *size;
    sum.millicores *= u64::from(count);
    sum.memory *= u64::from(count);
    for accelerators in &mut sum.accelerators {
        *accelerators *= count;
    }
    sum
}
