//! Upkeep: follows the view, renews slot leases, lets time pass at the desks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldpick_core::peer::{self, Demand, Grant, Want};
use marigoldpick_core::prelude::*;
use marigoldpick_route::arbiter::{Arbiter, Charge, SPAN};
use marigoldpick_route::holder::{Holder, TIMEOUT, Target, Update};
use marigoldpick_route::rank;
use marigoldpick_route::router::{Endpoint, Input};

use super::Wire;
use super::desk::Desk;
use super::state::{State, lock};
use crate::view::View;

/// The time between two rounds of upkeep while requests are in flight.
const ROUND: Duration = Duration::from_millis(10);
/// The time between two rounds without requests.
const REST: Duration = Duration::from_millis(100);
/// An entry that was silent for this time is no longer counted among those that vote.
const FORGET: Millis = Millis::from_secs(60);
/// Leases are looked at in each of this many rounds.
const LEASE_ROUNDS: u32 = 2;

/// `Slots` holds both sides of the slot leases.
#[derive(Debug)]
pub struct Slots {
    arbiter: Arbiter,
    holder: Holder,
    /// Each endpoint's service and arbiter, sorted by endpoint.
    places: Vec<Place>,
    /// Since when an entry was not heard.
    silent: HashMap<id::Entry, Millis>,
    started: Millis,
}

#[derive(Debug)]
struct Place {
    endpoint: id::Endpoint,
    address: String,
    service: id::Service,
    arbiter: id::Entry,
}

impl Slots {
    /// Makes the slots of an entry that holds none.
    pub fn new(me: id::Entry, incarnation: u64) -> Self {
        Self {
            arbiter: Arbiter::default(),
            holder: Holder::new(me, incarnation),
            places: Vec::new(),
            silent: HashMap::new(),
            started: Millis::ZERO,
        }
    }

    /// Answers a demand.
    pub fn arbitrate(&mut self, demand: &Demand, now: Millis) -> Grant {
        self.arbiter.demand(demand, now)
    }

    /// Notes when the failure domain's youngest entry started, by the own clock, which began with the
    /// own start; the ages of a view count from its making.
    fn note_started(&mut self, view: &View, now: Millis) {
        let own = view.entries.iter().filter(|p| p.domain == view.domain);
        let started = own.filter(|p| p.alive).map(|p| now.since(p.age)).max();
        self.arbiter
            .set_started(Some(started.unwrap_or(Millis::ZERO)));
    }

    /// Follows a new view.
    fn follow(&mut self, view: &View, draining: bool, now: Millis) {
        if self.started == Millis::ZERO {
            self.started = now;
        }
        self.note_silent(view, now);
        let own = view.entries.iter().filter(|p| p.domain == view.domain);
        let able = own.filter(|p| p.alive && !p.draining).map(|p| &p.entry);
        let mut able: Vec<&id::Entry> = able.collect();
        if !draining || able.is_empty() {
            able.push(&view.me);
        }
        let place = |endpoint: &crate::view::Endpoint| {
            let arbiter = rank::first(endpoint.id.as_str(), able.iter().copied());
            Place {
                endpoint: endpoint.id.clone(),
                address: endpoint.address.clone(),
                service: endpoint.service.clone(),
                arbiter: arbiter.unwrap_or(&view.me).clone(),
            }
        };
        self.places = view.endpoints.iter().map(place).collect();
        let charges = self.places.iter().filter(|p| p.arbiter == view.me);
        let charge = |place: &Place| {
            let service = service(view, &place.service)?;
            Some(Charge {
                endpoint: place.endpoint.clone(),
                slots: service.slots,
                cover: service.deadline_ms,
            })
        };
        let charges = charges.filter_map(charge).collect();
        self.arbiter.set(charges, now);
    }

    fn note_silent(&mut self, view: &View, now: Millis) {
        for peer in view.entries.iter().filter(|p| p.domain == view.domain) {
            if peer.alive {
                self.silent.remove(&peer.entry);
            } else {
                self.silent.entry(peer.entry.clone()).or_insert(now);
            }
        }
    }

    /// Returns the entries that may hold slots: all but those silent for long.
    fn holders(&self, view: &View, now: Millis) -> Vec<id::Entry> {
        let cover = view.services.iter().map(|s| s.deadline_ms).max();
        self.entries(view, SPAN + cover.unwrap_or_default(), now)
    }

    /// Returns the entries that vote on who deals out slots: all but those silent for long, and those
    /// that drain, unless all of them do.
    fn members(&self, view: &View, draining: bool, now: Millis) -> Vec<id::Entry> {
        let mut members = self.entries(view, FORGET, now);
        let leaves = |entry: &id::Entry| {
            let peer = view.entries.iter().find(|peer| peer.entry == *entry);
            peer.map_or(draining, |peer| peer.draining)
        };
        if members.iter().any(|entry| !leaves(entry)) {
            members.retain(|entry| !leaves(entry));
        }
        members
    }

    /// Returns the entries that were not silent for `span`.
    fn entries(&self, view: &View, span: Millis, now: Millis) -> Vec<id::Entry> {
        let held = |entry: &id::Entry| {
            let since = self.silent.get(entry);
            since.is_none_or(|since| now.since(*since) < span)
        };
        let own = view.entries.iter().filter(|p| p.domain == view.domain);
        let mut entries: Vec<id::Entry> = own.map(|p| p.entry.clone()).filter(held).collect();
        entries.push(view.me.clone());
        entries.sort_unstable();
        entries
    }

    /// Returns the demands that are due.
    fn poll(
        &mut self,
        desks: &[Arc<Desk>],
        view: &View,
        draining: bool,
        now: Millis,
    ) -> Vec<(id::Entry, Demand)> {
        let mut wants: Vec<(Want, id::Service)> = Vec::new();
        for desk in desks {
            let cover = desk.settings().deadline_ms;
            for want in desk.wants(&view.me, now) {
                let held = if draining { want.used } else { want.held };
                let want = Want {
                    endpoint: want.endpoint,
                    held,
                    used: want.used,
                    want: if draining { want.used } else { want.want },
                    cover,
                };
                wants.push((want, desk.service.clone()));
            }
        }
        wants.sort_unstable_by(|a, b| a.0.endpoint.cmp(&b.0.endpoint));
        let target = |(want, _): (Want, id::Service)| {
            let place = find(&self.places, &want.endpoint)?;
            Some(Target {
                arbiter: place.arbiter.clone(),
                want,
            })
        };
        let targets = wants.into_iter().filter_map(target).collect();
        self.holder.poll(targets, now)
    }

    /// Takes an arbiter's answer; returns the leases by service.
    fn answer(
        &mut self,
        arbiter: &id::Entry,
        sequence: u64,
        grant: Option<&Grant>,
    ) -> Vec<(id::Service, Vec<Update>)> {
        let mut groups: Vec<(id::Service, Vec<Update>)> = Vec::new();
        for update in self.holder.answer(arbiter, sequence, grant) {
            let Some(place) = find(&self.places, &update.endpoint) else {
                continue;
            };
            match groups.iter_mut().find(|group| group.0 == place.service) {
                Some(group) => group.1.push(update),
                None => groups.push((place.service.clone(), vec![update])),
            }
        }
        groups
    }
}

fn find<'a>(places: &'a [Place], endpoint: &id::Endpoint) -> Option<&'a Place> {
    let at = places.binary_search_by(|p| p.endpoint.cmp(endpoint)).ok()?;
    Some(&places[at])
}

fn service<'a>(
    view: &'a View,
    name: &id::Service,
) -> Option<&'a marigoldpick_core::intent::Service> {
    let at = view.services.binary_search_by(|s| s.name.cmp(name)).ok()?;
    Some(&view.services[at])
}

/// Keeps a face up until it is killed.
pub async fn keep<W: Wire>(state: Arc<State<W>>) {
    let mut seen: Option<Arc<View>> = None;
    let mut drained = false;
    let mut round = 0;
    while !state.killed() {
        state.gate.pass().await;
        let now = state.now();
        let view = state.look();
        let draining = state.draining();
        let same = seen.as_ref().is_some_and(|seen| Arc::ptr_eq(seen, &view));
        if !same || drained != draining {
            follow(&state, &view, draining, now);
            seen = Some(Arc::clone(&view));
            drained = draining;
        }
        for desk in state.desks.load().iter() {
            state.note_changes(desk.tell(Input::Tick, now));
        }
        if round % LEASE_ROUNDS == 0 || state.idle() {
            renew(&state, &view, draining, now);
        }
        round = round.wrapping_add(1);
        state.rest(ROUND, REST).await;
    }
}

fn follow<W: Wire>(state: &State<W>, view: &View, draining: bool, now: Millis) {
    let old = state.desks.load_full();
    let mut desks = Vec::with_capacity(view.services.len());
    for service in &view.services {
        let known = old.binary_search_by(|d| d.service.cmp(&service.name)).ok();
        let desk = match known {
            Some(at) => {
                let desk = Arc::clone(&old[at]);
                drop(desk.tell(Input::Service(service.clone()), now));
                desk
            }
            None => Arc::new(Desk::new(service.clone(), state.settings.seed, now)),
        };
        let endpoints = view.endpoints.iter().filter(|e| e.service == service.name);
        let endpoints = endpoints.map(|endpoint| Endpoint {
            id: endpoint.id.clone(),
            address: Arc::from(endpoint.address.as_str()),
            leaving: endpoint.leaving,
        });
        state.note_changes(desk.tell(Input::Endpoints(endpoints.collect()), now));
        desks.push(desk);
    }
    state.desks.store(Arc::new(desks));
    let mut slots = lock(&state.slots);
    if !state.settings.settled {
        slots.note_started(view, now);
    }
    slots.follow(view, draining, now);
    drop(slots);
    let mut addresses: Vec<&str> = view.endpoints.iter().map(|e| e.address.as_str()).collect();
    addresses.sort_unstable();
    state.pool.retain(&addresses);
}

fn renew<W: Wire>(state: &Arc<State<W>>, view: &Arc<View>, draining: bool, now: Millis) {
    let desks = state.desks.load_full();
    let demands = {
        let mut slots = lock(&state.slots);
        let holders = slots.holders(view, now);
        let members = slots.members(view, draining, now);
        slots.arbiter.set_entries(holders, members);
        slots.arbiter.tick(now);
        slots.poll(&desks, view, draining, now)
    };
    for (arbiter, demand) in demands {
        if arbiter == view.me {
            let grant = state.arbitrate(&demand);
            apply(state, &arbiter, demand.sequence, Some(&grant), draining);
            continue;
        }
        async_std::task::spawn(ask(
            Arc::clone(state),
            Arc::clone(view),
            arbiter,
            demand,
            draining,
        ));
    }
}

async fn ask<W: Wire>(
    state: Arc<State<W>>,
    view: Arc<View>,
    arbiter: id::Entry,
    demand: Demand,
    draining: bool,
) {
    let sequence = demand.sequence;
    let mut grant = None;
    if let Some(peer) = view.entries.iter().find(|p| p.entry == arbiter) {
        let call = peer::Call::Demand(demand);
        let call = state.wire.call(&arbiter, &peer.address, call);
        let answer = async_std::future::timeout(TIMEOUT.duration(), call).await;
        if let Ok(Ok(peer::Answer::Grant(found))) = answer {
            grant = Some(found);
        }
    }
    state.gate.pass().await;
    apply(&state, &arbiter, sequence, grant.as_ref(), draining);
}

fn apply<W: Wire>(
    state: &State<W>,
    arbiter: &id::Entry,
    sequence: u64,
    grant: Option<&Grant>,
    draining: bool,
) {
    // Both under one lock: a demand never tells of leases from before an answer that was taken.
    let mut slots = lock(&state.slots);
    let groups = slots.answer(arbiter, sequence, grant);
    let now = state.now();
    for (service, updates) in groups {
        for update in &updates {
            let kept = update.slots.map(|slots| slots as usize);
            let place = find(&slots.places, &update.endpoint);
            if let (Some(kept), Some(place)) = (kept, place) {
                state.pool.trim(&place.address, kept);
            }
        }
        if let Some(desk) = state.desk(&service).filter(|_| !draining) {
            state.note_changes(desk.tell(Input::Leases(updates), now));
        }
    }
}
