//! Actions: what the scheduler asks the shard's lead to do.

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker;

/// `Action` is one output of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A run is to be started; answered by `Started`, `Refused` or `MaybeStarted`.
    Start {
        /// The worker.
        worker: id::Worker,
        /// The task.
        spec: worker::Spec,
    },
    /// A run is to be stopped gracefully; its end is told by `Finished`.
    Stop {
        /// The worker.
        worker: id::Worker,
        /// The run.
        run: id::Run,
        /// How long it may take to end.
        grace: Millis,
    },
    /// A run is to be stopped after a checkpoint; its end is told by `Finished`.
    Checkpoint {
        /// The worker.
        worker: id::Worker,
        /// The run.
        run: id::Run,
    },
    /// A run's processors are to be limited; answered by `Throttled`.
    Throttle {
        /// The worker.
        worker: id::Worker,
        /// The run.
        run: id::Run,
        /// The limit in thousandths of a core.
        millicores: u64,
    },
    /// A task will not be started again.
    GiveUp {
        /// The task.
        task: id::Task,
        /// Why.
        code: Code,
    },
    /// All tasks of the job's range in this shard have ended.
    JobEnded {
        /// The job.
        job: id::Job,
        /// Tasks that were completed.
        completed: u32,
        /// Tasks that were given up.
        failed: u32,
    },
    /// Something for the time line.
    Event {
        /// What happened, in a word.
        what: &'static str,
        /// The task, job or worker it is about.
        about: String,
        /// More, for people.
        note: String,
    },
}
