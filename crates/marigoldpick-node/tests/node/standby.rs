//! Standbys: what is read while the lead is suspect, and the claim with it.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use async_std::task;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;

use crate::cluster::{Cluster, lock, name, wait_until};
use crate::takeover::expect_nothing_lost;

/// The duration of the lead's lease, which leaves a busy machine time to read.
const LEAD_LEASE: Millis = Millis(4_000);
/// More jobs than a page holds, so that their ranges are read as well.
const STORED_JOBS: u32 = 520;
/// The number of jobs of one task at a time that the workers have room for.
const RUNNING_JOBS: u32 = 64;

fn page_reads(cluster: &Cluster) -> Vec<usize> {
    let reads = cluster.page_reads.iter();
    reads.map(|reads| reads.load(Ordering::SeqCst)).collect()
}

/// Waits until the lead knows of all jobs and the workers are full.
fn wait_for_waiting(cluster: &Cluster) {
    let waiting = u64::from(STORED_JOBS - RUNNING_JOBS);
    wait_until("the lead knows of all jobs", || {
        task::block_on(cluster.nodes[0].handle().waiting(name("q"))) == Ok(waiting)
    });
}

/// Loses the lead while many jobs are stored, and expects that its successor has read all of them before its claim.
fn expect_claim_without_reads(lose_lead: impl FnOnce(&mut Cluster)) {
    let mut cluster = Cluster::start_with_standby(2, LEAD_LEASE, false);
    for number in 1..=STORED_JOBS {
        cluster.submit(1, number, 1, 60_000);
    }
    wait_for_waiting(&cluster);
    let holder = cluster.holder();
    expect_that!(page_reads(&cluster)[1], eq(0));
    lose_lead(&mut cluster);
    wait_until("another claim is made", || cluster.holder() != holder);
    let successor = usize::from(cluster.holder().starts_with("e1/"));
    wait_for_waiting(&cluster);
    expect_that!(page_reads(&cluster)[successor], eq(0));
    expect_that!(lock(&cluster.fake_workers).violations, is_empty());
}

/// Load pattern: the lead is killed while many jobs are stored. Reading after the claim would cost the time in which
/// nothing starts.
#[googletest::test]
fn successor_of_a_killed_lead_reads_no_page_after_its_claim() {
    expect_claim_without_reads(|cluster| cluster.kill(0));
}

/// Load pattern: all entries lose power. The key names an earlier process, of the entry itself for one of them.
#[googletest::test]
fn successor_after_a_restart_of_all_entries_reads_no_page_after_its_claim() {
    expect_claim_without_reads(Cluster::restart_entries);
}

/// Load pattern: a lead that the other entries don't reach works on until it loses the store as well. Records that change between the
/// read and the claim must not be lost, or their tasks would run again.
#[googletest::test]
fn jobs_that_change_after_the_read_are_neither_lost_nor_doubled() {
    let cluster = Cluster::start_with_standby(2, Millis(1_500), true);
    wait_until("the standby has read", || page_reads(&cluster)[1] >= 3);
    expect_nothing_lost(&cluster, || {
        thread::sleep(Duration::from_millis(500));
        cluster.cut_off[0].store(true, Ordering::SeqCst);
        cluster.silent[0].store(true, Ordering::SeqCst);
        wait_until("the standby leads", || cluster.lead_if_any() == Some(1));
    });
    expect_that!(page_reads(&cluster)[1], eq(0));
}

/// A lead that answers late must not lose its term by that.
#[googletest::test]
fn lead_that_answers_late_keeps_its_term() {
    let cluster = Cluster::start_with_standby(2, Millis(1_500), false);
    let holder = cluster.holder();
    let slows_checks = &cluster.lead_faults.slows_checks;
    slows_checks.store(true, Ordering::SeqCst);
    wait_until("the standby has read", || page_reads(&cluster)[1] >= 3);
    slows_checks.store(false, Ordering::SeqCst);
    // Longer than the lease and than the time between two reads.
    thread::sleep(Duration::from_millis(6_000));
    expect_that!(cluster.holder(), eq(&holder));
    expect_that!(page_reads(&cluster)[1], eq(3));
}
