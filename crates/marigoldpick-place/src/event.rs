//! Provides the events that are the input of the scheduler.

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
    /// The shard has a new lead.
    Leading {
        /// Workers not yet heard from, which may run tasks of an earlier lead.
        unheard: Vec<id::Worker>,
    },
    /// The objective of the site.
    Objective(intent::Objective),
    /// A team and its quota.
    Team(intent::Team),
    /// The part of a team's quota that this shard may use.
    ///
    /// Without an allotment, the shard may use the whole quota.
    Allotment {
        /// The team.
        team: id::Team,
        /// The part of the quota.
        amount: Amount,
    },
    /// A worker holds a lease and reports all of its runs.
    WorkerUp {
        /// The worker.
        worker: vm::Worker,
        /// All runs on the worker.
        running: Vec<worker::Running>,
    },
    /// A worker does not answer; its tasks may continue.
    WorkerSilent {
        /// The worker.
        worker: id::Worker,
    },
    /// A silent worker answers again; its tasks have continued.
    WorkerHeard {
        /// The worker.
        worker: id::Worker,
    },
    /// All tasks of a worker have provably ended.
    WorkerGone {
        /// The worker.
        worker: id::Worker,
    },
    /// The drain of a worker starts or ends.
    WorkerDrain {
        /// The worker.
        worker: id::Worker,
        /// Whether the worker is being drained.
        on: bool,
    },
    /// A range of a job's tasks is assigned to this shard.
    Job {
        /// The job.
        job: Box<intent::Job>,
        /// The range.
        span: Span,
        /// Tasks that the confirmed plan displaces at once.
        displaced: Vec<Displaced>,
        /// Completed tasks.
        done: Vec<Span>,
        /// Tasks that were given up.
        failed: Vec<Span>,
        /// Whether this lead accepted the job, so that no worker can be running its tasks yet.
        fresh: bool,
    },
    /// A request to cancel jobs.
    Cancel {
        /// The jobs.
        jobs: Vec<id::Job>,
    },
    /// A run was started.
    Started {
        /// The run.
        run: id::Run,
        /// The worker.
        worker: id::Worker,
    },
    /// A worker refused to start a run, or was not reached.
    Refused {
        /// The run.
        run: id::Run,
        /// The worker.
        worker: id::Worker,
        /// The reason of the worker; `None` if the worker was not reached.
        refusal: Option<worker::Refusal>,
    },
    /// A non-idempotent task may have started and must not start again.
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
    /// A run ended, and its end is stored.
    Finished {
        /// The run.
        run: id::Run,
        /// The worker.
        worker: id::Worker,
        /// How the run ended.
        outcome: worker::Outcome,
        /// How long the run took.
        age: Millis,
        /// The peak usage of the run.
        usage: Option<Amount>,
    },
    /// The usage of a run, which may be out of date.
    Usage {
        /// The run.
        run: id::Run,
        /// The measured usage.
        amount: Amount,
    },
    /// Time has passed.
    Tick,
}
