//! The choice of a worker for a task.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Step;

use crate::worker::{Run, Worker};

/// The weight of a full worker against an empty one, in milliseconds of a task's time.
const PACKING: u64 = 120;
/// The cost of a filling task beside a serving one, or the reverse, in milliseconds.
const DISTURBANCE: u64 = 1_000_000;

/// The weight of a worker whose accelerators are all free against one that is full after the start, in
/// milliseconds: tasks that need all of them wait for an empty worker, for as long as a task takes.
const SPLITTING: u64 = 3_000;

/// Returns the cost of taking some of a worker's accelerators, by those that are left.
fn split(claim: &Amount, worker: &Worker, free: &Amount) -> u64 {
    let mut cost = 0;
    for wanted in &claim.accelerators {
        let all = u64::from(worker.node.capacity.accelerators_of(&wanted.kind)).max(1);
        let left = free
            .accelerators_of(&wanted.kind)
            .saturating_sub(wanted.count);
        cost += SPLITTING * u64::from(left) / all;
    }
    cost
}

/// `Wish` is what a task is looking for.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The task's step.
    pub step: &'a Step,
    /// What it takes.
    pub claim: &'a Amount,
    /// How much slower it is away from its data, in thousandths.
    pub remote_permille: u64,
}

impl Wish<'_> {
    /// Returns how long the task takes on a worker, in milliseconds, by what is known of its speed.
    #[must_use]
    pub fn time(&self, worker: &Worker, speed_permille: u64) -> u64 {
        let time = self.step.estimate.0 * speed_permille / 1_000;
        if self.step.rack.is_some() && self.step.rack != worker.node.rack {
            time * self.remote_permille / 1_000
        } else {
            time
        }
    }
}

/// Returns the cost of a worker that has room for the task, in milliseconds; less is better.
///
/// `speed_permille` is how long tasks take on it, in thousandths of their estimates.
#[must_use]
pub fn cost(wish: &Wish<'_>, worker: &Worker, free: &Amount, speed_permille: u64) -> u64 {
    let work = wish.time(worker, speed_permille);
    let capacity = worker.node.capacity.millicores.max(1);
    let left = free.millicores.saturating_sub(wish.claim.millicores);
    let packing = PACKING * left / capacity + split(wish.claim, worker, free);
    let (fills, serves) = (wish.step.fills, wish.step.target.is_some());
    let meets = |run: &Run| (fills && run.target.is_some()) || (serves && run.fills);
    let disturbed = (fills || serves) && worker.runs.iter().any(meets);
    work + packing + if disturbed { DISTURBANCE } else { 0 }
}
