//! The capacity of each service in one scheduling pass, and the budget for questions to the
//! adviser.
//!
//! Load pattern: the pool is full and hundreds of steps wait. If each step were compared with each
//! worker, a pass would take longer than the tasks it waits for, and the backlog would grow. If the
//! adviser were asked about every step, it would spend its time on steps that cannot start
//! before their tickets expire. Questions are therefore limited to the steps first in rank, up to
//! the capacity that is free or will be soon. The resource with the least capacity bounds a
//! service, be it processors, memory or accelerators.
//!
//! Load pattern: the steps first in rank can't start, or only on few workers. A step is therefore charged against
//! the workers that it can use, and only for what is expected to be free there before tickets expire.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Part;

use super::advise::count_fitting;
use super::forecast::add_up;
use crate::question::Share;
use crate::rank::counted_millicores;
use crate::worker::Worker;

/// The most capacity to ask for, in percent of the free capacity.
const FREE_ROOM_PERCENT: u32 = 200;
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
    /// The time until which capacity counts for questions.
    horizon: Millis,
    /// What each worker is expected to have free then; computed when it is first needed.
    outlook: Option<Outlook>,
    /// Reserved workers, sorted by position.
    reserved: Vec<Reservation>,
    /// The step that was charged most for questions, in thousandths of a core.
    largest_charge: Option<(u64, Part)>,
    /// The steps that got no question for want of budget.
    unasked: usize,
}

/// `Outlook` is the capacity that is expected to be free on the workers of a service.
#[derive(Clone, Debug, Default)]
struct Outlook {
    /// The free capacity of each worker.
    free: Vec<Amount>,
    /// The part of each worker's capacity that may still be charged.
    left: Vec<Amount>,
    /// The most free capacity on any one worker, for each resource separately.
    max_free: Amount,
    /// A claim that fits nowhere beside the charges so far; neither does a larger one.
    unfit: Option<Amount>,
    /// The index of the worker that was charged last. Workers before it are mostly charged, so that a search begins there.
    cursor: usize,
    /// The number of times that a worker's forecast was compared with a claim.
    comparisons: u64,
}

impl Outlook {
    fn of(workers: &[Worker], positions: &[usize], at: Millis, now: Millis) -> Self {
        let mut outlook = Self::default();
        for position in positions {
            let free = workers[*position].free_at(at, now);
            outlook.max_free.widen(&free);
            outlook.left.push(free.share(FREE_ROOM_PERCENT));
            outlook.free.push(free);
        }
        outlook
    }

    fn can_fit(&self, claim: &Amount) -> bool {
        self.max_free.holds(claim) && self.unfit.as_ref().is_none_or(|unfit| !claim.holds(unfit))
    }
}

/// Returns all indices below `count`, beginning at `first`.
fn rotate(first: usize, count: usize) -> impl Iterator<Item = usize> {
    (first.min(count)..count).chain(0..first.min(count))
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
    ///
    /// `horizon` returns the time until which capacity counts for the questions of a service.
    pub(super) fn of(
        workers: &[Worker],
        now: Millis,
        horizon: impl Fn(&Name) -> Millis,
    ) -> Vec<Self> {
        let mut rooms: Vec<Self> = Vec::new();
        for (position, worker) in workers.iter().enumerate() {
            if !worker.is_registered {
                continue;
            }
            let service = &worker.node.service;
            let at = rooms
                .binary_search_by(|room| room.service.cmp(service))
                .unwrap_or_else(|at| {
                    let mut room = Self::empty(service.clone());
                    room.horizon = horizon(service);
                    rooms.insert(at, room);
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
            horizon: Millis::ZERO,
            outlook: None,
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
                .share((100.0 / share.value()).min(f64::from(FREE_ROOM_PERCENT)) as u32),
        );
        budget.holds(&wanted)
    }

    /// Returns the time until which capacity counts for questions.
    pub(super) const fn horizon(&self) -> Millis {
        self.horizon
    }

    /// Returns whether some worker may have uncharged capacity for a claim by the horizon; if false, none has.
    pub(super) fn can_fit_soon(&mut self, workers: &[Worker], claim: &Amount, now: Millis) -> bool {
        let (positions, horizon) = (&self.workers, self.horizon);
        let outlook = self
            .outlook
            .get_or_insert_with(|| Outlook::of(workers, positions, horizon, now));
        outlook.can_fit(claim)
    }

    /// Returns how many of `most` tasks fit the capacity that is expected to be free by the horizon.
    ///
    /// `allowance` returns how many tasks the worker at a position may run.
    pub(super) fn count_soon(
        &mut self,
        claim: &Amount,
        most: usize,
        allowance: impl Fn(usize) -> u64,
    ) -> usize {
        let Some(outlook) = &mut self.outlook else {
            return 0;
        };
        let (free, comparisons) = (&outlook.free, &mut outlook.comparisons);
        let fitting = rotate(outlook.cursor, self.workers.len()).map(|index| {
            *comparisons += 1;
            (count_fitting(&free[index], claim), self.workers[index])
        });
        let tasks = fitting.filter(|(fitting, _)| *fitting > 0);
        add_up(most, tasks.map(|(n, position)| n.min(allowance(position))))
    }

    /// Returns the number of times that a forecast was compared with a claim.
    pub(super) fn count_comparisons(rooms: &[Self]) -> u64 {
        let outlooks = rooms.iter().filter_map(|room| room.outlook.as_ref());
        outlooks.map(|outlook| outlook.comparisons).sum()
    }

    /// Returns the number of workers whose runs were examined for a forecast.
    pub(super) fn count_forecasts(rooms: &[Self]) -> u64 {
        let outlooks = rooms.iter().filter_map(|room| room.outlook.as_ref());
        outlooks.map(|outlook| outlook.free.len() as u64).sum()
    }

    /// Distributes at most `most` tasks that end at `end` over the uncharged capacity of the workers.
    ///
    /// `allowance` returns how many tasks the worker at a position may run. Returns the numbers of tasks with the
    /// indices of their workers in the room.
    pub(super) fn share_out(
        &mut self,
        claim: &Amount,
        most: u64,
        end: Millis,
        allowance: impl Fn(usize) -> u64,
    ) -> Vec<(usize, u64)> {
        let mut shares = Vec::new();
        let Some(outlook) = &self.outlook else {
            return shares;
        };
        let (mut left, mut fits_anywhere) = (most, false);
        let (mut comparisons, mut cursor) = (0, outlook.cursor);
        for index in rotate(outlook.cursor, self.workers.len()) {
            if left == 0 {
                break;
            }
            comparisons += 1;
            let position = &self.workers[index];
            let fitting = count_fitting(&outlook.left[index], claim)
                .min(count_fitting(&outlook.free[index], claim));
            if fitting == 0 {
                continue;
            }
            fits_anywhere = true;
            if !self.can_start(*position, end) {
                continue;
            }
            let tasks = fitting.min(allowance(*position)).min(left);
            if tasks > 0 {
                shares.push((index, tasks));
                left -= tasks;
                cursor = index;
            }
        }
        if let Some(outlook) = &mut self.outlook {
            outlook.cursor = cursor;
            outlook.comparisons += comparisons;
            if !fits_anywhere {
                outlook.unfit = Some(claim.clone());
            }
        }
        shares
    }

    /// Charges the question budget for tasks of a step, as distributed over the workers.
    pub(super) fn charge(&mut self, part: &Part, claim: &Amount, shares: &[(usize, u64)]) {
        let Some(outlook) = &mut self.outlook else {
            return;
        };
        let mut charge = Amount::default();
        for (index, tasks) in shares {
            let claims = claim.times(u32::try_from(*tasks).unwrap_or(u32::MAX));
            outlook.left[*index].subtract(&claims);
            charge.add(&claims);
        }
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
