//! One shard's entries, workers and store, driven by a schedule drawn from a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{self, Outcome, Spec};
use marigoldpick_core::{store, vm};
use marigoldpick_shard::lead::{Homed, Input, Lead, Notice, Output};
use marigoldpick_shard::membership::{Led, Membership};
use marigoldpick_shard::{Settings, record};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::store::Store;
use super::worker::Worker;
use super::{Fate, Odds, random};

/// The true time between two ticks of an entry.
const TICK: u64 = 50;
/// The time after which a call counts as unanswered.
const TIMEOUT: u64 = 400;
/// The longest delay of a call that is carried out late.
const LATE: u64 = 12_000;

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Store(usize, u64, store::Call, Fate),
    StoreDone(usize, u64, Result<store::Answer, store::Fault>),
    Worker(usize, u64, usize, worker::Call, Fate),
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

/// The least scheduler that keeps all tasks going.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub leading: bool,
    up: BTreeSet<id::Worker>,
    /// Where each task is or may be, with its attempt.
    pub at: BTreeMap<id::Task, (id::Worker, u32)>,
    over: BTreeSet<id::Task>,
    attempts: BTreeMap<id::Task, u32>,
    whole: bool,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub id: id::Job,
    pub count: u32,
    pub class: Class,
    pub idempotent: bool,
    pub run: Option<u64>,
    /// The number of the configuration's entry that accepted it.
    pub accepted: u64,
}

#[derive(Debug)]
pub struct Site {
    pub seed: u64,
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub settings: Settings,
    pub store: Store,
    pub store_odds: Odds,
    pub worker_odds: Odds,
    pub entries: Vec<Entry>,
    pub workers: Vec<Worker>,
    pub vms: Vec<vm::Worker>,
    pub dead_workers: BTreeSet<usize>,
    /// Pairs of entry and worker, entry and entry, and entries without the store.
    pub cut_workers: BTreeSet<(usize, usize)>,
    pub cut_entries: BTreeSet<(usize, usize)>,
    pub cut_store: BTreeSet<usize>,
    pub jobs: Vec<Job>,
    /// The configuration's number.
    pub sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    /// Starts of each run of a non-idempotent task.
    pub once: BTreeMap<id::Task, u32>,
    pub maybe: BTreeSet<id::Task>,
    pub starts: Vec<(u64, id::Run)>,
    pub leads: Vec<(u64, usize, worker::Epoch)>,
    /// Whether schedulers ask for no starts.
    pub holds_starts: bool,
    /// Checkpoints that schedulers were told of.
    pub checkpoints: Vec<(usize, id::Run)>,
}

pub fn job(name: &str, count: u32, class: Class, idempotent: bool, run: Option<u64>) -> Job {
    Job {
        id: id::Job::new(name).expect("a name"),
        count,
        class,
        idempotent,
        run,
        accepted: 1,
    }
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
            store_odds: Odds::default(),
            worker_odds: Odds::default(),
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
            once: BTreeMap::new(),
            maybe: BTreeSet::new(),
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
            // Two clocks differ by at most the bound when each is off by half of it.
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

    /// Ends an entry's process.
    pub fn kill(&mut self, at: usize) {
        self.entries[at].dead = true;
        self.entries[at].waiting.clear();
    }

    /// Starts an entry anew.
    pub fn restart(&mut self, at: usize) {
        let incarnation = self.entries[at].incarnation + 1;
        let drift = self.entries[at].drift;
        self.entries[at] = self.entry(at, incarnation, drift);
        self.push(self.now, Event::Tick(at));
    }

    /// The entry that leads, the one with the highest epoch when there are several.
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

    /// Runs until `done` or for `most` milliseconds, and tells whether it is done.
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
            Event::Store(at, call, request, fate) => {
                let wait = matches!(request, store::Call::Watch { .. });
                assert!(!wait, "a lead does not watch");
                let answer = self.store.call(&request);
                if fate == Fate::Answered {
                    self.deliver(3, Event::StoreDone(at, call, Ok(answer)));
                }
            }
            Event::Worker(at, call, to, request, fate) => {
                if self.dead_workers.contains(&to) {
                    return;
                }
                let answer = self.workers[to].call(&request, Millis(self.now));
                if let worker::Call::Start { spec, .. } = &request
                    && answer.refused.is_none()
                {
                    self.note_start(to, spec);
                }
                if fate == Fate::Answered {
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
            *self.once.entry(task.clone()).or_default() += 1;
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

    fn homed(&self) -> Vec<Homed> {
        let mut jobs: Vec<Homed> = self
            .jobs
            .iter()
            .map(|job| Homed {
                job: job.id.clone(),
                class: job.class,
                accepted: job.accepted,
            })
            .collect();
        jobs.sort_by(|a, b| a.job.cmp(&b.job));
        jobs
    }

    fn beat(&mut self, at: usize) {
        let now = self.time(at);
        let entry = &mut self.entries[at];
        entry.membership.tick(now);
        let shard = entry.lead.shard().clone();
        let leads = entry.lead.epoch().map(|epoch| Led { shard, epoch });
        let beat = entry
            .membership
            .beat(0, Millis::ZERO, false, leads.into_iter().collect())
            .clone();
        for to in 0..self.entries.len() {
            let cut = self.cut_entries.contains(&(at, to)) || self.cut_entries.contains(&(to, at));
            let deaf = self.entries[to].dead || self.now < self.entries[to].paused_until;
            if to != at && !cut && !deaf {
                let heard = self.time(to);
                self.entries[to].membership.heard(beat.clone(), heard);
            }
        }
    }

    /// The own time of an entry.
    pub fn time(&self, at: usize) -> Millis {
        let scaled = i128::from(self.now) * i128::from(1_000 + self.entries[at].drift) / 1_000;
        Millis(u64::try_from(scaled).expect("time is positive"))
    }

    /// Hands an answer to an entry, after its pause if it is paused.
    fn input(&mut self, at: usize, input: Input, _retry: Event) {
        if self.entries[at].dead {
            return;
        }
        if self.now < self.entries[at].paused_until {
            let until = self.entries[at].paused_until;
            let event = match input {
                Input::Store { call, result } => Event::StoreDone(at, call, result),
                Input::Worker {
                    call,
                    worker,
                    result,
                } => {
                    let to = self.vms.iter().position(|vm| vm.id == worker);
                    Event::WorkerDone(at, call, to.expect("a worker"), result)
                }
                _ => return,
            };
            return self.push(until, event);
        }
        self.feed(at, input);
        self.schedule(at);
    }

    fn feed(&mut self, at: usize, input: Input) {
        let now = self.time(at);
        let mut out = Vec::new();
        self.entries[at].lead.handle(input, now, &mut out);
        for output in out {
            self.output(at, output);
        }
    }

    fn output(&mut self, at: usize, output: Output) {
        match output {
            Output::Store { call, request } => {
                let odds = if self.cut_store.contains(&at) {
                    Odds::AWAY
                } else {
                    self.store_odds
                };
                let fate = odds.draw(&mut self.rng);
                let done = |fault| Event::StoreDone(at, call, Err(fault));
                let lost = done(store::Fault::Unknown);
                let away = done(store::Fault::Away);
                self.send(fate, Event::Store(at, call, request, fate), away, lost);
            }
            Output::Worker {
                call,
                worker,
                request,
                ..
            } => {
                let to = self
                    .vms
                    .iter()
                    .position(|vm| vm.id == worker)
                    .expect("a worker");
                let cut = self.cut_workers.contains(&(at, to)) || self.dead_workers.contains(&to);
                let odds = if cut { Odds::AWAY } else { self.worker_odds };
                let fate = odds.draw(&mut self.rng);
                let done = |fault| Event::WorkerDone(at, call, to, Err(fault));
                let lost = done(worker::Fault::Unknown);
                let away = done(worker::Fault::Away);
                self.send(fate, Event::Worker(at, call, to, request, fate), away, lost);
            }
            Output::Notice(notice) => self.notice(at, notice),
            Output::Event(_) => {}
        }
    }

    fn send(&mut self, fate: Fate, call: Event, away: Event, lost: Event) {
        match fate {
            Fate::Answered => self.deliver(3, call),
            Fate::Away => self.deliver(3, away),
            Fate::CallLost => self.push(self.now + TIMEOUT, lost),
            Fate::AnswerLost => {
                self.deliver(3, call);
                self.push(self.now + TIMEOUT, lost);
            }
            Fate::Late => {
                self.deliver(LATE, call);
                self.push(self.now + TIMEOUT, lost);
            }
        }
    }

    /// Without what is left of earlier jobs of a name that was used again.
    fn current(&self, mut progress: Vec<record::Job>) -> Vec<record::Job> {
        progress.retain(|have| {
            let accepted = have.progress.accepted;
            let mut jobs = self.jobs.iter();
            jobs.any(|job| job.id == have.job && job.accepted == accepted)
        });
        progress
    }

    fn notice(&mut self, at: usize, notice: Notice) {
        let notice = match notice {
            Notice::Leading {
                epoch,
                progress,
                whole,
            } => Notice::Leading {
                epoch,
                progress: self.current(progress),
                whole,
            },
            Notice::Progress(progress) => Notice::Progress(self.current(progress)),
            other => other,
        };
        let scheduler = &mut self.entries[at].scheduler;
        match notice {
            Notice::Leading {
                epoch,
                progress,
                whole,
            } => {
                self.leads.push((self.now, at, epoch));
                *scheduler = Scheduler {
                    leading: true,
                    whole,
                    ..Scheduler::default()
                };
                scheduler.progress(&progress);
            }
            Notice::Progress(progress) => {
                scheduler.whole = true;
                scheduler.progress(&progress);
            }
            Notice::Deposed => *scheduler = Scheduler::default(),
            Notice::WorkerUp { worker, running } => {
                scheduler.up.insert(worker.id.clone());
                for running in running {
                    scheduler.runs(&running.spec.run, &worker.id);
                }
            }
            Notice::WorkerReport { worker, changed } => {
                for running in changed {
                    scheduler.runs(&running.spec.run, &worker);
                }
            }
            Notice::WorkerSilent(worker) => drop(scheduler.up.remove(&worker)),
            Notice::WorkerHeard(worker) => drop(scheduler.up.insert(worker)),
            Notice::WorkerLost { worker, runs } => {
                scheduler.up.remove(&worker);
                for run in runs {
                    scheduler.at.remove(&run.task);
                }
            }
            Notice::Refused { run, code, .. } => {
                scheduler.at.remove(&run.task);
                if code == Code::TaskMaybeStarted {
                    scheduler.over.insert(run.task.clone());
                    self.maybe.insert(run.task);
                }
            }
            Notice::Finished { finished, .. } => {
                scheduler.at.remove(&finished.run.task);
                if scheduler.leading && matches!(finished.outcome, Outcome::Checkpointed(_)) {
                    self.checkpoints.push((at, finished.run.clone()));
                }
                let task = finished.run.task;
                if finished.outcome == Outcome::Done {
                    scheduler.over.insert(task);
                } else if self.once.contains_key(&task) {
                    scheduler.over.insert(task.clone());
                    self.feed(at, Input::GiveUp { task });
                }
            }
            Notice::MaybeStarted(run) => {
                scheduler.at.remove(&run.task);
                scheduler.over.insert(run.task.clone());
                self.maybe.insert(run.task);
            }
            Notice::Started { .. }
            | Notice::Throttled { .. }
            | Notice::Silent(_)
            | Notice::Held(_)
            | Notice::WorkerChanged(_) => {}
        }
    }

    /// Asks for all starts that are missing.
    fn schedule(&mut self, at: usize) {
        if !self.entries[at].scheduler.leading || self.holds_starts {
            return;
        }
        let mut starts = Vec::new();
        let scheduler = &mut self.entries[at].scheduler;
        let up: Vec<id::Worker> = scheduler.up.iter().cloned().collect();
        if up.is_empty() {
            return;
        }
        for job in &self.jobs {
            for index in 0..job.count {
                let task = id::Task::new(job.id.clone(), index);
                if scheduler.at.contains_key(&task) || scheduler.over.contains(&task) {
                    continue;
                }
                let worker = up[self.rng.random_range(0..up.len())].clone();
                let attempt = scheduler.attempts.entry(task.clone()).or_default();
                // A lead counts anew, so two leads may give a run the same name.
                *attempt += 1;
                let run = id::Run {
                    task: task.clone(),
                    attempt: *attempt,
                };
                scheduler.at.insert(task, (worker.clone(), run.attempt));
                starts.push((worker, job.spec(run)));
            }
        }
        for (worker, spec) in starts {
            self.feed(at, Input::Start { worker, spec });
        }
    }

    /// Tells whether the log has the end of every task of every job that ends.
    pub fn is_complete(&self) -> bool {
        self.leader().is_some() && self.missing().is_empty()
    }

    /// Tasks that should end and have no end in the lead's log.
    pub fn missing(&self) -> Vec<id::Task> {
        let Some(lead) = self.leader() else {
            return Vec::new();
        };
        let record = self.entries[lead].lead.record();
        let ending = self.jobs.iter().filter(|job| job.run.is_some());
        ending
            .flat_map(|job| (0..job.count).map(|index| id::Task::new(job.id.clone(), index)))
            .filter(|task| !record.is_over(task) && !self.maybe.contains(task))
            .collect()
    }

    /// Tells whether all instances of all services run.
    pub fn is_serving(&self) -> bool {
        let wanted: u32 = self
            .jobs
            .iter()
            .filter(|j| j.run.is_none())
            .map(|j| j.count)
            .sum();
        let live = (0..self.workers.len()).filter(|at| !self.dead_workers.contains(at));
        let running: usize = live
            .map(|at| {
                let service = |run: &&id::Run| {
                    self.jobs
                        .iter()
                        .any(|j| j.id == run.task.job && j.run.is_none())
                };
                self.workers[at].running().filter(service).count()
            })
            .sum();
        running == wanted as usize
    }

    /// Has the lead write a checkpoint of a running task.
    pub fn checkpoint_one(&mut self) -> id::Run {
        let lead = self.leader().expect("somebody leads");
        let run = self
            .workers
            .iter()
            .find_map(|w| w.running().next().cloned());
        let run = run.expect("something runs");
        self.feed(lead, Input::Checkpoint { run: run.clone() });
        run
    }

    /// Lets the schedulers forget the tasks that are over, as for a new job.
    pub fn forget_ends(&mut self) {
        for entry in &mut self.entries {
            entry.scheduler.over.clear();
        }
    }

    /// Ends one running instance, as if it had failed.
    pub fn end_instance(&mut self) {
        let now = Millis(self.now);
        let worker = self.workers.iter_mut().find(|w| w.running().count() > 0);
        worker.expect("something runs").fail_one(now);
    }

    /// Checks that no non-idempotent task was started twice.
    pub fn check_once(&self) {
        for (task, starts) in &self.once {
            assert!(
                *starts <= 1,
                "seed {}: {task} was started {starts} times",
                self.seed
            );
        }
    }
}

impl Scheduler {
    fn progress(&mut self, progress: &[record::Job]) {
        for job in progress {
            for (from, to) in job
                .progress
                .completed
                .0
                .iter()
                .chain(&job.progress.failed.0)
            {
                for index in *from..*to {
                    self.over.insert(id::Task::new(job.job.clone(), index));
                }
            }
        }
    }

    fn runs(&mut self, run: &id::Run, worker: &id::Worker) {
        self.at
            .insert(run.task.clone(), (worker.clone(), run.attempt));
    }
}

impl Job {
    fn spec(&self, run: id::Run) -> Spec {
        Spec {
            run,
            accepted: self.accepted,
            team: id::Team::new("maps").expect("a name"),
            needs: Amount::new(1_000, 512),
            service: None,
            command: self.run.map_or_else(String::new, |run| run.to_string()),
            idempotent: self.idempotent,
            grace: Millis(1_000),
            checkpoint: None,
        }
    }
}
