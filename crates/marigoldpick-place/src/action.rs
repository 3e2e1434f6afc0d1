//! Provides the actions that the scheduler requests from the shard's lead.

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker;

/// `Action` is one output of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts a run; answered by `Started`, `Refused` or `MaybeStarted`.
    Start {
        /// The worker.
        worker: id::Worker,
        /// The task.
        spec: worker::Spec,
    },
    /// Stops a run gracefully; `Finished` reports its end.
    Stop {
        /// The worker.
        worker: id::Worker,
        /// The run.
        run: id::Run,
        /// How long the run may take to end.
        grace: Millis,
    },
    /// Stops a run after a checkpoint; `Finished` reports its end.
    Checkpoint {
        /// The worker.
        worker: id::Worker,
        /// The run.
        run: id::Run,
    },
    /// Sets a run's processor limit, to throttle it or to end a throttle; answered by `Throttled`.
    Throttle {
        /// The worker.
        worker: id::Worker,
        /// The run.
        run: id::Run,
        /// The limit in thousandths of a core.
        millicores: u64,
    },
    /// Gives up a task, which is not started again.
    GiveUp {
        /// The task.
        task: id::Task,
        /// The reason.
        code: Code,
    },
    /// Reports that all tasks of the job's range in this shard have ended.
    JobEnded {
        /// The job.
        job: id::Job,
        /// Number of completed tasks.
        completed: u32,
        /// Number of tasks that were given up.
        failed: u32,
    },
    /// Adds an event to the time line.
    Event {
        /// The name of the event.
        what: &'static str,
        /// The task, job or worker concerned.
        about: String,
        /// A description for operators.
        note: String,
    },
}
