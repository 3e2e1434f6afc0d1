//! Handover of the workers' leases from an earlier lead to its successor.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::task;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::lease::Handover;
use marigoldpick_core::work::{Phase, peer};
use marigoldpick_wire as wire;
use marigoldpick_wire::Handler as _;

use crate::cluster::{Cluster, lock, wait_until};

/// The time within which a lasting task must run again after its worker's departure, by the contract.
const LASTING_LIMIT: Duration = Duration::from_secs(6);
/// The time within which it must run again if the lead dies as well: that of its worker's lease, that of the
/// lead's own lease, and that of a take-over.
const LEAD_DIED_LIMIT: Duration = Duration::from_secs(8);
/// The time between two take-overs.
const TAKE_OVER_GAP: Millis = Millis(2_000);
/// Several intervals in which a lead sends orders to a worker with runs.
const ORDER_INTERVALS: Millis = Millis(1_000);
/// The time in which all entries know of each other.
const MEMBERS_INTERVAL: Millis = Millis(3_000);
/// The duration of the lead's lease.
const LEAD_LEASE: Millis = Millis(1_500);
/// The duration of the lead's lease where another entry leads long before the grace of the one before it is over.
const SHORT_LEAD_LEASE: Millis = Millis(800);
/// How long the store is out: until the leases of the lead before the outage have lapsed.
const OUTAGE: Millis = Millis(10_000);
/// How long a lead is paused: longer than its successor expects orders of it, and shorter than leases last.
const PAUSE: Millis = Millis(5_400);

fn sleep(span: Millis) {
    task::block_on(task::sleep(span.duration()));
}

fn call(cluster: &Cluster, at: usize, call: peer::Call) -> peer::Answer {
    let handle = cluster.nodes[at].handle();
    match task::block_on(handle.handle(wire::Call::Jobs(call))) {
        Ok(wire::Answer::Jobs(answer)) => answer,
        other => panic!("not an answer: {other:?}"),
    }
}

/// Asks an entry to end its term under the claim `holder`.
fn ask_to_yield(cluster: &Cluster, at: usize, holder: &str) -> Option<Handover> {
    let holder = holder.to_owned();
    match call(cluster, at, peer::Call::Yield { holder }) {
        peer::Answer::Leases(handover) => handover,
        other => panic!("not leases: {other:?}"),
    }
}

/// Returns the term in which an entry leads, or zero.
fn term(cluster: &Cluster, at: usize) -> u64 {
    match call(cluster, at, peer::Call::Ping) {
        peer::Answer::Pong { term, .. } => term,
        other => panic!("not a pong: {other:?}"),
    }
}

/// Submits a job of one lasting task, and returns the worker that runs it once its lease was renewed.
fn start_lasting_task(cluster: &Cluster) -> usize {
    cluster.submit_lasting(0, 1);
    wait_until("the lasting task starts", || {
        !lock(&cluster.fake_workers).starts.is_empty()
    });
    sleep(ORDER_INTERVALS);
    lock(&cluster.fake_workers).start_workers[0]
}

/// Submits a job of one task that runs longer than any test, and returns the worker that runs it once its lease was renewed.
fn start_long_task(cluster: &Cluster) -> usize {
    cluster.submit_long(0, 1);
    wait_until("the task starts", || {
        !lock(&cluster.fake_workers).starts.is_empty()
    });
    sleep(ORDER_INTERVALS);
    lock(&cluster.fake_workers).start_workers[0]
}

/// Waits for the second start, and returns the time since `departed`.
fn wait_for_second_start(cluster: &Cluster, departed: Instant) -> Duration {
    wait_until("the lasting task starts again", || {
        lock(&cluster.fake_workers).starts.len() > 1
    });
    departed.elapsed()
}

/// Expects that the task was started once more, on another worker, and did not run twice.
fn expect_one_more_start(cluster: &Cluster, departed: usize) {
    sleep(ORDER_INTERVALS);
    let fake_workers = lock(&cluster.fake_workers);
    expect_that!(fake_workers.start_workers.len(), eq(2));
    expect_that!(fake_workers.start_workers[1], not(eq(departed)));
    expect_that!(fake_workers.violations, is_empty());
}

/// Load pattern: a rolling restart while a worker leaves. Each new lead would wait for the longest lease.
#[googletest::test]
fn lasting_task_of_a_departed_worker_starts_again_in_time_across_hand_overs() {
    let cluster = Cluster::start_with_strengths(&[1_000; 3], 3);
    let worker = start_lasting_task(&cluster);
    let first = cluster.lead();
    lock(&cluster.fake_workers).depart(worker);
    let departed = Instant::now();
    cluster.nodes[first].handle().drain();
    wait_until("another entry leads", || {
        cluster.lead_if_any().is_some_and(|lead| lead != first)
    });
    let second = cluster.lead();
    sleep(TAKE_OVER_GAP);
    cluster.nodes[second].handle().drain();
    wait_until("a third entry leads", || {
        cluster.lead_if_any().is_some_and(|lead| lead != second)
    });
    let third = cluster.lead();
    let elapsed = wait_for_second_start(&cluster, departed);
    expect_that!(elapsed, lt(LASTING_LIMIT));
    expect_one_more_start(&cluster, worker);
    expect_that!(
        lock(&cluster.fake_workers).start_senders,
        elements_are![eq(&first), eq(&third)]
    );
}

/// The only entry leads again, and asks nobody.
#[googletest::test]
fn lasting_task_of_a_departed_worker_starts_again_in_time_under_the_same_entry() {
    let cluster = Cluster::start(1, 3);
    let worker = start_lasting_task(&cluster);
    lock(&cluster.fake_workers).depart(worker);
    let departed = Instant::now();
    let handover = ask_to_yield(&cluster, 0, &cluster.holder());
    expect_that!(handover, some(anything()));
    let elapsed = wait_for_second_start(&cluster, departed);
    expect_that!(elapsed, lt(LASTING_LIMIT));
    expect_one_more_start(&cluster, worker);
}

/// An order that is sent after the answer could extend a lease beyond what the answer tells.
#[googletest::test]
fn lead_that_is_asked_to_yield_sends_no_further_order() {
    let cluster = Cluster::start_with_strengths(&[1_000; 2], 3);
    start_lasting_task(&cluster);
    let lead = cluster.lead();
    let old = term(&cluster, lead);
    let count = || {
        let fake_workers = lock(&cluster.fake_workers);
        let orders = fake_workers.orders.iter();
        orders.filter(|order| **order == (lead, old)).count()
    };
    let before = count();
    let handover = ask_to_yield(&cluster, lead, &cluster.holder());
    let answered = count();
    expect_that!(handover, some(anything()));
    expect_that!(answered, ge(before).and(gt(0)));
    sleep(ORDER_INTERVALS);
    expect_that!(count(), eq(answered));
    wait_until("an entry leads in a later term", || {
        (0..2).any(|at| term(&cluster, at) > old)
    });
    expect_that!(lock(&cluster.fake_workers).starts.len(), eq(1));
    expect_that!(lock(&cluster.fake_workers).violations, is_empty());
}

#[googletest::test]
fn lead_that_is_asked_for_a_foreign_claim_tells_nothing_and_leads_on() {
    let cluster = Cluster::start(2, 3);
    start_lasting_task(&cluster);
    let lead = cluster.lead();
    let old = term(&cluster, lead);
    for holder in ["", "e0/0000000000000000", "e9/0000000000000000"] {
        expect_that!(ask_to_yield(&cluster, lead, holder), none());
    }
    expect_that!(ask_to_yield(&cluster, 1 - lead, &cluster.holder()), none());
    sleep(ORDER_INTERVALS);
    expect_that!(term(&cluster, lead), eq(old));
}

/// A successor whose request was answered in vain asks again.
#[googletest::test]
fn lead_that_is_asked_to_yield_again_tells_the_shorter_rest() {
    let cluster = Cluster::start(2, 3);
    start_lasting_task(&cluster);
    let (lead, holder) = (cluster.lead(), cluster.holder());
    let first = ask_to_yield(&cluster, lead, &holder).expect("a handover");
    expect_that!(first.longest, gt(Millis::ZERO));
    sleep(ORDER_INTERVALS);
    let second = ask_to_yield(&cluster, lead, &holder).expect("a handover");
    expect_that!(
        second.longest,
        le(Millis(first.longest.0.saturating_sub(ORDER_INTERVALS.0)))
    );
}

/// The lead dies after it has noticed that the worker is silent; its last commit tells until when the lease lasts.
#[googletest::test]
fn lasting_task_of_a_departed_worker_starts_again_in_time_after_the_lead_has_died() {
    let mut cluster = Cluster::start_with_strengths(&[1_000; 3], 3);
    let worker = start_lasting_task(&cluster);
    lock(&cluster.fake_workers).depart(worker);
    let departed = Instant::now();
    sleep(TAKE_OVER_GAP);
    cluster.kill(cluster.lead());
    let elapsed = wait_for_second_start(&cluster, departed);
    expect_that!(elapsed, lt(LEAD_DIED_LIMIT));
    expect_one_more_start(&cluster, worker);
}

/// Load pattern: the lead crashes beside a worker that does not answer. The other entries attest that there was no
/// outage, so that tasks which wait need not wait for that worker.
#[googletest::test]
fn waiting_tasks_start_at_once_after_the_lead_has_died_beside_a_silent_worker() {
    let mut cluster = Cluster::start(4, 3);
    // The entries attest only what they have seen for ten seconds.
    sleep(Millis(11_000));
    let lead = cluster.lead();
    let (id, _) = cluster.submit(0, 1, 3, 3_000);
    cluster.wait_for_phase(0, &id, Phase::Running);
    lock(&cluster.fake_workers).set_cut_off(0, true);
    cluster.kill(lead);
    let killed = Instant::now();
    let (later, _) = cluster.submit(0, 2, 1, 50);
    wait_until("the later job starts", || {
        let fake_workers = lock(&cluster.fake_workers);
        let mut starts = fake_workers.starts.iter();
        starts.any(|(task, _)| task.part.job == later)
    });
    // The lead's own lease and a take-over; the longest lease of a worker is 6.1 s.
    expect_that!(killed.elapsed(), lt(Duration::from_millis(4_500)));
    expect_that!(lock(&cluster.fake_workers).violations, is_empty());
}

/// The successor waits for the longest lease, since the process that knew the leases is gone.
#[googletest::test]
fn lasting_task_of_a_departed_worker_starts_again_after_the_lead_is_gone() {
    let mut cluster = Cluster::start_with_strengths(&[1_000; 3], 3);
    let worker = start_lasting_task(&cluster);
    let lead = cluster.lead();
    lock(&cluster.fake_workers).depart(worker);
    let departed = Instant::now();
    cluster.kill(lead);
    wait_for_second_start(&cluster, departed);
    expect_one_more_start(&cluster, worker);
    expect_that!(
        lock(&cluster.fake_workers).start_senders,
        elements_are![eq(&lead), not(eq(&lead))]
    );
}

/// Load pattern: entries are told to stop in turn, and a lead's list of the others is up to a second old.
#[googletest::test]
fn entry_that_drains_does_not_take_over() {
    let cluster = Cluster::start_with_strengths(&[1_000; 2], 3);
    start_lasting_task(&cluster);
    let lead = cluster.lead();
    let other = 1 - lead;
    cluster.nodes[other].handle().drain();
    let handle = cluster.nodes[other].handle();
    let answer = task::block_on(handle.handle(wire::Call::Jobs(peer::Call::Succeed)));
    expect_that!(answer.err(), some(eq(Code::NotRunDraining)));
    sleep(TAKE_OVER_GAP);
    expect_that!(cluster.lead_if_any(), some(eq(lead)));
}

/// Incident 0020: a failure domain is cut off with the lead in it, which was paused and still reaches a worker there.
#[googletest::test]
fn lead_that_was_paused_extends_no_lease_beyond_what_its_successor_expects() {
    let cluster = Cluster::start_with_standby(2, LEAD_LEASE, true);
    let (lead, worker) = (cluster.lead(), start_long_task(&cluster));
    lock(&cluster.fake_workers).separate(lead, worker);
    cluster.hangs[lead].store(true, Ordering::SeqCst);
    sleep(PAUSE);
    cluster.only_watches[lead].store(true, Ordering::SeqCst);
    cluster.hangs[lead].store(false, Ordering::SeqCst);
    wait_for_second_start(&cluster, Instant::now());
    expect_one_more_start(&cluster, worker);
}

/// Incident 0020: a lead asks an entry that does not reach the store either, while the third one, which it does not reach,
/// has taken over. No process is paused.
#[googletest::test]
fn lead_that_most_entries_confirm_extends_no_lease_beside_its_successor() {
    let cluster = Cluster::start_with_cut(LEAD_LEASE);
    let worker = start_long_task(&cluster);
    expect_that!(cluster.lead(), eq(0));
    sleep(MEMBERS_INTERVAL);
    lock(&cluster.fake_workers).separate(0, worker);
    cluster.down[0].store(true, Ordering::SeqCst);
    cluster.down[2].store(true, Ordering::SeqCst);
    wait_for_second_start(&cluster, Instant::now());
    expect_one_more_start(&cluster, worker);
}

/// Incident 0020: an entry that was paused reads a request to take over long after it was sent, when another entry leads that
/// has not asked it. That lead does not notice, since its lease lasts.
#[googletest::test]
fn late_request_to_take_over_does_not_replace_another_lead() {
    let cluster = Cluster::start_with_standby(2, LEAD_LEASE, true);
    let (lead, worker) = (cluster.lead(), start_long_task(&cluster));
    lock(&cluster.fake_workers).separate(lead, worker);
    // The lead before this one has sent it.
    call(&cluster, 1 - lead, peer::Call::Succeed);
    wait_for_second_start(&cluster, Instant::now());
    expect_one_more_start(&cluster, worker);
}

/// Incident 0020: a lead that was paused for less than its grace goes on in an outage of the store that has begun meanwhile.
/// It asks an entry that has seen its successor lead.
#[googletest::test]
fn lead_that_was_replaced_is_not_confirmed_by_an_entry_that_knows_its_successor() {
    let cluster = Cluster::start_with_cut(SHORT_LEAD_LEASE);
    let worker = start_long_task(&cluster);
    expect_that!(cluster.lead(), eq(0));
    sleep(MEMBERS_INTERVAL);
    lock(&cluster.fake_workers).separate(0, worker);
    cluster.hangs[0].store(true, Ordering::SeqCst);
    wait_until("the second entry leads", || term(&cluster, 1) > 0);
    (0..3).for_each(|at| cluster.down[at].store(true, Ordering::SeqCst));
    // The other entries notice the outage.
    sleep(Millis(500));
    cluster.hangs[0].store(false, Ordering::SeqCst);
    sleep(OUTAGE);
    (1..3).for_each(|at| cluster.down[at].store(false, Ordering::SeqCst));
    wait_for_second_start(&cluster, Instant::now());
    expect_one_more_start(&cluster, worker);
}
