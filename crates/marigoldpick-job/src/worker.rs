//! A worker in the hands of a lead: its lease, what it runs and how far it can be trusted.

use std::collections::VecDeque;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Node, Target};
use marigoldpick_core::work::{Step, Task};

use crate::settings::Settings;
use crate::slowdown::DecayingMean;

/// Failures in a row after which a worker gets no work for a while.
const QUARANTINE_FAILURES: u32 = 3;
/// How long a worker gets no work after failures in a row.
const FAILURE_QUARANTINE: Millis = Millis(4_000);
/// How long a worker on which a task stands still gets no work.
const STALL_QUARANTINE: Millis = Millis(3_000);
/// How long a worker that refused an order as unhealthy gets no work.
const UNHEALTHY_QUARANTINE: Millis = Millis(1_000);

/// `Phase` is how far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its place is being recorded; it has not been ordered.
    Recording,
    /// Its start is under way.
    Ordered,
    /// The worker confirmed it.
    Running,
    /// Its start was not answered at this time; it may run, also later.
    Unknown(Millis),
    /// It has to be stopped; the order is not under way.
    Stop,
    /// A stop is under way.
    Stopping,
    /// The stop was answered at this time.
    Stopped(Millis),
}

/// `Run` is a run that takes room on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u64,
    /// What it takes.
    pub claim: Amount,
    /// How far it is.
    pub phase: Phase,
    /// When it was confirmed to run.
    pub confirmed_at: Millis,
    /// How long it takes by the estimate.
    pub estimate: Millis,
    /// The bound on its response time, for a serving task.
    pub target: Option<Millis>,
    /// Whether it fills the processors that others leave.
    pub fills: bool,
    /// Whether it runs until its job is cancelled.
    pub lasting: bool,
    /// Whether it works only while all members of its gang are there.
    pub gang: bool,
    /// The share it was last told to work at, in percent.
    pub pace: u32,
    /// How far it was at the last report, in percent.
    pub percent: u32,
    /// When it was first reported to be that far.
    pub progressed_at: Millis,
}

impl Run {
    /// Makes the state of a run of which nothing but its name is known; it takes no room.
    #[must_use]
    pub fn new(task: Task, run: u64, phase: Phase, now: Millis) -> Self {
        Self {
            task,
            run,
            claim: Amount::default(),
            phase,
            confirmed_at: now,
            estimate: Millis::ZERO,
            target: None,
            fills: false,
            lasting: false,
            gang: false,
            pace: 100,
            percent: 0,
            progressed_at: now,
        }
    }
}

/// `Worker` is the state of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the registry says of it.
    pub node: Node,
    /// Whether the registry has it now.
    pub is_registered: bool,
    /// Whether it has reported in this term.
    pub has_reported: bool,
    /// A reading of its clock and when it came.
    pub clock: Option<(Millis, Millis)>,
    /// The latest end of its lease, by its clock, that an order may have set.
    pub lease_end: Millis,
    /// When all that it ran has ended, if no order reaches it any more.
    pub lapse: Millis,
    /// When what an earlier lead's lease kept alive has ended.
    inherited_lapse: Millis,
    /// What its runs take.
    used: Amount,
    /// What they leave of its capacity.
    free: Amount,
    /// Its runs, sorted by task and run.
    pub runs: Vec<Run>,
    /// Whether one of them may have to be stopped.
    pub has_stops: bool,
    /// When stops are ordered again after one that was not carried out.
    pub next_stop: Millis,
    /// The number of the last end that was read.
    pub last_end: u64,
    /// Ends that the store does not have yet: number, job and the job's change.
    pub unrecorded_ends: VecDeque<(u64, id::Job, u64)>,
    /// Whether an order was not answered, so that nothing is placed there until a report comes.
    pub is_suspect: bool,
    /// Whether a probe is under way: a hold that does not wait, beside one that does.
    pub probe_in_flight: bool,
    /// Whether a hold is under way.
    pub hold_in_flight: bool,
    /// How long the hold under way waits.
    pub hold_wait: Millis,
    /// When the next hold is due.
    pub next_hold: Millis,
    /// The number that the last answered hold said is forgotten.
    pub acknowledged_end: u64,
    /// Holds in a row that were not answered.
    pub unanswered_holds: u32,
    /// How long tasks took on it.
    pub(crate) slowdown: DecayingMean,
    /// Failures of tasks in a row.
    failures: u32,
    /// Until when it gets no work.
    pub quarantined_until: Millis,
}

impl Worker {
    /// Makes the state of a worker that has not reported yet.
    #[must_use]
    pub fn new(node: Node, lapse: Millis) -> Self {
        let free = node.capacity.clone();
        Self {
            node,
            is_registered: true,
            has_reported: false,
            clock: None,
            lease_end: Millis::ZERO,
            lapse,
            inherited_lapse: lapse,
            used: Amount::default(),
            free,
            runs: Vec::new(),
            has_stops: false,
            next_stop: Millis::ZERO,
            last_end: 0,
            unrecorded_ends: VecDeque::new(),
            is_suspect: false,
            probe_in_flight: false,
            hold_in_flight: false,
            hold_wait: Millis::ZERO,
            next_hold: Millis::ZERO,
            acknowledged_end: 0,
            unanswered_holds: 0,
            slowdown: DecayingMean::default(),
            failures: 0,
            quarantined_until: Millis::ZERO,
        }
    }

    /// Returns the target of orders.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            id: self.node.id.clone(),
            address: self.node.address.clone(),
        }
    }

    /// Lets the next hold be due at once.
    pub fn hold_soon(&mut self, now: Millis) {
        self.next_hold = self.next_hold.min(now);
    }

    /// Returns its clock now, as far as is known.
    #[must_use]
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        let (clock, at) = self.clock?;
        Some(clock + now.since(at))
    }

    /// Returns the end of a lease that begins now, by the worker's clock, and notes it.
    pub fn extend_lease(&mut self, settings: &Settings, now: Millis) -> Option<Millis> {
        let lasting = self.runs.iter().any(|run| run.lasting);
        let lease = if lasting {
            settings.lease.min(settings.lasting_lease)
        } else {
            settings.lease
        };
        let until = self.clock_at(now)? + lease;
        self.lease_end = self.lease_end.max(until);
        self.update_lapse(settings);
        Some(until)
    }

    /// Takes in a reading of its clock.
    pub fn read_clock(&mut self, clock: Millis, settings: &Settings, now: Millis) {
        self.clock = Some((clock, now));
        self.update_lapse(settings);
    }

    /// Notes its first report of a term: no earlier lead can renew its lease any more.
    pub fn record_first_report(&mut self, settings: &Settings, now: Millis) {
        let longest = now + settings.inherited_lease();
        self.inherited_lapse = self.inherited_lapse.min(longest);
        self.update_lapse(settings);
    }

    fn update_lapse(&mut self, settings: &Settings) {
        if let Some((clock, at)) = self.clock {
            let own = at + settings.longest_true_span(self.lease_end.since(clock));
            self.lapse = own.max(self.inherited_lapse);
        }
    }

    /// Returns what is free.
    #[must_use]
    pub const fn free(&self) -> &Amount {
        &self.free
    }

    /// Returns what its runs take.
    #[must_use]
    pub const fn used(&self) -> &Amount {
        &self.used
    }

    /// Takes in what the registry says now.
    pub fn update(&mut self, node: Node) {
        self.node = node;
        self.count_free();
    }

    fn count_free(&mut self) {
        self.free.clone_from(&self.node.capacity);
        self.free.subtract(&self.used);
    }

    /// Tells whether it may get new work.
    #[must_use]
    pub fn can_take_work(&self, now: Millis) -> bool {
        self.is_registered
            && self.has_reported
            && !self.node.draining
            && self.is_responsive()
            && self.quarantined_until <= now
            && self.clock.is_some()
    }

    /// Returns when all that it runs will have ended, by the estimates.
    #[must_use]
    pub fn expected_idle(&self, now: Millis) -> Millis {
        let ends = self.runs.iter().map(|run| run.confirmed_at + run.estimate);
        ends.fold(now, Millis::max)
    }

    /// Tells whether the last that was sent to it was answered.
    #[must_use]
    pub const fn is_responsive(&self) -> bool {
        self.unanswered_holds == 0 && !self.is_suspect
    }

    /// Tells whether it suits a step apart from room.
    #[must_use]
    pub fn has_label_for(&self, step: &Step) -> bool {
        step.label
            .as_ref()
            .is_none_or(|label| self.node.labels.binary_search(label).is_ok())
    }

    /// Returns the position of a run.
    pub fn find_run(&self, task: &Task, run: u64) -> Result<usize, usize> {
        self.runs
            .binary_search_by(|have| have.task.cmp(task).then(have.run.cmp(&run)))
    }

    /// Returns a run.
    pub fn run_mut(&mut self, task: &Task, run: u64) -> Option<&mut Run> {
        let at = self.find_run(task, run).ok()?;
        Some(&mut self.runs[at])
    }

    /// Adds a run and takes its room.
    pub fn add(&mut self, run: Run) {
        if let Err(at) = self.find_run(&run.task, run.run) {
            self.used.add(&run.claim);
            self.has_stops |= run.phase == Phase::Stop;
            self.runs.insert(at, run);
            self.count_free();
        }
    }

    /// Removes a run and gives back its room.
    pub fn remove(&mut self, task: &Task, run: u64) -> Option<Run> {
        let at = self.find_run(task, run).ok()?;
        let run = self.runs.remove(at);
        self.used.subtract(&run.claim);
        self.count_free();
        Some(run)
    }

    /// Returns how many tasks of a step it runs.
    #[must_use]
    pub fn count_of_step(&self, task: &Task) -> u32 {
        let of_step = |run: &&Run| run.task.part == task.part;
        self.runs.iter().filter(of_step).count() as u32
    }

    /// Notes how a task ended by its own: a worker on which all fail gets no work for a while.
    pub fn record_outcome(&mut self, failed: bool, now: Millis) {
        if !failed {
            self.failures = 0;
            return;
        }
        self.failures += 1;
        if self.failures >= QUARANTINE_FAILURES {
            self.quarantined_until = self.quarantined_until.max(now + FAILURE_QUARANTINE);
        }
    }

    /// Notes that a task on it stands still.
    pub fn quarantine_stalled(&mut self, now: Millis) {
        self.quarantined_until = self.quarantined_until.max(now + STALL_QUARANTINE);
    }

    /// Notes that it refused an order as unhealthy.
    pub fn quarantine_unhealthy(&mut self, now: Millis) {
        self.quarantined_until = self.quarantined_until.max(now + UNHEALTHY_QUARANTINE);
    }

    /// Returns the number up to which ends may be forgotten, given the stored change of each job.
    pub fn drop_recorded_ends(&mut self, stored: impl Fn(&id::Job) -> Option<u64>) -> u64 {
        while let Some((_, job, revision)) = self.unrecorded_ends.front() {
            if stored(job).is_some_and(|stored| stored < *revision) {
                break;
            }
            self.unrecorded_ends.pop_front();
        }
        self.unrecorded_ends
            .front()
            .map_or(self.last_end, |(number, _, _)| number - 1)
    }

    /// Forgets all that belongs to an earlier life, and returns the runs of it.
    pub fn reset(&mut self, node: Node, lapse: Millis) -> Vec<Run> {
        let runs = std::mem::take(&mut self.runs);
        let (hold_in_flight, hold_wait, probe_in_flight) =
            (self.hold_in_flight, self.hold_wait, self.probe_in_flight);
        let quarantined_until = self.quarantined_until;
        *self = Self::new(node, lapse);
        self.hold_in_flight = hold_in_flight;
        self.hold_wait = hold_wait;
        self.probe_in_flight = probe_in_flight;
        self.quarantined_until = quarantined_until;
        runs
    }
}
