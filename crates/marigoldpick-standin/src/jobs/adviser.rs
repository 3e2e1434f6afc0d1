//! Simulates the adviser, which decides on which workers a step may run, and its queues.

use std::collections::BTreeMap;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Part;
use marigoldpick_core::work::port::Ticket;

/// The most questions of one caller that may be queued.
const MAX_QUEUED: usize = 32;

/// `Adviser` answers the questions of each caller one at a time.
#[derive(Clone, Debug)]
pub struct Adviser {
    /// The percentage of workers that are good for a step.
    pub good_percent: u32,
    /// The times at which each caller's pending questions are answered.
    callers: BTreeMap<String, Vec<Millis>>,
}

impl Adviser {
    /// Creates an adviser that finds this percentage of the workers good.
    #[must_use]
    pub const fn new(good_percent: u32) -> Self {
        Self {
            good_percent,
            callers: BTreeMap::new(),
        }
    }

    /// Returns whether a worker may run a step; the answer never changes.
    #[must_use]
    pub fn is_good(&self, part: &Part, worker: &id::Worker) -> bool {
        let hash = format!("{part}{worker}").bytes().fold(0_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        });
        (hash >> 40) % 100 < u64::from(self.good_percent)
    }

    /// Returns the tickets of the good workers among `workers`.
    #[must_use]
    pub fn tickets(&self, part: &Part, workers: &[id::Worker]) -> Vec<Ticket> {
        let good = workers.iter().filter(|worker| self.is_good(part, worker));
        good.map(|worker| Ticket {
            worker: worker.clone(),
            ticket: format!("{part}/{worker}"),
        })
        .collect()
    }

    /// Queues a question that takes `span`, and returns when it is answered.
    ///
    /// Returns none when the caller's queue is full.
    pub fn ask(&mut self, caller: &str, span: Millis, now: Millis) -> Option<Millis> {
        let queue = self.callers.entry(caller.to_owned()).or_default();
        queue.retain(|end| *end > now);
        if queue.len() >= MAX_QUEUED {
            return None;
        }
        let end = queue.last().copied().unwrap_or(now) + span;
        queue.push(end);
        Some(end)
    }
}
