//! Runs: starts of tasks that hold room on a worker.

use marigoldpick_core::prelude::*;

use crate::size::Size;

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
    /// What it holds on the worker.
    pub held: Size,
    /// How far it has come.
    pub phase: Phase,
    /// When it was started, as far as known.
    pub since: Millis,
    /// A limit on its processors that is asked for or in force.
    pub limit: Option<u64>,
    /// When the end of displacement was asked for, if it gives way.
    pub displaced: bool,
}

impl Run {
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
#[derive(Clone, Debug, Default)]
pub struct Table {
    runs: Vec<Option<Run>>,
    free: Vec<u32>,
}

impl Table {
    /// Adds a run and returns its slot.
    ///
    /// # Panics
    /// Panics beyond 2^32 runs.
    pub fn add(&mut self, run: Run) -> u32 {
        if let Some(slot) = self.free.pop() {
            self.runs[slot as usize] = Some(run);
            return slot;
        }
        self.runs.push(Some(run));
        u32::try_from(self.runs.len() - 1).expect("fewer than 2^32 runs")
    }

    /// Removes a run.
    pub fn remove(&mut self, slot: u32) -> Option<Run> {
        let run = self.runs[slot as usize].take();
        if run.is_some() {
            self.free.push(slot);
        }
        run
    }

    /// Returns a run.
    ///
    /// # Panics
    /// Panics when the slot is free.
    #[must_use]
    pub fn get(&self, slot: u32) -> &Run {
        self.runs[slot as usize]
            .as_ref()
            .expect("the slot is taken")
    }

    /// Returns a run to be changed.
    ///
    /// # Panics
    /// Panics when the slot is free.
    pub fn get_mut(&mut self, slot: u32) -> &mut Run {
        self.runs[slot as usize]
            .as_mut()
            .expect("the slot is taken")
    }

    /// Returns the count of runs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.runs.len() - self.free.len()
    }

    /// Tells whether there is no run.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Iterates over the runs with their slots.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Run)> {
        (0u32..)
            .zip(&self.runs)
            .filter_map(|(slot, run)| run.as_ref().map(|run| (slot, run)))
    }
}
