//! Replay of a seeded workload through the scheduler under a virtual clock.
//!
//! Workers answer at once, and tasks end after their real run time. Networks, processes and machines
//! are not modelled beyond this: a checkpoint takes [`CHECKPOINT_TIME`] and a stop [`STOP_TIME`]. Beyond
//! its own processors a run can use those that no other run holds, and it takes longer in proportion
//! when it gets fewer than it can use. A run that gets less memory than it needs fails.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Instant;

use marigoldpick_core::intent::{Class, Job};
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::{Outcome, Spec};
use marigoldpick_place::score::Policy;
use marigoldpick_place::{Action, Event, Scheduler, Settings};

use super::packing::{count_accelerators, new_job_event};
use super::tally::{Tally, class_of, new_histogram};

/// How long a checkpoint takes.
const CHECKPOINT_TIME: Millis = Millis(300);
/// How long a stop takes.
const STOP_TIME: Millis = Millis(500);
/// The interval between ticks.
const TICK_INTERVAL: Millis = Millis(100);
/// The interval between samples of the resources in use.
const SAMPLE_INTERVAL: Millis = Millis::from_secs(1);
/// The time after which the black-hole worker fails a task.
const BLACK_HOLE_TIME: Millis = Millis(50);

/// `Arrival` is a job with its real run time and size.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Millis,
    pub job: Job,
    /// The real run time of each task.
    pub run: Millis,
    /// The real size of a task, in thousandths of the declared size.
    pub real_permille: u64,
}

/// `BlackHole` is a worker that fails each task shortly after its start.
#[derive(Clone, Debug)]
pub struct BlackHole {
    pub worker: id::Worker,
    /// Whether its failures report all declared memory as used; else they report no usage.
    pub full_memory: bool,
}

/// `Scenario` is the input of a replay.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub fleet: Vec<vm::Worker>,
    pub arrivals: Vec<Arrival>,
    pub end: Millis,
    pub black_hole: Option<BlackHole>,
    pub settings: Settings,
    pub objective: Option<marigoldpick_core::intent::Objective>,
}

/// `Samples` holds sums of the fractions of resources in use.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    processors: f64,
    memory: f64,
    accelerators: f64,
    count: u64,
}

/// `LiveRun` is a run that has started and not ended.
#[derive(Debug)]
struct LiveRun {
    worker: id::Worker,
    since: Millis,
    /// Identifies the pending end event; earlier end events of the run are ignored.
    end_number: u64,
    used: Amount,
    /// The usage that the worker reports at the end.
    reported: Option<Amount>,
    /// The factor on the run time from a lack of processors.
    slowdown: f64,
    needs: Amount,
}

/// `Occurrence` is an entry of the replay's event queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Arrive(usize),
    End(id::Run, u64, End),
    Tick,
}

/// `End` is the reason why a run ends.
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
    queue: BinaryHeap<Reverse<(Millis, u64, Occurrence)>>,
    now: Millis,
    /// The number of the last event or run end; it orders events at the same time.
    last_number: u64,
    /// The index of each job's arrival.
    by_name: HashMap<id::Job, usize>,
    live: HashMap<id::Run, LiveRun>,
    /// The run time that checkpointed tasks still need, in milliseconds.
    remaining_ms: HashMap<id::Task, f64>,
    started: HashMap<id::Task, ()>,
    held: HashMap<id::Worker, Amount>,
    sizes: HashMap<id::Worker, Amount>,
    used: HashMap<id::Worker, Amount>,
    samples: Samples,
    total: Amount,
    tally: Tally,
}

/// Replays a scenario with a placement policy.
pub fn replay<P: Policy>(scenario: &Scenario, seed: u64) -> Tally {
    let shard = id::Shard(Name::new("a0").expect("a name"));
    let settings = scenario.settings.clone();
    let mut replay = Replay::<P> {
        scenario,
        scheduler: Scheduler::with_policy(shard, settings, seed),
        queue: BinaryHeap::new(),
        now: Millis::ZERO,
        last_number: 0,
        by_name: HashMap::new(),
        live: HashMap::new(),
        remaining_ms: HashMap::new(),
        started: HashMap::new(),
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
            self.schedule(arrival.at, Occurrence::Arrive(n));
        }
        self.schedule(TICK_INTERVAL, Occurrence::Tick);
        while let Some(Reverse((at, _, occurrence))) = self.queue.pop() {
            if at > self.scenario.end {
                return;
            }
            self.now = at;
            self.process_occurrence(occurrence);
        }
    }

    fn process_occurrence(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Arrive(n) => self.handle(new_job_event(&self.scenario.arrivals[n].job)),
            Occurrence::End(run, number, end) => self.end_run(&run, number, end),
            Occurrence::Tick => {
                self.sample();
                self.schedule(self.now + TICK_INTERVAL, Occurrence::Tick);
                self.handle(Event::Tick);
            }
        }
    }

    fn schedule(&mut self, at: Millis, occurrence: Occurrence) {
        self.last_number += 1;
        self.queue.push(Reverse((at, self.last_number, occurrence)));
    }

    /// Passes an event to the scheduler, times the decisions and applies the actions.
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
        out.into_iter().for_each(|action| self.apply_action(action));
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Start { worker, spec } => self.start(worker, &spec),
            Action::Stop { run, .. } => self.schedule_end(run, STOP_TIME, End::Stopped),
            Action::Checkpoint { run, .. } => {
                self.tally.displaced += 1;
                self.schedule_end(run, CHECKPOINT_TIME, End::Checkpointed);
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
        if self.started.insert(spec.run.task.clone(), ()).is_none() {
            let wait = self.now.since(arrival.at).0;
            let class = class_of(&arrival.job);
            let waits = self.tally.waits.entry(class).or_insert_with(new_histogram);
            waits.record(wait).expect("the histogram grows");
        }
        let want = scaled(&arrival.job.needs, arrival.real_permille);
        let lacks_memory = spec.needs.memory_mib < want.memory_mib;
        let spare = self.spare_millicores(&worker, &spec.needs);
        let granted = want.millicores.min(spec.needs.millicores + spare);
        let slowdown = want.millicores as f64 / granted as f64;
        let used = Amount::new(granted, want.memory_mib.min(spec.needs.memory_mib));
        let task = &spec.run.task;
        let left = self
            .remaining_ms
            .get(task)
            .copied()
            .unwrap_or(arrival.run.0 as f64);
        let mut run_time = Millis((left * slowdown) as u64);
        let mut end = End::Done;
        if lacks_memory {
            (run_time, end) = (Millis(run_time.0 / 2), End::Failed);
            self.tally.out_of_memory += 1;
        }
        let mut reported = Some(used.clone());
        if let Some(hole) = self.scenario.black_hole.as_ref()
            && hole.worker == worker
        {
            self.tally.black_hole_starts += 1;
            (run_time, end) = (BLACK_HOLE_TIME, End::Failed);
            reported = hole.full_memory.then(|| spec.needs.clone());
        }
        self.last_number += 1;
        let number = self.last_number;
        self.reserve_resources(&worker, &spec.needs, &used);
        let live = LiveRun {
            worker: worker.clone(),
            since: self.now,
            end_number: number,
            used,
            reported,
            slowdown,
            needs: spec.needs.clone(),
        };
        self.live.insert(spec.run.clone(), live);
        if arrival.job.class != Class::Service || end == End::Failed {
            self.schedule(
                self.now + run_time,
                Occurrence::End(spec.run.clone(), number, end),
            );
        }
        self.handle(Event::Started {
            run: spec.run.clone(),
            worker,
        });
    }

    /// Sets the processors of a run; the effect on its run time is not modelled.
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

    /// Returns the processors of a worker that no run would hold after a new run starts.
    fn spare_millicores(&self, worker: &id::Worker, needs: &Amount) -> u64 {
        let held = self.held.get(worker).map_or(0, |held| held.millicores);
        let size = self.sizes[worker].millicores;
        size.saturating_sub(held + needs.millicores)
    }

    /// Adds a run's resources to those held and used on a worker.
    fn reserve_resources(&mut self, worker: &id::Worker, needs: &Amount, used: &Amount) {
        let held = self.held.entry(worker.clone()).or_default();
        held.add(needs);
        self.tally.overloads += u64::from(!self.sizes[worker].holds(held));
        self.used.entry(worker.clone()).or_default().add(used);
    }

    /// Schedules the end of a run in place of its pending one.
    fn schedule_end(&mut self, run: id::Run, after: Millis, end: End) {
        self.last_number += 1;
        let number = self.last_number;
        if let Some(live) = self.live.get_mut(&run) {
            live.end_number = number;
            self.schedule(self.now + after, Occurrence::End(run, number, end));
        }
    }

    /// Ends a run, unless a later end was scheduled in place of this one.
    fn end_run(&mut self, run: &id::Run, number: u64, end: End) {
        let current = self
            .live
            .get(run)
            .is_some_and(|live| live.end_number == number);
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
            usage: live.reported,
        });
    }

    /// Returns the outcome of an ended run and adds lost work to the tally.
    fn outcome(&mut self, run: &id::Run, live: &LiveRun, age: Millis, end: End) -> Outcome {
        let cores = live.needs.millicores as f64 / 1e3;
        match end {
            End::Done => Outcome::Done,
            End::Failed => Outcome::Failed,
            End::Stopped => {
                self.tally.lost_core_seconds += cores * age.0 as f64 / 1e3;
                Outcome::Stopped
            }
            End::Checkpointed => {
                self.tally.lost_core_seconds += cores * CHECKPOINT_TIME.0 as f64 / 1e3;
                let arrival = &self.scenario.arrivals[self.by_name[&run.task.job]];
                let run_ms = arrival.run.0 as f64;
                let done = age.0.saturating_sub(CHECKPOINT_TIME.0) as f64 / live.slowdown;
                let left = self.remaining_ms.entry(run.task.clone()).or_insert(run_ms);
                *left = (*left - done).max(1.0);
                Outcome::Checkpointed("checkpoint".to_owned())
            }
        }
    }

    /// Samples the resources in use, in the second half of the replay.
    fn sample(&mut self) {
        if self.now.0 * 2 < self.scenario.end.0 || !self.now.0.is_multiple_of(SAMPLE_INTERVAL.0) {
            return;
        }
        let mut sum = Amount::default();
        for (worker, used) in &self.used {
            let size = &self.sizes[worker];
            let millicores = used.millicores.min(size.millicores);
            sum.add(&Amount::new(millicores, used.memory_mib));
        }
        let held: u64 = self.held.values().map(count_accelerators).sum();
        let fraction = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let (samples, total) = (&mut self.samples, &self.total);
        samples.processors += fraction(sum.millicores, total.millicores);
        samples.memory += fraction(sum.memory_mib, total.memory_mib);
        samples.accelerators += fraction(held, count_accelerators(total));
        samples.count += 1;
    }

    fn finish(mut self) -> Tally {
        let percent = |sum: f64| 100.0 * sum / self.samples.count.max(1) as f64;
        self.tally.used_processors_percent = percent(self.samples.processors);
        self.tally.used_memory_percent = percent(self.samples.memory);
        self.tally.used_accelerators_percent = percent(self.samples.accelerators);
        for arrival in self.scenario.arrivals.iter().filter(|a| a.at <= self.now) {
            let task = |index| id::Task::new(arrival.job.name.clone(), index);
            let missing = (0..arrival.job.count).filter(|&i| !self.started.contains_key(&task(i)));
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
