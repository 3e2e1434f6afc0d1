//! The choice of an endpoint: shortest expected time, and whether a slow one is worth it.

use marigoldpick_core::prelude::*;
use rand::Rng;

use super::{Output, REFRESH, Router, refuse};
use crate::queue::Item;

/// Endpoints that are looked at for one choice.
const LOOK: usize = 128;
/// Waiting for a faster endpoint must promise at least this factor.
const FASTER: f64 = 1.25;
/// What a wait counts against run time: a request that waits also delays those behind it.
const DELAYS: f64 = 4.0;
/// Parts of the slots that one team may hold while others are active: all but one in this many.
const RESERVE: u32 = 8;

/// `Speeds` sums up the measured endpoints, fastest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Speeds {
    steps: Vec<Step>,
    slots: u32,
    unmeasured: bool,
    at: Option<Millis>,
}

/// `Step` is one endpoint with the sums up to it.
#[derive(Clone, Copy, Debug)]
struct Step {
    expected: f64,
    slots: f64,
    rate: f64,
}

impl Speeds {
    /// Lets the sums be computed anew.
    pub(super) const fn forget(&mut self) {
        self.at = None;
    }

    /// Returns the requests that all endpoints together end in a microsecond, if it is known.
    pub(super) fn rate(&self) -> Option<f64> {
        if self.unmeasured {
            return None;
        }
        self.steps.last().map(|step| step.rate)
    }

    /// Returns the shortest expected time.
    pub(super) fn best(&self) -> f64 {
        self.steps.first().map_or(0.0, |step| step.expected)
    }

    /// Returns the slots that may be used, by lease, slow start and health.
    pub(super) const fn slots(&self) -> u32 {
        self.slots
    }

    /// Tells whether `expected` is less than waiting behind `queued` others for a faster endpoint.
    fn worth(&self, expected: f64, queued: usize) -> bool {
        let faster = self
            .steps
            .partition_point(|step| step.expected * FASTER < expected);
        let Some(step) = faster.checked_sub(1).map(|at| self.steps[at]) else {
            return true;
        };
        let wait = (queued + 1) as f64 / step.rate;
        let run = step.slots / step.rate;
        expected <= DELAYS * wait + run
    }
}

impl Router {
    /// Sends waiting requests as long as a slot is free that is worth taking.
    pub(super) fn pump(&mut self, now: Millis, out: &mut Vec<Output>) {
        while !self.queue.is_empty() {
            self.refresh(now);
            let Some(at) = self.choose(None, self.queue.len() - 1, now) else {
                return;
            };
            let (cap, expected) = (self.team_cap(), self.backs[at].expected(now));
            let speeds = &self.speeds;
            let takes = |before| speeds.worth(expected, before);
            let Some(item) = self.queue.pop(cap, takes) else {
                return;
            };
            if self.hopeless(&item, now) {
                refuse(item.ticket, Code::NotRunTooLate, None, out);
                continue;
            }
            let other = item
                .avoid
                .as_ref()
                .filter(|avoid| **avoid == self.backs[at].id)
                .and_then(|_| self.choose(item.avoid.as_ref(), self.queue.len(), now));
            self.send(item, other.unwrap_or(at), now, out);
        }
    }

    /// Returns the endpoint to use now, if one is worth it with `queued` requests before this one.
    pub(super) fn choose(
        &mut self,
        avoid: Option<&id::Endpoint>,
        queued: usize,
        now: Millis,
    ) -> Option<usize> {
        let count = self.backs.len();
        if count == 0 {
            return None;
        }
        let from = self.rng.random_range(0..count);
        let mut best: Option<(f64, usize)> = None;
        for step in 0..count.min(LOOK) {
            let at = (from + step) % count;
            let back = &self.backs[at];
            if back.room(now) == 0 || avoid == Some(&back.id) {
                continue;
            }
            let expected = back.expected(now);
            if best.is_none_or(|(least, _)| expected < least) {
                best = Some((expected, at));
            }
        }
        let (expected, at) = best?;
        self.speeds.worth(expected, queued).then_some(at)
    }

    /// Returns how many requests of one team may be in flight.
    pub(super) fn team_cap(&self) -> u32 {
        if self.queue.teams() < 2 {
            return u32::MAX;
        }
        let slots = self.speeds.slots();
        (slots - slots / RESERVE).max(1)
    }

    /// Brings the sums over all endpoints up to date.
    pub(super) fn refresh(&mut self, now: Millis) {
        let fresh = self.speeds.at.is_some_and(|at| now.since(at) < REFRESH);
        if fresh {
            return;
        }
        let mut speeds = Speeds {
            at: Some(now),
            ..Speeds::default()
        };
        for back in self.backs.iter().filter(|b| b.usable(now)) {
            let allowed = back.allowed(now);
            let expected = back.expected(now);
            speeds.slots += allowed;
            if allowed > 0 && expected > 0.0 {
                speeds.steps.push(Step {
                    expected,
                    slots: f64::from(allowed),
                    rate: f64::from(allowed) / expected,
                });
            } else if allowed > 0 {
                speeds.unmeasured = true;
            }
        }
        speeds
            .steps
            .sort_unstable_by(|a, b| a.expected.total_cmp(&b.expected));
        let mut slots = 0.0;
        let mut rate = 0.0;
        for step in &mut speeds.steps {
            slots += step.slots;
            rate += step.rate;
            step.slots = slots;
            step.rate = rate;
        }
        if speeds.slots > 0 {
            self.dry = None;
        } else {
            self.dry.get_or_insert(now);
        }
        self.speeds = speeds;
    }

    /// Tells whether the request can't be answered in time any more.
    fn hopeless(&self, item: &Item, now: Millis) -> bool {
        let left = item.deadline.since(now).0 as f64 * 1_000.0;
        left <= self.speeds.best() / 2.0
    }
}
