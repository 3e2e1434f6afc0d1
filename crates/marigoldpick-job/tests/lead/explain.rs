//! Tests that an explanation equals what happens when the same job is submitted at once.

use std::sync::Arc;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::explain::{Outcome, Placement, Reason};
use marigoldpick_core::work::{Job, Step};
use marigoldpick_job::rank::Order;
use marigoldpick_standin::jobs::Started;

use crate::world::{WALL, World, advised, job, job_id, job_of, name, queue, step, worker_id};

/// Returns a world in which workers hold different amounts and some take no work.
fn uneven_world() -> World {
    let mut world = World::new(12);
    world.pool.workers[3].node.draining = true;
    world.run(600);
    world.submit(1, job(vec![step(9, 13_000, 20_000)]));
    world.submit(2, job(vec![step(5, 30_000, 20_000)]));
    world.run(600);
    world
}

fn explain(world: &World, job: &Job) -> Placement {
    let mut job = job.clone();
    job.accepted = WALL + world.now.0;
    let placement = world
        .lead
        .explain(Arc::new(job), WALL + world.now.0, world.now);
    placement.expect("a known queue")
}

/// Submits the job and returns how many of its tasks started on each worker.
fn submit(world: &mut World, job: &Job) -> Vec<(id::Worker, u32)> {
    let id = world.submit(90, job.clone());
    world.run(100);
    let is_own = |start: &&Started| start.task.part.job == id;
    let starts = world.pool.started.iter().filter(is_own);
    let mut workers: Vec<usize> = starts.map(|start| start.worker).collect();
    workers.sort_unstable();
    let groups = workers.chunk_by(|a, b| a == b);
    groups
        .map(|same| (worker_id(same[0]), same.len() as u32))
        .collect()
}

/// An explanation that another function made up would mislead operators as the site changes.
#[googletest::test]
fn explain_equals_what_happens_on_a_still_world() {
    let spread = Step {
        spread: Some(1),
        ..step(6, 4_000, 800)
    };
    let label = Step {
        label: Some(name("r1")),
        ..step(7, 20_000, 800)
    };
    let gang = Step {
        gang: true,
        ..step(8, 12_000, 800)
    };
    let one_rack = Step {
        one_rack: true,
        gang: true,
        ..step(4, 11_000, 800)
    };
    let near = Step {
        rack: Some(name("r2")),
        ..step(6, 9_000, 800)
    };
    let fills = Step {
        fills: true,
        ..step(20, 9_000, 800)
    };
    let after = Step {
        after: vec![0],
        ..step(4, 5_000, 800)
    };
    let shapes = [
        vec![step(1, 1_000, 800)],
        vec![step(30, 7_000, 800)],
        vec![step(2_000, 3_000, 800)],
        vec![step(3, 65_000, 800)],
        vec![spread.clone()],
        vec![label],
        vec![gang.clone()],
        vec![Step { count: 80, ..gang }],
        vec![one_rack],
        vec![near],
        vec![fills],
        vec![step(4, 16_000, 800), after],
        vec![step(6, 16_000, 800), spread],
    ];
    let mut nonempty = 0;
    for order in [Order::Priority, Order::Cost] {
        for steps in &shapes {
            let mut world = uneven_world();
            world.settings.order = order;
            world.take_over();
            world.run(3_000);
            let job = job(steps.clone());
            let mut places: Vec<(id::Worker, u32)> = Vec::new();
            for step in explain(&world, &job).steps {
                for (worker, count) in step.places {
                    match places.binary_search_by(|(have, _)| have.cmp(&worker)) {
                        Ok(at) => places[at].1 += count,
                        Err(at) => places.insert(at, (worker, count)),
                    }
                }
            }
            nonempty += usize::from(!places.is_empty());
            expect_that!(submit(&mut world, &job), eq(&places), "{order:?} {steps:?}");
        }
    }
    expect_that!(nonempty, eq(2 * (shapes.len() - 2)));
}

/// Each worker counts once, under the reason for which an operator can do something.
#[googletest::test]
fn explain_tells_why_workers_are_excluded() {
    let world = uneven_world();
    let labelled = Step {
        label: Some(name("r1")),
        ..step(1, 40_000, 800)
    };
    let placement = explain(&world, &job(vec![labelled]));
    let answer = &placement.steps[0];
    let excluded: usize = answer.excluded.iter().map(|(_, count)| count).sum();
    expect_that!(answer.qualified + excluded, eq(12));
    expect_that!(answer.excluded, contains(eq(&(Reason::Draining, 1))));
    expect_that!(answer.excluded, contains(eq(&(Reason::Label, 7))));
    let large = explain(&world, &job(vec![step(1, 65_000, 800)]));
    expect_that!(large.steps[0].outcome, eq(Outcome::Room));
    expect_that!(large.steps[0].excluded, contains(eq(&(Reason::Size, 11))));
}

/// The limit and the rate of the team are read, and not charged.
#[googletest::test]
fn explain_charges_no_limit_and_no_rate() {
    let mut world = World::new(4);
    world.set_team("blue", 1.0, 8);
    world.run(600);
    let job = job_of("blue", vec![step(3, 4_000, 5_000)]);
    let first = explain(&world, &job);
    for _ in 0..9 {
        expect_that!(explain(&world, &job), eq(&first));
    }
    expect_that!(first.excess, eq(false));
    expect_that!(first.steps[0].admitted, eq(2));
    expect_that!(first.steps[0].outcome, eq(Outcome::StartsInPart));
    expect_that!(
        submit(&mut world, &job).iter().map(|(_, n)| n).sum::<u32>(),
        eq(2)
    );
    let rest = explain(&world, &job);
    expect_that!(rest.steps[0].outcome, eq(Outcome::Limit));
}

/// An operator asks why a job would wait: what goes before it is named in its order.
#[googletest::test]
fn explain_names_what_goes_before() {
    let mut world = World::new(2);
    world.run(600);
    for number in 1..=8 {
        world.submit(number, job(vec![step(10, 12_000, 9_000)]));
    }
    world.run(100);
    let placement = explain(
        &world,
        &Job {
            queue: name("slow"),
            ..job(vec![step(1, 12_000, 900)])
        },
    );
    let answer = &placement.steps[0];
    expect_that!(answer.outcome, eq(Outcome::Room));
    expect_that!(answer.behind, eq(placement.waiting));
    expect_that!(answer.before.len(), eq(5));
    expect_true!(
        answer
            .before
            .iter()
            .all(|ahead| ahead.queue == name("fast"))
    );
    expect_true!(answer.before.iter().all(|ahead| ahead.job != job_id(1)));
}

/// The adviser is not asked; the answer tells which question the lead would send.
#[googletest::test]
fn explain_tells_the_question_to_the_adviser() {
    let mut world = World::new(4);
    world.queues = vec![advised(queue("fast", 0), 100.0, 5.0)];
    world.lead.set_queues(&world.queues);
    world.run(600);
    let questions = world.lead.counters().questions;
    let placement = explain(&world, &job(vec![step(2, 4_000, 900)]));
    let question = placement.steps[0].question.as_ref().expect("a question");
    expect_that!(placement.steps[0].outcome, eq(Outcome::Advice));
    expect_that!(question.workers, gt(0));
    world.run(100);
    expect_that!(world.lead.counters().questions, eq(questions));
}
