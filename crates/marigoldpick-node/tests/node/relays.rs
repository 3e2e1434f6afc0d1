//! Orders through relays, and hand-overs of the lead.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Phase;

use crate::cluster::{Cluster, lock, wait_until};

/// Enough workers for the lead to use relays.
pub const MANY_WORKERS: usize = 240;

/// How long the registration of an entry lasts that no longer renews it.
const REGISTRATION_LEASE: Duration = Duration::from_secs(10);

/// Submits jobs until one is started through another entry than the lead; returns their number.
pub fn wait_for_relayed_start(cluster: &Cluster) -> u32 {
    let lead = cluster.lead();
    let mut number = 0;
    wait_until("a start goes through a relay", || {
        number += 1;
        let (id, _) = cluster.submit(0, number, 2, 50);
        cluster.wait_for_phase(0, &id, Phase::Completed);
        lock(&cluster.fake_workers)
            .start_senders
            .iter()
            .any(|sender| *sender != lead)
    });
    number
}

#[googletest::test]
fn orders_for_many_workers_go_through_a_relay() {
    let cluster = Cluster::start(3, MANY_WORKERS);
    let jobs = wait_for_relayed_start(&cluster);
    let (id, _) = cluster.submit(1, jobs + 1, 12, 200);
    cluster.wait_for_phase(1, &id, Phase::Completed);
    let fake_workers = lock(&cluster.fake_workers);
    expect_that!(fake_workers.starts.len(), eq(jobs as usize * 4 + 24));
    expect_that!(fake_workers.violations, is_empty());
}

/// The relay answers the lead, but none of its orders reaches a worker.
#[googletest::test]
fn orders_bypass_a_relay_that_reaches_no_worker() {
    let cluster = Cluster::start(3, MANY_WORKERS);
    let jobs = wait_for_relayed_start(&cluster);
    let lead = cluster.lead();
    (0..3).filter(|at| *at != lead).for_each(|at| {
        cluster.cut_off[at].store(true, Ordering::SeqCst);
    });
    let (id, _) = cluster.submit(lead, jobs + 1, 6, 100);
    cluster.wait_for_phase(lead, &id, Phase::Completed);
    let fake_workers = lock(&cluster.fake_workers);
    expect_that!(fake_workers.starts.len(), eq(jobs as usize * 4 + 12));
    expect_that!(fake_workers.violations, is_empty());
}

/// A relay is told to stop: another entry replaces it while it still answers.
#[googletest::test]
fn orders_bypass_a_draining_relay() {
    let cluster = Cluster::start(3, MANY_WORKERS);
    let mut number = wait_for_relayed_start(&cluster);
    let lead = cluster.lead();
    let relay = {
        let fake_workers = lock(&cluster.fake_workers);
        let mut start_senders = fake_workers.start_senders.iter();
        *start_senders
            .find(|sender| **sender != lead)
            .expect("a relay")
    };
    cluster.nodes[relay].handle().drain();
    let drained = Instant::now();
    wait_until("another entry sends the starts", || {
        number += 1;
        let before = lock(&cluster.fake_workers).start_senders.len();
        let (id, _) = cluster.submit(lead, number, 2, 50);
        cluster.wait_for_phase(lead, &id, Phase::Completed);
        let fake_workers = lock(&cluster.fake_workers);
        fake_workers.start_senders[before..]
            .iter()
            .all(|sender| *sender != relay)
    });
    // The lead was told, and did not wait until the registration expired.
    expect_that!(drained.elapsed(), lt(REGISTRATION_LEASE));
    let fake_workers = lock(&cluster.fake_workers);
    expect_that!(fake_workers.starts.len(), eq(number as usize * 4));
    expect_that!(fake_workers.violations, is_empty());
}

/// A weak entry leads first; jobs continue across the hand-over, and nothing runs twice.
#[googletest::test]
fn lead_is_handed_over_to_a_stronger_entry() {
    let cluster = Cluster::start_with_strengths(&[90, 500], 6);
    let mut jobs = Vec::new();
    wait_until("the stronger entry leads", || {
        let number = jobs.len() as u32 + 1;
        jobs.push(cluster.submit(0, number, 2, 1_000).0);
        std::thread::sleep(Millis(250).duration());
        cluster.lead_if_any() == Some(1)
    });
    for id in &jobs {
        cluster.wait_for_phase(0, id, Phase::Completed);
    }
    expect_that!(cluster.lead(), eq(1));
    let fake_workers = lock(&cluster.fake_workers);
    expect_that!(fake_workers.starts.len(), eq(jobs.len() * 4));
    expect_that!(fake_workers.violations, is_empty());
}

/// Load pattern: the strong entry loses power, and a weak one on a slow link takes over. It reads no page in time, and
/// renews its key all the while.
#[googletest::test]
fn lead_that_loads_nothing_is_replaced_by_a_stronger_entry() {
    let mut cluster = Cluster::start_with_strengths(&[500, 90], 3);
    cluster.slow[1].store(true, Ordering::SeqCst);
    cluster.kill(0);
    wait_until("the weak entry leads", || cluster.holder().contains("e1"));
    cluster.restart_first();
    let (id, _) = cluster.submit(1, 1, 2, 50);
    cluster.wait_for_phase(0, &id, Phase::Completed);
    expect_that!(cluster.lead(), eq(0));
    expect_that!(lock(&cluster.fake_workers).violations, is_empty());
}

/// The lead is told to stop: another entry takes over before the lead's key is removed.
#[googletest::test]
fn lead_that_drains_leaves_no_vacancy() {
    let cluster = Cluster::start(3, 3);
    let (id, _) = cluster.submit(0, 1, 2, 50);
    cluster.wait_for_phase(0, &id, Phase::Completed);
    let first = cluster.lead();
    cluster.nodes[first].handle().drain();
    let mut was_vacant = false;
    wait_until("another entry leads", || {
        let lead = cluster.lead_if_any();
        was_vacant |= lead.is_none();
        lead.is_some_and(|lead| lead != first)
    });
    expect_false!(was_vacant);
    let (id, _) = cluster.submit(first, 2, 2, 50);
    cluster.wait_for_phase(first, &id, Phase::Completed);
    expect_that!(lock(&cluster.fake_workers).violations, is_empty());
}
