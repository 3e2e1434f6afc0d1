//! Simulates one run of a task on a worker: its progress, its usage and its end.

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Outcome, Running, Spec};

use crate::endpoint::Endpoint;

/// The progress of a run at full speed in one millisecond.
const FULL_SPEED: u64 = 1_000;

/// `Behaviour` is the behaviour of a run that is neither stopped nor throttled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Behaviour {
    /// The time that it takes at full speed; without it the run continues until it is stopped.
    pub(crate) run_time: Option<Millis>,
    /// The resources that it uses when it is not throttled.
    pub(crate) usage: Amount,
    /// Whether it fails.
    pub(crate) fails: bool,
}

/// `Run` is an active run.
#[derive(Debug)]
pub(crate) struct Run {
    /// The specification with which it was started.
    pub(crate) spec: Spec,
    /// The time of the start.
    pub(crate) started: Millis,
    /// The time of the last change of its state, for incremental reports.
    pub(crate) changed: Millis,
    /// The endpoint of the run, if the task belongs to a service.
    pub(crate) endpoint: Option<Endpoint>,
    behaviour: Behaviour,
    /// The progress made up to `since`.
    progress: u64,
    since: Millis,
    /// The processor limit in millicores, if the run is throttled.
    limit: Option<u64>,
    stop: Option<Stop>,
}

/// `Stop` is a planned stop in progress.
#[derive(Clone, Copy, Debug)]
struct Stop {
    /// The time at which the run ends at the latest.
    end: Millis,
    /// The time until which an endpoint at least answers, to refuse requests.
    linger: Millis,
    with_checkpoint: bool,
}

/// `StopTiming` is the usual duration of stops.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTiming {
    /// The time that a task takes to end.
    pub(crate) stop: Millis,
    /// How long an endpoint still answers, to refuse requests.
    pub(crate) linger: Millis,
}

impl Run {
    /// Starts a run at `now`, from its checkpoint if it has one.
    pub(crate) fn new(
        spec: Spec,
        behaviour: Behaviour,
        endpoint: Option<Endpoint>,
        now: Millis,
    ) -> Self {
        let progress = spec
            .checkpoint
            .as_deref()
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        Self {
            spec,
            started: now,
            changed: now,
            endpoint,
            behaviour,
            progress,
            since: now,
            limit: None,
            stop: None,
        }
    }

    /// Returns the resources that are reserved for it on the VM.
    pub(crate) fn reserved(&self) -> Amount {
        let mut reserved = self.spec.needs.clone();
        if let Some(limit) = self.limit {
            reserved.millicores = reserved.millicores.min(limit);
        }
        reserved
    }

    /// Returns the resources that it uses; its processors never exceed the reservation.
    pub(crate) fn usage(&self) -> Amount {
        let mut usage = self.behaviour.usage.clone();
        usage.millicores = usage.millicores.min(self.reserved().millicores);
        usage
    }

    /// Returns the number of requests in flight at its endpoint.
    pub(crate) fn in_flight(&self) -> u64 {
        self.endpoint.as_ref().map_or(0, Endpoint::in_flight)
    }

    /// Limits its processors from `now` on.
    pub(crate) fn throttle(&mut self, millicores: u64, now: Millis) {
        self.progress = self.progress_at(now);
        self.since = now;
        self.limit = Some(millicores);
        self.changed = now;
    }

    /// Starts a stop that ends the run within `grace`; its endpoint refuses new requests.
    pub(crate) fn stop(&mut self, grace: Millis, timing: StopTiming, now: Millis) {
        if let Some(stop) = &mut self.stop {
            stop.end = stop.end.min(now + grace);
            return;
        }
        let span = match &self.endpoint {
            Some(endpoint) => {
                endpoint.drain();
                grace
            }
            None => grace.min(timing.stop),
        };
        self.stop = Some(Stop {
            end: now + span,
            linger: now + timing.linger.min(grace),
            with_checkpoint: false,
        });
        self.changed = now;
    }

    /// Starts a stop that ends the run with a checkpoint.
    pub(crate) fn checkpoint(&mut self, timing: StopTiming, now: Millis) {
        let grace = self.spec.grace.max(timing.stop);
        self.stop(grace, timing, now);
        if let Some(stop) = &mut self.stop {
            stop.with_checkpoint = true;
        }
    }

    /// Returns the outcome, if the run has completed, failed or been stopped by `now`.
    pub(crate) fn outcome(&self, now: Millis) -> Option<Outcome> {
        if self.behaviour.fails {
            return Some(Outcome::Failed);
        }
        let total = self.behaviour.run_time.map(|time| time.times(FULL_SPEED).0);
        if total.is_some_and(|total| self.progress_at(now) >= total) {
            return Some(Outcome::Done);
        }
        let stop = self.stop.as_ref()?;
        if !self.is_stopped(stop, now) {
            return None;
        }
        if stop.with_checkpoint {
            return Some(Outcome::Checkpointed(self.progress_at(now).to_string()));
        }
        Some(Outcome::Stopped)
    }

    /// Returns the entry of the run in a report.
    pub(crate) fn report(&self, now: Millis, lag: Millis) -> Running {
        let age = now.since(self.started);
        Running {
            spec: self.spec.clone(),
            age,
            endpoint: self.endpoint.as_ref().map(Endpoint::address),
            stopping: self.stop.is_some(),
            usage: (age >= lag).then(|| self.usage()),
        }
    }

    fn is_stopped(&self, stop: &Stop, now: Millis) -> bool {
        let is_idle_endpoint = self.endpoint.is_some() && self.in_flight() == 0;
        stop.end <= now || (is_idle_endpoint && stop.linger <= now)
    }

    fn progress_at(&self, now: Millis) -> u64 {
        let span = now.since(self.since);
        self.progress.saturating_add(span.times(self.speed()).0)
    }

    fn speed(&self) -> u64 {
        let full = self.behaviour.usage.millicores.max(1);
        (self.usage().millicores * FULL_SPEED / full).min(FULL_SPEED)
    }
}
