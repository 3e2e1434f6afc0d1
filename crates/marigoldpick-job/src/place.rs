//! The cost of placing a task on a worker.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Step;

use crate::worker::{Run, Worker};

/// The cost of a worker that is empty compared with a full one, in milliseconds of run time.
const PACKING_WEIGHT_MS: u64 = 120;
/// The cost of a filling task next to a serving one, or the reverse, in milliseconds.
const INTERFERENCE_COST_MS: u64 = 1_000_000;

/// The cost of a worker that keeps all its accelerators free after the start, compared with one
/// that keeps none, in milliseconds. Tasks that need all accelerators of a worker wait for an empty
/// one, for as long as a task takes.
const FRAGMENTATION_WEIGHT_MS: u64 = 3_000;

/// Returns the cost of fragmenting a worker's accelerators, by the number left free.
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

/// `Demand` holds the placement requirements of a task.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The task's step.
    pub step: &'a Step,
    /// The resources that the task claims.
    pub claim: &'a Amount,
    /// The run time away from the data, in thousandths of that near it.
    pub remote_permille: u64,
}

impl Demand<'_> {
    /// Returns the expected run time of the task on a worker, in milliseconds.
    #[must_use]
    pub fn run_time_ms(&self, worker: &Worker, slowdown_permille: u64) -> u64 {
        let time = self.step.estimate.times(slowdown_permille).0 / 1_000;
        if self.step.rack.is_some() && self.step.rack != worker.node.rack {
            time.saturating_mul(self.remote_permille) / 1_000
        } else {
            time
        }
    }
}

/// Returns the cost of a worker for the task in milliseconds; lower is better.
///
/// The worker must have capacity for the task. `free` is the worker's free capacity, and
/// `slowdown_permille` is the run time of tasks on the worker, in thousandths of their estimates.
#[must_use]
pub fn cost(demand: &Demand<'_>, worker: &Worker, free: &Amount, slowdown_permille: u64) -> u64 {
    let work = demand.run_time_ms(worker, slowdown_permille);
    let capacity = worker.node.capacity.millicores.max(1);
    let left = free.millicores.saturating_sub(demand.claim.millicores);
    let packing = PACKING_WEIGHT_MS.saturating_mul(left) / capacity
        + fragmentation_cost(demand.claim, worker, free);
    let (fills, serves) = (demand.step.fills, demand.step.target.is_some());
    let conflicts = |run: &Run| (fills && run.target.is_some()) || (serves && run.fills);
    let interferes = (fills || serves) && worker.runs.iter().any(conflicts);
    let interference = if interferes { INTERFERENCE_COST_MS } else { 0 };
    work.saturating_add(packing).saturating_add(interference)
}
