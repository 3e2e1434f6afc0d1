//! Provides the reservation: free capacity that is kept for one job until enough running tasks end.
//!
//! It serves a gang, or a task that has waited for too long. Only one job at a time has the
//! reservation, so two gangs cannot wait for each other. A claim on a worker that is still full moves
//! to a worker that has room, so every run that ends brings the start of the job nearer.
//!
//! Load pattern: a run goes on far past its expected end, so that the job can't start. The reservation then ends, and the
//! job gets none for as long as it held that one, so that other jobs may have it.

use marigoldpick_core::intent::{Class, Where};
use marigoldpick_core::prelude::*;

use super::Scheduler;
use super::claim::times;
use super::pick::is_eligible;
use crate::action::Action;
use crate::fleet::Worker;
use crate::kind::Waiter;
use crate::run::{Phase, Run};
use crate::score::Policy;
use crate::size::Size;

/// Assumed duration of a backfilled run, in percent of its expected run time.
const BACKFILL_MARGIN_PERCENT: u64 = 150;

/// Minimum time for which a reservation is kept past the expected end of the runs that it waits for.
const MIN_OVERDUE: Millis = Millis::from_secs(30);

/// Maximum number of claims of one reservation that are counted on one worker.
const MAX_CLAIMS_PER_WORKER: u32 = 10_000;

/// `Opening` is room for one task on a worker from a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Opening {
    /// When the room is expected to be free.
    pub at: Millis,
    /// The worker.
    pub worker: u32,
}

/// `Reservation` is room for tasks of a job that start together.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// The job.
    pub waiter: Waiter,
    /// The room for each task.
    pub request: Size,
    /// The workers, one for each task.
    pub workers: Vec<u32>,
    /// When it was made.
    pub since: Millis,
    /// When all of the room is expected to be free.
    pub at: Millis,
}

impl Reservation {
    /// Returns whether the runs that it waits for are overdue for so long that it ends.
    fn is_expired(&self, now: Millis) -> bool {
        now > self.at + self.at.since(self.since).max(MIN_OVERDUE)
    }
}

/// `Exclusion` keeps a job from another reservation after one that has expired.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exclusion {
    waiter: Waiter,
    until: Millis,
}

impl<P: Policy> Scheduler<P> {
    /// Reserves room for `count` tasks of a job if enough openings are expected.
    pub(super) fn reserve(&mut self, waiter: Waiter, request: &Size, count: u32, now: Millis) {
        self.exclusions.retain(|exclusion| now < exclusion.until);
        if self
            .exclusions
            .iter()
            .any(|exclusion| exclusion.waiter == waiter)
        {
            return;
        }
        let place = self.jobs.get(waiter.job).spec.place.clone();
        let openings = self.earliest_openings(request, &place, count, now);
        if openings.len() < count as usize {
            return;
        }
        let at = openings.last().map_or(now, |opening| opening.at);
        let workers: Vec<u32> = openings.iter().map(|opening| opening.worker).collect();
        for &worker in &workers {
            self.adjust_claimed(worker, request, true);
        }
        self.set_reservation(waiter, request, workers, at, now);
    }

    /// Records the reservation; its room must already be claimed.
    pub(super) fn set_reservation(
        &mut self,
        waiter: Waiter,
        request: &Size,
        workers: Vec<u32>,
        at: Millis,
        now: Millis,
    ) {
        self.reservation = Some(Reservation {
            waiter,
            request: *request,
            workers,
            since: now,
            at,
        });
    }

    /// Reserves room for a task if its job has waited for the aging span, so that smaller tasks
    /// can't overtake it any more.
    pub(super) fn reserve_if_aged(&mut self, waiter: Waiter, request: &Size, now: Millis) {
        let arrived = self.jobs.get(waiter.job).arrived;
        if self.reservation.is_none() && now.since(arrived) >= self.settings.aging {
            self.reserve(waiter, request, 1, now);
        }
    }

    /// Returns the `count` earliest openings for a task according to the expected run times.
    pub(super) fn earliest_openings(
        &self,
        request: &Size,
        place: &Where,
        count: u32,
        now: Millis,
    ) -> Vec<Opening> {
        let mut openings = Vec::new();
        for (worker, this) in (0u32..).zip(self.fleet.workers()) {
            let open = this.is_usable()
                && this.size.can_hold(request)
                && is_eligible(place, &self.fleet, this);
            if open {
                self.openings_on(worker, this, request, count, now, &mut openings);
            }
        }
        openings.sort_unstable();
        openings.truncate(count as usize);
        openings
    }

    fn openings_on(
        &self,
        worker: u32,
        this: &Worker,
        request: &Size,
        count: u32,
        now: Millis,
        openings: &mut Vec<Opening>,
    ) {
        let mut room = this.free();
        let mut found = room.count_fitting(request, count);
        openings.extend((0..found).map(|_| Opening { at: now, worker }));
        let mut ends: Vec<(Millis, Size)> = this
            .runs
            .iter()
            .map(|&run| self.runs.get(run))
            .filter_map(|run| self.expected_end(run, now).map(|end| (end, run.held)))
            .collect();
        ends.sort_unstable();
        for (at, held) in ends {
            room = room.plus(&held);
            let fits = room.count_fitting(request, count);
            openings.extend((found..fits).map(|_| Opening { at, worker }));
            found = found.max(fits);
        }
    }

    /// Returns when a run is expected to end, or `None` for a service or a run of an unknown job.
    fn expected_end(&self, run: &Run, now: Millis) -> Option<Millis> {
        if run.phase == Phase::Stopping {
            return Some(now + self.settings.throttle_timeout);
        }
        let job = self.jobs.get(run.job?);
        if job.spec.class == Class::Service {
            return None;
        }
        let expected = self
            .kinds
            .get(job.kind)
            .estimate
            .expected_run_time(job.spec.run_ms);
        let expected = expected.unwrap_or(self.settings.default_run_time);
        Some((run.since + expected).max(now + Millis(expected.0 / 2)))
    }

    /// Finds a worker whose reserved room a task is expected to vacate before the reservation starts.
    pub(super) fn find_backfill(&self, job: u32, request: &Size, now: Millis) -> Option<u32> {
        let reservation = self.reservation.as_ref()?;
        let this = self.jobs.get(job);
        let run = self
            .kinds
            .get(this.kind)
            .estimate
            .conservative_run_time(this.spec.run_ms)?;
        let end = now + Millis(run.0.saturating_mul(BACKFILL_MARGIN_PERCENT) / 100);
        if end > reservation.at {
            return None;
        }
        let place = &this.spec.place;
        let fits = |slot: &u32| {
            let worker = self.fleet.get(*slot);
            worker.is_usable()
                && worker.free_with_claims().can_hold(request)
                && is_eligible(place, &self.fleet, worker)
        };
        reservation.workers.iter().copied().find(fits)
    }

    pub(super) fn fulfil_reservation(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        if !self.is_reservation_valid(&reservation) {
            self.drop_reservation(&reservation);
            return;
        }
        let reservation = self.move_claims(reservation);
        if !self.has_room_for_all(&reservation) {
            if reservation.is_expired(now) {
                self.exclusions.push(Exclusion {
                    waiter: reservation.waiter,
                    until: now + now.since(reservation.since),
                });
                self.drop_reservation(&reservation);
            } else {
                self.reservation = Some(reservation);
            }
            return;
        }
        self.drop_reservation(&reservation);
        let team = self.jobs.get(reservation.waiter.job).team;
        let count = u32::try_from(reservation.workers.len()).unwrap_or(u32::MAX);
        if self
            .teams
            .get(team)
            .has_quota_for(&times(&reservation.request, count))
        {
            self.start_tasks(
                reservation.waiter,
                &reservation.workers,
                &reservation.request,
                now,
                out,
            );
        }
    }

    /// Returns whether the job of a reservation still waits unchanged and all its workers are usable.
    fn is_reservation_valid(&self, reservation: &Reservation) -> bool {
        let Some(job) = self
            .jobs
            .find(reservation.waiter.job, reservation.waiter.order)
        else {
            return false;
        };
        let gang = job.spec.class == Class::Gang;
        let same = !gang || (job.waiting as usize == reservation.workers.len() && job.placed == 0);
        let usable = |worker: &u32| self.fleet.get(*worker).is_usable();
        same && job.waiting > job.delayed && reservation.workers.iter().all(usable)
    }

    /// Moves claims from workers that are still full to workers that have room now.
    fn move_claims(&mut self, mut reservation: Reservation) -> Reservation {
        let index = self.jobs.get(reservation.waiter.job).span.from;
        let mut order = reservation.workers.clone();
        order.sort_unstable();
        for same in order.chunk_by(|a, b| a == b) {
            let worker = same[0];
            let have = self
                .fleet
                .get(worker)
                .free_with_claims()
                .count_fitting(&reservation.request, MAX_CLAIMS_PER_WORKER)
                as usize;
            for _ in have..same.len() {
                let Some(other) =
                    self.pick_worker(reservation.waiter.job, index, &reservation.request)
                else {
                    return reservation;
                };
                self.adjust_claimed(worker, &reservation.request, false);
                self.adjust_claimed(other, &reservation.request, true);
                if let Some(at) = reservation.workers.iter().position(|&have| have == worker) {
                    reservation.workers[at] = other;
                }
            }
        }
        reservation
    }

    fn has_room_for_all(&self, reservation: &Reservation) -> bool {
        let mut workers = reservation.workers.clone();
        workers.sort_unstable();
        workers.chunk_by(|a, b| a == b).all(|same| {
            let count = u32::try_from(same.len()).unwrap_or(u32::MAX);
            self.fleet
                .get(same[0])
                .free_with_claims()
                .count_fitting(&reservation.request, count)
                >= count
        })
    }

    fn drop_reservation(&mut self, reservation: &Reservation) {
        for &worker in &reservation.workers {
            self.adjust_claimed(worker, &reservation.request, false);
        }
        self.unblock_all();
    }
}
