//! Tasks and workers over take-over, silence, loss and drain: never in two places, never lost.

mod support;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Outcome;
use marigoldpick_place::event::Span;
use marigoldpick_place::{Action, Event};
use support::{Site, batch, job, running, worker_id};

fn attempts(starts: &[support::Start]) -> Vec<(u32, u32)> {
    let run = |start: &support::Start| (start.spec.run.task.index, start.spec.run.attempt);
    starts.iter().map(run).collect()
}

#[googletest::test]
fn accept_starts_tasks_within_size() {
    let mut site = Site::new(1, 4);
    site.accept(batch("b", 6, 1));
    expect_that!(site.run_starts().len(), eq(4));
    expect_that!(site.scheduler.counts().waiting, eq(2));
}

#[googletest::test]
fn finished_done_makes_room_and_ends_job() {
    let mut site = Site::new(1, 1);
    site.accept(batch("b", 2, 1));
    for _ in 0..2 {
        let start = site.run_starts().remove(0);
        site.finish(&start, Outcome::Done);
    }
    let ended = Action::JobEnded {
        job: id::Job(support::name("b")),
        completed: 2,
        failed: 0,
    };
    expect_that!(site.take(), contains(eq(&ended)));
}

#[googletest::test]
fn worker_silent_starts_nothing_elsewhere() {
    let mut site = Site::new(2, 1);
    site.accept(batch("b", 1, 1));
    let start = site.run_starts().remove(0);
    site.handle(Event::WorkerSilent {
        worker: start.worker,
    });
    site.pass(Millis::from_secs(3_600));
    expect_that!(site.starts().len(), eq(0));
}

#[googletest::test]
fn worker_gone_restarts_with_next_attempt() {
    let mut site = Site::new(2, 1);
    site.accept(batch("b", 1, 1));
    let start = site.run_starts().remove(0);
    site.handle(Event::WorkerGone {
        worker: start.worker.clone(),
    });
    site.pass(Millis::from_secs(10));
    let again = site.run_starts();
    expect_that!(attempts(&again), elements_are![eq(&(0, 2))]);
    expect_that!(again[0].worker, not(eq(&start.worker)));
}

#[googletest::test]
fn worker_gone_gives_up_non_idempotent() {
    let mut site = Site::new(2, 1);
    site.accept(job(
        "once",
        "batch",
        "idempotent = false\nneeds = { millicores = 1, memory_mib = 1 }",
    ));
    let start = site.run_starts().remove(0);
    site.handle(Event::WorkerGone {
        worker: start.worker,
    });
    site.pass(Millis::from_secs(10));
    expect_that!(site.starts().len(), eq(0));
    let code = Code::TaskMaybeStarted;
    let task = start.spec.run.task;
    expect_that!(site.take(), contains(eq(&Action::GiveUp { task, code })));
}

#[googletest::test]
fn take_over_waits_for_unheard_workers_and_adopts() {
    let mut before = Site::new(2, 1);
    before.accept(batch("b", 2, 1));
    let starts = before.run_starts();

    let mut site = Site::new(0, 1);
    site.handle(Event::Leading {
        unheard: vec![worker_id(0), worker_id(1)],
    });
    site.handle(Event::Job {
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
    site.up(0, 8, vec![running(first, Millis(5))]);
    site.pass(Millis::from_secs(60));
    expect_that!(site.starts().len(), eq(0));
    site.handle(Event::WorkerGone {
        worker: worker_id(1),
    });
    let again = site.starts();
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].spec.run.task, not(eq(&first.spec.run.task)));
}

#[googletest::test]
fn worker_up_without_a_run_restarts_it_after_settling() {
    let mut site = Site::new(1, 1);
    site.accept(batch("b", 1, 1));
    site.run_starts();
    site.up(0, 1, Vec::new());
    expect_that!(site.starts().len(), eq(0));
    site.pass(Millis::from_secs(11));
    site.pass(Millis::from_secs(11));
    expect_that!(attempts(&site.starts()), elements_are![eq(&(0, 2))]);
}

#[googletest::test]
fn cancel_stops_running_and_drops_waiting() {
    let mut site = Site::new(1, 1);
    site.accept(batch("b", 500, 1));
    let start = site.run_starts().remove(0);
    site.handle(Event::Cancel {
        jobs: vec![id::Job(support::name("b"))],
    });
    expect_that!(site.scheduler.counts().waiting, eq(0));
    expect_that!(site.take(), contains(matches_pattern!(Action::Stop { .. })));
    site.finish(&start, Outcome::Stopped);
    expect_that!(
        site.take(),
        contains(matches_pattern!(Action::JobEnded { .. }))
    );
    expect_that!(site.scheduler.counts().jobs.len(), eq(0));
}

#[googletest::test]
fn finished_done_starts_a_service_again() {
    let mut site = Site::new(1, 1);
    site.accept(job(
        "s",
        "service",
        "needs = { millicores = 1, memory_mib = 1 }",
    ));
    let start = site.run_starts().remove(0);
    site.finish(&start, Outcome::Done);
    site.pass(Millis::from_secs(10));
    expect_that!(attempts(&site.run_starts()), elements_are![eq(&(0, 2))]);
    expect_that!(site.scheduler.counts().jobs[0].completed, eq(0));
}

#[googletest::test]
fn finished_before_with_a_checkpoint_is_gone_on_from() {
    let mut site = Site::new(1, 1);
    site.accept(batch("b", 2, 1));
    let first = site.run_starts().remove(0);
    let index = 1 - first.spec.run.task.index;
    for (attempt, text) in [(3, "at-7"), (2, "at-3")] {
        let task = id::Task::new(first.spec.run.task.job.clone(), index);
        site.handle(Event::Finished {
            run: id::Run { task, attempt },
            worker: first.worker.clone(),
            outcome: Outcome::Checkpointed(text.to_owned()),
            age: Millis(9_000),
            usage: None,
        });
    }
    site.finish(&first, Outcome::Done);
    let next = site.run_starts().remove(0);
    expect_that!(attempts(std::slice::from_ref(&next)), eq(&vec![(index, 4)]));
    expect_that!(next.spec.checkpoint, some(eq("at-7")));
}

/// A lead that has just taken over knows from the log that a task was started, and not yet where.
#[googletest::test]
fn take_over_gives_no_started_task_up_before_the_lead_says_so() {
    let once = job(
        "once",
        "batch",
        "idempotent = false\nneeds = { millicores = 1, memory_mib = 1 }",
    );
    let mut before = Site::new(1, 1);
    before.accept(once.clone());
    let start = before.run_starts().remove(0);

    let mut site = Site::new(0, 1);
    site.handle(Event::Leading {
        unheard: vec![worker_id(0)],
    });
    site.handle(Event::Job {
        job: Box::new(once),
        span: Span { from: 0, to: 1 },
        displaced: Vec::new(),
        done: Vec::new(),
        failed: Vec::new(),
        fresh: false,
    });
    site.pass(Millis::from_secs(1));
    expect_that!(site.take(), is_empty());
    // The worker had it done, and the end is stored by now.
    site.handle(Event::Finished {
        run: start.spec.run.clone(),
        worker: start.worker.clone(),
        outcome: Outcome::Done,
        age: Millis::ZERO,
        usage: None,
    });
    site.up(0, 8, Vec::new());
    site.pass(Millis::from_secs(60));
    let gives_up = |action: &Action| matches!(action, Action::GiveUp { .. });
    expect_false!(site.take().iter().any(gives_up));
    expect_that!(site.starts(), is_empty());
}
