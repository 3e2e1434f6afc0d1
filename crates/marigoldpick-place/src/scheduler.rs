//! The scheduler of one shard: events in, actions out.

mod accept;
mod answer;
mod round;
mod worker;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fxhash::FxHashMap;
use marigoldpick_core::intent::{self, Objective};
use marigoldpick_core::operator::{self, Explain};
use marigoldpick_core::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::mix::Mix;
use crate::score::{Blend, Policy};
use crate::settings::Settings;
use crate::size::Kinds;
use crate::survey::Offer;
use crate::{job, kind, run};

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
        }
    }

    /// Returns the shard.
    #[must_use]
    pub const fn shard(&self) -> &id::Shard {
        &self.shard
    }

    /// Takes one event and appends what is to be done to `out`.
    pub fn handle(&mut self, event: Event, now: Millis, out: &mut Vec<Action>) {
        match event {
            Event::Leading { unheard } => self.lead(unheard),
            Event::Objective(objective) => self.objective = objective,
            Event::Team(_) | Event::Allotment { .. } => {}
            Event::WorkerUp { worker, running } => self.worker_up(&worker, running, now, out),
            Event::WorkerSilent { worker } => self.worker_silent(worker),
            Event::WorkerHeard { worker } => self.worker_heard(&worker),
            Event::WorkerGone { worker } => self.worker_gone(&worker, now, out),
            Event::WorkerDrain { worker, on } => self.worker_drain(&worker, on, out),
            Event::Job {
                job,
                span,
                done,
                failed,
                held,
                fresh,
                ..
            } => {
                let past = accept::Past {
                    done,
                    failed,
                    held,
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
            Event::Throttled { .. } | Event::Usage { .. } => {}
            Event::Finished {
                run,
                worker,
                outcome,
                ..
            } => self.finished(&run, &worker, outcome, now, out),
            Event::Tick => self.tick(now, out),
        }
        self.fill(now, out);
    }

    /// Tells what the shard could do for jobs that are being planned, in their order.
    #[must_use]
    pub fn survey(&self, jobs: &[intent::Job], _now: Millis) -> Vec<Offer> {
        let mut free: Vec<_> = self.fleet.workers().iter().collect();
        free.retain(|worker| worker.usable());
        let mut room: Vec<_> = free.iter().map(|worker| worker.free()).collect();
        let domain = free.first().map(|worker| worker.domain.clone());
        let mut offers = Vec::with_capacity(jobs.len());
        for job in jobs {
            let mut offer = Offer {
                job: job.name.clone(),
                domain: domain.clone(),
                now: 0,
                displacing: 0,
                ever: 0,
                wait: Millis::ZERO,
                displaced: Vec::new(),
                never: None,
            };
            if let Ok(ask) = self.accelerators.convert(&job.needs) {
                for (at, worker) in free.iter().enumerate() {
                    let left = job.count - offer.now;
                    let fits = room[at].fits(&ask, left);
                    offer.now += fits;
                    (0..fits).for_each(|_| room[at] = room[at].minus(&ask));
                    offer.ever = (offer.ever + worker.size.fits(&ask, job.count)).min(job.count);
                }
            }
            offer.displacing = offer.now;
            if offer.ever == 0 {
                offer.never = Some(format!("needs {} on one worker", job.needs));
            }
            offers.push(offer);
        }
        offers
    }

    /// Tells why a task is as it is.
    #[must_use]
    pub fn explain(&self, task: &id::Task, _now: Millis) -> Explain {
        let known = self.jobs.slot(&task.job).map(|slot| self.jobs.get(slot));
        let found = known.and_then(|job| job.task(task.index));
        let mut explain = Explain {
            task: task.clone(),
            state: "never".to_owned(),
            worker: None,
            reasons: Vec::new(),
        };
        match found.map(|task| task.state) {
            None => explain.reasons.push("not known in this shard".to_owned()),
            Some(job::State::Waiting | job::State::Delayed) => {
                "waiting".clone_into(&mut explain.state)
            }
            Some(job::State::Placed(slot)) => {
                "running".clone_into(&mut explain.state);
                let worker = self.runs.get(slot).worker;
                explain.worker = Some(self.fleet.get(worker).id.clone());
            }
            Some(job::State::Done) => "completed".clone_into(&mut explain.state),
            Some(job::State::Failed) => "failed".clone_into(&mut explain.state),
            Some(job::State::Cancelled) => "cancelled".clone_into(&mut explain.state),
        }
        explain
    }

    /// Returns the progress of the shard and its jobs.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut jobs: Vec<operator::Job> = self.jobs.iter().map(|(_, job)| count(job)).collect();
        jobs.sort_unstable_by(|a, b| a.job.cmp(&b.job));
        Counts {
            running: u32::try_from(self.runs.len()).unwrap_or(u32::MAX),
            waiting: jobs.iter().map(|job| job.waiting).sum(),
            jobs,
        }
    }

    fn lead(&mut self, unheard: Vec<id::Worker>) {
        self.unheard = unheard;
        self.unheard.sort_unstable();
        self.unheard.dedup();
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.end_delays(now);
        self.settle_missing(now, out);
        self.kinds
            .kinds_mut()
            .iter_mut()
            .for_each(|kind| kind.blocked = false);
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
