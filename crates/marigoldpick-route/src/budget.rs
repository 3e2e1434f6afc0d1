//! The retry budget: limits retries to a share of the first attempts, so that retries can't amplify
//! an overload of the endpoints.

use marigoldpick_core::prelude::*;

/// The most retries that the budget accumulates.
const MAX_TOKENS: f64 = 20.0;
/// Retries per second that are allowed without first attempts, so that a service with little
/// traffic can retry at all. A budget of 0 percent does not allow them.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;

/// `Budget` is a token bucket; each token pays for one retry.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens_per_attempt: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl Budget {
    /// Makes a budget that allows `percent` retries per hundred first attempts.
    #[must_use]
    pub fn new(percent: u32, now: Millis) -> Self {
        Self {
            tokens_per_attempt: f64::from(percent) / 100.0,
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Sets the number of retries per hundred first attempts.
    pub fn set_percent(&mut self, percent: u32) {
        self.tokens_per_attempt = f64::from(percent) / 100.0;
    }

    /// Records a first attempt, which adds its share of a retry.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_attempt).min(MAX_TOKENS);
    }

    /// Takes one token if there is one; returns whether the retry is allowed.
    pub fn take_retry(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Millis) {
        let seconds = now.since(self.refilled_at).0 as f64 / 1_000.0;
        self.refilled_at = now;
        if self.tokens_per_attempt > 0.0 && self.tokens < 1.0 {
            self.tokens = (self.tokens + seconds * MIN_RETRIES_PER_SECOND).min(1.0);
        }
    }
}
