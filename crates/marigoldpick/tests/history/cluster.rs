//! A small cluster in this process: two failure domains with two entries each.

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
/// The entries of each failure domain.
const ENTRIES: usize = 2;
/// How often a condition is looked at.
const EVERY: Duration = Duration::from_millis(50);
/// Looks at a condition before it counts as never met: two minutes.
const LOOKS: u32 = 2_400;

/// `Cluster` is a running platform with its entries.
#[derive(Debug)]
pub struct Cluster {
    pub platform: Platform,
    seats: Mutex<Vec<Seat>>,
}

/// `Seat` is an entry's settings, and the process that has them now.
#[derive(Debug)]
struct Seat {
    settings: Settings,
    entry: Option<Arc<Entry>>,
}

fn standins(seed: u64) -> standin::Settings {
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

fn settings(domain: &str, number: usize, platform: &str) -> Settings {
    let text = format!(
        "entry = \"{domain}-{number}\"\ndomain = \"{domain}\"\ncallers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\ninner = \"127.0.0.1:0\"\nplatform = \"{platform}\"\n"
    );
    Settings::parse("entry.toml", &text).expect("the settings are well formed")
}

impl Cluster {
    /// Starts the platform and all entries.
    pub async fn start(seed: u64) -> Self {
        let platform = Platform::start(&standins(seed)).expect("the platform starts");
        let mut seats = Vec::new();
        for domain in DOMAINS {
            for number in 0..ENTRIES {
                seats.push(Seat {
                    settings: settings(domain, number, &platform.address()),
                    entry: None,
                });
            }
        }
        let cluster = Self {
            platform,
            seats: Mutex::new(seats),
        };
        for seat in 0..DOMAINS.len() * ENTRIES {
            cluster.launch(seat).await;
        }
        cluster
    }

    /// Starts an entry that does not run.
    pub async fn launch(&self, seat: usize) {
        let mut settings = self.lock()[seat].settings.clone();
        settings.peer = self.peers();
        let entry = Entry::start(settings).await.expect("the entry starts");
        self.lock()[seat].entry = Some(Arc::new(entry));
    }

    /// Ends an entry at once.
    pub fn kill(&self, seat: usize) {
        if let Some(entry) = self.lock()[seat].entry.take() {
            entry.kill();
        }
    }

    /// Lets an entry stand still.
    pub fn pause(&self, seat: usize, span: Millis) {
        if let Some(entry) = &self.lock()[seat].entry {
            entry.pause(span);
        }
    }

    /// Cuts the entries of both failure domains off from each other, or ends that.
    pub fn cut(&self, on: bool) {
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
        let seats = self.lock();
        seats.iter().filter_map(|seat| seat.entry.clone()).collect()
    }

    /// Returns a client of one entry, if it runs.
    pub fn client(&self, seat: usize) -> Option<Client> {
        let seats = self.lock();
        let entry = seats[seat].entry.as_ref()?;
        Some(Client::of(vec![entry.addresses().operators.clone()]))
    }

    /// Returns the state of each running entry; nothing when one does not answer.
    pub async fn statuses(&self) -> Option<Vec<Status>> {
        let mut statuses = Vec::new();
        for entry in self.entries() {
            let client = Client::of(vec![entry.addresses().operators.clone()]);
            statuses.push(client.status().await.ok()?);
        }
        Some(statuses)
    }

    /// Waits until all running entries answer and `wanted` holds of their states.
    pub async fn until(&self, what: &str, wanted: impl Fn(&[Status]) -> bool) -> Vec<Status> {
        let mut last = None;
        for _ in 0..LOOKS {
            last = self.statuses().await;
            if let Some(statuses) = last.take_if(|statuses| wanted(statuses)) {
                return statuses;
            }
            sleep(EVERY).await;
        }
        panic!("never seen: {what}; last {last:?}");
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

    fn lock(&self) -> MutexGuard<'_, Vec<Seat>> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names a failure domain.
pub fn domain(name: &str) -> id::Domain {
    id::Domain::new(name).expect("a name")
}
