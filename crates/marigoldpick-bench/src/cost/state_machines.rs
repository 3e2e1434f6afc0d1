//! The cost of the state machines alone, without I/O.

use std::hint::black_box;
use std::time::Instant;

use marigoldpick_core::config::{Change, Entry, State};
use marigoldpick_core::intent::Intent;
use marigoldpick_core::plan::{Home, Part, Plan};
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_place::event::{Event, Span};
use marigoldpick_place::scheduler::Scheduler;
use marigoldpick_place::settings::Settings;

use super::sites::job_intent;
use super::slope::{Point, Slope};

/// Numbers of workers for the measurements of the scheduler.
const WORKERS: [u32; 4] = [500, 1_850, 3_700, 7_400];
/// Numbers of tasks for the measurements of the scheduler.
const TASKS: [u32; 4] = [4_000, 9_000, 18_000, 35_000];
/// Numbers of accepted jobs for the measurements of the configuration.
const JOBS: [u32; 4] = [500, 2_000, 8_000, 16_000];

/// Measures all state machines.
///
/// Measured objects are never freed, so that the memory of the next size is newly allocated.
pub(crate) fn measure(seed: u64) -> Vec<Slope> {
    let mut slopes = scheduler_by_workers(seed);
    slopes.extend(scheduler_by_tasks(seed));
    slopes.extend(config_by_jobs());
    slopes
}

fn scheduler_by_workers(seed: u64) -> Vec<Slope> {
    let mut memory_kib = Vec::new();
    let mut time_us = Vec::new();
    for workers in WORKERS {
        let before = resident_kib();
        let start = Instant::now();
        let scheduler = new_scheduler(workers, seed);
        time_us.push(point(workers, start.elapsed().as_secs_f64() * 1e6));
        memory_kib.push(point(workers, resident_kib() - before));
        std::mem::forget(black_box(scheduler));
    }
    vec![
        Slope::fit("scheduler.memory", "KiB", "worker", memory_kib),
        Slope::fit("scheduler.adopt", "us", "worker", time_us),
    ]
}

fn scheduler_by_tasks(seed: u64) -> Vec<Slope> {
    let mut memory_kib = Vec::new();
    let mut time_us = Vec::new();
    for tasks in TASKS {
        let mut scheduler = new_scheduler(7_400, seed);
        let before = resident_kib();
        let mut out = Vec::new();
        let job = Intent::parse("bench", &job_intent("wave", "batch", tasks, ""))
            .expect("the intent is well formed")
            .job
            .remove(0);
        let start = Instant::now();
        let event = Event::Job {
            job: Box::new(job),
            span: Span { from: 0, to: tasks },
            displaced: Vec::new(),
            done: Vec::new(),
            failed: Vec::new(),
            fresh: true,
        };
        scheduler.handle(event, Millis(1_000), &mut out);
        time_us.push(point(tasks, start.elapsed().as_secs_f64() * 1e6));
        drop(out);
        memory_kib.push(point(tasks, resident_kib() - before));
        std::mem::forget(black_box(scheduler));
    }
    vec![
        Slope::fit("scheduler.memory", "KiB", "task", memory_kib),
        Slope::fit("scheduler.start", "us", "task", time_us),
    ]
}

fn config_by_jobs() -> Vec<Slope> {
    let mut memory_kib = Vec::new();
    let mut time_us = Vec::new();
    let mut bytes = Vec::new();
    for jobs in JOBS {
        let mut state = State::default();
        let entries: Vec<Entry> = (0..jobs).map(confirmation).collect();
        let encoded_bytes: usize = entries
            .iter()
            .map(|e| serde_json::to_vec(e).unwrap_or_default().len())
            .sum();
        bytes.push(point(jobs, encoded_bytes as f64));
        let before = resident_kib();
        let start = Instant::now();
        for entry in &entries {
            assert!(state.apply(entry), "the entries are dense");
        }
        time_us.push(point(jobs, start.elapsed().as_secs_f64() * 1e6));
        memory_kib.push(point(jobs, resident_kib() - before));
        std::mem::forget(entries);
        std::mem::forget(black_box(state));
    }
    vec![
        Slope::fit("config.memory", "KiB", "job", memory_kib),
        Slope::fit("config.apply", "us", "change", time_us),
        Slope::fit("config.bytes", "B", "change", bytes),
    ]
}

/// Returns the log entry that confirms a job.
fn confirmation(number: u32) -> Entry {
    let text = job_intent(&format!("job-{number}"), "batch", 4, "run");
    let mut intent = Intent::parse("bench", &text).expect("the intent is well formed");
    if number > 0 {
        intent.team.clear();
    }
    let home = Home {
        shard: id::Shard::new("d0/0").expect("a name"),
        from: 0,
        to: 4,
    };
    let part = Part {
        job: intent.job[0].name.clone(),
        homes: vec![home],
        starts: 4,
        waits: 0,
        wait: Millis::ZERO,
        never: None,
    };
    let plan = Plan::new(
        u64::from(number),
        intent,
        vec![part],
        Vec::new(),
        Vec::new(),
    );
    Entry {
        sequence: u64::from(number) + 1,
        writer: "bench".to_owned(),
        changes: vec![Change::Confirm(Box::new(plan))],
    }
}

/// Returns a scheduler with empty workers.
fn new_scheduler(workers: u32, seed: u64) -> Scheduler {
    let shard = id::Shard::new("d0/0").expect("a name");
    let mut scheduler = Scheduler::new(shard, Settings::default(), seed);
    let mut out = Vec::new();
    for number in 0..workers {
        let event = Event::WorkerUp {
            worker: worker(number),
            running: Vec::new(),
        };
        scheduler.handle(event, Millis::ZERO, &mut out);
    }
    scheduler
}

fn worker(number: u32) -> vm::Worker {
    vm::Worker {
        id: id::Worker::new(&format!("r{}/w{}", number / 8, number % 8)).expect("a name"),
        domain: id::Domain::new("d0").expect("a name"),
        rack: id::Rack::new(&format!("r{}", number / 8)).expect("a name"),
        kind: Name::new("general").expect("a name"),
        size: Amount::new(64_000, 131_072),
        address: String::new(),
        state: vm::State::Live,
    }
}

fn point(x: u32, y: f64) -> Point {
    Point { x: f64::from(x), y }
}

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> f64 {
    const PAGE_KIB: f64 = 4.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_KIB
}
