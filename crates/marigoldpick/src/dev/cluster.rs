//! A running site: the platform's stand-ins and the entries, all in this process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::future::join_all;
use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::operator::Problem;
use marigoldpick_entry::Entry;
use marigoldpick_entry::settings::{Peer, Settings};
use marigoldpick_standin::Platform;

use super::site::Site;

/// Any free port of the loopback address.
const FREE: &str = "127.0.0.1:0";

/// `Ports` is where entries and stand-ins listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ports {
    /// Where their settings say.
    Settled,
    /// On free ports, so that several runs don't meet.
    Free,
}

/// `Cluster` is a running site; it ends when it is dropped.
#[derive(Debug)]
pub(super) struct Cluster {
    pub(super) platform: Platform,
    ports: Ports,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    seats: Vec<Seat>,
    cut: Vec<id::Domain>,
}

/// `Seat` is one entry of the settings, and the process that runs it now.
#[derive(Debug)]
struct Seat {
    settings: Settings,
    entry: Option<Arc<Entry>>,
    generation: u64,
}

/// `Door` is where callers reach a running entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Door {
    pub(super) entry: id::Entry,
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
            FREE.clone_into(&mut standin.listen);
        }
        let platform = Platform::start(&standin)
            .map_err(|error| Problem::new(Code::BadValue, format!("stand-in: {error}")))?;
        let cluster = Self {
            platform,
            ports,
            state: Mutex::default(),
        };
        for settings in &site.entries {
            let seat = Seat {
                settings: settings.clone(),
                entry: None,
                generation: 0,
            };
            cluster.lock().seats.push(seat);
            cluster.launch(&settings.entry).await?;
        }
        Ok(cluster)
    }

    /// Starts the entry of that name, if it does not run.
    ///
    /// # Errors
    /// Names the entry that could not start.
    pub(super) async fn launch(&self, name: &id::Entry) -> Result<(), Problem> {
        let Some(settings) = self.settings(name) else {
            return Ok(());
        };
        let entry = Entry::start(settings).await.map_err(|error| {
            let details = format!("entry {name}: {error}");
            Problem::new(error.code(), details)
        })?;
        let mut state = self.lock();
        entry.cut(&state.cut_from(&entry.known().domain));
        if let Some(seat) = state.seat(name) {
            seat.entry = Some(Arc::new(entry));
            seat.generation += 1;
        }
        Ok(())
    }

    /// Returns the settings of an entry that does not run, with the peers that do.
    fn settings(&self, name: &id::Entry) -> Option<Settings> {
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
        let seat = state.seat(name).filter(|seat| seat.entry.is_none())?;
        let mut settings = seat.settings.clone();
        settings.platform = self.platform.address();
        settings.peer = running;
        if self.ports == Ports::Free {
            for address in [
                &mut settings.callers,
                &mut settings.operators,
                &mut settings.inner,
            ] {
                FREE.clone_into(address);
            }
        }
        Some(settings)
    }

    /// Ends an entry at once.
    pub(super) fn kill(&self, name: &id::Entry) {
        let entry = self.lock().seat(name).and_then(|seat| seat.entry.take());
        if let Some(entry) = entry {
            entry.kill();
        }
    }

    /// Drains all entries at once.
    pub(super) async fn drain(&self) {
        let entries: Vec<Arc<Entry>> = {
            let mut state = self.lock();
            let seats = state.seats.iter_mut();
            seats.filter_map(|seat| seat.entry.take()).collect()
        };
        join_all(entries.iter().map(|entry| entry.drain())).await;
    }

    /// Returns a running entry.
    pub(super) fn entry(&self, name: &id::Entry) -> Option<Arc<Entry>> {
        self.lock().seat(name).and_then(|seat| seat.entry.clone())
    }

    /// Cuts a failure domain off from the others, or ends that.
    pub(super) fn cut(&self, domain: &id::Domain, on: bool) {
        let mut state = self.lock();
        state.cut.retain(|cut| cut != domain);
        if on {
            state.cut.push(domain.clone());
        }
        for entry in state.running() {
            entry.cut(&state.cut_from(&entry.known().domain));
        }
    }

    /// Returns the doors of all running entries.
    pub(super) fn doors(&self) -> Vec<Door> {
        let state = self.lock();
        let seats = state.seats.iter();
        seats
            .filter_map(|seat| {
                let addresses = seat.entry.as_ref()?.addresses();
                Some(Door {
                    entry: seat.settings.entry.clone(),
                    generation: seat.generation,
                    callers: addresses.callers.clone(),
                    operators: addresses.operators.clone(),
                })
            })
            .collect()
    }

    /// Tells whether the process behind a door still runs.
    pub(super) fn stands(&self, door: &Door) -> bool {
        let mut state = self.lock();
        state
            .seat(&door.entry)
            .is_some_and(|seat| seat.entry.is_some() && seat.generation == door.generation)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn seat(&mut self, name: &id::Entry) -> Option<&mut Seat> {
        let mut seats = self.seats.iter_mut();
        seats.find(|seat| seat.settings.entry == *name)
    }

    fn running(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.seats.iter().filter_map(|seat| seat.entry.as_ref())
    }

    /// Returns the failure domains that an entry of `domain` can't reach.
    fn cut_from(&self, domain: &id::Domain) -> Vec<id::Domain> {
        if !self.cut.contains(domain) {
            return self.cut.clone();
        }
        let mut others: Vec<id::Domain> = self
            .seats
            .iter()
            .map(|seat| seat.settings.domain.clone())
            .filter(|other| other != domain)
            .collect();
        others.sort_unstable();
        others.dedup();
        others
    }
}
