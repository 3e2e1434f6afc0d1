//! Tests of the number of workers in a question, over the costs at the users' sites.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_job::question::{ROUND_TRIP_MS, Share, worker_count};
use marigoldpick_job::queue::Policy;

fn policy(base_ms: f64, each_ms: f64) -> Policy {
    Policy {
        base_ms,
        each_ms,
        valid: Millis(2_000),
    }
}

/// Returns a share learnt from many answers.
fn share(percent: u64) -> Share {
    let mut share = Share::default();
    share.record(1_900, 19 * percent);
    share
}

/// Returns the expected time to find `needed` good workers, with one more question if too few are
/// found.
fn expected(policy: &Policy, good: f64, needed: usize, named: usize) -> f64 {
    // The probability of each number of good workers among those named.
    let mut chances = vec![0.0_f64; named + 1];
    chances[0] = 1.0;
    for _ in 0..named {
        for have in (0..=named).rev() {
            let before = if have > 0 { chances[have - 1] } else { 0.0 };
            chances[have] = chances[have] * (1.0 - good) + before * good;
        }
    }
    let few: f64 = chances[..needed.min(named + 1)].iter().sum();
    policy.time_ms(named) + few * (policy.time_ms(named) + ROUND_TRIP_MS)
}

/// The costs of the queues at the users' sites: fixed time, time for each worker, percentage of
/// good workers.
const COSTS: [(f64, f64, u64); 9] = [
    (10.0, 0.14, 70),
    (160.0, 2.2, 45),
    (560.0, 8.0, 30),
    (130.0, 1.9, 45),
    (30.0, 0.43, 70),
    (420.0, 6.0, 35),
    (450.0, 6.5, 35),
    (24.0, 0.34, 70),
    (300.0, 0.5, 30),
];

#[googletest::test]
fn worker_count_minimises_expected_time_at_the_sites_costs() {
    for (base, each, good) in COSTS {
        let policy = policy(base, each);
        for needed in [1, 2, 5, 12] {
            let named = worker_count(&policy, share(good), needed, 100);
            let value = share(good).value();
            let chosen = expected(&policy, value, needed, named);
            let best = (needed..=100)
                .map(|named| expected(&policy, value, needed, named))
                .fold(f64::INFINITY, f64::min);
            expect_that!(
                chosen,
                le(best + 0.01),
                "{base} {each} {good} {needed}: {named}"
            );
        }
    }
}

#[googletest::test]
fn worker_count_names_all_of_a_small_service_when_the_fixed_part_is_large() {
    // Thirteen workers, three in ten of them good, for two tasks with one task on each worker.
    expect_that!(worker_count(&policy(560.0, 8.0), share(30), 2, 13), eq(13));
}

#[googletest::test]
fn worker_count_names_few_when_each_worker_is_expensive() {
    expect_that!(worker_count(&policy(10.0, 50.0), share(70), 1, 100), eq(1));
}

#[googletest::test]
fn worker_count_is_at_most_the_number_of_workers() {
    expect_that!(worker_count(&policy(30.0, 0.4), share(70), 20, 7), eq(7));
    expect_that!(worker_count(&policy(30.0, 0.4), share(70), 1, 0), eq(0));
}

#[googletest::test]
fn share_follows_recorded_answers() {
    let mut share = Share::default();
    expect_that!(share.value(), near(0.5, 0.001));
    (0..2_000).for_each(|_| share.record(10, 3));
    expect_that!(share.value(), near(0.3, 0.01));
    (0..2_000).for_each(|_| share.record(10, 0));
    expect_that!(share.value(), gt(0.0));
}
