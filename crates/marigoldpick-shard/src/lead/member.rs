//! What a lead knows of one worker.

use std::collections::VecDeque;

use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::{Epoch, Running};

/// `Act` is a call that waits for its turn.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Act {
    /// A start of the pending run.
    Start(id::Run),
    /// A stop with its grace.
    Stop(id::Run, Millis),
    /// A checkpoint.
    Checkpoint(id::Run),
    /// A limit in thousandths of a core.
    Throttle(id::Run, u64),
}

/// `Probe` is what a worker said of itself, whoever leads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Probe {
    pub(super) sent: Millis,
    pub(super) epoch: Epoch,
    /// What was left of its lease.
    pub(super) left: Millis,
}

/// `Member` is a worker of the shard. One call at a time is made to it, so that its answers come in
/// the order in which it gave them.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) id: id::Worker,
    pub(super) vm: Option<vm::Worker>,
    /// Whether it obeys the own epoch.
    pub(super) claimed: bool,
    /// Whether all it has was seen at the own epoch.
    pub(super) known: bool,
    /// Whether the scheduler was told of it.
    pub(super) up: bool,
    pub(super) silent: bool,
    pub(super) lost: bool,
    /// Its last stamp, and when that came.
    pub(super) stamp: Millis,
    pub(super) stamp_at: Option<Millis>,
    /// When the last call that it answered at the own epoch was made.
    pub(super) heard: Option<Millis>,
    pub(super) probe: Option<Probe>,
    pub(super) due: Millis,
    /// When its youngest run began or it was last told to do something.
    pub(super) fresh_at: Option<Millis>,
    pub(super) call: Option<u64>,
    /// Whether the last call got no answer.
    pub(super) failing: bool,
    /// Whether a report may have been missed, and when to ask for all next.
    pub(super) want_whole: bool,
    pub(super) look_at: Millis,
    pub(super) runs: Vec<id::Run>,
    /// What it had at the claim, until the scheduler is told.
    pub(super) arrived: Vec<Running>,
    /// Ended runs that need no more of the worker's memory.
    pub(super) acks: Vec<id::Run>,
    /// Ended runs whose end waits for its record.
    pub(super) ending: Vec<id::Run>,
    pub(super) queue: VecDeque<Act>,
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
            heard: None,
            probe: None,
            due: Millis::ZERO,
            fresh_at: None,
            call: None,
            failing: false,
            want_whole: false,
            look_at: Millis::ZERO,
            runs: Vec::new(),
            arrived: Vec::new(),
            acks: Vec::new(),
            ending: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Forgets all but who it is and what it last said.
    pub(super) fn reset(&mut self) {
        let vm = self.vm.take();
        let probe = self.probe;
        *self = Self::new(self.id.clone(), vm);
        self.probe = probe;
    }

    /// Tells whether it may hold tasks that this lead has not seen.
    pub(super) const fn is_blind(&self) -> bool {
        !self.known && !self.lost
    }

    pub(super) fn heard_since(&self, from: Millis) -> bool {
        self.claimed && self.heard.is_some_and(|at| at >= from)
    }

    pub(super) fn is_gone(&self) -> bool {
        self.vm
            .as_ref()
            .is_some_and(|vm| vm.state == vm::State::Gone)
    }

    /// Keeps what it has until the scheduler is told.
    pub(super) fn arrive(&mut self, running: Vec<Running>, whole: bool) {
        if whole {
            self.arrived = running;
            return;
        }
        for changed in running {
            let run = &changed.spec.run;
            match self.arrived.iter().position(|have| have.spec.run == *run) {
                Some(at) => self.arrived[at] = changed,
                None => self.arrived.push(changed),
            }
        }
    }

    pub(super) fn drop_run(&mut self, run: &id::Run) {
        if let Ok(at) = self.runs.binary_search(run) {
            self.runs.remove(at);
        }
        self.arrived.retain(|have| have.spec.run != *run);
    }

    pub(super) fn add_run(&mut self, run: &id::Run) {
        if let Err(at) = self.runs.binary_search(run) {
            self.runs.insert(at, run.clone());
        }
    }
}
