//! The scheduler's costs by fleet size: a wave of identical tasks, decisions under full load, memory.

use std::time::Instant;

use hdrhistogram::Histogram;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Outcome, Spec};
use marigoldpick_place::{Action, Event, Scheduler, Settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::packing::new_job_event;
use super::workload::CYD_ROBOTAU;

/// The number of identical tasks in the wave.
const WAVE_TASKS: u32 = 20_000;
/// The number of running tasks under full load, for each 7,400 workers.
const TARGET_RUNNING: u32 = 35_000;
/// The number of workers at the target size.
const TARGET_WORKERS: u32 = 7_400;
/// The number of runs that end and are replaced one by one under full load.
const TURNOVERS: usize = 20_000;
/// The size of a page, in which the operating system counts resident memory, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// `Row` is the result at one fleet size.
#[derive(Debug, Serialize)]
pub struct Row {
    workers: u32,
    running: u32,
    like_tasks_per_second: f64,
    cancel_wave_ms: f64,
    /// The time for the end of a run and the start of another in its place.
    turnover_p50_us: f64,
    turnover_p99_us: f64,
    tick_p50_us: f64,
    tick_p99_us: f64,
    bytes_per_worker: u64,
    bytes_per_task: u64,
}

/// Measures one fleet size.
pub fn measure(workers: u32, seed: u64) -> Row {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = CYD_ROBOTAU.fleet(workers, &mut rng);
    let settings = Settings {
        max_unproven_runs: u32::MAX,
        ..Settings::default()
    };
    let shard = id::Shard(Name::new("a0").expect("a name"));
    let empty = resident_bytes();
    let mut scheduler = Scheduler::new(shard, settings, seed);
    let mut out = Vec::new();
    for worker in &fleet {
        let worker_up = Event::WorkerUp {
            worker: worker.clone(),
            running: Vec::new(),
        };
        scheduler.handle(worker_up, Millis(1), &mut out);
    }
    let with_workers = resident_bytes();
    let (like_tasks_per_second, cancel_wave_ms) = measure_wave(&mut scheduler, workers);
    let before = resident_bytes();
    let running = u32::try_from(u64::from(TARGET_RUNNING) * u64::from(workers) / 7_400)
        .unwrap_or(TARGET_RUNNING);
    let live = fill_fleet(&mut scheduler, running, &mut rng);
    let loaded = resident_bytes();
    let (turnover, ticks) = measure_turnover(&mut scheduler, live, &mut rng);
    let micros =
        |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Row {
        workers,
        running,
        like_tasks_per_second,
        cancel_wave_ms,
        turnover_p50_us: micros(&turnover, 0.5),
        turnover_p99_us: micros(&turnover, 0.99),
        tick_p50_us: micros(&ticks, 0.5),
        tick_p99_us: micros(&ticks, 0.99),
        bytes_per_worker: with_workers.saturating_sub(empty) / u64::from(workers),
        bytes_per_task: loaded.saturating_sub(before) / u64::from(running.max(1)),
    }
}

/// Prints the row.
pub fn print(row: &Row) {
    println!(
        "{} workers (target {TARGET_WORKERS}), {} running: {:.0} like tasks/s, cancel wave {:.1} ms, \
         turnover p50 {:.1} us p99 {:.1} us, tick p50 {:.1} us p99 {:.1} us, \
         {} B/worker, {} B/task",
        row.workers,
        row.running,
        row.like_tasks_per_second,
        row.cancel_wave_ms,
        row.turnover_p50_us,
        row.turnover_p99_us,
        row.tick_p50_us,
        row.tick_p99_us,
        row.bytes_per_worker,
        row.bytes_per_task,
    );
}

/// Starts a wave of identical tasks and cancels it.
///
/// Returns the tasks started per second and the milliseconds for the cancellation.
fn measure_wave(scheduler: &mut Scheduler, workers: u32) -> (f64, f64) {
    let mut job = CYD_ROBOTAU.build_job(&CYD_ROBOTAU.templates[1], 0);
    job.count = WAVE_TASKS.min(workers * 60);
    let mut out = Vec::new();
    let start = Instant::now();
    scheduler.handle(new_job_event(&job), Millis(2), &mut out);
    let seconds = start.elapsed().as_secs_f64();
    let starts: Vec<(id::Worker, Spec)> = out.drain(..).filter_map(started_task).collect();
    let rate = starts.len() as f64 / seconds;
    let start = Instant::now();
    let jobs = vec![job.name.clone()];
    scheduler.handle(Event::Cancel { jobs }, Millis(3), &mut out);
    let cancel = start.elapsed().as_secs_f64() * 1e3;
    for (worker, spec) in starts {
        let ended = finished_event(worker, spec, Outcome::Stopped);
        scheduler.handle(ended, Millis(4), &mut out);
    }
    (rate, cancel)
}

/// Starts jobs of a few tasks each until `running` tasks run.
fn fill_fleet(
    scheduler: &mut Scheduler,
    running: u32,
    rng: &mut ChaCha8Rng,
) -> Vec<(id::Worker, Spec)> {
    let mut live = Vec::new();
    let mut out = Vec::new();
    let mut n = 1;
    while live.len() < running as usize {
        let mut job = CYD_ROBOTAU.draw_job(n, rng);
        n += 1;
        job.count = rng.random_range(1..=10);
        scheduler.handle(new_job_event(&job), Millis(5), &mut out);
        live.extend(out.drain(..).filter_map(started_task));
    }
    live
}

/// Ends runs one by one and lets a new job take the place of each.
///
/// Returns the times of these replacements and of ticks, in nanoseconds.
fn measure_turnover(
    scheduler: &mut Scheduler,
    mut live: Vec<(id::Worker, Spec)>,
    rng: &mut ChaCha8Rng,
) -> (Histogram<u64>, Histogram<u64>) {
    let mut turnover = Histogram::new(3).expect("three digits are allowed");
    let mut ticks = Histogram::new(3).expect("three digits are allowed");
    let mut out = Vec::new();
    for n in 0..TURNOVERS {
        let at = rng.random_range(0..live.len());
        let (worker, spec) = live.swap_remove(at);
        let job = CYD_ROBOTAU.draw_job(1_000_000 + n as u32, rng);
        let now = Millis(10 + n as u64);
        let (ended, arrived) = (
            finished_event(worker, spec, Outcome::Done),
            new_job_event(&job),
        );
        let start = Instant::now();
        scheduler.handle(ended, now, &mut out);
        scheduler.handle(arrived, now, &mut out);
        record_elapsed(&mut turnover, start);
        live.extend(out.drain(..).filter_map(started_task));
        if n % 100 == 0 {
            let start = Instant::now();
            scheduler.handle(Event::Tick, now, &mut out);
            record_elapsed(&mut ticks, start);
        }
    }
    (turnover, ticks)
}

fn record_elapsed(histogram: &mut Histogram<u64>, start: Instant) {
    let nanos = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
    histogram.record(nanos).expect("the histogram grows");
}

/// Returns the worker and the task of a start action.
fn started_task(action: Action) -> Option<(id::Worker, Spec)> {
    match action {
        Action::Start { worker, spec } => Some((worker, spec)),
        _ => None,
    }
}

fn finished_event(worker: id::Worker, spec: Spec, outcome: Outcome) -> Event {
    Event::Finished {
        run: spec.run,
        worker,
        outcome,
        age: Millis(1_000),
        usage: Some(spec.needs),
    }
}

/// Returns the process's resident memory in bytes, or zero where the system does not report it.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0u64) * PAGE_BYTES
}
