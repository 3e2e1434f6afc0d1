//! Tests that work which can't start keeps nothing from other work.

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Job, Phase, Step};

use crate::world::{World, advised, job, job_of, name, queue, step};

/// The processors of a worker, in thousandths of a core.
const WORKER: u64 = 64_000;
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

/// The payload of jobs whose tasks run for 100 s, whatever their estimate.
const RUNS_LONG: &str = "runs long";

/// Returns the job with tasks that run far past their estimate.
fn past_estimate(job: Job) -> Job {
    Job {
        payload: RUNS_LONG.to_owned(),
        ..job
    }
}

/// Submits a job.
fn submit(world: &mut World, number: u32, job: Job) -> id::Job {
    let id = world.submit(number, job);
    let known = &world.pool.jobs[&id];
    if known.payload == RUNS_LONG {
        let mut truth = Job::clone(known);
        truth.steps[0].estimate = Millis(100_000);
        world.pool.jobs.insert(id.clone(), Arc::new(truth));
    }
    id
}

/// Returns a step whose tasks need accelerators.
fn accelerated(count: u32, accelerators: u32, estimate: u64) -> Step {
    Step {
        needs: Amount::new(1_000, 1_000).with(name("gpu"), accelerators),
        ..step(count, 1_000, estimate)
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
        submit(world, number, job);
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

/// Workers whose lasting tasks leave no room for a step are not named in its questions.
#[googletest::test]
fn questions_leave_out_workers_that_stay_full() {
    let mut world = World::new(10);
    world.queues.push(advised(queue("wide", 1), 560.0, 8.0));
    world.lead.set_queues(&world.queues);
    world.submit(1, job(vec![lasting(step(9, 60_000, 500))]));
    world.run(200);
    let id = world.submit(2, of_queue("wide", job(vec![step(3, 60_000, 1_000)])));
    world.run(1_000);
    let stage = world.lead.job(&id).and_then(|job| job.stage(0, 0));
    expect_that!(stage.map(|stage| stage.tickets.verdicts.len()), some(eq(1)));
}

/// Guards against LOST (incident 0014): a late gang holds its team's quota although it can't start.
#[googletest::test]
fn gang_that_can_not_start_holds_no_quota() {
    let two_lasting = || job_of("a", vec![lasting(step(2, 4_000, 500))]);
    let slow_run = || past_estimate(job_of("a", vec![step(2, 4_000, 500)]));
    let long_run = || job_of("a", vec![step(2, 4_000, 100_000)]);
    let gang_of = |step: Step| job_of("a", vec![gang(step)]);
    let cases = [
        (
            "beside lasting tasks of its team",
            vec![two_lasting(), gang_of(step(4, 4_000, 1_000))],
        ),
        (
            "wider than its spread",
            vec![long_run(), gang_of(spread(step(10, 2_000, 1_000), 1))],
        ),
        (
            "for a label that no worker has",
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
            vec![
                job(vec![spread(lasting(step(6, 60_000, 500)), 1)]),
                long_run(),
                gang_of(step(4, 5_000, 1_000)),
            ],
        ),
        (
            "beside runs that are far past their estimate",
            vec![slow_run(), gang_of(step(4, 4_000, 1_000))],
        ),
        (
            "until long runs have ended",
            vec![long_run(), gang_of(step(4, 4_000, 1_000))],
        ),
    ];
    for (case, ahead) in cases {
        let mut world = World::new(WORKERS);
        world.set_team("a", 1_000.0, 20);
        let small = job_of("a", vec![step(1, 500, 300)]);
        let completed = count_completed(&mut world, ahead, &small);
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

/// Returns a world whose workers have eight accelerators each.
fn accelerated_world() -> World {
    let mut world = World::new(3);
    for worker in &mut world.pool.workers {
        worker.node.capacity = Amount::new(WORKER, 128_000).with(name("gpu"), 8);
    }
    world.take_over();
    world.run(300);
    world
}

/// Guards against LOST (incident 0015): workers are reserved for tasks that can't start there.
#[googletest::test]
fn workers_are_not_reserved_for_work_that_can_not_start() {
    let one_each = |estimate: u64| spread(accelerated(3, 1, estimate), 1);
    let whole = |count: u32| accelerated(count, 8, 1_000);
    let cases = [
        (
            "whole workers with lasting tasks",
            vec![job(vec![lasting(one_each(500))]), job(vec![whole(3)])],
        ),
        (
            "lasting tasks beyond their spread",
            vec![job(vec![lasting(Step {
                count: 9,
                ..one_each(500)
            })])],
        ),
        (
            "whole workers with runs far past their estimate",
            vec![past_estimate(job(vec![one_each(500)])), job(vec![whole(3)])],
        ),
        (
            "whole workers with long runs",
            vec![job(vec![one_each(100_000)]), job(vec![whole(3)])],
        ),
        (
            "a gang of more workers than can become empty",
            vec![
                job(vec![lasting(Step {
                    count: 2,
                    ..one_each(500)
                })]),
                job(vec![gang(whole(2))]),
            ],
        ),
        (
            "a gang of which one worker will be empty late",
            vec![
                job(vec![Step {
                    count: 2,
                    ..one_each(100_000)
                }]),
                job(vec![gang(whole(2))]),
            ],
        ),
    ];
    for (case, ahead) in cases {
        let mut world = accelerated_world();
        let small = of_queue("slow", job(vec![accelerated(1, 1, 300)]));
        let completed = count_completed(&mut world, ahead, &small);
        expect_that!(completed, ge(8), "{case}");
    }
}

/// A worker that is empty and whose step doesn't start, here since the adviser is silent, is not reserved for good.
#[googletest::test]
fn reservation_of_an_empty_worker_ends_when_nothing_starts() {
    let mut world = accelerated_world();
    world.queues = vec![advised(queue("fast", 0), 24.0, 0.34), queue("slow", 2)];
    world.lead.set_queues(&world.queues);
    world.adviser.good_percent = 100;
    world.submit(1, of_queue("slow", job(vec![accelerated(20, 1, 4_000)])));
    world.run(100);
    world.submit(2, job(vec![accelerated(3, 8, 1_000)]));
    world.run(400);
    world.lead.set_askers(&[]);
    world.run(5_000);
    let id = world.submit(3, of_queue("slow", job(vec![accelerated(12, 1, 300)])));
    world.run(10_000);
    expect_that!(world.phase(&id), some(eq(Phase::Completed)));
}

/// What is withheld is published, and let go once the holder has started.
#[googletest::test]
fn withheld_counts_reserved_workers_until_the_step_starts() {
    let mut world = accelerated_world();
    world.submit(1, job(vec![accelerated(20, 1, 2_000)]));
    world.run(100);
    let id = world.submit(2, job(vec![accelerated(2, 8, 500)]));
    world.run(500);
    let resource = marigoldpick_job::lead::withheld::Resource::Workers;
    expect_that!(world.lead.withheld(resource), eq(2));
    world.run(3_000);
    expect_that!(world.phase(&id), some(eq(Phase::Completed)));
    expect_that!(world.lead.withheld(resource), eq(0));
}

/// Guards against LOST (incident 0016): passes over wide steps that can't start take all of the lead's time.
#[googletest::test]
fn wide_steps_that_can_not_start_take_no_time() {
    let mut world = World::new(WORKERS);
    let wide = Step {
        label: Some(name("gone")),
        ..step(10_000, 20, 60_000)
    };
    for number in 0..5 {
        world.submit(number, job(vec![wide.clone(); 64]));
    }
    let begin = Instant::now();
    world.run(1_000);
    expect_that!(begin.elapsed(), le(Duration::from_secs(5)));
}

/// Guards against LOST (incident 0016): the tasks of a wide step put off the next pass.
#[googletest::test]
fn wide_step_does_not_delay_other_work() {
    let cases = [
        (
            "beyond its spread limit",
            spread(step(10_000, 20, 60_000), 1),
        ),
        ("with room for all tasks", step(10_000, 20, 60_000)),
    ];
    for (case, wide) in cases {
        let mut world = World::new(48);
        world.run(300);
        world.submit(1, of_queue("slow", job(vec![wide; 4])));
        world.run(100);
        let urgent = world.submit(2, job(vec![step(1, 500, 300)]));
        world.run(1_000);
        expect_that!(world.phase(&urgent), some(eq(Phase::Completed)), "{case}");
    }
}

/// Guards against LOST (incident 0016): the starts or stops of a wide job in flight end the lead's process.
#[googletest::test]
fn orders_of_a_wide_job_in_flight_are_bounded() {
    let mut world = World::new(48);
    world.run(300);
    let wide = Step {
        needs: Amount::new(20, 10),
        ..step(2_000, 20, 60_000)
    };
    let id = world.submit(1, of_queue("slow", job(vec![wide])));
    let in_flight = |world: &World| -> usize {
        let workers = world.lead.workers().iter();
        workers.map(|worker| worker.orders.count()).sum()
    };
    for _ in 0..1_000 {
        world.run(1);
        expect_that!(in_flight(&world), le(512));
    }
    expect_that!(world.pool.running().len(), eq(2_000));
    world.cancel(&id);
    for _ in 0..2_000 {
        world.run(1);
        expect_that!(in_flight(&world), le(512));
    }
    expect_that!(world.pool.running(), is_empty());
    expect_that!(world.pool.broken, is_empty());
}
