//! `marigold-bench route`: compares request placement with plain load balancers under a virtual clock.
//!
//! It also measures the processor time of the router's decisions.

mod policy;
mod simulation;

use std::process::ExitCode;
use std::time::Instant;

use gumdrop::Options;
use hdrhistogram::Histogram;
use serde::Serialize;

use policy::{Balancer, Marigold, Rule};
use simulation::{Decision, Ended, Policy, SECOND, SLOTS, Setup, Simulation, Tally};

/// The number of endpoints of a failure domain today.
const ENDPOINTS: usize = 50;
/// The number of endpoints of a failure domain at the target size.
const TARGET_ENDPOINTS: usize = 875;
/// The number of requests whose decisions are timed.
const DECISIONS: u64 = 200_000;
/// The start and end of the brown-out, and the factor by which it slows all endpoints.
const BROWN_OUT: (u64, u64, f64) = (20 * SECOND, 30 * SECOND, 5.0);
/// The time that is simulated after the brown-out.
const RECOVERY_SPAN: u64 = 30 * SECOND;
/// The fraction of the load that goodput must reach to count as recovered.
const RECOVERED_FRACTION: f64 = 0.95;

/// `Arguments` is the command line.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON")]
    json: bool,
    #[options(help = "the seed", default = "1")]
    seed: u64,
    #[options(help = "seconds of virtual time of a run", default = "60")]
    seconds: u64,
}

/// `Report` holds all results.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    decisions: Vec<Cost>,
    waiting: Vec<Waiting>,
    overload: Vec<Overload>,
    fairness: Vec<Fairness>,
    slow_back: Vec<SlowBack>,
    brown_out: Vec<BrownOut>,
}

/// `Cost` is the time that the router takes for a decision.
#[derive(Debug, Serialize)]
struct Cost {
    endpoints: usize,
    load: f64,
    mean_us: f64,
    p99_us: f64,
    max_us: f64,
}

/// `Waiting` is the distribution of the time to the answer at a load below capacity.
#[derive(Debug, Serialize)]
struct Waiting {
    policy: &'static str,
    load: f64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    lost: u64,
}

/// `Overload` is the goodput and the wasted work at one load.
#[derive(Debug, Serialize)]
struct Overload {
    policy: &'static str,
    load: f64,
    goodput_of_capacity: f64,
    p99_ms: f64,
    wasted: u64,
}

/// `Fairness` is the result of the other teams while one team floods.
#[derive(Debug, Serialize)]
struct Fairness {
    policy: &'static str,
    flood: f64,
    others_answered: f64,
    others_p50_ms: f64,
    others_p99_ms: f64,
}

/// `SlowBack` is the result of nine teams with little demand while a tenth team fills the capacity.
///
/// One endpoint may be far slower than all others.
#[derive(Debug, Serialize)]
struct SlowBack {
    policy: &'static str,
    /// The factor by which the slowest endpoint is slowed further.
    times_slower: f64,
    others_answered: f64,
    others_p50_ms: f64,
    others_p99_ms: f64,
    others_p999_ms: f64,
}

/// `BrownOut` is the goodput around a period in which all endpoints are slow.
#[derive(Debug, Serialize)]
struct BrownOut {
    policy: &'static str,
    goodput_before: f64,
    goodput_during: f64,
    seconds_to_recover: Option<u64>,
}

/// Runs the measurements.
pub fn run(arguments: &Arguments) -> ExitCode {
    let report = Report {
        seed: arguments.seed,
        decisions: measure_decisions(arguments.seed),
        waiting: measure_waiting(arguments),
        overload: measure_overload(arguments),
        fairness: measure_fairness(arguments),
        slow_back: measure_slow_back(arguments),
        brown_out: measure_brown_out(arguments),
    };
    if arguments.json {
        match serde_json::to_string_pretty(&report) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
    } else {
        println!("{report:#?}");
    }
    ExitCode::SUCCESS
}

/// Returns the factors by which endpoints are slower than the fastest: from one to eight.
fn slowness_factors(endpoints: usize) -> Vec<f64> {
    let last = (endpoints - 1).max(1) as f64;
    let factor = |at| 8_f64.powf(at as f64 / last);
    (0..endpoints).map(factor).collect()
}

/// Describes a run with one team whose demand is `load` times the capacity.
fn new_setup(arguments: &Arguments, load: f64) -> Setup {
    let mut setup = Setup {
        slowness: slowness_factors(ENDPOINTS),
        teams: Vec::new(),
        span: arguments.seconds * SECOND,
        brown_out: None,
        retries: 0,
        seed: arguments.seed,
    };
    setup.teams = vec![setup.capacity() * load];
    setup
}

/// Runs a setup with each policy.
fn run_policies(setup: &Setup) -> Vec<(&'static str, Tally)> {
    let (count, seed) = (setup.slowness.len(), setup.seed);
    let balancer = |rule| Simulation::new(setup.clone(), Balancer::new(rule, count, seed)).run();
    let marigold = Marigold::new(count, setup.teams.len(), seed);
    vec![
        (
            "marigoldpick",
            Simulation::new(setup.clone(), marigold).run(),
        ),
        ("round-robin", balancer(Rule::RoundRobin)),
        ("least-in-flight", balancer(Rule::LeastInFlight)),
        ("random-two", balancer(Rule::RandomTwo)),
    ]
}

/// Measures the time to the answer at loads below capacity.
fn measure_waiting(arguments: &Arguments) -> Vec<Waiting> {
    let mut rows = Vec::new();
    for load in [0.3, 0.5, 0.7, 0.9] {
        for (policy, tally) in run_policies(&new_setup(arguments, load)) {
            let times = &tally.times[0];
            rows.push(Waiting {
                policy,
                load,
                p50_ms: millis(times, 0.5),
                p99_ms: millis(times, 0.99),
                p999_ms: millis(times, 0.999),
                lost: tally.offered[0] - tally.good[0],
            });
        }
    }
    rows
}

/// Measures goodput at loads up to four times the capacity.
fn measure_overload(arguments: &Arguments) -> Vec<Overload> {
    let mut rows = Vec::new();
    for load in [0.5, 1.0, 2.0, 4.0] {
        let setup = new_setup(arguments, load);
        let capacity = setup.capacity() * arguments.seconds as f64;
        for (policy, tally) in run_policies(&setup) {
            rows.push(Overload {
                policy,
                load,
                goodput_of_capacity: tally.good[0] as f64 / capacity,
                p99_ms: millis(&tally.times[0], 0.99),
                wasted: tally.wasted,
            });
        }
    }
    rows
}

/// Lets nine teams ask for 5% of the capacity each, and the first for 5% or for four times the capacity.
fn measure_fairness(arguments: &Arguments) -> Vec<Fairness> {
    let mut rows = Vec::new();
    for flood in [0.05, 4.0] {
        let mut setup = new_setup(arguments, 0.0);
        let capacity = setup.capacity();
        setup.teams = vec![0.05 * capacity; 10];
        setup.teams[0] = flood * capacity;
        for (policy, tally) in run_policies(&setup) {
            let (others_answered, times) = sum_others(&tally);
            rows.push(Fairness {
                policy,
                flood,
                others_answered,
                others_p50_ms: millis(&times, 0.5),
                others_p99_ms: millis(&times, 0.99),
            });
        }
    }
    rows
}

/// Lets nine teams ask for 5% of the capacity each and the first for 60%, with one endpoint slowed.
fn measure_slow_back(arguments: &Arguments) -> Vec<SlowBack> {
    let mut rows = Vec::new();
    for times_slower in [1.0, 4.0, 16.0] {
        let mut setup = new_setup(arguments, 0.0);
        let capacity = setup.capacity();
        setup.teams = vec![0.05 * capacity; 10];
        setup.teams[0] = 0.6 * capacity;
        if let Some(last) = setup.slowness.last_mut() {
            *last *= times_slower;
        }
        for (policy, tally) in run_policies(&setup) {
            let (others_answered, times) = sum_others(&tally);
            rows.push(SlowBack {
                policy,
                times_slower,
                others_answered,
                others_p50_ms: millis(&times, 0.5),
                others_p99_ms: millis(&times, 0.99),
                others_p999_ms: millis(&times, 0.999),
            });
        }
    }
    rows
}

/// Returns the fraction of answered requests and the times of all teams but the first.
fn sum_others(tally: &Tally) -> (f64, Histogram<u64>) {
    let mut times = tally.times[1].clone();
    for other in &tally.times[2..] {
        times.add(other).expect("the same bounds");
    }
    let good: u64 = tally.good[1..].iter().sum();
    let offered: u64 = tally.offered[1..].iter().sum();
    (good as f64 / offered as f64, times)
}

/// Slows all endpoints for ten seconds; callers retry up to five times.
fn measure_brown_out(arguments: &Arguments) -> Vec<BrownOut> {
    let mut setup = new_setup(arguments, 0.7);
    setup.span = BROWN_OUT.1 + RECOVERY_SPAN;
    setup.brown_out = Some(BROWN_OUT);
    setup.retries = 5;
    let load = setup.teams[0];
    let row = |(policy, tally): (&'static str, Tally)| {
        let second = |at: u64| tally.by_second[at as usize] as f64;
        let mean = |from: u64, to: u64| (from..to).map(second).sum::<f64>() / (to - from) as f64;
        let (from, to) = (BROWN_OUT.0 / SECOND, BROWN_OUT.1 / SECOND);
        let recovered =
            (to..to + RECOVERY_SPAN / SECOND).find(|at| second(*at) >= RECOVERED_FRACTION * load);
        BrownOut {
            policy,
            goodput_before: mean(5, from) / load,
            goodput_during: mean(from, to) / load,
            seconds_to_recover: recovered.map(|at| at + 1 - to),
        }
    };
    run_policies(&setup).into_iter().map(row).collect()
}

/// Measures the router's decisions; the arrival and the end of a request count as one decision each.
fn measure_decisions(seed: u64) -> Vec<Cost> {
    let mut costs = Vec::new();
    for endpoints in [ENDPOINTS / 3, ENDPOINTS, TARGET_ENDPOINTS] {
        for load in [0.5, 2.0] {
            costs.push(measure_decision(endpoints, load, seed));
        }
    }
    costs
}

/// Keeps `load` times as many requests waiting or in flight as there are slots and times the router's calls.
fn measure_decision(endpoints: usize, load: f64, seed: u64) -> Cost {
    let mut router = Marigold::new(endpoints, 10, seed);
    let mut times =
        Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3).expect("bounds are valid");
    let max_open = ((endpoints * SLOTS) as f64 * load) as u64;
    let mut in_flight = std::collections::VecDeque::new();
    let mut out = Vec::new();
    let mut waiting = 0_u64;
    for ticket in 0..DECISIONS {
        let now = ticket * 100;
        let start = Instant::now();
        router.arrive(ticket, (ticket % 10) as usize, now, &mut out);
        times.saturating_record(start.elapsed().as_nanos() as u64);
        waiting += 1;
        if in_flight.len() as u64 + waiting > max_open
            && let Some(done) = in_flight.pop_front()
        {
            let start = Instant::now();
            router.end(done, Ended::Answered(20_000), now, &mut out);
            times.saturating_record(start.elapsed().as_nanos() as u64);
        }
        if ticket % 100 == 0 {
            router.tick(now, &mut out);
        }
        for decision in out.drain(..) {
            waiting = waiting.saturating_sub(1);
            if let Decision::Send { ticket, .. } = decision {
                in_flight.push_back(ticket);
            }
        }
    }
    Cost {
        endpoints,
        load,
        mean_us: times.mean() / 1_000.0,
        p99_us: times.value_at_quantile(0.99) as f64 / 1_000.0,
        max_us: times.max() as f64 / 1_000.0,
    }
}

fn millis(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1_000.0
}
