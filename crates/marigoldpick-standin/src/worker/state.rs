//! A worker's state: epoch, lease, runs. The time is handed in.

use std::collections::HashMap;

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Answer, Call, Epoch, Finished, Outcome, Refusal, Report, Spec};

use super::run::{Pace, Run};
use crate::settings::Settings;

/// `Worker` is one worker VM.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The worker.
    pub(crate) id: id::Worker,
    /// What the VM has.
    pub(crate) size: Amount,
    /// Whether all that is started here fails at once.
    pub(crate) failing: bool,
    /// The worker's clock is this much ahead of the platform's.
    ahead: Millis,
    epoch: Epoch,
    lease_end: Millis,
    runs: Vec<Run>,
    /// What ended and is not yet acknowledged, with the time of its end.
    finished: Vec<(Millis, Finished)>,
    /// The highest attempt of each task that was started here.
    attempts: HashMap<id::Task, u32>,
    /// The last stamp that the lead has shown to have received.
    heard: Millis,
    usage_lag: Millis,
    pace: Pace,
    enforce_size: bool,
}

/// `Ended` is a run that has just ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ended {
    /// The run.
    pub(crate) run: id::Run,
    /// How it ended.
    pub(crate) outcome: Outcome,
    /// Requests that were in flight when it was stopped as planned.
    pub(crate) cut: u64,
}

impl Worker {
    /// Makes a worker that runs nothing and that no one has claimed.
    pub(crate) fn new(id: id::Worker, size: Amount, ahead: Millis, settings: &Settings) -> Self {
        Self {
            id,
            size,
            failing: false,
            ahead,
            epoch: Epoch::default(),
            lease_end: Millis::ZERO,
            runs: Vec::new(),
            finished: Vec::new(),
            attempts: HashMap::new(),
            heard: Millis::ZERO,
            usage_lag: settings.lag.usage_ms,
            pace: Pace {
                stop: settings.task.stop_ms,
                linger: settings.endpoint.linger_ms,
            },
            enforce_size: settings.task.enforce_size,
        }
    }

    /// Returns the worker's clock at the platform's time `now`.
    pub(crate) fn local(&self, now: Millis) -> Millis {
        now + self.ahead
    }

    /// Returns what is set aside for all runs.
    pub(crate) fn carried(&self) -> Amount {
        let mut sum = Amount::default();
        self.runs.iter().for_each(|run| sum.add(&run.reserved()));
        sum
    }

    /// Returns the run of a task that goes on here.
    pub(crate) fn run_of(&self, task: &id::Task) -> Option<&Run> {
        self.runs.iter().find(|run| run.spec.run.task == *task)
    }

    /// Ends what has ended by `now`.
    pub(crate) fn settle(&mut self, now: Millis) -> Vec<Ended> {
        let now = self.local(now);
        let lapsed = self.lease_end <= now;
        let mut ended = Vec::new();
        let mut at = 0;
        while at < self.runs.len() {
            let own = self.runs[at].ended(now);
            match own.or_else(|| lapsed.then_some(Outcome::Lapsed)) {
                Some(outcome) => ended.push(self.end(at, outcome, now)),
                None => at += 1,
            }
        }
        ended
    }

    /// Ends all runs without a trace, as when the VM vanishes.
    pub(crate) fn vanish(&mut self) -> Vec<id::Run> {
        self.runs
            .drain(..)
            .map(|run| run.spec.run.clone())
            .collect()
    }

    /// Stops a task as the platform does for its own reasons, with the task's own grace.
    pub(crate) fn leave(&mut self, task: &id::Task, now: Millis) {
        let now = self.local(now);
        let pace = self.pace;
        if let Some(run) = self.runs.iter_mut().find(|run| run.spec.run.task == *task) {
            let grace = run.spec.grace;
            run.stop(grace, pace, now);
        }
    }

    /// Tells why a start is refused, if it is.
    ///
    /// # Errors
    /// Returns the reason.
    pub(crate) fn admit(
        &self,
        epoch: Epoch,
        stamp: Millis,
        span: Millis,
        spec: &Spec,
        now: Millis,
    ) -> Result<(), Refusal> {
        let now = self.local(now);
        self.obey(epoch)?;
        let is_old = stamp > now || stamp + span <= now;
        if self.lease_end <= now || is_old {
            return Err(Refusal::Lapsed);
        }
        let task = &spec.run.task;
        if self.run_of(task).is_some() {
            return Err(Refusal::Runs);
        }
        if self.attempts.get(task) >= Some(&spec.run.attempt) {
            return Err(Refusal::Again);
        }
        let mut carried = self.carried();
        carried.add(&spec.needs);
        if self.enforce_size && !self.size.holds(&carried) {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    /// Takes in a run that was admitted.
    pub(crate) fn begin(&mut self, run: Run) {
        let id::Run { task, attempt } = run.spec.run.clone();
        self.attempts.insert(task, attempt);
        self.runs.push(run);
    }

    /// Carries out a call that is no start.
    ///
    /// # Errors
    /// Returns why it was refused.
    pub(crate) fn apply(&mut self, call: &Call, now: Millis) -> Result<(), Refusal> {
        let now = self.local(now);
        let pace = self.pace;
        match call {
            Call::Claim { epoch } => self.claim(*epoch),
            Call::Renew {
                epoch,
                stamp,
                span,
                acknowledged,
            } => {
                self.obey(*epoch)?;
                self.forget(acknowledged);
                self.renew(*stamp, *span, now)
            }
            Call::Stop { epoch, run, grace } => {
                self.change(*epoch, run, |run| run.stop(*grace, pace, now))
            }
            Call::Checkpoint { epoch, run } => {
                self.change(*epoch, run, |run| run.checkpoint(pace, now))
            }
            Call::Throttle {
                epoch,
                run,
                millicores,
            } => self.change(*epoch, run, |run| run.throttle(*millicores, now)),
            Call::List | Call::Start { .. } => Ok(()),
        }
    }

    /// Notes that the lead of `epoch` has received the answer with `stamp`.
    pub(crate) fn hear(&mut self, epoch: Epoch, stamp: Millis) {
        if epoch == self.epoch {
            self.heard = self.heard.max(stamp);
        }
    }

    /// Returns the answer: all runs when `whole`, else those that changed or ended since the last
    /// stamp that the lead has shown to have received.
    pub(crate) fn answer(&self, refused: Option<Refusal>, whole: bool, now: Millis) -> Answer {
        let now = self.local(now);
        let running = self
            .runs
            .iter()
            .filter(|run| whole || self.is_news(run, now))
            .map(|run| run.report(now, self.usage_lag))
            .collect();
        let finished = self
            .finished
            .iter()
            .filter(|(at, _)| whole || self.heard <= *at)
            .map(|(_, finished)| finished.clone())
            .collect();
        let report = Report {
            epoch: self.epoch,
            stamp: now,
            lease_end: self.lease_end,
            whole,
            running,
            finished,
        };
        Answer { refused, report }
    }

    /// A run is news when it changed, or was first measured, after the lead last heard of it.
    fn is_news(&self, run: &Run, now: Millis) -> bool {
        let measured = run.started + self.usage_lag;
        let is_measured = self.heard <= measured && measured <= now;
        is_measured || self.heard <= run.changed
    }

    fn obey(&self, epoch: Epoch) -> Result<(), Refusal> {
        if epoch != self.epoch || epoch == Epoch::default() {
            return Err(Refusal::Fenced);
        }
        Ok(())
    }

    fn claim(&mut self, epoch: Epoch) -> Result<(), Refusal> {
        if epoch < self.epoch {
            return Err(Refusal::Fenced);
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.heard = Millis::ZERO;
        }
        Ok(())
    }

    fn forget(&mut self, acknowledged: &[id::Run]) {
        self.finished
            .retain(|(_, finished)| !acknowledged.contains(&finished.run));
    }

    fn renew(&mut self, stamp: Millis, span: Millis, now: Millis) -> Result<(), Refusal> {
        if stamp > now || stamp + span <= now {
            return Err(Refusal::Lapsed);
        }
        self.lease_end = self.lease_end.max(stamp + span);
        Ok(())
    }

    /// Changes a run that goes on; one that has ended is left as it is.
    fn change(
        &mut self,
        epoch: Epoch,
        run: &id::Run,
        change: impl FnOnce(&mut Run),
    ) -> Result<(), Refusal> {
        self.obey(epoch)?;
        if let Some(found) = self.runs.iter_mut().find(|have| have.spec.run == *run) {
            change(found);
            return Ok(());
        }
        if self
            .finished
            .iter()
            .any(|(_, finished)| finished.run == *run)
        {
            return Ok(());
        }
        Err(Refusal::UnknownRun)
    }

    fn end(&mut self, at: usize, outcome: Outcome, now: Millis) -> Ended {
        let run = self.runs.remove(at);
        let planned = matches!(outcome, Outcome::Stopped | Outcome::Checkpointed(_));
        let age = now.since(run.started);
        let ended = Ended {
            run: run.spec.run.clone(),
            outcome,
            cut: if planned { run.in_flight() } else { 0 },
        };
        let finished = Finished {
            run: ended.run.clone(),
            accepted: run.spec.accepted,
            outcome: ended.outcome.clone(),
            age,
            usage: (age >= self.usage_lag).then(|| run.usage()),
        };
        self.finished.push((now, finished));
        ended
    }
}
