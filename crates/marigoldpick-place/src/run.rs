//! Provides runs, the attempts of tasks that hold resources on a worker.

use marigoldpick_core::prelude::*;

use crate::kind::Waiter;
use crate::size::Size;
use crate::slab::Slab;

/// `Phase` is the phase in the life of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The start was requested and is not answered yet.
    Starting,
    /// The run is confirmed to be running.
    Running,
    /// A stop or a checkpoint was requested.
    Stopping,
    /// Since this time the worker no longer lists the run, and its end was not reported.
    Missing(Millis),
}

/// `Run` is one attempt of a task.
#[derive(Clone, Debug)]
pub struct Run {
    /// The name of the job, even if the job is not known.
    pub name: id::Job,
    /// The slot of the job, if the job is known.
    pub job: Option<u32>,
    /// The index of the task.
    pub index: u32,
    /// The number of the attempt.
    pub attempt: u32,
    /// The slot of the worker.
    pub worker: u32,
    /// The slot of the team.
    pub team: u32,
    /// The resources that the run holds on the worker.
    pub held: Size,
    /// The phase.
    pub phase: Phase,
    /// The start time, as far as known.
    pub since: Millis,
    /// The processor limit in millicores that is requested or in force.
    pub limit: Option<u64>,
    /// The job for which the run is being displaced, if any.
    pub displaced: Option<Waiter>,
    /// A number that identifies the run uniquely, since slots are reused.
    pub serial: u64,
    /// Whether the run counts among its worker's young runs.
    pub young: bool,
}

impl Run {
    /// Returns whether this is the run with the given id.
    #[must_use]
    pub fn is(&self, id: &id::Run) -> bool {
        self.index == id.task.index && self.attempt == id.attempt && self.name == id.task.job
    }

    /// Returns the id of the run.
    #[must_use]
    pub fn id(&self) -> id::Run {
        id::Run {
            task: id::Task::new(self.name.clone(), self.index),
            attempt: self.attempt,
        }
    }
}

/// `Table` holds the runs by slot.
pub type Table = Slab<Run>;
