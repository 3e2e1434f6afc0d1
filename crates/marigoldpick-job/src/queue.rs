//! Queues and their settings.

use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `Policy` holds the adviser's question times and ticket lifetime for a queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The fixed time of a question, in milliseconds.
    pub base_ms: f64,
    /// The additional time for each named worker, in milliseconds.
    pub each_ms: f64,
    /// The time for which a ticket is valid.
    pub valid: Millis,
}

impl Policy {
    /// Returns the adviser's time for a question that names `workers` workers, rounded up.
    #[must_use]
    pub fn span(&self, workers: usize) -> Millis {
        Millis(self.time_ms(workers).ceil() as u64)
    }

    /// Returns the same time in fractional milliseconds.
    #[must_use]
    pub fn time_ms(&self, workers: usize) -> f64 {
        let count = u32::try_from(workers).unwrap_or(u32::MAX);
        self.each_ms
            .mul_add(f64::from(count), self.base_ms)
            .max(0.0)
    }
}

/// `Queue` takes jobs of one kind and determines how they run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The name.
    pub name: Name,
    /// The service whose workers run its tasks.
    pub service: Name,
    /// The priority; zero goes first and may preempt others.
    pub priority: u32,
    /// The number of failed runs of one task after which its job fails.
    pub attempts: u32,
    /// A job is on time within this multiple of its critical path, plus `target`.
    pub stretch: f64,
    /// The additional time that a job may take and still be on time.
    pub target: Millis,
    /// The adviser's policy if only the adviser knows which workers may run a step.
    pub policy: Option<Policy>,
}
