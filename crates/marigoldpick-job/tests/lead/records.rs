//! The order in which changed jobs are recorded.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Phase;

use crate::world::{World, job, step};

/// Load pattern: the store is slow while tasks of more jobs end than a commit holds. Ended jobs with high ids must not
/// wait behind records for which nobody waits.
#[googletest::test]
fn ended_jobs_with_high_ids_are_recorded_in_the_next_commit() {
    let mut world = World::new(12);
    for number in 0..150 {
        world.submit(
            number,
            job(vec![step(1, 1_000, 1_200), step(1, 1_000, 9_000)]),
        );
    }
    let ids: Vec<id::Job> = (9_000..9_010)
        .map(|number| world.submit(number, job(vec![step(1, 1_000, 1_300)])))
        .collect();
    world.run(1_150);
    world.store_latency = Millis(400);
    // The ends, the commit in flight and the next one.
    world.run(300 + 2 * 420);
    for id in &ids {
        expect_that!(world.phase(id), some(eq(Phase::Completed)));
    }
    world.run(9_000);
    expect_that!(world.pool.broken, is_empty());
    expect_that!(world.pool.done.len(), eq(150 * 2 + 10));
}
