//! What a lead is told, and what it wants done or tells.

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Answer, Fault};
use marigoldpick_core::vm;
use marigoldpick_core::worker::{self, Epoch, Finished, Running, Spec};

use crate::event::Event;
use crate::record;

/// `Input` is what the lead is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Whether the membership says that this entry should lead.
    Candidate(bool),
    /// A call to the store ended; a call without an answer in time ends as [`Fault::Unknown`].
    Store {
        /// The call's number.
        call: u64,
        /// How it ended.
        result: Result<Answer, Fault>,
    },
    /// A call to a worker ended; a call without an answer in time ends as unknown.
    Worker {
        /// The call's number.
        call: u64,
        /// The worker.
        worker: id::Worker,
        /// How it ended.
        result: Result<worker::Answer, worker::Fault>,
    },
    /// The shard's workers as the platform's list has them.
    Workers(Vec<vm::Worker>),
    /// The jobs that are homed in the shard; see [`homed`].
    Jobs {
        /// The jobs, sorted by name.
        jobs: Vec<Homed>,
        /// The configuration's number.
        sequence: u64,
    },
    /// Start a run on a worker.
    Start {
        /// The worker.
        worker: id::Worker,
        /// The run.
        spec: Spec,
    },
    /// Stop a run.
    Stop {
        /// The run.
        run: id::Run,
        /// How long it may take to end.
        grace: Millis,
    },
    /// Write a checkpoint of a run and stop it.
    Checkpoint {
        /// The run.
        run: id::Run,
    },
    /// Limit a run's processors.
    Throttle {
        /// The run.
        run: id::Run,
        /// The limit in thousandths of a core.
        millicores: u64,
    },
    /// A task is given up and must not be started again by any lead.
    GiveUp {
        /// The task.
        task: id::Task,
    },
}

/// `Output` is what the lead wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make this call to the store, and give the result back.
    Store {
        /// The call's number.
        call: u64,
        /// The call.
        request: store::Call,
    },
    /// Make this call to a worker, and give the result back.
    Worker {
        /// The call's number.
        call: u64,
        /// The worker.
        worker: id::Worker,
        /// The base URL of its interface.
        address: String,
        /// The call.
        request: worker::Call,
    },
    /// Tell the scheduler.
    Notice(Notice),
    /// Something for the time line.
    Event(Event),
}

/// `Notice` is what the scheduler is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// This entry leads the shard now; the workers' tasks follow.
    Leading {
        /// Its epoch.
        epoch: Epoch,
        /// What the log has of each job; empty while `whole` is false.
        progress: Vec<record::Job>,
        /// Whether the log was read. Until then only tasks that were seen on a worker are started
        /// again; [`Notice::Progress`] follows when the store is back.
        whole: bool,
    },
    /// What the log has of each job, once it could be read.
    Progress(Vec<record::Job>),
    /// This entry leads the shard no longer; all it knew of tasks is void.
    Deposed,
    /// Whether the lead must be silent, since neither majority nor store confirms it.
    Silent(bool),
    /// Whether starts of tasks that were not yet seen wait, since a worker may hold them.
    Held(bool),
    /// A worker is there with these runs, all it has.
    WorkerUp {
        /// The worker.
        worker: vm::Worker,
        /// Its runs.
        running: Vec<Running>,
    },
    /// The platform's list says something new of a worker that is up.
    WorkerChanged(vm::Worker),
    /// Runs of a worker changed, or have new usage.
    WorkerReport {
        /// The worker.
        worker: id::Worker,
        /// The runs that changed.
        changed: Vec<Running>,
    },
    /// A worker does not answer; its tasks may still run.
    WorkerSilent(id::Worker),
    /// A silent worker answers again, before its tasks were taken for ended.
    WorkerHeard(id::Worker),
    /// A worker is gone, or its lease has provably lapsed: these runs have ended.
    WorkerLost {
        /// The worker.
        worker: id::Worker,
        /// The runs.
        runs: Vec<id::Run>,
    },
    /// A run was started.
    Started {
        /// The run.
        run: id::Run,
        /// The worker.
        worker: id::Worker,
    },
    /// A run was certainly not started.
    Refused {
        /// The run.
        run: id::Run,
        /// The worker.
        worker: id::Worker,
        /// Why.
        code: Code,
        /// What the worker said, when it was the worker that refused.
        refusal: Option<worker::Refusal>,
    },
    /// A limit on a run's processors is in force.
    Throttled {
        /// The run.
        run: id::Run,
        /// The limit in thousandths of a core.
        millicores: u64,
    },
    /// A run ended; a completion is in the log by now.
    Finished {
        /// The worker.
        worker: id::Worker,
        /// The run and its end.
        finished: Finished,
    },
    /// A non-idempotent task may have been started once; it is not started again.
    MaybeStarted(id::Run),
}

/// `Homed` is what the lead needs to know of a job that is homed in its shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Homed {
    /// The job.
    pub job: id::Job,
    /// Its class.
    pub class: Class,
    /// The configuration's entry that accepted it.
    pub accepted: u64,
}

/// `Held` is a worker that this lead holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The worker.
    pub worker: id::Worker,
    /// Whether it has answered lately.
    pub silent: bool,
    /// The runs it has, as far as known.
    pub runs: usize,
}
