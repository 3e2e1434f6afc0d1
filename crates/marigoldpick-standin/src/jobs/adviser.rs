//! The adviser: which workers a step may run on, and its queue of questions.

use std::collections::BTreeMap;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Part;
use marigoldpick_core::work::port::Ticket;

/// Questions of one caller that may wait.
const QUEUE: usize = 32;

/// `Adviser` answers the questions of each caller one after the other.
#[derive(Clone, Debug)]
pub struct Adviser {
    /// The share of workers in a hundred that are good for a step.
    pub good_percent: u32,
    /// By caller, when each of its questions under way is answered.
    callers: BTreeMap<String, Vec<Millis>>,
}

impl Adviser {
    /// Makes an adviser that finds this share of the workers good, in percent.
    #[must_use]
    pub const fn new(good_percent: u32) -> Self {
        Self {
            good_percent,
            callers: BTreeMap::new(),
        }
    }

    /// Tells whether a worker may run a step; that never changes.
    #[must_use]
    pub fn is_good(&self, part: &Part, worker: &id::Worker) -> bool {
        let hash = format!("{part}{worker}").bytes().fold(0_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        });
        (hash >> 40) % 100 < u64::from(self.good_percent)
    }

    /// Returns the tickets of the good ones among `workers`.
    #[must_use]
    pub fn tickets(&self, part: &Part, workers: &[id::Worker]) -> Vec<Ticket> {
        let good = workers.iter().filter(|worker| self.is_good(part, worker));
        good.map(|worker| Ticket {
            worker: worker.clone(),
            ticket: format!("{part}/{worker}"),
        })
        .collect()
    }

    /// Returns when a question that takes `span` is answered; none if too many wait.
    pub fn ask(&mut self, caller: &str, span: Millis, now: Millis) -> Option<Millis> {
        let queue = self.callers.entry(caller.to_owned()).or_default();
        queue.retain(|end| *end > now);
        if queue.len() >= QUEUE {
            return None;
        }
        let end = queue.last().copied().unwrap_or(now) + span;
        queue.push(end);
        Some(end)
    }
}
