//! Tests that the status adds up the progress that the leads of a job's shards report.

use googletest::prelude::*;
use marigoldpick_core::config::Accepted;
use marigoldpick_core::operator::{Job, Progress, Status};
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Epoch;

/// A job of ten tasks with five in each of two shards; four have ended in a third one.
fn accepted() -> Accepted {
    serde_json::from_value(serde_json::json!({
        "job": {
            "name": "maps", "class": "batch", "team": "night", "count": 14,
            "needs": { "millicores": 500, "memory_mib": 512 },
            "run_ms": 500, "command": "run_ms=500"
        },
        "homes": [
            { "shard": "north-0", "from": 0, "to": 5 },
            { "shard": "south-0", "from": 5, "to": 10 }
        ],
        "displaced": [], "sequence": 3, "cancelled": false, "completed": 4, "failed": 0
    }))
    .expect("an accepted job")
}

fn job(completed: u32) -> Job {
    Job {
        job: id::Job::new("maps").expect("a name"),
        count: 14,
        running: 1,
        waiting: 0,
        completed,
        failed: 0,
        cancelled: false,
    }
}

fn progress(shard: &str, tenure: u64, completed: u32) -> Progress {
    Progress {
        shard: id::Shard::new(shard).expect("a name"),
        epoch: Epoch {
            tenure,
            interim: 0,
            lead: 1,
        },
        jobs: vec![job(completed)],
    }
}

fn status(reports: Vec<Progress>) -> Status {
    let mut status = Status {
        entry: id::Entry::new("e").expect("a name"),
        domain: id::Domain::new("d").expect("a name"),
        draining: false,
        sequence: 3,
        store_age: Millis::ZERO,
        config_old: false,
        shards: Vec::new(),
        jobs: vec![Job {
            running: 0,
            ..job(4)
        }],
        partial: Vec::new(),
        peers: Vec::new(),
        services: Vec::new(),
    };
    status.add(&[accepted()], reports);
    status
}

#[googletest::test]
fn status_add_all_shards_reported() {
    let status = status(vec![progress("south-0", 1, 4), progress("north-0", 1, 3)]);
    expect_that!(status.partial, is_empty());
    expect_that!(status.jobs[0].completed, eq(11));
    expect_that!(status.jobs[0].running, eq(2));
}

#[googletest::test]
fn status_add_shard_without_report_is_partial() {
    let status = status(vec![progress("north-0", 1, 3)]);
    expect_that!(status.partial, elements_are![eq(&job(0).job)]);
    expect_that!(status.jobs[0].completed, eq(7));
}

#[googletest::test]
fn status_add_lead_that_does_not_know_the_job_is_partial() {
    let new = Progress {
        jobs: Vec::new(),
        ..progress("south-0", 2, 0)
    };
    let status = status(vec![progress("north-0", 1, 3), new]);
    expect_that!(status.partial, elements_are![eq(&job(0).job)]);
}

#[googletest::test]
fn status_add_two_leads_of_a_shard_count_the_newest_once() {
    let north = progress("north-0", 1, 3);
    let reports = vec![progress("south-0", 1, 2), progress("south-0", 2, 4), north];
    let status = status(reports);
    expect_that!(status.partial, is_empty());
    expect_that!(status.jobs[0].completed, eq(11));
}

#[googletest::test]
fn status_add_part_that_ended_counts_once() {
    // The configuration holds the third shard's counts, but its lead still reports the job.
    let reports = vec![
        progress("north-0", 1, 5),
        progress("south-0", 1, 5),
        progress("west-0", 1, 4),
    ];
    expect_that!(status(reports).jobs[0].completed, eq(14));
}
