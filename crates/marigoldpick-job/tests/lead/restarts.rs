//! Tests of workers that restart under their id, with orders in flight that were meant for the former incarnation.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;

use marigoldpick_core::work::port::{Fault, Order, Reply};
use marigoldpick_core::work::{Part, Step, Task};

use crate::world::{World, advised, job, job_id, queue, step, worker_id};

/// The longest lease that the platform allows, above the one that leads grant.
const LONGEST_LEASE: Millis = Millis(10_000);
/// The time after which a late start is carried out.
const LATE_START_DELAY: Millis = Millis(3_000);
/// Readings of a restarted worker's clock that are behind and ahead of the former incarnation's.
const CLOCKS: [Millis; 2] = [Millis::ZERO, Millis(60_000)];

/// Returns a task of a job that does not exist.
fn job_task(number: u32) -> Task {
    let part = Part {
        job: job_id(number),
        occurrence: 0,
        step: 0,
    };
    part.task(0)
}

/// Starts a task on a worker that restarts while the order is in flight; returns the worker.
fn start_across_restart(world: &mut World) -> usize {
    world.allow_leases(LONGEST_LEASE);
    world.run(20_000);
    world.submit(1, job(vec![step(1, 4_000, 30_000)]));
    while world.sent_starts.is_empty() {
        world.run(1);
    }
    let (_, at) = world.sent_starts[0];
    world.restart_worker(at);
    at
}

/// Incident 0009: a start that a restarted worker carries out holds its lease for the longest time.
#[googletest::test]
fn order_of_the_former_incarnation_extends_the_lease_of_the_next() {
    let mut world = World::new(2);
    let at = start_across_restart(&mut world);
    world.run(700);
    expect_that!(world.pool.run_count(at), eq(1));
    world.partitioned[at] = true;
    world.break_connections();
    world.run(15_000);
    expect_that!(world.pool.broken, is_empty());
    expect_that!(world.pool.running().len(), eq(1));
}

/// Cuts a worker off that holds a lease under an order to its former incarnation, and lets another lead take over.
fn take_over_after_restart(take_over: impl Fn(&mut World)) {
    let mut world = World::new(2);
    let at = start_across_restart(&mut world);
    world.run(300);
    world.partitioned[at] = true;
    world.break_connections();
    world.run(200);
    take_over(&mut world);
    world.run(20_000);
    expect_that!(world.pool.broken, is_empty());
    expect_that!(world.pool.running().len(), eq(1));
}

/// The same with a lead that hands over before the worker has reported to its successor.
#[googletest::test]
fn handover_passes_the_lease_of_a_restarted_worker_on() {
    take_over_after_restart(World::hand_over);
}

/// The same with a lead that dies.
#[googletest::test]
fn lead_that_takes_over_waits_for_the_lease_of_a_restarted_worker() {
    take_over_after_restart(World::take_over);
}

/// The same with a lead that dies before it knows of the restart.
#[googletest::test]
fn lead_that_takes_over_notices_a_restart_under_its_predecessor() {
    let mut world = World::new(2);
    let at = start_across_restart(&mut world);
    world.run(1);
    expect_that!(world.pool.run_count(at), eq(1));
    world.partitioned[at] = true;
    world.take_over();
    world.run(30_000);
    expect_that!(world.pool.broken, is_empty());
    expect_that!(world.pool.running().len(), eq(1));
}

/// The same with a worker that has reported for the first time just before.
#[googletest::test]
fn lead_that_takes_over_notices_a_restart_of_a_worker_that_has_just_reported() {
    let mut world = World::new(2);
    world.allow_leases(LONGEST_LEASE);
    (0..2).for_each(|at| world.pool.workers[at].up = false);
    world.run(20_000);
    (0..2).for_each(|at| world.pool.workers[at].up = true);
    world.run(20);
    world.submit(1, job(vec![step(1, 4_000, 30_000)]));
    while world.sent_starts.is_empty() {
        world.run(1);
    }
    let (_, at) = world.sent_starts[0];
    world.restart_worker(at);
    world.run(1);
    world.partitioned[at] = true;
    world.take_over();
    world.run(30_000);
    expect_that!(world.pool.broken, is_empty());
}

/// Leaves a start to the first of two workers unanswered, restarts the worker, and lets it run a task. Returns the time at
/// which the start is carried out.
fn delay_start_across_restart(world: &mut World) -> Millis {
    world.allow_leases(LONGEST_LEASE);
    world.pool.workers[1].up = false;
    world.run(20_000);
    world.late_percent = 100;
    let id = world.submit(1, job(vec![step(1, 4_000, 200)]));
    while world.sent_starts.is_empty() {
        world.run(1);
    }
    world.late_percent = 0;
    let due = world.now + LATE_START_DELAY;
    world.cancel(&id);
    world.run(1_500);
    world.restart_worker(0);
    world.run(700);
    world.submit(2, job(vec![step(1, 4_000, 30_000)]));
    world.run(200);
    world.pool.workers[1].up = true;
    due
}

/// A start to the former incarnation arrives late, and the worker is cut off.
#[googletest::test]
fn late_order_of_the_former_incarnation_does_not_extend_the_lease_of_the_next() {
    let mut world = World::new(2);
    let due = delay_start_across_restart(&mut world);
    assert_that!(world.pool.run_count(0), eq(1));
    while world.now <= due {
        world.run(1);
    }
    world.partitioned[0] = true;
    world.break_connections();
    world.run(15_000);
    expect_that!(world.pool.broken, is_empty());
    expect_that!(world.pool.running().len(), eq(1));
}

/// An answer of the former incarnation to an order that names no run arrives after a report of the next one.
#[googletest::test]
fn clock_in_an_answer_of_the_former_incarnation_is_ignored() {
    let mut world = World::new(2);
    let at = start_across_restart(&mut world);
    world.run(700);
    let order = Order::Stop {
        task: job_task(9),
        run: 1,
    };
    let reply = Reply {
        clock: Millis(20_000),
        born: 0,
        report: None,
    };
    let id = worker_id(at);
    let now = world.now;
    world
        .lead
        .handle_reply(&id, (&order, 1), Ok(reply), Millis(19_000), now);
    world.submit(2, job(vec![step(1, 4_000, 30_000)]));
    world.run(3_000);
    world.partitioned[at] = true;
    world.break_connections();
    world.run(15_000);
    expect_that!(world.pool.broken, is_empty());
    expect_that!(world.pool.running().len(), eq(2));
}

/// The stop of a gang's member is answered by the next incarnation before the lead knows of the restart.
#[googletest::test]
fn run_whose_stop_the_next_incarnation_answered_is_not_started_again_before_its_end() {
    let mut world = World::new(4);
    world.run(20_000);
    let gang = Step {
        gang: true,
        ..step(2, 40_000, 30_000)
    };
    world.submit(1, job(vec![gang]));
    while world.sent_starts.len() < 2 {
        world.run(1);
    }
    let (first, second) = (world.sent_starts[0].1, world.sent_starts[1].1);
    world.pool.workers[second].refusing = true;
    world.restart_worker(first);
    world.holds_lost = true;
    while !world.now.0.is_multiple_of(500) {
        world.run(1);
    }
    world.holds_lost = false;
    world.run(3_000);
    expect_that!(world.pool.broken, is_empty());
}

/// The time of day of a worker is set back before it restarts.
#[googletest::test]
fn worker_that_restarts_with_an_earlier_birth_gets_work() {
    let mut world = World::new(1);
    world.pool.workers[0].node.born = 10_000;
    world.run(20_000);
    world.submit(1, job(vec![step(1, 4_000, 2_000)]));
    world.run(100);
    world.break_connections();
    let listed = world.pool.workers[0].node.clone();
    world.pool.restart(0, 5_000);
    let holds = world.lead.counters().holds;
    for _ in 0..20 {
        world.run(500);
        // The registry still has the former incarnation.
        let now = world.now;
        world
            .lead
            .update_workers(std::slice::from_ref(&listed), now);
    }
    expect_that!(world.pool.done.len(), eq(1));
    expect_that!(world.lead.counters().holds - holds, le(200));
    expect_that!(world.pool.broken, is_empty());
}

/// A start to the former incarnation is still unanswered when the worker restarts for the second time.
#[googletest::test]
fn second_restart_keeps_the_bound_of_late_orders() {
    let mut world = World::new(2);
    world.allow_leases(LONGEST_LEASE);
    world.pool.workers[1].up = false;
    world.run(20_000);
    world.late_percent = 100;
    world.submit(1, job(vec![step(1, 4_000, 30_000)]));
    while world.sent_starts.is_empty() {
        world.run(1);
    }
    world.late_percent = 0;
    let sent = world.now;
    world.run(505);
    world.partitioned[0] = true;
    world.resets_connections = true;
    world.break_connections();
    for restarts in 1..=2 {
        world.restart_worker(0);
        while world.lead.workers()[0].node.born < 1_000 * restarts {
            world.run(1);
        }
    }
    // The start may be carried out 12 s after it was sent, and hold the lease for 10 s.
    let lapse = world.lead.workers()[0].lease.lapse();
    expect_that!(lapse, ge(sent + Millis(22_000)));
}

/// A worker that keeps room for a task that is evacuated to it restarts while the task is being stopped elsewhere.
#[googletest::test]
fn room_kept_for_an_evacuation_stays_across_a_restart() {
    let mut world = World::new(2);
    world.pool.workers[1].up = false;
    world.run(20_000);
    let lasting = Step {
        lasting: true,
        ..step(1, 4_000, 30_000)
    };
    world.submit(1, job(vec![lasting]));
    world.run(1_000);
    world.pool.workers[1].up = true;
    world.run(2_000);
    world.pool.workers[0].node.draining = true;
    while world.sent_stops == 0 {
        world.run(1);
    }
    world.run(10);
    let free = world.lead.workers()[1].free().clone();
    world.restart_worker(1);
    world.run(600);
    expect_that!(world.lead.workers()[1].node.born, gt(1));
    expect_that!(world.lead.workers()[1].free(), eq(&free));
    world.run(5_000);
    expect_that!(world.pool.run_count(1), eq(1));
}

/// A start gets no answer, and its worker restarts.
#[googletest::test]
fn unanswered_start_is_released_with_the_first_report_of_the_next_incarnation() {
    let mut world = World::new(2);
    world.pool.workers[1].up = false;
    world.run(20_000);
    world.submit(1, job(vec![step(1, 4_000, 30_000)]));
    while world.sent_starts.is_empty() {
        world.run(1);
    }
    world.partitioned[0] = true;
    world.break_connections();
    world.run(600);
    world.restart_worker(0);
    world.partitioned[0] = false;
    world.pool.workers[1].up = true;
    let mut reported = None;
    while world.pool.started.is_empty() {
        world.run(1);
        let worker = &world.lead.workers()[0];
        if worker.has_restarted() && worker.has_reported {
            reported.get_or_insert(world.now);
        }
    }
    let waited = world.now.since(reported.expect("a report"));
    expect_that!(waited, le(Millis(50)));
}

/// A worker restarts while its ticket for a step is valid.
#[googletest::test]
fn ticket_for_the_former_incarnation_is_not_used() {
    let mut world = World::new(1);
    world.adviser.good_percent = 100;
    world.queues = vec![advised(queue("fast", 0), 10.0, 1.0)];
    world.take_over();
    world.run(1_000);
    world.submit(1, job(vec![step(8, 8_000, 5_000)]));
    while world.pool.started.len() < 8 {
        world.run(1);
    }
    let asked = world.lead.counters().questions;
    world.restart_worker(0);
    while world.pool.started.len() == 8 {
        world.run(1);
    }
    expect_that!(world.lead.counters().questions, eq(asked + 1));
    expect_that!(world.pool.broken, is_empty());
}

/// Lets the only worker end a run and restart; its clock then begins at `clock`.
fn restart_idle(world: &mut World, clock: Millis) {
    world.run(20_000);
    world.submit(1, job(vec![step(1, 4_000, 200)]));
    world.run(1_000);
    world.restart_worker_with_clock(0, clock);
    world.run(700);
}

/// A hold to the former incarnation that names an end arrives late, when the next one has ended a run that the lead has not
/// read.
#[googletest::test]
fn hold_to_the_former_incarnation_removes_no_end_of_the_next() {
    for clock in CLOCKS {
        let mut world = World::new(1);
        world.run(10);
        let hold = Order::Hold {
            until: None,
            seen: 1,
            wait: Millis::ZERO,
        };
        world.send_late(0, hold, 22_900);
        restart_idle(&mut world, clock);
        world.submit(2, job(vec![step(1, 4_000, 1_000)]));
        world.run(200);
        expect_that!(world.pool.run_count(0), eq(1));
        world.partitioned[0] = true;
        world.run(1_100);
        expect_true!(world.pool.workers[0].has_unseen_end(0));
        world.partitioned[0] = false;
        world.run(3_000);
        expect_that!(world.pool.done.len(), eq(2));
        expect_that!(world.pool.started.len(), eq(2));
        expect_that!(world.pool.broken, is_empty());
    }
}

/// A worker refuses an order to its former incarnation as fenced; only an order to the present one that is refused so shows
/// that another lead has taken over.
#[googletest::test]
fn refusal_of_an_order_to_the_former_incarnation_does_not_depose_the_lead() {
    let mut world = World::new(1);
    restart_idle(&mut world, Millis::ZERO);
    let order = Order::Stop {
        task: job_task(9),
        run: 1,
    };
    let (id, now) = (worker_id(0), world.now);
    let mut refuse = |number| {
        let lead = &mut world.lead;
        lead.handle_reply(&id, (&order, number), Err(Fault::Fenced), now, now);
        lead.is_deposed()
    };
    expect_false!(refuse(1));
    expect_true!(refuse(u64::MAX));
}

/// The registry's list is older than the worker's report.
#[googletest::test]
fn registry_entry_of_the_former_incarnation_changes_nothing() {
    let mut world = World::new(1);
    restart_idle(&mut world, Millis::ZERO);
    world.submit(2, job(vec![step(2, 4_000, 30_000)]));
    world.run(200);
    let before = world.lead.workers()[0].clone();
    world.register_former();
    let after = &world.lead.workers()[0];
    expect_that!(after.node, eq(&before.node));
    expect_that!(after.target(), eq(&before.target()));
    expect_that!(after.lease.lapse(), eq(before.lease.lapse()));
    expect_that!(after.runs, eq(&before.runs));
    expect_that!(world.lead.counters().worker_restarts, eq(1));
    world.run(10_000);
    expect_that!(world.pool.running().len(), eq(2));
    expect_that!(world.pool.broken, is_empty());
}

/// The former incarnation has carried out a start, and its answer arrives when the next one has reported.
#[googletest::test]
fn answer_of_the_former_incarnation_to_a_start_confirms_no_run() {
    for clock in CLOCKS {
        let mut world = World::new(2);
        world.run(20_000);
        world.answer_delay = Millis(400);
        world.submit(1, job(vec![step(1, 4_000, 30_000)]));
        while world.pool.running().is_empty() {
            world.run(1);
        }
        world.answer_delay = Millis::ZERO;
        let (_, at) = world.sent_starts[0];
        world.restart_worker_with_clock(at, clock);
        world.register();
        world.run(20_000);
        expect_that!(world.pool.started.len(), eq(2));
        expect_that!(world.pool.running().len(), eq(1));
        expect_that!(world.pool.broken, is_empty());
    }
}

/// Starts a long task, and leaves the start unanswered; returns the worker.
fn delay_start(world: &mut World) -> usize {
    world.late_percent = 100;
    world.submit(1, job(vec![step(1, 4_000, 30_000)]));
    while world.sent_starts.is_empty() {
        world.run(1);
    }
    world.late_percent = 0;
    world.sent_starts[0].1
}

/// A start without an answer is being stopped when the worker ends. The next incarnation, which knows nothing of the stop,
/// carries the start out before the lead reaches it.
#[googletest::test]
fn stopped_start_that_arrives_after_a_restart_runs_alone() {
    for (down, is_cut_off) in [(0, true), (2_200, false)] {
        let mut world = World::new(2);
        world.run(1_250);
        let at = delay_start(&mut world);
        world.run(700);
        expect_that!(world.sent_stops, eq(1));
        world.pool.workers[at].up = false;
        world.run(down);
        world.restart_worker(at);
        world.partitioned[at] = is_cut_off;
        world.run(LATE_START_DELAY.0);
        world.partitioned[at] = false;
        world.run(5_000);
        expect_that!(world.pool.running().len(), eq(1));
        expect_that!(world.pool.broken, is_empty());
    }
}

/// A worker that is cut off restarts twice while a start to its first incarnation is in flight.
#[googletest::test]
fn late_start_extends_the_lease_after_a_second_restart() {
    let mut world = World::new(2);
    world.allow_leases(LONGEST_LEASE);
    world.run(20_000);
    let at = delay_start(&mut world);
    world.partitioned[at] = true;
    for restarts in 1..=2 {
        world.unlisted[at] = true;
        world.run(400);
        world.restart_worker(at);
        while !world.lead.workers()[at].holds.is_empty() {
            world.run(1);
        }
        world.unlisted[at] = false;
        world.register();
        expect_that!(world.lead.counters().worker_restarts, eq(restarts));
    }
    world.run(20_000);
    expect_that!(world.pool.broken, is_empty());
}

/// A lead that dies in an outage of the store has started a task anew without a record. Its successor finds that run, which
/// it does not want, and then learns that the recorded one has ended with its worker.
#[googletest::test]
fn task_is_not_started_while_a_run_that_was_found_is_being_stopped() {
    let mut world = World::new(2);
    world.run(1_000);
    world.submit(1, job(vec![step(1, 4_000, 30_000)]));
    world.run(1_000);
    let (_, at) = world.sent_starts[0];
    world.store_up = false;
    world.lead.allow_unrecorded(world.now + Millis(5_000));
    world.restart_worker(at);
    world.run(2_000);
    expect_that!(world.pool.started.len(), eq(2));
    world.take_over();
    world.lead.expect_unrecorded_starts();
    world.register_former();
    world.run(5_000);
    expect_that!(world.pool.running().len(), eq(1));
    expect_that!(world.pool.broken, is_empty());
}

/// Guards against TWICE (incident 0010): a run that a new lead found before it knew the job, and whose stop goes on.
#[googletest::test]
fn task_is_not_started_while_a_run_of_an_unknown_job_is_being_stopped() {
    for delay in [20, 100, 400] {
        let mut world = World::new(2);
        world.run(1_000);
        let id = world.submit(1, job(vec![step(1, 4_000, 30_000)]));
        world.run(1_000);
        expect_that!(world.pool.running().len(), eq(1));
        world.take_over_before_job(&id, delay);
        world.run(5_000);
        expect_that!(world.pool.running().len(), eq(1), "delay {delay}");
        expect_that!(world.pool.broken, is_empty(), "delay {delay}");
    }
}

/// Lets a start to the first of two workers get no answer; it is carried out `delay` later.
fn lose_start(world: &mut World, delay: u64) {
    world.allow_leases(LONGEST_LEASE);
    world.pool.workers[1].up = false;
    world.run(20_000);
    world.late_percent = 100;
    world.late_delay = Millis(delay);
    world.submit(1, job(vec![step(1, 4_000, 30_000)]));
    while world.sent_starts.is_empty() {
        world.run(1);
    }
    world.late_percent = 0;
    world.pool.workers[1].up = true;
}

/// A start of the lead before is carried out by an incarnation that its successor saw restart.
#[googletest::test]
fn restart_under_a_successor_keeps_the_bound_of_its_predecessors_orders() {
    for gap in (0..3_000).step_by(300) {
        let mut world = World::new(2);
        lose_start(&mut world, 11_500);
        world.run(50);
        world.partitioned[0] = true;
        world.take_over();
        world.run(600 + gap);
        world.restart_worker(0);
        world.run(30_000);
        expect_that!(world.pool.broken, is_empty(), "gap {gap}");
    }
}

/// A worker restarts unlisted with a start in flight, carries it out and is cut off: the lead can't know.
#[googletest::test]
fn restart_that_no_lead_learns_of_starts_no_task_twice() {
    let mut world = World::new(2);
    let at = start_across_restart(&mut world);
    world.unlisted[at] = true;
    world.run(3);
    world.partitioned[at] = true;
    world.run(30_000);
    expect_that!(world.pool.broken, is_empty());
}

/// A start that was stopped arrives at the next incarnation before the lead does.
#[googletest::test]
fn stopped_start_is_not_carried_out_by_the_next_incarnation() {
    let mut world = World::new(2);
    lose_start(&mut world, 4_000);
    world.unlisted[0] = true;
    world.run(3_990);
    assert_that!(world.pool.run_count(1), eq(1));
    world.carries_out_replaced = true;
    world.restart_worker(0);
    world.unlisted[0] = false;
    world.run(3_000);
    expect_that!(world.pool.broken, is_empty());
}

/// The first orders to a restarted worker get no answer; until one does, late starts are carried out there.
#[googletest::test]
fn restarted_worker_is_probed_until_it_answers() {
    let mut world = World::with_retries(1);
    world.run(20_000);
    world.holds_lost = true;
    world.restart_worker(0);
    while !world.lead.workers()[0].has_restarted() {
        world.run(1);
    }
    let before = world.lead.counters().holds;
    world.run(480);
    // A probe each 150 ms beside the hold.
    expect_that!(world.lead.counters().holds - before, eq(3));
}
