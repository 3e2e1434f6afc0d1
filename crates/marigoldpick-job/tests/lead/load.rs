//! Tests of the summary of the waiting work.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Step;
use marigoldpick_core::work::load::{Service, Summary};

use crate::world::{World, job, job_of, name, step, team_id};

impl World {
    fn load(&mut self) -> Summary {
        let wall = crate::world::WALL + self.now.0;
        self.lead.load(wall, self.now)
    }
}

/// Returns the waiting work of a service and its number of jobs.
fn waiting(service: &Service) -> (u64, u32) {
    let classes = service.waiting.iter();
    classes.fold((0, 0), |(work, jobs), have| {
        (work + have.work, jobs + have.jobs)
    })
}

fn service(summary: &Summary) -> &Service {
    summary.service(&name("booking")).expect("the service")
}

/// Guards against a summary that counts work which runs already, or work without value.
#[googletest::test]
fn load_counts_waiting_work_with_value() {
    let mut world = World::new(4);
    world.run(4_000);
    let idle = world.load();
    let capacity: u64 = world
        .pool
        .workers
        .iter()
        .map(|w| w.node.capacity.millicores)
        .sum();
    expect_that!(service(&idle).millicores, eq(capacity));
    expect_that!(service(&idle).free_percent, eq(100));
    expect_that!(service(&idle).finished, some(eq(0)));
    expect_that!(waiting(service(&idle)), eq((0, 0)));
    // The summary is computed at most each 250 ms.
    world.run(249);
    expect_that!(world.load().age, eq(Millis(249)));
    world.run(1);
    expect_that!(world.load().age, eq(Millis::ZERO));
    // Each job fills all workers for two seconds, and may take 9.75 s.
    let tasks = (capacity / 1_000) as u32;
    for number in 0..5 {
        world.submit(number, job(vec![step(tasks, 1_000, 2_000)]));
    }
    world.run(300);
    let burst = world.load();
    let work = u64::from(tasks) * 2_000;
    expect_that!(waiting(service(&burst)), eq((4 * work, 4)));
    expect_that!(service(&burst).free_percent, eq(0));
    world.run(6_000);
    let later = world.load();
    expect_that!(service(&later).finished, some(ge(capacity * 2 / 3)));
    expect_that!(service(&later).finished, some(le(capacity * 4 / 3)));
    expect_that!(waiting(service(&later)).1, eq(1));
    // What is submitted beyond the jobs' limit loses its value, and still waits.
    for number in 10..20 {
        world.submit(number, job(vec![step(tasks, 1_000, 2_000)]));
    }
    world.run(9_000);
    expect_that!(waiting(service(&world.load())).1, lt(6));
    expect_that!(world.lead.waiting(&name("fast")), gt(4));
}

/// Guards against counting work against a job that does not compete with it: work that waits for its team's limit, and
/// lasting tasks, which hold capacity for good.
#[googletest::test]
fn load_leaves_out_work_that_does_not_compete() {
    let mut world = World::new(2);
    world.set_team("slow", 10.0, 1);
    world.run(4_000);
    let before = service(&world.load()).millicores;
    world.submit(1, job_of("slow", vec![step(6, 1_000, 60_000)]));
    let mut lasting = job(vec![step(1, 2_000, 1_000)]);
    lasting.steps[0].lasting = true;
    world.submit(2, lasting);
    world.run(600);
    let load = world.load();
    expect_that!(waiting(service(&load)), eq((0, 0)));
    expect_that!(service(&load).millicores, eq(before - 2_000));
}

/// Guards against a team above its rate whose jobs are taken for normal ones.
#[googletest::test]
fn load_names_teams_above_their_rate() {
    let mut world = World::new(2);
    world.set_team("loud", 1.0, 100);
    world.set_team("quiet", 1.0, 100);
    world.run(4_000);
    expect_that!(world.load().above_rate, is_empty());
    for number in 0..4 {
        world.submit(number, job_of("loud", vec![step(1, 1_000, 100)]));
    }
    world.run(300);
    expect_that!(world.load().above_rate, elements_are![eq(&team_id("loud"))]);
    world.run(2_000);
    expect_that!(world.load().above_rate, is_empty());
}

/// Guards against rejections (incident 0018) for the sake of work that can't start beside lasting tasks.
#[googletest::test]
fn load_leaves_out_work_that_can_not_start() {
    let mut world = World::new(4);
    world.run(300);
    let lasting = Step {
        lasting: true,
        spread: Some(1),
        ..step(4, 54_000, 500)
    };
    world.submit(1, job(vec![lasting]));
    world.run(1_000);
    let gang = |step: Step| Step { gang: true, ..step };
    // Ten cores are free on each worker.
    for (number, step) in [
        (2, step(100, 20_000, 60_000)),
        (3, gang(step(5, 10_000, 60_000))),
        (
            4,
            gang(Step {
                spread: Some(1),
                ..step(8, 1_000, 60_000)
            }),
        ),
    ] {
        world.submit(number, job(vec![step]));
    }
    world.run(500);
    expect_that!(waiting(service(&world.load())), eq((0, 0)));
    world.submit(5, job(vec![step(8, 10_000, 60_000)]));
    world.run(500);
    expect_that!(waiting(service(&world.load())), eq((4 * 10 * 60_000, 1)));
}
