//! The dispatch of one service's requests at one entry: admission, queueing and choice of an
//! endpoint.
//!
//! The best endpoint is the one that has a free slot and the shortest expected run time. A free
//! slot of a slow endpoint is not used while waiting for a faster endpoint is expected to take less
//! time. A request whose expected wait would pass its deadline is refused at once; under overload,
//! lower classes are refused earlier than higher ones.

mod admission;
mod choice;

use std::sync::Arc;

use fxhash::FxHashMap;
use marigoldpick_core::intent;
use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::budget::Budget;
use crate::endpoint::{End, State};
use crate::holder::Update;
use crate::queue::{Item, Queue};
use crate::rank;
use choice::Speeds;

/// The longest time for which the sums over all endpoints are used. Each tick computes them again,
/// so that decisions seldom have to.
const MAX_SUMS_AGE: Millis = Millis(20);
/// After this time without any usable slot, requests are refused and not queued.
const SLOTLESS_LIMIT: Millis = Millis(500);
/// Each entry keeps a slot of every endpoint of a service with at most this many usable endpoints.
const FEW_ENDPOINTS: usize = 8;
/// The number of recently active teams from which on no request is queued.
const MAX_TEAMS: usize = 1_000;
/// The most waiting requests of all teams together, as a multiple of one team's bound.
const MAX_QUEUED_FACTOR: usize = 32;

/// `Endpoint` is an endpoint as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The endpoint's id.
    pub id: id::Endpoint,
    /// The endpoint's address.
    pub address: Arc<str>,
    /// Whether the endpoint gets no new requests.
    pub leaving: bool,
}

/// `Request` describes a request to be dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The number of this attempt at this entry, which is never reused.
    pub ticket: u64,
    /// The team.
    pub team: id::Team,
    /// The class.
    pub class: Class,
    /// The time by which the answer must arrive.
    pub deadline: Millis,
    /// Whether the request is a retry of one that may have run, which the retry budget must allow.
    pub retry: bool,
    /// Whether the request is refused when it can't be sent at once, since its own failure domain
    /// can queue it.
    pub never_queue: bool,
    /// An endpoint on which the request failed before.
    pub avoid: Option<id::Endpoint>,
}

/// `Input` is an event that the router handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// The service's settings have changed.
    Service(intent::Service),
    /// All endpoints of the service in this failure domain, sorted by id.
    Endpoints(Vec<Endpoint>),
    /// Slot leases have changed.
    Leases(Vec<Update>),
    /// A request arrives.
    Request(Request),
    /// A request is cancelled: its caller is gone or its work is given up. Has an effect only while
    /// the request waits.
    Cancel {
        /// The request's number.
        ticket: u64,
        /// The request's team.
        team: id::Team,
    },
    /// A request that was sent has ended.
    Ended {
        /// The request's number.
        ticket: u64,
        /// How the request ended.
        end: End,
    },
    /// Time has passed; sent regularly.
    Tick,
}

/// `Output` is a decision of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The request is sent to the endpoint now.
    Send {
        /// The request's number.
        ticket: u64,
        /// The endpoint's id.
        endpoint: id::Endpoint,
        /// The endpoint's address.
        address: Arc<str>,
    },
    /// The request is refused; it did not run.
    Refuse {
        /// The request's number.
        ticket: u64,
        /// The reason.
        code: Code,
        /// After what time a retry makes sense.
        retry_after: Option<Millis>,
    },
    /// The endpoint is ejected as failing.
    Ejected(id::Endpoint),
    /// The endpoint was ejected and answers again.
    Restored(id::Endpoint),
}

/// `InFlight` is a request that was sent and has not ended.
#[derive(Clone, Debug)]
struct InFlight {
    endpoint: id::Endpoint,
    team: id::Team,
    /// The run time in microseconds that was charged to its team.
    charged_us: f64,
    /// The time to its deadline when it was sent, in microseconds.
    time_left_us: f64,
}

/// `Want` is the router's demand for slots of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The endpoint's id.
    pub endpoint: id::Endpoint,
    /// The slots held now.
    pub held: u32,
    /// The slots in use.
    pub used: u32,
    /// The slots that the router could use.
    pub want: u32,
}

/// `Count` summarizes the router for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// The endpoints that are not leaving.
    pub endpoints: u32,
    /// The ejected endpoints.
    pub ejected: u32,
    /// The slots held.
    pub slots: u32,
    /// The requests in flight.
    pub in_flight: u32,
    /// The waiting requests.
    pub queued: u32,
}

/// `Router` dispatches the requests of one service.
#[derive(Clone, Debug)]
pub struct Router {
    service: intent::Service,
    endpoints: Vec<State>,
    queue: Queue,
    in_flight: FxHashMap<u64, InFlight>,
    budget: Budget,
    speeds: Speeds,
    /// Since when no slot has been usable.
    slotless_since: Option<Millis>,
    rng: ChaCha8Rng,
}

impl Router {
    /// Makes a router without endpoints.
    #[must_use]
    pub fn new(service: intent::Service, seed: u64, now: Millis) -> Self {
        Self {
            budget: Budget::new(service.retry_percent, now),
            service,
            endpoints: Vec::new(),
            queue: Queue::default(),
            in_flight: FxHashMap::default(),
            speeds: Speeds::default(),
            slotless_since: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Handles one input and appends the decisions that follow to `out`.
    pub fn handle(&mut self, input: Input, now: Millis, out: &mut Vec<Output>) {
        match input {
            Input::Service(service) => self.set_service(service),
            Input::Endpoints(endpoints) => self.set_endpoints(endpoints, now),
            Input::Leases(updates) => self.apply_leases(&updates),
            Input::Request(request) => {
                self.admit(request, now, out);
                return;
            }
            Input::Cancel { ticket, team } => {
                if self.queue.remove(&team, ticket).is_some() {
                    refuse(ticket, Code::NotRunCallerGone, None, out);
                }
                return;
            }
            Input::Ended { ticket, end } => self.record_end(ticket, end, now, out),
            Input::Tick => self.tick(now, out),
        }
        self.dispatch_queued(now, out);
    }

    /// Returns the service's settings.
    #[must_use]
    pub const fn service(&self) -> &intent::Service {
        &self.service
    }

    /// Returns a summary for operators.
    #[must_use]
    pub fn count(&self, now: Millis) -> Count {
        let mut count = Count {
            queued: self.queue.len() as u32,
            in_flight: self.in_flight.len() as u32,
            ..Count::default()
        };
        for state in &self.endpoints {
            count.endpoints += u32::from(!state.leaving);
            count.ejected += u32::from(state.is_ejected());
            count.slots += state.held_slots(now);
        }
        count
    }

    /// Returns the demand for each endpoint's slots, sorted by endpoint.
    ///
    /// The router asks for one slot more than it needs of each endpoint that it used lately, and of
    /// all endpoints while requests wait. A service that is idle at this entry still asks for a slot
    /// of every fourth endpoint, so that its first requests need not wait for a lease; each entry
    /// picks a different fourth. With few endpoints it asks for a slot of each.
    #[must_use]
    pub fn wants(&self, me: &id::Entry, now: Millis) -> Vec<Want> {
        let usable = self.endpoints.iter().filter(|s| s.is_usable(now)).count();
        let queued = self.queue.len().div_ceil(usable.max(1)) as u32;
        let want = |state: &State| {
            let score = rank::score(state.id.as_str(), me.as_str());
            let keeps_slot = usable <= FEW_ENDPOINTS || score.is_multiple_of(4);
            let busy = state.peak() > 0 || queued > 0;
            let reserve = u32::from(busy || keeps_slot);
            let most = self.service.slots;
            let usable = state.is_usable(now);
            Want {
                endpoint: state.id.clone(),
                held: state.held_slots(now),
                used: state.in_flight,
                want: if usable {
                    most.min(state.peak() + queued + reserve)
                } else {
                    state.in_flight
                },
            }
        };
        self.endpoints.iter().map(want).collect()
    }

    fn set_service(&mut self, service: intent::Service) {
        self.budget.set_percent(service.retry_percent);
        self.service = service;
    }

    fn set_endpoints(&mut self, endpoints: Vec<Endpoint>, now: Millis) {
        let mut old = std::mem::take(&mut self.endpoints);
        let joins = !old.is_empty();
        let mut states = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let known = old.binary_search_by(|s| s.id.cmp(&endpoint.id)).ok();
            let mut state = match known {
                Some(at) if old[at].address == endpoint.address => old.remove(at),
                _ => State::new(endpoint.id, endpoint.address, joins, now),
            };
            state.leaving = endpoint.leaving;
            states.push(state);
        }
        for mut gone in old.into_iter().filter(|s| s.in_flight > 0) {
            gone.leaving = true;
            if let Err(at) = states.binary_search_by(|s: &State| s.id.cmp(&gone.id)) {
                states.insert(at, gone);
            }
        }
        self.endpoints = states;
        self.speeds.invalidate();
    }

    fn apply_leases(&mut self, updates: &[Update]) {
        for update in updates {
            let Some(at) = self.position(&update.endpoint) else {
                continue;
            };
            let slots = update.slots.map(|slots| slots.min(self.service.slots));
            self.endpoints[at].lease(slots, update.until);
        }
        self.speeds.invalidate();
    }

    fn send(&mut self, item: Item, at: usize, now: Millis, out: &mut Vec<Output>) {
        let state = &mut self.endpoints[at];
        let charged_us = state.expected_us(now).max(1.0);
        state.start(now);
        out.push(Output::Send {
            ticket: item.ticket,
            endpoint: state.id.clone(),
            address: Arc::clone(&state.address),
        });
        self.queue.record_start(&item.team, charged_us, now);
        let flight = InFlight {
            endpoint: self.endpoints[at].id.clone(),
            team: item.team,
            charged_us,
            time_left_us: item.deadline.since(now).0 as f64 * 1_000.0,
        };
        self.in_flight.insert(item.ticket, flight);
    }

    fn record_end(&mut self, ticket: u64, end: End, now: Millis, out: &mut Vec<Output>) {
        let Some(flight) = self.in_flight.remove(&ticket) else {
            return;
        };
        let correction = match end {
            End::Answered(span) => span.as_secs_f64() * 1e6 - flight.charged_us,
            End::Refused | End::Unreached | End::Unsent => -flight.charged_us,
            End::Lost | End::TimedOut => 0.0,
        };
        self.queue.record_end(&flight.team, correction, now);
        let can_eject = self.can_eject();
        let Some(at) = self.position(&flight.endpoint) else {
            return;
        };
        let state = &mut self.endpoints[at];
        let before = state.is_ejected();
        // A timeout of a request that was sent too late says nothing about the endpoint.
        let late = end == End::TimedOut && !state.is_fair_time(flight.time_left_us);
        state.end(if late { End::Unsent } else { end }, can_eject, now);
        let after = state.is_ejected();
        if after && !before {
            out.push(Output::Ejected(flight.endpoint));
            self.speeds.invalidate();
        } else if before && !after {
            out.push(Output::Restored(flight.endpoint));
            self.speeds.invalidate();
        }
    }

    /// Returns whether one more endpoint may be ejected: never more than half of them.
    fn can_eject(&self) -> bool {
        let open = self.endpoints.iter().filter(|s| !s.leaving).count();
        let ejected = self.endpoints.iter().filter(|s| s.is_ejected()).count();
        (ejected + 1) * 2 <= open
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        for state in &mut self.endpoints {
            state.tick(now);
        }
        self.endpoints.retain(|s| !(s.leaving && s.in_flight == 0));
        let mut late = Vec::new();
        self.queue.expire(now, &mut late);
        for item in late {
            refuse(item.ticket, Code::NotRunTooLate, None, out);
        }
        self.speeds.invalidate();
        self.refresh_speeds(now);
        if self.is_slotless(now) {
            while let Some(item) = self.queue.pop(u32::MAX, |_| true) {
                let retry_after = self.retry_delay(0.0);
                refuse(item.ticket, Code::NotRunNoEndpoint, retry_after, out);
            }
        }
    }

    /// Returns whether no slot has been usable for [`SLOTLESS_LIMIT`].
    fn is_slotless(&self, now: Millis) -> bool {
        self.slotless_since
            .is_some_and(|since| now.since(since) >= SLOTLESS_LIMIT)
    }

    fn position(&self, endpoint: &id::Endpoint) -> Option<usize> {
        self.endpoints.binary_search_by(|s| s.id.cmp(endpoint)).ok()
    }

    fn team_weight(&self, team: &id::Team) -> u32 {
        let named = self.service.weight.iter().find(|w| w.team == *team);
        named.map_or(1, |w| w.share)
    }
}

fn refuse(ticket: u64, code: Code, retry_after: Option<Millis>, out: &mut Vec<Output>) {
    out.push(Output::Refuse {
        ticket,
        code,
        retry_after,
    });
}
