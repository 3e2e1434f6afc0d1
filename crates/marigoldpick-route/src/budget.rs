//! The retry budget: retries are a share of first attempts, so that they can't multiply a brown-out.

use marigoldpick_core::prelude::*;

/// Retries that may be saved up.
const BURST: f64 = 20.0;
/// Retries a second that are allowed without traffic, so that a quiet service can retry at all.
const TRICKLE: f64 = 1.0;

/// `Budget` counts what retries are allowed.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
    filled: Millis,
}

impl Budget {
    /// Makes a budget of `percent` retries per hundred first attempts.
    #[must_use]
    pub fn new(percent: u32, now: Millis) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            tokens: 1.0,
            filled: now,
        }
    }

    /// Sets the share of retries.
    pub fn set(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(BURST);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self, now: Millis) -> bool {
        self.trickle(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn trickle(&mut self, now: Millis) {
        let seconds = now.since(self.filled).0 as f64 / 1_000.0;
        self.filled = now;
        if self.share > 0.0 && self.tokens < 1.0 {
            self.tokens = (self.tokens + seconds * TRICKLE).min(1.0);
        }
    }
}
