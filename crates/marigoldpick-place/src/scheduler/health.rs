//! Consequences of good and bad ends: quarantine, probation, holds and jobs given up.

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;

use super::Scheduler;
use crate::action::Action;
use crate::job::State;
use crate::run::Run;
use crate::score::Policy;

/// Tasks of a job that is at fault which are given up before the others are, too.
const GIVEN_UP: u32 = 3;

impl<P: Policy> Scheduler<P> {
    pub(super) fn note_done(&mut self, job: u32, worker: u32, now: Millis) {
        let kind = self.jobs.get(job).kind;
        let kind = self.kinds.get_mut(kind);
        kind.health.note_done(now);
        kind.shortages.note_done(now);
        kind.holds = 0;
        self.fleet.change(worker, |w| w.health.note_good());
    }

    /// Decides whose fault a failure is.
    pub(super) fn note_failure(&mut self, job: u32, run: &Run, now: Millis, out: &mut Vec<Action>) {
        let slot = self.jobs.get(job).kind;
        let kind = self.kinds.get_mut(slot);
        kind.health.note_failure(run.worker, now);
        let (at_fault, sound) = (kind.health.at_fault(), kind.health.sound());
        self.blame(slot, run.worker, at_fault, sound, now, out);
    }

    /// Decides whose fault it is that a run had too little memory.
    ///
    /// A run that is short of memory at an age that its like outlive speaks against the worker, too.
    pub(super) fn note_shortage(
        &mut self,
        job: u32,
        run: &Run,
        age: Millis,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let slot = self.jobs.get(job).kind;
        let early = age < self.settings.proof;
        let kind = self.kinds.get_mut(slot);
        kind.shortages.note_failure(run.worker, now);
        let at_fault = kind.shortages.at_fault();
        let sound = kind.shortages.sound() || (early && kind.health.sound());
        self.blame(slot, run.worker, at_fault, sound, now, out);
    }

    /// Counts a failure against the worker, or takes all back that a kind was counted for.
    fn blame(
        &mut self,
        kind: u32,
        worker: u32,
        at_fault: bool,
        sound: bool,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        if at_fault {
            self.forgive(kind);
            return;
        }
        let mut sum = 0;
        self.fleet
            .change(worker, |w| sum = w.health.blame(kind, sound));
        let slot = worker;
        let worker = self.fleet.get(slot);
        let limit = if worker.health.probation() {
            1
        } else {
            self.settings.blames
        };
        if sum >= limit && !worker.quarantined {
            self.quarantine(slot, now, out);
        }
    }

    fn quarantine(&mut self, slot: u32, now: Millis, out: &mut Vec<Action>) {
        let (first, most) = (self.settings.quarantine, self.settings.quarantine_max);
        let mut span = Millis::ZERO;
        self.fleet.change(slot, |worker| {
            worker.quarantined = true;
            span = worker.health.quarantine(first, most, now);
        });
        self.shut_out.push(slot);
        out.push(Action::Event {
            what: "worker-quarantined",
            about: self.fleet.get(slot).id.to_string(),
            note: format!("tasks that run well elsewhere fail here; shut out for {span}"),
        });
    }

    /// Lets workers whose quarantine is over run one task at a time.
    pub(super) fn end_quarantines(&mut self, now: Millis, out: &mut Vec<Action>) {
        let mut waiting = std::mem::take(&mut self.shut_out);
        waiting.retain(|&slot| {
            let mut over = false;
            self.fleet.change(slot, |worker| {
                over = worker.health.release(now);
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
        self.shut_out = waiting;
    }

    fn forgive(&mut self, kind: u32) {
        let count = u32::try_from(self.fleet.workers().len()).unwrap_or(u32::MAX);
        for slot in 0..count {
            if self.fleet.get(slot).health.suspected() {
                self.fleet
                    .change(slot, |worker| worker.health.forgive(kind));
            }
        }
    }

    /// Holds a kind that is at fault after each try; tells whether it is held.
    pub(super) fn hold_kind(&mut self, slot: u32, now: Millis) -> bool {
        let kind = self.kinds.get_mut(slot);
        if !kind.health.at_fault() {
            return false;
        }
        let wait = self.settings.backoff.times(1 << kind.holds.min(20));
        kind.hold = now + wait.min(self.settings.backoff_max);
        kind.holds += 1;
        true
    }

    /// Gives up the rest of a job that can't come to a good end any more.
    pub(super) fn doom(&mut self, slot: u32, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(slot);
        let gang = job.spec.class == Class::Gang;
        let at_fault = self.kinds.get(job.kind).health.at_fault();
        let hopeless = job.completed == 0 && job.failed >= GIVEN_UP && at_fault;
        if job.doomed.is_some() || !(gang || hopeless) {
            return;
        }
        job.doomed = Some(Code::TaskFailed);
        for index in job.span.from..job.span.to {
            let state = self.jobs.get(slot).task(index).map(|task| task.state);
            if matches!(state, Some(State::Waiting | State::Delayed)) {
                self.give_up(slot, index, Code::TaskFailed, out);
            }
        }
    }
}
