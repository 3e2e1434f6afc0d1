//! One endpoint as an entry sees it: its slots, measured speed and health.

use std::sync::Arc;
use std::time::Duration;

use marigoldpick_core::prelude::*;

/// The weight of a new measurement.
const GAIN: f64 = 0.1;
/// The first measurements are averaged evenly.
const FIRST: u32 = 8;
/// The estimate of an endpoint without traffic is a half after this time, a third after twice as
/// long, and so on, so that it is measured again.
const FORGET: Millis = Millis::from_secs(10);
/// No completion for this many times the estimate counts as a stall.
const STALL: f64 = 4.0;
/// Stalls shorter than this are not told from the grain of the clock.
const STALL_LEAST: Millis = Millis(20);
/// A request that had less than this many times the estimate is no sign of failure when it is late.
const FAIR: f64 = 2.0;
/// A new or recovered endpoint gets its full share of slots after this time.
const SLOW_START: Millis = Millis::from_secs(3);
/// Failures in a row after which an endpoint is set aside.
const FAILURES: u32 = 3;
/// How long an endpoint that failed gets nothing, before it is set aside.
const FAILED: Millis = Millis(50);
/// How long an endpoint is set aside the first time; it doubles.
const EJECT: Millis = Millis::from_secs(1);
/// The most doublings.
const EJECT_ROUNDS: u32 = 5;
/// How long an endpoint that refused gets nothing; it doubles.
const REFUSED: Millis = Millis(25);
/// The most doublings.
const REFUSED_ROUNDS: u32 = 6;
/// Peaks of use are remembered for one to two of these spans.
const PEAK: Millis = Millis(500);

/// `End` is how a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came after this time.
    Answered(Duration),
    /// The endpoint refused the request unread.
    Refused,
    /// No connection could be made; no byte left.
    Unreached,
    /// The connection was lost or the answer cut after the request had left.
    Lost,
    /// The deadline passed after the request had left.
    TimedOut,
    /// The request was not sent for a reason that is not the endpoint's.
    Unsent,
}

/// `Back` is one endpoint.
#[derive(Clone, Debug)]
pub struct Back {
    /// The endpoint.
    pub id: id::Endpoint,
    /// Its address.
    pub address: Arc<str>,
    /// Whether it gets no new requests.
    pub leaving: bool,
    /// Requests in flight from this entry.
    pub used: u32,
    slots: u32,
    until: Millis,
    since: Option<Millis>,
    estimate: f64,
    measured: u32,
    started: Millis,
    progress: Millis,
    failures: u32,
    refusals: u32,
    rounds: u32,
    away: Millis,
    probing: bool,
    peak: [u32; 2],
    peak_at: Millis,
}

impl Back {
    /// Makes an endpoint that was never used; one that joins others gets its slots step by step.
    #[must_use]
    pub fn new(id: id::Endpoint, address: Arc<str>, joins: bool, now: Millis) -> Self {
        Self {
            id,
            address,
            leaving: false,
            used: 0,
            slots: 0,
            until: Millis::ZERO,
            since: joins.then_some(now),
            estimate: 0.0,
            measured: 0,
            started: now,
            progress: now,
            failures: 0,
            refusals: 0,
            rounds: 0,
            away: Millis::ZERO,
            probing: false,
            peak: [0; 2],
            peak_at: now,
        }
    }

    /// Sets the slot lease; without a number of slots only its end moves.
    pub const fn lease(&mut self, slots: Option<u32>, until: Millis) {
        if let Some(slots) = slots {
            self.slots = slots;
        }
        self.until = until;
    }

    /// Returns the slots held under a lease that has not lapsed.
    #[must_use]
    pub fn held(&self, now: Millis) -> u32 {
        if now < self.until { self.slots } else { 0 }
    }

    /// Tells whether the endpoint is set aside as failing.
    #[must_use]
    pub const fn ejected(&self) -> bool {
        self.rounds > 0
    }

    /// Tells whether requests may go there, now or when a slot is free.
    #[must_use]
    pub fn usable(&self, now: Millis) -> bool {
        !self.leaving && now >= self.away
    }

    /// Returns how many more requests may be sent now.
    #[must_use]
    pub fn room(&self, now: Millis) -> u32 {
        if !self.usable(now) {
            return 0;
        }
        self.allowed(now).saturating_sub(self.used)
    }

    /// Returns the slots that may be used now, by lease, slow start and probing.
    #[must_use]
    pub fn allowed(&self, now: Millis) -> u32 {
        let held = self.held(now);
        if self.probing {
            return held.min(1);
        }
        let age = self.since.map_or(SLOW_START.0, |since| now.since(since).0);
        if age >= SLOW_START.0 {
            return held;
        }
        let ramp = u64::from(held) * age / SLOW_START.0;
        held.min(1 + ramp as u32)
    }

    /// Returns the expected time of a request in microseconds, zero when never measured.
    #[must_use]
    pub fn expected(&self, now: Millis) -> f64 {
        if self.measured == 0 {
            return 0.0;
        }
        if self.used == 0 {
            let idle = now.since(self.started).0 as f64 / FORGET.0 as f64;
            return self.estimate / (1.0 + idle);
        }
        let stall = now.since(self.progress);
        let micros = stall.0 as f64 * 1_000.0;
        if stall >= STALL_LEAST && micros > STALL * self.estimate {
            return micros;
        }
        self.estimate
    }

    /// Counts a request that was sent.
    pub fn start(&mut self, now: Millis) {
        if self.used == 0 {
            self.progress = now;
        }
        self.started = now;
        self.used += 1;
        self.note_peak(now);
    }

    /// Counts a request that ended; `may_eject` tells whether the floor allows to set it aside.
    pub fn end(&mut self, end: End, may_eject: bool, now: Millis) {
        self.note_peak(now);
        self.used = self.used.saturating_sub(1);
        match end {
            End::Answered(span) => self.answered(span, now),
            End::Refused => self.refused(now),
            End::Unreached | End::Lost | End::TimedOut => self.failed(may_eject, now),
            End::Unsent => {}
        }
    }

    /// Tells whether a request that had this many microseconds should have been answered in them.
    #[must_use]
    pub fn is_fair(&self, micros: f64) -> bool {
        self.measured == 0 || micros >= FAIR * self.estimate
    }

    /// Returns the most slots that were used lately.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.peak[0].max(self.peak[1]).max(self.used)
    }

    fn answered(&mut self, span: Duration, now: Millis) {
        let micros = span.as_secs_f64() * 1e6;
        self.measured = self.measured.saturating_add(1);
        let gain = if self.measured <= FIRST {
            1.0 / f64::from(self.measured)
        } else {
            GAIN
        };
        self.estimate += gain * (micros - self.estimate);
        self.progress = now;
        self.failures = 0;
        self.refusals = 0;
        if self.probing {
            self.probing = false;
            self.rounds = 0;
            self.since = Some(now);
        }
    }

    fn refused(&mut self, now: Millis) {
        let span = REFUSED.times(1 << self.refusals.min(REFUSED_ROUNDS));
        self.refusals += 1;
        self.progress = now;
        self.away = self.away.max(now + span);
    }

    fn failed(&mut self, may_eject: bool, now: Millis) {
        self.failures += 1;
        let probe_failed = self.probing;
        if !probe_failed && (self.failures < FAILURES || !may_eject) {
            self.away = self.away.max(now + FAILED);
            return;
        }
        self.away = now + EJECT.times(1 << self.rounds.min(EJECT_ROUNDS));
        self.rounds += 1;
        self.probing = true;
    }

    fn note_peak(&mut self, now: Millis) {
        let gone = now.since(self.peak_at);
        if gone >= PEAK {
            let fresh = gone < PEAK.times(2);
            self.peak = [0, if fresh { self.peak[0] } else { 0 }];
            self.peak_at = now;
        }
        self.peak[0] = self.peak[0].max(self.used);
    }

    /// Lets an old peak be forgotten.
    pub fn tick(&mut self, now: Millis) {
        self.note_peak(now);
    }
}
