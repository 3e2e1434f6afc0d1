//! Tests the simulated workers of jobs and the adviser in virtual time.

use std::sync::Arc;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Exit, Fault, Node, Order, Start};
use marigoldpick_core::work::{Job, Part, Step, Task};
use marigoldpick_standin::jobs::{Adviser, Limits, Pool, Worker};

const LIMITS: Limits = Limits {
    lease: Millis(6_000),
    stop: Millis(400),
};

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn worker(number: u32) -> Worker {
    Worker::new(Node {
        id: id::Worker::new(&format!("w{number}")).expect("a name"),
        born: 1,
        address: String::new(),
        service: name("tasks"),
        domain: id::Domain::new("north").expect("a name"),
        kind: None,
        rack: None,
        labels: Vec::new(),
        capacity: Amount::new(2_000, 2_000),
        draining: false,
        remaining: None,
    })
}

/// Creates a pool of two workers and a job of one step with two tasks of half a second.
fn pool(gang: bool) -> Pool {
    let mut pool = Pool::new(vec![worker(0), worker(1)], LIMITS, Millis::ZERO);
    let step = Step {
        count: 2,
        needs: Amount::new(1_500, 100),
        estimate: Millis(500),
        gang,
        ..Step::default()
    };
    let job = Job {
        queue: name("plain"),
        payload: String::new(),
        steps: vec![step],
        schedule: None,
        accepted: 0,
        team: None,
    };
    pool.jobs.insert(task(0).part.job, Arc::new(job));
    pool
}

fn task(index: u32) -> Task {
    let part = Part {
        job: id::Job::new("a").expect("a name"),
        occurrence: 0,
        step: 0,
    };
    part.task(index)
}

fn start(index: u32, run: u64) -> Order {
    Order::Start(Box::new(Start {
        task: task(index),
        run,
        payload: String::new(),
        until: Millis(60_000),
        checkpoint: None,
        ticket: None,
    }))
}

fn hold(seen: u64) -> Order {
    Order::Hold {
        until: None,
        seen,
        wait: Millis::ZERO,
    }
}

/// Returns the outcomes of the ended runs that a worker reports.
fn reported_outcomes(pool: &mut Pool, at: usize) -> Vec<Exit> {
    let reply = pool.order(at, 9, &hold(0)).expect("an answer");
    let ended = reply.report.expect("a report").ended;
    ended.into_iter().map(|end| end.how).collect()
}

#[googletest::test]
fn pool_runs_a_task_to_its_end() {
    let mut pool = pool(false);
    expect_true!(pool.order(0, 1, &start(0, 1)).is_ok());
    pool.advance(Millis(499));
    expect_that!(reported_outcomes(&mut pool, 0), is_empty());
    pool.advance(Millis(500));
    expect_that!(
        reported_outcomes(&mut pool, 0),
        elements_are![eq(&Exit::Done)]
    );
    expect_false!(pool.is_done(&task(0).part.job));
}

#[googletest::test]
fn pool_refuses_a_lower_term_and_an_old_run() {
    let mut pool = pool(false);
    expect_true!(pool.order(0, 5, &hold(0)).is_ok());
    expect_that!(pool.order(0, 4, &start(0, 1)), err(eq(&Fault::Fenced)));
    let stop = Order::Stop {
        task: task(0),
        run: 3,
    };
    expect_true!(pool.order(0, 5, &stop).is_ok());
    expect_that!(pool.order(0, 5, &start(0, 3)), err(eq(&Fault::Old)));
    expect_true!(pool.order(0, 5, &start(0, 4)).is_ok());
}

#[googletest::test]
fn pool_lease_not_renewed_lapses() {
    let mut pool = pool(false);
    pool.workers[0].hung = true;
    expect_true!(pool.order(0, 1, &start(0, 1)).is_ok());
    pool.advance(Millis(6_000));
    expect_that!(reported_outcomes(&mut pool, 0), is_empty());
    pool.advance(Millis(6_001));
    expect_that!(
        reported_outcomes(&mut pool, 0),
        elements_are![eq(&Exit::Lapsed)]
    );
}

#[googletest::test]
fn pool_stopped_worker_ends_nothing_and_lapses_when_it_goes_on() {
    let mut pool = pool(false);
    expect_true!(pool.order(0, 1, &start(0, 1)).is_ok());
    pool.set_stopped(0, true, Millis(100));
    pool.advance(Millis(5_000));
    pool.set_stopped(0, false, Millis(5_500));
    expect_that!(reported_outcomes(&mut pool, 0), is_empty());
    pool.set_stopped(0, true, Millis(5_899));
    pool.advance(Millis(7_000));
    expect_that!(pool.run_count(0), eq(1));
    pool.set_stopped(0, false, Millis(7_000));
    expect_that!(
        reported_outcomes(&mut pool, 0),
        elements_are![eq(&Exit::Lapsed)]
    );
}

#[googletest::test]
fn pool_run_on_a_stopped_worker_counts_until_its_lease_has_lapsed() {
    for (at, broken) in [(6_000, 1), (6_001, 0)] {
        let mut pool = pool(false);
        expect_true!(pool.order(0, 1, &start(0, 1)).is_ok());
        pool.set_stopped(0, true, Millis(100));
        pool.advance(Millis(at));
        expect_that!(pool.running().len(), eq(broken));
        expect_true!(pool.order(1, 1, &start(0, 2)).is_ok());
        expect_that!(pool.broken.len(), eq(broken), "at {at}");
    }
}

#[googletest::test]
fn pool_records_violations() {
    let mut pool = pool(false);
    expect_true!(pool.order(0, 1, &start(0, 1)).is_ok());
    expect_true!(pool.order(1, 1, &start(0, 2)).is_ok());
    expect_that!(pool.broken, elements_are![contains_substring("runs twice")]);
    expect_true!(pool.order(0, 1, &start(1, 1)).is_ok());
    expect_that!(pool.broken[1], contains_substring("no room on w0"));
    pool.advance(Millis(500));
    expect_true!(pool.order(0, 1, &hold(2)).is_ok());
    pool.advance(Millis(600));
    expect_true!(pool.order(1, 1, &start(0, 3)).is_ok());
    expect_that!(
        pool.broken.last(),
        some(contains_substring("after its end was noted"))
    );
}

#[googletest::test]
fn pool_gang_progresses_only_while_whole() {
    let mut pool = pool(true);
    expect_true!(pool.order(0, 1, &start(0, 1)).is_ok());
    pool.advance(Millis(1_000));
    expect_that!(reported_outcomes(&mut pool, 0), is_empty());
    expect_true!(pool.order(1, 1, &start(1, 1)).is_ok());
    pool.advance(Millis(1_500));
    expect_that!(
        reported_outcomes(&mut pool, 0),
        elements_are![eq(&Exit::Done)]
    );
    expect_that!(
        reported_outcomes(&mut pool, 1),
        elements_are![eq(&Exit::Done)]
    );
}

#[googletest::test]
fn pool_gang_member_without_the_others_ends_alone() {
    let mut pool = pool(true);
    expect_true!(pool.order(0, 1, &start(0, 1)).is_ok());
    pool.advance(Millis(1));
    pool.advance(Millis(3_001));
    expect_that!(
        reported_outcomes(&mut pool, 0),
        elements_are![eq(&Exit::Alone)]
    );
}

#[googletest::test]
fn adviser_answers_one_question_of_each_caller_at_a_time() {
    let mut adviser = Adviser::new(70);
    let span = Millis(30);
    expect_that!(adviser.ask("a", span, Millis(0)), some(eq(Millis(30))));
    expect_that!(adviser.ask("a", span, Millis(10)), some(eq(Millis(60))));
    expect_that!(adviser.ask("b", span, Millis(10)), some(eq(Millis(40))));
    for number in 3..=32 {
        let end = Millis(30).times(number);
        expect_that!(adviser.ask("a", span, Millis(10)), some(eq(end)));
    }
    expect_that!(adviser.ask("a", span, Millis(10)), none());
    expect_that!(
        adviser.ask("a", span, Millis(2_000)),
        some(eq(Millis(2_030)))
    );
}
