//! The placement of one service's requests at one entry: admission, queueing and choice.
//!
//! The best endpoint is the one with a free slot and the shortest expected time. A slow one is
//! passed over while waiting for a faster one is expected to take less. A request whose wait would
//! pass its deadline is refused at once, lower classes earlier than higher ones.

mod admission;
mod choice;

use std::sync::Arc;

use fxhash::FxHashMap;
use marigoldpick_core::intent;
use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::back::{Back, End};
use crate::budget::Budget;
use crate::holder::Update;
use crate::queue::{Item, Queue};
use crate::rank;
use choice::Speeds;

/// How long computed sums over all endpoints are used at most; each tick computes them anew, so that
/// decisions seldom do.
const REFRESH: Millis = Millis(20);
/// Without any slot for this time, requests are refused rather than queued.
const DRY: Millis = Millis(500);
/// Services with no more endpoints than this keep a slot of each at every entry.
const FEW: usize = 8;
/// Teams that are told apart.
const MAX_TEAMS: usize = 1_000;
/// Requests of all teams that may wait, as a multiple of one team's bound.
const MAX_QUEUES: usize = 32;

/// `Endpoint` is an endpoint as the configuration has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The endpoint.
    pub id: id::Endpoint,
    /// Its address.
    pub address: Arc<str>,
    /// Whether it gets no new requests.
    pub leaving: bool,
}

/// `Request` is what is known of a request that is to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The number of this try at this entry, never used twice.
    pub ticket: u64,
    /// The team.
    pub team: id::Team,
    /// The class.
    pub class: Class,
    /// When the answer must be there.
    pub deadline: Millis,
    /// Whether it is a retry of what may have run, which the budget must allow.
    pub retry: bool,
    /// Whether it is refused rather than queued, since its own failure domain can queue it.
    pub spare: bool,
    /// An endpoint that failed it before.
    pub avoid: Option<id::Endpoint>,
}

/// `Input` is what the router is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The service's settings.
    Service(intent::Service),
    /// All its endpoints in this failure domain, sorted by id.
    Endpoints(Vec<Endpoint>),
    /// Slot leases that changed.
    Leases(Vec<Update>),
    /// A request.
    Request(Request),
    /// A request whose caller is gone or whose work is given up, if it still waits.
    Cancel {
        /// Its number.
        ticket: u64,
        /// Its team.
        team: id::Team,
    },
    /// A request that was sent has ended.
    Ended {
        /// Its number.
        ticket: u64,
        /// How.
        end: End,
    },
    /// Time has passed.
    Tick,
}

/// `Output` is what the router decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The request goes to the endpoint now.
    Send {
        /// The request's number.
        ticket: u64,
        /// The endpoint.
        endpoint: id::Endpoint,
        /// The endpoint's address.
        address: Arc<str>,
    },
    /// The request is refused; it did not run.
    Refuse {
        /// The request's number.
        ticket: u64,
        /// Why.
        code: Code,
        /// When a later try makes sense.
        retry_after: Option<Millis>,
    },
    /// An endpoint was set aside as failing.
    Ejected(id::Endpoint),
    /// An endpoint that was set aside answers again.
    Restored(id::Endpoint),
}

/// `Flight` is a request that was sent.
#[derive(Clone, Debug)]
struct Flight {
    endpoint: id::Endpoint,
    team: id::Team,
    charged: f64,
    /// The time to its deadline when it was sent, in microseconds.
    given: f64,
}

/// `Want` is what the router could use of an endpoint's slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Slots held now.
    pub held: u32,
    /// Slots in use.
    pub used: u32,
    /// Slots that could be used.
    pub want: u32,
}

/// `Count` is a summary for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Endpoints that are not leaving.
    pub endpoints: u32,
    /// Endpoints set aside.
    pub ejected: u32,
    /// Slots held.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests waiting.
    pub queued: u32,
}

/// `Router` places the requests of one service.
#[derive(Clone, Debug)]
pub struct Router {
    service: intent::Service,
    backs: Vec<Back>,
    queue: Queue,
    flights: FxHashMap<u64, Flight>,
    budget: Budget,
    speeds: Speeds,
    /// Since when no slot can be used.
    dry: Option<Millis>,
    rng: ChaCha8Rng,
}

impl Router {
    /// Makes a router without endpoints.
    #[must_use]
    pub fn new(service: intent::Service, seed: u64, now: Millis) -> Self {
        Self {
            budget: Budget::new(service.retry_percent, now),
            service,
            backs: Vec::new(),
            queue: Queue::default(),
            flights: FxHashMap::default(),
            speeds: Speeds::default(),
            dry: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes one input and adds what follows from it to `out`.
    pub fn handle(&mut self, input: Input, now: Millis, out: &mut Vec<Output>) {
        match input {
            Input::Service(service) => self.set_service(service),
            Input::Endpoints(endpoints) => self.set_endpoints(endpoints, now),
            Input::Leases(updates) => self.lease(&updates),
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
            Input::Ended { ticket, end } => self.ended(ticket, end, now, out),
            Input::Tick => self.tick(now, out),
        }
        self.pump(now, out);
    }

    /// Returns the settings.
    #[must_use]
    pub const fn service(&self) -> &intent::Service {
        &self.service
    }

    /// Returns a summary.
    #[must_use]
    pub fn count(&self, now: Millis) -> Count {
        let mut count = Count {
            queued: self.queue.len() as u32,
            in_flight: self.flights.len() as u32,
            ..Count::default()
        };
        for back in &self.backs {
            count.endpoints += u32::from(!back.leaving);
            count.ejected += u32::from(back.ejected());
            count.slots += back.held(now);
        }
        count
    }

    /// Returns what could be used of each endpoint's slots, sorted by endpoint.
    ///
    /// A service that is idle here still asks for a slot of every fourth endpoint, another fourth
    /// at each entry, so that its first requests need not wait for a lease. With few endpoints it
    /// asks for one of each.
    #[must_use]
    pub fn wants(&self, me: &id::Entry, now: Millis) -> Vec<Want> {
        let usable = self.backs.iter().filter(|b| b.usable(now)).count();
        let queued = self.queue.len().div_ceil(usable.max(1)) as u32;
        let want = |back: &Back| {
            let score = rank::score(back.id.as_str(), me.as_str());
            let standing = usable <= FEW || score.is_multiple_of(4);
            let busy = back.peak() > 0 || queued > 0;
            let spare = u32::from(busy || standing);
            let most = self.service.slots;
            let open = back.usable(now);
            Want {
                endpoint: back.id.clone(),
                held: back.held(now),
                used: back.used,
                want: if open {
                    most.min(back.peak() + queued + spare)
                } else {
                    back.used
                },
            }
        };
        self.backs.iter().map(want).collect()
    }

    fn set_service(&mut self, service: intent::Service) {
        self.budget.set(service.retry_percent);
        self.service = service;
    }

    fn set_endpoints(&mut self, endpoints: Vec<Endpoint>, now: Millis) {
        let mut old = std::mem::take(&mut self.backs);
        let joins = !old.is_empty();
        let mut backs = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let known = old.binary_search_by(|b| b.id.cmp(&endpoint.id)).ok();
            let mut back = match known {
                Some(at) if old[at].address == endpoint.address => old.remove(at),
                _ => Back::new(endpoint.id, endpoint.address, joins, now),
            };
            back.leaving = endpoint.leaving;
            backs.push(back);
        }
        for mut gone in old.into_iter().filter(|b| b.used > 0) {
            gone.leaving = true;
            if let Err(at) = backs.binary_search_by(|b: &Back| b.id.cmp(&gone.id)) {
                backs.insert(at, gone);
            }
        }
        self.backs = backs;
        self.speeds.forget();
    }

    fn lease(&mut self, updates: &[Update]) {
        for update in updates {
            let Some(at) = self.find(&update.endpoint) else {
                continue;
            };
            let slots = update.slots.map(|slots| slots.min(self.service.slots));
            self.backs[at].lease(slots, update.until);
        }
        self.speeds.forget();
    }

    fn send(&mut self, item: Item, at: usize, now: Millis, out: &mut Vec<Output>) {
        let back = &mut self.backs[at];
        let charged = back.expected(now).max(1.0);
        back.start(now);
        out.push(Output::Send {
            ticket: item.ticket,
            endpoint: back.id.clone(),
            address: Arc::clone(&back.address),
        });
        self.queue.start(&item.team, charged, now);
        let flight = Flight {
            endpoint: self.backs[at].id.clone(),
            team: item.team,
            charged,
            given: item.deadline.since(now).0 as f64 * 1_000.0,
        };
        self.flights.insert(item.ticket, flight);
    }

    fn ended(&mut self, ticket: u64, end: End, now: Millis, out: &mut Vec<Output>) {
        let Some(flight) = self.flights.remove(&ticket) else {
            return;
        };
        let correction = match end {
            End::Answered(span) => span.as_secs_f64() * 1e6 - flight.charged,
            End::Refused | End::Unreached | End::Unsent => -flight.charged,
            End::Lost | End::TimedOut => 0.0,
        };
        self.queue.end(&flight.team, correction, now);
        let may_eject = self.may_eject();
        let Some(at) = self.find(&flight.endpoint) else {
            return;
        };
        let back = &mut self.backs[at];
        let before = back.ejected();
        // Whoever starts a request too late has itself to blame.
        let late = end == End::TimedOut && !back.is_fair(flight.given);
        back.end(if late { End::Unsent } else { end }, may_eject, now);
        let after = back.ejected();
        if after && !before {
            out.push(Output::Ejected(flight.endpoint));
            self.speeds.forget();
        } else if before && !after {
            out.push(Output::Restored(flight.endpoint));
            self.speeds.forget();
        }
    }

    /// Tells whether one more endpoint may be set aside: never more than half of them.
    fn may_eject(&self) -> bool {
        let open = self.backs.iter().filter(|b| !b.leaving).count();
        let ejected = self.backs.iter().filter(|b| b.ejected()).count();
        (ejected + 1) * 2 <= open
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        for back in &mut self.backs {
            back.tick(now);
        }
        self.backs.retain(|b| !(b.leaving && b.used == 0));
        let mut late = Vec::new();
        self.queue.expire(now, &mut late);
        for item in late {
            refuse(item.ticket, Code::NotRunTooLate, None, out);
        }
        self.speeds.forget();
        self.refresh(now);
        if self.is_dry(now) {
            while let Some(item) = self.queue.pop(u32::MAX, |_| true) {
                let later = self.later(0.0);
                refuse(item.ticket, Code::NotRunNoEndpoint, later, out);
            }
        }
    }

    /// Tells whether there was no slot to use for some time.
    fn is_dry(&self, now: Millis) -> bool {
        self.dry.is_some_and(|since| now.since(since) >= DRY)
    }

    fn find(&self, endpoint: &id::Endpoint) -> Option<usize> {
        self.backs.binary_search_by(|b| b.id.cmp(endpoint)).ok()
    }

    fn weight(&self, team: &id::Team) -> u32 {
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
