//! Replay of seeded work through the pure decisions under a virtual clock.
//!
//! Answers come at once; tasks end after their real run time. There is no model of networks,
//! processes or machines beyond that: a checkpoint takes [`CHECKPOINT`], a stop takes [`STOP`], a
//! run uses processors that nobody holds beyond its own, and takes longer in proportion where it
//! gets fewer than it can use; one that is given less memory than it needs fails.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Instant;

use marigoldpick_core::intent::{Class, Job};
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::{Outcome, Spec};
use marigoldpick_place::score::Policy;
use marigoldpick_place::{Action, Event, Scheduler, Settings};

use super::packing::{accelerators, event};
use super::tally::{Tally, class_of, histogram};

/// How long a checkpoint takes.
const CHECKPOINT: Millis = Millis(300);
/// How long a stop takes.
const STOP: Millis = Millis(500);
/// The span between ticks.
const TICK: Millis = Millis(100);
/// The span between samples of what is used.
const SAMPLE: Millis = Millis::from_secs(1);
/// The time after which a black-hole worker fails a task.
const BLACK_HOLE: Millis = Millis(50);

/// `Arrival` is a job with what it really does.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Millis,
    pub job: Job,
    /// The real run time of each task.
    pub run: Millis,
    /// What a task really uses, in thousandths of what it declares.
    pub real_permille: u64,
}

/// `BlackHole` is a worker that fails all at once.
#[derive(Clone, Debug)]
pub struct BlackHole {
    pub worker: id::Worker,
    /// Whether its failures report all of the memory as used.
    pub full_memory: bool,
}

/// `Scenario` is what is replayed.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub fleet: Vec<vm::Worker>,
    pub arrivals: Vec<Arrival>,
    pub end: Millis,
    pub black_hole: Option<BlackHole>,
    pub settings: Settings,
    pub objective: Option<marigoldpick_core::intent::Objective>,
}

/// `Samples` are sums of shares in use.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    processors: f64,
    memory: f64,
    accelerators: f64,
    count: u64,
}

#[derive(Debug)]
struct Live {
    worker: id::Worker,
    since: Millis,
    serial: u64,
    used: Amount,
    told: Option<Amount>,
    stretch: f64,
    needs: Amount,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive(usize),
    End(id::Run, u64, End),
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Done,
    Failed,
    Checkpointed,
    Stopped,
}

struct Replay<'a, P> {
    scenario: &'a Scenario,
    scheduler: Scheduler<P>,
    queue: BinaryHeap<Reverse<(Millis, u64, What)>>,
    now: Millis,
    serial: u64,
    by_name: HashMap<id::Job, usize>,
    live: HashMap<id::Run, Live>,
    left: HashMap<id::Task, f64>,
    seen: HashMap<id::Task, ()>,
    held: HashMap<id::Worker, Amount>,
    sizes: HashMap<id::Worker, Amount>,
    used: HashMap<id::Worker, Amount>,
    samples: Samples,
    total: Amount,
    tally: Tally,
}

/// Replays a scenario with a policy.
pub fn replay<P: Policy>(scenario: &Scenario, seed: u64) -> Tally {
    let shard = id::Shard(Name::new("a0").expect("a name"));
    let settings = scenario.settings.clone();
    let mut replay = Replay::<P> {
        scenario,
        scheduler: Scheduler::with_policy(shard, settings, seed),
        queue: BinaryHeap::new(),
        now: Millis::ZERO,
        serial: 0,
        by_name: HashMap::new(),
        live: HashMap::new(),
        left: HashMap::new(),
        seen: HashMap::new(),
        held: HashMap::new(),
        sizes: HashMap::new(),
        used: HashMap::new(),
        samples: Samples::default(),
        total: Amount::default(),
        tally: Tally::new(),
    };
    replay.run();
    replay.finish()
}

impl<P: Policy> Replay<'_, P> {
    fn run(&mut self) {
        if let Some(objective) = self.scenario.objective {
            self.handle(Event::Objective(objective));
        }
        for worker in &self.scenario.fleet {
            self.total.add(&worker.size);
            self.sizes.insert(worker.id.clone(), worker.size.clone());
            self.handle(Event::WorkerUp {
                worker: worker.clone(),
                running: Vec::new(),
            });
        }
        for (n, arrival) in self.scenario.arrivals.iter().enumerate() {
            self.by_name.insert(arrival.job.name.clone(), n);
            self.push(arrival.at, What::Arrive(n));
        }
        self.push(TICK, What::Tick);
        while let Some(Reverse((at, _, what))) = self.queue.pop() {
            if at > self.scenario.end {
                return;
            }
            self.now = at;
            self.happen(what);
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive(n) => self.handle(event(&self.scenario.arrivals[n].job)),
            What::End(run, serial, end) => self.end(&run, serial, end),
            What::Tick => {
                self.sample();
                self.push(self.now + TICK, What::Tick);
                self.handle(Event::Tick);
            }
        }
    }

    fn push(&mut self, at: Millis, what: What) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, what)));
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        let start = Instant::now();
        self.scheduler.handle(event, self.now, &mut out);
        let nanos = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        let starts = out
            .iter()
            .filter(|a| matches!(a, Action::Start { .. }))
            .count() as u64;
        if let Some(each) = nanos.checked_div(starts) {
            self.tally.rounds += 1;
            self.tally
                .decisions
                .record_n(each, starts)
                .expect("the histogram grows");
        }
        out.into_iter().for_each(|action| self.act(action));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start { worker, spec } => self.start(worker, &spec),
            Action::Stop { run, .. } => self.stop(run, STOP, End::Stopped),
            Action::Checkpoint { run, .. } => {
                self.tally.displaced += 1;
                self.stop(run, CHECKPOINT, End::Checkpointed);
            }
            Action::Throttle {
                run, millicores, ..
            } => {
                self.throttle(&run, millicores);
                self.handle(Event::Throttled { run, millicores });
            }
            Action::GiveUp { .. } | Action::JobEnded { .. } | Action::Event { .. } => {}
        }
    }

    fn start(&mut self, worker: id::Worker, spec: &Spec) {
        let arrival = &self.scenario.arrivals[self.by_name[&spec.run.task.job]];
        self.tally.starts += 1;
        if self.seen.insert(spec.run.task.clone(), ()).is_none() {
            let wait = self.now.since(arrival.at).0;
            let class = class_of(&arrival.job);
            let waits = self.tally.waits.entry(class).or_insert_with(histogram);
            waits.record(wait).expect("the histogram grows");
        }
        let want = scaled(&arrival.job.needs, arrival.real_permille);
        let short = spec.needs.memory_mib < want.memory_mib;
        let spare = self.spare(&worker, &spec.needs);
        let granted = want.millicores.min(spec.needs.millicores + spare);
        let stretch = want.millicores as f64 / granted as f64;
        let used = Amount::new(granted, want.memory_mib.min(spec.needs.memory_mib));
        let task = &spec.run.task;
        let left = self.left.get(task).copied().unwrap_or(arrival.run.0 as f64);
        let mut span = Millis((left * stretch) as u64);
        let mut end = End::Done;
        if short {
            (span, end) = (Millis(span.0 / 2), End::Failed);
            self.tally.out_of_memory += 1;
        }
        let mut told = Some(used.clone());
        if let Some(hole) = self.scenario.black_hole.as_ref()
            && hole.worker == worker
        {
            self.tally.black_hole_starts += 1;
            (span, end) = (BLACK_HOLE, End::Failed);
            told = hole.full_memory.then(|| spec.needs.clone());
        }
        self.serial += 1;
        let serial = self.serial;
        self.hold(&worker, &spec.needs, &used);
        let live = Live {
            worker: worker.clone(),
            since: self.now,
            serial,
            used,
            told,
            stretch,
            needs: spec.needs.clone(),
        };
        self.live.insert(spec.run.clone(), live);
        if arrival.job.class != Class::Service || end == End::Failed {
            self.push(self.now + span, What::End(spec.run.clone(), serial, end));
        }
        self.handle(Event::Started {
            run: spec.run.clone(),
            worker,
        });
    }

    /// Limits a run or lifts its limit; the change of its end is left out.
    fn throttle(&mut self, run: &id::Run, millicores: u64) {
        let Some(live) = self.live.get_mut(run) else {
            return;
        };
        self.tally.throttled += u64::from(millicores < live.needs.millicores);
        let held = self.held.entry(live.worker.clone()).or_default();
        held.millicores = held.millicores - live.needs.millicores + millicores;
        self.tally.overloads += u64::from(!self.sizes[&live.worker].holds(held));
        live.needs.millicores = millicores;
    }

    /// Returns the processors that nobody would hold on a worker beside a new run.
    fn spare(&self, worker: &id::Worker, needs: &Amount) -> u64 {
        let held = self.held.get(worker).map_or(0, |held| held.millicores);
        let size = self.sizes[worker].millicores;
        size.saturating_sub(held + needs.millicores)
    }

    fn hold(&mut self, worker: &id::Worker, needs: &Amount, used: &Amount) {
        let held = self.held.entry(worker.clone()).or_default();
        held.add(needs);
        self.tally.overloads += u64::from(!self.sizes[worker].holds(held));
        self.used.entry(worker.clone()).or_default().add(used);
    }

    fn stop(&mut self, run: id::Run, after: Millis, end: End) {
        self.serial += 1;
        let serial = self.serial;
        if let Some(live) = self.live.get_mut(&run) {
            live.serial = serial;
            self.push(self.now + after, What::End(run, serial, end));
        }
    }

    fn end(&mut self, run: &id::Run, serial: u64, end: End) {
        let current = self.live.get(run).is_some_and(|live| live.serial == serial);
        let Some(live) = current.then(|| self.live.remove(run)).flatten() else {
            return;
        };
        if let Some(held) = self.held.get_mut(&live.worker) {
            held.subtract(&live.needs);
        }
        if let Some(used) = self.used.get_mut(&live.worker) {
            used.subtract(&live.used);
        }
        let age = self.now.since(live.since);
        let outcome = self.outcome(run, &live, age, end);
        self.handle(Event::Finished {
            run: run.clone(),
            worker: live.worker,
            outcome,
            age,
            usage: live.told,
        });
    }

    fn outcome(&mut self, run: &id::Run, live: &Live, age: Millis, end: End) -> Outcome {
        let cores = live.needs.millicores as f64 / 1e3;
        match end {
            End::Done => Outcome::Done,
            End::Failed => Outcome::Failed,
            End::Stopped => {
                self.tally.lost_core_seconds += cores * age.0 as f64 / 1e3;
                Outcome::Stopped
            }
            End::Checkpointed => {
                self.tally.lost_core_seconds += cores * CHECKPOINT.0 as f64 / 1e3;
                let arrival = &self.scenario.arrivals[self.by_name[&run.task.job]];
                let run_ms = arrival.run.0 as f64;
                let done = age.0.saturating_sub(CHECKPOINT.0) as f64 / live.stretch;
                let left = self.left.entry(run.task.clone()).or_insert(run_ms);
                *left = (*left - done).max(1.0);
                Outcome::Checkpointed("checkpoint".to_owned())
            }
        }
    }

    fn sample(&mut self) {
        if self.now.0 * 2 < self.scenario.end.0 || !self.now.0.is_multiple_of(SAMPLE.0) {
            return;
        }
        let mut sum = Amount::default();
        for (worker, used) in &self.used {
            let size = &self.sizes[worker];
            let millicores = used.millicores.min(size.millicores);
            sum.add(&Amount::new(millicores, used.memory_mib));
        }
        let held: u64 = self.held.values().map(accelerators).sum();
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let (samples, total) = (&mut self.samples, &self.total);
        samples.processors += share(sum.millicores, total.millicores);
        samples.memory += share(sum.memory_mib, total.memory_mib);
        samples.accelerators += share(held, accelerators(total));
        samples.count += 1;
    }

    fn finish(mut self) -> Tally {
        let percent = |sum: f64| 100.0 * sum / self.samples.count.max(1) as f64;
        self.tally.used_processors_percent = percent(self.samples.processors);
        self.tally.used_memory_percent = percent(self.samples.memory);
        self.tally.used_accelerators_percent = percent(self.samples.accelerators);
        for arrival in self.scenario.arrivals.iter().filter(|a| a.at <= self.now) {
            let task = |index| id::Task::new(arrival.job.name.clone(), index);
            let missing = (0..arrival.job.count).filter(|&i| !self.seen.contains_key(&task(i)));
            let count = missing.count() as u64;
            *self
                .tally
                .unstarted
                .entry(class_of(&arrival.job))
                .or_default() += count;
        }
        self.tally
    }
}

/// Returns an amount without its accelerators, in thousandths of `needs`.
pub fn scaled(needs: &Amount, permille: u64) -> Amount {
    Amount::new(
        (needs.millicores * permille / 1_000).max(1),
        (needs.memory_mib * permille / 1_000).max(1),
    )
}
