//! The configuration logs of several entries over one store, with seeded random faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::specification::{Names, Op, TEAM, confirmed, job, plan};
use crate::support::store::Store;
use crate::support::{Effect, FaultRates, random};
use marigoldpick_core::config::{Change, State};
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Fault};
use marigoldpick_shard::Settings;
use marigoldpick_shard::config::{Input, Log, Output};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};

pub const TICK: u64 = 20;
pub const TIMEOUT: u64 = 400;

#[derive(Debug)]
pub enum Event {
    Tick(usize),
    Call(usize, u64, store::Call, Effect, u64),
    Done(usize, u64, Result<store::Answer, Fault>),
    Peer(usize, Input),
}

/// The configuration logs of several entries, their store, and the answers to operators.
#[derive(Debug)]
pub struct Cluster {
    pub seed: u64,
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub store: Store,
    pub rates: FaultRates,
    pub logs: Vec<Log>,
    pub cut: Vec<bool>,
    pub paused: Vec<u64>,
    pub queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub events: BTreeMap<u64, Event>,
    pub next: u64,
    pub in_force: Vec<u64>,
    /// The state at each sequence number, as the first entry to reach it had it.
    pub states: BTreeMap<u64, State>,
    pub history: Vec<(usize, Action<Op>)>,
    pub proposals: BTreeMap<u64, Change>,
    pub answers: BTreeMap<u64, std::result::Result<u64, Code>>,
}

impl Cluster {
    pub fn new(seed: u64, entries: usize, settings: &Settings) -> Self {
        let mut cluster = Self {
            seed,
            now: 0,
            rng: random(seed),
            store: Store::default(),
            rates: FaultRates::default(),
            logs: Vec::new(),
            cut: vec![false; entries],
            paused: vec![0; entries],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            in_force: vec![0; entries],
            states: BTreeMap::new(),
            history: Vec::new(),
            proposals: BTreeMap::new(),
            answers: BTreeMap::new(),
        };
        for at in 0..entries {
            let id = id::Entry::new(&format!("e{at}")).expect("a name");
            cluster
                .logs
                .push(Log::new(id, at as u64, settings.clone(), seed + at as u64));
            cluster.push(0, Event::Tick(at));
        }
        // Two failure domains, each with a watcher.
        cluster.feed(0, Input::Watcher(true));
        cluster.feed(entries - 1, Input::Watcher(true));
        cluster
    }

    pub fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self
                .events
                .remove(&number)
                .expect("an event is queued once");
            self.step(event);
        }
        self.now = end;
    }

    pub fn step(&mut self, event: Event) {
        match event {
            Event::Tick(at) => {
                self.push(self.now.max(self.paused[at]) + TICK, Event::Tick(at));
                if self.now >= self.paused[at] {
                    self.beat(at);
                    self.feed(at, Input::Tick);
                }
            }
            Event::Call(at, call, request, effect, until) => {
                self.call(at, call, request, effect, until)
            }
            Event::Done(at, call, result) => {
                if self.now < self.paused[at] {
                    return self.push(self.paused[at], Event::Done(at, call, result));
                }
                self.feed(at, Input::Store { call, result });
            }
            Event::Peer(at, input) => self.feed(at, input),
        }
    }

    pub fn call(&mut self, at: usize, call: u64, request: store::Call, effect: Effect, until: u64) {
        let answer = self.store.call(&request);
        let waits = matches!(&answer, store::Answer::Items { items, .. } if items.is_empty());
        if matches!(request, store::Call::Watch { .. }) && waits && self.now < until {
            return self.push(self.now + 10, Event::Call(at, call, request, effect, until));
        }
        if effect == Effect::Answered {
            let delay = self.rng.random_range(1..4);
            self.push(self.now + delay, Event::Done(at, call, Ok(answer)));
        }
    }

    /// Sends heartbeats between the entries of both domains, except to and from those cut off.
    pub fn beat(&mut self, at: usize) {
        if !self.rng.random_ratio(1, 10) {
            return;
        }
        let sequence = self.logs[at].state().sequence;
        let age = self.logs[at].age(Millis(self.now));
        for to in 0..self.logs.len() {
            if to != at && !self.cut[to] && !self.cut[at] {
                self.push(self.now + 2, Event::Peer(to, Input::Peer { sequence, age }));
            }
        }
    }

    pub fn feed(&mut self, at: usize, input: Input) {
        let mut out = Vec::new();
        self.logs[at].handle(input, Millis(self.now), &mut out);
        for output in out {
            self.output(at, output);
        }
    }

    pub fn output(&mut self, at: usize, output: Output) {
        match output {
            Output::Store { call, request } => self.send(at, call, request),
            Output::Applied => self.applied(at),
            Output::Answer { ticket, result } => {
                let earlier = self.answers.insert(ticket, result);
                assert!(earlier.is_none(), "seed {}: two answers", self.seed);
                self.record_answer(ticket, result);
            }
            Output::NeedEntries { after } => self.serve_peer(at, after),
            Output::Event(_) => {}
        }
    }

    pub fn send(&mut self, at: usize, call: u64, request: store::Call) {
        let rates = if self.cut[at] {
            FaultRates::AWAY
        } else {
            self.rates
        };
        let effect = rates.draw(&mut self.rng);
        let until = self.now + 1_000;
        let delay = self.rng.random_range(1..4);
        let late = self.rng.random_range(1..8_000);
        let carried = Event::Call(at, call, request, effect, until);
        let timeout = self.now + TIMEOUT;
        match effect {
            Effect::Answered => self.push(self.now + delay, carried),
            Effect::Away => self.push(self.now + delay, Event::Done(at, call, Err(Fault::Away))),
            Effect::CallLost => self.push(timeout, Event::Done(at, call, Err(Fault::Unknown))),
            Effect::AnswerLost | Effect::Late => {
                let delay = if effect == Effect::Late { late } else { delay };
                self.push(self.now + delay, carried);
                self.push(timeout, Event::Done(at, call, Err(Fault::Unknown)));
            }
        }
    }

    /// Checks that an entry's state never reverts and is the same as elsewhere at the same number.
    pub fn applied(&mut self, at: usize) {
        let state = self.logs[at].state();
        assert!(
            state.sequence > self.in_force[at],
            "seed {}: reverted",
            self.seed
        );
        self.in_force[at] = state.sequence;
        let first = self
            .states
            .entry(state.sequence)
            .or_insert_with(|| state.clone());
        assert_eq!(
            first, state,
            "seed {}: two states at {}",
            self.seed, state.sequence
        );
    }

    pub fn serve_peer(&mut self, at: usize, after: u64) {
        let others = (0..self.logs.len()).filter(|to| *to != at && !self.cut[*to] && !self.cut[at]);
        let Some(peer) = others.max_by_key(|to| self.logs[*to].state().sequence) else {
            return;
        };
        let input = match self.logs[peer].entries_after(after) {
            Some(entries) => Input::Entries(entries),
            None => Input::Snapshot(Box::new(self.logs[peer].state().clone())),
        };
        self.push(self.now + 3, Event::Peer(at, input));
    }

    pub fn propose(&mut self, at: usize, change: Change) -> u64 {
        let ticket = self.proposals.len() as u64;
        self.proposals.insert(ticket, change.clone());
        let op = Op::new(&change, true);
        self.history.push((ticket as usize, Action::Call(op)));
        self.feed(at, Input::Propose { ticket, change });
        ticket
    }

    pub fn record_answer(&mut self, ticket: u64, result: std::result::Result<u64, Code>) {
        let Some(change) = self.proposals.get(&ticket) else {
            return;
        };
        if matches!(result, Ok(_) | Err(Code::Stale)) {
            let op = Op::new(change, result.is_ok());
            self.history.push((ticket as usize, Action::Response(op)));
        }
    }

    /// Checks the answer to each proposal against the log, and the history for linearizability.
    pub fn check(&mut self) {
        let (seed, last) = (
            self.seed,
            self.states.last_key_value().expect("a state").1.clone(),
        );
        let mut dropped = Vec::new();
        for (ticket, change) in &self.proposals {
            let plan = confirmed(change);
            let there = last.confirmed(&plan.id);
            match self.answers.get(ticket) {
                Some(Ok(sequence)) => assert_eq!(there, Some(*sequence), "seed {seed}"),
                Some(Err(Code::Stale)) => assert_eq!(there, None, "seed {seed}"),
                Some(Err(Code::NotAccepted)) => {
                    assert_eq!(
                        there, None,
                        "seed {seed}: {ticket} was accepted all the same"
                    );
                    dropped.push(*ticket as usize);
                }
                // The operator got no definite answer, so an accepted change completes at the history's end.
                Some(Err(Code::AcceptUnknown)) | None if there.is_some() => {
                    let op = Op::new(change, true);
                    self.history.push((*ticket as usize, Action::Response(op)));
                }
                Some(Err(Code::AcceptUnknown)) | None => dropped.push(*ticket as usize),
                Some(Err(code)) => panic!("seed {seed}: unexpected {code}"),
            }
        }
        let mut history = std::mem::take(&mut self.history);
        history.retain(|(ticket, _)| !dropped.contains(ticket));
        if history.is_empty() {
            return;
        }
        let history = History::from_actions(history);
        assert!(
            WGLChecker::<Names>::is_linearizable(history),
            "seed {seed}: not linearizable"
        );
    }
}

/// Creates a cluster with a team.
pub fn cluster(seed: u64, settings: &Settings) -> Cluster {
    let mut cluster = Cluster::new(seed, 4, settings);
    cluster.run(200);
    cluster.feed(
        0,
        Input::Propose {
            ticket: u64::MAX,
            change: plan(0, TEAM),
        },
    );
    cluster.run(1_000);
    assert_eq!(
        cluster.answers.remove(&u64::MAX),
        Some(Ok(1)),
        "seed {seed}"
    );
    cluster
}

/// Proposes `count` plans at random entries and times, several of them for the same job name.
pub fn load(cluster: &mut Cluster, count: u64) {
    for _ in 0..count {
        let at = cluster.rng.random_range(0..cluster.logs.len());
        let name = cluster.rng.random_range(0..count);
        let salt = cluster.rng.random_range(0..3) + 10 * cluster.proposals.len() as u64;
        cluster.propose(at, job(1, name, salt));
        let pause = cluster.rng.random_range(0..120);
        cluster.run(pause);
    }
}

pub fn check_end(cluster: &mut Cluster) {
    cluster.rates = FaultRates::default();
    cluster.cut.fill(false);
    cluster.run(40_000);
    let highest = cluster.in_force.iter().max().copied();
    for at in 0..cluster.logs.len() {
        assert_eq!(
            Some(cluster.in_force[at]),
            highest,
            "seed {}: entry {at} is behind",
            cluster.seed
        );
        assert!(
            !cluster.logs[at].is_old(Millis(cluster.now)),
            "seed {}",
            cluster.seed
        );
    }
    cluster.check();
}
