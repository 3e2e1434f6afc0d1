//! The capacity of each service in one scheduling pass, and the budget for questions to the
//! adviser.
//!
//! Load pattern: the pool is full and hundreds of steps wait. If each step were compared with each
//! worker, a pass would take longer than the tasks it waits for, and the backlog would grow. If the
//! adviser were asked about every step, it would spend its time on steps that cannot start
//! before their tickets expire. Questions are therefore limited to the steps first in rank, up to
//! the capacity that is free or will be soon. The resource with the least capacity bounds a
//! service, be it processors, memory or accelerators.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Part;

use crate::question::Share;
use crate::rank::counted_millicores;
use crate::worker::Worker;

/// The most capacity to ask for, in percent of the free capacity.
const FREE_ROOM_PERCENT: f64 = 200.0;
/// The share of the used capacity, in percent, expected to become free before tickets expire.
const USED_ROOM_PERCENT: u32 = 25;

/// The most workers of a service that may be reserved, in percent.
const MAX_RESERVED_PERCENT: usize = 15;
/// The number of workers that may be reserved in a small service, whatever the percentage.
const MIN_RESERVED: usize = 3;

/// `Room` is the available capacity of one service.
#[derive(Clone, Debug)]
pub(super) struct Room {
    service: Name,
    /// Positions of the workers that can take work.
    pub(super) workers: Vec<usize>,
    /// The most free capacity on any one worker, for each resource separately.
    max_free: Amount,
    /// The total free capacity of the registered workers that have reported in this term.
    free: Amount,
    /// The total used capacity of the registered workers.
    used: Amount,
    /// The total claims of tasks earlier in rank that were asked about or wait for capacity.
    asked_for: Amount,
    /// Reserved workers, sorted by position.
    reserved: Vec<Reservation>,
    /// The step that was charged most for questions, in thousandths of a core.
    largest_charge: Option<(u64, Part)>,
    /// The steps that got no question for want of budget.
    unasked: usize,
}

/// `Reservation` keeps a worker for a waiting step.
#[derive(Clone, Debug)]
struct Reservation {
    worker: usize,
    part: Part,
    /// When the worker is expected to be empty.
    empty: Millis,
}

impl Room {
    /// Returns the room of each service, sorted by service.
    pub(super) fn of(workers: &[Worker], now: Millis) -> Vec<Self> {
        let mut rooms: Vec<Self> = Vec::new();
        for (position, worker) in workers.iter().enumerate() {
            if !worker.is_registered {
                continue;
            }
            let service = &worker.node.service;
            let at = rooms
                .binary_search_by(|room| room.service.cmp(service))
                .unwrap_or_else(|at| {
                    rooms.insert(at, Self::empty(service.clone()));
                    at
                });
            // An entry of another writer may claim any capacity, and no worker may stand behind it.
            if worker.has_reported {
                rooms[at].free.add(worker.free());
            }
            rooms[at].used.add(worker.used());
            if worker.can_take_work(now) {
                rooms[at].add(position, worker);
            }
        }
        rooms
    }

    /// Returns the room of one service whose workers that can take work are known; its capacity is not counted.
    ///
    /// An explanation compares a step with the workers and needs neither the question budget nor the
    /// first check of a pass, which only saves that comparison.
    pub(super) fn uncounted(service: Name, workers: Vec<usize>) -> Self {
        Self {
            workers,
            ..Self::empty(service)
        }
    }

    fn empty(service: Name) -> Self {
        Self {
            service,
            workers: Vec::new(),
            max_free: Amount::default(),
            free: Amount::default(),
            used: Amount::default(),
            asked_for: Amount::default(),
            reserved: Vec::new(),
            largest_charge: None,
            unasked: 0,
        }
    }

    fn add(&mut self, position: usize, worker: &Worker) {
        self.workers.push(position);
        self.max_free.widen(worker.free());
    }

    /// Returns the position of a service's room.
    pub(super) fn find(rooms: &[Self], service: &Name) -> Option<usize> {
        let at = rooms.binary_search_by(|room| room.service.cmp(service));
        at.ok()
    }

    /// Returns whether some worker may have capacity for a claim; if false, none has.
    pub(super) fn can_fit(&self, claim: &Amount) -> bool {
        self.max_free.holds(claim)
    }

    /// Returns whether the question budget covers one more task with this claim.
    ///
    /// Where few workers are good, not every question finds the capacity it asks for, so more may
    /// be asked.
    pub(super) fn can_ask(&self, claim: &Amount, share: Share) -> bool {
        let mut wanted = self.asked_for.clone();
        wanted.add(claim);
        let mut budget = self.used.share(USED_ROOM_PERCENT);
        budget.add(
            &self
                .free
                .share((100.0 / share.value()).min(FREE_ROOM_PERCENT) as u32),
        );
        budget.holds(&wanted)
    }

    /// Charges the question budget for tasks asked about or waiting for capacity.
    pub(super) fn add_question(&mut self, part: &Part, claim: &Amount, tasks: usize) {
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        let charge = claim.times(tasks);
        let size = counted_millicores(&charge);
        if self
            .largest_charge
            .as_ref()
            .is_none_or(|(have, _)| size > *have)
        {
            self.largest_charge = Some((size, part.clone()));
        }
        self.asked_for.add(&charge);
    }

    /// Counts a step that got no question for want of budget.
    pub(super) const fn refuse_question(&mut self) {
        self.unasked += 1;
    }

    /// Returns the number of steps that got no question for want of budget.
    pub(super) const fn unasked(&self) -> usize {
        self.unasked
    }

    /// Returns the step with the largest part of a budget that was too small for others.
    pub(super) fn question_holder(&self) -> Option<&Part> {
        let charge = self.largest_charge.as_ref().filter(|_| self.unasked > 0);
        charge.map(|(_, part)| part)
    }

    /// Returns whether one more worker may be reserved in addition to `more`.
    pub(super) fn can_reserve(&self, more: usize) -> bool {
        let limit = (self.workers.len() * MAX_RESERVED_PERCENT / 100).max(MIN_RESERVED);
        self.reserved.len() + more < limit
    }

    /// Reserves a worker that is expected to be empty at `empty` for a step.
    pub(super) fn reserve(&mut self, worker: usize, part: &Part, empty: Millis) {
        if let Err(at) = self.find_reservation(worker) {
            let reservation = Reservation {
                worker,
                part: part.clone(),
                empty,
            };
            self.reserved.insert(at, reservation);
        }
    }

    /// Returns the number of reserved workers.
    pub(super) const fn count_reserved(&self) -> usize {
        self.reserved.len()
    }

    /// Returns the steps that have reserved workers; a step may come more than once.
    pub(super) fn reserving_steps(&self) -> impl Iterator<Item = &Part> {
        self.reserved.iter().map(|reservation| &reservation.part)
    }

    /// Returns the workers that are reserved for a step.
    pub(super) fn reserved_for(&self, part: &Part) -> impl Iterator<Item = usize> {
        let own = self.reserved.iter().filter(move |r| r.part == *part);
        own.map(|reservation| reservation.worker)
    }

    fn find_reservation(&self, worker: usize) -> Result<usize, usize> {
        self.reserved
            .binary_search_by_key(&worker, |reservation| reservation.worker)
    }

    /// Returns whether a task that ends at `end` delays no reservation of a worker.
    pub(super) fn can_start(&self, worker: usize, end: Millis) -> bool {
        let found = self.find_reservation(worker);
        found.is_err() || found.is_ok_and(|at| end <= self.reserved[at].empty)
    }

    /// Recomputes the largest free capacity after placements.
    pub(super) fn update_max_free(&mut self, workers: &[Worker]) {
        let positions = std::mem::take(&mut self.workers);
        self.max_free = Amount::default();
        for position in positions {
            self.add(position, &workers[position]);
        }
    }
}
