//! `marigold-bench load`: the callers' servers of real entries with endpoints over loopback.
//!
//! The load is open-loop: requests are due at fixed times, and each latency counts from the time at
//! which the request was due. A slow answer thus does not hide the wait of the requests behind it.

mod call;
mod site;

use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use gumdrop::Options;
use hdrhistogram::Histogram;
use serde::Serialize;

use call::{Counts, Profile, Target};
use site::Site;

/// The number of callers in the closed loop that measures the greatest rate.
const CONNECTIONS: usize = 64;
/// The time of load before an endpoint leaves, and again after it.
const LEAVE_PHASE: Duration = Duration::from_secs(3);
/// The run time of a request in the measurements of slots, overload and fairness.
const RUN_TIME: Duration = Duration::from_millis(200);
/// The number of endpoints in the measurements of slots, overload and fairness.
const ENDPOINTS: usize = 17;
/// Requests per second that these endpoints can run with eight slots each.
const CAPACITY: f64 = ENDPOINTS as f64 * 8.0 / 0.2;

/// `Arguments` is the command line.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON")]
    json: bool,
    #[options(help = "seconds of each run", default = "5")]
    seconds: u64,
}

/// `Report` holds all results.
#[derive(Debug, Serialize)]
struct Report {
    /// Requests per second through one entry with 64 callers in a closed loop.
    greatest_rate: f64,
    /// The rate of the latency measurements: half of the greatest rate.
    rate: f64,
    direct: Times,
    entry: Times,
    added_p50_ms: f64,
    added_p99_ms: f64,
    /// The mean fraction of slots in use while one of three entries has demand for more than all slots.
    slots_in_use: f64,
    most_in_use_of_one_endpoint: usize,
    /// The time from the notice that an endpoint leaves to its last new run, by the kind of notice.
    leaving: Leaving,
    overload: Vec<Overload>,
    fairness: Vec<Fairness>,
    /// Calls that were not `done` in the measurements of the entry's latency, slots and leaving endpoints.
    failed: u64,
}

/// `Leaving` holds the times from a notice to an endpoint's last new run, in milliseconds.
#[derive(Debug, Serialize)]
struct Leaving {
    config_ms: f64,
    vms_ms: f64,
    refusal_ms: f64,
}

/// `Times` is the distribution of the time to the answer.
#[derive(Debug, Serialize)]
struct Times {
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    done: u64,
    failed: u64,
    #[serde(skip)]
    counts: Counts,
}

/// `Overload` is the result at one multiple of the capacity.
#[derive(Debug, Serialize)]
struct Overload {
    load: f64,
    /// Whether the requests run at most once, which makes each be registered with its owners.
    once: bool,
    /// Answers in time, as a fraction of the endpoints' capacity.
    goodput: f64,
    counts: Counts,
}

/// `Fairness` is the result of four teams that ask for 5% of the capacity each, beside a fifth team.
#[derive(Debug, Serialize)]
struct Fairness {
    /// The demand of the fifth team, as a fraction of the capacity.
    flood: f64,
    answered: f64,
    p50_ms: f64,
    p99_ms: f64,
    counts: Counts,
}

/// Runs the measurements.
pub fn run(arguments: &Arguments) -> ExitCode {
    match async_std::task::block_on(measure(arguments)) {
        Ok(report) if arguments.json => {
            println!(
                "{}",
                serde_json::to_string_pretty(&report).unwrap_or_default()
            );
        }
        Ok(report) => println!("{report:#?}"),
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

async fn measure(arguments: &Arguments) -> http_types::Result<Report> {
    let span = Duration::from_secs(arguments.seconds);
    let instant_site = Site::start(1, 10, Duration::ZERO).await?;
    let entry = Target::new(&instant_site.entries[0], "/v1/call/booking")?;
    let direct = Target::new(&instant_site.endpoints[0].address, "/run")?;
    let greatest_rate = run_closed_loop(&entry, span).await;
    let rate = greatest_rate / 2.0;
    let direct = run_open_loop(&direct, &Profile::idempotent(), rate, span).await;
    let entry = run_open_loop(&entry, &Profile::idempotent(), rate, span).await;
    let (slots_in_use, most, slow) = measure_slots(span).await?;
    let mut failed = entry.failed + slow.failed;
    let mut left = Vec::new();
    let notices: [fn(&Site, usize); 3] = [
        Site::mark_leaving,
        Site::remove_endpoint,
        Site::refuse_requests,
    ];
    for notify in notices {
        let (after, times) = measure_leaving(notify).await?;
        failed += times.failed;
        left.push(after.as_secs_f64() * 1_000.0);
    }
    Ok(Report {
        greatest_rate,
        rate,
        added_p50_ms: entry.p50_ms - direct.p50_ms,
        added_p99_ms: entry.p99_ms - direct.p99_ms,
        failed,
        direct,
        entry,
        slots_in_use,
        most_in_use_of_one_endpoint: most,
        leaving: Leaving {
            config_ms: left[0],
            vms_ms: left[1],
            refusal_ms: left[2],
        },
        overload: measure_overload(span).await?,
        fairness: measure_fairness(span).await?,
    })
}

/// Sends more load than all slots take to one of three entries and counts the slots in use.
async fn measure_slots(span: Duration) -> http_types::Result<(f64, usize, Times)> {
    let site = Site::start(3, ENDPOINTS, RUN_TIME).await?;
    let all = site.endpoints.len() * 8;
    let target = Target::new(&site.entries[0], "/v1/call/booking")?;
    let rate = 1.1 * all as f64 / RUN_TIME.as_secs_f64();
    let load = async_std::task::spawn(async move {
        run_open_loop(&target, &Profile::idempotent(), rate, span).await
    });
    async_std::task::sleep(Duration::from_secs(2)).await;
    let mut busy = 0;
    let mut samples = 0;
    let start = Instant::now();
    while start.elapsed() + Duration::from_secs(2) < span {
        busy += site.endpoints.iter().map(|e| e.busy()).sum::<usize>();
        samples += 1;
        async_std::task::sleep(Duration::from_millis(10)).await;
    }
    let most = site.endpoints.iter().map(|e| e.most_busy()).max();
    let times = load.await;
    let fraction = busy as f64 / (samples.max(1) * all) as f64;
    Ok((fraction, most.unwrap_or(0), times))
}

/// Lets an endpoint leave under load; returns the time from the notice to its last new request.
async fn measure_leaving(notify: fn(&Site, usize)) -> http_types::Result<(Duration, Times)> {
    let site = Site::start(2, 4, Duration::from_millis(5)).await?;
    let target = Target::new(&site.entries[0], "/v1/call/booking")?;
    let load = async_std::task::spawn(async move {
        run_open_loop(&target, &Profile::idempotent(), 500.0, LEAVE_PHASE * 2).await
    });
    async_std::task::sleep(LEAVE_PHASE).await;
    let notified = Instant::now();
    notify(&site, 0);
    let times = load.await;
    let after = notified
        .elapsed()
        .saturating_sub(site.endpoints[0].since_last());
    Ok((after, times))
}

/// Offers multiples of the capacity at a site of three entries, with both kinds of requests.
async fn measure_overload(span: Duration) -> http_types::Result<Vec<Overload>> {
    let mut rows = Vec::new();
    for (profile, once) in [
        (Profile::with_deadline(), false),
        (Profile::once("sellers"), true),
    ] {
        for load in [0.5, 1.0, 2.0, 4.0] {
            let site = Site::start(3, ENDPOINTS, RUN_TIME).await?;
            let target = Target::new(&site.entries[0], "/v1/call/booking")?;
            let mut times = run_open_loop(&target, &profile, load * CAPACITY, span).await;
            times.counts.check(&site.runs, once);
            rows.push(Overload {
                load,
                once,
                goodput: times.done as f64 / (CAPACITY * span.as_secs_f64()),
                counts: times.counts,
            });
        }
    }
    Ok(rows)
}

/// Lets four teams ask for 5% of the capacity each, and a fifth for 5% or for four times the capacity.
async fn measure_fairness(span: Duration) -> http_types::Result<Vec<Fairness>> {
    let mut rows = Vec::new();
    for flood in [0.05, 4.0] {
        let site = Site::start(3, ENDPOINTS, RUN_TIME).await?;
        let target = Target::new(&site.entries[0], "/v1/call/booking")?;
        let (fifth_target, fifth) = (target.clone(), Profile::once("flood"));
        let rest = async_std::task::spawn(async move {
            run_open_loop(&fifth_target, &fifth, flood * CAPACITY, span).await
        });
        let mut times = run_open_loop(&target, &Profile::once("team"), 0.2 * CAPACITY, span).await;
        times.counts.add(&rest.await.counts);
        times.counts.check(&site.runs, true);
        rows.push(Fairness {
            flood,
            answered: times.done as f64 / (times.done + times.failed) as f64,
            p50_ms: times.p50_ms,
            p99_ms: times.p99_ms,
            counts: times.counts,
        });
    }
    Ok(rows)
}

/// Runs a closed loop of callers without pauses; returns the answers per second.
async fn run_closed_loop(target: &Target, span: Duration) -> f64 {
    let caller = |_| {
        let target = target.clone();
        async_std::task::spawn(async move {
            let start = Instant::now();
            let mut done = 0_u64;
            while start.elapsed() < span {
                done += u64::from(target.call(&Profile::idempotent(), 0).await.is_done());
            }
            done
        })
    };
    let callers: Vec<_> = (0..CONNECTIONS).map(caller).collect();
    let done: u64 = futures::future::join_all(callers).await.iter().sum();
    done as f64 / span.as_secs_f64()
}

/// Runs an open loop: sends requests at fixed times, whether or not earlier ones were answered.
async fn run_open_loop(target: &Target, profile: &Profile, rate: f64, span: Duration) -> Times {
    let times = Arc::new(Mutex::new(
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds are valid"),
    ));
    let start = Instant::now();
    let mut calls = Vec::new();
    for nth in 0..(rate * span.as_secs_f64()) as u64 {
        let due = start + Duration::from_secs_f64(nth as f64 / rate);
        if let Some(wait) = due.checked_duration_since(Instant::now()) {
            async_std::task::sleep(wait).await;
        }
        let (target, times, profile) = (target.clone(), Arc::clone(&times), profile.clone());
        calls.push(async_std::task::spawn(async move {
            let outcome = target.call(&profile, nth).await;
            if outcome.is_done() {
                let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
                times.saturating_record(due.elapsed().as_micros() as u64);
            }
            outcome
        }));
    }
    let results = futures::future::join_all(calls).await;
    let times = times.lock().unwrap_or_else(PoisonError::into_inner);
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    Times {
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        done: times.len(),
        failed: results.iter().filter(|outcome| !outcome.is_done()).count() as u64,
        counts: results.into_iter().collect(),
    }
}
