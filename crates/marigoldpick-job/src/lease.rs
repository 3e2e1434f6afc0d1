//! What a lead knows of the lease under which one incarnation of a worker runs tasks.
//!
//! Load pattern: a worker restarts under its id while orders to its former incarnation are in flight. The time in such an
//! order is on another clock, so that the restarted worker may hold the longest lease that the platform allows, whatever
//! leads grant.

use displaydoc::Display;
use marigoldpick_core::prelude::*;

use crate::settings::Settings;

/// The least difference between a reading of a worker's clock and the expected one that is logged.
const CLOCK_JUMP: Millis = Millis(3_000);

/// `Source` is what the time by which all runs end follows from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Source {
    /// granted
    Granted,
    /// inherited
    Inherited,
    /// restart
    Restart,
}

/// `Lease` is the lease of one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Lease {
    /// A reading of the incarnation's clock, with the time when it arrived.
    clock: Option<(Millis, Millis)>,
    /// The latest end that an order of this lead may have set, by the incarnation's clock.
    end: Millis,
    /// The time by which all runs end under leases that other orders may have set: those of earlier leads, and those
    /// to former incarnations.
    others_lapse: Millis,
    /// Whether the incarnation may have carried out orders to a former one.
    has_restarted: bool,
    /// The time by which all runs end if no further order arrives, by the lead's clock.
    lapse: Millis,
}

impl Lease {
    /// Creates the lease of an incarnation that may have carried out orders of earlier leads; all runs under their
    /// leases end by `lapse`.
    #[must_use]
    pub const fn inherited(lapse: Millis) -> Self {
        Self {
            clock: None,
            end: Millis::ZERO,
            others_lapse: lapse,
            has_restarted: false,
            lapse,
        }
    }

    /// Creates the lease of an incarnation that may have carried out orders to a former one too.
    #[must_use]
    pub const fn after_restart(lapse: Millis) -> Self {
        let mut lease = Self::inherited(lapse);
        lease.has_restarted = true;
        lease
    }

    /// Returns the time by which all runs end if no further order arrives, by the lead's clock.
    #[must_use]
    pub const fn lapse(&self) -> Millis {
        self.lapse
    }

    /// Returns whether the incarnation may have carried out orders to a former one.
    #[must_use]
    pub const fn has_restarted(&self) -> bool {
        self.has_restarted
    }

    /// Returns whether an order to a former incarnation may still hold the lease.
    #[must_use]
    pub fn may_exceed_grants(&self, now: Millis) -> bool {
        self.has_restarted && now < self.others_lapse
    }

    /// Returns whether the incarnation has reported to this lead.
    #[must_use]
    pub const fn has_report(&self) -> bool {
        self.clock.is_some()
    }

    /// Returns what the time by which all runs end follows from.
    #[must_use]
    pub fn source(&self) -> Source {
        if self.lapse > self.others_lapse {
            Source::Granted
        } else if self.has_restarted {
            Source::Restart
        } else {
            Source::Inherited
        }
    }

    /// Returns when the last reading of the clock arrived.
    #[must_use]
    pub fn last_reading(&self) -> Option<Millis> {
        self.clock.map(|(_, arrived)| arrived)
    }

    /// Returns the incarnation's clock at `now`, extrapolated from the last reading.
    #[must_use]
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        let (clock, at) = self.clock?;
        Some(clock + now.since(at))
    }

    /// Returns the expected clock if a reading is far from it, as that of another incarnation is.
    #[must_use]
    pub fn clock_jump(&self, clock: Millis, now: Millis) -> Option<Millis> {
        let expected = self.clock_at(now)?;
        (expected.0.abs_diff(clock.0) >= CLOCK_JUMP.0).then_some(expected)
    }

    /// Extends the lease by `span` from `now` and returns its end by the incarnation's clock.
    ///
    /// Returns `None` while no reading of the clock is known.
    pub fn extend(&mut self, span: Millis, settings: &Settings, now: Millis) -> Option<Millis> {
        let until = self.clock_at(now)? + span;
        self.end = self.end.max(until);
        self.update(settings);
        Some(until)
    }

    /// Records a reading of the incarnation's clock.
    pub fn read_clock(&mut self, clock: Millis, settings: &Settings, now: Millis) {
        self.clock = Some((clock, now));
        self.update(settings);
    }

    /// Records the first report of a term or of an incarnation.
    ///
    /// It answers an order with a higher fencing token than all orders of earlier leads and to former incarnations,
    /// none of which is carried out any more.
    pub fn record_first_report(&mut self, settings: &Settings, now: Millis) {
        let longest = if self.has_restarted {
            settings.restart_lease()
        } else {
            settings.inherited_lease()
        };
        self.limit(now + longest, settings);
    }

    /// Limits the time by which all runs end under leases that other orders may have set.
    pub fn limit(&mut self, lapse: Millis, settings: &Settings) {
        self.others_lapse = self.others_lapse.min(lapse);
        self.update(settings);
    }

    fn update(&mut self, settings: &Settings) {
        // Without a reading of the clock, this lead has granted no lease.
        self.lapse = self.clock.map_or(self.others_lapse, |(clock, at)| {
            let own = at + settings.longest_true_span(self.end.since(clock));
            own.max(self.others_lapse)
        });
    }
}
