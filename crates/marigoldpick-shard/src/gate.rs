//! Back-off towards the store: jittered waits, and a budget of retries.

use marigoldpick_core::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::settings::Settings;

/// The doublings after which the wait no longer grows.
const MOST_DOUBLINGS: u32 = 16;
/// Consecutive failures at which the store counts as out.
const OUT: u32 = 2;

/// `Gate` says when the store may be called again.
#[derive(Clone, Debug)]
pub struct Gate {
    least: Millis,
    most: Millis,
    earn: Millis,
    budget: u32,
    saved: u32,
    earned_at: Millis,
    failures: u32,
    open_at: Millis,
    rng: ChaCha8Rng,
}

impl Gate {
    /// Makes an open gate.
    #[must_use]
    pub fn new(settings: &Settings, seed: u64) -> Self {
        Self {
            least: settings.backoff_ms,
            most: settings.backoff_most_ms,
            earn: settings.retry_ms,
            budget: settings.retries,
            saved: settings.retries,
            earned_at: Millis::ZERO,
            failures: 0,
            open_at: Millis::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Tells whether a call may be made.
    #[must_use]
    pub fn is_open(&self, now: Millis) -> bool {
        now >= self.open_at
    }

    /// Tells whether the store counts as out: several calls in a row have failed.
    #[must_use]
    pub const fn is_out(&self) -> bool {
        self.failures >= OUT
    }

    /// Returns when the next call may be made.
    #[must_use]
    pub const fn open_at(&self) -> Millis {
        self.open_at
    }

    /// Notes a call that was answered.
    pub const fn success(&mut self) {
        self.failures = 0;
        self.open_at = Millis::ZERO;
    }

    /// Notes a call that failed: the next waits for a random part of a growing span, and for the
    /// budget.
    pub fn failure(&mut self, now: Millis) {
        self.earn(now);
        let doublings = self.failures.min(MOST_DOUBLINGS);
        let span = self.least.times(1 << doublings).min(self.most);
        self.failures = self.failures.saturating_add(1);
        let wait = Millis(self.rng.random_range(span.0 / 2..=span.0));
        self.open_at = now + wait;
        if self.saved == 0 {
            self.open_at = self.open_at.max(self.earned_at + self.earn);
        }
        self.saved = self.saved.saturating_sub(1);
    }

    /// Returns a random span up to `most`.
    pub fn jitter(&mut self, most: Millis) -> Millis {
        Millis(self.rng.random_range(0..=most.0))
    }

    fn earn(&mut self, now: Millis) {
        let earned = now.since(self.earned_at).0 / self.earn.0.max(1);
        if earned > 0 {
            self.earned_at = now;
            let earned = u32::try_from(earned).unwrap_or(u32::MAX);
            self.saved = self.saved.saturating_add(earned).min(self.budget);
        }
    }
}
