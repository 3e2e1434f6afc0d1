//! Spans that users wait for: a configuration in force everywhere, a lead's take-over.

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
use super::sites::intent;

/// Changes whose spread is timed.
const CHANGES: u32 = 60;
/// Services with different run times, and by how much these differ.
const STEPS: u64 = 40;
const STEP: Millis = Millis(400);
/// Take-overs that are timed, of each kind.
const TAKE_OVERS: u64 = 5;
/// The longest wait for one.
const LONGEST: Duration = Duration::from_secs(60);
/// An hour, in microseconds.
const LONGEST_MICROS: u64 = 3_600_000_000;
const POLL: Duration = Duration::from_millis(2);

/// `Spread` is how long something took, over several samples.
#[derive(Debug, Serialize)]
pub(crate) struct Spread {
    name: &'static str,
    samples: u64,
    p50_ms: f64,
    p99_ms: f64,
    most_ms: f64,
}

impl Spread {
    /// Makes the spread of samples.
    pub(crate) fn new(name: &'static str, spans: &[Duration]) -> Self {
        let mut histogram: Histogram<u64> =
            Histogram::new_with_bounds(1, LONGEST_MICROS, 3).expect("the bounds are in order");
        for span in spans {
            histogram.saturating_record(u64::try_from(span.as_micros()).unwrap_or(u64::MAX));
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

/// Times the spread of changes over `domains` failure domains with three entries each.
pub(crate) async fn config(domains: u32, seed: u64) -> Result<Spread, Error> {
    let mut shape = Shape::new(3, 4, seed);
    shape.domains = domains;
    let rig = Rig::start(shape).await?;
    let name = if domains == 8 {
        "config in force, 24 entries"
    } else {
        "config in force"
    };
    Ok(Spread::new(name, &changes(&rig).await?))
}

/// Makes changes one after the other and times each until it is in force at all entries.
pub(crate) async fn changes(rig: &Rig) -> Result<Vec<Duration>, Error> {
    let mut spans = Vec::new();
    for number in 0..CHANGES {
        let start = Instant::now();
        let sequence = change(rig, number).await?;
        for at in 0..rig.entries.len() {
            reached(rig, at, sequence).await?;
        }
        spans.push(start.elapsed());
        task::sleep(Duration::from_millis(37)).await;
    }
    Ok(spans)
}

/// Starts or ends the drain of one of four workers at the first entry, and returns its number.
pub(crate) async fn change(rig: &Rig, number: u32) -> Result<u64, Error> {
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
pub(crate) async fn reached(rig: &Rig, at: usize, sequence: u64) -> Result<(), Error> {
    let start = Instant::now();
    let address = rig.entries[at].address("operators");
    while start.elapsed() < LONGEST {
        let text = fetch(&address, "/metrics").await.unwrap_or_default();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("marigold_config_sequence "));
        let have = line
            .and_then(|value| value.trim().parse::<f64>().ok())
            .unwrap_or(0.0);
        if have >= sequence as f64 {
            return Ok(());
        }
        task::sleep(POLL).await;
    }
    Err(Error::Late("a change in force at an entry"))
}

/// Times from a lead's death to the first start by the next lead, with the store up or down.
pub(crate) async fn take_over(store_up: bool, seed: u64) -> Result<Spread, Error> {
    let mut spans = Vec::new();
    for number in 0..TAKE_OVERS {
        spans.push(one_take_over(store_up, seed + number).await?);
    }
    let name = if store_up {
        "take-over, store up"
    } else {
        "take-over, store down"
    };
    Ok(Spread::new(name, &spans))
}

async fn one_take_over(store_up: bool, seed: u64) -> Result<Duration, Error> {
    let mut rig = Rig::start(Shape::new(3, 8, seed)).await?;
    let lead = rig.lead().await?;
    let other = (lead + 1) % rig.entries.len();
    rig.confirm(other, &staggered()).await?;
    task::sleep(Duration::from_secs(2)).await;
    if !store_up {
        switch(&rig, "{\"fault\":{\"kind\":\"store-down\"},\"on\":true}").await;
        task::sleep(Duration::from_millis(300)).await;
    }
    rig.entries[lead].kill();
    let killed = Instant::now();
    // A start that the dead lead had sent is counted by now.
    task::sleep(Duration::from_millis(100)).await;
    let before = starts(&rig).await?;
    while killed.elapsed() < LONGEST {
        if starts(&rig).await? > before {
            return Ok(killed.elapsed());
        }
        task::sleep(POLL).await;
    }
    Err(Error::Late("a start by the next lead"))
}

/// Writes an intent of services whose instances end by themselves at many different times and are
/// started again. Without the store a new lead starts only what it has seen running, so that some
/// instances have to end after it took over.
fn staggered() -> String {
    let mut text = String::new();
    for step in 1..=STEPS {
        let command = format!("run_ms={}", step * STEP.0);
        let job = intent(&format!("steady-{step}"), "service", 4, &command);
        let from = if step == 1 {
            0
        } else {
            job.find("[[job]]").unwrap_or(0)
        };
        text.push_str(&job[from..]);
    }
    text
}

async fn starts(rig: &Rig) -> Result<u64, Error> {
    truth(rig).await.map(|truth| truth.starts)
}

/// Reads the stand-ins' truth.
pub(super) async fn truth(rig: &Rig) -> Result<Truth, Error> {
    let address = rig.platform.address("platform");
    let text = fetch(address.trim_start_matches("http://"), "/v1/truth").await;
    let truth: Option<Truth> = text.and_then(|text| serde_json::from_str(&text).ok());
    truth.ok_or(Error::Late("the stand-ins' truth"))
}

/// Begins or ends a fault of the stand-ins.
pub(super) async fn switch(rig: &Rig, body: &str) {
    let base = rig.platform.address("platform");
    let url = Url::parse(&format!("{base}/v1/fault")).expect("the address is a URL");
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    if let Ok(stream) = async_std::net::TcpStream::connect(base.trim_start_matches("http://")).await
    {
        drop(async_h1::connect(stream, request).await);
    }
}
