//! `marigold-bench load`: real faces to callers and endpoints over loopback.
//!
//! The load is open: requests are due at fixed times, and each time is counted from when the request
//! was due, so that a slow answer does not hide the wait of those behind it.

mod site;

use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use gumdrop::Options;
use hdrhistogram::Histogram;
use http_types::{Method, Request, Url};
use serde::Serialize;

use site::Site;

/// Callers' connections while the greatest rate is sought.
const CONNECTIONS: usize = 64;
/// How long an endpoint that leaves is watched.
const WATCH: Duration = Duration::from_secs(3);
/// The time of a request while slots are counted.
const WORK: Duration = Duration::from_millis(200);

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
    /// Slots in use of all, on average, while demand sits on one of three entries.
    slots_in_use: f64,
    most_in_use_of_one_endpoint: usize,
    /// The time from the news that an endpoint leaves to its last new request.
    leaving_ms: f64,
    /// Answers that were not `done`, in all runs.
    failed: u64,
}

/// `Times` are the times to the answer.
#[derive(Debug, Serialize)]
struct Times {
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    done: u64,
    failed: u64,
}

/// `Target` is where requests go.
#[derive(Clone, Debug)]
struct Target {
    address: String,
    url: Url,
    idle: Arc<Mutex<Vec<TcpStream>>>,
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
    let direct = open(&direct, rate, span).await;
    let entry = open(&entry, rate, span).await;
    let (slots_in_use, most, slow) = slots(span).await?;
    let (leaving, left) = leaving().await?;
    Ok(Report {
        greatest_rate,
        rate,
        added_p50_ms: entry.p50_ms - direct.p50_ms,
        added_p99_ms: entry.p99_ms - direct.p99_ms,
        failed: entry.failed + slow.failed + left.failed,
        direct,
        entry,
        slots_in_use,
        most_in_use_of_one_endpoint: most,
        leaving_ms: leaving.as_secs_f64() * 1_000.0,
    })
}

/// Lets demand sit on one of three entries and counts the slots in use.
async fn slots(span: Duration) -> http_types::Result<(f64, usize, Times)> {
    let site = Site::start(3, 17, WORK).await?;
    let all = site.endpoints.len() * 8;
    let target = Target::new(&site.entries[0], "/v1/call/booking")?;
    let rate = 1.1 * all as f64 / WORK.as_secs_f64();
    let load = async_std::task::spawn(async move { open(&target, rate, span).await });
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
async fn leaving() -> http_types::Result<(Duration, Times)> {
    let site = Site::start(2, 4, Duration::from_millis(5)).await?;
    let target = Target::new(&site.entries[0], "/v1/call/booking")?;
    let load = async_std::task::spawn(async move { open(&target, 500.0, WATCH * 2).await });
    async_std::task::sleep(WATCH).await;
    let news = Instant::now();
    site.leave(0);
    let times = load.await;
    let after = news.elapsed().saturating_sub(site.endpoints[0].last());
    Ok((after, times))
}

/// Lets callers ask without rest; returns the answers a second.
async fn closed(target: &Target, span: Duration) -> f64 {
    let caller = |_| {
        let target = target.clone();
        async_std::task::spawn(async move {
            let start = Instant::now();
            let mut done = 0_u64;
            while start.elapsed() < span {
                done += u64::from(target.call().await);
            }
            done
        })
    };
    let callers: Vec<_> = (0..CONNECTIONS).map(caller).collect();
    let done: u64 = futures::future::join_all(callers).await.iter().sum();
    done as f64 / span.as_secs_f64()
}

/// Sends requests at fixed times, whatever becomes of those before.
async fn open(target: &Target, rate: f64, span: Duration) -> Times {
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
        let (target, times) = (target.clone(), Arc::clone(&times));
        calls.push(async_std::task::spawn(async move {
            let done = target.call().await;
            if done {
                let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
                times.saturating_record(due.elapsed().as_micros() as u64);
            }
            done
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
        failed: results.iter().filter(|done| !**done).count() as u64,
    }
}

impl Target {
    fn new(address: &str, path: &str) -> http_types::Result<Self> {
        Ok(Self {
            address: address.to_owned(),
            url: Url::parse(&format!("http://{address}{path}"))?,
            idle: Arc::default(),
        })
    }

    /// Makes one call; tells whether the whole answer came.
    async fn call(&self) -> bool {
        self.attempt().await.unwrap_or(false)
    }

    async fn attempt(&self) -> http_types::Result<bool> {
        let kept = self.idle().pop();
        let stream = match kept {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(&self.address).await?;
                stream.set_nodelay(true)?;
                stream
            }
        };
        let mut request = Request::new(Method::Post, self.url.clone());
        request.insert_header("x-marigold-team", "sellers");
        request.insert_header("x-marigold-request", "bench");
        request.insert_header("x-marigold-idempotent", "true");
        request.set_body("a booking");
        let mut response = async_h1::connect(stream.clone(), request).await?;
        let body = response.body_bytes().await?;
        self.idle().push(stream);
        Ok(response.status().is_success() && body == b"a booking")
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
