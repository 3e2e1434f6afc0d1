//! A simulated site: one shard's entries, workers and store, with a seeded random schedule.

mod calls;
mod checks;
pub mod job;
mod schedule;
mod scheduler;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{self, Spec};
use marigoldpick_core::{store, vm};
use marigoldpick_shard::Settings;
use marigoldpick_shard::lead::{Input, Lead};
use marigoldpick_shard::membership::Membership;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::store::Store;
use super::worker::Worker;
use super::{Effect, FaultRates, random};

use job::Job;
use scheduler::Scheduler;

/// The true time between two ticks of an entry, in milliseconds.
const TICK: u64 = 50;
/// The timeout of a call, in milliseconds.
const TIMEOUT: u64 = 400;
/// The longest delay of a call that is carried out late, in milliseconds.
const LATE: u64 = 12_000;

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Store(usize, u64, store::Call, Effect),
    StoreDone(usize, u64, Result<store::Answer, store::Fault>),
    Worker(usize, u64, usize, worker::Call, Effect),
    WorkerDone(usize, u64, usize, Result<worker::Answer, worker::Fault>),
}

#[derive(Debug)]
pub struct Entry {
    pub id: id::Entry,
    pub lead: Lead,
    membership: Membership,
    candidate: bool,
    incarnation: u64,
    drift: i64,
    pub dead: bool,
    pub paused_until: u64,
    pub scheduler: Scheduler,
    waiting: Vec<Event>,
}

#[derive(Debug)]
pub struct Site {
    pub seed: u64,
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub settings: Settings,
    pub store: Store,
    pub store_faults: FaultRates,
    pub worker_faults: FaultRates,
    pub entries: Vec<Entry>,
    pub workers: Vec<Worker>,
    pub vms: Vec<vm::Worker>,
    pub dead_workers: BTreeSet<usize>,
    /// The cut connections: from entry to worker, from entry to entry, and from entry to the store.
    pub cut_workers: BTreeSet<(usize, usize)>,
    pub cut_entries: BTreeSet<(usize, usize)>,
    pub cut_store: BTreeSet<usize>,
    pub jobs: Vec<Job>,
    /// The sequence number of the configuration.
    pub sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    /// The number of starts of each non-idempotent task.
    pub once_starts: BTreeMap<id::Task, u32>,
    pub maybe_started: BTreeSet<id::Task>,
    pub starts: Vec<(u64, id::Run)>,
    pub leads: Vec<(u64, usize, worker::Epoch)>,
    /// Whether schedulers request no starts.
    pub holds_starts: bool,
    /// Checkpoints that were reported to schedulers, with the entry.
    pub checkpoints: Vec<(usize, id::Run)>,
}

impl Site {
    pub fn new(seed: u64, entries: usize, workers: usize, jobs: Vec<Job>) -> Self {
        Self::with(Settings::default(), seed, entries, workers, jobs)
    }

    pub fn with(
        settings: Settings,
        seed: u64,
        entries: usize,
        workers: usize,
        jobs: Vec<Job>,
    ) -> Self {
        let mut rng = random(seed);
        let mut site = Self {
            seed,
            now: 0,
            settings,
            store: Store::default(),
            store_faults: FaultRates::default(),
            worker_faults: FaultRates::default(),
            entries: Vec::new(),
            workers: Vec::new(),
            vms: Vec::new(),
            dead_workers: BTreeSet::new(),
            cut_workers: BTreeSet::new(),
            cut_entries: BTreeSet::new(),
            cut_store: BTreeSet::new(),
            jobs,
            sequence: 1,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            once_starts: BTreeMap::new(),
            maybe_started: BTreeSet::new(),
            starts: Vec::new(),
            leads: Vec::new(),
            holds_starts: false,
            checkpoints: Vec::new(),
            rng: random(seed ^ 1),
        };
        for at in 0..workers {
            site.vms.push(vm::Worker {
                id: id::Worker::new(&format!("w{at:02}")).expect("a name"),
                domain: id::Domain::new("north").expect("a name"),
                rack: id::Rack::new(&format!("r{}", at / 3)).expect("a name"),
                kind: Name::new("plain").expect("a name"),
                size: Amount::new(64_000, 131_072),
                address: format!("http://w{at}"),
                state: vm::State::Live,
            });
            // Two clocks differ by at most the bound if each deviates by at most half of it.
            let offset = rng.random_range(0..100_000);
            site.workers
                .push(Worker::new(rng.random_range(-5..=5), offset));
        }
        for at in 0..entries {
            let drift = rng.random_range(-5..=5);
            let entry = site.entry(at, 1, drift);
            site.entries.push(entry);
            site.push(0, Event::Tick(at));
        }
        site
    }

    fn entry(&self, at: usize, incarnation: u64, drift: i64) -> Entry {
        let id = id::Entry::new(&format!("e{at}")).expect("a name");
        let domain = id::Domain::new("north").expect("a name");
        let shard = id::Shard::new("north/0").expect("a name");
        let settings = self.settings.clone();
        let seed = self.seed ^ (incarnation << 8) ^ at as u64;
        Entry {
            lead: Lead::new(id.clone(), incarnation, shard, settings.clone(), seed),
            membership: Membership::new(id.clone(), domain, incarnation, settings),
            id,
            candidate: false,
            incarnation,
            drift,
            dead: false,
            paused_until: 0,
            scheduler: Scheduler::default(),
            waiting: Vec::new(),
        }
    }

    /// Kills an entry's process.
    pub fn kill(&mut self, at: usize) {
        self.entries[at].dead = true;
        self.entries[at].waiting.clear();
    }

    /// Restarts an entry.
    pub fn restart(&mut self, at: usize) {
        let incarnation = self.entries[at].incarnation + 1;
        let drift = self.entries[at].drift;
        self.entries[at] = self.entry(at, incarnation, drift);
        self.push(self.now, Event::Tick(at));
    }

    /// Returns the entry that leads, or the one with the highest epoch if there are several.
    pub fn leader(&self) -> Option<usize> {
        (0..self.entries.len())
            .filter(|at| !self.entries[*at].dead && self.entries[*at].lead.is_leading())
            .max_by_key(|at| self.entries[*at].lead.epoch())
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    /// Runs for `span` milliseconds of true time.
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

    /// Runs until `done` or for `most` milliseconds, and returns whether it is done.
    pub fn run_until(&mut self, most: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + most;
        while self.now < end && !done(self) {
            self.run(TICK);
        }
        done(self)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick(at) => self.tick(at),
            Event::Store(at, call, request, effect) => {
                let wait = matches!(request, store::Call::Watch { .. });
                assert!(!wait, "a lead does not watch");
                let answer = self.store.call(&request);
                if effect == Effect::Answered {
                    self.deliver(3, Event::StoreDone(at, call, Ok(answer)));
                }
            }
            Event::Worker(at, call, to, request, effect) => {
                if self.dead_workers.contains(&to) {
                    return;
                }
                let answer = self.workers[to].call(&request, Millis(self.now));
                if let worker::Call::Start { spec, .. } = &request
                    && answer.refused.is_none()
                {
                    self.note_start(to, spec);
                }
                if effect == Effect::Answered {
                    self.deliver(3, Event::WorkerDone(at, call, to, Ok(answer)));
                }
            }
            Event::StoreDone(at, call, result) => {
                let input = Input::Store { call, result };
                self.input(at, input, Event::Tick(at));
            }
            Event::WorkerDone(at, call, to, result) => {
                let worker = self.vms[to].id.clone();
                self.input(
                    at,
                    Input::Worker {
                        call,
                        worker,
                        result,
                    },
                    Event::Tick(at),
                );
            }
        }
    }

    fn deliver(&mut self, most: u64, event: Event) {
        let delay = self.rng.random_range(1..=most);
        self.push(self.now + delay, event);
    }

    fn note_start(&mut self, to: usize, spec: &Spec) {
        let task = &spec.run.task;
        self.starts.push((self.now, spec.run.clone()));
        if !spec.idempotent {
            *self.once_starts.entry(task.clone()).or_default() += 1;
        }
        for at in 0..self.workers.len() {
            self.workers[at].settle(Millis(self.now));
        }
        for (at, worker) in self.workers.iter().enumerate() {
            let twice = at != to && worker.running().any(|run| run.task == *task);
            assert!(
                !twice || self.dead_workers.contains(&at),
                "seed {}: {} runs on w{at:02} and w{to:02} at {}",
                self.seed,
                task,
                self.now
            );
        }
    }

    fn tick(&mut self, at: usize) {
        if self.entries[at].dead {
            return;
        }
        if self.now < self.entries[at].paused_until {
            let until = self.entries[at].paused_until;
            return self.push(until, Event::Tick(at));
        }
        self.push(self.now + TICK, Event::Tick(at));
        self.beat(at);
        let now = self.time(at);
        let entry = &mut self.entries[at];
        let shard = entry.lead.shard().clone();
        let candidate = entry.membership.is_candidate(&shard, now);
        if candidate != entry.candidate {
            entry.candidate = candidate;
            self.feed(at, Input::Candidate(candidate));
        }
        self.feed(at, Input::Workers(self.vms.clone()));
        let jobs = Input::Jobs {
            jobs: self.homed(),
            sequence: self.sequence,
        };
        self.feed(at, jobs);
        self.feed(at, Input::Tick);
        self.schedule(at);
    }

    /// Returns the clock of an entry.
    pub fn time(&self, at: usize) -> Millis {
        let scaled = i128::from(self.now) * i128::from(1_000 + self.entries[at].drift) / 1_000;
        Millis(u64::try_from(scaled).expect("time is positive"))
    }

    fn feed(&mut self, at: usize, input: Input) {
        let now = self.time(at);
        let mut out = Vec::new();
        self.entries[at].lead.handle(input, now, &mut out);
        for output in out {
            self.output(at, output);
        }
    }
}
