//! How many orders of late had no answer.
//!
//! Load pattern: a share of all orders gets no answer, on workers that are well. A hold that waits for
//! seconds and is lost keeps the worker's ends from the lead for as long.

use marigoldpick_core::prelude::*;

/// The time after which what was counted counts half.
const HALF_LIFE: Millis = Millis(2_000);
/// The share of orders without an answer that is many, in percent.
const MANY_PERCENT: u64 = 2;
/// The least orders without an answer that are many.
const LEAST: u64 = 4;

/// `Losses` counts orders and those without an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Losses {
    orders: u64,
    lost: u64,
    since: Millis,
}

impl Losses {
    /// Takes in an order that was answered, or was not.
    pub(super) const fn note(&mut self, lost: bool, now: Millis) {
        if now.since(self.since).0 >= HALF_LIFE.0 {
            self.orders /= 2;
            self.lost /= 2;
            self.since = now;
        }
        self.orders += 1;
        self.lost += lost as u64;
    }

    /// Tells whether answers get lost.
    pub(super) const fn are_many(&self) -> bool {
        self.lost >= LEAST && self.lost * 100 >= self.orders * MANY_PERCENT
    }
}
