//! Tests of the lines that tell why a placement was given up.

use googletest::prelude::*;

use crate::world::{World, job, step};

/// Starts a task, and returns its worker and run.
fn start_task(world: &mut World) -> (usize, u64) {
    world.run(100);
    let id = world.submit(1, job(vec![step(1, 4_000, 30_000)]));
    world.run(500);
    let mut workers = 0..world.pool.workers.len();
    let at = workers.find(|at| world.pool.workers[*at].has_job(&id));
    let at = at.expect("a worker in use");
    let runs = world.lead.workers()[at].runs.iter().map(|run| run.run);
    (at, runs.max().expect("a run"))
}

/// Returns the details of the decisions of a kind.
fn details(world: &World, event: &str) -> Vec<String> {
    let decisions = world.decisions.iter();
    let of_kind = decisions.filter(|decision| decision.event == event);
    of_kind.map(|decision| decision.detail.clone()).collect()
}

#[googletest::test]
fn release_tells_its_evidence_and_the_next_start_names_the_run() {
    let mut world = World::new(2);
    let (at, run) = start_task(&mut world);
    world.partitioned[at] = true;
    world.break_connections();
    world.run(10_000);
    let released = details(&world, "run-released");
    expect_that!(released.len(), eq(1));
    expect_that!(
        released[0],
        all!(
            contains_substring(format!("worker={} born=1 ", world.pool.workers[at].node.id)),
            contains_substring(format!(" run={run} phase=Running confirmed=true ")),
            ends_with(" evidence=lapsed-granted"),
        )
    );
    let started = details(&world, "starts-ordered");
    expect_that!(
        started.last(),
        some(ends_with(format!(" replaced=0:{run}")))
    );
}

#[googletest::test]
fn release_of_a_refused_start_tells_the_refusal() {
    let mut world = World::new(1);
    world.pool.workers[0].refusing = true;
    world.run(100);
    world.submit(1, job(vec![step(1, 4_000, 30_000)]));
    world.run(500);
    let released = details(&world, "run-released");
    let refusal = " evidence=refused: the worker is unhealthy; nothing was done";
    expect_that!(released.first(), some(ends_with(refusal)));
}
