//! What could be placed if all arrivals were known ahead: the best of many random orders.

use marigoldpick_core::intent::Job;
use marigoldpick_core::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Workers above which the search takes too long.
pub const MOST_WORKERS: usize = 50;
/// Orders that are tried for one count of tasks.
const TRIES: u32 = 100;

/// Returns the most of the first tasks for which some order was found that places all of them.
///
/// `placed` tells how many tasks of an order are placed before the first that does not fit. The
/// order of arrival is one of those tried, and so the result is no less than what it reaches.
pub fn reachable(total: &Amount, jobs: &[Job], seed: u64, placed: impl Fn(&[Job]) -> u32) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut low = placed(jobs) as usize;
    let mut high = jobs.len();
    while low < high {
        let middle = (low + high).div_ceil(2);
        let mut whole = || {
            let order = shuffled(&jobs[..middle], total, &mut rng);
            placed(&order) as usize == middle
        };
        if (0..TRIES).any(|_| whole()) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    u32::try_from(low).expect("fewer than 2^32 jobs")
}

/// Puts jobs in a random order; how far large ones go first is drawn, too.
fn shuffled(jobs: &[Job], total: &Amount, rng: &mut ChaCha8Rng) -> Vec<Job> {
    let sizes: Vec<f64> = jobs.iter().map(|job| largest(&job.needs, total)).collect();
    let most = sizes.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let weight = rng.random_range(0.0..1.0);
    let mut order: Vec<(f64, &Job)> = jobs
        .iter()
        .zip(sizes)
        .map(|(job, size)| (rng.random_range(0.0..1.0) + weight * size / most, job))
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    order.into_iter().map(|(_, job)| job.clone()).collect()
}

/// Returns the largest share that a task takes of any part of the fleet.
fn largest(needs: &Amount, total: &Amount) -> f64 {
    let ratio = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    ratio(needs.millicores, total.millicores)
        .max(ratio(needs.memory_mib, total.memory_mib))
        .max(ratio(
            super::accelerators(needs),
            super::accelerators(total),
        ))
}
