//! Runs a small cluster in this process: two failure domains with two entries each.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task::sleep;
use marigoldpick::client::Client;
use marigoldpick::core::operator::Status;
use marigoldpick::core::prelude::*;
use marigoldpick::entry::Entry;
use marigoldpick::entry::settings::{Peer, Settings};
use marigoldpick::standin::{self, Platform};

/// The failure domains.
pub const DOMAINS: [&str; 2] = ["north", "south"];
/// The number of entries in each failure domain.
const ENTRIES: usize = 2;
/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The number of checks before a wait fails: two minutes.
const MAX_POLLS: u32 = 2_400;

/// `Cluster` is the running platform stand-in with its entries.
#[derive(Debug)]
pub struct Cluster {
    pub platform: Platform,
    members: Mutex<Vec<Member>>,
}

/// `Member` is a configured entry and its current process.
#[derive(Debug)]
struct Member {
    settings: Settings,
    entry: Option<Arc<Entry>>,
}

fn standin_settings(seed: u64) -> standin::Settings {
    let rack = |domain: &str| {
        format!(
            "[[domain]]\nname = \"{domain}\"\n[[domain.rack]]\nname = \"{domain}-r\"\nworkers = 4\n\
             kind = \"plain\"\nsize = {{ millicores = 8000, memory_mib = 16384 }}\n"
        )
    };
    let domains: String = DOMAINS.iter().map(|domain| rack(domain)).collect();
    standin::Settings::parse("standin.toml", &format!("seed = {seed}\n{domains}"))
        .expect("the settings are well formed")
}

fn entry_settings(domain: &str, number: usize, platform: &str) -> Settings {
    let text = format!(
        "entry = \"{domain}-{number}\"\ndomain = \"{domain}\"\ncallers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\ninner = \"127.0.0.1:0\"\nplatform = \"{platform}\"\n"
    );
    Settings::parse("entry.toml", &text).expect("the settings are well formed")
}

impl Cluster {
    /// Starts the platform stand-in and all entries.
    pub async fn start(seed: u64) -> Self {
        let platform = Platform::start(&standin_settings(seed)).expect("the platform starts");
        let mut members = Vec::new();
        for domain in DOMAINS {
            for number in 0..ENTRIES {
                members.push(Member {
                    settings: entry_settings(domain, number, &platform.address()),
                    entry: None,
                });
            }
        }
        let cluster = Self {
            platform,
            members: Mutex::new(members),
        };
        for member in 0..DOMAINS.len() * ENTRIES {
            cluster.start_entry(member).await;
        }
        cluster
    }

    /// Starts an entry that does not run.
    pub async fn start_entry(&self, member: usize) {
        let mut settings = self.lock()[member].settings.clone();
        settings.peer = self.peers();
        let entry = Entry::start(settings).await.expect("the entry starts");
        self.lock()[member].entry = Some(Arc::new(entry));
    }

    /// Stops an entry at once, without a drain.
    pub fn kill(&self, member: usize) {
        if let Some(entry) = self.lock()[member].entry.take() {
            entry.kill();
        }
    }

    /// Pauses an entry.
    pub fn pause(&self, member: usize, span: Millis) {
        if let Some(entry) = &self.lock()[member].entry {
            entry.pause(span);
        }
    }

    /// Starts or ends a network partition between the failure domains.
    pub fn set_cut(&self, on: bool) {
        for entry in self.entries() {
            let others = DOMAINS
                .iter()
                .filter(|name| on && **name != entry.known().domain.as_str());
            let others: Vec<id::Domain> = others.map(|name| domain(name)).collect();
            entry.cut(&others);
        }
    }

    /// Returns the running entries.
    pub fn entries(&self) -> Vec<Arc<Entry>> {
        let members = self.lock();
        members
            .iter()
            .filter_map(|member| member.entry.clone())
            .collect()
    }

    /// Returns a client of one entry, if it runs.
    pub fn client(&self, member: usize) -> Option<Client> {
        let members = self.lock();
        let entry = members[member].entry.as_ref()?;
        Some(Client::of(vec![entry.addresses().operators.clone()]))
    }

    /// Returns the status of each running entry, or `None` when one does not respond.
    pub async fn statuses(&self) -> Option<Vec<Status>> {
        let mut statuses = Vec::new();
        for entry in self.entries() {
            let client = Client::of(vec![entry.addresses().operators.clone()]);
            statuses.push(client.status().await.ok()?);
        }
        Some(statuses)
    }

    /// Waits until all running entries respond and `condition` holds for their statuses.
    pub async fn wait_until(
        &self,
        what: &str,
        condition: impl Fn(&[Status]) -> bool,
    ) -> Vec<Status> {
        let mut last = None;
        for _ in 0..MAX_POLLS {
            last = self.statuses().await;
            if let Some(statuses) = last.take_if(|statuses| condition(statuses)) {
                return statuses;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting until {what}; last statuses: {last:?}");
    }

    fn peers(&self) -> Vec<Peer> {
        let entries = self.entries();
        let known = entries.iter().map(|entry| entry.known());
        known
            .map(|known| Peer {
                entry: known.entry.clone(),
                domain: known.domain.clone(),
                address: known.address.clone(),
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Member>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the id of a failure domain.
pub fn domain(name: &str) -> id::Domain {
    id::Domain::new(name).expect("a name")
}
