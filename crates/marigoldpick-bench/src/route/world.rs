//! Endpoints of unlike speed and callers with deadlines under a virtual clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Slots of an endpoint.
pub const SLOTS: usize = 8;
/// A second in the world's unit.
pub const SECOND: u64 = 1_000_000;
/// The mean time of a request on the fastest endpoint.
const FASTEST: f64 = 20_000.0;
/// How long the callers of the overload runs wait.
pub const DEADLINE: u64 = SECOND;

/// `Setup` describes one run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// How many times slower each endpoint is than the fastest.
    pub speeds: Vec<f64>,
    /// Arrivals a second of each team.
    pub teams: Vec<f64>,
    /// The length of the run.
    pub span: u64,
    /// Between these times all endpoints are `brown` times slower.
    pub brown: Option<(u64, u64, f64)>,
    /// How often a caller asks again after a refusal or a timeout.
    pub asks: u32,
    /// The seed.
    pub seed: u64,
}

impl Setup {
    /// Returns the requests a second that all endpoints together can end.
    pub fn capacity(&self) -> f64 {
        let rate = |speed: &f64| SLOTS as f64 / (FASTEST * speed) * SECOND as f64;
        self.speeds.iter().map(rate).sum()
    }
}

/// `Decision` is what a policy does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes to an endpoint.
    Send { ticket: u64, endpoint: usize },
    /// It is refused; the caller may come back after this time.
    Refuse { ticket: u64, after: u64 },
}

/// `Policy` places requests.
pub trait Policy {
    /// A request arrives.
    fn arrive(&mut self, ticket: u64, team: usize, now: u64, out: &mut Vec<Decision>);
    /// An endpoint answered, or refused for want of a slot.
    fn end(&mut self, ticket: u64, end: Ended, now: u64, out: &mut Vec<Decision>);
    /// Ten milliseconds passed.
    fn tick(&mut self, now: u64, out: &mut Vec<Decision>);
    /// Tells whether endpoints queue what their slots don't take, as plain balancers let them.
    fn queues_at_endpoints(&self) -> bool;
}

/// `Ended` is how a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It was answered after this time.
    Answered(u64),
    /// The endpoint had no slot.
    Refused,
    /// Its deadline passed.
    TimedOut,
}

/// `Tally` is what came of a run.
#[derive(Debug)]
pub struct Tally {
    /// Answers in time, by team.
    pub good: Vec<u64>,
    /// First attempts, by team.
    pub offered: Vec<u64>,
    /// Time from first attempt to answer in microseconds, by team.
    pub times: Vec<Histogram<u64>>,
    /// Answers in time in each second.
    pub by_second: Vec<u64>,
    /// Runs at endpoints that nobody waited for any more.
    pub wasted: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { team: usize },
    Again { caller: u64 },
    Finish { endpoint: usize, ticket: u64 },
    Deadline { ticket: u64 },
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    team: usize,
    born: u64,
    asks: u32,
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    caller: u64,
    sent: Option<u64>,
    live: bool,
}

/// `World` runs one policy.
#[derive(Debug)]
pub struct World<P> {
    setup: Setup,
    policy: P,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    busy: Vec<usize>,
    queues: Vec<VecDeque<u64>>,
    callers: HashMap<u64, Caller>,
    flights: HashMap<u64, Flight>,
    rng: ChaCha8Rng,
    tally: Tally,
}

impl<P: Policy> World<P> {
    /// Makes a world.
    pub fn new(setup: Setup, policy: P) -> Self {
        let teams = setup.teams.len();
        let histogram =
            || Histogram::new_with_bounds(1, 600 * SECOND, 3).expect("bounds are valid");
        Self {
            now: 0,
            events: BinaryHeap::new(),
            number: 0,
            busy: vec![0; setup.speeds.len()],
            queues: vec![VecDeque::new(); setup.speeds.len()],
            callers: HashMap::new(),
            flights: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            tally: Tally {
                good: vec![0; teams],
                offered: vec![0; teams],
                times: (0..teams).map(|_| histogram()).collect(),
                by_second: vec![0; (setup.span / SECOND) as usize + 2],
                wasted: 0,
            },
            setup,
            policy,
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> Tally {
        for team in 0..self.setup.teams.len() {
            self.next_arrival(team);
        }
        self.schedule(0, Event::Tick);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.setup.span {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.tally
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        match event {
            Event::Arrive { team } => {
                self.next_arrival(team);
                self.tally.offered[team] += 1;
                let caller = self.next_number();
                let asks = self.setup.asks;
                let born = self.now;
                self.callers.insert(caller, Caller { team, born, asks });
                self.ask(caller, &mut out);
            }
            Event::Again { caller } => self.ask(caller, &mut out),
            Event::Finish { endpoint, ticket } => self.finish(endpoint, ticket, &mut out),
            Event::Deadline { ticket } => self.deadline(ticket, &mut out),
            Event::Tick => {
                self.schedule(SECOND / 100, Event::Tick);
                self.policy.tick(self.now, &mut out);
            }
        }
        self.carry_out(out);
    }

    fn ask(&mut self, caller: u64, out: &mut Vec<Decision>) {
        let ticket = self.next_number();
        let flight = Flight {
            caller,
            sent: None,
            live: true,
        };
        self.flights.insert(ticket, flight);
        self.schedule(DEADLINE, Event::Deadline { ticket });
        let team = self.callers[&caller].team;
        self.policy.arrive(ticket, team, self.now, out);
    }

    fn carry_out(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { ticket, endpoint } => self.send(ticket, endpoint),
                Decision::Refuse { ticket, after } => {
                    if let Some(flight) = self.flights.remove(&ticket) {
                        self.come_back(flight.caller, after.max(1));
                    }
                }
            }
        }
    }

    fn send(&mut self, ticket: u64, endpoint: usize) {
        if self.busy[endpoint] < SLOTS {
            self.start(ticket, endpoint);
        } else if self.policy.queues_at_endpoints() {
            self.queues[endpoint].push_back(ticket);
        } else {
            let mut out = Vec::new();
            self.policy.end(ticket, Ended::Refused, self.now, &mut out);
            if let Some(flight) = self.flights.remove(&ticket) {
                self.come_back(flight.caller, 1);
            }
            self.carry_out(out);
        }
    }

    fn start(&mut self, ticket: u64, endpoint: usize) {
        self.busy[endpoint] += 1;
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.sent = Some(self.now);
        }
        let slow = match self.setup.brown {
            Some((from, to, slow)) if (from..to).contains(&self.now) => slow,
            _ => 1.0,
        };
        let drawn = -f64::ln(1.0 - self.rng.random::<f64>());
        let time = FASTEST * self.setup.speeds[endpoint] * slow * (0.5 + 0.5 * drawn);
        self.schedule(time as u64, Event::Finish { endpoint, ticket });
    }

    fn finish(&mut self, endpoint: usize, ticket: u64, out: &mut Vec<Decision>) {
        self.busy[endpoint] -= 1;
        if let Some(next) = self.queues[endpoint].pop_front() {
            self.start(next, endpoint);
        }
        let Some(flight) = self.flights.remove(&ticket) else {
            self.tally.wasted += 1;
            return;
        };
        let taken = self.now - flight.sent.unwrap_or(self.now);
        self.policy
            .end(ticket, Ended::Answered(taken), self.now, out);
        if !flight.live {
            self.tally.wasted += 1;
            return;
        }
        if let Some(caller) = self.callers.remove(&flight.caller) {
            self.tally.good[caller.team] += 1;
            self.tally.by_second[(self.now / SECOND) as usize] += 1;
            self.tally.times[caller.team].saturating_record(self.now - caller.born);
        }
    }

    /// The caller stops waiting. An endpoint goes on with what it has.
    fn deadline(&mut self, ticket: u64, out: &mut Vec<Decision>) {
        let queueing = self.policy.queues_at_endpoints();
        let Some(flight) = self.flights.get_mut(&ticket) else {
            return;
        };
        let caller = flight.caller;
        if queueing {
            flight.live = false;
        } else {
            let sent = flight.sent.is_some();
            self.flights.remove(&ticket);
            if sent {
                self.policy.end(ticket, Ended::TimedOut, self.now, out);
            }
        }
        self.come_back(caller, 1);
    }

    /// The caller asks again after a while, or gives up.
    fn come_back(&mut self, caller: u64, after: u64) {
        let Some(known) = self.callers.get_mut(&caller) else {
            return;
        };
        if known.asks == 0 {
            self.callers.remove(&caller);
            return;
        }
        known.asks -= 1;
        self.schedule(after, Event::Again { caller });
    }

    fn next_arrival(&mut self, team: usize) {
        let rate = self.setup.teams[team];
        if rate > 0.0 {
            let gap = -f64::ln(1.0 - self.rng.random::<f64>()) / rate * SECOND as f64;
            self.schedule(gap as u64, Event::Arrive { team });
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        let number = self.next_number();
        self.events.push(Reverse((self.now + after, number, event)));
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}
