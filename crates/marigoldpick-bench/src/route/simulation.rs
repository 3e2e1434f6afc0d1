//! Simulation of endpoints with different speeds and callers with deadlines under a virtual clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The number of slots of an endpoint.
pub const SLOTS: usize = 8;
/// A second in the simulation's unit of time, the microsecond.
pub const SECOND: u64 = 1_000_000;
/// The mean run time of a request on the fastest endpoint, in microseconds.
const FASTEST_MICROS: f64 = 20_000.0;
/// The time after which a caller stops waiting for an attempt.
pub const DEADLINE: u64 = SECOND;

/// `Setup` describes one simulated run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The factor by which each endpoint is slower than the fastest.
    pub slowness: Vec<f64>,
    /// The arrivals per second of each team.
    pub teams: Vec<f64>,
    /// The simulated time.
    pub span: u64,
    /// The start and end of a brown-out, and the factor by which it slows all endpoints.
    pub brown_out: Option<(u64, u64, f64)>,
    /// How often a caller retries after a refusal or a timeout.
    pub retries: u32,
    /// The seed of all draws.
    pub seed: u64,
}

impl Setup {
    /// Returns the requests per second that all endpoints together can complete.
    pub fn capacity(&self) -> f64 {
        let rate = |factor: &f64| SLOTS as f64 / (FASTEST_MICROS * factor) * SECOND as f64;
        self.slowness.iter().map(rate).sum()
    }
}

/// `Decision` is a policy's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to an endpoint.
    Send { ticket: u64, endpoint: usize },
    /// The request is refused; the caller may retry after this time.
    Refuse { ticket: u64, after: u64 },
}

/// `Policy` decides which endpoint gets a request, and when.
pub trait Policy {
    /// Handles the arrival of a request.
    fn arrive(&mut self, ticket: u64, team: usize, now: u64, out: &mut Vec<Decision>);
    /// Handles the end of a request that was sent to an endpoint.
    fn end(&mut self, ticket: u64, end: Ended, now: u64, out: &mut Vec<Decision>);
    /// Handles a timer tick, every ten milliseconds.
    fn tick(&mut self, now: u64, out: &mut Vec<Decision>);
    /// Returns whether requests queue at an endpoint whose slots are taken, as with plain balancers.
    fn queues_at_endpoints(&self) -> bool;
}

/// `Ended` is the way in which a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The endpoint answered after this time.
    Answered(u64),
    /// The endpoint had no free slot.
    Refused,
    /// The deadline of the request passed.
    TimedOut,
}

/// `Tally` holds the counts and times of a run.
#[derive(Debug)]
pub struct Tally {
    /// Requests answered in time, by team.
    pub good: Vec<u64>,
    /// First attempts, by team.
    pub offered: Vec<u64>,
    /// Time from first attempt to answer in microseconds, by team.
    pub times: Vec<Histogram<u64>>,
    /// Requests answered in time, by second.
    pub by_second: Vec<u64>,
    /// Runs at endpoints whose caller had stopped waiting.
    pub wasted: u64,
}

/// `Event` is an entry of the simulation's event queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { team: usize },
    Retry { caller: u64 },
    Finish { endpoint: usize, ticket: u64 },
    Deadline { ticket: u64 },
    Tick,
}

/// `Caller` is a caller that waits for an answer.
#[derive(Clone, Copy, Debug)]
struct Caller {
    team: usize,
    /// The time of the first attempt.
    arrived: u64,
    retries_left: u32,
}

/// `Attempt` is one attempt of a caller.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    caller: u64,
    /// When an endpoint started the request.
    started: Option<u64>,
    /// Whether the caller still waits for the answer.
    awaited: bool,
}

/// `Simulation` runs one policy on a setup.
#[derive(Debug)]
pub struct Simulation<P> {
    setup: Setup,
    policy: P,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// The last number that was given to an event, a caller or a ticket.
    last_number: u64,
    /// Taken slots of each endpoint.
    busy: Vec<usize>,
    queues: Vec<VecDeque<u64>>,
    callers: HashMap<u64, Caller>,
    attempts: HashMap<u64, Attempt>,
    rng: ChaCha8Rng,
    tally: Tally,
}

impl<P: Policy> Simulation<P> {
    /// Creates a simulation at time zero.
    pub fn new(setup: Setup, policy: P) -> Self {
        let teams = setup.teams.len();
        let histogram =
            || Histogram::new_with_bounds(1, 600 * SECOND, 3).expect("bounds are valid");
        Self {
            now: 0,
            events: BinaryHeap::new(),
            last_number: 0,
            busy: vec![0; setup.slowness.len()],
            queues: vec![VecDeque::new(); setup.slowness.len()],
            callers: HashMap::new(),
            attempts: HashMap::new(),
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

    /// Runs the simulation to its end.
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
                let retries_left = self.setup.retries;
                let arrived = self.now;
                self.callers.insert(
                    caller,
                    Caller {
                        team,
                        arrived,
                        retries_left,
                    },
                );
                self.attempt(caller, &mut out);
            }
            Event::Retry { caller } => self.attempt(caller, &mut out),
            Event::Finish { endpoint, ticket } => self.finish(endpoint, ticket, &mut out),
            Event::Deadline { ticket } => self.expire(ticket, &mut out),
            Event::Tick => {
                self.schedule(SECOND / 100, Event::Tick);
                self.policy.tick(self.now, &mut out);
            }
        }
        self.apply_decisions(out);
    }

    /// Starts an attempt of a caller with a deadline of its own.
    fn attempt(&mut self, caller: u64, out: &mut Vec<Decision>) {
        let ticket = self.next_number();
        let attempt = Attempt {
            caller,
            started: None,
            awaited: true,
        };
        self.attempts.insert(ticket, attempt);
        self.schedule(DEADLINE, Event::Deadline { ticket });
        let team = self.callers[&caller].team;
        self.policy.arrive(ticket, team, self.now, out);
    }

    fn apply_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { ticket, endpoint } => self.send(ticket, endpoint),
                Decision::Refuse { ticket, after } => {
                    if let Some(attempt) = self.attempts.remove(&ticket) {
                        self.retry_or_drop(attempt.caller, after.max(1));
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
            if let Some(attempt) = self.attempts.remove(&ticket) {
                self.retry_or_drop(attempt.caller, 1);
            }
            self.apply_decisions(out);
        }
    }

    fn start(&mut self, ticket: u64, endpoint: usize) {
        self.busy[endpoint] += 1;
        if let Some(attempt) = self.attempts.get_mut(&ticket) {
            attempt.started = Some(self.now);
        }
        let slow = match self.setup.brown_out {
            Some((from, to, slow)) if (from..to).contains(&self.now) => slow,
            _ => 1.0,
        };
        let drawn = -f64::ln(1.0 - self.rng.random::<f64>());
        let time = FASTEST_MICROS * self.setup.slowness[endpoint] * slow * (0.5 + 0.5 * drawn);
        self.schedule(time as u64, Event::Finish { endpoint, ticket });
    }

    fn finish(&mut self, endpoint: usize, ticket: u64, out: &mut Vec<Decision>) {
        self.busy[endpoint] -= 1;
        if let Some(next) = self.queues[endpoint].pop_front() {
            self.start(next, endpoint);
        }
        let Some(attempt) = self.attempts.remove(&ticket) else {
            self.tally.wasted += 1;
            return;
        };
        let taken = self.now - attempt.started.unwrap_or(self.now);
        self.policy
            .end(ticket, Ended::Answered(taken), self.now, out);
        if !attempt.awaited {
            self.tally.wasted += 1;
            return;
        }
        if let Some(caller) = self.callers.remove(&attempt.caller) {
            self.tally.good[caller.team] += 1;
            self.tally.by_second[(self.now / SECOND) as usize] += 1;
            self.tally.times[caller.team].saturating_record(self.now - caller.arrived);
        }
    }

    /// Ends the caller's wait for an attempt; an endpoint still completes a request that it has.
    fn expire(&mut self, ticket: u64, out: &mut Vec<Decision>) {
        let endpoint_queues = self.policy.queues_at_endpoints();
        let Some(attempt) = self.attempts.get_mut(&ticket) else {
            return;
        };
        let caller = attempt.caller;
        if endpoint_queues {
            attempt.awaited = false;
        } else {
            let started = attempt.started.is_some();
            self.attempts.remove(&ticket);
            if started {
                self.policy.end(ticket, Ended::TimedOut, self.now, out);
            }
        }
        self.retry_or_drop(caller, 1);
    }

    /// Schedules the caller's retry after a delay, or drops a caller without retries left.
    fn retry_or_drop(&mut self, caller: u64, after: u64) {
        let Some(known) = self.callers.get_mut(&caller) else {
            return;
        };
        if known.retries_left == 0 {
            self.callers.remove(&caller);
            return;
        }
        known.retries_left -= 1;
        self.schedule(after, Event::Retry { caller });
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
        self.last_number += 1;
        self.last_number
    }
}
