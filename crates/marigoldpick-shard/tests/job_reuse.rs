//! Jobs that end while no entry leads, and job names that are reused.

mod support;

use googletest::prelude::*;
use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use support::FaultRates;
use support::site::Site;
use support::site::job::{Job, job};

const COUNT: u32 = 20;

fn maps(accepted: u64) -> Job {
    Job {
        accepted,
        ..job("maps", COUNT, Class::Batch, true, Some(1_500))
    }
}

/// Returns a site whose lead has died after all tasks of its job were recorded as completed.
fn left_without_a_lead(seed: u64) -> Site {
    let mut site = Site::new(seed, 3, 6, vec![maps(1)]);
    assert!(site.run_until(30_000, Site::is_complete), "seed {seed}");
    let lead = site.leader().expect("somebody leads");
    site.kill(lead);
    site
}

fn recorded(site: &Site) -> Option<(u64, u32)> {
    let lead = site.leader()?;
    let record = site.entries[lead].lead.record();
    let progress = record.progress(&id::Job::new("maps").expect("a name"))?;
    Some((progress.accepted, progress.completed.len()))
}

#[googletest::test]
fn job_that_ended_while_nobody_led_is_pruned() {
    for seed in 400..406 {
        let mut site = left_without_a_lead(seed);
        expect_that!(recorded(&site), none());
        site.jobs.clear();
        site.sequence = 2;
        let led = site.run_until(20_000, |site| site.leader().is_some());
        expect_that!(led, eq(true), "seed {seed}");
        let pruned = site.run_until(5_000, |site| recorded(site).is_none());
        expect_that!(pruned, eq(true), "seed {seed}: {:?}", recorded(&site));
    }
}

#[googletest::test]
fn job_that_the_configuration_does_not_have_yet_is_not_pruned() {
    for seed in 410..414 {
        let mut site = left_without_a_lead(seed);
        // The next lead's configuration is older than the job.
        site.jobs.clear();
        site.sequence = 0;
        let led = site.run_until(20_000, |site| site.leader().is_some());
        expect_that!(led, eq(true), "seed {seed}");
        site.run(5_000);
        expect_that!(recorded(&site), some(eq((1, COUNT))), "seed {seed}");
    }
}

#[googletest::test]
fn name_reused_while_nobody_led_runs_all_tasks() {
    for seed in 420..426 {
        let mut site = left_without_a_lead(seed);
        let before = site.starts.len();
        // Workers may still report ended runs of the earlier job.
        site.worker_faults = FaultRates {
            answer_lost: 200,
            ..FaultRates::default()
        };
        site.jobs = vec![maps(3)];
        site.sequence = 3;
        let done = site.run_until(90_000, |site| recorded(site) == Some((3, COUNT)));
        expect_that!(done, eq(true), "seed {seed}: {:?}", recorded(&site));
        let starts = site.starts.len() - before;
        expect_that!(starts, ge(COUNT as usize), "seed {seed}");
    }
}

#[googletest::test]
fn name_reused_under_one_lead_runs_all_tasks() {
    for seed in 430..436 {
        let mut site = Site::new(seed, 3, 6, vec![maps(1)]);
        assert!(site.run_until(30_000, Site::is_complete), "seed {seed}");
        let before = site.starts.len();
        site.jobs = vec![maps(3)];
        site.sequence = 3;
        site.forget_ends();
        let done = site.run_until(30_000, |site| recorded(site) == Some((3, COUNT)));
        expect_that!(done, eq(true), "seed {seed}: {:?}", recorded(&site));
        let starts = site.starts.len() - before;
        expect_that!(starts, ge(COUNT as usize), "seed {seed}");
    }
}
