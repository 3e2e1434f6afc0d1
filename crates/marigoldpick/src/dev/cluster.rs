//! Runs a site in this process: the platform's stand-ins and the entries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::future::join_all;
use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::operator::Problem;
use marigoldpick_entry::Entry;
use marigoldpick_entry::settings::{Peer, Settings};
use marigoldpick_standin::Platform;

use super::site::Site;

/// The loopback address with a port that the system picks.
const FREE_PORT: &str = "127.0.0.1:0";

/// `Ports` selects the addresses at which entries and stand-ins listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ports {
    /// The addresses of their settings.
    Configured,
    /// Free ports, so that concurrent runs don't collide.
    Free,
}

/// `Cluster` is a running site, which stops when it is dropped.
#[derive(Debug)]
pub(super) struct Cluster {
    pub(super) platform: Platform,
    ports: Ports,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    members: Vec<Member>,
    cut_domains: Vec<id::Domain>,
}

/// `Member` is a configured entry and its current process.
#[derive(Debug)]
struct Member {
    settings: Settings,
    entry: Option<Arc<Entry>>,
    generation: u64,
}

/// `RunningEntry` holds the addresses of a running entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RunningEntry {
    pub(super) name: id::Entry,
    pub(super) generation: u64,
    pub(super) callers: String,
    pub(super) operators: String,
}

impl Cluster {
    /// Starts a site.
    ///
    /// # Errors
    /// Names the part that could not start.
    pub(super) async fn start(site: &Site, ports: Ports) -> Result<Self, Problem> {
        let mut standin = site.standin.clone();
        if ports == Ports::Free {
            FREE_PORT.clone_into(&mut standin.listen);
        }
        let platform = Platform::start(&standin)
            .map_err(|error| Problem::new(Code::BadValue, format!("stand-in: {error}")))?;
        let cluster = Self {
            platform,
            ports,
            state: Mutex::default(),
        };
        for settings in &site.entries {
            let member = Member {
                settings: settings.clone(),
                entry: None,
                generation: 0,
            };
            cluster.lock().members.push(member);
            cluster.start_entry(&settings.entry).await?;
        }
        Ok(cluster)
    }

    /// Starts an entry, unless it runs already.
    ///
    /// # Errors
    /// Names the entry that could not start.
    pub(super) async fn start_entry(&self, name: &id::Entry) -> Result<(), Problem> {
        let Some(settings) = self.launch_settings(name) else {
            return Ok(());
        };
        let entry = Entry::start(settings).await.map_err(|error| {
            let details = format!("entry {name}: {error}");
            Problem::new(error.code(), details)
        })?;
        let mut state = self.lock();
        entry.cut(&state.unreachable_from(&entry.known().domain));
        if let Some(member) = state.member(name) {
            member.entry = Some(Arc::new(entry));
            member.generation += 1;
        }
        Ok(())
    }

    /// Returns the settings of a stopped entry, with the running entries as its peers.
    fn launch_settings(&self, name: &id::Entry) -> Option<Settings> {
        let mut state = self.lock();
        let running: Vec<Peer> = state
            .running()
            .map(|entry| {
                let known = entry.known();
                Peer {
                    entry: known.entry.clone(),
                    domain: known.domain.clone(),
                    address: known.address.clone(),
                }
            })
            .collect();
        let member = state.member(name).filter(|member| member.entry.is_none())?;
        let mut settings = member.settings.clone();
        settings.platform = self.platform.address();
        settings.peer = running;
        if self.ports == Ports::Free {
            for address in [
                &mut settings.callers,
                &mut settings.operators,
                &mut settings.inner,
            ] {
                FREE_PORT.clone_into(address);
            }
        }
        Some(settings)
    }

    /// Stops an entry at once, without a drain.
    pub(super) fn kill(&self, name: &id::Entry) {
        let entry = self
            .lock()
            .member(name)
            .and_then(|member| member.entry.take());
        if let Some(entry) = entry {
            entry.kill();
        }
    }

    /// Drains all entries concurrently.
    pub(super) async fn drain(&self) {
        let entries: Vec<Arc<Entry>> = {
            let mut state = self.lock();
            let members = state.members.iter_mut();
            members.filter_map(|member| member.entry.take()).collect()
        };
        join_all(entries.iter().map(|entry| entry.drain())).await;
    }

    /// Returns an entry, if it runs.
    pub(super) fn entry(&self, name: &id::Entry) -> Option<Arc<Entry>> {
        self.lock()
            .member(name)
            .and_then(|member| member.entry.clone())
    }

    /// Starts or ends a network partition between a failure domain and the others.
    pub(super) fn set_cut(&self, domain: &id::Domain, on: bool) {
        let mut state = self.lock();
        state.cut_domains.retain(|cut| cut != domain);
        if on {
            state.cut_domains.push(domain.clone());
        }
        for entry in state.running() {
            entry.cut(&state.unreachable_from(&entry.known().domain));
        }
    }

    /// Returns all running entries.
    pub(super) fn running_entries(&self) -> Vec<RunningEntry> {
        let state = self.lock();
        let members = state.members.iter();
        members
            .filter_map(|member| {
                let addresses = member.entry.as_ref()?.addresses();
                Some(RunningEntry {
                    name: member.settings.entry.clone(),
                    generation: member.generation,
                    callers: addresses.callers.clone(),
                    operators: addresses.operators.clone(),
                })
            })
            .collect()
    }

    /// Returns whether the same process of an entry still runs.
    pub(super) fn is_running(&self, entry: &RunningEntry) -> bool {
        let mut state = self.lock();
        state
            .member(&entry.name)
            .is_some_and(|member| member.entry.is_some() && member.generation == entry.generation)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn member(&mut self, name: &id::Entry) -> Option<&mut Member> {
        let mut members = self.members.iter_mut();
        members.find(|member| member.settings.entry == *name)
    }

    fn running(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.members
            .iter()
            .filter_map(|member| member.entry.as_ref())
    }

    /// Returns the failure domains that entries of `domain` can't reach.
    fn unreachable_from(&self, domain: &id::Domain) -> Vec<id::Domain> {
        if !self.cut_domains.contains(domain) {
            return self.cut_domains.clone();
        }
        let mut others: Vec<id::Domain> = self
            .members
            .iter()
            .map(|member| member.settings.domain.clone())
            .filter(|other| other != domain)
            .collect();
        others.sort_unstable();
        others.dedup();
        others
    }
}
