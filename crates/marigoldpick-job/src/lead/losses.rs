//! The recent rate of orders that got no answer.
//!
//! Load pattern: from one second to the next a share of all orders gets no answer although the workers are healthy. A
//! lost hold that waits for seconds delays the worker's reports by that time.
//!
//! Two counts decide. One is of all orders, and lost holds come into it seconds late. The other is of the last starts
//! and stops, which are sent again soon after they are lost; it is kept where orders are repeated.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::Order;

/// The interval after which past counts of all orders are halved.
const DECAY_INTERVAL: Millis = Millis(2_000);
/// The least share of unanswered orders that counts as high, in percent.
const HIGH_LOSS_PERCENT: u64 = 2;
/// The least number of unanswered orders that counts as high.
const MIN_LOST: u64 = 4;
/// The least number of unanswered ones among the last 128 starts and stops that counts as high: more than 2%, and
/// reached within 0.7 s, the slack of an urgent job, where 200 are sent in a second and one in twenty is lost.
const MIN_RECENT_LOST: u32 = 3;
/// How long the rate stays high after the last loss that showed it in the last starts and stops, whose number varies.
const HIGH_TIME: Millis = Millis(2_000);

/// `LossRate` is the recent rate of unanswered orders.
#[derive(Clone, Debug, Default)]
pub struct LossRate {
    orders: u64,
    lost: u64,
    decayed_at: Millis,
    /// The outcomes of the last 128 starts and stops, the last one in the lowest bit; one that was lost is a one.
    recent: u128,
    /// The time until which the rate is high by these outcomes.
    high_until: Millis,
    /// The open orders that have been counted as lost, sorted by number.
    counted: Vec<u64>,
}

impl LossRate {
    /// Records the outcome of an order; one that has been counted as lost before counts no more.
    ///
    /// `is_early` says whether losses are also recorded before orders time out.
    pub fn record(
        &mut self,
        (order, number): (&Order, u64),
        lost: bool,
        is_early: bool,
        now: Millis,
    ) {
        if let Ok(at) = self.counted.binary_search(&number) {
            self.counted.remove(at);
            return;
        }
        self.count(lost, now);
        if is_early && matches!(order, Order::Start(_) | Order::Stop { .. }) {
            self.count_recent(lost, now);
        }
    }

    /// Records that a hold is overdue, which counts as lost.
    pub fn record_overdue_hold(&mut self, number: u64, now: Millis) {
        if let Err(at) = self.counted.binary_search(&number) {
            self.counted.insert(at, number);
            self.count(true, now);
        }
    }

    /// Records that a start or a stop is sent again for lack of an answer, which counts as lost.
    ///
    /// Of the orders for a run only the first counts among the last ones: the others go to the same worker, and one
    /// that is down must not look like a loss everywhere.
    pub fn record_retry(&mut self, number: u64, is_first: bool, now: Millis) {
        if let Err(at) = self.counted.binary_search(&number) {
            self.counted.insert(at, number);
            self.count(true, now);
            if is_first {
                self.count_recent(true, now);
            }
        }
    }

    const fn count(&mut self, lost: bool, now: Millis) {
        if now.since(self.decayed_at).0 >= DECAY_INTERVAL.0 {
            self.orders /= 2;
            self.lost /= 2;
            self.decayed_at = now;
        }
        self.orders += 1;
        self.lost += lost as u64;
    }

    fn count_recent(&mut self, lost: bool, now: Millis) {
        self.recent = (self.recent << 1) | u128::from(lost);
        if lost && self.recent.count_ones() >= MIN_RECENT_LOST {
            self.high_until = now + HIGH_TIME;
        }
    }

    /// Returns whether the loss rate is high.
    #[must_use]
    pub const fn is_high(&self, now: Millis) -> bool {
        let is_high = self.lost >= MIN_LOST && self.lost * 100 >= self.orders * HIGH_LOSS_PERCENT;
        is_high || now.0 < self.high_until.0
    }
}
