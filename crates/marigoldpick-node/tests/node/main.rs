//! Nodes on loopback with the stand-in's store: submission, outcomes, cancels, take-over, outages.

mod access;
mod admission;
mod cluster;
mod configuration;
mod faulty_store;
mod handover;
mod outages;
mod paths;
mod relays;
mod standby;
mod takeover;
mod watches;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::peer::Receipt;
use marigoldpick_core::work::{Access, Job, Phase, Step, explain};
use marigoldpick_standin::Fault;

use crate::cluster::{Cluster, lock, name, wait_until};

#[googletest::test]
fn submit_at_one_entry_completes_at_all_entries() {
    let cluster = Cluster::start(3, 3);
    let (id, receipt) = cluster.submit(1, 1, 4, 100);
    expect_that!(receipt, eq(Receipt::Stored));
    for at in 0..3 {
        cluster.wait_for_phase(at, &id, Phase::Completed);
    }
    let fake_workers = lock(&cluster.fake_workers);
    expect_that!(fake_workers.starts.len(), eq(8));
    expect_that!(fake_workers.violations, is_empty());
}

#[googletest::test]
fn submit_again_keeps_one_job() {
    let cluster = Cluster::start(2, 2);
    let (id, _) = cluster.submit(0, 1, 2, 50);
    expect_that!(cluster.submit(1, 1, 2, 50).1, eq(Receipt::Stored));
    cluster.wait_for_phase(0, &id, Phase::Completed);
    expect_that!(cluster.submit(1, 1, 2, 50).1, eq(Receipt::Stored));
    cluster.wait_for_phase(1, &id, Phase::Completed);
    expect_that!(lock(&cluster.fake_workers).starts.len(), eq(4));
}

#[googletest::test]
fn unknown_job_is_absent() {
    let cluster = Cluster::start(2, 1);
    let id = id::Job::new("00000000000000ff").expect("a name");
    for node in &cluster.nodes {
        let phase = async_std::task::block_on(node.handle().phase(id.clone(), Access::default()));
        expect_that!(phase, ok(none()));
    }
    let cancel = async_std::task::block_on(cluster.nodes[0].handle().cancel(id, Access::default()));
    expect_that!(cancel, eq(Receipt::Absent));
}

#[googletest::test]
fn cancel_at_any_entry_stops_the_job() {
    let cluster = Cluster::start(3, 2);
    let (id, _) = cluster.submit(0, 1, 4, 60_000);
    cluster.wait_for_phase(0, &id, Phase::Running);
    let cancelled = async_std::task::block_on(
        cluster.nodes[2]
            .handle()
            .cancel(id.clone(), Access::default()),
    );
    expect_that!(cancelled, eq(Receipt::Stored));
    cluster.wait_for_phase(1, &id, Phase::Cancelled);
    let starts = lock(&cluster.fake_workers).starts.len();
    let (other, _) = cluster.submit(1, 2, 4, 50);
    cluster.wait_for_phase(1, &other, Phase::Completed);
    expect_that!(lock(&cluster.fake_workers).starts.len(), eq(starts + 8));
}

#[googletest::test]
fn take_over_keeps_cancelled_jobs_cancelled_and_completes_the_others() {
    let cluster = Cluster::start(3, 3);
    let (cancelled, _) = cluster.submit(0, 1, 4, 60_000);
    let (kept, _) = cluster.submit(1, 2, 4, 1_500);
    cluster.wait_for_phase(0, &cancelled, Phase::Running);
    let receipt = async_std::task::block_on(
        cluster.nodes[0]
            .handle()
            .cancel(cancelled.clone(), Access::default()),
    );
    expect_that!(receipt, eq(Receipt::Stored));
    // Both drained entries hand over the lead if they hold it; the last entry leads in the end.
    cluster.nodes[0].handle().drain();
    cluster.nodes[1].handle().drain();
    cluster.wait_for_phase(2, &kept, Phase::Completed);
    cluster.wait_for_phase(2, &cancelled, Phase::Cancelled);
    let (id, _) = cluster.submit(2, 3, 2, 50);
    cluster.wait_for_phase(2, &id, Phase::Completed);
    let fake_workers = lock(&cluster.fake_workers);
    let of = |job: &id::Job| {
        fake_workers
            .starts
            .iter()
            .filter(|(task, _)| task.part.job == *job)
            .count()
    };
    expect_that!(of(&cancelled), eq(4));
    expect_that!(of(&kept), eq(8));
    expect_that!(fake_workers.violations, is_empty());
}

#[googletest::test]
fn store_outage_refuses_new_jobs_and_continues_running_ones() {
    let cluster = Cluster::start(3, 3);
    let (id, _) = cluster.submit(0, 1, 3, 600);
    cluster.wait_for_phase(0, &id, Phase::Running);
    cluster.platform.fault(&Fault::StoreDown).expect("a fault");
    wait_until("a job is refused", || {
        cluster.submit(1, 2, 1, 50).1 == Receipt::Refused
    });
    expect_that!(cluster.nodes[1].handle().retry_after(), ge(Millis(1_000)));
    // The second step starts while the store is unreachable.
    wait_until("the next step starts", || {
        lock(&cluster.fake_workers).starts.len() == 6
    });
    expect_that!(cluster.phase(2, &id), not(some(eq(Phase::Completed))));
    cluster.platform.heal(&Fault::StoreDown).expect("a fault");
    cluster.wait_for_phase(2, &id, Phase::Completed);
    wait_until("a job is accepted", || {
        cluster.submit(1, 3, 1, 50).1 == Receipt::Stored
    });
    let fake_workers = lock(&cluster.fake_workers);
    expect_that!(fake_workers.violations, is_empty());
    let refused = fake_workers
        .starts
        .iter()
        .any(|(task, _)| task.part.job.as_str().ends_with('2'));
    expect_false!(refused);
}

/// Load pattern: only the lead is cut off from the store, and none of its calls is answered.
#[googletest::test]
fn lead_cut_off_from_the_store_is_replaced() {
    // The lease does not end within the test, so only the lead itself can end its term.
    let cluster = Cluster::start_with_lease(3, 3, Some(Millis::from_secs(300)));
    let (id, _) = cluster.submit(0, 1, 1, 50);
    cluster.wait_for_phase(0, &id, Phase::Completed);
    let lead = cluster.lead();
    let other = (lead + 1) % 3;
    cluster.silent[lead].store(true, Ordering::SeqCst);
    let (id, _) = cluster.submit(other, 2, 2, 50);
    cluster.wait_for_phase(other, &id, Phase::Completed);
    expect_that!(cluster.lead(), not(eq(lead)));
    expect_that!(lock(&cluster.fake_workers).violations, is_empty());
}

/// Load pattern: answers to the lead's writes are lost although all entries reach the store.
#[googletest::test]
fn lead_with_lost_write_answers_keeps_its_term() {
    let cluster = Cluster::start_with_lease(3, 3, Some(Millis::from_secs(300)));
    let (id, _) = cluster.submit(0, 1, 1, 50);
    cluster.wait_for_phase(0, &id, Phase::Completed);
    let lead = cluster.lead();
    let other = (lead + 1) % 3;
    for number in 2..5 {
        cluster.lost_answers[lead].store(1, Ordering::SeqCst);
        let (id, _) = cluster.submit(other, number, 2, 50);
        cluster.wait_for_phase(other, &id, Phase::Completed);
        expect_that!(cluster.lead(), eq(lead));
    }
    expect_that!(lock(&cluster.fake_workers).violations, is_empty());
}

/// Load pattern: the store refuses all calls, and each entry polls the others on whether they reach it.
/// Without shared checks, each poll would add a call of every entry to the store.
#[googletest::test]
fn store_outage_is_probed_once_by_each_entry() {
    const NODES: u64 = 8;
    /// The calls of one entry in two seconds, at one per 150 ms for each of four purposes.
    const CALLS: u64 = 4 * 2_000 / 150;
    let cluster = Cluster::start(NODES as usize, 2);
    let (id, _) = cluster.submit(0, 1, 1, 50);
    cluster.wait_for_phase(0, &id, Phase::Completed);
    let ranges = || -> u64 {
        let calls = cluster.platform.truth().store_calls;
        let ranges = calls.iter().filter(|count| count.kind == "range");
        ranges.map(|count| count.calls).sum()
    };
    cluster.platform.fault(&Fault::StoreDown).expect("a fault");
    let before = ranges();
    async_std::task::block_on(async_std::task::sleep(Millis(2_000).duration()));
    let calls = ranges() - before;
    cluster.platform.heal(&Fault::StoreDown).expect("a fault");
    expect_that!(calls, le(NODES * CALLS));
    wait_until("a job is accepted", || {
        cluster.submit(1, 2, 1, 50).1 == Receipt::Stored
    });
}

#[googletest::test]
fn lost_store_answers_start_nothing_twice() {
    let cluster = Cluster::start(2, 3);
    let fault = Fault::StoreLostAnswer { percent: 40 };
    cluster.platform.fault(&fault).expect("a fault");
    let ids: Vec<id::Job> = (1..6)
        .map(|number| cluster.submit(0, number, 2, 100).0)
        .collect();
    async_std::task::block_on(async_std::task::sleep(Millis(1_500).duration()));
    cluster.platform.heal(&fault).expect("a fault");
    for (number, id) in (1..).zip(&ids) {
        wait_until("the job is stored", || {
            cluster.submit(1, number, 2, 100).1 == Receipt::Stored
        });
        cluster.wait_for_phase(1, id, Phase::Completed);
    }
    let fake_workers = lock(&cluster.fake_workers);
    expect_that!(fake_workers.starts.len(), eq(5 * 4));
    expect_that!(fake_workers.violations, is_empty());
}

/// Operators who ask an entry that does not lead would otherwise learn no placement. No entry starts anything.
#[googletest::test]
fn explain_is_the_same_at_any_entry_and_starts_nothing() {
    let mut cluster = Cluster::start(2, 3);
    let lead = cluster.lead();
    let job = |queue: &str| {
        Arc::new(Job {
            queue: name(queue),
            payload: String::new(),
            steps: vec![Step {
                count: 2,
                needs: Amount::new(1_000, 100),
                estimate: Millis(50),
                ..Step::default()
            }],
            schedule: None,
            accepted: 0,
            team: None,
        })
    };
    let handles = [0, 1].map(|at| cluster.nodes[at].handle().clone());
    let explain = |at: usize, queue: &str| {
        async_std::task::block_on(handles[at].explain(job(queue))).expect("an answer")
    };
    let mut answer = explain(lead, "q");
    wait_until("the lead would ask the adviser about a worker", || {
        answer = explain(lead, "q");
        let steps = answer.placement.iter().flat_map(|p| &p.steps);
        let mut questions = steps.filter_map(|step| step.question.as_ref());
        questions.any(|question| question.workers > 0)
    });
    expect_that!(answer.admission.rejected_by, none());
    let unknown = explain(lead, "other");
    expect_that!(unknown.admission.rejected_by, some(eq("no queue other")));
    expect_that!(unknown.placement, none());
    // Only the ages change from one answer to the next, and a hold that ends may change the number of workers.
    let still = |answer: explain::Answer| {
        let placement = answer.placement.map(|placement| explain::Placement {
            term_age: Millis::ZERO,
            pass_age: Millis::ZERO,
            report_age: None,
            ..placement
        });
        (answer.lead, answer.version, answer.admission, placement)
    };
    for queue in ["q", "other"] {
        wait_until("both entries tell the same", || {
            let other = explain(1 - lead, queue);
            other.placement.is_some() == (queue == "q")
                && still(other) == still(explain(lead, queue))
        });
    }
    expect_that!(lock(&cluster.fake_workers).starts.len(), eq(0));
    let name_of_lead = explain(1 - lead, "q").lead;
    cluster.kill(lead);
    let orphan = explain(1 - lead, "q");
    expect_that!(orphan.placement, none());
    expect_that!(orphan.lead, eq(&name_of_lead));
    expect_that!(orphan.admission.rejected_by, none());
}
