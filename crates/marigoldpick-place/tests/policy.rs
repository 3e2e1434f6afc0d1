//! Tests the placement rules: quotas, spread, gangs, displacement, sizes and bad workers.

mod support;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::Outcome;
use marigoldpick_place::{Action, Event};
use support::{Harness, Start, batch, job, name, worker, worker_id};

const NEEDS: &str = "needs = { millicores = 1000, memory_mib = 1000 }";

fn urgent(name: &str, how: &str) -> marigoldpick_core::intent::Job {
    job(
        name,
        "batch",
        &format!(
            "priority = \"urgent\"\nneeds = {{ millicores = 4000, memory_mib = 1000 }}\n\
             displace = {{ classes = [\"batch\"], how = \"{how}\", tasks = 4 }}"
        ),
    )
}

fn stops(harness: &mut Harness) -> usize {
    let is_stop = |a: &Action| matches!(a, Action::Stop { .. } | Action::Checkpoint { .. });
    harness.take_actions().into_iter().filter(is_stop).count()
}

fn fail(harness: &mut Harness, start: &Start) {
    harness.finish(start, Outcome::Failed);
}

#[googletest::test]
fn quota_delays_tasks_until_a_run_ends() {
    let mut harness = Harness::new(1, 8);
    harness.team("t", Amount::new(2_000, 10_000));
    harness.accept(batch("b", 5, 1));
    let starts = harness.run_starts();
    expect_that!(starts.len(), eq(2));
    harness.finish(&starts[0], Outcome::Done);
    expect_that!(harness.run_starts().len(), eq(1));
}

#[googletest::test]
fn allotment_replaces_quota() {
    let mut harness = Harness::new(1, 8);
    harness.team("t", Amount::new(8_000, 80_000));
    harness.handle(Event::Allotment {
        team: id::Team(name("t")),
        amount: Amount::new(1_000, 10_000),
    });
    harness.accept(batch("b", 5, 1));
    expect_that!(harness.run_starts().len(), eq(1));
}

#[googletest::test]
fn spread_over_racks_is_even() {
    let mut harness = Harness::new(16, 8);
    let rest = format!("count = 8\n{NEEDS}\nwhere = {{ spread = \"rack\" }}");
    harness.accept(job("s", "service", &rest));
    let mut racks = [0; 4];
    for start in harness.run_starts() {
        let n: usize = start.worker.as_str()[1..].parse().expect("a number");
        racks[n / 4] += 1;
    }
    expect_that!(racks, eq([2, 2, 2, 2]));
}

#[googletest::test]
fn spread_takes_no_more_than_half_into_one_rack() {
    let mut harness = Harness::new(8, 1);
    let filler = format!("count = 4\n{NEEDS}\nwhere = {{ racks = [\"r0\"] }}");
    harness.accept(job("filler", "batch", &filler));
    expect_that!(harness.run_starts().len(), eq(4));
    let rest = format!("count = 4\n{NEEDS}\nwhere = {{ spread = \"rack\" }}");
    harness.accept(job("s", "service", &rest));
    expect_that!(harness.run_starts().len(), eq(2));
}

#[googletest::test]
fn gang_starts_whole_or_waits() {
    let mut harness = Harness::new(2, 2);
    harness.accept(batch("b", 1, 1));
    let small = harness.run_starts().remove(0);
    harness.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    expect_that!(harness.starts().len(), eq(0));
    harness.finish(&small, Outcome::Done);
    expect_that!(harness.run_starts().len(), eq(4));
}

#[googletest::test]
fn gang_reservation_holds_against_later_small_tasks() {
    let mut harness = Harness::new(2, 2);
    harness.accept(batch("b", 1, 1));
    let small = harness.run_starts().remove(0);
    harness.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    harness.accept(batch("late", 3, 1));
    expect_that!(harness.starts().len(), eq(0));
    harness.finish(&small, Outcome::Done);
    let started = harness.run_starts();
    let gang = started.iter().all(|s| s.spec.run.task.job.as_str() == "g");
    expect_that!((started.len(), gang), eq((4, true)));
}

#[googletest::test]
fn gang_reservation_is_backfilled_by_short_tasks() {
    let mut harness = Harness::new(2, 2);
    harness.accept(job("b", "batch", &format!("run_ms = 600000\n{NEEDS}")));
    harness.run_starts();
    harness.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    harness.accept(job("short", "batch", &format!("run_ms = 10000\n{NEEDS}")));
    harness.accept(job("long", "batch", &format!("run_ms = 900000\n{NEEDS}")));
    let passed: Vec<String> = harness
        .run_starts()
        .iter()
        .map(|s| s.spec.run.task.job.to_string())
        .collect();
    expect_that!(passed, elements_are![eq("short")]);
}

/// Guards against a gang that keeps room for good because a run goes on far past its expected end (incident 0015).
#[googletest::test]
fn gang_reservation_ends_when_runs_are_long_overdue() {
    let mut harness = Harness::new(2, 2);
    harness.accept(job("b", "batch", &format!("run_ms = 10000\n{NEEDS}")));
    harness.run_starts();
    harness.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    harness.accept(job("late", "batch", &format!("run_ms = 60000\n{NEEDS}")));
    harness.accept(job("h", "gang", &format!("count = 3\n{NEEDS}")));
    expect_that!(harness.starts(), is_empty());
    let mut passed = Vec::new();
    for _ in 0..50 {
        harness.advance(Millis::from_secs(1));
        let starts = harness.run_starts();
        passed.extend(starts.iter().map(|s| s.spec.run.task.job.to_string()));
    }
    expect_that!(passed, not(is_empty()));
}

#[googletest::test]
fn two_gangs_both_start_in_turn() {
    let mut harness = Harness::new(2, 2);
    for gang in ["g", "h"] {
        harness.accept(job(gang, "gang", &format!("count = 3\n{NEEDS}")));
    }
    let first = harness.run_starts();
    expect_that!(first.len(), eq(3));
    first.iter().for_each(|s| harness.finish(s, Outcome::Done));
    expect_that!(harness.run_starts().len(), eq(3));
}

#[googletest::test]
fn gang_restarts_whole_after_a_lost_worker() {
    let mut harness = Harness::new(3, 2);
    harness.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    let starts = harness.run_starts();
    let lost = starts[0].worker.clone();
    harness.handle(Event::WorkerGone {
        worker: lost.clone(),
    });
    expect_that!(harness.starts().len(), eq(0));
    let left: Vec<&Start> = starts.iter().filter(|s| s.worker != lost).collect();
    expect_that!(stops(&mut harness), eq(left.len()));
    left.iter()
        .for_each(|s| harness.finish(s, Outcome::Stopped));
    harness.advance(Millis::from_secs(1));
    expect_that!(harness.run_starts().len(), eq(4));
}

#[googletest::test]
fn gang_member_refused_stops_the_others() {
    let mut harness = Harness::new(2, 2);
    harness.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    let starts = harness.starts();
    harness.handle(Event::Refused {
        run: starts[0].spec.run.clone(),
        worker: starts[0].worker.clone(),
        refusal: None,
    });
    expect_that!(stops(&mut harness), eq(3));
}

#[googletest::test]
fn urgent_displaces_what_both_intents_permit() {
    let mut harness = Harness::new(1, 4);
    harness.accept(job(
        "b",
        "batch",
        &format!("count = 4\nyield = \"checkpoint\"\n{NEEDS}"),
    ));
    let starts = harness.run_starts();
    harness.advance(Millis::from_secs(60));
    harness.accept(urgent("u", "checkpoint"));
    expect_that!(harness.starts().len(), eq(0));
    let actions = harness.take_actions();
    let checkpoints = actions
        .iter()
        .filter(|a| matches!(a, Action::Checkpoint { .. }));
    expect_that!(checkpoints.count(), eq(4));
    for start in &starts {
        harness.finish(start, Outcome::Checkpointed("at-7".to_owned()));
    }
    let urgent = harness.run_starts();
    expect_that!(urgent.len(), eq(1));
    harness.finish(&urgent[0], Outcome::Done);
    let again = harness.run_starts();
    expect_that!(again.len(), eq(4));
    expect_that!(again[0].spec.checkpoint, some(eq("at-7")));
}

#[googletest::test]
fn urgent_displaces_no_job_that_never_yields() {
    let mut harness = Harness::new(1, 4);
    harness.accept(batch("b", 4, 1));
    harness.run_starts();
    harness.accept(urgent("u", "stop"));
    expect_that!(stops(&mut harness), eq(0));
}

#[googletest::test]
fn throttle_frees_processors_once_it_is_in_force() {
    let mut harness = Harness::new(1, 8);
    let wide = "yield = \"throttle\"\nneeds = { millicores = 8000, memory_mib = 1000 }";
    harness.accept(job("b", "batch", wide));
    harness.run_starts();
    harness.accept(urgent("u", "throttle"));
    expect_that!(harness.starts().len(), eq(0));
    let Some(Action::Throttle {
        run, millicores, ..
    }) = harness.take_actions().pop()
    else {
        panic!("a throttle was to be asked for");
    };
    harness.handle(Event::Throttled { run, millicores });
    expect_that!(harness.starts().len(), eq(1));
}

#[googletest::test]
fn black_hole_worker_is_quarantined() {
    let mut harness = Harness::new(20, 4);
    harness.accept(batch("b", 1_000, 1));
    let mut taken = 0;
    for _ in 0..200 {
        for start in harness.run_starts() {
            if start.worker == worker_id(0) {
                taken += 1;
                fail(&mut harness, &start);
            } else {
                harness.finish(&start, Outcome::Done);
            }
        }
        harness.advance(Millis(100));
    }
    expect_that!(taken, le(10));
}

/// Ends a run with a failure after it used all of its memory.
fn fail_with_full_memory(harness: &mut Harness, start: &Start) {
    harness.handle(Event::Finished {
        run: start.spec.run.clone(),
        worker: start.worker.clone(),
        outcome: Outcome::Failed,
        age: Millis(50),
        usage: Some(start.spec.needs.clone()),
    });
}

#[googletest::test]
fn black_hole_worker_reporting_full_memory_is_quarantined() {
    let mut harness = Harness::new(20, 4);
    harness.accept(batch("b", 1_000, 1));
    let (mut taken, mut largest) = (0, 0);
    for _ in 0..200 {
        for start in harness.run_starts() {
            largest = largest.max(start.spec.needs.memory_mib);
            if start.worker == worker_id(0) {
                taken += 1;
                fail_with_full_memory(&mut harness, &start);
            } else {
                harness.finish(&start, Outcome::Done);
            }
        }
        harness.advance(Millis(100));
    }
    expect_that!(taken, le(10));
    // The worker's reports must not raise the estimate; a task doubles its request at most once.
    expect_that!(largest, le(2_000));
}

#[googletest::test]
fn shortage_on_all_workers_quarantines_none() {
    let mut harness = Harness::new(8, 4);
    for job in ["a", "b", "c", "d"] {
        harness.accept(batch(job, 100, 1));
    }
    let enough = |start: &Start| start.spec.needs.memory_mib >= 3_000;
    for _ in 0..600 {
        for start in harness.run_starts() {
            if enough(&start) {
                harness.finish(&start, Outcome::Done);
            } else {
                fail_with_full_memory(&mut harness, &start);
            }
        }
        harness.advance(Millis::from_secs(1));
    }
    let quarantined =
        |a: &Action| matches!(a, Action::Event { what, .. } if *what == "worker-quarantined");
    let actions = harness.take_actions();
    expect_that!(actions.iter().filter(|a| quarantined(a)).count(), eq(0));
    for job in ["a", "b", "c", "d"] {
        let ended = Action::JobEnded {
            job: id::Job(name(job)),
            completed: 100,
            failed: 0,
        };
        expect_that!(actions, contains(eq(&ended)));
    }
}

#[googletest::test]
fn failing_job_quarantines_no_worker_and_ends() {
    let mut harness = Harness::new(8, 4);
    harness.accept(batch("good", 8, 1));
    harness.run_starts();
    harness.accept(batch("bad", 50, 1));
    for _ in 0..2_000 {
        let starts = harness.run_starts();
        starts.iter().for_each(|start| fail(&mut harness, start));
        harness.advance(Millis::from_secs(1));
    }
    let actions = harness.take_actions();
    let quarantined = |a: &&Action| {
        matches!(
            a,
            Action::Event {
                what: "worker-quarantined",
                ..
            }
        )
    };
    expect_that!(actions.iter().filter(quarantined).count(), eq(0));
    let ended = Action::JobEnded {
        job: id::Job(name("bad")),
        completed: 0,
        failed: 50,
    };
    expect_that!(actions, contains(eq(&ended)));
}

#[googletest::test]
fn quarantine_ends_in_probation_one_task_at_a_time() {
    let mut harness = Harness::new(2, 4);
    for n in 0..4 {
        harness.accept(batch(&format!("kind{}", ["a", "b", "c", "d"][n]), 1, 4));
        for start in harness.run_starts() {
            if start.worker == worker_id(0) {
                fail(&mut harness, &start);
            }
        }
    }
    harness.accept(batch("after", 40, 1));
    harness.advance(Millis::from_secs(120));
    harness.advance(Millis::from_secs(120));
    let on_probation = harness
        .run_starts()
        .iter()
        .filter(|s| s.worker == worker_id(0))
        .count();
    expect_that!(on_probation, le(1));
}

#[googletest::test]
fn sizes_are_learnt_from_ended_runs() {
    let mut harness = Harness::new(1, 8);
    harness.accept(batch("b", 600, 4));
    for _ in 0..30 {
        for start in harness.run_starts() {
            harness.handle(Event::Finished {
                run: start.spec.run.clone(),
                worker: start.worker.clone(),
                outcome: Outcome::Done,
                age: Millis(500),
                usage: Some(Amount::new(1_000, 250)),
            });
        }
    }
    let request = harness.run_starts().pop().map(|s| s.spec.needs);
    // The memory request has a margin; the processor request has none beyond the histogram's
    // resolution.
    expect_that!(request.as_ref().map(|a| a.millicores), some(le(1_010)));
    expect_that!(request.map(|a| a.memory_mib), some(all!(ge(260), le(270))));
}

#[googletest::test]
fn out_of_memory_starts_again_with_more() {
    let mut harness = Harness::new(1, 8);
    harness.accept(batch("b", 1, 1));
    let start = harness.run_starts().remove(0);
    harness.handle(Event::Finished {
        run: start.spec.run.clone(),
        worker: start.worker.clone(),
        outcome: Outcome::Failed,
        age: Millis(500),
        usage: Some(Amount::new(500, 1_000)),
    });
    harness.advance(Millis::from_secs(5));
    let again = harness.run_starts().remove(0);
    expect_that!(again.spec.needs.memory_mib, eq(2_000));
}

#[googletest::test]
fn excess_memory_on_full_worker_stops_the_run() {
    let mut harness = Harness::new(1, 2);
    let whole = "needs = { millicores = 1000, memory_mib = 4000 }";
    harness.accept(job("a", "batch", whole));
    harness.accept(job("b", "batch", whole));
    let excessive = harness.run_starts().remove(0);
    harness.handle(Event::Usage {
        run: excessive.spec.run.clone(),
        amount: Amount::new(1_000, 6_000),
    });
    let stopped = harness
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            Action::Stop { run, .. } => Some(run),
            _ => None,
        });
    expect_that!(stopped, some(eq(&excessive.spec.run)));
}

#[googletest::test]
fn survey_names_the_unmet_need() {
    let mut harness = Harness::new(0, 1);
    let size = Amount::new(8_000, 8_000).with(name("gpu"), 2);
    harness.handle(Event::WorkerUp {
        worker: worker(0, size),
        running: Vec::new(),
    });
    let mut wanted = batch("b", 1, 1);
    wanted.needs = wanted.needs.with(name("gpu"), 4);
    let offer = harness.scheduler.survey(&[wanted], harness.now).remove(0);
    let reason = "needs 4 gpu on one worker; the largest has 2";
    expect_that!(offer.never, some(eq(reason)));
}

#[googletest::test]
fn explain_names_the_exhausted_quota() {
    let mut harness = Harness::new(1, 8);
    harness.team("t", Amount::new(1_000, 1_000));
    harness.accept(batch("b", 2, 1));
    let task = id::Task::new(id::Job(name("b")), 1);
    let explain = harness.scheduler.explain(&task, harness.now);
    expect_that!(explain.state, eq("waiting"));
    expect_that!(
        explain.reasons,
        contains(contains_substring("team t holds"))
    );
}

#[googletest::test]
fn restarts_after_a_lost_rack_are_spread_urgent_first() {
    let mut harness = Harness::new(8, 100);
    harness.accept(batch("b", 300, 1));
    harness.accept(job(
        "u",
        "batch",
        &format!("count = 4\npriority = \"urgent\"\n{NEEDS}"),
    ));
    let starts = harness.run_starts();
    let rack: Vec<id::Worker> = (0..4).map(worker_id).collect();
    let lost = starts.iter().filter(|s| rack.contains(&s.worker)).count();
    rack.into_iter()
        .for_each(|worker| harness.handle(Event::WorkerGone { worker }));
    let at_once = harness.run_starts();
    let urgent = at_once.iter().all(|s| s.spec.run.task.job.as_str() == "u");
    expect_that!(urgent, eq(true));
    harness.advance(Millis(100));
    let first = harness.run_starts().len();
    expect_that!(first, lt(lost));
    for _ in 0..100 {
        harness.advance(Millis(100));
        harness.run_starts();
    }
    expect_that!(harness.scheduler.counts().waiting, eq(0));
}

#[googletest::test]
fn near_deadline_goes_before_older_work() {
    let mut harness = Harness::new(1, 1);
    harness.accept(batch("first", 1, 1));
    let first = harness.run_starts().remove(0);
    harness.accept(batch("older", 1, 1));
    let near_deadline = format!("run_ms = 60000\ndeadline_ms = 100000\n{NEEDS}");
    harness.accept(job("pressed", "batch", &near_deadline));
    harness.finish(&first, Outcome::Done);
    expect_that!(
        harness.run_starts()[0].spec.run.task.job.as_str(),
        eq("pressed")
    );
}

#[googletest::test]
fn leaving_worker_takes_no_new_tasks_until_it_is_live_again() {
    let mut harness = Harness::new(0, 1);
    for state in [vm::State::Leaving, vm::State::Live] {
        let mut worker = worker(0, Amount::new(4_000, 16_000));
        worker.state = state;
        harness.handle(Event::WorkerUp {
            worker,
            running: Vec::new(),
        });
        harness.accept(batch(&format!("b-{state:?}"), 1, 1));
        let started = if state == vm::State::Live { 2 } else { 0 };
        expect_that!(harness.run_starts().len(), eq(started));
    }
}

/// Lets the one instance of a service fail repeatedly, each time after running for `span`.
fn failing_service(span: Millis, times: u32) -> Vec<Action> {
    let mut harness = Harness::new(4, 4);
    let needs = "needs = { millicores = 1000, memory_mib = 1000 }\nattempts = 3";
    harness.accept(job("s", "service", needs));
    for _ in 0..times {
        let starts = harness.run_starts();
        harness.advance(span);
        starts.iter().for_each(|start| fail(&mut harness, start));
        harness.advance(Millis::from_secs(120));
    }
    harness.run_starts();
    harness.take_actions()
}

#[googletest::test]
fn service_failures_far_apart_give_up_nothing() {
    let actions = failing_service(Millis::from_secs(3_600), 20);
    let given_up = |a: &&Action| matches!(a, Action::GiveUp { .. });
    expect_that!(actions.iter().filter(given_up).count(), eq(0));
}

#[googletest::test]
fn service_failures_in_a_row_end_with_its_attempts() {
    let actions = failing_service(Millis::from_secs(60), 20);
    let given_up = |a: &&Action| matches!(a, Action::GiveUp { .. });
    expect_that!(actions.iter().filter(given_up).count(), eq(1));
}
