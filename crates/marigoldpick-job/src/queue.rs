//! Queues: how the configuration says that their jobs are run.

use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `Policy` is what a question to the adviser of a queue takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The time of a question, in milliseconds.
    pub base_ms: f64,
    /// The time for each worker that is named, in milliseconds.
    pub each_ms: f64,
    /// How long a ticket is valid.
    pub valid: Millis,
}

impl Policy {
    /// Returns how long the adviser works on a question that names `workers` workers.
    #[must_use]
    pub fn span(&self, workers: usize) -> Millis {
        Millis(self.time_ms(workers).ceil() as u64)
    }

    /// Returns the same in milliseconds and their fractions.
    #[must_use]
    pub fn time_ms(&self, workers: usize) -> f64 {
        let count = u32::try_from(workers).unwrap_or(u32::MAX);
        self.each_ms
            .mul_add(f64::from(count), self.base_ms)
            .max(0.0)
    }
}

/// `Queue` is where callers hand in jobs of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The name.
    pub name: Name,
    /// The service whose workers run its tasks.
    pub service: Name,
    /// Zero goes first and may preempt others.
    pub priority: u32,
    /// How often a task may end as failed.
    pub attempts: u32,
    /// A job is on time within this many times its longest chain of work.
    pub stretch: f64,
    /// What a job that is on time may take in addition.
    pub target: Millis,
    /// Which workers may run a step is known to the adviser alone.
    pub policy: Option<Policy>,
}
