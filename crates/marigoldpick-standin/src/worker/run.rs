//! One run of a task on a worker: its progress, its use and its end.

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Outcome, Running, Spec};

use crate::endpoint::Endpoint;

/// The progress of a run at full speed, for each millisecond.
const FULL_SPEED: u64 = 1_000;

/// `Nature` is what a run would truly do if it were left alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Nature {
    /// How long it takes at full speed; runs without it go on until they are stopped.
    pub(crate) run: Option<Millis>,
    /// What it uses when it is not throttled.
    pub(crate) usage: Amount,
    /// Whether it ends with an error.
    pub(crate) fails: bool,
}

/// `Run` is a run that goes on.
#[derive(Debug)]
pub(crate) struct Run {
    /// The task as it was started.
    pub(crate) spec: Spec,
    /// When it was started.
    pub(crate) started: Millis,
    /// When its state last changed, for reports of changes.
    pub(crate) changed: Millis,
    /// The endpoint that it is, if any.
    pub(crate) endpoint: Option<Endpoint>,
    nature: Nature,
    /// Progress made up to `since`.
    progress: u64,
    since: Millis,
    limit: Option<u64>,
    stop: Option<Stop>,
}

/// `Stop` is a planned stop that goes on.
#[derive(Clone, Copy, Debug)]
struct Stop {
    /// The run ends here at the latest.
    end: Millis,
    /// An endpoint answers at least until here, to refuse.
    linger: Millis,
    checkpoint: bool,
}

/// `Pace` is how long stops usually take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// How long a task takes to end.
    pub(crate) stop: Millis,
    /// How long an endpoint still answers, to refuse.
    pub(crate) linger: Millis,
}

impl Run {
    /// Begins a run at `now`.
    pub(crate) fn new(spec: Spec, nature: Nature, endpoint: Option<Endpoint>, now: Millis) -> Self {
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
            nature,
            progress,
            since: now,
            limit: None,
            stop: None,
        }
    }

    /// Returns what is set aside for it on the VM.
    pub(crate) fn reserved(&self) -> Amount {
        let mut reserved = self.spec.needs.clone();
        if let Some(limit) = self.limit {
            reserved.millicores = reserved.millicores.min(limit);
        }
        reserved
    }

    /// Returns what it uses: processors never above what is set aside.
    pub(crate) fn usage(&self) -> Amount {
        let mut usage = self.nature.usage.clone();
        usage.millicores = usage.millicores.min(self.reserved().millicores);
        usage
    }

    /// Returns how many requests are in flight at its endpoint.
    pub(crate) fn in_flight(&self) -> u64 {
        self.endpoint.as_ref().map_or(0, Endpoint::in_flight)
    }

    /// Limits its processors.
    pub(crate) fn throttle(&mut self, millicores: u64, now: Millis) {
        self.progress = self.progress_at(now);
        self.since = now;
        self.limit = Some(millicores);
        self.changed = now;
    }

    /// Asks it to end within `grace`; an endpoint takes no new requests from now on.
    pub(crate) fn stop(&mut self, grace: Millis, pace: Pace, now: Millis) {
        if let Some(stop) = &mut self.stop {
            stop.end = stop.end.min(now + grace);
            return;
        }
        let span = match &self.endpoint {
            Some(endpoint) => {
                endpoint.leave();
                grace
            }
            None => grace.min(pace.stop),
        };
        self.stop = Some(Stop {
            end: now + span,
            linger: now + pace.linger.min(grace),
            checkpoint: false,
        });
        self.changed = now;
    }

    /// Asks it to write a checkpoint and then to end.
    pub(crate) fn checkpoint(&mut self, pace: Pace, now: Millis) {
        let grace = self.spec.grace.max(pace.stop);
        self.stop(grace, pace, now);
        if let Some(stop) = &mut self.stop {
            stop.checkpoint = true;
        }
    }

    /// Returns how it has ended by itself or by a stop before `now`, if it has.
    pub(crate) fn ended(&self, now: Millis) -> Option<Outcome> {
        if self.nature.fails {
            return Some(Outcome::Failed);
        }
        let whole = self.nature.run.map(|run| run.times(FULL_SPEED).0);
        if whole.is_some_and(|whole| self.progress_at(now) >= whole) {
            return Some(Outcome::Done);
        }
        let stop = self.stop.as_ref()?;
        if !self.is_stopped(stop, now) {
            return None;
        }
        if stop.checkpoint {
            return Some(Outcome::Checkpointed(self.progress_at(now).to_string()));
        }
        Some(Outcome::Stopped)
    }

    /// Returns how it appears in a report.
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
        let wanted = self.nature.usage.millicores.max(1);
        (self.usage().millicores * FULL_SPEED / wanted).min(FULL_SPEED)
    }
}
