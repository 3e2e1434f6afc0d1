//! Costs of real processes over loopback, idle and busy.

use std::time::{Duration, Instant};

use async_std::task;
use marigoldpick_core::config::Target;
use marigoldpick_core::operator::Drain;
use marigoldpick_core::prelude::*;

use super::fit::{Point, Slope};
use super::process::Error;
use super::rig::{Reading, Rig, Shape};
use super::roles;

/// Workers of the idle sites.
const WORKERS: [u32; 3] = [8, 32, 96];
/// Workers of the idle sites whose number decides how often they are renewed.
const PACED: [u32; 3] = [48, 96, 192];
/// Twice the longest interval of those sites.
const PACED_SECONDS: u64 = 40;
/// A bound on the renewals a second that no site reaches.
const UNBOUNDED: u32 = 1_000_000;
/// Running tasks of the idle sites.
const TASKS: [u32; 3] = [0, 160, 640];
/// Entries of the idle sites.
const ENTRIES: [u32; 4] = [2, 4, 8, 12];
/// Failure domains of the idle sites.
const DOMAINS: [u32; 4] = [2, 4, 8, 12];
/// Beats between failure domains are seconds apart, so that a short look would miss some.
const FAR_SECONDS: u64 = 12;
/// Task starts a second of the busy sites.
const STARTS: [u32; 3] = [10, 40, 120];
/// Configuration changes a second of the busy sites.
const CHANGES: [u32; 3] = [1, 4, 10];
/// Workers of sites where their number is not the point.
const SOME: u32 = 32;

/// `Series` gathers the points of slopes over one size.
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

/// Measures the sites that `part` names.
pub(crate) async fn measure(part: &str, seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let wants = |name: &str| matches!(part, "all" | "sites") || part == name;
    let mut slopes = Vec::new();
    if wants("workers") {
        slopes.extend(by_workers(seconds, seed).await?);
    }
    if wants("pace") {
        slopes.extend(by_pace(seconds, seed).await?);
    }
    if wants("tasks") {
        slopes.extend(by_tasks(seconds, seed).await?);
    }
    if wants("entries") {
        slopes.extend(by_entries(seconds, seed).await?);
    }
    if wants("domains") {
        slopes.extend(by_domains(seconds, seed).await?);
    }
    if wants("starts") {
        slopes.extend(by_starts(seconds, seed).await?);
    }
    if wants("changes") {
        slopes.extend(by_changes(seconds, seed).await?);
    }
    if wants("teams") {
        slopes.extend(roles::by_teams(seconds, seed).await?);
    }
    if wants("requests") {
        slopes.extend(roles::by_requests(seconds, seed).await?);
    }
    Ok(slopes)
}

/// Measures sites whose leads renew each worker once a second.
async fn by_workers(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("worker");
    for workers in WORKERS {
        let mut shape = Shape::new(2, workers, seed);
        shape.ownership.renewals = UNBOUNDED;
        let rig = Rig::start(shape).await?;
        let lead = rig.lead().await?;
        let (before, after) = rig.watch(lead, seconds).await;
        let x = f64::from(workers);
        series.add("lead.processor", "us/s", x, after.processor(&before));
        series.add("lead.worker-bytes", "B/s", x, worker_bytes(&after, &before));
        series.add("lead.worker-calls", "1/s", x, worker_calls(&after, &before));
        series.add("lead.store-calls", "1/s", x, store_calls(&after, &before));
        series.add("lead.memory", "KiB", x, after.memory);
    }
    Ok(series.fit())
}

/// Measures sites whose leads renew as often as the number of workers calls for.
async fn by_pace(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("worker, paced");
    for workers in PACED {
        let rig = Rig::start(Shape::new(2, workers, seed)).await?;
        let lead = rig.lead().await?;
        let (before, after) = rig.watch(lead, seconds.max(PACED_SECONDS)).await;
        let x = f64::from(workers);
        series.add("lead.processor", "us/s", x, after.processor(&before));
        series.add("lead.worker-bytes", "B/s", x, worker_bytes(&after, &before));
        series.add("lead.worker-calls", "1/s", x, worker_calls(&after, &before));
    }
    Ok(series.fit())
}

async fn by_tasks(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("running task");
    for tasks in TASKS {
        let rig = Rig::start(Shape::new(2, SOME, seed)).await?;
        let lead = rig.lead().await?;
        if tasks > 0 {
            rig.confirm(lead, &intent("steady", "service", tasks, "forever"))
                .await?;
            rig.until(lead, "running tasks", |status| {
                status
                    .shards
                    .iter()
                    .any(|shard| shard.running >= tasks && shard.waiting == 0)
            })
            .await?;
            task::sleep(Duration::from_secs(2)).await;
        }
        let (before, after) = rig.watch(lead, seconds).await;
        let x = f64::from(tasks);
        series.add("lead.processor", "us/s", x, after.processor(&before));
        series.add("lead.worker-bytes", "B/s", x, worker_bytes(&after, &before));
        series.add("lead.memory", "KiB", x, after.memory);
    }
    Ok(series.fit())
}

async fn by_entries(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("other entry of the domain");
    for entries in ENTRIES {
        let rig = Rig::start(Shape::new(entries, 4, seed)).await?;
        let lead = rig.lead().await?;
        let other = (0..rig.entries.len())
            .find(|at| *at != lead)
            .unwrap_or(lead);
        let (before, after) = rig.watch(other, seconds).await;
        let x = f64::from(entries - 1);
        series.add("entry.processor", "us/s", x, after.processor(&before));
        series.add("entry.beat-bytes", "B/s", x, after.rate(&before, &BEATS));
        series.add("entry.store-calls", "1/s", x, store_calls(&after, &before));
        series.add("entry.memory", "KiB", x, after.memory);
    }
    Ok(series.fit())
}

async fn by_domains(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("entry of another domain");
    for domains in DOMAINS {
        let mut shape = Shape::new(1, 4, seed);
        shape.domains = domains;
        let rig = Rig::start(shape).await?;
        let (before, after) = rig.watch(0, seconds.max(FAR_SECONDS)).await;
        let x = f64::from(domains - 1);
        series.add("entry.processor", "us/s", x, after.processor(&before));
        series.add("entry.beat-bytes", "B/s", x, after.rate(&before, &BEATS));
        series.add("entry.store-calls", "1/s", x, store_calls(&after, &before));
    }
    Ok(series.fit())
}

async fn by_starts(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("task start");
    for rate in STARTS {
        let rig = Rig::start(Shape::new(2, SOME, seed)).await?;
        let lead = rig.lead().await?;
        let other = (0..rig.entries.len())
            .find(|at| *at != lead)
            .unwrap_or(lead);
        let before = rig.read(lead).await;
        let start = Instant::now();
        let mut started = 0;
        for second in 0..seconds {
            let name = format!("burst-{second}");
            rig.confirm(other, &intent(&name, "batch", rate, "run_ms=300"))
                .await?;
            started += rate;
            sleep_until(start, second + 1).await;
        }
        let after = rig.read(lead).await;
        let x = f64::from(started) / after.seconds(&before);
        series.add("lead.processor", "us/s", x, after.processor(&before));
        series.add("lead.worker-bytes", "B/s", x, worker_bytes(&after, &before));
        series.add("lead.store-writes", "1/s", x, store_writes(&after, &before));
    }
    Ok(series.fit())
}

async fn by_changes(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("configuration change");
    for rate in CHANGES {
        let rig = Rig::start(Shape::new(3, 4, seed)).await?;
        let lead = rig.lead().await?;
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
                sleep_part(start, second, number + 1, rate).await;
            }
        }
        let (after, other_after) = (rig.read(lead).await, rig.read(other).await);
        let x = f64::from(made) / after.seconds(&before);
        series.add("proposer.processor", "us/s", x, after.processor(&before));
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
            other_after.processor(&other_before),
        );
        series.add(
            "entry.bytes",
            "B/s",
            x,
            other_after.rate(&other_before, &BEATS),
        );
    }
    Ok(series.fit())
}

/// The words of the counters of bytes between entries.
pub(super) const BEATS: [&str; 2] = ["marigold_bytes_total", "target=\"entry\""];

pub(super) fn worker_bytes(after: &Reading, before: &Reading) -> f64 {
    after.rate(before, &["marigold_bytes_total", "target=\"worker\""])
}

pub(super) fn worker_calls(after: &Reading, before: &Reading) -> f64 {
    after.rate(
        before,
        &["marigold_platform_calls_total", "target=\"worker\""],
    )
}

pub(super) fn store_calls(after: &Reading, before: &Reading) -> f64 {
    after.rate(
        before,
        &["marigold_platform_calls_total", "target=\"store\""],
    )
}

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

async fn sleep_until(start: Instant, second: u64) {
    sleep_part(start, second, 0, 1).await;
}

async fn sleep_part(start: Instant, second: u64, part: u32, of: u32) {
    let due = Duration::from_secs(second) + Duration::from_secs(1) * part / of;
    task::sleep(due.saturating_sub(start.elapsed())).await;
}

/// Writes an intent of one job.
pub(crate) fn intent(name: &str, class: &str, count: u32, command: &str) -> String {
    format!(
        "[[team]]\nname = \"bench\"\nquota = {{ millicores = 1000000000, memory_mib = 1000000000 }}\n\
         [[job]]\nname = \"{name}\"\nclass = \"{class}\"\nteam = \"bench\"\ncount = {count}\n\
         needs = {{ millicores = 500, memory_mib = 512 }}\ncommand = \"{command}\"\n"
    )
}
