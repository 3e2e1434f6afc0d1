//! `marigold-bench load`: real faces to callers and endpoints over loopback.
//!
//! The load is open: requests are due at fixed times, and each time is counted from when the request
//! was due, so that a slow answer does not hide the wait of those behind it.

mod call;
mod site;

use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use gumdrop::Options;
use hdrhistogram::Histogram;
use serde::Serialize;

use call::{Counts, Job, Target};
use site::Site;

/// Callers' connections while the greatest rate is sought.
const CONNECTIONS: usize = 64;
/// How long an endpoint that leaves is watched.
const WATCH: Duration = Duration::from_secs(3);
/// The time of a request while slots are counted or there is more load than capacity.
const WORK: Duration = Duration::from_millis(200);
/// Endpoints under overload.
const ENDPOINTS: usize = 17;
/// Requests a second that they can do with eight slots each.
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

/// `Report` is what was measured.
#[derive(Debug, Serialize)]
struct Report {
    /// Requests a second through one entry with 64 callers that never rest.
    greatest_rate: f64,
    /// The rate of the runs below: half of that.
    rate: f64,
    direct: Times,
    entry: Times,
    added_p50_ms: f64,
    added_p99_ms: f64,
    /// Slots in use as a share of all, on average, while demand for more sits on one of three entries.
    slots_in_use: f64,
    most_in_use_of_one_endpoint: usize,
    /// The time from the news that an endpoint leaves to its last new run, by the way of the news.
    leaving: Leaving,
    overload: Vec<Overload>,
    fairness: Vec<Fairness>,
    /// Answers that were not `done` in the runs below capacity.
    failed: u64,
}

/// `Leaving` is in milliseconds.
#[derive(Debug, Serialize)]
struct Leaving {
    config_ms: f64,
    vms_ms: f64,
    refusal_ms: f64,
}

/// `Times` are the times to the answer.
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

/// `Overload` is what was answered in time at a multiple of the capacity.
#[derive(Debug, Serialize)]
struct Overload {
    load: f64,
    /// Whether the requests run at most once, so that each is registered with its owners.
    once: bool,
    /// Answers in time, as a share of what the endpoints can do.
    goodput: f64,
    counts: Counts,
}

/// `Fairness` is what four teams with 5% of the capacity each get beside a fifth.
#[derive(Debug, Serialize)]
struct Fairness {
    /// What the fifth team asks for, as a share of the capacity.
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
    let quick = Site::start(1, 10, Duration::ZERO).await?;
    let entry = Target::new(&quick.entries[0], "/v1/call/booking")?;
    let direct = Target::new(&quick.endpoints[0].address, "/run")?;
    let greatest_rate = closed(&entry, span).await;
    let rate = greatest_rate / 2.0;
    let direct = open(&direct, &Job::idempotent(), rate, span).await;
    let entry = open(&entry, &Job::idempotent(), rate, span).await;
    let (slots_in_use, most, slow) = slots(span).await?;
    let mut failed = entry.failed + slow.failed;
    let mut left = Vec::new();
    let ways: [fn(&Site, usize); 3] = [Site::leave, Site::vanish, Site::refuse];
    for news in ways {
        let (after, times) = leaving(news).await?;
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
        overload: overload(span).await?,
        fairness: fairness(span).await?,
    })
}

/// Lets demand sit on one of three entries and counts the slots in use.
async fn slots(span: Duration) -> http_types::Result<(f64, usize, Times)> {
    let site = Site::start(3, ENDPOINTS, WORK).await?;
    let all = site.endpoints.len() * 8;
    let target = Target::new(&site.entries[0], "/v1/call/booking")?;
    let rate = 1.1 * all as f64 / WORK.as_secs_f64();
    let load =
        async_std::task::spawn(async move { open(&target, &Job::idempotent(), rate, span).await });
    async_std::task::sleep(Duration::from_secs(2)).await;
    let mut busy = 0;
    let mut samples = 0;
    let start = Instant::now();
    while start.elapsed() + Duration::from_secs(2) < span {
        busy += site.endpoints.iter().map(|e| e.busy()).sum::<usize>();
        samples += 1;
        async_std::task::sleep(Duration::from_millis(10)).await;
    }
    let most = site.endpoints.iter().map(|e| e.most()).max();
    let times = load.await;
    let share = busy as f64 / (samples.max(1) * all) as f64;
    Ok((share, most.unwrap_or(0), times))
}

/// Lets an endpoint leave under load and returns when its last new request came.
async fn leaving(news: fn(&Site, usize)) -> http_types::Result<(Duration, Times)> {
    let site = Site::start(2, 4, Duration::from_millis(5)).await?;
    let target = Target::new(&site.entries[0], "/v1/call/booking")?;
    let load =
        async_std::task::spawn(
            async move { open(&target, &Job::idempotent(), 500.0, WATCH * 2).await },
        );
    async_std::task::sleep(WATCH).await;
    let told = Instant::now();
    news(&site, 0);
    let times = load.await;
    let after = told.elapsed().saturating_sub(site.endpoints[0].last());
    Ok((after, times))
}

/// Offers multiples of the capacity to three entries, of either kind of requests.
async fn overload(span: Duration) -> http_types::Result<Vec<Overload>> {
    let mut rows = Vec::new();
    for (job, once) in [(Job::timed(), false), (Job::once("sellers"), true)] {
        for load in [0.5, 1.0, 2.0, 4.0] {
            let site = Site::start(3, ENDPOINTS, WORK).await?;
            let target = Target::new(&site.entries[0], "/v1/call/booking")?;
            let mut times = open(&target, &job, load * CAPACITY, span).await;
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

/// Four teams ask for little; a fifth for as little or for four times the capacity.
async fn fairness(span: Duration) -> http_types::Result<Vec<Fairness>> {
    let mut rows = Vec::new();
    for flood in [0.05, 4.0] {
        let site = Site::start(3, ENDPOINTS, WORK).await?;
        let target = Target::new(&site.entries[0], "/v1/call/booking")?;
        let (own, fifth) = (target.clone(), Job::once("flood"));
        let rest =
            async_std::task::spawn(async move { open(&own, &fifth, flood * CAPACITY, span).await });
        let mut times = open(&target, &Job::once("team"), 0.2 * CAPACITY, span).await;
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

/// Lets callers ask without rest; returns the answers a second.
async fn closed(target: &Target, span: Duration) -> f64 {
    let caller = |_| {
        let target = target.clone();
        async_std::task::spawn(async move {
            let start = Instant::now();
            let mut done = 0_u64;
            while start.elapsed() < span {
                done += u64::from(target.call(&Job::idempotent(), 0).await.is_done());
            }
            done
        })
    };
    let callers: Vec<_> = (0..CONNECTIONS).map(caller).collect();
    let done: u64 = futures::future::join_all(callers).await.iter().sum();
    done as f64 / span.as_secs_f64()
}

/// Sends requests at fixed times, whatever becomes of those before.
async fn open(target: &Target, job: &Job, rate: f64, span: Duration) -> Times {
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
        let (target, times, job) = (target.clone(), Arc::clone(&times), job.clone());
        calls.push(async_std::task::spawn(async move {
            let found = target.call(&job, nth).await;
            if found.is_done() {
                let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
                times.saturating_record(due.elapsed().as_micros() as u64);
            }
            found
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
        failed: results.iter().filter(|found| !found.is_done()).count() as u64,
        counts: results.into_iter().collect(),
    }
}
