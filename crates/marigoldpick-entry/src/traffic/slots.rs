//! Maintains a frontend: applies new views, renews slot leases and advances the routers' time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldpick_core::peer::{self, Demand, Grant, Want};
use marigoldpick_core::prelude::*;
use marigoldpick_route::arbiter::{Arbiter, Assignment, LEASE_SPAN};
use marigoldpick_route::holder::{Holder, TIMEOUT, Target, Update};
use marigoldpick_route::rank;
use marigoldpick_route::router::{Endpoint, Input};

use super::Transport;
use super::dispatcher::Dispatcher;
use super::state::{State, lock};
use crate::view::View;

/// The time between two maintenance rounds while requests are in flight.
const BUSY_INTERVAL: Duration = Duration::from_millis(10);
/// The time between two maintenance rounds without requests.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// The silence after which an entry no longer counts as a voter.
const VOTER_SILENCE: Millis = Millis::from_secs(60);
/// Leases are renewed once in this many rounds while requests are in flight, else in each round.
const ROUNDS_PER_RENEWAL: u32 = 2;

/// `Slots` holds this entry's slot leases and the ones that it grants as arbiter.
#[derive(Debug)]
pub struct Slots {
    arbiter: Arbiter,
    holder: Holder,
    /// The service and arbiter of each endpoint, sorted by endpoint.
    endpoint_arbiters: Vec<EndpointArbiter>,
    /// When each silent entry was first seen as not alive.
    silent: HashMap<id::Entry, Millis>,
    started: Millis,
}

/// `EndpointArbiter` names the arbiter that grants the slots of an endpoint.
#[derive(Debug)]
struct EndpointArbiter {
    endpoint: id::Endpoint,
    address: String,
    service: id::Service,
    arbiter: id::Entry,
}

impl Slots {
    /// Creates the slots of an entry that holds no lease.
    pub fn new(me: id::Entry, incarnation: u64) -> Self {
        Self {
            arbiter: Arbiter::default(),
            holder: Holder::new(me, incarnation),
            endpoint_arbiters: Vec::new(),
            silent: HashMap::new(),
            started: Millis::ZERO,
        }
    }

    /// Answers a demand for slots as the arbiter.
    pub fn arbitrate(&mut self, demand: &Demand, now: Millis) -> Grant {
        self.arbiter.handle_demand(demand, now)
    }

    /// Tells the arbiter when the failure domain's youngest entry started, by this entry's clock, which
    /// began at this entry's start. The ages in a view count from when the view was made.
    fn set_youngest_start(&mut self, view: &View, now: Millis) {
        let own = view.entries.iter().filter(|p| p.domain == view.domain);
        let started = own.filter(|p| p.alive).map(|p| now.since(p.age)).max();
        self.arbiter
            .set_started(Some(started.unwrap_or(Millis::ZERO)));
    }

    /// Assigns an arbiter to each endpoint of a new view and sets the slots that this entry grants.
    fn apply_view(&mut self, view: &View, draining: bool, now: Millis) {
        if self.started == Millis::ZERO {
            self.started = now;
        }
        self.track_silence(view, now);
        let own = view.entries.iter().filter(|p| p.domain == view.domain);
        let eligible = own.filter(|p| p.alive && !p.draining).map(|p| &p.entry);
        let mut eligible: Vec<&id::Entry> = eligible.collect();
        if !draining || eligible.is_empty() {
            eligible.push(&view.me);
        }
        let endpoint_arbiter = |endpoint: &crate::view::Endpoint| {
            let arbiter = rank::first(endpoint.id.as_str(), eligible.iter().copied());
            EndpointArbiter {
                endpoint: endpoint.id.clone(),
                address: endpoint.address.clone(),
                service: endpoint.service.clone(),
                arbiter: arbiter.unwrap_or(&view.me).clone(),
            }
        };
        self.endpoint_arbiters = view.endpoints.iter().map(endpoint_arbiter).collect();
        let assignments = self
            .endpoint_arbiters
            .iter()
            .filter(|p| p.arbiter == view.me);
        let assignment = |granted: &EndpointArbiter| {
            let service = find_service(view, &granted.service)?;
            Some(Assignment {
                endpoint: granted.endpoint.clone(),
                slots: service.slots,
                cover: service.deadline_ms,
            })
        };
        let assignments = assignments.filter_map(assignment).collect();
        self.arbiter.set_assignments(assignments, now);
    }

    /// Records since when each other entry of the failure domain has been silent.
    fn track_silence(&mut self, view: &View, now: Millis) {
        for peer in view.entries.iter().filter(|p| p.domain == view.domain) {
            if peer.alive {
                self.silent.remove(&peer.entry);
            } else {
                self.silent.entry(peer.entry.clone()).or_insert(now);
            }
        }
    }

    /// Returns the entries that may hold slots: all but those that have been silent for longer than a lease
    /// and the longest deadline of a service together.
    fn holders(&self, view: &View, now: Millis) -> Vec<id::Entry> {
        let cover = view.services.iter().map(|s| s.deadline_ms).max();
        self.heard_within(view, LEASE_SPAN + cover.unwrap_or_default(), now)
    }

    /// Returns the entries that vote on which entry is an arbiter: all but those that have long been
    /// silent and those that drain. Draining entries vote when all entries drain.
    fn voters(&self, view: &View, draining: bool, now: Millis) -> Vec<id::Entry> {
        let mut voters = self.heard_within(view, VOTER_SILENCE, now);
        let is_draining = |entry: &id::Entry| {
            let peer = view.entries.iter().find(|peer| peer.entry == *entry);
            peer.map_or(draining, |peer| peer.draining)
        };
        if voters.iter().any(|entry| !is_draining(entry)) {
            voters.retain(|entry| !is_draining(entry));
        }
        voters
    }

    /// Returns the entries that have not been silent for `span`, this one included, sorted.
    fn heard_within(&self, view: &View, span: Millis, now: Millis) -> Vec<id::Entry> {
        let heard = |entry: &id::Entry| {
            let since = self.silent.get(entry);
            since.is_none_or(|since| now.since(*since) < span)
        };
        let own = view.entries.iter().filter(|p| p.domain == view.domain);
        let mut entries: Vec<id::Entry> = own.map(|p| p.entry.clone()).filter(heard).collect();
        entries.push(view.me.clone());
        entries.sort_unstable();
        entries
    }

    /// Returns the demands that are due now, with the arbiters to which they go.
    fn due_demands(
        &mut self,
        dispatchers: &[Arc<Dispatcher>],
        view: &View,
        draining: bool,
        now: Millis,
    ) -> Vec<(id::Entry, Demand)> {
        let mut wants: Vec<(Want, id::Service)> = Vec::new();
        for dispatcher in dispatchers {
            let cover = dispatcher.settings().deadline_ms;
            for want in dispatcher.wants(&view.me, now) {
                let held = if draining { want.used } else { want.held };
                let want = Want {
                    endpoint: want.endpoint,
                    held,
                    used: want.used,
                    want: if draining { want.used } else { want.want },
                    cover,
                };
                wants.push((want, dispatcher.service.clone()));
            }
        }
        wants.sort_unstable_by(|a, b| a.0.endpoint.cmp(&b.0.endpoint));
        let target = |(want, _): (Want, id::Service)| {
            let found = find_arbiter(&self.endpoint_arbiters, &want.endpoint)?;
            Some(Target {
                arbiter: found.arbiter.clone(),
                want,
            })
        };
        let targets = wants.into_iter().filter_map(target).collect();
        self.holder.poll(targets, now)
    }

    /// Applies an arbiter's answer and returns the changed leases by service.
    fn apply_answer(
        &mut self,
        arbiter: &id::Entry,
        sequence: u64,
        grant: Option<&Grant>,
    ) -> Vec<(id::Service, Vec<Update>)> {
        let mut groups: Vec<(id::Service, Vec<Update>)> = Vec::new();
        for update in self.holder.handle_answer(arbiter, sequence, grant) {
            let Some(found) = find_arbiter(&self.endpoint_arbiters, &update.endpoint) else {
                continue;
            };
            match groups.iter_mut().find(|group| group.0 == found.service) {
                Some(group) => group.1.push(update),
                None => groups.push((found.service.clone(), vec![update])),
            }
        }
        groups
    }
}

/// Finds the arbiter of an endpoint.
fn find_arbiter<'a>(
    endpoint_arbiters: &'a [EndpointArbiter],
    endpoint: &id::Endpoint,
) -> Option<&'a EndpointArbiter> {
    let at = endpoint_arbiters
        .binary_search_by(|p| p.endpoint.cmp(endpoint))
        .ok()?;
    Some(&endpoint_arbiters[at])
}

/// Finds a service of the view.
fn find_service<'a>(
    view: &'a View,
    name: &id::Service,
) -> Option<&'a marigoldpick_core::intent::Service> {
    let at = view.services.binary_search_by(|s| s.name.cmp(name)).ok()?;
    Some(&view.services[at])
}

/// Runs maintenance rounds until the frontend is killed.
pub async fn maintain<T: Transport>(state: Arc<State<T>>) {
    let mut seen: Option<Arc<View>> = None;
    let mut was_draining = false;
    let mut round = 0;
    while !state.is_killed() {
        state.gate.pass().await;
        let now = state.now();
        let view = state.current_view();
        let draining = state.is_draining();
        let same = seen.as_ref().is_some_and(|seen| Arc::ptr_eq(seen, &view));
        if !same || was_draining != draining {
            apply_view(&state, &view, draining, now);
            seen = Some(Arc::clone(&view));
            was_draining = draining;
        }
        for dispatcher in state.dispatchers.load().iter() {
            state.note_changes(dispatcher.handle(Input::Tick, now));
        }
        if round % ROUNDS_PER_RENEWAL == 0 || state.is_idle() {
            renew_leases(&state, &view, draining, now);
        }
        round = round.wrapping_add(1);
        state.wait_for_round(BUSY_INTERVAL, IDLE_INTERVAL).await;
    }
}

/// Updates the dispatchers, slots and connections to a new view.
fn apply_view<T: Transport>(state: &State<T>, view: &View, draining: bool, now: Millis) {
    let old = state.dispatchers.load_full();
    let mut dispatchers = Vec::with_capacity(view.services.len());
    for service in &view.services {
        let known = old.binary_search_by(|d| d.service.cmp(&service.name)).ok();
        let dispatcher = match known {
            Some(at) => {
                let dispatcher = Arc::clone(&old[at]);
                drop(dispatcher.handle(Input::Service(service.clone()), now));
                dispatcher
            }
            None => Arc::new(Dispatcher::new(service.clone(), state.settings.seed, now)),
        };
        let endpoints = view.endpoints.iter().filter(|e| e.service == service.name);
        let endpoints = endpoints.map(|endpoint| Endpoint {
            id: endpoint.id.clone(),
            address: Arc::from(endpoint.address.as_str()),
            leaving: endpoint.leaving,
        });
        state.note_changes(dispatcher.handle(Input::Endpoints(endpoints.collect()), now));
        dispatchers.push(dispatcher);
    }
    state.dispatchers.store(Arc::new(dispatchers));
    let mut slots = lock(&state.slots);
    if !state.settings.settled {
        slots.set_youngest_start(view, now);
    }
    slots.apply_view(view, draining, now);
    drop(slots);
    let mut addresses: Vec<&str> = view.endpoints.iter().map(|e| e.address.as_str()).collect();
    addresses.sort_unstable();
    state.pool.retain(&addresses);
}

/// Sends the demands that are due to their arbiters.
fn renew_leases<T: Transport>(
    state: &Arc<State<T>>,
    view: &Arc<View>,
    draining: bool,
    now: Millis,
) {
    let dispatchers = state.dispatchers.load_full();
    let demands = {
        let mut slots = lock(&state.slots);
        let holders = slots.holders(view, now);
        let voters = slots.voters(view, draining, now);
        slots.arbiter.set_entries(holders, voters);
        slots.arbiter.tick(now);
        slots.due_demands(&dispatchers, view, draining, now)
    };
    for (arbiter, demand) in demands {
        if arbiter == view.me {
            let grant = state.arbitrate(&demand);
            apply_answer(state, &arbiter, demand.sequence, Some(&grant), draining);
            continue;
        }
        async_std::task::spawn(request_leases(
            Arc::clone(state),
            Arc::clone(view),
            arbiter,
            demand,
            draining,
        ));
    }
}

/// Sends a demand to another entry and applies its answer.
async fn request_leases<T: Transport>(
    state: Arc<State<T>>,
    view: Arc<View>,
    arbiter: id::Entry,
    demand: Demand,
    draining: bool,
) {
    let sequence = demand.sequence;
    let mut grant = None;
    if let Some(peer) = view.entries.iter().find(|p| p.entry == arbiter) {
        let call = peer::Call::Demand(demand);
        let call = state.transport.call(&arbiter, &peer.address, call);
        let answer = async_std::future::timeout(TIMEOUT.duration(), call).await;
        if let Ok(Ok(peer::Answer::Grant(found))) = answer {
            grant = Some(found);
        }
    }
    state.gate.pass().await;
    apply_answer(&state, &arbiter, sequence, grant.as_ref(), draining);
}

/// Applies an arbiter's answer, or its absence, to the leases and the routers.
fn apply_answer<T: Transport>(
    state: &State<T>,
    arbiter: &id::Entry,
    sequence: u64,
    grant: Option<&Grant>,
    draining: bool,
) {
    // The lock covers both the holder and the routers: otherwise a demand could report leases from
    // before an answer that was already applied.
    let mut slots = lock(&state.slots);
    let groups = slots.apply_answer(arbiter, sequence, grant);
    let now = state.now();
    for (service, updates) in groups {
        for update in &updates {
            let kept = update.slots.map(|slots| slots as usize);
            let found = find_arbiter(&slots.endpoint_arbiters, &update.endpoint);
            if let (Some(kept), Some(found)) = (kept, found) {
                state.pool.trim(&found.address, kept);
            }
        }
        if let Some(dispatcher) = state.dispatcher(&service).filter(|_| !draining) {
            state.note_changes(dispatcher.handle(Input::Leases(updates), now));
        }
    }
}
