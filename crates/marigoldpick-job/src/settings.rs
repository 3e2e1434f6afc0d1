//! Timeouts and limits of the job scheduler.

use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::rank::Order;

/// How much longer a lease may last on a worker than the lead intended, because the worker's clock
/// drifts between two readings.
const LEASE_SLACK: Millis = Millis(300);
/// The time beyond the longest stop that a worker may need to free its capacity.
const STOP_MARGIN: Millis = Millis(100);

/// `Settings` holds the timeouts and limits of a lead.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The lease of a worker.
    ///
    /// It is at most the platform's limit, and longer than most network partitions.
    pub lease: Millis,
    /// The longest lease that a worker accepts, by the platform's contract; it shortens longer ones.
    pub longest_lease: Millis,
    /// The longest time after which a worker still carries out an order that got no answer.
    pub order_delay: Millis,
    /// The lease of a worker with lasting tasks.
    ///
    /// Lasting tasks must run again within six seconds of the worker's loss, including the time for
    /// advice and start.
    pub lasting_lease: Millis,
    /// The longest time that a stop takes on a worker, by the platform's contract.
    pub stop: Millis,
    /// The run time away from a task's data, in thousandths of that near it.
    ///
    /// The platform's contract sets it.
    pub remote_permille: u64,
    /// The longest wait of a hold for the next end, by the platform's contract.
    pub hold_wait: Millis,
    /// The least time between two holds of a worker.
    ///
    /// It lets one report cover several ends.
    pub hold_gap: Millis,
    /// The backoff after a hold without an answer.
    pub hold_retry: Millis,
    /// How long after a start or a stop without an answer it is sent again; zero for never.
    ///
    /// Healthy workers answer within a few milliseconds beyond the round trip.
    pub start_retry: Millis,
    /// How long a hold's answer may be late, beyond its wait, before a probe is sent beside it; zero for ever.
    pub hold_overdue: Millis,
    /// The least time between two commits, which groups changes.
    pub commit_gap: Millis,
    /// The backoff before a commit without an answer is retried.
    pub commit_retry: Millis,
    /// How long a lead may renew leases after the store last confirmed its term.
    pub term_grace: Millis,
    /// The time within which an acknowledged cancel must take effect, by the platform's contract.
    ///
    /// A lead whose knowledge of submissions and cancels is older orders no recorded starts.
    pub inbox_bound: Millis,
    /// The margin before expiry in which a ticket is no longer used.
    ///
    /// It is the time that a start takes to reach the worker.
    pub ticket_margin: Millis,
    /// How long the record of an ended job is kept.
    pub retention: Millis,
    /// The most workers in one question to the adviser, by the platform's contract.
    pub advice_most: usize,
    /// The slowest rate of a worker's clock, in thousandths of the true rate.
    pub clock_permille: u64,
    /// What decides between waiting work of different jobs.
    pub order: Order,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Millis(6_000),
            longest_lease: Millis(6_000),
            order_delay: Millis(12_000),
            lasting_lease: Millis(4_500),
            stop: Millis(900),
            remote_permille: 2_000,
            hold_wait: Millis(2_000),
            hold_gap: Millis(100),
            hold_retry: Millis(250),
            start_retry: Millis::ZERO,
            hold_overdue: Millis::ZERO,
            commit_gap: Millis(20),
            commit_retry: Millis(100),
            term_grace: Millis(3_000),
            inbox_bound: Millis(3_000),
            ticket_margin: Millis(250),
            retention: Millis(150_000),
            advice_most: 100,
            clock_permille: 980,
            order: Order::Priority,
        }
    }
}

impl Settings {
    /// Returns whether orders without an answer are sent again.
    #[must_use]
    pub const fn repeats_orders(&self) -> bool {
        self.start_retry.0 > 0 || self.hold_overdue.0 > 0
    }

    /// Returns whether orders of all kinds are repeated, so that their losses show before they time out.
    #[must_use]
    pub const fn detects_losses_early(&self) -> bool {
        self.start_retry.0 > 0 && self.hold_overdue.0 > 0
    }

    /// Returns how long a run may occupy its worker after its stop is answered.
    #[must_use]
    pub const fn stop_bound(&self) -> Millis {
        Millis(self.longest_true_span(self.stop).0 + STOP_MARGIN.0)
    }

    /// Returns the longest true time that an earlier lead's lease may last.
    ///
    /// No lead grants longer leases than this one does.
    #[must_use]
    pub fn inherited_lease(&self) -> Millis {
        let given = self.lease + LEASE_SLACK;
        self.longest_true_span(self.longest_lease.min(given))
    }

    /// Returns the longest true time for which an order to a former incarnation extends the lease of a worker.
    #[must_use]
    pub const fn restart_lease(&self) -> Millis {
        self.longest_true_span(self.longest_lease)
    }

    /// Returns the longest true time in which a worker's clock advances by `span`.
    #[must_use]
    pub const fn longest_true_span(&self, span: Millis) -> Millis {
        Millis(span.0.saturating_mul(1_000) / self.clock_permille + 1)
    }
}
