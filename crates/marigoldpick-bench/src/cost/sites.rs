//! The cost of real processes over loopback, idle and busy.

use std::time::{Duration, Instant};

use async_std::task;
use marigoldpick_core::config::Target;
use marigoldpick_core::operator::Drain;
use marigoldpick_core::prelude::*;

use super::process::Error;
use super::rig::{Reading, Rig, Shape};
use super::roles;
use super::slope::{Point, Slope};

/// Numbers of workers of the idle sites.
const WORKERS: [u32; 3] = [8, 32, 96];
/// Numbers of workers of the idle sites whose renewal interval follows from that number.
const PACED_WORKERS: [u32; 3] = [48, 96, 192];
/// The least measuring time at those sites: twice their longest renewal interval.
const MIN_PACED_SECONDS: u64 = 40;
/// A limit of renewals per second that no site reaches.
const UNLIMITED_RENEWALS: u32 = 1_000_000;
/// Numbers of running tasks of the idle sites.
const TASKS: [u32; 3] = [0, 160, 640];
/// Numbers of entries of the idle sites.
const ENTRIES: [u32; 4] = [2, 4, 8, 12];
/// Numbers of failure domains of the idle sites.
const DOMAINS: [u32; 4] = [2, 4, 8, 12];
/// The least measuring time over failure domains: heartbeats between them are seconds apart, so that a
/// shorter measurement would miss some.
const MIN_DOMAINS_SECONDS: u64 = 12;
/// Task starts per second of the busy sites.
const STARTS_PER_SECOND: [u32; 3] = [10, 40, 120];
/// Configuration changes per second of the busy sites.
const CHANGES_PER_SECOND: [u32; 3] = [1, 4, 10];
/// The number of workers of sites that vary something else.
const USUAL_WORKERS: u32 = 32;

/// `Series` collects the points of all slopes over one size.
pub(super) struct Series {
    per: &'static str,
    lines: Vec<(&'static str, &'static str, Vec<Point>)>,
}

impl Series {
    pub(super) const fn new(per: &'static str) -> Self {
        Self {
            per,
            lines: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, name: &'static str, unit: &'static str, x: f64, y: f64) {
        let point = Point { x, y };
        match self.lines.iter_mut().find(|line| line.0 == name) {
            Some(line) => line.2.push(point),
            None => self.lines.push((name, unit, vec![point])),
        }
    }

    pub(super) fn fit(self) -> Vec<Slope> {
        let per = self.per;
        self.lines
            .into_iter()
            .map(|(name, unit, points)| Slope::fit(name, unit, per, points))
            .collect()
    }
}

/// Measures the sites selected by `part`.
pub(crate) async fn measure(part: &str, seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let selects = |name: &str| matches!(part, "all" | "sites") || part == name;
    let mut slopes = Vec::new();
    if selects("workers") {
        slopes.extend(by_workers(seconds, seed).await?);
    }
    if selects("pace") {
        slopes.extend(by_pace(seconds, seed).await?);
    }
    if selects("tasks") {
        slopes.extend(by_tasks(seconds, seed).await?);
    }
    if selects("entries") {
        slopes.extend(by_entries(seconds, seed).await?);
    }
    if selects("domains") {
        slopes.extend(by_domains(seconds, seed).await?);
    }
    if selects("starts") {
        slopes.extend(by_starts(seconds, seed).await?);
    }
    if selects("changes") {
        slopes.extend(by_changes(seconds, seed).await?);
    }
    if selects("teams") {
        slopes.extend(roles::by_teams(seconds, seed).await?);
    }
    if selects("requests") {
        slopes.extend(roles::by_requests(seconds, seed).await?);
    }
    Ok(slopes)
}

/// Measures sites whose leads renew each worker's lease once a second.
async fn by_workers(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("worker");
    for workers in WORKERS {
        let mut shape = Shape::new(2, workers, seed);
        shape.ownership.renewals = UNLIMITED_RENEWALS;
        let rig = Rig::start(shape).await?;
        let lead = rig.find_lead().await?;
        let (before, after) = rig.read_twice(lead, seconds).await;
        let x = f64::from(workers);
        series.add("lead.processor", "us/s", x, after.processor_rate(&before));
        series.add("lead.worker-bytes", "B/s", x, worker_bytes(&after, &before));
        series.add("lead.worker-calls", "1/s", x, worker_calls(&after, &before));
        series.add("lead.store-calls", "1/s", x, store_calls(&after, &before));
        series.add("lead.memory", "KiB", x, after.memory_kib);
    }
    Ok(series.fit())
}

/// Measures sites whose leads set the renewal interval by the number of workers.
async fn by_pace(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("worker, paced");
    for workers in PACED_WORKERS {
        let rig = Rig::start(Shape::new(2, workers, seed)).await?;
        let lead = rig.find_lead().await?;
        let (before, after) = rig.read_twice(lead, seconds.max(MIN_PACED_SECONDS)).await;
        let x = f64::from(workers);
        series.add("lead.processor", "us/s", x, after.processor_rate(&before));
        series.add("lead.worker-bytes", "B/s", x, worker_bytes(&after, &before));
        series.add("lead.worker-calls", "1/s", x, worker_calls(&after, &before));
    }
    Ok(series.fit())
}

/// Measures the leads of idle sites with different numbers of running tasks.
async fn by_tasks(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("running task");
    for tasks in TASKS {
        let rig = Rig::start(Shape::new(2, USUAL_WORKERS, seed)).await?;
        let lead = rig.find_lead().await?;
        if tasks > 0 {
            rig.confirm(lead, &job_intent("steady", "service", tasks, "forever"))
                .await?;
            rig.wait_for_status(lead, "running tasks", |status| {
                status
                    .shards
                    .iter()
                    .any(|shard| shard.running >= tasks && shard.waiting == 0)
            })
            .await?;
            task::sleep(Duration::from_secs(2)).await;
        }
        let (before, after) = rig.read_twice(lead, seconds).await;
        let x = f64::from(tasks);
        series.add("lead.processor", "us/s", x, after.processor_rate(&before));
        series.add("lead.worker-bytes", "B/s", x, worker_bytes(&after, &before));
        series.add("lead.memory", "KiB", x, after.memory_kib);
    }
    Ok(series.fit())
}

/// Measures entries that do not lead, at sites with different numbers of entries.
async fn by_entries(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("other entry of the domain");
    for entries in ENTRIES {
        let rig = Rig::start(Shape::new(entries, 4, seed)).await?;
        let lead = rig.find_lead().await?;
        let other = (0..rig.entries.len())
            .find(|at| *at != lead)
            .unwrap_or(lead);
        let (before, after) = rig.read_twice(other, seconds).await;
        let x = f64::from(entries - 1);
        series.add("entry.processor", "us/s", x, after.processor_rate(&before));
        series.add(
            "entry.beat-bytes",
            "B/s",
            x,
            after.rate(&before, &ENTRY_BYTES),
        );
        series.add("entry.store-calls", "1/s", x, store_calls(&after, &before));
        series.add("entry.memory", "KiB", x, after.memory_kib);
    }
    Ok(series.fit())
}

/// Measures an entry at sites with different numbers of failure domains.
async fn by_domains(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("entry of another domain");
    for domains in DOMAINS {
        let mut shape = Shape::new(1, 4, seed);
        shape.domains = domains;
        let rig = Rig::start(shape).await?;
        let (before, after) = rig.read_twice(0, seconds.max(MIN_DOMAINS_SECONDS)).await;
        let x = f64::from(domains - 1);
        series.add("entry.processor", "us/s", x, after.processor_rate(&before));
        series.add(
            "entry.beat-bytes",
            "B/s",
            x,
            after.rate(&before, &ENTRY_BYTES),
        );
        series.add("entry.store-calls", "1/s", x, store_calls(&after, &before));
    }
    Ok(series.fit())
}

/// Measures leads at different rates of task starts.
async fn by_starts(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("task start");
    for rate in STARTS_PER_SECOND {
        let rig = Rig::start(Shape::new(2, USUAL_WORKERS, seed)).await?;
        let lead = rig.find_lead().await?;
        let other = (0..rig.entries.len())
            .find(|at| *at != lead)
            .unwrap_or(lead);
        let before = rig.read(lead).await;
        let start = Instant::now();
        let mut started = 0;
        for second in 0..seconds {
            let name = format!("burst-{second}");
            rig.confirm(other, &job_intent(&name, "batch", rate, "run_ms=300"))
                .await?;
            started += rate;
            sleep_until(start, second + 1).await;
        }
        let after = rig.read(lead).await;
        let x = f64::from(started) / after.seconds(&before);
        series.add("lead.processor", "us/s", x, after.processor_rate(&before));
        series.add("lead.worker-bytes", "B/s", x, worker_bytes(&after, &before));
        series.add("lead.store-writes", "1/s", x, store_writes(&after, &before));
    }
    Ok(series.fit())
}

/// Measures the lead and another entry at different rates of configuration changes.
async fn by_changes(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("configuration change");
    for rate in CHANGES_PER_SECOND {
        let rig = Rig::start(Shape::new(3, 4, seed)).await?;
        let lead = rig.find_lead().await?;
        let other = (0..rig.entries.len())
            .find(|at| *at != lead)
            .unwrap_or(lead);
        let client = rig.client(lead);
        let (before, other_before) = (rig.read(lead).await, rig.read(other).await);
        let start = Instant::now();
        let mut made = 0;
        for second in 0..seconds {
            for number in 0..rate {
                let name = format!("bench-{}", made / 2 % 16);
                let worker = id::Worker::new(&name).expect("a name");
                let drain = Drain {
                    target: Target::Worker(worker),
                    on: made % 2 == 0,
                };
                client
                    .drain(&drain)
                    .await
                    .map_err(|problem| Error::Entry(problem.message))?;
                made += 1;
                sleep_until_part(start, second, number + 1, rate).await;
            }
        }
        let (after, other_after) = (rig.read(lead).await, rig.read(other).await);
        let x = f64::from(made) / after.seconds(&before);
        series.add(
            "proposer.processor",
            "us/s",
            x,
            after.processor_rate(&before),
        );
        series.add(
            "proposer.store-writes",
            "1/s",
            x,
            store_writes(&after, &before),
        );
        series.add(
            "entry.processor",
            "us/s",
            x,
            other_after.processor_rate(&other_before),
        );
        series.add(
            "entry.bytes",
            "B/s",
            x,
            other_after.rate(&other_before, &ENTRY_BYTES),
        );
    }
    Ok(series.fit())
}

/// Words that select the counters of bytes between entries.
pub(super) const ENTRY_BYTES: [&str; 2] = ["marigold_bytes_total", "target=\"entry\""];

/// Returns the bytes per second between an entry and the workers.
pub(super) fn worker_bytes(after: &Reading, before: &Reading) -> f64 {
    after.rate(before, &["marigold_bytes_total", "target=\"worker\""])
}

/// Returns the calls per second from an entry to the workers.
pub(super) fn worker_calls(after: &Reading, before: &Reading) -> f64 {
    after.rate(
        before,
        &["marigold_platform_calls_total", "target=\"worker\""],
    )
}

/// Returns the calls per second from an entry to the store.
pub(super) fn store_calls(after: &Reading, before: &Reading) -> f64 {
    after.rate(
        before,
        &["marigold_platform_calls_total", "target=\"store\""],
    )
}

/// Returns the writes per second from an entry to the store.
fn store_writes(after: &Reading, before: &Reading) -> f64 {
    after.rate(
        before,
        &[
            "marigold_platform_calls_total",
            "target=\"store\"",
            "kind=\"put\"",
        ],
    )
}

/// Sleeps until a whole number of seconds after `start`.
async fn sleep_until(start: Instant, second: u64) {
    sleep_until_part(start, second, 0, 1).await;
}

/// Sleeps until `second + part / of` seconds after `start`.
async fn sleep_until_part(start: Instant, second: u64, part: u32, of: u32) {
    let due = Duration::from_secs(second) + Duration::from_secs(1) * part / of;
    task::sleep(due.saturating_sub(start.elapsed())).await;
}

/// Returns an intent of one job.
pub(crate) fn job_intent(name: &str, class: &str, count: u32, command: &str) -> String {
    format!(
        "[[team]]\nname = \"bench\"\nquota = {{ millicores = 1000000000, memory_mib = 1000000000 }}\n\
         [[job]]\nname = \"{name}\"\nclass = \"{class}\"\nteam = \"bench\"\ncount = {count}\n\
         needs = {{ millicores = 500, memory_mib = 512 }}\ncommand = \"{command}\"\n"
    )
}
