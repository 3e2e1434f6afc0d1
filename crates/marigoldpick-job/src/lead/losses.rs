//! How many orders of late had no answer.
//!
//! Load pattern: a share of all orders gets no answer, on workers that are well. A hold that waits for
//! seconds and is lost keeps the worker's ends from the lead for as long.

use marigoldpick_core::prelude::*;

/// The time after which what was counted counts half.
const DECAY_INTERVAL: Millis = Millis(2_000);
/// The share of orders without an answer that is many, in percent.
const HIGH_LOSS_PERCENT: u64 = 2;
/// The least orders without an answer that are many.
const MIN_LOST: u64 = 4;

/// `Losses` counts orders and those without an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LossRate {
    orders: u64,
    lost: u64,
    decayed_at: Millis,
}

impl LossRate {
    /// Takes in an order that was answered, or was not.
    pub(super) const fn record(&mut self, lost: bool, now: Millis) {
        if now.since(self.decayed_at).0 >= DECAY_INTERVAL.0 {
            self.orders /= 2;
            self.lost /= 2;
            self.decayed_at = now;
        }
        self.orders += 1;
        self.lost += lost as u64;
    }

    /// Tells whether answers get lost.
    pub(super) const fn is_high(&self) -> bool {
        self.lost >= MIN_LOST && self.lost * 100 >= self.orders * HIGH_LOSS_PERCENT
    }
}
