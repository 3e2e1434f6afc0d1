//! A site of real processes for measurements: a platform stand-in and entries.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_std::task;
use http_types::{Method, Request, Url};
use marigoldpick::client::Client;
use marigoldpick_core::operator::{PlanRequest, Status};
use marigoldpick_core::prelude::*;
use marigoldpick_entry::settings::{Peer, Settings as EntrySettings, Span};
use marigoldpick_standin::relay::Pending;
use marigoldpick_standin::{Relay, Settings as StandinSettings};

use super::process::{Error, Process};

/// The timeout of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time between the start of a site and its first measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// `Shape` describes a site to be measured.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    /// The number of failure domains.
    pub(crate) domains: u32,
    /// The number of entries in each failure domain.
    pub(crate) entries: u32,
    /// The number of workers in each failure domain.
    pub(crate) workers: u32,
    /// The settings of leases, heartbeats and logs.
    pub(crate) ownership: marigoldpick_shard::Settings,
    /// The one-way latency of the links between entries, and from entries to the store.
    pub(crate) latency: Option<Millis>,
    /// The seed of the stand-ins.
    pub(crate) seed: u64,
}

impl Shape {
    /// Describes a site of one failure domain.
    pub(crate) fn new(entries: u32, workers: u32, seed: u64) -> Self {
        Self {
            domains: 1,
            entries,
            workers,
            ownership: marigoldpick_shard::Settings::default(),
            latency: None,
            seed,
        }
    }
}

/// `Reading` holds one entry's resource use and counters at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reading {
    /// Seconds since the start of the site.
    at_seconds: f64,
    processor_us: f64,
    /// Resident memory, in KiB.
    pub(crate) memory_kib: f64,
    counters: Vec<(String, f64)>,
}

impl Reading {
    /// Returns the seconds since `before`.
    pub(crate) fn seconds(&self, before: &Self) -> f64 {
        self.at_seconds - before.at_seconds
    }

    /// Returns the processor time since `before`, in microseconds per second.
    pub(crate) fn processor_rate(&self, before: &Self) -> f64 {
        (self.processor_us - before.processor_us) / self.seconds(before)
    }

    /// Returns the growth per second since `before` of the counters whose line contains all `words`.
    pub(crate) fn rate(&self, before: &Self, words: &[&str]) -> f64 {
        (self.sum(words) - before.sum(words)) / self.seconds(before)
    }

    /// Returns the sum of the counters whose line contains all `words`.
    pub(crate) fn sum(&self, words: &[&str]) -> f64 {
        let has = |name: &str| words.iter().all(|word| name.contains(word));
        self.counters
            .iter()
            .filter(|(name, _)| has(name))
            .map(|(_, value)| value)
            .sum()
    }
}

/// `Links` are the relays that add latency to one entry's links.
#[derive(Debug)]
struct Links {
    /// The link from other entries.
    entry: Relay,
    /// The link to the store.
    store: Relay,
}

impl Links {
    async fn start(
        platform: &Process,
        latency: Millis,
    ) -> Result<(Option<Self>, Option<Pending>), Error> {
        let base = platform.address("platform");
        let store = base.trim_start_matches("http://").parse();
        let store = Relay::start(store.expect("an address"), latency).await;
        let (entry, pending) = Relay::reserve(latency).await.map_err(Error::File)?;
        let store = store.map_err(Error::File)?;
        Ok((Some(Self { entry, store }), Some(pending)))
    }
}

/// `Rig` is a running site; its processes end when it is dropped.
#[derive(Debug)]
pub(crate) struct Rig {
    pub(crate) platform: Process,
    pub(crate) entries: Vec<Process>,
    names: Vec<id::Entry>,
    links: Vec<Links>,
    shape: Shape,
    directory: PathBuf,
    start: Instant,
}

impl Rig {
    /// Starts the processes and waits until each shard has a lead with all its workers.
    pub(crate) async fn start(shape: Shape) -> Result<Self, Error> {
        let directory = std::env::temp_dir().join(format!(
            "marigold-bench-{}-{}",
            std::process::id(),
            next_directory_number()
        ));
        std::fs::create_dir_all(&directory).map_err(Error::File)?;
        let file = directory.join("standin.toml");
        std::fs::write(&file, standin_settings(&shape)).map_err(Error::File)?;
        let platform = Process::start("marigold-standin", &file.to_string_lossy())?;
        let mut rig = Self {
            platform,
            entries: Vec::new(),
            names: Vec::new(),
            links: Vec::new(),
            shape,
            directory,
            start: Instant::now(),
        };
        let mut peers = Vec::new();
        for domain in 0..rig.shape.domains {
            for number in 0..rig.shape.entries {
                rig.start_entry(domain, number, &mut peers).await?;
            }
        }
        rig.wait_for_leads().await?;
        task::sleep(SETTLE_TIME).await;
        Ok(rig)
    }

    async fn start_entry(
        &mut self,
        domain: u32,
        number: u32,
        peers: &mut Vec<Peer>,
    ) -> Result<(), Error> {
        let name = format!("d{domain}-{number}");
        let any = "127.0.0.1:0".to_owned();
        let entry = id::Entry::new(&name).expect("a name");
        let domain = id::Domain::new(&format!("d{domain}")).expect("a name");
        let (links, pending) = match self.shape.latency {
            Some(latency) => Links::start(&self.platform, latency).await?,
            None => (None, None),
        };
        let settings = EntrySettings {
            entry: entry.clone(),
            domain: domain.clone(),
            callers: any.clone(),
            operators: any.clone(),
            inner: any,
            advertise: links
                .as_ref()
                .map(|links| links.entry.address().to_string()),
            platform: links.as_ref().map_or_else(
                || self.platform.address("platform"),
                |links| format!("http://{}", links.store.address()),
            ),
            peer: peers.clone(),
            log: "warn".to_owned(),
            events: 20_000,
            requests: 20_000,
            span: Span::default(),
            ownership: self.shape.ownership.clone(),
            intake: Default::default(),
        };
        let text = toml::to_string(&settings).expect("settings are TOML");
        let file = self.directory.join(format!("{name}.toml"));
        std::fs::write(&file, text).map_err(Error::File)?;
        let process = Process::start("marigold-entry", &file.to_string_lossy())?;
        let inner = process.address("inner");
        if let Some(pending) = pending {
            pending.forward_to(inner.parse().expect("an address"));
        }
        let address = settings.advertise.unwrap_or(inner);
        peers.push(Peer {
            entry: entry.clone(),
            domain,
            address,
        });
        self.links.extend(links);
        self.entries.push(process);
        self.names.push(entry);
        Ok(())
    }

    /// Begins or ends a network partition between the entries from `first` on and all others.
    pub(crate) fn set_partition(&self, first: usize, on: bool) {
        for links in &self.links[first..] {
            links.entry.partition(on);
            links.store.partition(on);
        }
        // Traffic from the partitioned entries passes through the links of the others.
        for links in &self.links[..first] {
            links.entry.partition(on);
        }
    }

    /// Returns an operator client that tries the entry at `at` first.
    pub(crate) fn client(&self, at: usize) -> Client {
        let mut named: Vec<String> = vec![self.entries[at].address("operators")];
        named.extend(self.entries.iter().map(|entry| entry.address("operators")));
        Client::new(&named).expect("the addresses are well formed")
    }

    /// Returns the status that one entry reports.
    pub(crate) async fn status(&self, at: usize) -> Result<Status, Error> {
        self.client(at)
            .status()
            .await
            .map_err(|problem| Error::Entry(problem.message))
    }

    /// Waits until `holds` is true for the status at one entry.
    pub(crate) async fn wait_for_status(
        &self,
        at: usize,
        what: &'static str,
        holds: impl Fn(&Status) -> bool,
    ) -> Result<(), Error> {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Ok(status) = self.status(at).await
                && holds(&status)
            {
                return Ok(());
            }
            task::sleep(POLL_INTERVAL).await;
        }
        Err(Error::Timeout(what))
    }

    /// Waits until all entries know a lead for each shard and count all workers.
    pub(crate) async fn wait_for_leads(&self) -> Result<(), Error> {
        let shards = (self.shape.domains * self.shape.ownership.shards) as usize;
        let workers = self.shape.domains * self.shape.workers;
        for at in 0..self.entries.len() {
            self.wait_for_status(at, "leads of all shards", |status| {
                let led = status.shards.iter().filter(|shard| shard.lead.is_some());
                let workers_known: u32 = status.shards.iter().map(|shard| shard.workers).sum();
                !status.config_old && led.count() == shards && workers_known == workers
            })
            .await?;
        }
        Ok(())
    }

    /// Kills an entry and starts it again with the other entries as its peers.
    pub(crate) fn restart(&mut self, at: usize) -> Result<(), Error> {
        self.entries[at].kill();
        let file = self.directory.join(format!("{}.toml", self.names[at]));
        let text = std::fs::read_to_string(&file).map_err(Error::File)?;
        let mut settings =
            EntrySettings::parse("entry.toml", &text).expect("it was written as settings");
        settings.peer = self
            .names
            .iter()
            .zip(&self.entries)
            .filter(|(name, _)| **name != settings.entry)
            .map(|(name, process)| Peer {
                entry: name.clone(),
                domain: settings.domain.clone(),
                address: process.address("inner"),
            })
            .collect();
        let text = toml::to_string(&settings).expect("settings are TOML");
        std::fs::write(&file, text).map_err(Error::File)?;
        self.entries[at] = Process::start("marigold-entry", &file.to_string_lossy())?;
        Ok(())
    }

    /// Returns the number of shards that an entry reports to lead.
    pub(crate) async fn led_by(&self, at: usize) -> Result<usize, Error> {
        let status = self.status(at).await?;
        let is_own = |shard: &&marigoldpick_core::operator::Shard| {
            shard.lead.as_ref() == Some(&self.names[at])
        };
        Ok(status.shards.iter().filter(is_own).count())
    }

    /// Returns the index of the entry that leads the first shard.
    pub(crate) async fn find_lead(&self) -> Result<usize, Error> {
        let status = self.status(0).await?;
        let lead = status.shards.first().and_then(|shard| shard.lead.clone());
        let found = lead.and_then(|lead| self.names.iter().position(|name| *name == lead));
        found.ok_or(Error::Timeout("a lead"))
    }

    /// Plans and confirms an intent at one entry; returns the sequence number of the configuration.
    pub(crate) async fn confirm(&self, at: usize, text: &str) -> Result<u64, Error> {
        let client = self.client(at);
        let request = PlanRequest {
            file: "bench.toml".to_owned(),
            text: text.to_owned(),
        };
        let plan = client
            .plan(&request)
            .await
            .map_err(|problem| Error::Entry(problem.message))?;
        let accepted = client.confirm(plan.id).await;
        accepted
            .map(|a| a.sequence)
            .map_err(|problem| Error::Entry(problem.message))
    }

    /// Reads an entry's resource use and counters.
    pub(crate) async fn read(&self, at: usize) -> Reading {
        let entry = &self.entries[at];
        let text = fetch(&entry.address("operators"), "/metrics")
            .await
            .unwrap_or_default();
        let line = |line: &str| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        Reading {
            at_seconds: self.start.elapsed().as_secs_f64(),
            processor_us: entry.processor_us(),
            memory_kib: entry.memory_kib(),
            counters: text
                .lines()
                .filter(|l| !l.starts_with('#'))
                .filter_map(line)
                .collect(),
        }
    }

    /// Returns the number of calls from all entries to the store.
    pub(crate) async fn store_calls(&self) -> f64 {
        let mut calls = 0.0;
        for at in 0..self.entries.len() {
            let words = ["marigold_platform_calls_total", "target=\"store\""];
            calls += self.read(at).await.sum(&words);
        }
        calls
    }

    /// Reads an entry twice, `seconds` apart.
    pub(crate) async fn read_twice(&self, at: usize, seconds: u64) -> (Reading, Reading) {
        let before = self.read(at).await;
        task::sleep(Duration::from_secs(seconds)).await;
        (before, self.read(at).await)
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.directory));
    }
}

/// Fetches a page from an entry over HTTP.
pub(crate) async fn fetch(address: &str, path: &str) -> Option<String> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let stream = async_std::net::TcpStream::connect(address).await.ok()?;
    let mut response = async_h1::connect(stream, Request::new(Method::Get, url))
        .await
        .ok()?;
    response.body_string().await.ok()
}

fn next_directory_number() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::SeqCst)
}

/// Returns the settings of the platform stand-in.
fn standin_settings(shape: &Shape) -> String {
    let mut text = format!("seed = {}\nlisten = \"127.0.0.1:0\"\n", shape.seed);
    for domain in 0..shape.domains {
        text.push_str(&format!("[[domain]]\nname = \"d{domain}\"\n"));
        let racks = shape.workers.div_ceil(8);
        for rack in 0..racks {
            let workers = (shape.workers - rack * 8).min(8);
            text.push_str(&format!(
                "[[domain.rack]]\nname = \"d{domain}-r{rack}\"\nworkers = {workers}\n\
                 kind = \"general\"\nsize = {{ millicores = 64000, memory_mib = 131072 }}\n"
            ));
        }
    }
    let parsed = StandinSettings::parse("standin.toml", &text);
    parsed.expect("the settings are well formed");
    text
}
