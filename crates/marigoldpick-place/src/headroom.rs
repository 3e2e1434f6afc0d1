//! Headroom: room kept free so that urgent tasks start without waiting for others to give way.

use marigoldpick_core::prelude::*;

use crate::size::Size;

/// The span over which arrivals lose their weight.
const MEMORY: Millis = Millis::from_secs(300);
/// Room for this many times the expected arrivals is kept.
const FACTOR: f64 = 3.0;
/// Arrivals below which no room is kept.
const LEAST: f64 = 0.01;
/// One in this many slots of the shard is kept free at most.
const SHARE: u32 = 50;

/// `Headroom` counts urgent arrivals and tells how many slots to keep.
#[derive(Clone, Copy, Debug, Default)]
pub struct Headroom {
    size: Size,
    weight: f64,
    at: Millis,
    slots: u32,
}

impl Headroom {
    /// Notes urgent tasks; returns whether the size to keep has changed.
    pub fn note(&mut self, size: &Size, count: u32, now: Millis) -> bool {
        self.decay(now);
        self.weight += f64::from(count);
        let before = self.size;
        self.size = self.size.max(size);
        self.size != before
    }

    /// Computes the slots to keep in a shard of `total`; returns whether urgent work has ceased.
    pub fn refresh(&mut self, span: Millis, waiting: f64, total: &Size, now: Millis) -> bool {
        self.decay(now);
        if self.weight < LEAST {
            let ceased = self.size != Size::default();
            *self = Self::default();
            return ceased;
        }
        let expected = self.weight * millis(span) / millis(MEMORY);
        let wanted = (expected * FACTOR * waiting).ceil().max(waiting.ceil());
        let most = total.fits(&self.size, u32::MAX) / SHARE;
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
        let passed = millis(now.since(self.at)) / millis(MEMORY);
        self.weight *= (-passed).exp();
        self.at = now;
    }
}

fn millis(span: Millis) -> f64 {
    span.0 as f64
}
