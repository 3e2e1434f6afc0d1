//! The policies that are compared: marigoldpick's router and three plain balancers.

use std::sync::Arc;
use std::time::Duration;

use marigoldpick_core::intent::{Intent, Service};
use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_route::endpoint::End;
use marigoldpick_route::holder::Update;
use marigoldpick_route::router::{Endpoint, Input, Output, Request, Router};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::world::{DEADLINE, Decision, Ended, Policy, SLOTS};

/// `Plain` chooses an endpoint at once and lets the endpoint queue.
#[derive(Debug)]
pub struct Plain {
    kind: Kind,
    flying: Vec<usize>,
    sent: std::collections::HashMap<u64, usize>,
    next: usize,
    rng: ChaCha8Rng,
}

/// `Kind` is a plain balancer's rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests in flight.
    LeastInFlight,
    /// The one with fewer requests in flight of two drawn at random.
    RandomTwo,
}

impl Plain {
    /// Makes a balancer over `endpoints` endpoints.
    pub fn new(kind: Kind, endpoints: usize, seed: u64) -> Self {
        Self {
            kind,
            flying: vec![0; endpoints],
            sent: std::collections::HashMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn choose(&mut self) -> usize {
        let count = self.flying.len();
        match self.kind {
            Kind::RoundRobin => {
                self.next = (self.next + 1) % count;
                self.next
            }
            Kind::LeastInFlight => {
                let from = self.rng.random_range(0..count);
                let all = (0..count).map(|step| (from + step) % count);
                all.min_by_key(|at| self.flying[*at]).unwrap_or(0)
            }
            Kind::RandomTwo => {
                let one = self.rng.random_range(0..count);
                let two = self.rng.random_range(0..count);
                if self.flying[two] < self.flying[one] {
                    two
                } else {
                    one
                }
            }
        }
    }
}

impl Policy for Plain {
    fn arrive(&mut self, ticket: u64, _team: usize, _now: u64, out: &mut Vec<Decision>) {
        let endpoint = self.choose();
        self.flying[endpoint] += 1;
        self.sent.insert(ticket, endpoint);
        out.push(Decision::Send { ticket, endpoint });
    }

    fn end(&mut self, ticket: u64, _end: Ended, _now: u64, _out: &mut Vec<Decision>) {
        if let Some(endpoint) = self.sent.remove(&ticket) {
            self.flying[endpoint] -= 1;
        }
    }

    fn tick(&mut self, _now: u64, _out: &mut Vec<Decision>) {}

    fn queues_at_endpoints(&self) -> bool {
        true
    }
}

/// `Ours` is the router.
#[derive(Debug)]
pub struct Ours {
    router: Router,
    teams: Vec<id::Team>,
    out: Vec<Output>,
}

impl Ours {
    /// Makes a router that holds all slots of `endpoints` endpoints.
    pub fn new(endpoints: usize, teams: usize, seed: u64) -> Self {
        let mut router = Router::new(service(), seed, Millis::ZERO);
        let mut out = Vec::new();
        let all = (0..endpoints).map(|at| Endpoint {
            id: name(at),
            address: Arc::from(""),
            leaving: false,
        });
        router.handle(Input::Endpoints(all.collect()), Millis::ZERO, &mut out);
        let leases = (0..endpoints).map(|at| Update {
            endpoint: name(at),
            slots: Some(SLOTS as u32),
            until: Millis::MAX,
        });
        router.handle(Input::Leases(leases.collect()), Millis::ZERO, &mut out);
        let team = |at| id::Team::new(&format!("team-{at}")).expect("a name");
        Self {
            router,
            teams: (0..teams).map(team).collect(),
            out,
        }
    }

    fn tell(&mut self, input: Input, now: u64, out: &mut Vec<Decision>) {
        self.router.handle(input, millis(now), &mut self.out);
        for output in self.out.drain(..) {
            match output {
                Output::Send {
                    ticket, endpoint, ..
                } => out.push(Decision::Send {
                    ticket,
                    endpoint: number(&endpoint),
                }),
                Output::Refuse {
                    ticket,
                    retry_after,
                    ..
                } => out.push(Decision::Refuse {
                    ticket,
                    after: retry_after.unwrap_or_default().0 * 1_000,
                }),
                Output::Ejected(_) | Output::Restored(_) => {}
            }
        }
    }
}

impl Policy for Ours {
    fn arrive(&mut self, ticket: u64, team: usize, now: u64, out: &mut Vec<Decision>) {
        let request = Request {
            ticket,
            team: self.teams[team].clone(),
            class: Class::Normal,
            deadline: millis(now + DEADLINE),
            retry: false,
            never_queue: false,
            avoid: None,
        };
        self.tell(Input::Request(request), now, out);
    }

    fn end(&mut self, ticket: u64, end: Ended, now: u64, out: &mut Vec<Decision>) {
        let end = match end {
            Ended::Answered(time) => End::Answered(Duration::from_micros(time)),
            Ended::Refused => End::Refused,
            Ended::TimedOut => End::TimedOut,
        };
        self.tell(Input::Ended { ticket, end }, now, out);
    }

    fn tick(&mut self, now: u64, out: &mut Vec<Decision>) {
        self.tell(Input::Tick, now, out);
    }

    fn queues_at_endpoints(&self) -> bool {
        false
    }
}

/// Returns the service of the runs, with the usual settings.
pub fn service() -> Service {
    let text = "[[service]]\nname = \"booking\"\nqueue = 1000\n";
    let intent = Intent::parse("bench", text).expect("the text is valid");
    intent.service.into_iter().next().expect("one service")
}

fn name(at: usize) -> id::Endpoint {
    id::Endpoint::new(&format!("{at:06}")).expect("a name")
}

fn number(endpoint: &id::Endpoint) -> usize {
    endpoint.as_str().parse().expect("a number")
}

const fn millis(micros: u64) -> Millis {
    Millis(micros / 1_000)
}
