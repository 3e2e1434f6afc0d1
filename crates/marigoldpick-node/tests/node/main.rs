//! Nodes on loopback with the stand-in's store: acceptance, outcomes, cancels, take-over, outages.

mod outages;
mod relays;
mod site;

use std::sync::atomic::Ordering;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Phase;
use marigoldpick_core::work::peer::Receipt;
use marigoldpick_standin::Fault;

use crate::site::{Site, lock, wait_until};

#[googletest::test]
fn job_handed_in_at_one_entry_completes_at_all() {
    let site = Site::start(3, 3);
    let (id, receipt) = site.submit(1, 1, 4, 100);
    expect_that!(receipt, eq(Receipt::Stored));
    for at in 0..3 {
        site.wait_for(at, &id, Phase::Completed);
    }
    let fake = lock(&site.fake);
    expect_that!(fake.starts.len(), eq(8));
    expect_that!(fake.broken, is_empty());
}

#[googletest::test]
fn job_handed_in_again_remains_one() {
    let site = Site::start(2, 2);
    let (id, _) = site.submit(0, 1, 2, 50);
    expect_that!(site.submit(1, 1, 2, 50).1, eq(Receipt::Stored));
    site.wait_for(0, &id, Phase::Completed);
    expect_that!(site.submit(1, 1, 2, 50).1, eq(Receipt::Stored));
    site.wait_for(1, &id, Phase::Completed);
    expect_that!(lock(&site.fake).starts.len(), eq(4));
}

#[googletest::test]
fn job_that_nobody_handed_in_is_not_known() {
    let site = Site::start(2, 1);
    let id = id::Job::new("00000000000000ff").expect("a name");
    for node in &site.nodes {
        let phase = async_std::task::block_on(node.face().phase(id.clone()));
        expect_that!(phase, ok(none()));
    }
    let cancel = async_std::task::block_on(site.nodes[0].face().cancel(id));
    expect_that!(cancel, eq(Receipt::Absent));
}

#[googletest::test]
fn cancel_at_any_entry_stops_the_job() {
    let site = Site::start(3, 2);
    let (id, _) = site.submit(0, 1, 4, 60_000);
    site.wait_for(0, &id, Phase::Running);
    let cancelled = async_std::task::block_on(site.nodes[2].face().cancel(id.clone()));
    expect_that!(cancelled, eq(Receipt::Stored));
    site.wait_for(1, &id, Phase::Cancelled);
    let starts = lock(&site.fake).starts.len();
    let (other, _) = site.submit(1, 2, 4, 50);
    site.wait_for(1, &other, Phase::Completed);
    expect_that!(lock(&site.fake).starts.len(), eq(starts + 8));
}

#[googletest::test]
fn take_over_keeps_cancelled_jobs_cancelled_and_ends_the_others() {
    let site = Site::start(3, 3);
    let (cancelled, _) = site.submit(0, 1, 4, 60_000);
    let (kept, _) = site.submit(1, 2, 4, 1_500);
    site.wait_for(0, &cancelled, Phase::Running);
    let receipt = async_std::task::block_on(site.nodes[0].face().cancel(cancelled.clone()));
    expect_that!(receipt, eq(Receipt::Stored));
    // Whichever entry leads gives its term up, in turn; the last one goes on.
    site.nodes[0].face().drain();
    site.nodes[1].face().drain();
    site.wait_for(2, &kept, Phase::Completed);
    site.wait_for(2, &cancelled, Phase::Cancelled);
    let (id, _) = site.submit(2, 3, 2, 50);
    site.wait_for(2, &id, Phase::Completed);
    let fake = lock(&site.fake);
    let of = |job: &id::Job| {
        fake.starts
            .iter()
            .filter(|(task, _)| task.part.job == *job)
            .count()
    };
    expect_that!(of(&cancelled), eq(4));
    expect_that!(of(&kept), eq(8));
    expect_that!(fake.broken, is_empty());
}

#[googletest::test]
fn outage_of_the_store_refuses_at_once_and_work_goes_on() {
    let site = Site::start(3, 3);
    let (id, _) = site.submit(0, 1, 3, 600);
    site.wait_for(0, &id, Phase::Running);
    site.platform.fault(&Fault::StoreDown).expect("a fault");
    wait_until("a job is refused", || {
        site.submit(1, 2, 1, 50).1 == Receipt::Refused
    });
    expect_that!(site.nodes[1].face().retry_after(), ge(Millis(1_000)));
    // The second step starts while the store is away.
    wait_until("the next step starts", || {
        lock(&site.fake).starts.len() == 6
    });
    expect_that!(site.phase(2, &id), not(some(eq(Phase::Completed))));
    site.platform.heal(&Fault::StoreDown).expect("a fault");
    site.wait_for(2, &id, Phase::Completed);
    wait_until("a job is taken", || {
        site.submit(1, 3, 1, 50).1 == Receipt::Stored
    });
    let fake = lock(&site.fake);
    expect_that!(fake.broken, is_empty());
    let refused = fake
        .starts
        .iter()
        .any(|(task, _)| task.part.job.as_str().ends_with('2'));
    expect_false!(refused);
}

/// Load pattern: the lead is cut off from the store alone, and no call of it is answered.
#[googletest::test]
fn lead_for_which_the_store_is_silent_is_succeeded() {
    // The lease does not end within the test, so that only the lead itself can make room.
    let site = Site::start_with(3, 3, Some(Millis::from_secs(300)));
    let (id, _) = site.submit(0, 1, 1, 50);
    site.wait_for(0, &id, Phase::Completed);
    let lead = site.lead();
    let other = (lead + 1) % 3;
    site.silent[lead].store(true, Ordering::SeqCst);
    let (id, _) = site.submit(other, 2, 2, 50);
    site.wait_for(other, &id, Phase::Completed);
    expect_that!(site.lead(), not(eq(lead)));
    expect_that!(lock(&site.fake).broken, is_empty());
}

/// Load pattern: answers to writes get lost, and all entries reach the store.
#[googletest::test]
fn lead_whose_writes_get_no_answer_leads_on() {
    let site = Site::start_with(3, 3, Some(Millis::from_secs(300)));
    let (id, _) = site.submit(0, 1, 1, 50);
    site.wait_for(0, &id, Phase::Completed);
    let lead = site.lead();
    let other = (lead + 1) % 3;
    for number in 2..5 {
        site.lost[lead].store(1, Ordering::SeqCst);
        let (id, _) = site.submit(other, number, 2, 50);
        site.wait_for(other, &id, Phase::Completed);
        expect_that!(site.lead(), eq(lead));
    }
    expect_that!(lock(&site.fake).broken, is_empty());
}

/// Load pattern: the store refuses all calls, and each entry asks the others whether they reach it.
#[googletest::test]
fn outage_of_the_store_is_probed_once_by_each_entry() {
    const NODES: u64 = 8;
    /// Calls of one entry in two seconds, at one in 150 ms for each of four purposes.
    const CALLS: u64 = 4 * 2_000 / 150;
    let site = Site::start(NODES as usize, 2);
    let (id, _) = site.submit(0, 1, 1, 50);
    site.wait_for(0, &id, Phase::Completed);
    let ranges = || -> u64 {
        let calls = site.platform.truth().store_calls;
        let ranges = calls.iter().filter(|count| count.kind == "range");
        ranges.map(|count| count.calls).sum()
    };
    site.platform.fault(&Fault::StoreDown).expect("a fault");
    let before = ranges();
    async_std::task::block_on(async_std::task::sleep(Millis(2_000).duration()));
    let calls = ranges() - before;
    site.platform.heal(&Fault::StoreDown).expect("a fault");
    expect_that!(calls, le(NODES * CALLS));
    wait_until("a job is taken", || {
        site.submit(1, 2, 1, 50).1 == Receipt::Stored
    });
}

#[googletest::test]
fn lost_answers_of_the_store_double_nothing() {
    let site = Site::start(2, 3);
    let fault = Fault::StoreLostAnswer { percent: 40 };
    site.platform.fault(&fault).expect("a fault");
    let ids: Vec<id::Job> = (1..6)
        .map(|number| site.submit(0, number, 2, 100).0)
        .collect();
    async_std::task::block_on(async_std::task::sleep(Millis(1_500).duration()));
    site.platform.heal(&fault).expect("a fault");
    for (number, id) in (1..).zip(&ids) {
        wait_until("the job is stored", || {
            site.submit(1, number, 2, 100).1 == Receipt::Stored
        });
        site.wait_for(1, id, Phase::Completed);
    }
    let fake = lock(&site.fake);
    expect_that!(fake.starts.len(), eq(5 * 4));
    expect_that!(fake.broken, is_empty());
}
