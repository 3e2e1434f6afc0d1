//! Watches whose connections go silent: what they would have told is learnt in time by other calls.

use std::time::{Duration, Instant};

use async_std::task;
use googletest::prelude::*;
use marigoldpick_core::clock::time_of_day;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Phase;
use marigoldpick_core::work::peer::Receipt;

use crate::cluster::{Cluster, lock, wait_until};

/// The time after the acknowledgement of a cancel from which on no task of the job may start, by the platform's contract.
const CANCEL_BOUND: Duration = Duration::from_secs(3);

/// Guards against UNASKED (incident 0011): a cancel that a silent watch on the inbox does not bring to the lead.
#[googletest::test]
fn cancel_reaches_a_lead_whose_watch_is_silent() {
    let cluster = Cluster::start(3, 3);
    let id = cluster.submit_lasting(0, 1);
    cluster.wait_for_phase(0, &id, Phase::Running);
    let lead = cluster.lead();
    cluster.silence_watches(lead);
    expect_that!(cluster.cancel((lead + 1) % 3, &id), eq(Receipt::Stored));
    let acknowledged = Instant::now();
    wait_until("the task is stopped", || {
        lock(&cluster.fake_workers).count_running() == 0
    });
    expect_that!(acknowledged.elapsed(), lt(CANCEL_BOUND));
}

/// Guards against UNASKED (incident 0011): the store takes the lead's writes and answers none of its watches, so that
/// the lead can't know of cancels.
#[googletest::test]
fn lead_starts_nothing_while_it_knows_of_no_cancels() {
    let cluster = Cluster::start(3, 3);
    let (first, _) = cluster.submit(0, 1, 3, 50);
    cluster.wait_for_phase(0, &first, Phase::Completed);
    let due = time_of_day() + 4_500;
    let id = cluster.submit_at(0, 2, due, 50);
    cluster.wait_for_phase(0, &id, Phase::Queued);
    task::block_on(task::sleep(Duration::from_millis(200)));
    let lead = cluster.lead();
    let starts = || lock(&cluster.fake_workers).starts.len();
    while time_of_day() < due + 1_000 {
        cluster.silence_watches(lead);
        task::block_on(task::sleep(Duration::from_millis(1)));
    }
    expect_that!(starts(), eq(6));
    cluster.wait_for_phase(0, &id, Phase::Completed);
    expect_that!(starts(), eq(7));
}

/// The lead ends beside silent watches of all entries: a standby notices by its pings of the lead, and reads the key.
#[googletest::test]
fn standby_with_a_silent_watch_replaces_an_ended_lead() {
    let mut cluster = Cluster::start_with_standby(3, Millis(1_500), false);
    let (id, _) = cluster.submit(0, 1, 3, 300);
    cluster.wait_for_phase(0, &id, Phase::Completed);
    let lead = cluster.lead();
    // Watches of the lead's key last for up to 4 s; each has at least 3 s left.
    let holder = cluster.holder();
    (0..3).for_each(|at| cluster.silence_watches(at));
    cluster.kill(lead);
    let ended = Instant::now();
    let (later, _) = cluster.submit(0, 2, 3, 50);
    cluster.wait_for_phase(0, &later, Phase::Completed);
    expect_that!(ended.elapsed(), lt(Duration::from_millis(3_500)));
    expect_that!(cluster.holder(), not(eq(&holder)));
}
