//! Inputs and outputs of a lead.

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Answer, Fault};
use marigoldpick_core::vm;
use marigoldpick_core::worker::{self, Epoch, Finished, Running, Spec};

use crate::event::Event;
use crate::record;

/// `Input` is an event or a request that the lead handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The membership has determined whether this entry should lead.
    Candidate(bool),
    /// A call to the store ended; a timeout counts as [`Fault::Unknown`].
    Store {
        /// The call's number.
        call: u64,
        /// How it ended.
        result: Result<Answer, Fault>,
    },
    /// A call to a worker ended; a timeout counts as [`worker::Fault::Unknown`].
    Worker {
        /// The call's number.
        call: u64,
        /// The worker.
        worker: id::Worker,
        /// How it ended.
        result: Result<worker::Answer, worker::Fault>,
    },
    /// The shard's workers in the platform's list.
    Workers(Vec<vm::Worker>),
    /// The jobs that are homed in the shard; see [`homed`](super::homed).
    Jobs {
        /// The jobs, sorted by name.
        jobs: Vec<Homed>,
        /// The sequence number of the configuration.
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
        /// How long the run may take to end.
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
    /// Give up a task, which no lead may start again.
    GiveUp {
        /// The task.
        task: id::Task,
    },
}

/// `Output` is an action that the lead requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make this call to the store, and return the result as an input.
    Store {
        /// The call's number.
        call: u64,
        /// The call.
        request: store::Call,
    },
    /// Make this call to a worker, and return the result as an input.
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
    /// Notify the scheduler.
    Notice(Notice),
    /// Record an event in the time line.
    Event(Event),
}

/// `Notice` is a notification to the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// This entry now leads the shard; notices of the workers and their runs follow.
    Leading {
        /// Its epoch.
        epoch: Epoch,
        /// The recorded progress of each job; empty while `whole` is false.
        progress: Vec<record::Job>,
        /// Whether the log was read. Until then only tasks that were seen on a worker are started
        /// again. [`Notice::Progress`] follows when the store is available again.
        whole: bool,
    },
    /// The recorded progress of each job, once the log could be read.
    Progress(Vec<record::Job>),
    /// This entry no longer leads the shard, and its knowledge of tasks is invalid.
    Deposed,
    /// Whether the lead may not act, as neither a majority nor the store confirms it.
    LeadSilent(bool),
    /// Whether starts of unseen tasks are held, because an unseen worker may have them.
    StartsHeld(bool),
    /// A worker is available and has exactly these runs.
    WorkerUp {
        /// The worker.
        worker: vm::Worker,
        /// Its runs.
        running: Vec<Running>,
    },
    /// The platform's list has changed for an available worker.
    WorkerChanged(vm::Worker),
    /// Runs of a worker changed, or their resource usage did.
    WorkerReport {
        /// The worker.
        worker: id::Worker,
        /// The runs that changed.
        changed: Vec<Running>,
    },
    /// A worker does not answer, but its tasks may still run.
    WorkerSilent(id::Worker),
    /// A silent worker answers again before it counts as lost.
    WorkerHeard(id::Worker),
    /// A worker is gone or its lease has provably lapsed, so these runs have ended.
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
    /// A run was certainly not started, or it was idempotent and has ended with its lost worker.
    Refused {
        /// The run.
        run: id::Run,
        /// The worker.
        worker: id::Worker,
        /// The reason.
        code: Code,
        /// The worker's reason, if the worker refused the start.
        refusal: Option<worker::Refusal>,
    },
    /// A limit on a run's processors is in effect.
    Throttled {
        /// The run.
        run: id::Run,
        /// The limit in thousandths of a core.
        millicores: u64,
    },
    /// A run ended; if it completed, the completion is in the log, except for services.
    Finished {
        /// The worker.
        worker: id::Worker,
        /// The run and its end.
        finished: Finished,
    },
    /// A non-idempotent task may have been started before, so it is not started again.
    MaybeStarted(id::Run),
}

/// `Homed` is a job that is homed in the lead's shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Homed {
    /// The job.
    pub job: id::Job,
    /// Its class.
    pub class: Class,
    /// The sequence number of the configuration entry that accepted it.
    pub accepted: u64,
}

/// `WorkerStatus` is a worker that this lead has admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: id::Worker,
    /// Whether it has stopped answering.
    pub silent: bool,
    /// The number of runs it is known to have.
    pub runs: usize,
}
