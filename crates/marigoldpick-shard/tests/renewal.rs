//! Leads of many workers, whose renewal interval grows, and the leases across successive leads.

mod support;

use googletest::prelude::*;
use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_shard::Settings;
use support::FaultRates;
use support::site::Site;
use support::site::job::{Job, job};

/// Longer in milliseconds than any takeover with a silent worker at these intervals.
const SETTLE: u64 = 150_000;
const WORKERS: usize = 24;

fn jobs() -> Vec<Job> {
    vec![
        job("web", 9, Class::Service, true, None),
        job("maps", 20, Class::Batch, true, Some(1_500)),
        job("bills", 10, Class::Batch, false, Some(800)),
    ]
}

/// Returns a site whose number of workers sets the renewal interval to `renew`, and its lead.
fn site_at_interval(seed: u64, renew: Millis) -> (Site, usize) {
    let settings = Settings {
        renewals: WORKERS as u32 * 1_000 / renew.0 as u32,
        renew_most_ms: renew,
        ..Settings::default()
    };
    let mut site = Site::with(settings, seed, 3, WORKERS, jobs());
    assert!(
        site.run_until(30_000, |site| site.is_serving() && site.is_complete()),
        "seed {seed}: no start"
    );
    site.run(SETTLE);
    let lead = site.leader().expect("somebody leads");
    let record = site.entries[lead].lead.record();
    assert_that!(record.renew_ms, eq(renew), "seed {seed}");
    (site, lead)
}

/// Starts tasks on all workers, so that all stamps are recent, and cuts off a worker that runs an
/// instance of the service.
fn cut_off_when_fresh(site: &mut Site) {
    let serves = |at: &usize| site.workers[*at].running().count() > 0;
    let worker = (0..WORKERS).find(serves).expect("something runs");
    site.jobs[1].count += 100;
    site.run(2_500);
    for entry in 0..3 {
        site.cut_workers.insert((entry, worker));
    }
}

fn check_end(site: &mut Site) {
    site.store_faults = FaultRates::default();
    let done = site.run_until(180_000, |site| site.is_complete() && site.is_serving());
    assert!(done, "seed {}: missing {:?}", site.seed, site.missing());
    site.check_at_most_once();
}

#[googletest::test]
fn interval_grows_with_the_workers_within_its_bounds() {
    let settings = Settings::default();
    let interval = |workers| settings.renew_interval(workers);
    expect_that!(interval(0), eq(settings.renew_ms));
    expect_that!(interval(10), eq(settings.renew_ms));
    expect_that!(interval(50), eq(Millis(5_000)));
    expect_that!(interval(10_000), eq(settings.renew_most_ms));
}

#[googletest::test]
fn lead_of_many_workers_renews_at_a_long_interval() {
    let (mut site, lead) = site_at_interval(1, Millis(12_000));
    let renewals = |site: &Site| site.entries[lead].lead.worker_calls().get("renew");
    let before = renewals(&site);
    site.run(120_000);
    let made = renewals(&site) - before;
    // Each worker is renewed ten times, and some more often because of the jitter.
    expect_that!(made, ge(240));
    expect_that!(made, le(280));
    expect_that!(site.leads.len(), eq(1));
}

#[googletest::test]
fn end_of_a_young_run_is_reported_before_the_interval() {
    for seed in 2..8 {
        let (mut site, _) = site_at_interval(seed, Millis(12_000));
        site.jobs[1].count = 21;
        let start = site.now;
        site.run_until(12_000, Site::is_complete);
        expect_that!(site.now - start, le(1_500 + 2_500), "seed {seed}");
    }
}

#[googletest::test]
fn lease_of_an_earlier_longer_interval_is_waited_out() {
    for seed in 10..14 {
        let (mut site, _) = site_at_interval(seed, Millis(20_000));
        cut_off_when_fresh(&mut site);
        // Many of the workers leave, so that the interval becomes shorter.
        for worker in 14..WORKERS {
            site.dead_workers.insert(worker);
            site.vms[worker].state = vm::State::Gone;
        }
        site.run(SETTLE);
        let lead = site.leader().expect("somebody leads");
        let record = site.entries[lead].lead.record();
        expect_that!(record.renew_ms, eq(Millis(14_000)));
        expect_that!(record.longest_ms, eq(Millis(20_000)));
        check_end(&mut site);
    }
}

#[googletest::test]
fn lead_killed_at_a_long_interval_is_replaced() {
    let (mut site, lead) = site_at_interval(20, Millis(12_000));
    site.kill(lead);
    let taken = site.run_until(5_000, |site| site.leader().is_some());
    expect_that!(taken, eq(true));
    check_end(&mut site);
}

#[googletest::test]
fn lead_killed_at_a_long_interval_with_the_store_down_is_replaced_after_it() {
    for seed in 21..24 {
        let (mut site, lead) = site_at_interval(seed, Millis(12_000));
        site.store_faults = FaultRates::AWAY;
        site.run(2_000);
        site.kill(lead);
        let taken = site.run_until(12_000 + 5_000, |site| site.leader().is_some());
        expect_that!(taken, eq(true), "seed {seed}");
        check_end(&mut site);
    }
}

#[googletest::test]
fn worker_of_a_dead_lead_keeps_its_tasks_until_the_long_lease_has_lapsed() {
    for seed in 30..34 {
        let (mut site, lead) = site_at_interval(seed, Millis(20_000));
        cut_off_when_fresh(&mut site);
        site.kill(lead);
        site.run(SETTLE);
        check_end(&mut site);
    }
}

#[googletest::test]
fn rival_that_does_not_hear_a_lead_sees_its_renewals() {
    for seed in 40..44 {
        let (mut site, lead) = site_at_interval(seed, Millis(12_000));
        site.store_faults = FaultRates::AWAY;
        for other in (0..3).filter(|other| *other != lead) {
            site.cut_entries.insert((lead, other));
            site.cut_entries.insert((other, lead));
        }
        let taken = site.leads.len();
        site.run(60_000);
        expect_that!(site.leads.len(), eq(taken), "seed {seed}");
        site.cut_entries.clear();
        check_end(&mut site);
    }
}
