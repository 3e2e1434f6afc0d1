//! The state of one endpoint as this entry sees it: leased slots, measured run time and health.

use std::sync::Arc;
use std::time::Duration;

use marigoldpick_core::prelude::*;

/// The weight of a new sample in the moving average of run times.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The number of first samples that are averaged with equal weights.
const EVEN_SAMPLES: u32 = 8;
/// The estimate of an idle endpoint falls to a half after this time, to a third after twice this
/// time, and so on, so that the endpoint gets requests and is measured again.
const IDLE_DECAY: Millis = Millis::from_secs(10);
/// An endpoint counts as stalled when no request completes for this many times the estimate.
const STALL_FACTOR: f64 = 4.0;
/// Shorter stalls can't be distinguished from the resolution of the clock.
const MIN_STALL: Millis = Millis(20);
/// A timeout counts as a failure only if the request had at least this many times the estimate.
const FAIR_FACTOR: f64 = 2.0;
/// A new or restored endpoint gets its full share of slots after this time.
const SLOW_START: Millis = Millis::from_secs(3);
/// Consecutive failures after which an endpoint is ejected.
const MAX_FAILURES: u32 = 3;
/// How long an endpoint gets no requests after a failure that does not eject it.
const FAILURE_PAUSE: Millis = Millis(50);
/// How long the first ejection lasts; each further one lasts twice as long, until a probe is
/// answered.
const EJECT_SPAN: Millis = Millis::from_secs(1);
/// The most doublings of [`EJECT_SPAN`].
const MAX_EJECT_DOUBLINGS: u32 = 5;
/// How long an endpoint gets no requests after it refused one; the time doubles with each refusal
/// in a row.
const REFUSAL_PAUSE: Millis = Millis(25);
/// The most doublings of [`REFUSAL_PAUSE`].
const MAX_REFUSAL_DOUBLINGS: u32 = 6;
/// The peak of requests in flight is remembered for one to two of these spans.
const PEAK_SPAN: Millis = Millis(500);

/// `End` is how a request to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer arrived after this time.
    Answered(Duration),
    /// The endpoint refused the request without reading it.
    Refused,
    /// No connection could be made; no byte was sent.
    Unreached,
    /// The connection was lost or the answer was truncated after the request was sent.
    Lost,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The request was not sent, for a reason that is not the endpoint's.
    Unsent,
}

/// `State` is what this entry knows of one endpoint.
#[derive(Clone, Debug)]
pub struct State {
    /// The endpoint's id.
    pub id: id::Endpoint,
    /// Its address.
    pub address: Arc<str>,
    /// Whether the endpoint gets no new requests.
    pub leaving: bool,
    /// Requests in flight from this entry to the endpoint.
    pub in_flight: u32,
    leased_slots: u32,
    lease_until: Millis,
    ramp_since: Option<Millis>,
    estimate_us: f64,
    samples: u32,
    last_start: Millis,
    last_progress: Millis,
    failures_in_row: u32,
    refusals_in_row: u32,
    ejections: u32,
    paused_until: Millis,
    is_probing: bool,
    peak: [u32; 2],
    peak_since: Millis,
}

impl State {
    /// Makes the state of an endpoint that was never used. With `joins` the endpoint joins others
    /// that are in use already, and gets its slots step by step.
    #[must_use]
    pub fn new(id: id::Endpoint, address: Arc<str>, joins: bool, now: Millis) -> Self {
        Self {
            id,
            address,
            leaving: false,
            in_flight: 0,
            leased_slots: 0,
            lease_until: Millis::ZERO,
            ramp_since: joins.then_some(now),
            estimate_us: 0.0,
            samples: 0,
            last_start: now,
            last_progress: now,
            failures_in_row: 0,
            refusals_in_row: 0,
            ejections: 0,
            paused_until: Millis::ZERO,
            is_probing: false,
            peak: [0; 2],
            peak_since: now,
        }
    }

    /// Sets the slot lease; `None` keeps the number of slots and changes only the lease's end.
    pub const fn lease(&mut self, slots: Option<u32>, until: Millis) {
        if let Some(slots) = slots {
            self.leased_slots = slots;
        }
        self.lease_until = until;
    }

    /// Returns the slots that are held under a lease that has not lapsed.
    #[must_use]
    pub fn held_slots(&self, now: Millis) -> u32 {
        if now < self.lease_until {
            self.leased_slots
        } else {
            0
        }
    }

    /// Returns whether the endpoint is ejected as failing.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        self.ejections > 0
    }

    /// Returns whether the endpoint may get requests, now or when a slot is free.
    #[must_use]
    pub fn is_usable(&self, now: Millis) -> bool {
        !self.leaving && now >= self.paused_until
    }

    /// Returns how many more requests may be sent now.
    #[must_use]
    pub fn free_slots(&self, now: Millis) -> u32 {
        if !self.is_usable(now) {
            return 0;
        }
        self.allowed_slots(now).saturating_sub(self.in_flight)
    }

    /// Returns the slots that may be used now, limited by lease, slow start and probing.
    #[must_use]
    pub fn allowed_slots(&self, now: Millis) -> u32 {
        let held = self.held_slots(now);
        if self.is_probing {
            return held.min(1);
        }
        let age = self
            .ramp_since
            .map_or(SLOW_START.0, |since| now.since(since).0);
        if age >= SLOW_START.0 {
            return held;
        }
        let ramp = u64::from(held) * age / SLOW_START.0;
        held.min(1 + ramp as u32)
    }

    /// Returns the expected run time of a request in microseconds, zero when none was measured.
    #[must_use]
    pub fn expected_us(&self, now: Millis) -> f64 {
        if self.samples == 0 {
            return 0.0;
        }
        if self.in_flight == 0 {
            let idle = now.since(self.last_start).0 as f64 / IDLE_DECAY.0 as f64;
            return self.estimate_us / (1.0 + idle);
        }
        let stalled = now.since(self.last_progress);
        let micros = stalled.0 as f64 * 1_000.0;
        if stalled >= MIN_STALL && micros > STALL_FACTOR * self.estimate_us {
            return micros;
        }
        self.estimate_us
    }

    /// Records that a request was sent.
    pub fn start(&mut self, now: Millis) {
        if self.in_flight == 0 {
            self.last_progress = now;
        }
        self.last_start = now;
        self.in_flight += 1;
        self.record_peak(now);
    }

    /// Records that a request ended; `can_eject` says whether the router allows one more ejection.
    pub fn end(&mut self, end: End, can_eject: bool, now: Millis) {
        self.record_peak(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            End::Answered(span) => self.record_answer(span, now),
            End::Refused => self.record_refusal(now),
            End::Unreached | End::Lost | End::TimedOut => self.record_failure(can_eject, now),
            End::Unsent => {}
        }
    }

    /// Returns whether `micros` microseconds are enough time to blame a timeout on the endpoint.
    #[must_use]
    pub fn is_fair_time(&self, micros: f64) -> bool {
        self.samples == 0 || micros >= FAIR_FACTOR * self.estimate_us
    }

    /// Returns the recent peak of requests in flight.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.peak[0].max(self.peak[1]).max(self.in_flight)
    }

    fn record_answer(&mut self, span: Duration, now: Millis) {
        let micros = span.as_secs_f64() * 1e6;
        self.samples = self.samples.saturating_add(1);
        let gain = if self.samples <= EVEN_SAMPLES {
            1.0 / f64::from(self.samples)
        } else {
            SAMPLE_WEIGHT
        };
        self.estimate_us += gain * (micros - self.estimate_us);
        self.last_progress = now;
        self.failures_in_row = 0;
        self.refusals_in_row = 0;
        if self.is_probing {
            self.is_probing = false;
            self.ejections = 0;
            self.ramp_since = Some(now);
        }
    }

    fn record_refusal(&mut self, now: Millis) {
        let span = REFUSAL_PAUSE.times(1 << self.refusals_in_row.min(MAX_REFUSAL_DOUBLINGS));
        self.refusals_in_row += 1;
        self.last_progress = now;
        self.paused_until = self.paused_until.max(now + span);
    }

    fn record_failure(&mut self, can_eject: bool, now: Millis) {
        self.failures_in_row += 1;
        let probe_failed = self.is_probing;
        if !probe_failed && (self.failures_in_row < MAX_FAILURES || !can_eject) {
            self.paused_until = self.paused_until.max(now + FAILURE_PAUSE);
            return;
        }
        self.paused_until = now + EJECT_SPAN.times(1 << self.ejections.min(MAX_EJECT_DOUBLINGS));
        self.ejections += 1;
        self.is_probing = true;
    }

    fn record_peak(&mut self, now: Millis) {
        let age = now.since(self.peak_since);
        if age >= PEAK_SPAN {
            let fresh = age < PEAK_SPAN.times(2);
            self.peak = [0, if fresh { self.peak[0] } else { 0 }];
            self.peak_since = now;
        }
        self.peak[0] = self.peak[0].max(self.in_flight);
    }

    /// Discards a peak that is too old.
    pub fn tick(&mut self, now: Millis) {
        self.record_peak(now);
    }
}
