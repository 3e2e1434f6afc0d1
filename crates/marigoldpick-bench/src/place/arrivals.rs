//! Seeded arrivals: services, batch, gangs and urgent work on a fleet.

use marigoldpick_core::intent::{Class, Displace, Job, Priority, Yield};
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_place::Settings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::replay::{Arrival, Scenario, scaled};
use super::work::Firm;

/// The virtual time of a replay.
const SPAN: Millis = Millis::from_secs(600);
/// The virtual time of a replay on a large fleet.
const SHORT_SPAN: Millis = Millis::from_secs(120);
/// Workers from which on a fleet is large.
pub const LARGE: usize = 2_000;
/// The mean run time of a batch task.
const RUN_SECONDS: f64 = 60.0;
/// Work offered, as a multiple of what the fleet holds at once.
const LOAD: f64 = 1.15;
/// Times the usual load that keeps a fleet full to the end.
const OVERLOAD: f64 = 2.0;
/// Times the usual load where sizes are four times smaller than declared.
const SIZES_OVERLOAD: f64 = 4.0;
/// Batch that is there at the start, as a multiple of what the fleet holds at once.
const FIRST: f64 = 1.25;
/// The part of the processors that services hold.
const SERVICES: f64 = 0.25;
/// Tasks of a batch job at most.
const JOB: u32 = 20;

/// Tells what a task of a job really uses, in thousandths of what it declares.
pub type Real = fn(&Job) -> u64;

/// Services first, then batch above what the fleet holds, with gangs and urgent work between.
pub fn mixed_scenario(firm: &Firm, workers: u32, seed: u64, real: Real) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = firm.fleet(workers, &mut rng);
    let mut arrivals = batch(firm, &fleet, LOAD, real, &mut rng);
    let per_minute = f64::from(workers) / 5.0;
    let span = span(&fleet);
    urgent(firm, per_minute, span, &mut arrivals, &mut rng);
    gangs(firm, per_minute / 10.0, span, &mut arrivals, &mut rng);
    scenario(fleet, arrivals)
}

/// Batch that keeps the fleet full throughout, with urgent work between.
pub fn full_scenario(firm: &Firm, workers: u32, seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = firm.fleet(workers, &mut rng);
    let mut arrivals = batch(firm, &fleet, LOAD * OVERLOAD, |_| 1_000, &mut rng);
    let per_minute = f64::from(workers) / 5.0;
    urgent(firm, per_minute, span(&fleet), &mut arrivals, &mut rng);
    scenario(fleet, arrivals)
}

/// Batch alone, far above what the fleet holds.
pub fn sizes_scenario(firm: &Firm, workers: u32, seed: u64, real: Real) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = firm.fleet(workers, &mut rng);
    let arrivals = batch(firm, &fleet, LOAD * SIZES_OVERLOAD, real, &mut rng);
    scenario(fleet, arrivals)
}

/// Declares each job as what it really uses.
pub fn declared_right(mut scenario: Scenario) -> Scenario {
    for arrival in &mut scenario.arrivals {
        let real = scaled(&arrival.job.needs, arrival.real_permille);
        arrival.job.needs.millicores = real.millicores;
        arrival.job.needs.memory_mib = real.memory_mib;
        arrival.real_permille = 1_000;
    }
    scenario
}

fn scenario(fleet: Vec<vm::Worker>, mut arrivals: Vec<Arrival>) -> Scenario {
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

fn batch(
    firm: &Firm,
    fleet: &[vm::Worker],
    load: f64,
    real: Real,
    rng: &mut ChaCha8Rng,
) -> Vec<Arrival> {
    let span = span(fleet);
    let cores: u64 = fleet.iter().map(|worker| worker.size.millicores).sum();
    let offered = cores as f64 * load * span.0 as f64 / (RUN_SECONDS * 1e3);
    let mut arrivals = Vec::new();
    let mut sum = 0.0;
    let mut services = 0.0;
    let first = (FIRST * RUN_SECONDS * 1e3 / (load * span.0 as f64)).min(1.0);
    while sum < offered {
        let n = u32::try_from(arrivals.len()).expect("fewer than 2^32 jobs");
        let mut job = firm.job(n, rng);
        job.count = rng.random_range(1..=JOB);
        let service = job.class == Class::Service;
        let run = run_time(rng);
        let held = (job.needs.millicores * u64::from(job.count)) as f64;
        if service && services + held > cores as f64 * SERVICES {
            continue;
        }
        if service {
            services += held;
            sum += held * span.0 as f64 / (RUN_SECONDS * 1e3);
        } else {
            job.yields = Yield::Checkpoint;
            let wrong = 4f64.powf(rng.random_range(-1.0..1.0));
            job.run_ms = Some(Millis((run.0 as f64 * wrong) as u64 + 1));
            sum += held * run.0 as f64 / (RUN_SECONDS * 1e3);
        }
        // Services and enough batch to fill the fleet are there at the start.
        let at = if service || rng.random_bool(first) {
            0
        } else {
            rng.random_range(0..span.0)
        };
        arrivals.push(Arrival {
            at: Millis(at),
            run,
            real_permille: if service {
                1_000
            } else {
                real(&job).min(largest(firm, &job))
            },
            job,
        });
    }
    arrivals
}

/// Returns the real size, in thousandths of the declared one, that still fits the usual worker.
fn largest(firm: &Firm, job: &Job) -> u64 {
    let machine = &firm.machines[0];
    let cores = machine.cores * 1_000 * 900 / job.needs.millicores;
    let memory = machine.memory_gb * 1_024 * 900 / job.needs.memory_mib;
    cores.min(memory)
}

/// Returns the virtual time of a replay with a fleet.
const fn span(fleet: &[vm::Worker]) -> Millis {
    if fleet.len() < LARGE {
        SPAN
    } else {
        SHORT_SPAN
    }
}

/// Draws an exponential run time.
fn run_time(rng: &mut ChaCha8Rng) -> Millis {
    let uniform: f64 = rng.random_range(1e-3..1.0);
    Millis((-uniform.ln() * RUN_SECONDS * 1e3) as u64 + 100)
}

fn urgent(
    firm: &Firm,
    per_minute: f64,
    span: Millis,
    arrivals: &mut Vec<Arrival>,
    rng: &mut ChaCha8Rng,
) {
    let count = (per_minute * span.0 as f64 / 6e4) as u32;
    for n in 0..count {
        let mut job = firm.job_of(&firm.recipes[1], n);
        job.name = id::Job(Name::new(&format!("urgent-{n}")).expect("a name"));
        job.class = Class::Batch;
        job.priority = Priority::Urgent;
        job.needs = Amount::new(4_000, 8_192);
        job.displace = Displace {
            classes: vec![Class::Batch],
            how: Yield::Checkpoint,
            tasks: 8,
        };
        arrivals.push(arrival(job, Millis::from_secs(10), span, rng));
    }
}

fn gangs(
    firm: &Firm,
    per_minute: f64,
    span: Millis,
    arrivals: &mut Vec<Arrival>,
    rng: &mut ChaCha8Rng,
) {
    let count = (per_minute * span.0 as f64 / 6e4).max(2.0) as u32;
    for n in 0..count {
        let mut job = firm.job_of(&firm.recipes[1], n);
        job.name = id::Job(Name::new(&format!("gang-{n}")).expect("a name"));
        job.class = Class::Gang;
        job.priority = Priority::High;
        job.needs = Amount::new(8_000, 16_384);
        job.count = rng.random_range(4..=24);
        arrivals.push(arrival(job, Millis::from_secs(30), span, rng));
    }
}

fn arrival(job: Job, run: Millis, span: Millis, rng: &mut ChaCha8Rng) -> Arrival {
    Arrival {
        at: Millis(rng.random_range(span.0 / 6..span.0 * 9 / 10)),
        job,
        run,
        real_permille: 1_000,
    }
}
