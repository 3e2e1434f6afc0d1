//! A small site in the test process: a platform with one failure domain, and some entries.

use std::time::{Duration, Instant};

use marigoldpick_core::operator;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::settings::Peer;
use marigoldpick_entry::{Entry, Settings};
use marigoldpick_standin::Platform;

/// The timeout of each wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub(crate) const PLATFORM: &str = r#"
seed = 7
listen = "127.0.0.1:0"

[task]
run_ms = { from = 100.0, to = 400.0 }

[[domain]]
name = "north"

[[domain.rack]]
name = "north-a"
workers = 2
kind = "general"
size = { millicores = 16000, memory_mib = 32768 }

[[domain.rack]]
name = "north-b"
workers = 2
kind = "general"
size = { millicores = 16000, memory_mib = 32768 }
"#;

/// A service with four endpoints and a batch job of twenty tasks.
pub(crate) const INTENT: &str = r#"
[[team]]
name = "sales"
weight = 1
quota = { millicores = 64000, memory_mib = 131072 }

[[service]]
name = "booking"

[[job]]
name = "booking"
class = "service"
team = "sales"
service = "booking"
count = 4
needs = { millicores = 2000, memory_mib = 2048 }
where = { spread = "rack" }

[[job]]
name = "night"
class = "batch"
team = "sales"
count = 20
needs = { millicores = 1000, memory_mib = 1024 }
run_ms = 300
"#;

/// A batch job of forty tasks, of which eight run at a time.
pub(crate) const QUEUE: &str = r#"
[[team]]
name = "sales"
quota = { millicores = 640000, memory_mib = 131072 }

[[job]]
name = "night"
class = "batch"
team = "sales"
count = 40
needs = { millicores = 8000, memory_mib = 1024 }
command = "run_ms=900"
"#;

/// `Site` is the platform with its entries.
pub(crate) struct Site {
    pub(crate) platform: Platform,
    pub(crate) entries: Vec<Entry>,
}

impl Site {
    /// Starts a platform and `count` entries; each later one has the first as its peer.
    pub(crate) async fn start(count: usize) -> Self {
        let settings = marigoldpick_standin::Settings::parse("platform.toml", PLATFORM)
            .expect("the settings are well formed");
        let platform = Platform::start(&settings).expect("the platform starts");
        let mut entries: Vec<Entry> = Vec::new();
        for number in 0..count {
            let peers = entries.first().map(peer).into_iter().collect();
            let settings = entry_settings(number, &platform.address(), peers);
            entries.push(Entry::start(settings).await.expect("the entry starts"));
        }
        Self { platform, entries }
    }

    /// Returns an entry's address for operators.
    pub(crate) fn operators(&self, at: usize) -> String {
        self.entries[at].addresses().operators.clone()
    }

    /// Waits until each entry knows a lead of the shard that has all workers.
    pub(crate) async fn wait_for_leads(&self) {
        let start = Instant::now();
        loop {
            let mut ready = true;
            for at in 0..self.entries.len() {
                let status = crate::status(&self.operators(at)).await;
                let known = status.expect("status is answered");
                let led = |shard: &marigoldpick_core::operator::Shard| shard.workers == 4;
                ready &= !known.config_old && known.shards.iter().any(led);
            }
            if ready {
                return;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "no lead");
            async_std::task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Plans and confirms an intent that displaces nothing.
    pub(crate) async fn submit(&self, intent: &str) {
        let operators = self.operators(0);
        let plan = crate::plan(&operators, intent).await;
        let plan = plan.expect("the intent is well formed");
        let accepted = crate::confirm(&operators, &plan.id).await;
        accepted.expect("the plan is fresh");
    }

    /// Waits until the first entry leads the shard.
    pub(crate) async fn wait_for_first_to_lead(&self) {
        let entry = &self.entries[0].addresses().entry;
        self.wait_until("the next lead", |status| {
            status.shards[0].lead.as_ref() == Some(entry)
        })
        .await;
    }

    /// Waits until the configuration has the end of a job, with all its tasks completed.
    pub(crate) async fn wait_for_job_end(&self, name: &str, count: u32) {
        self.wait_until("the job's end", |status| {
            let job = status.jobs.iter().find(|job| job.job.as_str() == name);
            job.is_some_and(|job| job.completed == count && job.running == 0 && job.waiting == 0)
        })
        .await;
    }

    async fn wait_until(&self, what: &str, holds: impl Fn(&operator::Status) -> bool) {
        let start = Instant::now();
        loop {
            let status = crate::status(&self.operators(0)).await;
            if status.as_ref().is_ok_and(&holds) {
                return;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "not in time: {what}: {status:#?}"
            );
            async_std::task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the index of the entry that leads the shard, after waiting until one does.
    pub(crate) async fn lead(&self) -> usize {
        let names: Vec<&id::Entry> = self.entries.iter().map(|e| &e.addresses().entry).collect();
        let start = Instant::now();
        loop {
            let status = crate::status(&self.operators(0)).await;
            let status = status.expect("status is answered");
            let lead = status.shards[0].lead.as_ref();
            if let Some(at) = names.iter().position(|name| Some(*name) == lead) {
                return at;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "no lead");
            async_std::task::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Waits until `holds` returns true.
pub(crate) async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        async_std::task::sleep(POLL_INTERVAL).await;
    }
}

fn peer(entry: &Entry) -> Peer {
    let known = entry.known();
    Peer {
        entry: known.entry.clone(),
        domain: known.domain.clone(),
        address: known.address.clone(),
    }
}

/// Returns the settings of an entry of the first failure domain.
pub(crate) fn entry_settings(number: usize, platform: &str, peer: Vec<Peer>) -> Settings {
    let any = "127.0.0.1:0".to_owned();
    Settings {
        entry: id::Entry::new(&format!("north-{number}")).expect("a name"),
        domain: id::Domain::new("north").expect("a name"),
        callers: any.clone(),
        operators: any.clone(),
        inner: any,
        advertise: None,
        platform: platform.to_owned(),
        peer,
        log: "info".to_owned(),
        events: 1_000,
        requests: 1_000,
        span: marigoldpick_entry::settings::Span::default(),
        ownership: marigoldpick_shard::Settings::default(),
        intake: Default::default(),
    }
}
