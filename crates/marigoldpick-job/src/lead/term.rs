//! The confirmation of a lead's term, and the end of its orders without one.
//!
//! Load pattern: the lead is paused, or cut off from the store. A successor that hears neither from it nor from a worker
//! relies on its silence from `term_grace` after its last confirmation on.

use marigoldpick_core::prelude::*;

use super::Lead;

impl Lead {
    /// Sets when the claim to the term was made, which is the first confirmation.
    #[must_use]
    pub const fn claimed_at(mut self, at: Millis) -> Self {
        self.confirmed = at;
        self
    }

    /// Records that the term was confirmed at `at`.
    ///
    /// `at` is the send time of a call whose answer shows that no other entry had taken over, or the time at which all
    /// other entries were asked whether they reach the store, if each denied it.
    pub fn confirm(&mut self, at: Millis) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Returns whether the last confirmation is so old that a successor relies on the end of this lead's orders.
    #[must_use]
    pub fn has_expired(&self, now: Millis) -> bool {
        now > self.confirmed + self.settings.term_grace
    }

    /// Returns when the term was last confirmed.
    #[must_use]
    pub const fn confirmed(&self) -> Millis {
        self.confirmed
    }

    /// Returns when an order last extended a lease.
    #[must_use]
    pub const fn last_extension(&self) -> Millis {
        self.last_extension
    }

    /// Extends the lease of a worker from `now` and returns its end by the worker's clock.
    ///
    /// Returns `None` while no reading of the clock is known.
    pub(super) fn extend_lease(&mut self, at: usize, now: Millis) -> Option<Millis> {
        let until = self.workers[at].extend_lease(&self.settings, now)?;
        self.last_extension = now;
        Some(until)
    }
}
