//! The recent rate of orders that got no answer.
//!
//! Load pattern: a share of all orders gets no answer although the workers are healthy. A lost hold
//! that waits for seconds delays the worker's reports by that time.

use marigoldpick_core::prelude::*;

/// The interval after which past counts are halved.
const DECAY_INTERVAL: Millis = Millis(2_000);
/// The least share of unanswered orders that counts as high, in percent.
const HIGH_LOSS_PERCENT: u64 = 2;
/// The least number of unanswered orders that counts as high.
const MIN_LOST: u64 = 4;

/// `LossRate` counts orders and unanswered orders with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LossRate {
    orders: u64,
    lost: u64,
    decayed_at: Millis,
}

impl LossRate {
    /// Records an order, and whether its answer was lost.
    pub(super) const fn record(&mut self, lost: bool, now: Millis) {
        if now.since(self.decayed_at).0 >= DECAY_INTERVAL.0 {
            self.orders /= 2;
            self.lost /= 2;
            self.decayed_at = now;
        }
        self.orders += 1;
        self.lost += lost as u64;
    }

    /// Returns whether the loss rate is high.
    pub(super) const fn is_high(&self) -> bool {
        self.lost >= MIN_LOST && self.lost * 100 >= self.orders * HIGH_LOSS_PERCENT
    }
}
