//! Events: what the scheduler is told.

use marigoldpick_core::intent;
use marigoldpick_core::plan::Displaced;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker;

/// `Span` is a range of a job's task indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// The first index.
    pub from: u32,
    /// The index after the last.
    pub to: u32,
}

/// `Event` is one input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The shard has a new lead; these workers may hold tasks of an earlier one.
    Leading {
        /// The workers that have not been heard yet.
        unheard: Vec<id::Worker>,
    },
    /// The site's objective.
    Objective(intent::Objective),
    /// A team and its quota.
    Team(intent::Team),
    /// The part of a team's quota that this shard may use; without one, the whole quota.
    Allotment {
        /// The team.
        team: id::Team,
        /// The part.
        amount: Amount,
    },
    /// A worker holds a lease; `running` is the whole set of its runs.
    WorkerUp {
        /// The worker.
        worker: vm::Worker,
        /// What runs on it.
        running: Vec<worker::Running>,
    },
    /// A worker does not answer; its tasks may go on.
    WorkerSilent {
        /// The worker.
        worker: id::Worker,
    },
    /// A silent worker answers again; its tasks went on.
    WorkerHeard {
        /// The worker.
        worker: id::Worker,
    },
    /// All tasks of a worker have provably ended.
    WorkerGone {
        /// The worker.
        worker: id::Worker,
    },
    /// A worker is being drained, or no longer.
    WorkerDrain {
        /// The worker.
        worker: id::Worker,
        /// Whether it is being drained.
        on: bool,
    },
    /// A range of a job's tasks has its home here.
    Job {
        /// The job.
        job: Box<intent::Job>,
        /// The range.
        span: Span,
        /// What gives way at once under the confirmed plan.
        displaced: Vec<Displaced>,
        /// Tasks that have been completed.
        done: Vec<Span>,
        /// Tasks that have been given up.
        failed: Vec<Span>,
        /// Whether it was accepted under this lead, so that no worker can hold a task of it yet.
        fresh: bool,
    },
    /// Jobs are cancelled.
    Cancel {
        /// The jobs.
        jobs: Vec<id::Job>,
    },
    /// A run goes on.
    Started {
        /// The run.
        run: id::Run,
        /// The worker.
        worker: id::Worker,
    },
    /// A run was not started; without a refusal the worker was not reached.
    Refused {
        /// The run.
        run: id::Run,
        /// The worker.
        worker: id::Worker,
        /// Why.
        refusal: Option<worker::Refusal>,
    },
    /// A non-idempotent task may have been started and is not started again.
    MaybeStarted {
        /// The run.
        run: id::Run,
    },
    /// A limit on a run's processors is in force.
    Throttled {
        /// The run.
        run: id::Run,
        /// The limit in thousandths of a core.
        millicores: u64,
    },
    /// A run ended, and its end is recorded.
    Finished {
        /// The run.
        run: id::Run,
        /// The worker.
        worker: id::Worker,
        /// How it ended.
        outcome: worker::Outcome,
        /// How long it ran.
        age: Millis,
        /// The most it used.
        usage: Option<Amount>,
    },
    /// A run's use, as measured a while ago.
    Usage {
        /// The run.
        run: id::Run,
        /// What it used.
        amount: Amount,
    },
    /// Time has passed.
    Tick,
}
