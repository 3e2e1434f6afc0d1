//! Tests that work which can't start keeps nothing from other work.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Job, Phase, Step};

use crate::world::{World, advised, job, job_of, name, queue, step};

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
    for (number, job) in (10..).zip(ahead) {
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

/// Guards against LOST (incident 0014): a late gang holds its team's quota although it can't start.
#[googletest::test]
fn gang_that_can_not_start_holds_no_quota() {
    let two_lasting = || job_of("a", vec![lasting(step(2, 4_000, 500))]);
    // These fill the memory of their workers, so that no other task runs slowly.
    let slow_run = || {
        let needs = Amount::new(4_000, 128_000);
        job_of(
            "a",
            vec![Step {
                needs,
                ..step(2, 4_000, 500)
            }],
        )
    };
    let long_run = || job_of("a", vec![step(2, 4_000, 100_000)]);
    let gang_of = |step: Step| job_of("a", vec![gang(step)]);
    let cases = [
        (
            "beside lasting tasks of its team",
            1,
            vec![two_lasting(), gang_of(step(4, 4_000, 1_000))],
        ),
        (
            "wider than its spread",
            1,
            vec![long_run(), gang_of(spread(step(10, 2_000, 1_000), 1))],
        ),
        (
            "for a label that no worker has",
            1,
            vec![
                long_run(),
                gang_of(Step {
                    label: Some(name("gone")),
                    ..step(4, 5_000, 1_000)
                }),
            ],
        ),
        (
            "too large beside lasting tasks of others",
            1,
            vec![
                job(vec![spread(lasting(step(6, 60_000, 500)), 1)]),
                long_run(),
                gang_of(step(4, 5_000, 1_000)),
            ],
        ),
        (
            "beside runs that are far past their estimate",
            200,
            vec![slow_run(), gang_of(step(4, 4_000, 1_000))],
        ),
        (
            "until long runs have ended",
            1,
            vec![long_run(), gang_of(step(4, 4_000, 1_000))],
        ),
    ];
    for (case, slowness, ahead) in cases {
        let mut world = World::new(WORKERS);
        for worker in &mut world.pool.workers[..2] {
            worker.slowness = slowness;
        }
        world.set_team("a", 1_000.0, 20);
        let mut ahead = ahead.into_iter();
        world.submit(1, ahead.next().expect("a job"));
        world.run(300);
        let small = job_of("a", vec![step(1, 500, 300)]);
        let completed = count_completed(&mut world, ahead.collect(), &small);
        expect_that!(completed, ge(9), "{case}");
    }
}

/// Load pattern: short tasks of the team end before the long ones for which its late gang waits.
#[googletest::test]
fn late_gang_starts_when_long_tasks_end_beside_short_ones() {
    let mut world = World::new(WORKERS);
    world.set_team("a", 1_000.0, 20);
    world.submit(1, job_of("a", vec![step(2, 4_000, 5_000)]));
    world.run(100);
    let id = world.submit(2, job_of("a", vec![gang(step(4, 4_000, 300))]));
    for number in 0..200 {
        world.submit(1_000 + number, job_of("a", vec![step(2, 1_000, 300)]));
        world.run(40);
    }
    let of_gang = |id: &id::Job, world: &World| {
        let start = world
            .pool
            .started
            .iter()
            .find(|start| start.task.part.job == *id);
        start.map(|start| start.at)
    };
    // The long tasks end at 5 s; the gang waits for the short ones that run then.
    expect_that!(of_gang(&id, &world), some(le(Millis(6_000))));
    let short = world.pool.done.len();
    expect_that!(short, ge(100));
    expect_that!(world.pool.broken, is_empty());
}
