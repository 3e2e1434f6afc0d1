//! Provides the scheduler of one shard, which turns events into actions.

mod accounting;
mod answer;
mod claim;
mod displace;
mod explain;
mod gang;
mod health;
mod lifecycle;
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
use crate::score::{LeastStranded, Policy};
use crate::settings::Settings;
use crate::size::AcceleratorKinds;
use crate::{job, kind, run};
use claim::Claim;
use reserve::{Exclusion, Reservation};

/// The longest elapsed time for which one tick adds restart tokens, and the interval between
/// retries of all job kinds that are blocked by anything but their quota.
const SECOND: Millis = Millis::from_secs(1);

/// `Counts` is the progress of the shard's jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of runs, including those that are starting or stopping.
    pub running: u32,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// The jobs, sorted by name.
    pub jobs: Vec<operator::Job>,
}

/// `Delay` is a task that may not be started before a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Delay {
    until: Millis,
    job: u32,
    order: u64,
    index: u32,
}

/// `StabilityCheck` is the time at which a run counts as evidence that its worker is healthy.
#[derive(Clone, Copy, Debug)]
struct StabilityCheck {
    at: Millis,
    run: u32,
    serial: u64,
}

/// `ThrottledRun` is a run that is throttled, with the processors that it held before.
#[derive(Clone, Copy, Debug)]
struct ThrottledRun {
    run: u32,
    serial: u64,
    millicores: u64,
}

/// `Scheduler` places the tasks of one shard.
#[derive(Debug)]
pub struct Scheduler<P = LeastStranded> {
    shard: id::Shard,
    settings: Settings,
    objective: Objective,
    policy: P,
    mix: Mix,
    rng: ChaCha8Rng,
    accelerators: AcceleratorKinds,
    fleet: Fleet,
    kinds: kind::Table,
    jobs: job::Table,
    runs: run::Table,
    unheard: Vec<id::Worker>,
    orphans: FxHashMap<id::Job, Vec<u32>>,
    delays: BinaryHeap<Reverse<Delay>>,
    last_order: u64,
    last_serial: u64,
    teams: Teams,
    active_kinds: Vec<u32>,
    headroom: Headroom,
    stability_checks: VecDeque<StabilityCheck>,
    claims: Vec<Claim>,
    reservation: Option<Reservation>,
    /// The jobs that get no reservation for a while.
    exclusions: Vec<Exclusion>,
    throttled_runs: Vec<ThrottledRun>,
    quarantined_workers: Vec<u32>,
    missing_runs: Vec<u32>,
    restart_tokens: u64,
    victim_cursor: u32,
    last_tick: Millis,
    last_unblock: Millis,
}

impl Scheduler {
    /// Creates a scheduler without workers and jobs.
    #[must_use]
    pub fn new(shard: id::Shard, settings: Settings, seed: u64) -> Self {
        Self::with_policy(shard, settings, seed)
    }
}

impl<P: Policy> Scheduler<P> {
    /// Creates a scheduler that chooses workers by the policy `P`.
    #[must_use]
    pub fn with_policy(shard: id::Shard, settings: Settings, seed: u64) -> Self {
        Self {
            shard,
            settings,
            objective: Objective::default(),
            policy: P::default(),
            mix: Mix::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            accelerators: AcceleratorKinds::default(),
            fleet: Fleet::default(),
            kinds: kind::Table::default(),
            jobs: job::Table::default(),
            runs: run::Table::default(),
            unheard: Vec::new(),
            orphans: FxHashMap::default(),
            delays: BinaryHeap::new(),
            last_order: 0,
            last_serial: 0,
            teams: Teams::default(),
            active_kinds: Vec::new(),
            headroom: Headroom::default(),
            stability_checks: VecDeque::new(),
            claims: Vec::new(),
            reservation: None,
            exclusions: Vec::new(),
            throttled_runs: Vec::new(),
            quarantined_workers: Vec::new(),
            missing_runs: Vec::new(),
            restart_tokens: 0,
            victim_cursor: 0,
            last_tick: Millis::ZERO,
            last_unblock: Millis::ZERO,
        }
    }

    /// Returns the id of the shard.
    #[must_use]
    pub const fn shard(&self) -> &id::Shard {
        &self.shard
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, event: Event, now: Millis, out: &mut Vec<Action>) {
        let tick = event == Event::Tick;
        match event {
            Event::Leading { unheard } => self.handle_leading(unheard),
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
            Event::WorkerUp { worker, running } => {
                self.handle_worker_up(&worker, running, now, out)
            }
            Event::WorkerSilent { worker } => self.handle_worker_silent(worker),
            Event::WorkerHeard { worker } => self.handle_worker_heard(&worker),
            Event::WorkerGone { worker } => self.handle_worker_gone(&worker, out),
            Event::WorkerDrain { worker, on } => self.handle_worker_drain(&worker, on, out),
            Event::Job {
                job,
                span,
                done,
                failed,
                fresh,
                ..
            } => {
                let history = lifecycle::History {
                    done,
                    failed,
                    fresh,
                };
                self.accept_job(*job, span, &history, now, out);
            }
            Event::Cancel { jobs } => self.cancel_jobs(&jobs, out),
            Event::Started { run, worker } => self.handle_started(&run, &worker, now),
            Event::Refused {
                run,
                worker,
                refusal,
            } => self.handle_refused(&run, &worker, refusal, now, out),
            Event::MaybeStarted { run } => self.handle_maybe_started(&run, out),
            Event::Throttled { run, millicores } => self.handle_throttled(&run, millicores),
            Event::Usage { run, amount } => self.handle_usage(&run, &amount, out),
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
                self.handle_finished(&run, &worker, end, now, out);
            }
            Event::Tick => self.tick(now, out),
        }
        if tick || !self.is_placing_on_ticks_only() || self.has_urgent_waiting() {
            self.place_waiting_tasks(now, out);
        }
    }

    /// Returns whether tasks are placed on ticks only unless an urgent one waits, because the objective
    /// weighs control cost above waiting time.
    fn is_placing_on_ticks_only(&self) -> bool {
        self.objective.control > self.objective.waiting
    }

    fn has_urgent_waiting(&self) -> bool {
        let urgent = |slot: &u32| self.kinds.get(*slot).priority == Priority::Urgent;
        self.active_kinds.iter().any(urgent)
    }

    /// Returns the progress of the shard and of its jobs.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut jobs: Vec<operator::Job> =
            self.jobs.iter().map(|(_, job)| job_progress(job)).collect();
        jobs.sort_unstable_by(|a, b| a.job.cmp(&b.job));
        Counts {
            running: self.running(),
            waiting: self.waiting(),
            jobs,
        }
    }

    /// Returns the number of runs, including those that are starting or stopping.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.jobs.iter().map(|(_, job)| job.waiting).sum()
    }

    fn handle_leading(&mut self, unheard: Vec<id::Worker>) {
        self.unheard = unheard;
        self.unheard.sort_unstable();
        self.unheard.dedup();
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let passed = now.since(self.last_tick).0.min(SECOND.0);
        self.last_tick = now;
        let most = u64::from(self.settings.restarts_per_second);
        self.restart_tokens = (self.restart_tokens + (most * passed).div_ceil(SECOND.0)).min(most);
        self.check_stable_runs(now);
        self.release_delayed_tasks(now, out);
        self.expire_missing_runs(now, out);
        self.end_quarantines(now, out);
        self.lift_throttles(out);
        self.refresh_headroom(now);
        self.unblock_paced();
        if now.since(self.last_unblock) >= SECOND {
            self.last_unblock = now;
            self.unblock_all();
        }
    }
}

fn job_progress(job: &job::Job) -> operator::Job {
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
