//! `marigold-bench route`: the decisions of request placement against plain balancers, under a
//! virtual clock; and what a decision costs.

mod policy;
mod world;

use std::process::ExitCode;
use std::time::Instant;

use gumdrop::Options;
use hdrhistogram::Histogram;
use serde::Serialize;

use policy::{Kind, Ours, Plain};
use world::{Decision, Ended, Policy, SECOND, SLOTS, Setup, Tally, World};

/// Endpoints of a failure domain today.
const ENDPOINTS: usize = 50;
/// Endpoints of a failure domain at the size that is aimed at.
const MANY: usize = 875;
/// Requests whose decisions are timed.
const DECISIONS: u64 = 200_000;
/// When the brown-out begins and ends, and by how much it slows the endpoints.
const BROWN: (u64, u64, f64) = (20 * SECOND, 30 * SECOND, 5.0);
/// How long the run goes on after the brown-out.
const AFTER: u64 = 30 * SECOND;
/// How near goodput must come to the load to count as back.
const BACK: f64 = 0.95;

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

/// `Report` is all that was measured.
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

/// `Cost` is the processor time of a decision.
#[derive(Debug, Serialize)]
struct Cost {
    endpoints: usize,
    load: f64,
    mean_us: f64,
    p99_us: f64,
    max_us: f64,
}

/// `Waiting` is the time to the answer at a load below capacity.
#[derive(Debug, Serialize)]
struct Waiting {
    policy: &'static str,
    load: f64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    lost: u64,
}

/// `Overload` is what was answered in time.
#[derive(Debug, Serialize)]
struct Overload {
    policy: &'static str,
    load: f64,
    goodput_of_capacity: f64,
    p99_ms: f64,
    wasted: u64,
}

/// `Fairness` is what other teams get beside a flooding one.
#[derive(Debug, Serialize)]
struct Fairness {
    policy: &'static str,
    flood: f64,
    others_answered: f64,
    others_p50_ms: f64,
    others_p99_ms: f64,
}

/// `SlowBack` is what nine teams of little demand get beside a tenth that takes up the capacity, with
/// and without one endpoint that is far slower than all others.
#[derive(Debug, Serialize)]
struct SlowBack {
    policy: &'static str,
    /// How many times slower than the slowest other endpoint it is.
    times_slower: f64,
    others_answered: f64,
    others_p50_ms: f64,
    others_p99_ms: f64,
    others_p999_ms: f64,
}

/// `BrownOut` is the recovery after all endpoints were slow for a while.
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
        decisions: decisions(arguments.seed),
        waiting: waiting(arguments),
        overload: overload(arguments),
        fairness: fairness(arguments),
        slow_back: slow_back(arguments),
        brown_out: brown_out(arguments),
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

/// Returns speeds from one to eight times slower than the fastest.
fn speeds(endpoints: usize) -> Vec<f64> {
    let last = (endpoints - 1).max(1) as f64;
    let speed = |at| 8_f64.powf(at as f64 / last);
    (0..endpoints).map(speed).collect()
}

fn setup(arguments: &Arguments, load: f64) -> Setup {
    let mut setup = Setup {
        speeds: speeds(ENDPOINTS),
        teams: Vec::new(),
        span: arguments.seconds * SECOND,
        brown: None,
        asks: 0,
        seed: arguments.seed,
    };
    setup.teams = vec![setup.capacity() * load];
    setup
}

/// Runs a setup under each policy.
fn compare(setup: &Setup) -> Vec<(&'static str, Tally)> {
    let (count, seed) = (setup.speeds.len(), setup.seed);
    let plain = |kind| World::new(setup.clone(), Plain::new(kind, count, seed)).run();
    let ours = Ours::new(count, setup.teams.len(), seed);
    vec![
        ("marigoldpick", World::new(setup.clone(), ours).run()),
        ("round-robin", plain(Kind::RoundRobin)),
        ("least-in-flight", plain(Kind::LeastInFlight)),
        ("random-two", plain(Kind::RandomTwo)),
    ]
}

fn waiting(arguments: &Arguments) -> Vec<Waiting> {
    let mut rows = Vec::new();
    for load in [0.3, 0.5, 0.7, 0.9] {
        for (policy, tally) in compare(&setup(arguments, load)) {
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

fn overload(arguments: &Arguments) -> Vec<Overload> {
    let mut rows = Vec::new();
    for load in [0.5, 1.0, 2.0, 4.0] {
        let setup = setup(arguments, load);
        let capacity = setup.capacity() * arguments.seconds as f64;
        for (policy, tally) in compare(&setup) {
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

/// Nine teams ask for 5% of capacity each; the first floods.
fn fairness(arguments: &Arguments) -> Vec<Fairness> {
    let mut rows = Vec::new();
    for flood in [0.05, 4.0] {
        let mut setup = setup(arguments, 0.0);
        let capacity = setup.capacity();
        setup.teams = vec![0.05 * capacity; 10];
        setup.teams[0] = flood * capacity;
        for (policy, tally) in compare(&setup) {
            let (others_answered, times) = others(&tally);
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

/// Nine teams ask for 5% of capacity each, the first for the rest; one endpoint is far slower.
fn slow_back(arguments: &Arguments) -> Vec<SlowBack> {
    let mut rows = Vec::new();
    for times_slower in [1.0, 4.0, 16.0] {
        let mut setup = setup(arguments, 0.0);
        let capacity = setup.capacity();
        setup.teams = vec![0.05 * capacity; 10];
        setup.teams[0] = 0.6 * capacity;
        if let Some(last) = setup.speeds.last_mut() {
            *last *= times_slower;
        }
        for (policy, tally) in compare(&setup) {
            let (others_answered, times) = others(&tally);
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

/// Returns the share of answers and the times of all teams but the first.
fn others(tally: &Tally) -> (f64, Histogram<u64>) {
    let mut times = tally.times[1].clone();
    for other in &tally.times[2..] {
        times.add(other).expect("the same bounds");
    }
    let good: u64 = tally.good[1..].iter().sum();
    let offered: u64 = tally.offered[1..].iter().sum();
    (good as f64 / offered as f64, times)
}

/// All endpoints are slow for ten seconds; callers ask up to five times.
fn brown_out(arguments: &Arguments) -> Vec<BrownOut> {
    let mut setup = setup(arguments, 0.7);
    setup.span = BROWN.1 + AFTER;
    setup.brown = Some(BROWN);
    setup.asks = 5;
    let load = setup.teams[0];
    let row = |(policy, tally): (&'static str, Tally)| {
        let second = |at: u64| tally.by_second[at as usize] as f64;
        let mean = |from: u64, to: u64| (from..to).map(second).sum::<f64>() / (to - from) as f64;
        let (from, to) = (BROWN.0 / SECOND, BROWN.1 / SECOND);
        let back = (to..to + AFTER / SECOND).find(|at| second(*at) >= BACK * load);
        BrownOut {
            policy,
            goodput_before: mean(5, from) / load,
            goodput_during: mean(from, to) / load,
            seconds_to_recover: back.map(|at| at + 1 - to),
        }
    };
    compare(&setup).into_iter().map(row).collect()
}

/// Times the router's decisions, a request's arrival and end counting as one each.
fn decisions(seed: u64) -> Vec<Cost> {
    let mut costs = Vec::new();
    for endpoints in [ENDPOINTS / 3, ENDPOINTS, MANY] {
        for load in [0.5, 2.0] {
            costs.push(decision(endpoints, load, seed));
        }
    }
    costs
}

/// Keeps `load` times the slots' worth of requests going and times each call of the router.
fn decision(endpoints: usize, load: f64, seed: u64) -> Cost {
    let mut router = Ours::new(endpoints, 10, seed);
    let mut times =
        Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3).expect("bounds are valid");
    let most = ((endpoints * SLOTS) as f64 * load) as u64;
    let mut flying = std::collections::VecDeque::new();
    let mut out = Vec::new();
    let mut waiting = 0_u64;
    for ticket in 0..DECISIONS {
        let now = ticket * 100;
        let start = Instant::now();
        router.arrive(ticket, (ticket % 10) as usize, now, &mut out);
        times.saturating_record(start.elapsed().as_nanos() as u64);
        waiting += 1;
        if flying.len() as u64 + waiting > most
            && let Some(done) = flying.pop_front()
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
                flying.push_back(ticket);
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
