//! Spans and limits of the scheduler of jobs.

use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What a lease may be longer on a worker than the lead meant: its clock drifts between two readings.
const LEASE_SLACK: Millis = Millis(300);
/// What a worker may need beyond the longest stop until it has freed the room.
const STOP_MARGIN: Millis = Millis(100);

/// `Settings` holds the spans and limits of a lead.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The lease of a worker: at most the platform's, and longer than most cuts.
    pub lease: Millis,
    /// The longest lease that an earlier lead may have given, by the platform's contract.
    pub longest_lease: Millis,
    /// The lease of a worker with lasting tasks, which have to run again within six seconds of its
    /// loss, the time for advice and start included.
    pub lasting_lease: Millis,
    /// The longest time that a stop takes on a worker, by the platform's contract.
    pub stop: Millis,
    /// How much slower a task is away from its data, in thousandths, by the platform's contract.
    pub remote_permille: u64,
    /// The longest wait of a hold for the next end, by the platform's contract.
    pub hold_wait: Millis,
    /// The least time between two holds of a worker, so that ends are read in groups.
    pub hold_gap: Millis,
    /// The wait after a hold that was not answered.
    pub hold_retry: Millis,
    /// The least time between two commits, so that changes are written in groups.
    pub commit_gap: Millis,
    /// The wait before a commit without an answer is tried again.
    pub commit_retry: Millis,
    /// How long a lead may renew leases after it last confirmed its term with the store.
    pub term_grace: Millis,
    /// How long before a ticket's end it is no longer used: the way of a start to the worker.
    pub ticket_margin: Millis,
    /// How long the record of a job that is over is kept.
    pub retention: Millis,
    /// The most worker names in one question to the adviser, by the platform's contract.
    pub advice_most: usize,
    /// The slowest rate of a worker's clock, in thousandths of the true rate.
    pub clock_permille: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Millis(6_000),
            longest_lease: Millis(6_000),
            lasting_lease: Millis(4_500),
            stop: Millis(900),
            remote_permille: 2_000,
            hold_wait: Millis(2_000),
            hold_gap: Millis(100),
            hold_retry: Millis(250),
            commit_gap: Millis(20),
            commit_retry: Millis(100),
            term_grace: Millis(3_000),
            ticket_margin: Millis(250),
            retention: Millis(150_000),
            advice_most: 100,
            clock_permille: 980,
        }
    }
}

impl Settings {
    /// Returns how long after its answer a stopped run may still take room.
    #[must_use]
    pub const fn stop_bound(&self) -> Millis {
        Millis(self.longest_true_span(self.stop).0 + STOP_MARGIN.0)
    }

    /// Returns the longest true time for which an earlier lead's lease may keep a worker's runs: leads
    /// give no longer ones than this one does.
    #[must_use]
    pub fn inherited_lease(&self) -> Millis {
        let given = self.lease + LEASE_SLACK;
        self.longest_true_span(self.longest_lease.min(given))
    }

    /// Returns the longest true time in which a worker's clock advances by `span`.
    #[must_use]
    pub const fn longest_true_span(&self, span: Millis) -> Millis {
        Millis(span.0.saturating_mul(1_000) / self.clock_permille + 1)
    }
}
