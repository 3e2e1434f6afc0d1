//! Tests that work which can't start keeps nothing from other work.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Job, Phase, Step};

use crate::world::{World, advised, job, name, queue, step};

/// The workers of a world.
const WORKERS: usize = 6;

fn of_queue(text: &str, job: Job) -> Job {
    Job {
        queue: name(text),
        ..job
    }
}

fn lasting(step: Step) -> Step {
    Step {
        lasting: true,
        ..step
    }
}

fn gang(step: Step) -> Step {
    Step { gang: true, ..step }
}

fn spread(step: Step, most: u32) -> Step {
    Step {
        spread: Some(most),
        ..step
    }
}

/// Returns a world with an adviser for both queues.
fn advised_world() -> World {
    let mut world = World::new(WORKERS);
    world.queues = vec![
        advised(queue("fast", 0), 24.0, 0.34),
        advised(queue("slow", 2), 24.0, 0.34),
    ];
    world.take_over();
    world.run(300);
    world
}

/// Submits the work in `ahead`, one job each 500 ms, and then small jobs, one each 500 ms; returns how many of these
/// have completed two seconds after the last one.
fn count_completed(world: &mut World, ahead: Vec<Job>, small: &Job) -> usize {
    for (number, job) in (0..).zip(ahead) {
        world.submit(number, job);
        world.run(500);
    }
    world.run(3_000);
    let ids: Vec<id::Job> = (0..10)
        .map(|number| {
            let id = world.submit(1_000 + number, small.clone());
            world.run(500);
            id
        })
        .collect();
    world.run(2_000);
    expect_that!(world.pool.broken, is_empty());
    let completed = ids
        .iter()
        .filter(|id| world.phase(id) == Some(Phase::Completed));
    completed.count()
}

/// Guards against LOST (incident 0013): work that can't start uses up the budget for questions to the adviser.
#[googletest::test]
fn questions_continue_beside_work_that_can_not_start() {
    let labeled = |label: &str, step: Step| Step {
        label: Some(name(label)),
        ..step
    };
    let beside_lasting = |waiting: Step| {
        let lasting = spread(lasting(step(WORKERS as u32, 20_000, 500)), 1);
        vec![job(vec![lasting]), job(vec![waiting])]
    };
    let cases = [
        (
            "a label that no worker has",
            vec![job(vec![labeled("gone", step(36, 15_000, 1_000))]); 4],
        ),
        (
            "lasting tasks beyond their spread",
            vec![job(vec![spread(lasting(step(48, 20_000, 500)), 1)])],
        ),
        (
            "tasks too large beside lasting ones",
            beside_lasting(step(60, 50_000, 1_000)),
        ),
        (
            "a gang wider than its spread",
            vec![job(vec![spread(gang(step(60, 15_000, 1_000)), 1)])],
        ),
        (
            "a gang wider than the service",
            vec![job(vec![gang(step(60, 15_000, 1_000))])],
        ),
        (
            "tasks that are too large beside long ones",
            vec![
                job(vec![spread(step(WORKERS as u32, 20_000, 100_000), 1)]),
                job(vec![step(60, 50_000, 1_000)]),
            ],
        ),
        (
            "many jobs for the few workers that can take them",
            std::iter::once(job(vec![spread(lasting(step(5, 30_000, 500)), 1)]))
                .chain(vec![job(vec![step(10, 60_000, 60_000)]); 12])
                .collect(),
        ),
    ];
    for (case, ahead) in cases {
        let small = of_queue("slow", job(vec![step(1, 500, 300)]));
        let completed = count_completed(&mut advised_world(), ahead, &small);
        expect_that!(completed, eq(10), "{case}");
    }
}

/// Work that the adviser allows nowhere asks once about each worker, and leaves the budget to others.
#[googletest::test]
fn questions_continue_beside_work_that_is_allowed_nowhere() {
    let mut world = advised_world();
    world.adviser.good_percent = 0;
    for number in 0..4 {
        world.submit(number, job(vec![step(36, 15_000, 1_000)]));
    }
    world.run(3_000);
    world.adviser.good_percent = 100;
    let small = of_queue("slow", job(vec![step(1, 500, 300)]));
    expect_that!(count_completed(&mut world, Vec::new(), &small), eq(10));
}

/// Waiting work must not occupy the adviser with questions whose tickets expire unused.
#[googletest::test]
fn questions_stop_while_a_gang_can_not_start() {
    let mut world = advised_world();
    world.submit(
        1,
        job(vec![spread(lasting(step(WORKERS as u32, 20_000, 500)), 1)]),
    );
    world.run(1_000);
    for number in 10..14 {
        world.submit(number, job(vec![lasting(gang(step(7, 40_000, 500)))]));
    }
    world.run(3_000);
    let before = world.lead.counters().questions;
    world.run(20_000);
    expect_that!(world.lead.counters().questions - before, le(4));
}
