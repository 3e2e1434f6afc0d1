//! Backoff for calls to the store: jittered exponential waits with a retry budget.

use marigoldpick_core::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::settings::Settings;

/// The doublings after which the wait no longer grows.
const MAX_DOUBLINGS: u32 = 16;
/// Consecutive failures at which the store counts as unavailable.
const FAILURES_UNTIL_DOWN: u32 = 2;

/// `Backoff` determines when the store may be called again.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_wait: Millis,
    max_wait: Millis,
    refill_interval: Millis,
    budget: u32,
    saved: u32,
    earned_at: Millis,
    failures: u32,
    ends_at: Millis,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff that permits a call at once.
    #[must_use]
    pub fn new(settings: &Settings, seed: u64) -> Self {
        Self {
            min_wait: settings.backoff_ms,
            max_wait: settings.backoff_most_ms,
            refill_interval: settings.retry_ms,
            budget: settings.retries,
            saved: settings.retries,
            earned_at: Millis::ZERO,
            failures: 0,
            ends_at: Millis::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns whether the wait is over and a call may be made.
    #[must_use]
    pub fn has_elapsed(&self, now: Millis) -> bool {
        now >= self.ends_at
    }

    /// Returns whether the store counts as unavailable, after several consecutive failures.
    #[must_use]
    pub const fn is_store_down(&self) -> bool {
        self.failures >= FAILURES_UNTIL_DOWN
    }

    /// Returns when the next call may be made.
    #[must_use]
    pub const fn ends_at(&self) -> Millis {
        self.ends_at
    }

    /// Records a call that was answered.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.ends_at = Millis::ZERO;
    }

    /// Records a failed call and sets the wait before the next one.
    ///
    /// The wait is random within a span that doubles with each failure. Without saved retries the
    /// next call also waits until one is earned.
    pub fn record_failure(&mut self, now: Millis) {
        self.refill_budget(now);
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let span = self.min_wait.times(1 << doublings).min(self.max_wait);
        self.failures = self.failures.saturating_add(1);
        let wait = Millis(self.rng.random_range(span.0 / 2..=span.0));
        self.ends_at = now + wait;
        if self.saved == 0 {
            self.ends_at = self.ends_at.max(self.earned_at + self.refill_interval);
        }
        self.saved = self.saved.saturating_sub(1);
    }

    /// Returns a random span up to `most`.
    pub fn jitter(&mut self, most: Millis) -> Millis {
        Millis(self.rng.random_range(0..=most.0))
    }

    fn refill_budget(&mut self, now: Millis) {
        let earned = now.since(self.earned_at).0 / self.refill_interval.0.max(1);
        if earned > 0 {
            self.earned_at = now;
            let earned = u32::try_from(earned).unwrap_or(u32::MAX);
            self.saved = self.saved.saturating_add(earned).min(self.budget);
        }
    }
}
