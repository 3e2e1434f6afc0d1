//! Tests that no task is lost or runs twice when the lead changes or workers go silent or are lost.

mod support;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Outcome;
use marigoldpick_place::event::Span;
use marigoldpick_place::{Action, Event};
use support::{Harness, batch, job, running, worker_id};

fn attempts(starts: &[support::Start]) -> Vec<(u32, u32)> {
    let run = |start: &support::Start| (start.spec.run.task.index, start.spec.run.attempt);
    starts.iter().map(run).collect()
}

#[googletest::test]
fn accept_starts_tasks_within_size() {
    let mut harness = Harness::new(1, 4);
    harness.accept(batch("b", 6, 1));
    expect_that!(harness.run_starts().len(), eq(4));
    expect_that!(harness.scheduler.counts().waiting, eq(2));
}

#[googletest::test]
fn finished_done_frees_room_and_ends_job() {
    let mut harness = Harness::new(1, 1);
    harness.accept(batch("b", 2, 1));
    for _ in 0..2 {
        let start = harness.run_starts().remove(0);
        harness.finish(&start, Outcome::Done);
    }
    let ended = Action::JobEnded {
        job: id::Job(support::name("b")),
        completed: 2,
        failed: 0,
    };
    expect_that!(harness.take_actions(), contains(eq(&ended)));
}

#[googletest::test]
fn worker_silent_starts_nothing_elsewhere() {
    let mut harness = Harness::new(2, 1);
    harness.accept(batch("b", 1, 1));
    let start = harness.run_starts().remove(0);
    harness.handle(Event::WorkerSilent {
        worker: start.worker,
    });
    harness.advance(Millis::from_secs(3_600));
    expect_that!(harness.starts().len(), eq(0));
}

#[googletest::test]
fn worker_gone_restarts_with_next_attempt() {
    let mut harness = Harness::new(2, 1);
    harness.accept(batch("b", 1, 1));
    let start = harness.run_starts().remove(0);
    harness.handle(Event::WorkerGone {
        worker: start.worker.clone(),
    });
    harness.advance(Millis::from_secs(10));
    let again = harness.run_starts();
    expect_that!(attempts(&again), elements_are![eq(&(0, 2))]);
    expect_that!(again[0].worker, not(eq(&start.worker)));
}

#[googletest::test]
fn worker_gone_gives_up_non_idempotent() {
    let mut harness = Harness::new(2, 1);
    harness.accept(job(
        "once",
        "batch",
        "idempotent = false\nneeds = { millicores = 1, memory_mib = 1 }",
    ));
    let start = harness.run_starts().remove(0);
    harness.handle(Event::WorkerGone {
        worker: start.worker,
    });
    harness.advance(Millis::from_secs(10));
    expect_that!(harness.starts().len(), eq(0));
    let code = Code::TaskMaybeStarted;
    let task = start.spec.run.task;
    expect_that!(
        harness.take_actions(),
        contains(eq(&Action::GiveUp { task, code }))
    );
}

#[googletest::test]
fn take_over_waits_for_unheard_workers_and_adopts_runs() {
    let mut before = Harness::new(2, 1);
    before.accept(batch("b", 2, 1));
    let starts = before.run_starts();

    let mut harness = Harness::new(0, 1);
    harness.handle(Event::Leading {
        unheard: vec![worker_id(0), worker_id(1)],
    });
    harness.handle(Event::Job {
        job: Box::new(batch("b", 2, 1)),
        span: Span { from: 0, to: 2 },
        displaced: Vec::new(),
        done: Vec::new(),
        failed: Vec::new(),
        fresh: false,
    });
    let first = starts
        .iter()
        .find(|s| s.worker == worker_id(0))
        .expect("a start");
    harness.bring_up(0, 8, vec![running(first, Millis(5))]);
    harness.advance(Millis::from_secs(60));
    expect_that!(harness.starts().len(), eq(0));
    harness.handle(Event::WorkerGone {
        worker: worker_id(1),
    });
    let again = harness.starts();
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].spec.run.task, not(eq(&first.spec.run.task)));
}

#[googletest::test]
fn worker_up_without_a_run_restarts_it_after_timeout() {
    let mut harness = Harness::new(1, 1);
    harness.accept(batch("b", 1, 1));
    harness.run_starts();
    harness.bring_up(0, 1, Vec::new());
    expect_that!(harness.starts().len(), eq(0));
    harness.advance(Millis::from_secs(11));
    harness.advance(Millis::from_secs(11));
    expect_that!(attempts(&harness.starts()), elements_are![eq(&(0, 2))]);
}

#[googletest::test]
fn cancel_stops_running_and_drops_waiting() {
    let mut harness = Harness::new(1, 1);
    harness.accept(batch("b", 500, 1));
    let start = harness.run_starts().remove(0);
    harness.handle(Event::Cancel {
        jobs: vec![id::Job(support::name("b"))],
    });
    expect_that!(harness.scheduler.counts().waiting, eq(0));
    expect_that!(
        harness.take_actions(),
        contains(matches_pattern!(Action::Stop { .. }))
    );
    harness.finish(&start, Outcome::Stopped);
    expect_that!(
        harness.take_actions(),
        contains(matches_pattern!(Action::JobEnded { .. }))
    );
    expect_that!(harness.scheduler.counts().jobs.len(), eq(0));
}

#[googletest::test]
fn finished_done_restarts_service() {
    let mut harness = Harness::new(1, 1);
    harness.accept(job(
        "s",
        "service",
        "needs = { millicores = 1, memory_mib = 1 }",
    ));
    let start = harness.run_starts().remove(0);
    harness.finish(&start, Outcome::Done);
    harness.advance(Millis::from_secs(10));
    expect_that!(attempts(&harness.run_starts()), elements_are![eq(&(0, 2))]);
    expect_that!(harness.scheduler.counts().jobs[0].completed, eq(0));
}

#[googletest::test]
fn finished_unknown_run_with_checkpoint_is_resumed() {
    let mut harness = Harness::new(1, 1);
    harness.accept(batch("b", 2, 1));
    let first = harness.run_starts().remove(0);
    let index = 1 - first.spec.run.task.index;
    for (attempt, text) in [(3, "at-7"), (2, "at-3")] {
        let task = id::Task::new(first.spec.run.task.job.clone(), index);
        harness.handle(Event::Finished {
            run: id::Run { task, attempt },
            worker: first.worker.clone(),
            outcome: Outcome::Checkpointed(text.to_owned()),
            age: Millis(9_000),
            usage: None,
        });
    }
    harness.finish(&first, Outcome::Done);
    let next = harness.run_starts().remove(0);
    expect_that!(attempts(std::slice::from_ref(&next)), eq(&vec![(index, 4)]));
    expect_that!(next.spec.checkpoint, some(eq("at-7")));
}

/// Guards against giving up a task that completed while the lead changed.
///
/// The new lead knows from the log that the task was started, but not yet on which worker.
#[googletest::test]
fn take_over_keeps_started_task_until_its_end_is_reported() {
    let once = job(
        "once",
        "batch",
        "idempotent = false\nneeds = { millicores = 1, memory_mib = 1 }",
    );
    let mut before = Harness::new(1, 1);
    before.accept(once.clone());
    let start = before.run_starts().remove(0);

    let mut harness = Harness::new(0, 1);
    harness.handle(Event::Leading {
        unheard: vec![worker_id(0)],
    });
    harness.handle(Event::Job {
        job: Box::new(once),
        span: Span { from: 0, to: 1 },
        displaced: Vec::new(),
        done: Vec::new(),
        failed: Vec::new(),
        fresh: false,
    });
    harness.advance(Millis::from_secs(1));
    expect_that!(harness.take_actions(), is_empty());
    // The worker completed the task, and its end is stored.
    harness.handle(Event::Finished {
        run: start.spec.run.clone(),
        worker: start.worker.clone(),
        outcome: Outcome::Done,
        age: Millis::ZERO,
        usage: None,
    });
    harness.bring_up(0, 8, Vec::new());
    harness.advance(Millis::from_secs(60));
    let gives_up = |action: &Action| matches!(action, Action::GiveUp { .. });
    expect_false!(harness.take_actions().iter().any(gives_up));
    expect_that!(harness.starts(), is_empty());
}
