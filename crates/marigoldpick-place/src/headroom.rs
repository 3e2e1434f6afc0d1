//! Provides the headroom: room that is kept free so that urgent tasks start without displacement.

use marigoldpick_core::prelude::*;

use crate::size::Size;

/// Time constant of the exponential decay of arrivals.
const DECAY_SPAN: Millis = Millis::from_secs(300);
/// Ratio of the headroom to the expected arrivals.
const SAFETY_FACTOR: f64 = 3.0;
/// Weight of arrivals below which no room is kept.
const MIN_WEIGHT: f64 = 0.01;
/// At most one in this many slots of the shard is kept free.
const SLOTS_PER_KEPT_SLOT: u32 = 50;

/// `Headroom` computes from urgent arrivals how many slots to keep free.
#[derive(Clone, Copy, Debug, Default)]
pub struct Headroom {
    size: Size,
    weight: f64,
    decayed_at: Millis,
    slots: u32,
}

impl Headroom {
    /// Records urgent arrivals; returns whether the slot size has changed.
    pub fn record_arrivals(&mut self, size: &Size, count: u32, now: Millis) -> bool {
        self.decay(now);
        self.weight += f64::from(count);
        let before = self.size;
        self.size = self.size.max(size);
        self.size != before
    }

    /// Recomputes the slots to keep free in a shard of size `total`.
    ///
    /// `span` is the time for whose arrivals room is kept, `waiting` the weight of waiting time. Returns
    /// whether urgent work has ceased.
    pub fn refresh(&mut self, span: Millis, waiting: f64, total: &Size, now: Millis) -> bool {
        self.decay(now);
        if self.weight < MIN_WEIGHT {
            let ceased = self.size != Size::default();
            *self = Self::default();
            return ceased;
        }
        let expected = self.weight * as_f64(span) / as_f64(DECAY_SPAN);
        let wanted = (expected * SAFETY_FACTOR * waiting)
            .ceil()
            .max(waiting.ceil());
        let most = total.count_fitting(&self.size, u32::MAX) / SLOTS_PER_KEPT_SLOT;
        self.slots = (wanted as u32).min(most);
        false
    }

    /// Returns the size of a slot.
    #[must_use]
    pub const fn size(&self) -> &Size {
        &self.size
    }

    /// Returns how many slots to keep free.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    fn decay(&mut self, now: Millis) {
        let passed = as_f64(now.since(self.decayed_at)) / as_f64(DECAY_SPAN);
        self.weight *= (-passed).exp();
        self.decayed_at = now;
    }
}

fn as_f64(span: Millis) -> f64 {
    span.0 as f64
}
