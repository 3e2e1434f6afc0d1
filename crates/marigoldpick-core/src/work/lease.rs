//! The leases under which workers run tasks, as a lead hands them over to its successor.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id;

/// `Bound` limits how much longer the runs on a worker may last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// The worker.
    pub worker: id::Worker,
    /// The time in which all its runs end unless a later lead renews its lease.
    pub remaining: Millis,
    /// The time since which they have ended, if they have.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lapsed: Millis,
    /// The start of the incarnation that the bound holds for; see [`Node::born`](super::port::Node::born).
    #[serde(default)]
    pub born: u64,
    /// Whether that incarnation may have carried out orders to a former one.
    #[serde(default)]
    pub has_restarted: bool,
}

impl Bound {
    /// Creates the bound of a worker whose runs end at `lapse`, as it is at `now`.
    #[must_use]
    pub fn new(worker: id::Worker, lapse: Millis, now: Millis) -> Self {
        Self {
            worker,
            remaining: lapse.since(now),
            lapsed: now.since(lapse),
            born: 0,
            has_restarted: false,
        }
    }

    /// Limits the bound to one incarnation of the worker.
    #[must_use]
    pub fn of_incarnation(mut self, born: u64, has_restarted: bool) -> Self {
        self.born = born;
        self.has_restarted = has_restarted;
        self
    }

    /// Returns when the runs end, if the bound is as it is at `now`.
    #[must_use]
    pub fn lapse(&self, now: Millis) -> Millis {
        now + self.remaining - self.lapsed
    }

    /// Returns the bound as it is after `elapsed`.
    #[must_use]
    pub fn after(&self, elapsed: Millis) -> Self {
        Self {
            remaining: self.remaining.since(elapsed),
            lapsed: self.lapsed + elapsed.since(self.remaining),
            ..self.clone()
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
const fn is_zero(span: &Millis) -> bool {
    span.0 == 0
}

/// `Handover` is what a lead knows of the workers' leases after the end of its term.
///
/// The times count from the moment at which the handover is made, and include those of earlier leads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The time in which all runs end on a worker that `bounds` does not name.
    pub longest: Millis,
    /// The workers whose runs end earlier, sorted by worker.
    pub bounds: Vec<Bound>,
    /// Whether the store has recorded all runs of the lead and of those before it.
    #[serde(default)]
    pub settled: bool,
}

impl Handover {
    /// Returns the time in which all runs on a worker end.
    #[must_use]
    pub fn remaining(&self, worker: &id::Worker) -> Millis {
        let found = self
            .bounds
            .binary_search_by(|bound| bound.worker.cmp(worker));
        found.map_or(self.longest, |at| self.bounds[at].remaining)
    }
}
