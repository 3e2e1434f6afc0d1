//! The reservation: room for a job whose tasks start together, until runs have ended by themselves.
//!
//! Only one job at a time holds it, so no two gangs can wait for each other. A claim on a worker that
//! is still full moves to one that has room, so every end of a run brings the start nearer.

use marigoldpick_core::intent::{Class, Where};
use marigoldpick_core::prelude::*;

use super::Scheduler;
use super::claim::times;
use super::pick::admits;
use crate::action::Action;
use crate::fleet::Worker;
use crate::kind::Waiter;
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
    /// Makes the one reservation for a job whose tasks start together.
    pub(super) fn reserve(&mut self, waiter: Waiter, ask: &Size, count: u32, now: Millis) {
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
        if job.spec.class == Class::Service {
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

    pub(super) fn fulfil_reservation(&mut self, now: Millis, out: &mut Vec<Action>) {
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
        let gang = job.spec.class == Class::Gang;
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
}
