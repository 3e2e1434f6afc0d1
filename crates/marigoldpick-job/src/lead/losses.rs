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
/// The time within which starts or stops must be lost in two failure domains. A relay's connection that stalls delays
/// the answers of one domain alone, and its workers' holds with them, so that probes would only add to the load.
const SPREAD_TIME: Millis = Millis(700);
/// How long the rate stays high after the last loss that showed it in the last starts and stops, whose number varies.
const HIGH_TIME: Millis = Millis(2_000);

/// `Origin` says where an order was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The failure domain of the worker.
    pub domain: id::Domain,
    /// Whether all workers are in this domain.
    pub is_only: bool,
}

/// `Recent` says what an order's outcome means for the last starts and stops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recent {
    /// It does not count.
    Ignored,
    /// The order was answered.
    Answered,
    /// The order was lost, and where, if the worker is still known.
    Lost(Option<Origin>),
}

/// `LossRate` is the recent rate of unanswered orders.
#[derive(Clone, Debug, Default)]
pub struct LossRate {
    orders: u64,
    lost: u64,
    decayed_at: Millis,
    /// The outcomes of the last 128 starts and stops, the last one in the lowest bit; one that was lost is a one.
    recent: u128,
    /// The failure domains of these losses, sorted, and when each had the last one.
    domains: Vec<(id::Domain, Millis)>,
    /// The time until which the rate is high by these outcomes.
    high_until: Millis,
    /// The open orders that have been counted as lost, sorted by number.
    counted: Vec<u64>,
}

impl LossRate {
    /// Records the outcome of an order; one that has been counted as lost before counts no more.
    ///
    /// `recent` is what its outcome means for the last starts and stops.
    pub fn record(
        &mut self,
        (order, number): (&Order, u64),
        lost: bool,
        recent: Recent,
        now: Millis,
    ) {
        if let Ok(at) = self.counted.binary_search(&number) {
            self.counted.remove(at);
            return;
        }
        self.count(lost, now);
        if matches!(order, Order::Start(_) | Order::Stop { .. }) {
            match recent {
                Recent::Ignored | Recent::Lost(None) => {}
                Recent::Answered => self.count_recent(None, now),
                Recent::Lost(Some(origin)) => self.count_recent(Some(&origin), now),
            }
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
    /// Of the orders for a run only the first, with an `origin`, counts among the last ones: the others go to the same
    /// worker, and one that is down must not look like a loss everywhere.
    pub fn record_retry(&mut self, number: u64, origin: Option<&Origin>, now: Millis) {
        if let Err(at) = self.counted.binary_search(&number) {
            self.counted.insert(at, number);
            self.count(true, now);
            if origin.is_some() {
                self.count_recent(origin, now);
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

    /// Counts one of the last starts and stops; `lost` is where it was lost, if it was.
    fn count_recent(&mut self, lost: Option<&Origin>, now: Millis) {
        self.recent = (self.recent << 1) | u128::from(lost.is_some());
        let Some(origin) = lost else { return };
        match self
            .domains
            .binary_search_by(|(have, _)| have.cmp(&origin.domain))
        {
            Ok(at) => self.domains[at].1 = now,
            Err(at) => self.domains.insert(at, (origin.domain.clone(), now)),
        }
        self.domains
            .retain(|(_, last)| now.since(*last) < SPREAD_TIME);
        let is_spread = origin.is_only || self.domains.len() > 1;
        if is_spread && self.recent.count_ones() >= MIN_RECENT_LOST {
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
