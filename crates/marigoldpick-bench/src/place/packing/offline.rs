//! Offline search for the most tasks that can be placed, over many random orders of the jobs.

use marigoldpick_core::intent::Job;
use marigoldpick_core::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The largest number of workers for which the search is fast enough.
pub const MAX_WORKERS: usize = 50;
/// The number of orders that are tried for one number of tasks.
const TRIES: u32 = 100;

/// Returns the largest number of first tasks for which the search found an order that places them all.
///
/// `count_placed` returns how many tasks of an order are placed before the first that does not fit. The
/// order of arrival is tried too, so that the result is never below the number that it reaches.
pub fn find_reachable(
    total: &Amount,
    jobs: &[Job],
    seed: u64,
    count_placed: impl Fn(&[Job]) -> u32,
) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut low = count_placed(jobs) as usize;
    let mut high = jobs.len();
    while low < high {
        let middle = (low + high).div_ceil(2);
        let mut all_placed = || {
            let order = shuffle(&jobs[..middle], total, &mut rng);
            count_placed(&order) as usize == middle
        };
        if (0..TRIES).any(|_| all_placed()) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    u32::try_from(low).expect("fewer than 2^32 jobs")
}

/// Returns the jobs in a random order that favours large ones by a random weight.
fn shuffle(jobs: &[Job], total: &Amount, rng: &mut ChaCha8Rng) -> Vec<Job> {
    let sizes: Vec<f64> = jobs
        .iter()
        .map(|job| dominant_fraction(&job.needs, total))
        .collect();
    let max_size = sizes.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let weight = rng.random_range(0.0..1.0);
    let mut order: Vec<(f64, &Job)> = jobs
        .iter()
        .zip(sizes)
        .map(|(job, size)| (rng.random_range(0.0..1.0) + weight * size / max_size, job))
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    order.into_iter().map(|(_, job)| job.clone()).collect()
}

/// Returns the largest fraction that a task takes of any resource of the fleet.
fn dominant_fraction(needs: &Amount, total: &Amount) -> f64 {
    let ratio = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    ratio(needs.millicores, total.millicores)
        .max(ratio(needs.memory_mib, total.memory_mib))
        .max(ratio(
            super::count_accelerators(needs),
            super::count_accelerators(total),
        ))
}
