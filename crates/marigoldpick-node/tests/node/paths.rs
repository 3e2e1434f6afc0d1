//! Retried orders, which take a second relay.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Phase, Task};

use crate::cluster::{Cluster, lock, wait_until};
use crate::relays::{MANY_WORKERS, wait_for_relayed_start};

/// The earliest time at which a relay that has stopped answering is left out.
const BATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Load pattern: the exchange with the relay hangs. A retried start that took the same path would be lost with it, and
/// its task would begin again only after a stop.
#[googletest::test]
fn retried_start_is_settled_through_the_second_relay_while_the_first_hangs() {
    let cluster = Cluster::start_with_retries(3, MANY_WORKERS, Millis(150));
    let mut number = wait_for_relayed_start(&cluster);
    let lead = cluster.lead();
    // Of entries of equal strength, the first by name is the first relay.
    let relays: Vec<usize> = (0..3).filter(|at| *at != lead).collect();
    let hang = |relays: &[usize], hangs: bool| {
        let flags = relays.iter().map(|relay| &cluster.hangs[*relay]);
        flags.for_each(|flag| flag.store(hangs, Ordering::SeqCst));
    };
    // Lets relays hang until a task of a new job has started; returns the positions of the job's starts.
    let mut run_job = |hung: &[usize]| {
        number += 1;
        let before = lock(&cluster.fake_workers).starts.len();
        hang(hung, true);
        let (id, _) = cluster.submit(lead, number, 2, 50);
        wait_until("a task starts", || {
            lock(&cluster.fake_workers).starts.len() > before
        });
        hang(hung, false);
        cluster.wait_for_phase(lead, &id, Phase::Completed);
        before..lock(&cluster.fake_workers).starts.len()
    };
    let mut settled: Vec<Task> = Vec::new();
    wait_until("the second relay settles a start", || {
        wait_until("the first relay is used", || {
            let mut starts = run_job(&[]);
            let senders = &lock(&cluster.fake_workers).start_senders;
            starts.all(|at| senders[at] == relays[0])
        });
        let began = Instant::now();
        let starts = run_job(&relays[..1]);
        let fake_workers = lock(&cluster.fake_workers);
        // The first relay was still in use, so that only a retry goes through the second one.
        let is_retry = |at: &usize| {
            fake_workers.start_senders[*at] == relays[1]
                && fake_workers.start_times[*at].duration_since(began) < BATCH_TIMEOUT
        };
        let retries = starts.filter(is_retry);
        settled.extend(retries.map(|at| fake_workers.starts[at].0.clone()));
        !settled.is_empty()
    });
    // Neither relay answers: the lead sends the orders itself.
    let first = run_job(&relays).start;
    expect_that!(lock(&cluster.fake_workers).start_senders[first], eq(lead));
    let fake_workers = lock(&cluster.fake_workers);
    for task in settled {
        let runs = fake_workers.starts.iter().filter(|(have, _)| *have == task);
        expect_that!(runs.count(), eq(1), "{task} began again");
    }
    expect_that!(fake_workers.violations, is_empty());
}
