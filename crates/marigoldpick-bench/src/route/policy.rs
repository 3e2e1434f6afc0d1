//! The compared policies: marigoldpick's router and three plain load balancers.

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

use super::simulation::{DEADLINE, Decision, Ended, Policy, SLOTS};

/// `Balancer` sends each request to an endpoint at once; requests queue at the endpoints.
#[derive(Debug)]
pub struct Balancer {
    rule: Rule,
    in_flight: Vec<usize>,
    /// The endpoint of each request in flight, by ticket.
    sent: std::collections::HashMap<u64, usize>,
    next: usize,
    rng: ChaCha8Rng,
}

/// `Rule` is the way in which a balancer chooses an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest requests in flight.
    LeastInFlight,
    /// Of two random endpoints, the one with fewer requests in flight.
    RandomTwo,
}

impl Balancer {
    /// Creates a balancer for a number of endpoints.
    pub fn new(rule: Rule, endpoints: usize, seed: u64) -> Self {
        Self {
            rule,
            in_flight: vec![0; endpoints],
            sent: std::collections::HashMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn choose(&mut self) -> usize {
        let count = self.in_flight.len();
        match self.rule {
            Rule::RoundRobin => {
                self.next = (self.next + 1) % count;
                self.next
            }
            Rule::LeastInFlight => {
                let from = self.rng.random_range(0..count);
                let all = (0..count).map(|step| (from + step) % count);
                all.min_by_key(|at| self.in_flight[*at]).unwrap_or(0)
            }
            Rule::RandomTwo => {
                let first = self.rng.random_range(0..count);
                let second = self.rng.random_range(0..count);
                if self.in_flight[second] < self.in_flight[first] {
                    second
                } else {
                    first
                }
            }
        }
    }
}

impl Policy for Balancer {
    fn arrive(&mut self, ticket: u64, _team: usize, _now: u64, out: &mut Vec<Decision>) {
        let endpoint = self.choose();
        self.in_flight[endpoint] += 1;
        self.sent.insert(ticket, endpoint);
        out.push(Decision::Send { ticket, endpoint });
    }

    fn end(&mut self, ticket: u64, _end: Ended, _now: u64, _out: &mut Vec<Decision>) {
        if let Some(endpoint) = self.sent.remove(&ticket) {
            self.in_flight[endpoint] -= 1;
        }
    }

    fn tick(&mut self, _now: u64, _out: &mut Vec<Decision>) {}

    fn queues_at_endpoints(&self) -> bool {
        true
    }
}

/// `Marigold` is marigoldpick's router, which queues requests itself.
#[derive(Debug)]
pub struct Marigold {
    router: Router,
    teams: Vec<id::Team>,
    out: Vec<Output>,
}

impl Marigold {
    /// Creates a router that holds leases on all slots of a number of endpoints.
    pub fn new(endpoints: usize, teams: usize, seed: u64) -> Self {
        let mut router = Router::new(service(), seed, Millis::ZERO);
        let mut out = Vec::new();
        let all = (0..endpoints).map(|at| Endpoint {
            id: endpoint_id(at),
            address: Arc::from(""),
            leaving: false,
        });
        router.handle(Input::Endpoints(all.collect()), Millis::ZERO, &mut out);
        let leases = (0..endpoints).map(|at| Update {
            endpoint: endpoint_id(at),
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

    /// Passes an input to the router and converts its outputs.
    fn handle(&mut self, input: Input, now: u64, out: &mut Vec<Decision>) {
        self.router.handle(input, millis(now), &mut self.out);
        for output in self.out.drain(..) {
            match output {
                Output::Send {
                    ticket, endpoint, ..
                } => out.push(Decision::Send {
                    ticket,
                    endpoint: endpoint_index(&endpoint),
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

impl Policy for Marigold {
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
        self.handle(Input::Request(request), now, out);
    }

    fn end(&mut self, ticket: u64, end: Ended, now: u64, out: &mut Vec<Decision>) {
        let end = match end {
            Ended::Answered(time) => End::Answered(Duration::from_micros(time)),
            Ended::Refused => End::Refused,
            Ended::TimedOut => End::TimedOut,
        };
        self.handle(Input::Ended { ticket, end }, now, out);
    }

    fn tick(&mut self, now: u64, out: &mut Vec<Decision>) {
        self.handle(Input::Tick, now, out);
    }

    fn queues_at_endpoints(&self) -> bool {
        false
    }
}

/// Returns the service of the runs, with default settings but for the queue.
pub fn service() -> Service {
    let text = "[[service]]\nname = \"booking\"\nqueue = 1000\n";
    let intent = Intent::parse("bench", text).expect("the text is valid");
    intent.service.into_iter().next().expect("one service")
}

fn endpoint_id(at: usize) -> id::Endpoint {
    id::Endpoint::new(&format!("{at:06}")).expect("a name")
}

fn endpoint_index(endpoint: &id::Endpoint) -> usize {
    endpoint.as_str().parse().expect("a number")
}

const fn millis(micros: u64) -> Millis {
    Millis(micros / 1_000)
}
