//! The end of an outage of the store: who may lead, and what an earlier lead may still do.

use std::sync::atomic::Ordering;

use async_std::task;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Fault, Order, Start, Target};
use marigoldpick_core::work::relay::{Batch, Item};
use marigoldpick_core::work::{Part, Phase, Task, peer};
use marigoldpick_standin::Fault as StoreFault;
use marigoldpick_wire as wire;
use marigoldpick_wire::Handler as _;

use crate::site::{Site, lock, wait_until};

/// Load pattern: the store is back after an outage, and the first that the lead hears from it is a job
/// that was handed in meanwhile. Another entry may lead since.
#[googletest::test]
fn lead_that_hears_of_a_job_after_an_outage_starts_it_only_once_it_is_recorded() {
    let site = Site::start_with(3, 3, Some(Millis::from_secs(300)));
    let (id, _) = site.submit(0, 1, 3, 600);
    site.wait_for(0, &id, Phase::Running);
    let lead = site.lead();
    let other = (lead + 1) % 3;
    site.platform
        .fault(&StoreFault::StoreDown)
        .expect("a fault");
    // The second step starts without a record.
    wait_until("the next step starts", || {
        lock(&site.fake).starts.len() == 6
    });
    site.only_news[lead].store(true, Ordering::SeqCst);
    site.platform.heal(&StoreFault::StoreDown).expect("a fault");
    let mut later = None;
    wait_until("a job is taken", || {
        let (id, receipt) = site.submit(other, 2, 2, 50);
        later = Some(id);
        receipt == peer::Receipt::Stored
    });
    let later = later.expect("a job");
    site.wait_for(lead, &later, Phase::Queued);
    // A start that needs no record would be given some ten milliseconds later.
    task::block_on(task::sleep(Millis(300).duration()));
    let is_later = |(task, _): &(Task, u64)| task.part.job == later;
    expect_false!(lock(&site.fake).starts.iter().any(is_later));
    site.only_news[lead].store(false, Ordering::SeqCst);
    site.wait_for(other, &later, Phase::Completed);
    expect_that!(lock(&site.fake).broken, is_empty());
}

/// An entry that was started in an outage has no configuration: it can decide nothing for a queue.
#[googletest::test]
fn entry_without_a_configuration_leaves_the_lead_to_others() {
    let site = Site::start_unconfigured(3, 2);
    wait_until("an entry leads", || site.lead_if_any().is_some());
    expect_that!(site.lead(), not(eq(0)));
    let face = site.nodes[0].face();
    let asked = task::block_on(face.handle(wire::Call::Jobs(peer::Call::Succeed)));
    expect_that!(asked, err(anything()));
}

/// Load pattern: a lead that was succeeded has not noticed yet, and its orders come through the same
/// relay as those of the next lead. The worker has not heard of the next one.
#[googletest::test]
fn relay_gives_no_order_of_an_earlier_term() {
    let site = Site::start(2, 2);
    let target = |at: usize| Target {
        id: id::Worker::new(&format!("w{at}")).expect("a name"),
        address: at.to_string(),
    };
    let part = Part {
        job: id::Job::new("00000000000000aa").expect("a name"),
        occurrence: 0,
        step: 0,
    };
    let start = Order::Start(Box::new(Start {
        task: part.task(0),
        run: 1,
        payload: "50".to_owned(),
        until: Millis(600_000),
        checkpoint: None,
        ticket: None,
    }));
    let hold = Order::Hold {
        until: None,
        seen: 0,
        wait: Millis::ZERO,
    };
    let give = |session: u64, term: u64, at: usize, order: &Order| {
        let batch = Batch {
            session,
            term,
            wait: Millis(2_000),
            items: vec![Item {
                number: 1,
                target: target(at),
                order: order.clone(),
            }],
        };
        let call = wire::Call::Jobs(peer::Call::Relay(batch));
        let answer = task::block_on(site.nodes[0].face().handle(call));
        match answer {
            Ok(wire::Answer::Jobs(peer::Answer::Relayed(outcomes))) => outcomes,
            other => panic!("not an outcome: {other:?}"),
        }
    };
    let later = u64::MAX >> 24;
    expect_that!(give(1, later, 0, &hold).len(), eq(1));
    let outcomes = give(2, later - 1, 1, &start);
    expect_that!(outcomes.len(), eq(1));
    expect_true!(matches!(outcomes[0].answer, Err(Fault::Fenced)));
    let is_of_part = |(task, _): &(Task, u64)| task.part == part;
    expect_false!(lock(&site.fake).starts.iter().any(is_of_part));
}
