//! The choice of a worker for a task.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Step;

use crate::worker::{Run, Worker};

/// The weight of a full worker against an empty one, in milliseconds of a task's time.
const PACKING_WEIGHT_MS: u64 = 120;
/// The cost of a filling task beside a serving one, or the reverse, in milliseconds.
const INTERFERENCE_COST_MS: u64 = 1_000_000;

/// The weight of a worker whose accelerators are all free against one that is full after the start, in
/// milliseconds: tasks that need all of them wait for an empty worker, for as long as a task takes.
const FRAGMENTATION_WEIGHT_MS: u64 = 3_000;

/// Returns the cost of taking some of a worker's accelerators, by those that are left.
fn fragmentation_cost(claim: &Amount, worker: &Worker, free: &Amount) -> u64 {
    let mut cost = 0;
    for wanted in &claim.accelerators {
        let all = u64::from(worker.node.capacity.accelerators_of(&wanted.kind)).max(1);
        let left = free
            .accelerators_of(&wanted.kind)
            .saturating_sub(wanted.count);
        cost += FRAGMENTATION_WEIGHT_MS * u64::from(left) / all;
    }
    cost
}

/// `Wish` is what a task is looking for.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The task's step.
    pub step: &'a Step,
    /// What it takes.
    pub claim: &'a Amount,
    /// How much slower it is away from its data, in thousandths.
    pub remote_permille: u64,
}

impl Demand<'_> {
    /// Returns how long the task takes on a worker, in milliseconds, by what is known of its speed.
    #[must_use]
    pub fn run_time_ms(&self, worker: &Worker, slowdown_permille: u64) -> u64 {
        let time = self.step.estimate.0 * slowdown_permille / 1_000;
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
pub fn cost(demand: &Demand<'_>, worker: &Worker, free: &Amount, slowdown_permille: u64) -> u64 {
    let work = demand.run_time_ms(worker, slowdown_permille);
    let capacity = worker.node.capacity.millicores.max(1);
    let left = free.millicores.saturating_sub(demand.claim.millicores);
    let packing =
        PACKING_WEIGHT_MS * left / capacity + fragmentation_cost(demand.claim, worker, free);
    let (fills, serves) = (demand.step.fills, demand.step.target.is_some());
    let conflicts = |run: &Run| (fills && run.target.is_some()) || (serves && run.fills);
    let interferes = (fills || serves) && worker.runs.iter().any(conflicts);
    work + packing + if interferes { INTERFERENCE_COST_MS } else { 0 }
}
