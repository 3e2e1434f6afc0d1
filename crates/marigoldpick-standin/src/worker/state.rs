//! Holds a worker's epoch, lease and runs, and applies calls to them.
//!
//! The caller passes in the platform's time.

use std::collections::HashMap;

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Answer, Call, Epoch, Finished, Outcome, Refusal, Report, Spec};

use super::run::{Run, StopTiming};
use crate::settings::Settings;

/// `Worker` is the state of one worker VM.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The worker's id.
    pub(crate) id: id::Worker,
    /// The resources of the VM.
    pub(crate) size: Amount,
    /// Whether every run that is started here fails at once.
    pub(crate) failing: bool,
    /// The time by which the worker's clock is ahead of the platform's.
    clock_offset: Millis,
    epoch: Epoch,
    lease_end: Millis,
    runs: Vec<Run>,
    /// The ended runs that are not yet acknowledged, with the time of their end.
    finished: Vec<(Millis, Finished)>,
    /// The highest attempt of each task that was started here.
    attempts: HashMap<id::Task, u32>,
    /// The last stamp that the lead has acknowledged by repeating it in a call.
    acknowledged_stamp: Millis,
    usage_lag: Millis,
    timing: StopTiming,
    enforce_size: bool,
}

/// `Ended` is a run that has just ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ended {
    /// The id of the run.
    pub(crate) run: id::Run,
    /// The outcome of the run.
    pub(crate) outcome: Outcome,
    /// The requests in flight that were lost when a planned stop ended the run.
    pub(crate) cut: u64,
}

impl Worker {
    /// Creates a worker that has no runs and that no lead has claimed.
    pub(crate) fn new(
        id: id::Worker,
        size: Amount,
        clock_offset: Millis,
        settings: &Settings,
    ) -> Self {
        Self {
            id,
            size,
            failing: false,
            clock_offset,
            epoch: Epoch::default(),
            lease_end: Millis::ZERO,
            runs: Vec::new(),
            finished: Vec::new(),
            attempts: HashMap::new(),
            acknowledged_stamp: Millis::ZERO,
            usage_lag: settings.lag.usage_ms,
            timing: StopTiming {
                stop: settings.task.stop_ms,
                linger: settings.endpoint.linger_ms,
            },
            enforce_size: settings.task.enforce_size,
        }
    }

    /// Returns the worker's clock at the platform's time `now`.
    pub(crate) fn local(&self, now: Millis) -> Millis {
        now + self.clock_offset
    }

    /// Returns the resources that are reserved for all runs.
    pub(crate) fn reserved(&self) -> Amount {
        let mut sum = Amount::default();
        self.runs.iter().for_each(|run| sum.add(&run.reserved()));
        sum
    }

    /// Returns the active run of a task.
    pub(crate) fn run_of(&self, task: &id::Task) -> Option<&Run> {
        self.runs.iter().find(|run| run.spec.run.task == *task)
    }

    /// Ends the runs that are due to end by `now` and returns them.
    ///
    /// When the lease has expired, all runs end.
    pub(crate) fn end_due_runs(&mut self, now: Millis) -> Vec<Ended> {
        let now = self.local(now);
        let has_lapsed = self.lease_end <= now;
        let mut ended = Vec::new();
        let mut at = 0;
        while at < self.runs.len() {
            let outcome = self.runs[at].outcome(now);
            match outcome.or_else(|| has_lapsed.then_some(Outcome::Lapsed)) {
                Some(outcome) => ended.push(self.end_run(at, outcome, now)),
                None => at += 1,
            }
        }
        ended
    }

    /// Removes all runs without recording their ends, as when the VM disappears.
    pub(crate) fn remove_runs(&mut self) -> Vec<id::Run> {
        self.runs
            .drain(..)
            .map(|run| run.spec.run.clone())
            .collect()
    }

    /// Stops a task on the platform's behalf with the task's own grace period.
    pub(crate) fn stop_task(&mut self, task: &id::Task, now: Millis) {
        let now = self.local(now);
        let timing = self.timing;
        if let Some(run) = self.runs.iter_mut().find(|run| run.spec.run.task == *task) {
            let grace = run.spec.grace;
            run.stop(grace, timing, now);
        }
    }

    /// Checks whether a start is admitted.
    ///
    /// # Errors
    /// Returns the reason for a refusal.
    pub(crate) fn admit(
        &self,
        epoch: Epoch,
        stamp: Millis,
        span: Millis,
        spec: &Spec,
        now: Millis,
    ) -> Result<(), Refusal> {
        let now = self.local(now);
        self.check_epoch(epoch)?;
        let is_stale = stamp > now || stamp + span <= now;
        if self.lease_end <= now || is_stale {
            return Err(Refusal::Lapsed);
        }
        let task = &spec.run.task;
        if self.run_of(task).is_some() {
            return Err(Refusal::Runs);
        }
        if self.attempts.get(task) >= Some(&spec.run.attempt) {
            return Err(Refusal::Again);
        }
        let mut reserved = self.reserved();
        reserved.add(&spec.needs);
        if self.enforce_size && !self.size.holds(&reserved) {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    /// Adds a run that was admitted.
    pub(crate) fn add_run(&mut self, run: Run) {
        let id::Run { task, attempt } = run.spec.run.clone();
        self.attempts.insert(task, attempt);
        self.runs.push(run);
    }

    /// Carries out a call other than a start.
    ///
    /// # Errors
    /// Returns the reason for a refusal.
    pub(crate) fn apply(&mut self, call: &Call, now: Millis) -> Result<(), Refusal> {
        let now = self.local(now);
        let timing = self.timing;
        match call {
            Call::Claim { epoch } => self.claim(*epoch),
            Call::Renew {
                epoch,
                stamp,
                span,
                acknowledged,
            } => {
                self.check_epoch(*epoch)?;
                self.remove_acknowledged(acknowledged);
                self.renew(*stamp, *span, now)
            }
            Call::Stop { epoch, run, grace } => {
                self.change_run(*epoch, run, |run| run.stop(*grace, timing, now))
            }
            Call::Checkpoint { epoch, run } => {
                self.change_run(*epoch, run, |run| run.checkpoint(timing, now))
            }
            Call::Throttle {
                epoch,
                run,
                millicores,
            } => self.change_run(*epoch, run, |run| run.throttle(*millicores, now)),
            Call::List | Call::Start { .. } => Ok(()),
        }
    }

    /// Records that the lead of `epoch` has received the answer with `stamp`.
    pub(crate) fn acknowledge(&mut self, epoch: Epoch, stamp: Millis) {
        if epoch == self.epoch {
            self.acknowledged_stamp = self.acknowledged_stamp.max(stamp);
        }
    }

    /// Returns the answer to a call.
    ///
    /// Its report holds all runs when `whole`, else those that changed or ended since the last
    /// stamp that the lead has acknowledged.
    pub(crate) fn answer(&self, refused: Option<Refusal>, whole: bool, now: Millis) -> Answer {
        let now = self.local(now);
        let running = self
            .runs
            .iter()
            .filter(|run| whole || self.has_unacknowledged_change(run, now))
            .map(|run| run.report(now, self.usage_lag))
            .collect();
        let finished = self
            .finished
            .iter()
            .filter(|(at, _)| whole || self.acknowledged_stamp <= *at)
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

    /// Returns whether a run changed, or was first measured, after the last acknowledged stamp.
    fn has_unacknowledged_change(&self, run: &Run, now: Millis) -> bool {
        let measured_at = run.started + self.usage_lag;
        let is_measured = self.acknowledged_stamp <= measured_at && measured_at <= now;
        is_measured || self.acknowledged_stamp <= run.changed
    }

    fn check_epoch(&self, epoch: Epoch) -> Result<(), Refusal> {
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
            self.acknowledged_stamp = Millis::ZERO;
        }
        Ok(())
    }

    fn remove_acknowledged(&mut self, acknowledged: &[id::Run]) {
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

    /// Changes an active run; a run that has ended is left as it is.
    fn change_run(
        &mut self,
        epoch: Epoch,
        run: &id::Run,
        change: impl FnOnce(&mut Run),
    ) -> Result<(), Refusal> {
        self.check_epoch(epoch)?;
        if let Some(found) = self.runs.iter_mut().find(|other| other.spec.run == *run) {
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

    fn end_run(&mut self, at: usize, outcome: Outcome, now: Millis) -> Ended {
        let run = self.runs.remove(at);
        let is_planned = matches!(outcome, Outcome::Stopped | Outcome::Checkpointed(_));
        let age = now.since(run.started);
        let ended = Ended {
            run: run.spec.run.clone(),
            outcome,
            cut: if is_planned { run.in_flight() } else { 0 },
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
