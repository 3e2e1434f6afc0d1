//! Seeded arrivals of services, batch jobs, gangs and urgent jobs for a fleet.

use marigoldpick_core::intent::{Class, Displace, Job, Priority, Yield};
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_place::Settings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::replay::{Arrival, Scenario, scaled};
use super::workload::Firm;

/// The virtual duration of a replay.
const SPAN: Millis = Millis::from_secs(600);
/// The virtual duration of a replay on a large fleet.
const SHORT_SPAN: Millis = Millis::from_secs(120);
/// The number of workers from which a fleet counts as large.
pub const LARGE_FLEET: usize = 2_000;
/// The mean run time of a batch task, in seconds.
const RUN_SECONDS: f64 = 60.0;
/// The offered load, as a multiple of the load that the fleet can run at once.
const LOAD: f64 = 1.15;
/// The factor on the usual load that keeps a fleet full until the end.
const FULL_LOAD_FACTOR: f64 = 2.0;
/// The factor on the usual load for jobs whose real size is a fourth of the declared one.
const SIZES_LOAD_FACTOR: f64 = 4.0;
/// The batch load that arrives at the start, as a multiple of the load that the fleet can run at once.
const INITIAL_BATCH: f64 = 1.25;
/// The largest fraction of the processors that services hold.
const SERVICE_FRACTION: f64 = 0.25;
/// The largest number of tasks of a job.
const MAX_TASKS: u32 = 20;

/// Returns the real size of a job's tasks, in thousandths of the declared size.
pub type RealSize = fn(&Job) -> u64;

/// Builds a scenario of services and more batch than the fleet can run, with gangs and urgent jobs.
pub fn mixed_scenario(firm: &Firm, workers: u32, seed: u64, real: RealSize) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = firm.fleet(workers, &mut rng);
    let mut arrivals = draw_batch(firm, &fleet, LOAD, real, &mut rng);
    let per_minute = f64::from(workers) / 5.0;
    let span = span(&fleet);
    add_urgent(firm, per_minute, span, &mut arrivals, &mut rng);
    add_gangs(firm, per_minute / 10.0, span, &mut arrivals, &mut rng);
    build_scenario(fleet, arrivals)
}

/// Builds a scenario of batch that keeps the fleet full until the end, with urgent jobs.
pub fn full_scenario(firm: &Firm, workers: u32, seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = firm.fleet(workers, &mut rng);
    let mut arrivals = draw_batch(firm, &fleet, LOAD * FULL_LOAD_FACTOR, |_| 1_000, &mut rng);
    let per_minute = f64::from(workers) / 5.0;
    add_urgent(firm, per_minute, span(&fleet), &mut arrivals, &mut rng);
    build_scenario(fleet, arrivals)
}

/// Builds a scenario without gangs and urgent jobs whose load far exceeds what the fleet can run.
pub fn sizes_scenario(firm: &Firm, workers: u32, seed: u64, real: RealSize) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = firm.fleet(workers, &mut rng);
    let arrivals = draw_batch(firm, &fleet, LOAD * SIZES_LOAD_FACTOR, real, &mut rng);
    build_scenario(fleet, arrivals)
}

/// Changes the declared size of each job to its real size.
pub fn declare_real_sizes(mut scenario: Scenario) -> Scenario {
    for arrival in &mut scenario.arrivals {
        let real = scaled(&arrival.job.needs, arrival.real_permille);
        arrival.job.needs.millicores = real.millicores;
        arrival.job.needs.memory_mib = real.memory_mib;
        arrival.real_permille = 1_000;
    }
    scenario
}

fn build_scenario(fleet: Vec<vm::Worker>, mut arrivals: Vec<Arrival>) -> Scenario {
    arrivals.sort_by_key(|arrival| arrival.at);
    Scenario {
        end: span(&fleet),
        fleet,
        arrivals,
        black_hole: None,
        settings: Settings::default(),
        objective: None,
    }
}

/// Draws services and batch jobs until their work reaches `load`.
fn draw_batch(
    firm: &Firm,
    fleet: &[vm::Worker],
    load: f64,
    real: RealSize,
    rng: &mut ChaCha8Rng,
) -> Vec<Arrival> {
    let span = span(fleet);
    let cores: u64 = fleet.iter().map(|worker| worker.size.millicores).sum();
    let offered = cores as f64 * load * span.0 as f64 / (RUN_SECONDS * 1e3);
    let mut arrivals = Vec::new();
    let mut sum = 0.0;
    let mut services_held = 0.0;
    let at_start = (INITIAL_BATCH * RUN_SECONDS * 1e3 / (load * span.0 as f64)).min(1.0);
    while sum < offered {
        let n = u32::try_from(arrivals.len()).expect("fewer than 2^32 jobs");
        let mut job = firm.draw_job(n, rng);
        job.count = rng.random_range(1..=MAX_TASKS);
        let is_service = job.class == Class::Service;
        let run = draw_run_time(rng);
        let held = (job.needs.millicores * u64::from(job.count)) as f64;
        if is_service && services_held + held > cores as f64 * SERVICE_FRACTION {
            continue;
        }
        if is_service {
            services_held += held;
            sum += held * span.0 as f64 / (RUN_SECONDS * 1e3);
        } else {
            job.yields = Yield::Checkpoint;
            let estimate_error = 4f64.powf(rng.random_range(-1.0..1.0));
            job.run_ms = Some(Millis((run.0 as f64 * estimate_error) as u64 + 1));
            sum += held * run.0 as f64 / (RUN_SECONDS * 1e3);
        }
        // Services and enough batch to fill the fleet arrive at the start.
        let at = if is_service || rng.random_bool(at_start) {
            0
        } else {
            rng.random_range(0..span.0)
        };
        arrivals.push(Arrival {
            at: Millis(at),
            run,
            real_permille: if is_service {
                1_000
            } else {
                real(&job).min(largest_permille(firm, &job))
            },
            job,
        });
    }
    arrivals
}

/// Returns the largest real size that fits the usual worker, in thousandths of the declared size.
fn largest_permille(firm: &Firm, job: &Job) -> u64 {
    let machine = &firm.machines[0];
    let cores = machine.cores * 1_000 * 900 / job.needs.millicores;
    let memory = machine.memory_gb * 1_024 * 900 / job.needs.memory_mib;
    cores.min(memory)
}

/// Returns the virtual duration of a replay with a fleet.
const fn span(fleet: &[vm::Worker]) -> Millis {
    if fleet.len() < LARGE_FLEET {
        SPAN
    } else {
        SHORT_SPAN
    }
}

/// Draws a run time with an exponential distribution.
fn draw_run_time(rng: &mut ChaCha8Rng) -> Millis {
    let uniform: f64 = rng.random_range(1e-3..1.0);
    Millis((-uniform.ln() * RUN_SECONDS * 1e3) as u64 + 100)
}

/// Adds urgent jobs at random times.
fn add_urgent(
    firm: &Firm,
    per_minute: f64,
    span: Millis,
    arrivals: &mut Vec<Arrival>,
    rng: &mut ChaCha8Rng,
) {
    let count = (per_minute * span.0 as f64 / 6e4) as u32;
    for n in 0..count {
        let mut job = firm.build_job(&firm.templates[1], n);
        job.name = id::Job(Name::new(&format!("urgent-{n}")).expect("a name"));
        job.class = Class::Batch;
        job.priority = Priority::Urgent;
        job.needs = Amount::new(4_000, 8_192);
        job.displace = Displace {
            classes: vec![Class::Batch],
            how: Yield::Checkpoint,
            tasks: 8,
        };
        arrivals.push(draw_arrival(job, Millis::from_secs(10), span, rng));
    }
}

/// Adds gangs at random times.
fn add_gangs(
    firm: &Firm,
    per_minute: f64,
    span: Millis,
    arrivals: &mut Vec<Arrival>,
    rng: &mut ChaCha8Rng,
) {
    let count = (per_minute * span.0 as f64 / 6e4).max(2.0) as u32;
    for n in 0..count {
        let mut job = firm.build_job(&firm.templates[1], n);
        job.name = id::Job(Name::new(&format!("gang-{n}")).expect("a name"));
        job.class = Class::Gang;
        job.priority = Priority::High;
        job.needs = Amount::new(8_000, 16_384);
        job.count = rng.random_range(4..=24);
        arrivals.push(draw_arrival(job, Millis::from_secs(30), span, rng));
    }
}

/// Draws the time of arrival of a job.
fn draw_arrival(job: Job, run: Millis, span: Millis, rng: &mut ChaCha8Rng) -> Arrival {
    Arrival {
        at: Millis(rng.random_range(span.0 / 6..span.0 * 9 / 10)),
        job,
        run,
        real_permille: 1_000,
    }
}
