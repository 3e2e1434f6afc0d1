//! Packing and decision time: tasks arrive until the first one no longer fits.

mod offline;

use std::time::Instant;

use hdrhistogram::Histogram;
use marigoldpick_core::intent::Job;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_place::event::Span;
use marigoldpick_place::score::{BestFit, DotProduct, FirstFit, LeastStranded, Policy, RandomTwo};
use marigoldpick_place::{Action, Event, Scheduler, Settings};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::workload::{FIRMS, Firm};

/// `Row` is one policy's result on one firm's workload.
#[derive(Debug, Serialize)]
pub struct Row {
    firm: &'static str,
    policy: &'static str,
    /// Tasks placed before the first one that did not fit.
    tasks: u32,
    /// Tasks that would fit if the whole fleet were one divisible worker.
    bound: u32,
    /// Tasks that the best order found by the offline search places; none for fleets too large to search.
    reachable: Option<u32>,
    /// `tasks` as a percentage of `bound`.
    of_bound_percent: f64,
    processors_percent: f64,
    memory_percent: f64,
    accelerators_percent: f64,
    decision_p50_us: f64,
    decision_p99_us: f64,
    decisions_per_second: f64,
}

/// Measures each policy on each firm's workload.
pub fn measure(workers: u32, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for firm in &FIRMS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fleet = firm.fleet(workers, &mut rng);
        let jobs = draw_jobs(firm, &fleet, &mut rng);
        let placed = |order: &[Job]| {
            fill_fleet::<LeastStranded>("marigoldpick", firm, &fleet, order, seed).tasks
        };
        let reachable = (fleet.len() <= offline::MAX_WORKERS)
            .then(|| offline::find_reachable(&total_size(&fleet), &jobs, seed, placed));
        let mut filled = vec![
            fill_fleet::<FirstFit>("first-fit", firm, &fleet, &jobs, seed),
            fill_fleet::<BestFit>("best-fit", firm, &fleet, &jobs, seed),
            fill_fleet::<RandomTwo>("random-two", firm, &fleet, &jobs, seed),
            fill_fleet::<DotProduct>("dot-product", firm, &fleet, &jobs, seed),
            fill_fleet::<LeastStranded>("marigoldpick", firm, &fleet, &jobs, seed),
        ];
        filled.iter_mut().for_each(|row| row.reachable = reachable);
        rows.append(&mut filled);
    }
    rows
}

/// Prints the rows as a table.
pub fn print(rows: &[Row]) {
    for row in rows {
        println!(
            "{:12} {:13} {:7} tasks {:6.2}% of bound (an order known ahead {:6.2}%), cpu {:5.1}% mem {:5.1}% acc {:5.1}%, \
             p50 {:7.1} us p99 {:7.1} us, {:9.0}/s",
            row.firm,
            row.policy,
            row.tasks,
            row.of_bound_percent,
            row.reachable
                .map_or(f64::NAN, |tasks| percent(tasks.into(), row.bound.into())),
            row.processors_percent,
            row.memory_percent,
            row.accelerators_percent,
            row.decision_p50_us,
            row.decision_p99_us,
            row.decisions_per_second,
        );
    }
}

/// Draws jobs until their sum exceeds the fleet's size.
fn draw_jobs(firm: &Firm, fleet: &[vm::Worker], rng: &mut ChaCha8Rng) -> Vec<Job> {
    let mut left = total_size(fleet);
    let mut jobs = Vec::new();
    loop {
        let n = u32::try_from(jobs.len()).expect("fewer than 2^32 jobs");
        let job = firm.draw_job(n, rng);
        if !left.holds(&job.needs) {
            return jobs;
        }
        left.subtract(&job.needs);
        jobs.push(job);
    }
}

/// Returns the summed size of all workers.
fn total_size(fleet: &[vm::Worker]) -> Amount {
    let mut sum = Amount::default();
    fleet.iter().for_each(|worker| sum.add(&worker.size));
    sum
}

/// Places jobs with a policy until the first one that does not fit.
fn fill_fleet<P: Policy>(
    policy: &'static str,
    firm: &Firm,
    fleet: &[vm::Worker],
    jobs: &[Job],
    seed: u64,
) -> Row {
    let mut scheduler = new_scheduler::<P>(fleet, seed);
    let mut used = Amount::default();
    let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut out = Vec::new();
    let mut tasks = 0;
    let fill_start = Instant::now();
    for job in jobs {
        let event = new_job_event(job);
        let start = Instant::now();
        scheduler.handle(event, Millis(1), &mut out);
        let nanos = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        times.record(nanos).expect("the histogram grows");
        let placed = out.iter().any(|a| matches!(a, Action::Start { .. }));
        out.clear();
        if !placed {
            break;
        }
        used.add(&job.needs);
        tasks += 1;
    }
    let seconds = fill_start.elapsed().as_secs_f64();
    let total = total_size(fleet);
    let bound = u32::try_from(jobs.len()).expect("fewer than 2^32 jobs");
    Row {
        firm: firm.name,
        policy,
        tasks,
        bound,
        reachable: None,
        of_bound_percent: percent(u64::from(tasks), u64::from(bound)),
        processors_percent: percent(used.millicores, total.millicores),
        memory_percent: percent(used.memory_mib, total.memory_mib),
        accelerators_percent: percent(count_accelerators(&used), count_accelerators(&total)),
        decision_p50_us: micros(times.value_at_quantile(0.5)),
        decision_p99_us: micros(times.value_at_quantile(0.99)),
        decisions_per_second: f64::from(tasks) / seconds,
    }
}

/// Returns a scheduler with empty workers that trusts declared sizes.
fn new_scheduler<P: Policy>(fleet: &[vm::Worker], seed: u64) -> Scheduler<P> {
    let settings = Settings {
        max_unproven_runs: u32::MAX,
        learn: false,
        ..Settings::default()
    };
    let shard = id::Shard(Name::new("a0").expect("a name"));
    let mut scheduler = Scheduler::with_policy(shard, settings, seed);
    let mut out = Vec::new();
    for worker in fleet {
        let worker_up = Event::WorkerUp {
            worker: worker.clone(),
            running: Vec::new(),
        };
        scheduler.handle(worker_up, Millis(1), &mut out);
    }
    scheduler
}

/// Returns the event of a new job of which no task has started.
pub fn new_job_event(job: &Job) -> Event {
    Event::Job {
        job: Box::new(job.clone()),
        span: Span {
            from: 0,
            to: job.count,
        },
        displaced: Vec::new(),
        done: Vec::new(),
        failed: Vec::new(),
        fresh: true,
    }
}

/// Returns the number of accelerators of all kinds.
pub fn count_accelerators(amount: &Amount) -> u64 {
    amount.accelerators.iter().map(|a| u64::from(a.count)).sum()
}

fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    100.0 * part as f64 / whole as f64
}

fn micros(nanos: u64) -> f64 {
    nanos as f64 / 1e3
}
