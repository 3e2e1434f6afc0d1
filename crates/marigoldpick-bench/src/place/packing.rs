//! Packing and decision time: tasks come until the first one no longer fits.

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

use super::work::{FIRMS, Firm};

/// `Row` is one policy's result on one firm's work.
#[derive(Debug, Serialize)]
pub struct Row {
    firm: &'static str,
    policy: &'static str,
    /// Tasks that were placed before the first one that did not fit.
    tasks: u32,
    /// Tasks that would fit if the whole fleet were one worker that can be cut at will.
    bound: u32,
    /// Tasks that an order known ahead was found to place, where that was searched for.
    reachable: Option<u32>,
    /// `tasks` in hundredths of `bound`.
    of_bound_percent: f64,
    processors_percent: f64,
    memory_percent: f64,
    accelerators_percent: f64,
    decision_p50_us: f64,
    decision_p99_us: f64,
    decisions_per_second: f64,
}

/// Measures every policy on every firm's work.
pub fn measure(workers: u32, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for firm in &FIRMS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fleet = firm.fleet(workers, &mut rng);
        let jobs = sequence(firm, &fleet, &mut rng);
        let placed =
            |order: &[Job]| fill::<LeastStranded>("marigoldpick", firm, &fleet, order, seed).tasks;
        let reachable = (fleet.len() <= offline::MOST_WORKERS)
            .then(|| offline::reachable(&total(&fleet), &jobs, seed, placed));
        let mut filled = vec![
            fill::<FirstFit>("first-fit", firm, &fleet, &jobs, seed),
            fill::<BestFit>("best-fit", firm, &fleet, &jobs, seed),
            fill::<RandomTwo>("random-two", firm, &fleet, &jobs, seed),
            fill::<DotProduct>("dot-product", firm, &fleet, &jobs, seed),
            fill::<LeastStranded>("marigoldpick", firm, &fleet, &jobs, seed),
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

/// Draws jobs until their sum passes the fleet's.
fn sequence(firm: &Firm, fleet: &[vm::Worker], rng: &mut ChaCha8Rng) -> Vec<Job> {
    let mut left = total(fleet);
    let mut jobs = Vec::new();
    loop {
        let n = u32::try_from(jobs.len()).expect("fewer than 2^32 jobs");
        let job = firm.job(n, rng);
        if !left.holds(&job.needs) {
            return jobs;
        }
        left.subtract(&job.needs);
        jobs.push(job);
    }
}

fn total(fleet: &[vm::Worker]) -> Amount {
    let mut sum = Amount::default();
    fleet.iter().for_each(|worker| sum.add(&worker.size));
    sum
}

fn fill<P: Policy>(
    policy: &'static str,
    firm: &Firm,
    fleet: &[vm::Worker],
    jobs: &[Job],
    seed: u64,
) -> Row {
    let mut scheduler = scheduler::<P>(fleet, seed);
    let mut used = Amount::default();
    let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut out = Vec::new();
    let mut tasks = 0;
    let whole = Instant::now();
    for job in jobs {
        let event = event(job);
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
    let seconds = whole.elapsed().as_secs_f64();
    let total = total(fleet);
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
        accelerators_percent: percent(accelerators(&used), accelerators(&total)),
        decision_p50_us: micros(times.value_at_quantile(0.5)),
        decision_p99_us: micros(times.value_at_quantile(0.99)),
        decisions_per_second: f64::from(tasks) / seconds,
    }
}

fn scheduler<P: Policy>(fleet: &[vm::Worker], seed: u64) -> Scheduler<P> {
    let settings = Settings {
        max_unproven_runs: u32::MAX,
        learn: false,
        ..Settings::default()
    };
    let shard = id::Shard(Name::new("a0").expect("a name"));
    let mut scheduler = Scheduler::with_policy(shard, settings, seed);
    let mut out = Vec::new();
    for worker in fleet {
        let up = Event::WorkerUp {
            worker: worker.clone(),
            running: Vec::new(),
        };
        scheduler.handle(up, Millis(1), &mut out);
    }
    scheduler
}

/// Makes the event of a job that is whole and new.
pub fn event(job: &Job) -> Event {
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

/// Returns the count of accelerators of all kinds.
pub fn accelerators(amount: &Amount) -> u64 {
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
