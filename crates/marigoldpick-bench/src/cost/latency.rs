//! Latencies that users notice: until a configuration is in force everywhere, and until a lead takes over.

use std::time::{Duration, Instant};

use async_std::task;
use hdrhistogram::Histogram;
use http_types::{Method, Request, Url};
use marigoldpick_core::config::Target;
use marigoldpick_core::operator::Drain;
use marigoldpick_core::prelude::*;
use marigoldpick_standin::Truth;
use serde::Serialize;

use super::process::Error;
use super::rig::{Rig, Shape, fetch};
use super::sites::job_intent;

/// The number of changes that are timed.
const CHANGE_COUNT: u32 = 60;
/// The number of services with different run times, and the step between two run times.
const RUN_TIMES: u64 = 40;
const RUN_TIME_STEP: Millis = Millis(400);
/// The number of timed take-overs, with the store up and with it down.
const TAKE_OVER_COUNT: u64 = 5;
/// The timeout of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The highest value of the histograms: an hour, in microseconds.
const HISTOGRAM_MAX_US: u64 = 3_600_000_000;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// `Spread` is the distribution of a latency over several samples.
#[derive(Debug, Serialize)]
pub(crate) struct Spread {
    name: &'static str,
    samples: u64,
    p50_ms: f64,
    p99_ms: f64,
    most_ms: f64,
}

impl Spread {
    /// Computes the distribution of the samples.
    pub(crate) fn new(name: &'static str, durations: &[Duration]) -> Self {
        let mut histogram: Histogram<u64> =
            Histogram::new_with_bounds(1, HISTOGRAM_MAX_US, 3).expect("the bounds are in order");
        for duration in durations {
            histogram.saturating_record(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX));
        }
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            name,
            samples: histogram.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            most_ms: at(1.0),
        }
    }
}

impl std::fmt::Display for Spread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:<44} p50 {:.1} ms, p99 {:.1} ms, most {:.1} ms, {} samples",
            self.name, self.p50_ms, self.p99_ms, self.most_ms, self.samples
        )
    }
}

/// Measures the propagation of changes over `domains` failure domains with three entries each.
pub(crate) async fn measure_config(domains: u32, seed: u64) -> Result<Spread, Error> {
    let mut shape = Shape::new(3, 4, seed);
    shape.domains = domains;
    let rig = Rig::start(shape).await?;
    let name = if domains == 8 {
        "config in force, 24 entries"
    } else {
        "config in force"
    };
    Ok(Spread::new(name, &time_changes(&rig).await?))
}

/// Makes changes one after the other and measures the time until each is in force at all entries.
pub(crate) async fn time_changes(rig: &Rig) -> Result<Vec<Duration>, Error> {
    let mut durations = Vec::new();
    for number in 0..CHANGE_COUNT {
        let start = Instant::now();
        let sequence = toggle_drain(rig, number).await?;
        for at in 0..rig.entries.len() {
            wait_for_change(rig, at, sequence).await?;
        }
        durations.push(start.elapsed());
        task::sleep(Duration::from_millis(37)).await;
    }
    Ok(durations)
}

/// Starts or ends the drain of one of four workers at the first entry.
///
/// Returns the sequence number of the change.
pub(crate) async fn toggle_drain(rig: &Rig, number: u32) -> Result<u64, Error> {
    let worker = id::Worker::new(&format!("d0-r0/w{}", number / 2 % 4)).expect("a name");
    let drain = Drain {
        target: Target::Worker(worker),
        on: number.is_multiple_of(2),
    };
    let accepted = rig.client(0).drain(&drain).await;
    accepted
        .map(|accepted| accepted.sequence)
        .map_err(|problem| Error::Entry(problem.message))
}

/// Waits until a change is in force at an entry.
pub(crate) async fn wait_for_change(rig: &Rig, at: usize, sequence: u64) -> Result<(), Error> {
    let start = Instant::now();
    let address = rig.entries[at].address("operators");
    while start.elapsed() < WAIT_TIMEOUT {
        let text = fetch(&address, "/metrics").await.unwrap_or_default();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("marigold_config_sequence "));
        let current = line
            .and_then(|value| value.trim().parse::<f64>().ok())
            .unwrap_or(0.0);
        if current >= sequence as f64 {
            return Ok(());
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Err(Error::Timeout("a change in force at an entry"))
}

/// Measures the time from a lead's death to the next lead's first task start, with the store up or down.
pub(crate) async fn measure_take_over(store_up: bool, seed: u64) -> Result<Spread, Error> {
    let mut durations = Vec::new();
    for number in 0..TAKE_OVER_COUNT {
        durations.push(time_take_over(store_up, seed + number).await?);
    }
    let name = if store_up {
        "take-over, store up"
    } else {
        "take-over, store down"
    };
    Ok(Spread::new(name, &durations))
}

async fn time_take_over(store_up: bool, seed: u64) -> Result<Duration, Error> {
    let mut rig = Rig::start(Shape::new(3, 8, seed)).await?;
    let lead = rig.find_lead().await?;
    let other = (lead + 1) % rig.entries.len();
    rig.confirm(other, &staggered_services()).await?;
    task::sleep(Duration::from_secs(2)).await;
    if !store_up {
        switch_fault(&rig, "{\"fault\":{\"kind\":\"store-down\"},\"on\":true}").await;
        task::sleep(Duration::from_millis(300)).await;
    }
    rig.entries[lead].kill();
    let killed = Instant::now();
    // The delay lets the stand-in count starts that the dead lead sent before it was killed.
    task::sleep(Duration::from_millis(100)).await;
    let before = count_starts(&rig).await?;
    while killed.elapsed() < WAIT_TIMEOUT {
        if count_starts(&rig).await? > before {
            return Ok(killed.elapsed());
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Err(Error::Timeout("a start by the next lead"))
}

/// Returns an intent of services whose instances end at many different times and are started again.
///
/// Without the store a new lead starts only tasks that it has seen running, so that some instances have
/// to end after the take-over.
fn staggered_services() -> String {
    let mut text = String::new();
    for step in 1..=RUN_TIMES {
        let command = format!("run_ms={}", step * RUN_TIME_STEP.0);
        let job = job_intent(&format!("steady-{step}"), "service", 4, &command);
        let from = if step == 1 {
            0
        } else {
            job.find("[[job]]").unwrap_or(0)
        };
        text.push_str(&job[from..]);
    }
    text
}

async fn count_starts(rig: &Rig) -> Result<u64, Error> {
    fetch_truth(rig).await.map(|truth| truth.starts)
}

/// Fetches the stand-ins' counts of what really happened.
pub(super) async fn fetch_truth(rig: &Rig) -> Result<Truth, Error> {
    let address = rig.platform.address("platform");
    let text = fetch(address.trim_start_matches("http://"), "/v1/truth").await;
    let truth: Option<Truth> = text.and_then(|text| serde_json::from_str(&text).ok());
    truth.ok_or(Error::Timeout("the stand-ins' truth"))
}

/// Starts or ends a fault of the stand-ins.
pub(super) async fn switch_fault(rig: &Rig, body: &str) {
    let base = rig.platform.address("platform");
    let url = Url::parse(&format!("{base}/v1/fault")).expect("the address is a URL");
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    if let Ok(stream) = async_std::net::TcpStream::connect(base.trim_start_matches("http://")).await
    {
        drop(async_h1::connect(stream, request).await);
    }
}
