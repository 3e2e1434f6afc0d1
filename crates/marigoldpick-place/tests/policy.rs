//! The policy case by case: quotas, spread, gangs, displacement, sizes and bad workers.

mod support;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::Outcome;
use marigoldpick_place::{Action, Event};
use support::{Site, Start, batch, job, name, worker, worker_id};

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

fn stops(site: &mut Site) -> usize {
    let is_stop = |a: &Action| matches!(a, Action::Stop { .. } | Action::Checkpoint { .. });
    site.take().into_iter().filter(is_stop).count()
}

fn fail(site: &mut Site, start: &Start) {
    site.finish(start, Outcome::Failed);
}

#[googletest::test]
fn quota_holds_back_until_a_run_ends() {
    let mut site = Site::new(1, 8);
    site.team("t", Amount::new(2_000, 10_000));
    site.accept(batch("b", 5, 1));
    let starts = site.run_starts();
    expect_that!(starts.len(), eq(2));
    site.finish(&starts[0], Outcome::Done);
    expect_that!(site.run_starts().len(), eq(1));
}

#[googletest::test]
fn allotment_replaces_quota() {
    let mut site = Site::new(1, 8);
    site.team("t", Amount::new(8_000, 80_000));
    site.handle(Event::Allotment {
        team: id::Team(name("t")),
        amount: Amount::new(1_000, 10_000),
    });
    site.accept(batch("b", 5, 1));
    expect_that!(site.run_starts().len(), eq(1));
}

#[googletest::test]
fn spread_over_racks_survives_a_rack() {
    let mut site = Site::new(16, 8);
    let rest = format!("count = 8\n{NEEDS}\nwhere = {{ spread = \"rack\" }}");
    site.accept(job("s", "service", &rest));
    let mut racks = [0; 4];
    for start in site.run_starts() {
        let n: usize = start.worker.as_str()[1..].parse().expect("a number");
        racks[n / 4] += 1;
    }
    expect_that!(racks, eq([2, 2, 2, 2]));
}

#[googletest::test]
fn spread_takes_no_more_than_half_into_one_rack() {
    let mut site = Site::new(8, 1);
    let filler = format!("count = 4\n{NEEDS}\nwhere = {{ racks = [\"r0\"] }}");
    site.accept(job("filler", "batch", &filler));
    expect_that!(site.run_starts().len(), eq(4));
    let rest = format!("count = 4\n{NEEDS}\nwhere = {{ spread = \"rack\" }}");
    site.accept(job("s", "service", &rest));
    expect_that!(site.run_starts().len(), eq(2));
}

#[googletest::test]
fn gang_starts_whole_or_waits() {
    let mut site = Site::new(2, 2);
    site.accept(batch("b", 1, 1));
    let small = site.run_starts().remove(0);
    site.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    expect_that!(site.starts().len(), eq(0));
    site.finish(&small, Outcome::Done);
    expect_that!(site.run_starts().len(), eq(4));
}

#[googletest::test]
fn gang_reservation_holds_against_later_small_tasks() {
    let mut site = Site::new(2, 2);
    site.accept(batch("b", 1, 1));
    let small = site.run_starts().remove(0);
    site.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    site.accept(batch("late", 3, 1));
    expect_that!(site.starts().len(), eq(0));
    site.finish(&small, Outcome::Done);
    let started = site.run_starts();
    let gang = started.iter().all(|s| s.spec.run.task.job.as_str() == "g");
    expect_that!((started.len(), gang), eq((4, true)));
}

#[googletest::test]
fn gang_lets_short_tasks_pass_before_its_time() {
    let mut site = Site::new(2, 2);
    site.accept(job("b", "batch", &format!("run_ms = 600000\n{NEEDS}")));
    site.run_starts();
    site.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    site.accept(job("short", "batch", &format!("run_ms = 10000\n{NEEDS}")));
    site.accept(job("long", "batch", &format!("run_ms = 900000\n{NEEDS}")));
    let passed: Vec<String> = site
        .run_starts()
        .iter()
        .map(|s| s.spec.run.task.job.to_string())
        .collect();
    expect_that!(passed, elements_are![eq("short")]);
}

#[googletest::test]
fn two_gangs_both_start_in_turn() {
    let mut site = Site::new(2, 2);
    for gang in ["g", "h"] {
        site.accept(job(gang, "gang", &format!("count = 3\n{NEEDS}")));
    }
    let first = site.run_starts();
    expect_that!(first.len(), eq(3));
    first.iter().for_each(|s| site.finish(s, Outcome::Done));
    expect_that!(site.run_starts().len(), eq(3));
}

#[googletest::test]
fn gang_restarts_whole_after_a_lost_worker() {
    let mut site = Site::new(3, 2);
    site.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    let starts = site.run_starts();
    let lost = starts[0].worker.clone();
    site.handle(Event::WorkerGone {
        worker: lost.clone(),
    });
    expect_that!(site.starts().len(), eq(0));
    let left: Vec<&Start> = starts.iter().filter(|s| s.worker != lost).collect();
    expect_that!(stops(&mut site), eq(left.len()));
    left.iter().for_each(|s| site.finish(s, Outcome::Stopped));
    site.pass(Millis::from_secs(1));
    expect_that!(site.run_starts().len(), eq(4));
}

#[googletest::test]
fn gang_member_refused_stops_the_others() {
    let mut site = Site::new(2, 2);
    site.accept(job("g", "gang", &format!("count = 4\n{NEEDS}")));
    let starts = site.starts();
    site.handle(Event::Refused {
        run: starts[0].spec.run.clone(),
        worker: starts[0].worker.clone(),
        refusal: None,
    });
    expect_that!(stops(&mut site), eq(3));
}

#[googletest::test]
fn urgent_displaces_what_both_intents_permit() {
    let mut site = Site::new(1, 4);
    site.accept(job(
        "b",
        "batch",
        &format!("count = 4\nyield = \"checkpoint\"\n{NEEDS}"),
    ));
    let starts = site.run_starts();
    site.pass(Millis::from_secs(60));
    site.accept(urgent("u", "checkpoint"));
    expect_that!(site.starts().len(), eq(0));
    let given_way = site.take();
    let checkpoints = given_way
        .iter()
        .filter(|a| matches!(a, Action::Checkpoint { .. }));
    expect_that!(checkpoints.count(), eq(4));
    for start in &starts {
        site.finish(start, Outcome::Checkpointed("at-7".to_owned()));
    }
    let urgent = site.run_starts();
    expect_that!(urgent.len(), eq(1));
    site.finish(&urgent[0], Outcome::Done);
    let again = site.run_starts();
    expect_that!(again.len(), eq(4));
    expect_that!(again[0].spec.checkpoint, some(eq("at-7")));
}

#[googletest::test]
fn urgent_displaces_nothing_that_never_yields() {
    let mut site = Site::new(1, 4);
    site.accept(batch("b", 4, 1));
    site.run_starts();
    site.accept(urgent("u", "stop"));
    expect_that!(stops(&mut site), eq(0));
}

#[googletest::test]
fn throttle_frees_processors_once_it_is_in_force() {
    let mut site = Site::new(1, 8);
    let wide = "yield = \"throttle\"\nneeds = { millicores = 8000, memory_mib = 1000 }";
    site.accept(job("b", "batch", wide));
    site.run_starts();
    site.accept(urgent("u", "throttle"));
    expect_that!(site.starts().len(), eq(0));
    let Some(Action::Throttle {
        run, millicores, ..
    }) = site.take().pop()
    else {
        panic!("a throttle was to be asked for");
    };
    site.handle(Event::Throttled { run, millicores });
    expect_that!(site.starts().len(), eq(1));
}

#[googletest::test]
fn black_hole_takes_a_handful_and_is_shut_out() {
    let mut site = Site::new(20, 4);
    site.accept(batch("b", 1_000, 1));
    let mut taken = 0;
    for _ in 0..200 {
        for start in site.run_starts() {
            if start.worker == worker_id(0) {
                taken += 1;
                fail(&mut site, &start);
            } else {
                site.finish(&start, Outcome::Done);
            }
        }
        site.pass(Millis(100));
    }
    expect_that!(taken, le(10));
}

/// Ends a run as one that used all of its memory and failed for it.
fn fail_full(site: &mut Site, start: &Start) {
    site.handle(Event::Finished {
        run: start.spec.run.clone(),
        worker: start.worker.clone(),
        outcome: Outcome::Failed,
        age: Millis(50),
        usage: Some(start.spec.needs.clone()),
    });
}

#[googletest::test]
fn black_hole_that_reports_full_memory_is_shut_out() {
    let mut site = Site::new(20, 4);
    site.accept(batch("b", 1_000, 1));
    let (mut taken, mut largest) = (0, 0);
    for _ in 0..200 {
        for start in site.run_starts() {
            largest = largest.max(start.spec.needs.memory_mib);
            if start.worker == worker_id(0) {
                taken += 1;
                fail_full(&mut site, &start);
            } else {
                site.finish(&start, Outcome::Done);
            }
        }
        site.pass(Millis(100));
    }
    expect_that!(taken, le(10));
    // Its reports teach no size: no task asks for more than one doubled try on another worker.
    expect_that!(largest, le(2_000));
}

#[googletest::test]
fn shortage_everywhere_shuts_out_no_worker() {
    let mut site = Site::new(8, 4);
    for job in ["a", "b", "c", "d"] {
        site.accept(batch(job, 100, 1));
    }
    let enough = |start: &Start| start.spec.needs.memory_mib >= 3_000;
    for _ in 0..600 {
        for start in site.run_starts() {
            if enough(&start) {
                site.finish(&start, Outcome::Done);
            } else {
                fail_full(&mut site, &start);
            }
        }
        site.pass(Millis::from_secs(1));
    }
    let shut_out =
        |a: &Action| matches!(a, Action::Event { what, .. } if *what == "worker-quarantined");
    let actions = site.take();
    expect_that!(actions.iter().filter(|a| shut_out(a)).count(), eq(0));
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
fn bad_job_shuts_out_no_worker_and_ends() {
    let mut site = Site::new(8, 4);
    site.accept(batch("good", 8, 1));
    site.run_starts();
    site.accept(batch("bad", 50, 1));
    for _ in 0..2_000 {
        let starts = site.run_starts();
        starts.iter().for_each(|start| fail(&mut site, start));
        site.pass(Millis::from_secs(1));
    }
    let actions = site.take();
    let shut_out = |a: &&Action| {
        matches!(
            a,
            Action::Event {
                what: "worker-quarantined",
                ..
            }
        )
    };
    expect_that!(actions.iter().filter(shut_out).count(), eq(0));
    let ended = Action::JobEnded {
        job: id::Job(name("bad")),
        completed: 0,
        failed: 50,
    };
    expect_that!(actions, contains(eq(&ended)));
}

#[googletest::test]
fn quarantine_ends_in_probation_one_task_at_a_time() {
    let mut site = Site::new(2, 4);
    for n in 0..4 {
        site.accept(batch(&format!("kind{}", ["a", "b", "c", "d"][n]), 1, 4));
        for start in site.run_starts() {
            if start.worker == worker_id(0) {
                fail(&mut site, &start);
            }
        }
    }
    site.accept(batch("after", 40, 1));
    site.pass(Millis::from_secs(120));
    site.pass(Millis::from_secs(120));
    let on_trial = site
        .run_starts()
        .iter()
        .filter(|s| s.worker == worker_id(0))
        .count();
    expect_that!(on_trial, le(1));
}

#[googletest::test]
fn sizes_are_learnt_from_ended_runs() {
    let mut site = Site::new(1, 8);
    site.accept(batch("b", 600, 4));
    for _ in 0..30 {
        for start in site.run_starts() {
            site.handle(Event::Finished {
                run: start.spec.run.clone(),
                worker: start.worker.clone(),
                outcome: Outcome::Done,
                age: Millis(500),
                usage: Some(Amount::new(1_000, 250)),
            });
        }
    }
    let ask = site.run_starts().pop().map(|s| s.spec.needs);
    // Memory has room on top; processors have none beyond what the histogram tells apart.
    expect_that!(ask.as_ref().map(|a| a.millicores), some(le(1_010)));
    expect_that!(ask.map(|a| a.memory_mib), some(all!(ge(260), le(270))));
}

#[googletest::test]
fn out_of_memory_starts_again_with_more() {
    let mut site = Site::new(1, 8);
    site.accept(batch("b", 1, 1));
    let start = site.run_starts().remove(0);
    site.handle(Event::Finished {
        run: start.spec.run.clone(),
        worker: start.worker.clone(),
        outcome: Outcome::Failed,
        age: Millis(500),
        usage: Some(Amount::new(500, 1_000)),
    });
    site.pass(Millis::from_secs(5));
    let again = site.run_starts().remove(0);
    expect_that!(again.spec.needs.memory_mib, eq(2_000));
}

#[googletest::test]
fn liar_on_a_full_worker_goes_itself() {
    let mut site = Site::new(1, 2);
    let whole = "needs = { millicores = 1000, memory_mib = 4000 }";
    site.accept(job("a", "batch", whole));
    site.accept(job("b", "batch", whole));
    let liar = site.run_starts().remove(0);
    site.handle(Event::Usage {
        run: liar.spec.run.clone(),
        amount: Amount::new(1_000, 6_000),
    });
    let stopped = site.take().into_iter().find_map(|action| match action {
        Action::Stop { run, .. } => Some(run),
        _ => None,
    });
    expect_that!(stopped, some(eq(&liar.spec.run)));
}

#[googletest::test]
fn survey_names_the_exact_lack() {
    let mut site = Site::new(0, 1);
    let size = Amount::new(8_000, 8_000).with(name("gpu"), 2);
    site.handle(Event::WorkerUp {
        worker: worker(0, size),
        running: Vec::new(),
    });
    let mut wanted = batch("b", 1, 1);
    wanted.needs = wanted.needs.with(name("gpu"), 4);
    let offer = site.scheduler.survey(&[wanted], site.now).remove(0);
    let reason = "needs 4 gpu on one worker; the largest has 2";
    expect_that!(offer.never, some(eq(reason)));
}

#[googletest::test]
fn explain_tells_lack_of_quota() {
    let mut site = Site::new(1, 8);
    site.team("t", Amount::new(1_000, 1_000));
    site.accept(batch("b", 2, 1));
    let task = id::Task::new(id::Job(name("b")), 1);
    let explain = site.scheduler.explain(&task, site.now);
    expect_that!(explain.state, eq("waiting"));
    expect_that!(
        explain.reasons,
        contains(contains_substring("team t holds"))
    );
}

#[googletest::test]
fn restarts_after_a_lost_rack_are_spread_urgent_first() {
    let mut site = Site::new(8, 100);
    site.accept(batch("b", 300, 1));
    site.accept(job(
        "u",
        "batch",
        &format!("count = 4\npriority = \"urgent\"\n{NEEDS}"),
    ));
    let starts = site.run_starts();
    let rack: Vec<id::Worker> = (0..4).map(worker_id).collect();
    let lost = starts.iter().filter(|s| rack.contains(&s.worker)).count();
    rack.into_iter()
        .for_each(|worker| site.handle(Event::WorkerGone { worker }));
    let at_once = site.run_starts();
    let urgent = at_once.iter().all(|s| s.spec.run.task.job.as_str() == "u");
    expect_that!(urgent, eq(true));
    site.pass(Millis(100));
    let first = site.run_starts().len();
    expect_that!(first, lt(lost));
    for _ in 0..100 {
        site.pass(Millis(100));
        site.run_starts();
    }
    expect_that!(site.scheduler.counts().waiting, eq(0));
}

#[googletest::test]
fn near_deadline_goes_before_older_work() {
    let mut site = Site::new(1, 1);
    site.accept(batch("first", 1, 1));
    let first = site.run_starts().remove(0);
    site.accept(batch("older", 1, 1));
    let pressed = format!("run_ms = 60000\ndeadline_ms = 100000\n{NEEDS}");
    site.accept(job("pressed", "batch", &pressed));
    site.finish(&first, Outcome::Done);
    expect_that!(
        site.run_starts()[0].spec.run.task.job.as_str(),
        eq("pressed")
    );
}

#[googletest::test]
fn leaving_worker_takes_no_new_tasks_until_it_is_live_again() {
    let mut site = Site::new(0, 1);
    for state in [vm::State::Leaving, vm::State::Live] {
        let mut worker = worker(0, Amount::new(4_000, 16_000));
        worker.state = state;
        site.handle(Event::WorkerUp {
            worker,
            running: Vec::new(),
        });
        site.accept(batch(&format!("b-{state:?}"), 1, 1));
        let started = if state == vm::State::Live { 2 } else { 0 };
        expect_that!(site.run_starts().len(), eq(started));
    }
}

/// Lets a service's one instance fail again and again after running for `span`.
fn failing_service(span: Millis, times: u32) -> Vec<Action> {
    let mut site = Site::new(4, 4);
    let needs = "needs = { millicores = 1000, memory_mib = 1000 }\nattempts = 3";
    site.accept(job("s", "service", needs));
    for _ in 0..times {
        let starts = site.run_starts();
        site.pass(span);
        starts.iter().for_each(|start| fail(&mut site, start));
        site.pass(Millis::from_secs(120));
    }
    site.run_starts();
    site.take()
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
