//! Orders through relays, and the lead's hand-over to a stronger entry.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Phase;

use crate::site::{Site, lock, wait_until};

/// Enough workers for a lead to let others give its orders.
const MANY: usize = 240;

/// How long the registration of an entry lasts that is not heard of any more.
const REGISTRATION: Duration = Duration::from_secs(10);

/// Hands jobs in until one was started through another entry than the lead; returns how many.
fn wait_for_relay(site: &Site) -> u32 {
    let lead = site.lead();
    let mut number = 0;
    wait_until("a start goes through a relay", || {
        number += 1;
        let (id, _) = site.submit(0, number, 2, 50);
        site.wait_for(0, &id, Phase::Completed);
        lock(&site.fake).givers.iter().any(|giver| *giver != lead)
    });
    number
}

#[googletest::test]
fn orders_for_many_workers_go_through_a_relay() {
    let site = Site::start(3, MANY);
    let jobs = wait_for_relay(&site);
    let (id, _) = site.submit(1, jobs + 1, 12, 200);
    site.wait_for(1, &id, Phase::Completed);
    let fake = lock(&site.fake);
    expect_that!(fake.starts.len(), eq(jobs as usize * 4 + 24));
    expect_that!(fake.broken, is_empty());
}

/// The relay itself answers the lead, but nothing that it sends reaches a worker.
#[googletest::test]
fn orders_of_a_relay_that_reaches_no_worker_are_given_by_the_lead() {
    let site = Site::start(3, MANY);
    let jobs = wait_for_relay(&site);
    let lead = site.lead();
    (0..3).filter(|at| *at != lead).for_each(|at| {
        site.cut[at].store(true, Ordering::SeqCst);
    });
    let (id, _) = site.submit(lead, jobs + 1, 6, 100);
    site.wait_for(lead, &id, Phase::Completed);
    let fake = lock(&site.fake);
    expect_that!(fake.starts.len(), eq(jobs as usize * 4 + 12));
    expect_that!(fake.broken, is_empty());
}

/// A relay is told to stop: while it still answers, another takes its place.
#[googletest::test]
fn orders_leave_out_a_relay_that_is_about_to_end() {
    let site = Site::start(3, MANY);
    let mut number = wait_for_relay(&site);
    let lead = site.lead();
    let relay = {
        let fake = lock(&site.fake);
        let mut givers = fake.givers.iter();
        *givers.find(|giver| **giver != lead).expect("a relay")
    };
    site.nodes[relay].face().drain();
    let drained = Instant::now();
    wait_until("another entry gives the starts", || {
        number += 1;
        let before = lock(&site.fake).givers.len();
        let (id, _) = site.submit(lead, number, 2, 50);
        site.wait_for(lead, &id, Phase::Completed);
        let fake = lock(&site.fake);
        fake.givers[before..].iter().all(|giver| *giver != relay)
    });
    // The lead was told, and did not wait for the registration's end.
    expect_that!(drained.elapsed(), lt(REGISTRATION));
    let fake = lock(&site.fake);
    expect_that!(fake.starts.len(), eq(number as usize * 4));
    expect_that!(fake.broken, is_empty());
}

/// A weak entry was there first; work goes on over the hand-over, and nothing runs twice.
#[googletest::test]
fn lead_is_handed_over_to_a_stronger_entry() {
    let site = Site::start_unequal(&[90, 500], 6);
    let mut jobs = Vec::new();
    wait_until("the stronger entry leads", || {
        let number = jobs.len() as u32 + 1;
        jobs.push(site.submit(0, number, 2, 1_000).0);
        std::thread::sleep(Millis(250).duration());
        site.lead_if_any() == Some(1)
    });
    for id in &jobs {
        site.wait_for(0, id, Phase::Completed);
    }
    expect_that!(site.lead(), eq(1));
    let fake = lock(&site.fake);
    expect_that!(fake.starts.len(), eq(jobs.len() * 4));
    expect_that!(fake.broken, is_empty());
}

/// The lead is told to stop: another takes its term over before it is given up.
#[googletest::test]
fn lead_that_is_told_to_stop_leaves_no_time_without_a_lead() {
    let site = Site::start(3, 3);
    let (id, _) = site.submit(0, 1, 2, 50);
    site.wait_for(0, &id, Phase::Completed);
    let first = site.lead();
    site.nodes[first].face().drain();
    let mut was_vacant = false;
    wait_until("another entry leads", || {
        let lead = site.lead_if_any();
        was_vacant |= lead.is_none();
        lead.is_some_and(|lead| lead != first)
    });
    expect_false!(was_vacant);
    let (id, _) = site.submit(first, 2, 2, 50);
    site.wait_for(first, &id, Phase::Completed);
    expect_that!(lock(&site.fake).broken, is_empty());
}
