//! Provides the policies that choose a worker for a task: the default and well-known ones to compare.

use marigoldpick_core::intent::Objective;
use rand::Rng;

use crate::fleet::{Fleet, Worker};
use crate::index::{Cell, Key, level};
use crate::mix::Mix;
use crate::size::{MAX_ACCELERATOR_KINDS, Size, ratio};

/// `Request` is what a policy knows about the task to place.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The resources that the task needs.
    pub needs: Size,
    /// The sizes of recently requested tasks.
    pub mix: &'a Mix,
    /// The objective of the site.
    pub objective: Objective,
}

/// `Policy` chooses a worker.
pub trait Policy: Default {
    /// The value by which workers are compared; the lowest is chosen.
    type Score: Copy + PartialOrd;

    /// Scores a worker of `size` with `free` room into which the task fits.
    fn score(&self, request: &Request<'_>, free: &Size, size: &Size) -> Self::Score;

    /// Chooses a worker with room for the task for which `allows` returns true.
    fn pick<R: Rng>(
        &self,
        fleet: &Fleet,
        request: &Request<'_>,
        allows: impl Fn(u32) -> bool,
        _rng: &mut R,
    ) -> Option<u32> {
        let mut best: Option<(Self::Score, u32)> = None;
        for (slot, worker) in (0u32..).zip(fleet.workers()) {
            let free = worker.free();
            if !can_fit(worker, &request.needs, &free) || !allows(slot) {
                continue;
            }
            let score = self.score(request, &free, &worker.size);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }
}

fn can_fit(worker: &Worker, needs: &Size, free: &Size) -> bool {
    worker.is_usable() && free.can_hold(needs)
}

/// `FirstFit` chooses the first worker with room (first fit).
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstFit;

impl Policy for FirstFit {
    type Score = ();

    fn score(&self, _ask: &Request<'_>, _free: &Size, _size: &Size) -> Self::Score {}

    fn pick<R: Rng>(
        &self,
        fleet: &Fleet,
        request: &Request<'_>,
        allows: impl Fn(u32) -> bool,
        _rng: &mut R,
    ) -> Option<u32> {
        (0u32..)
            .zip(fleet.workers())
            .find(|(slot, worker)| can_fit(worker, &request.needs, &worker.free()) && allows(*slot))
            .map(|(slot, _)| slot)
    }
}

/// `BestFit` chooses the worker with the least room left (best fit).
#[derive(Clone, Copy, Debug, Default)]
pub struct BestFit;

impl Policy for BestFit {
    type Score = f64;

    fn score(&self, request: &Request<'_>, free: &Size, size: &Size) -> f64 {
        share_sum(&free.minus(&request.needs), size)
    }
}

/// `DotProduct` chooses the worker whose free room has the largest dot product with the needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct DotProduct;

impl Policy for DotProduct {
    type Score = f64;

    fn score(&self, request: &Request<'_>, free: &Size, size: &Size) -> f64 {
        let product = |part: u64, room: u64, whole: u64| ratio(part, whole) * ratio(room, whole);
        let mut sum = product(request.needs.millicores, free.millicores, size.millicores);
        sum += product(request.needs.memory, free.memory, size.memory);
        for k in 0..MAX_ACCELERATOR_KINDS {
            let part = u64::from(request.needs.accelerators[k]);
            let room = u64::from(free.accelerators[k]);
            sum += product(part, room, u64::from(size.accelerators[k]));
        }
        -sum
    }
}

/// `RandomTwo` draws two workers with room and chooses the emptier one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomTwo;

/// Maximum number of draws before a random policy searches all workers.
const MAX_DRAWS: usize = 64;

impl Policy for RandomTwo {
    type Score = f64;

    fn score(&self, request: &Request<'_>, free: &Size, size: &Size) -> f64 {
        -share_sum(&free.minus(&request.needs), size)
    }

    fn pick<R: Rng>(
        &self,
        fleet: &Fleet,
        request: &Request<'_>,
        allows: impl Fn(u32) -> bool,
        rng: &mut R,
    ) -> Option<u32> {
        let count = u32::try_from(fleet.workers().len()).ok()?;
        if count == 0 {
            return None;
        }
        let able = |slot: u32| {
            let worker = fleet.get(slot);
            can_fit(worker, &request.needs, &worker.free()) && allows(slot)
        };
        let drawn: Vec<u32> = (0..MAX_DRAWS)
            .map(|_| rng.random_range(0..count))
            .filter(|&slot| able(slot))
            .take(2)
            .collect();
        let score = |slot: &u32| {
            let worker = fleet.get(*slot);
            self.score(request, &worker.free(), &worker.size)
        };
        let best = drawn
            .into_iter()
            .min_by(|a, b| score(a).total_cmp(&score(b)));
        let start = rng.random_range(0..count);
        best.or_else(|| (start..count).chain(0..start).find(|&slot| able(slot)))
    }
}

/// `LeastStranded` chooses the worker on which the task strands the least capacity.
///
/// Capacity is stranded when tasks of the recent mix of sizes no longer fit into the room that is
/// left. The policy scores cells of similar workers, so its cost grows with the number of different
/// worker states and not with the number of workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastStranded;

/// Maximum number of workers in a cell that are compared one by one.
const MAX_COMPARED_MEMBERS: usize = 12;

impl Policy for LeastStranded {
    type Score = f64;

    fn score(&self, request: &Request<'_>, free: &Size, size: &Size) -> f64 {
        let after = free.minus(&request.needs);
        let stranded = capacity(free, request, size) - capacity(&after, request, size);
        let left = share_sum(&after, size);
        stranded + TIE_BREAK_WEIGHT * left
    }

    fn pick<R: Rng>(
        &self,
        fleet: &Fleet,
        request: &Request<'_>,
        allows: impl Fn(u32) -> bool,
        _rng: &mut R,
    ) -> Option<u32> {
        let mut cells = Vec::with_capacity(64);
        for cell in fleet.index().cells() {
            let Some(slot) = fitting_member(fleet, cell, &request.needs) else {
                continue;
            };
            let worker = fleet.get(slot);
            cells.push((self.score(request, &worker.free(), &worker.size), cell));
        }
        let least = |a: &(f64, &Cell), b: &(f64, &Cell)| a.0.total_cmp(&b.0);
        let (_, first) = *cells.iter().min_by(|a, b| least(a, b))?;
        if let Some(slot) = self.pick_in(fleet, first, request, &allows) {
            return Some(slot);
        }
        cells.sort_unstable_by(least);
        let mut rest = cells.iter().skip(1);
        rest.find_map(|(_, cell)| self.pick_in(fleet, cell, request, &allows))
    }
}

impl LeastStranded {
    fn pick_in(
        &self,
        fleet: &Fleet,
        cell: &Cell,
        request: &Request<'_>,
        allows: &impl Fn(u32) -> bool,
    ) -> Option<u32> {
        let able = |slot: &u32| fleet.get(*slot).free().can_hold(&request.needs) && allows(*slot);
        let score = |slot: &u32| {
            let worker = fleet.get(*slot);
            self.score(request, &worker.free(), &worker.size)
        };
        cell.workers
            .iter()
            .copied()
            .filter(able)
            .take(MAX_COMPARED_MEMBERS)
            .min_by(|a, b| score(a).total_cmp(&score(b)))
    }
}

/// Weight of the remaining room, which decides among workers with equal stranded capacity.
const TIE_BREAK_WEIGHT: f64 = 0.02;

/// Weight of free halves and quarters of a worker relative to the mix.
const HOLES_WEIGHT: f64 = 0.05;

/// Returns a worker of the cell with room for the task.
fn fitting_member(fleet: &Fleet, cell: &Cell, needs: &Size) -> Option<u32> {
    let pool = &fleet.index().pools()[cell.key.pool as usize];
    if !pool.size.can_hold(needs) {
        return None;
    }
    let (cpu, mem) = (level(needs.millicores), level(needs.memory));
    let Key {
        millicores,
        memory,
        accelerators,
        ..
    } = cell.key;
    let short = u32::from(accelerators) < needs.accelerator_count();
    if millicores < cpu || memory < mem || short {
        return None;
    }
    let fits = |slot: &&u32| fleet.get(**slot).free().can_hold(needs);
    cell.workers.iter().find(fits).copied()
}

/// Returns the weighted capacity of `free` for the shapes of the mix, each taken alone.
fn capacity(free: &Size, request: &Request<'_>, size: &Size) -> f64 {
    let mut sum = 0.0;
    for shape in request.mix.shapes() {
        let count = free.count_fitting(&shape.size, u32::MAX);
        sum += shape.weight * f64::from(count) * shape.size.dominant_share(size);
    }
    sum / request.mix.total_weight() + HOLES_WEIGHT * holes(free, size)
}

/// Returns the share of a worker with accelerators that is free in halves and quarters.
///
/// Scoring this share preserves large free blocks even before the first large task has arrived.
fn holes(free: &Size, size: &Size) -> f64 {
    if size.accelerator_count() == 0 {
        return 0.0;
    }
    let of =
        |parts| f64::from(free.count_fitting(&size.divided_by(parts), parts)) / f64::from(parts);
    of(2) + of(4)
}

/// Returns the sum of the shares of `part` in the resources of `whole`.
fn share_sum(part: &Size, whole: &Size) -> f64 {
    let mut sum = ratio(part.millicores, whole.millicores) + ratio(part.memory, whole.memory);
    for k in 0..MAX_ACCELERATOR_KINDS {
        if part.accelerators[k] > 0 {
            sum += ratio(
                u64::from(part.accelerators[k]),
                u64::from(whole.accelerators[k]),
            );
        }
    }
    sum
}
