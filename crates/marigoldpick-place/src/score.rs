//! Policies that choose a worker for a task: the one in use and the known ones it is measured by.

use marigoldpick_core::intent::Objective;
use rand::Rng;

use crate::fleet::{Fleet, Worker};
use crate::index::{Cell, Key, level};
use crate::mix::Mix;
use crate::size::{KINDS, Size, ratio};

/// `Ask` is what a policy knows of the task to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// What the task needs.
    pub needs: Size,
    /// The sizes that the shard is asked for.
    pub mix: &'a Mix,
    /// What the site weighs.
    pub objective: Objective,
}

/// `Policy` chooses a worker.
pub trait Policy: Default {
    /// What workers are compared by; the lowest is chosen.
    type Score: Copy + PartialOrd;

    /// Scores a worker of `size` with `free` room that the task fits into.
    fn score(&self, ask: &Ask<'_>, free: &Size, size: &Size) -> Self::Score;

    /// Chooses a worker that fits and that `allows` admits.
    fn pick<R: Rng>(
        &self,
        fleet: &Fleet,
        ask: &Ask<'_>,
        allows: impl Fn(u32) -> bool,
        _rng: &mut R,
    ) -> Option<u32> {
        let mut best: Option<(Self::Score, u32)> = None;
        for (slot, worker) in (0u32..).zip(fleet.workers()) {
            let free = worker.free();
            if !fits(worker, &ask.needs, &free) || !allows(slot) {
                continue;
            }
            let score = self.score(ask, &free, &worker.size);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }
}

fn fits(worker: &Worker, needs: &Size, free: &Size) -> bool {
    worker.usable() && free.holds(needs)
}

/// `First` takes the first worker that fits.
#[derive(Clone, Copy, Debug, Default)]
pub struct First;

impl Policy for First {
    type Score = ();

    fn score(&self, _ask: &Ask<'_>, _free: &Size, _size: &Size) -> Self::Score {}

    fn pick<R: Rng>(
        &self,
        fleet: &Fleet,
        ask: &Ask<'_>,
        allows: impl Fn(u32) -> bool,
        _rng: &mut R,
    ) -> Option<u32> {
        (0u32..)
            .zip(fleet.workers())
            .find(|(slot, worker)| fits(worker, &ask.needs, &worker.free()) && allows(*slot))
            .map(|(slot, _)| slot)
    }
}

/// `Best` takes the worker with the least room left.
#[derive(Clone, Copy, Debug, Default)]
pub struct Best;

impl Policy for Best {
    type Score = f64;

    fn score(&self, ask: &Ask<'_>, free: &Size, size: &Size) -> f64 {
        sum(&free.minus(&ask.needs), size)
    }
}

/// `Dot` takes the worker whose free room points most in the task's direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dot;

impl Policy for Dot {
    type Score = f64;

    fn score(&self, ask: &Ask<'_>, free: &Size, size: &Size) -> f64 {
        let product = |part: u64, room: u64, whole: u64| ratio(part, whole) * ratio(room, whole);
        let mut sum = product(ask.needs.millicores, free.millicores, size.millicores);
        sum += product(ask.needs.memory, free.memory, size.memory);
        for k in 0..KINDS {
            let part = u64::from(ask.needs.accelerators[k]);
            let room = u64::from(free.accelerators[k]);
            sum += product(part, room, u64::from(size.accelerators[k]));
        }
        -sum
    }
}

/// `RandomTwo` draws two workers that fit and takes the one with the most room left.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomTwo;

/// Draws before a random policy looks at every worker.
const DRAWS: usize = 64;

impl Policy for RandomTwo {
    type Score = f64;

    fn score(&self, ask: &Ask<'_>, free: &Size, size: &Size) -> f64 {
        -sum(&free.minus(&ask.needs), size)
    }

    fn pick<R: Rng>(
        &self,
        fleet: &Fleet,
        ask: &Ask<'_>,
        allows: impl Fn(u32) -> bool,
        rng: &mut R,
    ) -> Option<u32> {
        let count = u32::try_from(fleet.workers().len()).ok()?;
        if count == 0 {
            return None;
        }
        let able = |slot: u32| {
            let worker = fleet.get(slot);
            fits(worker, &ask.needs, &worker.free()) && allows(slot)
        };
        let drawn: Vec<u32> = (0..DRAWS)
            .map(|_| rng.random_range(0..count))
            .filter(|&slot| able(slot))
            .take(2)
            .collect();
        let score = |slot: &u32| {
            let worker = fleet.get(*slot);
            self.score(ask, &worker.free(), &worker.size)
        };
        let best = drawn
            .into_iter()
            .min_by(|a, b| score(a).total_cmp(&score(b)));
        let start = rng.random_range(0..count);
        best.or_else(|| (start..count).chain(0..start).find(|&slot| able(slot)))
    }
}

/// `Blend` takes the worker on which the task strands the least room for the mix of tasks.
///
/// It looks at cells of like workers, so its cost grows with the count of different states and
/// not with the count of workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Blend;

/// Workers of the best cell that are compared one by one.
const MEMBERS: usize = 12;

impl Policy for Blend {
    type Score = f64;

    fn score(&self, ask: &Ask<'_>, free: &Size, size: &Size) -> f64 {
        let after = free.minus(&ask.needs);
        let stranded = capacity(free, ask, size) - capacity(&after, ask, size);
        let left = sum(&after, size);
        stranded + TIE * left
    }

    fn pick<R: Rng>(
        &self,
        fleet: &Fleet,
        ask: &Ask<'_>,
        allows: impl Fn(u32) -> bool,
        _rng: &mut R,
    ) -> Option<u32> {
        let mut cells = Vec::with_capacity(64);
        for cell in fleet.index().cells() {
            let Some(slot) = member(fleet, cell, &ask.needs) else {
                continue;
            };
            let worker = fleet.get(slot);
            cells.push((self.score(ask, &worker.free(), &worker.size), cell));
        }
        let least = |a: &(f64, &Cell), b: &(f64, &Cell)| a.0.total_cmp(&b.0);
        let (_, first) = *cells.iter().min_by(|a, b| least(a, b))?;
        if let Some(slot) = self.pick_in(fleet, first, ask, &allows) {
            return Some(slot);
        }
        cells.sort_unstable_by(least);
        let mut rest = cells.iter().skip(1);
        rest.find_map(|(_, cell)| self.pick_in(fleet, cell, ask, &allows))
    }
}

impl Blend {
    fn pick_in(
        &self,
        fleet: &Fleet,
        cell: &Cell,
        ask: &Ask<'_>,
        allows: &impl Fn(u32) -> bool,
    ) -> Option<u32> {
        let able = |slot: &u32| fleet.get(*slot).free().holds(&ask.needs) && allows(*slot);
        let score = |slot: &u32| {
            let worker = fleet.get(*slot);
            self.score(ask, &worker.free(), &worker.size)
        };
        cell.workers
            .iter()
            .copied()
            .filter(able)
            .take(MEMBERS)
            .min_by(|a, b| score(a).total_cmp(&score(b)))
    }
}

/// How much the room left counts among workers that strand the same.
const TIE: f64 = 0.02;

/// How much free halves and quarters count beside the mix.
const HOLES: f64 = 0.05;

/// Returns a worker of the cell that the task fits into.
fn member(fleet: &Fleet, cell: &Cell, needs: &Size) -> Option<u32> {
    let pool = &fleet.index().pools()[cell.key.pool as usize];
    if !pool.size.holds(needs) {
        return None;
    }
    let (cpu, mem) = (level(needs.millicores), level(needs.memory));
    let Key {
        millicores,
        memory,
        accelerators,
        ..
    } = cell.key;
    let short = u32::from(accelerators) < needs.accelerator_sum();
    if millicores < cpu || memory < mem || short {
        return None;
    }
    let fits = |slot: &&u32| fleet.get(**slot).free().holds(needs);
    cell.workers.iter().find(fits).copied()
}

/// Returns how much work of the mix `free` could take, each shape by itself.
fn capacity(free: &Size, ask: &Ask<'_>, size: &Size) -> f64 {
    let mut sum = 0.0;
    for shape in ask.mix.shapes() {
        let count = free.fits(&shape.size, u32::MAX);
        sum += shape.weight * f64::from(count) * shape.size.dominant(size);
    }
    sum / ask.mix.weight() + HOLES * holes(free, size)
}

/// Returns how much of a worker with accelerators is free in halves and quarters.
///
/// It keeps large holes there also before the first large task has come.
fn holes(free: &Size, size: &Size) -> f64 {
    if size.accelerator_sum() == 0 {
        return 0.0;
    }
    let of = |parts| f64::from(free.fits(&size.part(parts), parts)) / f64::from(parts);
    of(2) + of(4)
}

/// Returns the sum of the shares of `part` in `whole`.
fn sum(part: &Size, whole: &Size) -> f64 {
    let mut sum = ratio(part.millicores, whole.millicores) + ratio(part.memory, whole.memory);
    for k in 0..KINDS {
        if part.accelerators[k] > 0 {
            sum += ratio(
                u64::from(part.accelerators[k]),
                u64::from(whole.accelerators[k]),
            );
        }
    }
    sum
}
