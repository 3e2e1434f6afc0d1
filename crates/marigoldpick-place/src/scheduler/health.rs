//! Applies the consequences of successes and failures: quarantine, probation, backoff of job kinds
//! and the abandonment of hopeless jobs.

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;

use super::Scheduler;
use crate::action::Action;
use crate::job::State;
use crate::run::Run;
use crate::score::Policy;

/// Number of failed tasks after which a job without any completed task is given up, if its kind is
/// at fault.
const HOPELESS_FAILURES: u32 = 3;

impl<P: Policy> Scheduler<P> {
    pub(super) fn record_success(&mut self, job: u32, worker: u32, now: Millis) {
        let kind = self.jobs.get(job).kind;
        let kind = self.kinds.get_mut(kind);
        kind.health.record_success(now);
        kind.shortages.record_success(now);
        kind.backoffs = 0;
        self.fleet.update(worker, |w| w.health.record_success());
    }

    /// Records a failure and attributes it to the job kind or to the worker.
    pub(super) fn record_failure(
        &mut self,
        job: u32,
        run: &Run,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let slot = self.jobs.get(job).kind;
        let kind = self.kinds.get_mut(slot);
        kind.health.record_failure(run.worker, now);
        let (at_fault, reliable) = (kind.health.is_at_fault(), kind.health.is_reliable());
        self.record_worker_failure(slot, run.worker, at_fault, reliable, now, out);
    }

    /// Records that a run ran out of memory and attributes it to the job kind or to the worker.
    ///
    /// If the health record of the kind is good, a run that lacks memory before the stable age counts
    /// fully against the worker, because other runs of the kind outlive that age.
    pub(super) fn record_shortage(
        &mut self,
        job: u32,
        run: &Run,
        age: Millis,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let slot = self.jobs.get(job).kind;
        let early = age < self.settings.stable_age;
        let kind = self.kinds.get_mut(slot);
        kind.shortages.record_failure(run.worker, now);
        let at_fault = kind.shortages.is_at_fault();
        let reliable = kind.shortages.is_reliable() || (early && kind.health.is_reliable());
        self.record_worker_failure(slot, run.worker, at_fault, reliable, now, out);
    }

    /// Counts a failure against the worker, or clears all failures of a kind that is itself at fault.
    fn record_worker_failure(
        &mut self,
        kind: u32,
        worker: u32,
        at_fault: bool,
        reliable: bool,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        if at_fault {
            self.clear_failures_of(kind);
            return;
        }
        let mut sum = 0;
        self.fleet
            .update(worker, |w| sum = w.health.record_failure(kind, reliable));
        let slot = worker;
        let worker = self.fleet.get(slot);
        let limit = if worker.health.is_on_probation() {
            1
        } else {
            self.settings.quarantine_failures
        };
        if sum >= limit && !worker.quarantined {
            self.quarantine(slot, now, out);
        }
    }

    fn quarantine(&mut self, slot: u32, now: Millis, out: &mut Vec<Action>) {
        let (first, most) = (self.settings.quarantine, self.settings.quarantine_max);
        let mut span = Millis::ZERO;
        self.fleet.update(slot, |worker| {
            worker.quarantined = true;
            span = worker.health.quarantine(first, most, now);
        });
        self.quarantined_workers.push(slot);
        out.push(Action::Event {
            what: "worker-quarantined",
            about: self.fleet.get(slot).id.to_string(),
            note: format!("tasks that run well elsewhere fail here; shut out for {span}"),
        });
    }

    /// Ends quarantines that have expired; the workers then run one task at a time on probation.
    pub(super) fn end_quarantines(&mut self, now: Millis, out: &mut Vec<Action>) {
        let mut waiting = std::mem::take(&mut self.quarantined_workers);
        waiting.retain(|&slot| {
            let mut over = false;
            self.fleet.update(slot, |worker| {
                over = worker.health.end_quarantine(now);
                worker.quarantined = !over;
            });
            if over {
                out.push(Action::Event {
                    what: "worker-probation",
                    about: self.fleet.get(slot).id.to_string(),
                    note: "runs one task at a time until one ends well".to_owned(),
                });
            }
            !over
        });
        self.quarantined_workers = waiting;
    }

    fn clear_failures_of(&mut self, kind: u32) {
        let count = u32::try_from(self.fleet.workers().len()).unwrap_or(u32::MAX);
        for slot in 0..count {
            if self.fleet.get(slot).health.is_suspected() {
                self.fleet
                    .update(slot, |worker| worker.health.clear_failures(kind));
            }
        }
    }

    /// Delays the next start of a kind that is at fault; returns whether it is delayed.
    pub(super) fn back_off_if_at_fault(&mut self, slot: u32, now: Millis) -> bool {
        let kind = self.kinds.get_mut(slot);
        if !kind.health.is_at_fault() {
            return false;
        }
        let wait = self.settings.backoff.times(1 << kind.backoffs.min(20));
        kind.backoff_until = now + wait.min(self.settings.backoff_max);
        kind.backoffs += 1;
        true
    }

    /// Gives up the waiting tasks of a job that can no longer succeed.
    ///
    /// These are gangs that have lost a task for good, and jobs with [`HOPELESS_FAILURES`] failed tasks,
    /// no completed one and a kind that is at fault.
    pub(super) fn abandon_if_hopeless(&mut self, slot: u32, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        let gang = job.spec.class == Class::Gang;
        let at_fault = self.kinds.get(job.kind).health.is_at_fault();
        let hopeless = job.completed == 0 && job.failed >= HOPELESS_FAILURES && at_fault;
        if job.abandoned.is_some() || !(gang || hopeless) {
            return;
        }
        job.abandoned = Some(Code::TaskFailed);
        for index in job.span.from..job.span.to {
            let state = self.jobs.get(slot).task(index).map(|task| task.state);
            if matches!(state, Some(State::Waiting | State::Delayed)) {
                self.give_up(slot, index, Code::TaskFailed, out);
            }
        }
    }
}
