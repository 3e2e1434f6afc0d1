//! The rate at which services finish work, measured over the last seconds.
//!
//! Load pattern: tasks take less time than estimated, or workers are faster than others of their size, so that a
//! backlog is worked off sooner than the capacity alone suggests.

use marigoldpick_core::prelude::*;

/// The length of a slot of the measurement.
const SLOT: Millis = Millis(500);
/// The number of complete slots over which the rate is measured.
const SLOTS: usize = 6;
/// The time over which the rate is measured.
pub const WINDOW: Millis = Millis(SLOT.0 * SLOTS as u64);

/// `Meter` measures the rate of one service.
#[derive(Clone, Debug)]
struct Meter {
    service: Name,
    /// The work finished in each slot in core-milliseconds, by the number of the slot modulo its length.
    slots: [u64; SLOTS + 1],
    /// The number of the newest slot.
    newest: u64,
}

impl Meter {
    const fn position(slot: u64) -> usize {
        (slot % (SLOTS as u64 + 1)) as usize
    }

    /// Clears the slots up to the one of `now`.
    fn advance(&mut self, now: Millis) {
        let slot = now.0 / SLOT.0;
        let first = (self.newest + 1).max(slot.saturating_sub(SLOTS as u64));
        for passed in first..=slot {
            self.slots[Self::position(passed)] = 0;
        }
        self.newest = self.newest.max(slot);
    }
}

/// `Throughput` measures the rate of each service.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    /// The meters, sorted by service.
    meters: Vec<Meter>,
}

impl Throughput {
    /// Records finished work of a service, in core-milliseconds.
    pub fn record(&mut self, service: &Name, work: u64, now: Millis) {
        let found = self.meters.binary_search_by(|m| m.service.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let meter = Meter {
                service: service.clone(),
                slots: [0; SLOTS + 1],
                newest: now.0 / SLOT.0,
            };
            self.meters.insert(at, meter);
            at
        });
        let meter = &mut self.meters[at];
        meter.advance(now);
        let slot = &mut meter.slots[Meter::position(meter.newest)];
        *slot = slot.saturating_add(work);
    }

    /// Returns the rate of a service over the last complete slots, in thousandths of a core.
    pub fn rate(&mut self, service: &Name, now: Millis) -> u64 {
        let found = self.meters.binary_search_by(|m| m.service.cmp(service));
        let Ok(at) = found else { return 0 };
        let meter = &mut self.meters[at];
        meter.advance(now);
        let current = Meter::position(meter.newest);
        let slots = meter.slots.iter().enumerate();
        let complete = slots.filter(|(slot, _)| *slot != current);
        let work = complete.fold(0_u64, |sum, (_, work)| sum.saturating_add(*work));
        work.saturating_mul(1_000) / WINDOW.0
    }
}
