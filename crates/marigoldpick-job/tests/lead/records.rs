//! The order in which changed jobs are recorded.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::lease::Handover;
use marigoldpick_core::work::{Phase, Step};
use marigoldpick_job::record::Record;

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

/// Load pattern: leads follow one another under load. A lead that knows that there are no runs without a record must
/// say so although some end is always being recorded, or the next lead delays all starts.
#[googletest::test]
fn commits_say_that_all_runs_are_recorded_while_ends_arrive_all_the_time() {
    let mut world = World::new(12);
    let mut submitted = 0;
    let mut load = |world: &mut World, steps: u32| {
        let mut unsettled = 0;
        for _ in 0..steps {
            for _ in 0..4 {
                world.submit(submitted, job(vec![step(1, 1_000, 30)]));
                submitted += 1;
            }
            world.run(5);
            unsettled += u32::from(!world.settled);
        }
        unsettled
    };
    world.store_latency = Millis(40);
    load(&mut world, 100);
    world.take_over();
    world.lead.expect_unrecorded_starts();
    world.lead.rule_out_unrecorded_starts();
    load(&mut world, 20);
    expect_that!(load(&mut world, 100), eq(0));
    world.run(5_000);
    expect_that!(world.pool.broken, is_empty());
    expect_that!(world.pool.done.len(), eq(220 * 4));
}

/// An earlier lead's answer that its records lack runs may arrive after the store was told that none is missing. The
/// store must hear of it although no job changes, or the next lead starts tasks that run already.
#[googletest::test]
fn commits_take_back_that_all_runs_are_recorded_on_an_idle_site() {
    let mut world = World::new(2);
    world.submit(1, job(vec![step(2, 4_000, 20_000)]));
    world.run(1_000);
    world.partitioned[0] = true;
    world.take_over();
    world.lead.expect_unrecorded_starts();
    world.lead.rule_out_unrecorded_starts();
    world.run(500);
    expect_true!(world.settled);
    let unsettled = Handover {
        bounds: Vec::new(),
        longest: Millis(6_000),
        settled: false,
    };
    world.lead.inherit(&unsettled, world.now);
    world.run(200);
    expect_false!(world.settled);
}

/// Earlier versions recorded a checkpoint for each member of a gang, as its own runs told it.
#[googletest::test]
fn gang_checkpoints_of_earlier_versions_become_one() {
    let mut world = World::new(4);
    let gang = Step {
        gang: true,
        spread: Some(1),
        checkpoints: true,
        ..step(3, 4_000, 2_000)
    };
    let id = world.submit(1, job(vec![gang]));
    let text = r#"{"phase":"running","parts":[{"k":0,"s":0,"c":[[0,"a"],[1,"b"],[2,"c"]]}]}"#;
    world.records.insert(id.clone(), text.to_owned());
    world.take_over();
    world.run(1_000);
    let starts = &world.pool.started;
    let values: Vec<Option<&str>> = starts.iter().map(|s| s.checkpoint.as_deref()).collect();
    expect_that!(values, eq(&vec![Some("a"); 3]));
    let stored = Record::parse(&world.records[&id]).expect("a record");
    let values: Vec<&str> = stored.parts[0]
        .checkpoints
        .iter()
        .map(|(_, value)| value.as_str())
        .collect();
    expect_that!(values, eq(&vec!["a"; 3]));
}
