//! Runs: starts of tasks that hold room on a worker.

use marigoldpick_core::prelude::*;

use crate::kind::Waiter;
use crate::size::Size;
use crate::slab::Slab;

/// `Phase` is how far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The start was asked for and is unanswered.
    Starting,
    /// It runs.
    Running,
    /// A stop or a checkpoint was asked for.
    Stopping,
    /// The worker no longer lists it and its end was not told, since this time.
    Missing(Millis),
}

/// `Run` is one start of a task.
#[derive(Clone, Debug)]
pub struct Run {
    /// The job's name, also when the job is not known.
    pub name: id::Job,
    /// The job's slot, if the job is known.
    pub job: Option<u32>,
    /// The task's index.
    pub index: u32,
    /// The number of the start.
    pub attempt: u32,
    /// The worker's slot.
    pub worker: u32,
    /// The team's slot.
    pub team: u32,
    /// What it holds on the worker.
    pub held: Size,
    /// How far it has come.
    pub phase: Phase,
    /// When it was started, as far as known.
    pub since: Millis,
    /// A limit on its processors that is asked for or in force.
    pub limit: Option<u64>,
    /// The job that it gives way to, if it does.
    pub displaced: Option<Waiter>,
    /// A number that no other run has.
    pub serial: u64,
    /// Whether its worker counts it as young.
    pub young: bool,
}

impl Run {
    /// Tells whether this is the run with an identity.
    #[must_use]
    pub fn is(&self, id: &id::Run) -> bool {
        self.index == id.task.index && self.attempt == id.attempt && self.name == id.task.job
    }

    /// Returns the run's identity.
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
