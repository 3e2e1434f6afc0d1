//! The scheduler of one shard: events in, actions out.

mod accept;
mod answer;
mod claim;
mod displace;
mod explain;
mod gang;
mod health;
mod hold;
mod pick;
mod reserve;
mod round;
mod survey;
mod usage;
mod worker;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fxhash::FxHashMap;
use marigoldpick_core::intent::{Objective, Priority};
use marigoldpick_core::operator;
use marigoldpick_core::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::headroom::Headroom;
use crate::mix::Mix;
use crate::quota::Teams;
use crate::score::{Blend, Policy};
use crate::settings::Settings;
use crate::size::Kinds;
use crate::{job, kind, run};
use claim::Claim;
use reserve::Reservation;

/// One second.
const SECOND: Millis = Millis::from_secs(1);

/// `Counts` is the shard's progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Runs, those that are being started or stopped among them.
    pub running: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// The jobs, sorted by name.
    pub jobs: Vec<operator::Job>,
}

/// `Delay` is a task that waits out a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Delay {
    until: Millis,
    job: u32,
    order: u64,
    index: u32,
}

/// `Proof` is the time at which a run has grown old enough to show that its worker is sound.
#[derive(Clone, Copy, Debug)]
struct Proof {
    at: Millis,
    run: u32,
    serial: u64,
}

/// `Limited` is a run whose processors are throttled below what it held.
#[derive(Clone, Copy, Debug)]
struct Limited {
    run: u32,
    serial: u64,
    millicores: u64,
}

/// `Scheduler` places the tasks of one shard.
#[derive(Debug)]
pub struct Scheduler<P = Blend> {
    shard: id::Shard,
    settings: Settings,
    objective: Objective,
    policy: P,
    mix: Mix,
    rng: ChaCha8Rng,
    accelerators: Kinds,
    fleet: Fleet,
    kinds: kind::Table,
    jobs: job::Table,
    runs: run::Table,
    unheard: Vec<id::Worker>,
    orphans: FxHashMap<id::Job, Vec<u32>>,
    delays: BinaryHeap<Reverse<Delay>>,
    order: u64,
    serial: u64,
    teams: Teams,
    active: Vec<u32>,
    headroom: Headroom,
    proofs: VecDeque<Proof>,
    claims: Vec<Claim>,
    reservation: Option<Reservation>,
    limited: Vec<Limited>,
    shut_out: Vec<u32>,
    missing: Vec<u32>,
    tokens: u64,
    cursor: u32,
    ticked: Millis,
    unblocked: Millis,
}

impl Scheduler {
    /// Makes a scheduler without workers and jobs.
    #[must_use]
    pub fn new(shard: id::Shard, settings: Settings, seed: u64) -> Self {
        Self::with_policy(shard, settings, seed)
    }
}

impl<P: Policy> Scheduler<P> {
    /// Makes a scheduler that chooses workers by another policy.
    #[must_use]
    pub fn with_policy(shard: id::Shard, settings: Settings, seed: u64) -> Self {
        Self {
            shard,
            settings,
            objective: Objective::default(),
            policy: P::default(),
            mix: Mix::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            accelerators: Kinds::default(),
            fleet: Fleet::default(),
            kinds: kind::Table::default(),
            jobs: job::Table::default(),
            runs: run::Table::default(),
            unheard: Vec::new(),
            orphans: FxHashMap::default(),
            delays: BinaryHeap::new(),
            order: 0,
            serial: 0,
            teams: Teams::default(),
            active: Vec::new(),
            headroom: Headroom::default(),
            proofs: VecDeque::new(),
            claims: Vec::new(),
            reservation: None,
            limited: Vec::new(),
            shut_out: Vec::new(),
            missing: Vec::new(),
            tokens: 0,
            cursor: 0,
            ticked: Millis::ZERO,
            unblocked: Millis::ZERO,
        }
    }

    /// Returns the shard.
    #[must_use]
    pub const fn shard(&self) -> &id::Shard {
        &self.shard
    }

    /// Takes one event and appends what is to be done to `out`.
    pub fn handle(&mut self, event: Event, now: Millis, out: &mut Vec<Action>) {
        let tick = event == Event::Tick;
        match event {
            Event::Leading { unheard } => self.lead(unheard),
            Event::Objective(objective) => self.objective = objective,
            Event::Team(team) => {
                let slot = self.teams.slot(&team.name);
                self.teams.declare(team, &self.accelerators);
                self.unblock_team(slot);
            }
            Event::Allotment { team, amount } => {
                let slot = self.teams.slot(&team);
                self.teams.allot(&team, amount, &self.accelerators);
                self.unblock_team(slot);
            }
            Event::WorkerUp { worker, running } => self.worker_up(&worker, running, now, out),
            Event::WorkerSilent { worker } => self.worker_silent(worker),
            Event::WorkerHeard { worker } => self.worker_heard(&worker),
            Event::WorkerGone { worker } => self.worker_gone(&worker, out),
            Event::WorkerDrain { worker, on } => self.worker_drain(&worker, on, out),
            Event::Job {
                job,
                span,
                done,
                failed,
                fresh,
                ..
            } => {
                let past = accept::Past {
                    done,
                    failed,
                    fresh,
                };
                self.accept(*job, span, &past, now, out);
            }
            Event::Cancel { jobs } => self.cancel(&jobs, out),
            Event::Started { run, worker } => self.started(&run, &worker, now),
            Event::Refused {
                run,
                worker,
                refusal,
            } => self.refused(&run, &worker, refusal, now, out),
            Event::MaybeStarted { run } => self.maybe_started(&run, out),
            Event::Throttled { run, millicores } => self.throttled(&run, millicores),
            Event::Usage { run, amount } => self.used(&run, &amount, out),
            Event::Finished {
                run,
                worker,
                outcome,
                age,
                usage,
            } => {
                let end = answer::End {
                    outcome,
                    age,
                    usage,
                };
                self.finished(&run, &worker, end, now, out);
            }
            Event::Tick => self.tick(now, out),
        }
        if tick || !self.saves_rounds() || self.urgent_waits() {
            self.fill(now, out);
        }
    }

    /// Tells whether tasks are placed by the tick alone, since control cost outweighs waiting.
    fn saves_rounds(&self) -> bool {
        self.objective.control > self.objective.waiting
    }

    fn urgent_waits(&self) -> bool {
        let urgent = |slot: &u32| self.kinds.get(*slot).priority == Priority::Urgent;
        self.active.iter().any(urgent)
    }

    /// Returns the progress of the shard and its jobs.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut jobs: Vec<operator::Job> = self.jobs.iter().map(|(_, job)| count(job)).collect();
        jobs.sort_unstable_by(|a, b| a.job.cmp(&b.job));
        Counts {
            running: self.running(),
            waiting: self.waiting(),
            jobs,
        }
    }

    /// Returns the number of runs, those that are being started or stopped among them.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of tasks that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.jobs.iter().map(|(_, job)| job.waiting).sum()
    }

    fn lead(&mut self, unheard: Vec<id::Worker>) {
        self.unheard = unheard;
        self.unheard.sort_unstable();
        self.unheard.dedup();
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let passed = now.since(self.ticked).0.min(SECOND.0);
        self.ticked = now;
        let most = u64::from(self.settings.restarts);
        self.tokens = (self.tokens + (most * passed).div_ceil(SECOND.0)).min(most);
        self.prove(now);
        self.end_delays(now, out);
        self.settle_missing(now, out);
        self.end_quarantines(now, out);
        self.lift_limits(out);
        self.refresh_headroom(now);
        self.unblock_paced();
        if now.since(self.unblocked) >= SECOND {
            self.unblocked = now;
            self.unblock_all();
        }
    }
}

fn count(job: &job::Job) -> operator::Job {
    operator::Job {
        job: job.spec.name.clone(),
        count: job.span.to - job.span.from,
        running: job.placed,
        waiting: job.waiting,
        completed: job.completed,
        failed: job.failed,
        cancelled: job.cancelled,
    }
}
