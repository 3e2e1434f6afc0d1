//! Tests of every form of job without faults.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Phase, Step};

use marigoldpick_standin::jobs::Started;

use crate::world::{World, advised, job, name, queue, schedule_at, step};

#[googletest::test]
fn job_of_one_step_completes() {
    let mut world = World::new(3);
    let id = world.submit(1, job(vec![step(6, 5_000, 800)]));
    world.run(400);
    expect_that!(world.phase(&id), some(eq(Phase::Running)));
    world.run(1_000);
    expect_that!(world.phase(&id), some(eq(Phase::Completed)));
    expect_that!(world.pool.broken, is_empty());
}

#[googletest::test]
fn steps_run_after_those_they_depend_on() {
    let mut world = World::new(3);
    let second = Step {
        after: vec![0],
        ..step(4, 5_000, 300)
    };
    let last = Step {
        after: vec![0, 1],
        ..step(2, 5_000, 300)
    };
    let id = world.submit(1, job(vec![step(6, 5_000, 300), second, last]));
    world.run(2_500);
    expect_that!(world.phase(&id), some(eq(Phase::Completed)));
    expect_that!(world.pool.broken, is_empty());
}

#[googletest::test]
fn placement_stays_within_capacity_under_a_backlog() {
    let mut world = World::new(2);
    for number in 0..30 {
        world.submit(number, job(vec![step(8, 11_000, 400)]));
    }
    world.run(15_000);
    expect_that!(world.pool.done.len(), eq(240));
    expect_that!(world.pool.broken, is_empty());
}

#[googletest::test]
fn spread_bounds_the_tasks_of_a_step_on_a_worker() {
    let mut world = World::new(4);
    let spread = Step {
        spread: Some(1),
        ..step(4, 1_000, 500)
    };
    world.submit(1, job(vec![spread]));
    world.run(300);
    let counts: Vec<usize> = (0..4).map(|at| world.pool.run_count(at)).collect();
    expect_that!(counts, eq(&vec![1, 1, 1, 1]));
}

#[googletest::test]
fn label_keeps_a_task_to_its_workers() {
    let mut world = World::new(8);
    let labelled = Step {
        label: Some(Name::new("r1").expect("a name")),
        ..step(6, 1_000, 300)
    };
    world.submit(1, job(vec![labelled]));
    world.run(200);
    expect_that!(world.pool.started.len(), eq(6));
    for Started { worker, .. } in &world.pool.started {
        expect_that!(*worker, ge(4));
    }
}

#[googletest::test]
fn gang_starts_all_members_under_one_run() {
    let mut world = World::new(2);
    let gang = Step {
        gang: true,
        ..step(8, 10_000, 400)
    };
    let id = world.submit(1, job(vec![gang]));
    world.run(300);
    let runs: Vec<u64> = world.pool.started.iter().map(|start| start.run).collect();
    expect_that!(runs.len(), eq(8));
    expect_true!(runs.iter().all(|run| *run == runs[0]));
    world.run(1_000);
    expect_that!(world.phase(&id), some(eq(Phase::Completed)));
}

/// Guards against UNASKED (incident 0019): members of one run that resume from different checkpoints.
#[googletest::test]
fn gang_resumes_from_one_checkpoint() {
    // With a take-over before the next run, starts that are answered late, and both.
    for (has_take_over, delay) in [(false, 0), (true, 0), (false, 80), (true, 80)] {
        let mut world = World::new(6);
        for worker in &mut world.pool.workers {
            worker.saving = true;
        }
        let gang = Step {
            gang: true,
            spread: Some(1),
            checkpoints: true,
            ..step(4, 10_000, 6_000)
        };
        let id = world.submit(1, job(vec![gang]));
        world.run(2_000);
        world.answer_delay = Millis(delay);
        let first = world.pool.started[0].worker;
        world.pool.crash(first);
        if has_take_over {
            world.run(300);
            world.take_over();
        }
        world.run(30_000);
        expect_that!(world.phase(&id), some(eq(Phase::Completed)));
        let starts = &world.pool.started;
        let resumed = starts.iter().filter(|start| start.run != starts[0].run);
        let mut values: Vec<_> = resumed.map(|s| (s.run, s.checkpoint.clone())).collect();
        values.sort();
        expect_that!(values.len(), ge(4));
        let is_same = values.chunk_by(|a, b| a.0 == b.0).all(|run| {
            let value = &run[0].1;
            value.is_some() && run.iter().all(|(_, own)| own == value)
        });
        expect_that!(is_same, eq(true), "{values:?}");
    }
}

#[googletest::test]
fn gang_that_does_not_fit_starts_no_member() {
    let mut world = World::new(2);
    world.submit(1, job(vec![step(8, 12_000, 2_000)]));
    world.run(200);
    let before = world.pool.started.len();
    let gang = Step {
        gang: true,
        ..step(6, 12_000, 400)
    };
    world.submit(2, job(vec![gang]));
    world.run(1_000);
    expect_that!(world.pool.started.len(), eq(before));
    world.run(2_500);
    expect_that!(world.pool.started.len(), eq(before + 6));
    expect_that!(world.pool.broken, is_empty());
}

#[googletest::test]
fn job_fails_after_the_attempts_of_a_task() {
    let mut world = World::new(4);
    let id = world.submit(1, job(vec![step(1, 1_000, 300)]));
    world.pool.failing_jobs.insert(id.clone());
    world.run(3_000);
    expect_that!(world.phase(&id), some(eq(Phase::Failed)));
    expect_that!(world.pool.started.len(), eq(3));
}

#[googletest::test]
fn cancel_stops_what_runs_and_starts_nothing_more() {
    let mut world = World::new(2);
    let id = world.submit(1, job(vec![step(40, 11_000, 5_000)]));
    world.run(300);
    let before = world.pool.started.len();
    world.cancel(&id);
    // A stop takes 800 ms in the simulation.
    world.run(1_000);
    expect_that!(world.phase(&id), some(eq(Phase::Cancelled)));
    expect_that!(world.pool.running(), is_empty());
    expect_that!(world.pool.started.len(), eq(before));
}

#[googletest::test]
fn phase_reports_an_outcome_only_once_it_is_stored() {
    let mut world = World::new(2);
    let id = world.submit(1, job(vec![step(1, 1_000, 300)]));
    world.run(200);
    world.store_up = false;
    world.run(1_000);
    expect_that!(world.phase(&id), some(eq(Phase::Running)));
    world.store_up = true;
    world.run(1_500);
    expect_that!(world.phase(&id), some(eq(Phase::Completed)));
}

#[googletest::test]
fn waiting_counts_jobs_without_a_start() {
    let mut world = World::new(1);
    for number in 0..5 {
        world.submit(number, job(vec![step(1, 40_000, 3_000)]));
    }
    world.run(300);
    let queue = Name::new("fast").expect("a name");
    expect_that!(world.lead.waiting(&queue), eq(4));
}

#[googletest::test]
fn repeated_job_runs_each_occurrence_when_it_is_due() {
    let mut world = World::new(2);
    let mut repeated = job(vec![step(2, 1_000, 100)]);
    repeated.schedule = Some(schedule_at(1_000, 500, 3));
    let id = world.submit(1, repeated);
    world.run(900);
    expect_that!(world.pool.started, is_empty());
    world.run(2_000);
    let times: Vec<u64> = world.pool.started.iter().map(|start| start.at.0).collect();
    expect_that!(times.len(), eq(6));
    expect_that!(times[0], ge(1_000));
    expect_that!(times[2], ge(1_500));
    expect_that!(times[4], ge(2_000));
    expect_that!(world.phase(&id), some(eq(Phase::Completed)));
}

#[googletest::test]
fn lasting_task_is_restarted_however_it_ends() {
    let mut world = World::new(2);
    let lasting = Step {
        lasting: true,
        ..step(2, 1_000, 300)
    };
    let id = world.submit(1, job(vec![lasting]));
    world.pool.failing_jobs.insert(id.clone());
    world.run(3_000);
    expect_that!(world.pool.started.len(), gt(6));
    expect_that!(world.phase(&id), some(eq(Phase::Running)));
}

#[googletest::test]
fn tasks_run_only_where_the_adviser_allows() {
    let mut world = World::new(9);
    world.queues = vec![advised(queue("fast", 0), 24.0, 0.34)];
    world.take_over();
    let id = world.submit(1, job(vec![step(12, 5_000, 300)]));
    world.run(1_000);
    expect_that!(world.phase(&id), some(eq(Phase::Completed)));
    let starts = world.pool.started.clone();
    for Started { task, worker, .. } in starts {
        let worker = world.pool.workers[worker].node.id.clone();
        expect_true!(world.adviser.is_good(&task.part, &worker));
    }
}

#[googletest::test]
fn questions_name_few_workers_when_there_is_room() {
    let mut world = World::new(48);
    world.queues = vec![advised(queue("fast", 0), 24.0, 0.34)];
    world.take_over();
    for number in 0..10 {
        world.submit(number, job(vec![step(6, 5_000, 300)]));
    }
    world.run(1_000);
    expect_that!(world.pool.done.len(), eq(60));
    expect_that!(world.lead.counters().questions, le(12));
}

#[googletest::test]
fn urgent_work_goes_before_earlier_work() {
    let mut world = World::new(1);
    let mut slow = job(vec![step(20, 30_000, 500)]);
    slow.queue = Name::new("slow").expect("a name");
    world.submit(1, slow);
    world.run(100);
    let fast = world.submit(2, job(vec![step(2, 30_000, 300)]));
    world.run(1_200);
    expect_that!(world.phase(&fast), some(eq(Phase::Completed)));
}

#[googletest::test]
fn questions_continue_when_good_workers_reach_the_spread_limit() {
    let mut world = World::new(60);
    world.queues = vec![advised(queue("fast", 0), 24.0, 0.34)];
    world.adviser.good_percent = 25;
    world.take_over();
    let spread = Step {
        spread: Some(1),
        ..step(8, 5_000, 4_000)
    };
    world.submit(1, job(vec![spread]));
    world.run(3_000);
    expect_that!(world.pool.running().len(), eq(8));
}

/// Load pattern: ten times as much work waits as there is capacity for, and a question takes as
/// long as a short task.
#[googletest::test]
fn questions_stay_within_the_capacity_under_a_backlog() {
    let mut world = World::new(4);
    world.queues = vec![advised(queue("fast", 0), 24.0, 0.34)];
    world.take_over();
    for number in 0..80 {
        world.submit(number, job(vec![step(4, 8_000, 2_000)]));
    }
    world.run(8_000);
    // Four workers of 64 cores run 32 such tasks at once, in four rounds: 32 steps, with at most
    // two questions for each.
    expect_that!(world.pool.done.len(), ge(80));
    expect_that!(world.lead.counters().questions, le(64));
    expect_that!(world.pool.broken, is_empty());
}

/// Load pattern: a service with few accelerators has a backlog of urgent work whose claims exceed
/// the processors of all services.
#[googletest::test]
fn backlog_of_a_service_leaves_questions_to_the_others() {
    let mut world = World::new(12);
    for at in 0..4 {
        let node = &mut world.pool.workers[at].node;
        node.service = name("studio");
        node.capacity = Amount::new(32_000, 64_000).with(name("gpu"), 8);
    }
    let mut studio = advised(queue("fast", 0), 24.0, 0.34);
    studio.service = name("studio");
    world.queues = vec![studio, advised(queue("slow", 2), 24.0, 0.34)];
    world.take_over();
    let wide = Step {
        needs: Amount::new(15_000, 4_000).with(name("gpu"), 8),
        ..step(8, 15_000, 20_000)
    };
    for number in 0..40 {
        world.submit(number, job(vec![wide.clone()]));
    }
    world.run(1_000);
    let mut other = job(vec![step(4, 4_000, 300)]);
    other.queue = name("slow");
    let id = world.submit(100, other);
    world.run(1_000);
    expect_that!(world.phase(&id), some(eq(Phase::Completed)));
}

/// Load pattern: many tasks of one accelerator each keep all workers busy, and a gang needs two
/// whole workers. The small tasks take 2.4 s.
#[googletest::test]
fn gang_that_needs_whole_workers_is_not_starved_by_small_tasks() {
    let mut world = World::new(8);
    for worker in &mut world.pool.workers {
        worker.node.capacity = Amount::new(32_000, 64_000).with(name("gpu"), 8);
    }
    world.queues = vec![queue("fast", 1), queue("slow", 2)];
    world.take_over();
    let of_one = Step {
        needs: Amount::new(2_800, 1_000).with(name("gpu"), 1),
        ..step(8, 2_800, 2_400)
    };
    let small = |world: &mut World, number: u32| {
        let mut small = job(vec![of_one.clone()]);
        small.queue = name("slow");
        world.submit(number, small);
    };
    // Eight steps of eight tasks fill all workers for 2.4 s; a tenth more than that arrives.
    (0..60).for_each(|number| {
        small(&mut world, number);
        world.run(270);
        if number == 20 {
            let whole = Step {
                gang: true,
                needs: Amount::new(15_000, 1_000).with(name("gpu"), 8),
                ..step(2, 15_000, 2_000)
            };
            world.submit(1_000, job(vec![whole]));
        }
    });
    let gang = crate::world::job_id(1_000);
    let begun = world.pool.started.iter().find(|s| s.task.part.job == gang);
    // The gang is submitted at 5.7 s; the longest wait for capacity is the time of one small task.
    let latest = Millis(5_700 + 2 * 2_400);
    expect_that!(begun.map(|started| started.at), some(le(latest)));
    expect_that!(world.pool.broken, is_empty());
}

/// Load pattern: a full pool of 40 workers, and 300 waiting jobs.
#[googletest::test]
fn passes_examine_few_workers_under_a_backlog() {
    let mut world = World::new(40);
    world.run(600);
    for number in 0..300 {
        let mut long = job(vec![step(4, 4_000, 20_000)]);
        long.queue = name("slow");
        world.submit(number, long);
    }
    world.run(2_000);
    let before = world.lead.counters();
    world.run(2_000);
    let after = world.lead.counters();
    let passes = after.passes - before.passes;
    expect_that!(world.pool.broken, is_empty());
    expect_that!(passes, le(2_000 / 5 + 1));
    // Each pass examines each worker once, and finds that none has capacity.
    expect_that!(after.looks - before.looks, le(passes * 40));
}

/// Load pattern: a full pool, and 3,000 waiting steps. At 2 us a step, a pass takes 6 ms on half a
/// core; four fifths of the time must remain for everything else.
#[googletest::test]
fn passes_keep_their_share_of_time_under_a_backlog() {
    let mut world = World::new(4);
    world.run(600);
    for number in 0..3_000 {
        let mut long = job(vec![step(1, 60_000, 20_000)]);
        long.queue = name("slow");
        world.submit(number, long);
    }
    world.run(500);
    let before = world.lead.counters().passes;
    world.run(1_500);
    let passes = world.lead.counters().passes - before;
    expect_that!(passes, ge(1));
    expect_that!(passes * 6, le(1_500 / 5));
    expect_that!(world.pool.broken, is_empty());
}

/// Load pattern: all workers but one are full, few of them are good for a step, and the fixed time
/// of a question exceeds that of naming many workers.
#[googletest::test]
fn questions_name_busy_workers_where_naming_costs_little() {
    let mut world = World::new(10);
    world.queues.push(advised(queue("wide", 1), 560.0, 8.0));
    world.lead.set_queues(&world.queues);
    world.submit(1, job(vec![step(9, 60_000, 20_000)]));
    world.run(200);
    let mut wide = job(vec![step(3, 60_000, 1_000)]);
    wide.queue = name("wide");
    let id = world.submit(2, wide);
    world.run(1_000);
    let verdicts = world.lead.job(&id).map(|job| {
        let stage = job.stage(0, 0).expect("a step");
        stage.tickets.verdicts.len()
    });
    expect_that!(verdicts, some(eq(10)));
    expect_that!(world.lead.counters().questions, eq(1));
}

/// Guards against UNASKED (incident 0011): recorded starts of a lead that may have missed cancels.
#[googletest::test]
fn recorded_starts_wait_while_cancels_may_be_unknown() {
    let mut world = World::new(2);
    world.run(1_000);
    world.inbox_silent = true;
    world.run(3_100);
    let id = world.submit(1, job(vec![step(2, 4_000, 500)]));
    world.run(1_000);
    expect_that!(world.records.contains_key(&id), eq(true));
    expect_that!(world.sent_starts, is_empty());
    world.inbox_silent = false;
    world.run(1_000);
    expect_that!(world.phase(&id), some(eq(Phase::Completed)));
    expect_that!(world.pool.broken, is_empty());
}

/// A lead that was paused for longer than the bound orders the starts that were recorded meanwhile only once it has read
/// the inbox again.
#[googletest::test]
fn paused_lead_starts_nothing_before_it_has_read_the_inbox() {
    let mut world = World::new(2);
    world.run(1_000);
    world.store_latency = Millis(100);
    let id = world.submit(1, job(vec![step(2, 4_000, 500)]));
    world.run(50);
    world.freeze(3_500);
    world.inbox_silent = true;
    world.run(200);
    expect_that!(world.sent_starts, is_empty());
    world.cancel(&id);
    world.inbox_silent = false;
    world.run(1_000);
    expect_that!(world.sent_starts, is_empty());
    expect_that!(world.phase(&id), some(eq(Phase::Cancelled)));
}
