//! Tests with numbers at the ends of their ranges, in entries and answers of workers and in jobs.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Ended, Exit, Order, Reply, Report, Running};
use marigoldpick_core::work::{Part, Phase, Schedule, Step};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::Config;
use proptest::{prop_assert, prop_assert_eq, proptest};

use crate::world::{World, advised, job, job_id, name, queue, step, worker_id};

/// Returns numbers with those at which sums and products leave their range.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(64_000),
        Just(u64::MAX / 120),
        Just(u64::MAX / 2 + 1),
        Just(u64::MAX),
        any::<u64>(),
    ]
}

fn amount() -> impl Strategy<Value = Amount> {
    let accelerators = prop_oneof![Just(0), Just(1), Just(u32::MAX)];
    (number(), number(), accelerators).prop_map(|(millicores, memory, count)| {
        Amount::new(millicores, memory).with(name("gpu"), count)
    })
}

fn any_step() -> impl Strategy<Value = Step> {
    let kinds = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    let rack = proptest::option::of(Just(name("r9")));
    let target = proptest::option::of(number().prop_map(Millis));
    (1..3_u32, amount(), number(), kinds, rack, target).prop_map(
        |(count, needs, estimate, (gang, copies, lasting, fills), rack, target)| Step {
            count,
            needs,
            estimate: Millis(estimate),
            gang,
            copies,
            lasting,
            fills,
            rack,
            target,
            ..Step::default()
        },
    )
}

fn advised_world(workers: usize) -> World {
    let mut world = World::new(workers);
    world.queues = vec![advised(queue("fast", 0), 5.0, 0.1), queue("slow", 2)];
    world.lead.set_queues(&world.queues);
    world
}

/// Returns a world with two usual workers and one of each of the `capacities`.
fn world_with(capacities: Vec<Amount>) -> World {
    let mut world = advised_world(capacities.len() + 2);
    for (worker, capacity) in world.pool.workers.iter_mut().zip(capacities) {
        worker.node.capacity = capacity;
    }
    world
}

proptest! {
    #![proptest_config(Config { cases: 64, ..Config::default() })]

    #[test]
    fn worker_of_any_capacity_delays_no_other(
        capacities in proptest::collection::vec(amount(), 1..4),
    ) {
        let mut world = world_with(capacities);
        world.run(50);
        let serving = Step { target: Some(Millis(100)), ..step(2, 1_000, 200) };
        let good = ["fast", "slow"].into_iter().zip(1..).map(|(queue, number)| {
            let mut good = job(vec![step(6, 4_000, 200), serving.clone()]);
            good.queue = name(queue);
            world.submit(number, good)
        });
        let good: Vec<id::Job> = good.collect();
        world.run(4_000);
        for id in good {
            prop_assert_eq!(world.phase(&id), Some(Phase::Completed));
        }
        prop_assert!(world.pool.broken.is_empty(), "{:?}", world.pool.broken);
    }

    #[test]
    fn step_of_any_needs_breaks_no_guarantee(
        capacities in proptest::collection::vec(amount(), 0..3),
        steps in proptest::collection::vec(any_step(), 1..4),
    ) {
        let mut world = world_with(capacities);
        world.run(50);
        for (number, step) in (1..).zip(steps) {
            let mut odd = job(vec![step]);
            odd.queue = name(if number % 2 == 0 { "slow" } else { "fast" });
            world.submit(number, odd);
        }
        world.run(3_500);
        prop_assert!(world.pool.broken.is_empty(), "{:?}", world.pool.broken);
    }

    #[test]
    fn schedule_of_any_time_delays_no_other(first in number(), every in number()) {
        let mut world = World::new(2);
        world.run(50);
        let mut repeated = job(vec![step(1, 1_000, 100)]);
        repeated.schedule = Some(Schedule { first, every: Millis(every), times: 3 });
        world.submit(1, repeated);
        let good = world.submit(2, job(vec![step(6, 4_000, 200)]));
        world.run(2_000);
        prop_assert_eq!(world.phase(&good), Some(Phase::Completed));
    }
}

/// Load pattern: another writer left an entry with far more room than all workers have, and nothing
/// answers at its address.
#[googletest::test]
fn silent_worker_of_large_capacity_adds_no_questions() {
    let questions = |silent: Option<Amount>| {
        let mut world = advised_world(3);
        world.partitioned[0] = true;
        world.pool.workers[0].up = silent.is_some();
        world.pool.workers[0].node.capacity = silent.unwrap_or_default();
        for number in 1..200 {
            world.submit(number, job(vec![step(4, 16_000, 2_000)]));
        }
        world.run(3_000);
        world.lead.counters().questions
    };
    let without = questions(None);
    expect_that!(without, gt(0));
    expect_that!(
        questions(Some(Amount::new(8_192_000, 1 << 32))),
        eq(without)
    );
}

/// Gives the lead a worker's answer to a hold.
fn report(world: &mut World, worker: usize, clock: Millis, report: Report) {
    let hold = Order::Hold {
        until: None,
        seen: 0,
        wait: Millis::ZERO,
    };
    let id = worker_id(worker);
    let of_id = |have: &&marigoldpick_job::worker::Worker| have.node.id == id;
    let state = world.lead.workers().iter().find(of_id);
    let in_flight = state.and_then(|worker| worker.holds.current.as_ref());
    let number = in_flight.expect("a hold in flight").number;
    let born = world.pool.workers[worker].node.born;
    let reply = Reply {
        clock,
        born,
        report: Some(report),
    };
    world
        .lead
        .handle_reply(&id, (&hold, number), Ok(reply), world.now, world.now);
}

#[googletest::test]
fn answer_with_largest_numbers_delays_no_other_worker() {
    let mut world = World::new(2);
    world.run(50);
    let serving = Step {
        target: Some(Millis(100)),
        lasting: true,
        ..step(2, 40_000, 500)
    };
    world.submit(1, job(vec![serving]));
    world.run(500);
    let run = world.lead.workers()[0].runs[0].clone();
    let running = Running {
        task: run.task.clone(),
        run: run.run,
        checkpoint: String::new(),
        percent: u32::MAX,
        figure: u64::MAX,
    };
    let unknown = Running {
        task: Part {
            job: job_id(9),
            occurrence: u32::MAX,
            step: u32::MAX,
        }
        .task(u32::MAX),
        run: u64::MAX,
        ..running.clone()
    };
    let ended = Ended {
        number: 1,
        task: unknown.task.clone(),
        run: u64::MAX,
        how: Exit::Done,
        checkpoint: String::new(),
    };
    let odd = Report {
        running: vec![running, unknown],
        ended: vec![ended],
        is_cut: false,
    };
    report(&mut world, 0, Millis::MAX, odd);
    let good = world.submit(2, job(vec![step(4, 10_000, 200)]));
    world.run(3_000);
    expect_that!(world.phase(&good), some(eq(Phase::Completed)));
}
