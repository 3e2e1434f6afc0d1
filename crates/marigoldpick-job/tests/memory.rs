//! The memory of a lead stays within that of its machine, whatever numbers the jobs name that it has read.

use std::sync::Arc;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Job, Schedule, Step};
use marigoldpick_job::lead::Origin;
use marigoldpick_job::{Lead, Queue, Settings};

/// The memory of an entry's machine on the smallest deployments, in kibibytes.
const MACHINE_KIB: u64 = 260_000;
/// The time of day at which the lead begins, in milliseconds since 1970.
const WALL: u64 = 1_780_000_000_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn queue() -> Queue {
    Queue {
        name: name("q"),
        service: name("s"),
        priority: 0,
        attempts: 3,
        stretch: 1.5,
        target: Millis(250),
        policy: None,
    }
}

fn job(steps: usize, tasks: u32, schedule: Option<Schedule>) -> Job {
    let step = Step {
        count: tasks,
        needs: Amount::new(500, 100),
        estimate: Millis(100),
        ..Step::default()
    };
    Job {
        queue: name("q"),
        payload: String::new(),
        steps: vec![step; steps],
        schedule,
        accepted: WALL,
        team: None,
    }
}

fn repeated(first: u64, every: u64, times: u32) -> Option<Schedule> {
    Some(Schedule {
        first,
        every: Millis(every),
        times,
    })
}

/// Returns the most memory that the process has had, in kibibytes.
fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).expect("a number")
}

/// Guards against LOST (incident 0012): a lead that exceeded its memory by one repeated job, by the sum of a few hundred
/// ordinary ones, or by jobs of many tasks, and each lead after it.
#[googletest::test]
fn lead_memory_follows_what_runs() {
    let now = Millis(1_000);
    let mut lead = Lead::new(Settings::default(), 10, now);
    lead.set_queues(&[queue()]);
    let hour = 3_600_000;
    let mut jobs = vec![
        job(1, 4, repeated(WALL + hour, 60_000, 525_600)),
        job(1, 4, repeated(0, 60_000, 525_600)),
        job(1, 4, repeated(0, 1, u32::MAX)),
        job(64, 10_000, repeated(0, 1, u32::MAX)),
    ];
    jobs.extend((0..20).map(|_| job(64, 10_000, None)));
    jobs.extend((0..400).map(|_| job(2, 8, repeated(WALL + 1_000, 60_000, 1_000))));
    jobs.extend((0..400).map(|_| job(2, 8, repeated(WALL - hour, 1_000, 1_000))));
    for (number, job) in (0u32..).zip(jobs) {
        let id = id::Job::new(&format!("{number:016x}")).expect("a name");
        lead.accept(id, Arc::new(job), Origin::New, WALL, now);
    }
    for at in (0..2_000).step_by(20) {
        lead.tick(now + Millis(at));
    }
    expect_that!(peak_kib(), lt(MACHINE_KIB));
}
