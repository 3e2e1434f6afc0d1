//! The state of one worker at the lead.

use std::collections::VecDeque;

use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::{Epoch, Running};

/// `Command` is a call that waits in a worker's queue.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Command {
    /// A start of the pending run.
    Start(id::Run),
    /// A stop with its grace period.
    Stop(id::Run, Millis),
    /// A checkpoint.
    Checkpoint(id::Run),
    /// A limit in thousandths of a core.
    Throttle(id::Run, u64),
}

/// `Probe` is the epoch and lease in a worker's last answer, whichever lead it obeys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Probe {
    pub(super) sent: Millis,
    pub(super) epoch: Epoch,
    /// The remaining time of its lease.
    pub(super) left: Millis,
}

/// `Member` is a worker of the shard.
///
/// At most one call to it is in flight, so that its answers arrive in the order in which it gave them.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) id: id::Worker,
    pub(super) vm: Option<vm::Worker>,
    /// Whether it obeys this lead's epoch.
    pub(super) claimed: bool,
    /// Whether it sent a whole report at this lead's epoch.
    pub(super) known: bool,
    /// Whether it was reported to the scheduler as available.
    pub(super) up: bool,
    /// Whether it has not answered recently.
    pub(super) silent: bool,
    /// Whether it is gone or its lease has provably lapsed, so that its tasks have ended.
    pub(super) lost: bool,
    /// Its clock in its last report, and when that report arrived.
    pub(super) stamp: Millis,
    pub(super) stamp_at: Option<Millis>,
    /// When the last call that it answered at this lead's epoch was sent.
    pub(super) heard_at: Option<Millis>,
    pub(super) probe: Option<Probe>,
    /// When the next renewal, claim or query is due.
    pub(super) due: Millis,
    /// When its youngest run began or the last command was sent to it.
    pub(super) active_at: Option<Millis>,
    pub(super) call: Option<u64>,
    /// Whether the last call failed.
    pub(super) failing: bool,
    /// Whether a report may have been missed, and when to request a whole one next.
    pub(super) needs_whole_report: bool,
    pub(super) whole_report_due: Millis,
    pub(super) runs: Vec<id::Run>,
    /// Its runs at the claim, until they are reported to the scheduler.
    pub(super) initial_runs: Vec<Running>,
    /// Ended runs that the worker may discard, to be acknowledged by the next renewal.
    pub(super) acks: Vec<id::Run>,
    /// Ended runs that the worker must keep: unrecorded completions and checkpoints.
    pub(super) unrecorded: Vec<id::Run>,
    pub(super) commands: VecDeque<Command>,
}

impl Member {
    pub(super) const fn new(id: id::Worker, vm: Option<vm::Worker>) -> Self {
        Self {
            id,
            vm,
            claimed: false,
            known: false,
            up: false,
            silent: false,
            lost: false,
            stamp: Millis::ZERO,
            stamp_at: None,
            heard_at: None,
            probe: None,
            due: Millis::ZERO,
            active_at: None,
            call: None,
            failing: false,
            needs_whole_report: false,
            whole_report_due: Millis::ZERO,
            runs: Vec::new(),
            initial_runs: Vec::new(),
            acks: Vec::new(),
            unrecorded: Vec::new(),
            commands: VecDeque::new(),
        }
    }

    /// Resets all state except the worker's id, its data in the platform's list and its last probe.
    pub(super) fn reset(&mut self) {
        let vm = self.vm.take();
        let probe = self.probe;
        *self = Self::new(self.id.clone(), vm);
        self.probe = probe;
    }

    /// Returns whether it may have tasks that this lead has not seen.
    pub(super) const fn has_unseen_tasks(&self) -> bool {
        !self.known && !self.lost
    }

    pub(super) fn heard_since(&self, from: Millis) -> bool {
        self.claimed && self.heard_at.is_some_and(|at| at >= from)
    }

    pub(super) fn is_gone(&self) -> bool {
        self.vm
            .as_ref()
            .is_some_and(|vm| vm.state == vm::State::Gone)
    }

    /// Records its runs until they are reported to the scheduler.
    pub(super) fn note_initial_runs(&mut self, running: Vec<Running>, whole: bool) {
        if whole {
            self.initial_runs = running;
            return;
        }
        for changed in running {
            let run = &changed.spec.run;
            match self
                .initial_runs
                .iter()
                .position(|have| have.spec.run == *run)
            {
                Some(at) => self.initial_runs[at] = changed,
                None => self.initial_runs.push(changed),
            }
        }
    }

    pub(super) fn drop_run(&mut self, run: &id::Run) {
        if let Ok(at) = self.runs.binary_search(run) {
            self.runs.remove(at);
        }
        self.initial_runs.retain(|have| have.spec.run != *run);
    }

    pub(super) fn add_run(&mut self, run: &id::Run) {
        if let Err(at) = self.runs.binary_search(run) {
            self.runs.insert(at, run.clone());
        }
    }
}
