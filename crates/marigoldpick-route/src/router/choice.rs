//! The choice of an endpoint: the shortest expected time, unless waiting for a faster one is
//! better.

use marigoldpick_core::prelude::*;
use rand::Rng;

use super::{MAX_SUMS_AGE, Output, Router, refuse};
use crate::queue::Item;

/// The most endpoints that are examined for one choice.
const MAX_CANDIDATES: usize = 128;
/// A request waits only for endpoints that are faster by at least this factor.
const FASTER_FACTOR: f64 = 1.25;
/// The weight of wait time against run time, since a request that waits also delays those behind
/// it.
const WAIT_WEIGHT: f64 = 4.0;
/// While other teams are active, one team may not use the last 1/`RESERVE_DIVISOR` of the slots.
const RESERVE_DIVISOR: u32 = 8;

/// `Speeds` holds the cumulative slots and rates of the measured endpoints, fastest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Speeds {
    steps: Vec<Step>,
    slots: u32,
    has_unmeasured: bool,
    computed_at: Option<Millis>,
}

/// `Step` is one endpoint with the sums over it and all faster ones.
#[derive(Clone, Copy, Debug)]
struct Step {
    expected_us: f64,
    slots: f64,
    rate_per_us: f64,
}

impl Speeds {
    /// Marks the sums as outdated, so that the next use computes them again.
    pub(super) const fn invalidate(&mut self) {
        self.computed_at = None;
    }

    /// Returns how many requests all endpoints together complete in a microsecond, if all are
    /// measured.
    pub(super) fn rate_per_us(&self) -> Option<f64> {
        if self.has_unmeasured {
            return None;
        }
        self.steps.last().map(|step| step.rate_per_us)
    }

    /// Returns the shortest expected run time in microseconds.
    pub(super) fn shortest_us(&self) -> f64 {
        self.steps.first().map_or(0.0, |step| step.expected_us)
    }

    /// Returns the slots that may be used, limited by lease, slow start and health.
    pub(super) const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns whether a run of `expected_us` microseconds is better than waiting behind `queued`
    /// requests for a faster endpoint.
    fn is_worth_using(&self, expected_us: f64, queued: usize) -> bool {
        let faster = self
            .steps
            .partition_point(|step| step.expected_us * FASTER_FACTOR < expected_us);
        let Some(step) = faster.checked_sub(1).map(|at| self.steps[at]) else {
            return true;
        };
        let wait_us = (queued + 1) as f64 / step.rate_per_us;
        let run_us = step.slots / step.rate_per_us;
        expected_us <= WAIT_WEIGHT * wait_us + run_us
    }
}

impl Router {
    /// Sends waiting requests as long as there is a free slot that is worth using.
    pub(super) fn dispatch_queued(&mut self, now: Millis, out: &mut Vec<Output>) {
        while !self.queue.is_empty() {
            self.refresh_speeds(now);
            let Some(at) = self.choose_endpoint(None, self.queue.len() - 1, now) else {
                return;
            };
            let (cap, expected_us) = (self.team_cap(), self.endpoints[at].expected_us(now));
            let speeds = &self.speeds;
            let accepts = |before| speeds.is_worth_using(expected_us, before);
            let Some(item) = self.queue.pop(cap, accepts) else {
                return;
            };
            if self.is_too_late(&item, now) {
                refuse(item.ticket, Code::NotRunTooLate, None, out);
                continue;
            }
            let other = item
                .avoid
                .as_ref()
                .filter(|avoid| **avoid == self.endpoints[at].id)
                .and_then(|_| self.choose_endpoint(item.avoid.as_ref(), self.queue.len(), now));
            self.send(item, other.unwrap_or(at), now, out);
        }
    }

    /// Returns the endpoint to use now, if one is worth using with `queued` requests before this
    /// one.
    pub(super) fn choose_endpoint(
        &mut self,
        avoid: Option<&id::Endpoint>,
        queued: usize,
        now: Millis,
    ) -> Option<usize> {
        let count = self.endpoints.len();
        if count == 0 {
            return None;
        }
        let from = self.rng.random_range(0..count);
        let mut best: Option<(f64, usize)> = None;
        for step in 0..count.min(MAX_CANDIDATES) {
            let at = (from + step) % count;
            let state = &self.endpoints[at];
            if state.free_slots(now) == 0 || avoid == Some(&state.id) {
                continue;
            }
            let expected_us = state.expected_us(now);
            if best.is_none_or(|(least, _)| expected_us < least) {
                best = Some((expected_us, at));
            }
        }
        let (expected_us, at) = best?;
        self.speeds
            .is_worth_using(expected_us, queued)
            .then_some(at)
    }

    /// Returns how many requests of one team may be in flight.
    pub(super) fn team_cap(&self) -> u32 {
        if self.queue.teams() < 2 {
            return u32::MAX;
        }
        let slots = self.speeds.slots();
        (slots - slots / RESERVE_DIVISOR).max(1)
    }

    /// Computes the sums over all endpoints again if they are outdated.
    pub(super) fn refresh_speeds(&mut self, now: Millis) {
        let is_fresh = self
            .speeds
            .computed_at
            .is_some_and(|at| now.since(at) < MAX_SUMS_AGE);
        if is_fresh {
            return;
        }
        let mut speeds = Speeds {
            computed_at: Some(now),
            ..Speeds::default()
        };
        for state in self.endpoints.iter().filter(|s| s.is_usable(now)) {
            let allowed = state.allowed_slots(now);
            let expected_us = state.expected_us(now);
            speeds.slots += allowed;
            if allowed > 0 && expected_us > 0.0 {
                speeds.steps.push(Step {
                    expected_us,
                    slots: f64::from(allowed),
                    rate_per_us: f64::from(allowed) / expected_us,
                });
            } else if allowed > 0 {
                speeds.has_unmeasured = true;
            }
        }
        speeds
            .steps
            .sort_unstable_by(|a, b| a.expected_us.total_cmp(&b.expected_us));
        let mut slots = 0.0;
        let mut rate_per_us = 0.0;
        for step in &mut speeds.steps {
            slots += step.slots;
            rate_per_us += step.rate_per_us;
            step.slots = slots;
            step.rate_per_us = rate_per_us;
        }
        if speeds.slots > 0 {
            self.slotless_since = None;
        } else {
            self.slotless_since.get_or_insert(now);
        }
        self.speeds = speeds;
    }

    /// Returns whether the request can no longer be answered in time.
    fn is_too_late(&self, item: &Item, now: Millis) -> bool {
        let left_us = item.deadline.since(now).0 as f64 * 1_000.0;
        left_us <= self.speeds.shortest_us() / 2.0
    }
}
