//! The lead's state of a worker: its lease, its runs and its health.

use std::collections::VecDeque;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Node, Target};
use marigoldpick_core::work::{Part, Step, Task};

use crate::lease::Lease;
use crate::open::{Attempts, Holds, Kind, Orders};
use crate::settings::Settings;
use crate::speed::DecayingMean;

/// The number of consecutive task failures after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 3;
/// A run that has worked for this time did not crash its worker by its start.
pub(crate) const SETTLE_TIME: Millis = Millis(250);
/// A call that fails within this time was refused or reset; connections and calls time out later.
pub(crate) const BROKEN_CALL_TIME: Millis = Millis(300);
/// A worker is new for this time. Workers that crash again and again for other reasons are.
const NEW_WORKER_TIME: Millis = Millis(10_000);
/// The quarantine after consecutive task failures.
const FAILURE_QUARANTINE: Millis = Millis(4_000);
/// The quarantine after a task stalled on the worker.
const STALL_QUARANTINE: Millis = Millis(3_000);
/// The quarantine after a worker refused an order as unhealthy.
const UNHEALTHY_QUARANTINE: Millis = Millis(1_000);

/// A run that is overdue for longer than this is expected to go on for as long as it has been overdue.
const OVERDUE_GRACE: Millis = Millis(4_000);

/// The longest time for which a reservation may keep all other work from a worker, and the time for which the worker is
/// not reserved after that. It exceeds [`OVERDUE_GRACE`] by the time of a question.
pub const BLOCK_LIMIT: Millis = Millis(6_000);
/// A block that was not seen for this time has ended.
const BLOCK_GAP: Millis = Millis(1_000);

/// `Phase` is the progress of a run's orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The start waits until the store has recorded the placement.
    Recording,
    /// The start is in flight.
    Ordered,
    /// The worker has confirmed the run.
    Running,
    /// The start got no answer at this time; the run may be running, or may start later.
    Unknown(Millis),
    /// The run must be stopped; the stop is not in flight.
    Stop,
    /// The stop is in flight.
    Stopping,
    /// The worker answered the stop at this time; the run may still occupy it for a while.
    Stopped(Millis),
}

/// `Run` is a run that occupies capacity of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u64,
    /// The resources that the run reserves on its worker.
    pub claim: Amount,
    /// The resources that the run uses, which are charged to its team.
    pub needs: Amount,
    /// The team of the run's job, if it has one.
    pub team: Option<id::Team>,
    /// The progress of the run's orders.
    pub phase: Phase,
    /// The revision of its job from which on the job's record names the run; the greatest number if none does.
    pub recorded_by: u64,
    /// When the start was last ordered, if it was.
    pub ordered_at: Option<Millis>,
    /// The orders that were sent for the run.
    pub attempts: Attempts,
    /// When the run was confirmed to be running.
    pub confirmed_at: Millis,
    /// Whether the worker has restarted since the start was ordered. The run has ended, or will never begin, unless
    /// the first report of the restarted worker lists it.
    pub outlived: bool,
    /// The estimated run time.
    pub estimate: Millis,
    /// The limit on the response time, for a serving task.
    pub target: Option<Millis>,
    /// Whether the task fills processors that other tasks leave unused.
    pub fills: bool,
    /// Whether the task runs until its job is cancelled.
    pub lasting: bool,
    /// Whether the task works only while all members of its gang run.
    pub gang: bool,
    /// Whether the task may crash the worker, so that no other task starts there until the run has settled.
    pub on_trial: bool,
    /// The last ordered share of its processors that the run may use, in percent.
    pub pace: u32,
    /// The progress at the last report, in percent.
    pub percent: u32,
    /// When that progress was first reported.
    pub progressed_at: Millis,
}

impl Run {
    /// Creates the state of a run of which only the task and number are known; it claims nothing.
    #[must_use]
    pub fn new(task: Task, run: u64, phase: Phase, now: Millis) -> Self {
        Self {
            task,
            run,
            claim: Amount::default(),
            needs: Amount::default(),
            team: None,
            phase,
            recorded_by: 0,
            ordered_at: None,
            attempts: Attempts::default(),
            confirmed_at: now,
            outlived: false,
            estimate: Millis::ZERO,
            target: None,
            fills: false,
            lasting: false,
            gang: false,
            on_trial: false,
            pace: 100,
            percent: 0,
            progressed_at: now,
        }
    }
}

impl Run {
    /// Returns whether the run has just started at `at`, so that it may be the cause if the worker crashes then.
    ///
    /// The run of an earlier lead counts as settled, since nobody knows when it started.
    #[must_use]
    pub fn is_settling(&self, at: Millis) -> bool {
        let Some(ordered) = self.ordered_at else {
            return false;
        };
        match self.phase {
            Phase::Ordered | Phase::Unknown(_) => at < ordered + SETTLE_TIME,
            Phase::Running => at < self.confirmed_at + SETTLE_TIME,
            Phase::Recording | Phase::Stop | Phase::Stopping | Phase::Stopped(_) => false,
        }
    }

    /// Returns when the run is expected to end; `None` for a lasting one that is not being stopped.
    ///
    /// Load pattern: a run goes on far past its estimate, so that its end is not expected soon just because it is due.
    #[must_use]
    pub fn expected_end(&self, now: Millis) -> Option<Millis> {
        match self.phase {
            Phase::Stop | Phase::Stopping | Phase::Stopped(_) => return Some(now),
            _ if self.lasting => return None,
            Phase::Recording | Phase::Ordered | Phase::Running | Phase::Unknown(_) => {}
        }
        let planned = self.confirmed_at + self.estimate;
        let overdue = now.since(planned);
        Some(if overdue > OVERDUE_GRACE {
            now + overdue
        } else {
            planned.max(now)
        })
    }

    /// Returns whether the run still holds its claim at `at`, as far as can be expected.
    #[must_use]
    pub fn is_expected_at(&self, at: Millis, now: Millis) -> bool {
        self.expected_end(now).is_none_or(|end| at < end)
    }
}

/// `Suspect` is a run that may have crashed its worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspect {
    /// The task; for a gang, its first one.
    pub task: Task,
    /// The number of the run.
    pub run: u64,
    /// Whether the worker is known to have carried out the start.
    pub is_confirmed: bool,
}

/// `Incarnation` tells the orders to one incarnation of a worker from those to former ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// The number of restarts that the lead had seen; see [`Target::generation`].
    pub generation: u32,
    /// The number of the first order to it.
    pub first_order: u64,
}

/// `Block` is how long reservations have kept all other work from a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Block {
    /// When the present block began, and when it was last seen.
    last: Option<(Millis, Millis)>,
    /// The time until which the worker is not reserved.
    excluded_until: Millis,
}

/// `Worker` is the lead's state of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's entry in the registry.
    pub node: Node,
    /// Whether the worker is in the registry now.
    pub is_registered: bool,
    /// Whether the worker was in the list that the registry's last list replaced.
    pub(crate) was_registered: bool,
    /// Whether the worker has reported in this term.
    pub has_reported: bool,
    /// The time by which stops of an earlier lead have completed, while such stops are expected. Only a report that
    /// was requested then or later shows that none of these runs is left.
    pub stops_until: Option<Millis>,
    /// Whether the worker's last report did not list all of its ends.
    pub has_hidden_ends: bool,
    /// What tells the orders to this incarnation from those to former ones.
    incarnation: Incarnation,
    /// The lease of this incarnation.
    pub lease: Lease,
    /// When an order was last answered.
    last_answer: Option<Millis>,
    /// The time until which an order without an answer may still be carried out and extend a lease.
    unanswered_until: Millis,
    /// Whether a waiver of its lease may be in the store, so that the lease must not be renewed.
    pub is_waived: bool,
    /// Whether the worker has restarted in this term. What an earlier lead knew of its leases then no longer holds,
    /// since its clock began anew.
    has_restarted: bool,
    /// The resources claimed by its runs.
    used: Amount,
    /// The resources kept for tasks that are being evacuated to the worker.
    reserved: Amount,
    /// The capacity that its runs and the reservations leave free.
    free: Amount,
    /// The runs, sorted by task and run.
    pub runs: Vec<Run>,
    /// Whether some run may need a stop.
    pub has_stops: bool,
    /// The earliest time of the next stop after one that failed.
    pub next_stop: Millis,
    /// The number of the last end processed.
    pub last_end: u64,
    /// Ends that the store has not recorded: number, job and revision of the job.
    pub unrecorded_ends: VecDeque<(u64, id::Job, u64)>,
    /// The start of an incarnation that the registry has told of, which a later report has refuted.
    pub(crate) refuted_born: Option<u64>,
    /// Whether the worker may be unreachable; nothing is placed on it until it reports.
    ///
    /// A worker becomes suspect when a start gets no answer or does not reach it, or when many
    /// workers of its failure domain are unresponsive.
    pub is_suspect: bool,
    /// The open orders for its runs.
    pub orders: Orders,
    /// The holds in flight.
    pub holds: Holds,
    /// The number of the last hold that brought a report, and the worker's clock in it.
    last_report: (u64, Millis),
    /// The time when the next hold is due.
    pub next_hold: Millis,
    /// The last end that an answered hold allowed the worker to forget.
    pub acknowledged_end: u64,
    /// The number of consecutive holds without an answer.
    pub unanswered_holds: u32,
    /// The earliest time at which the worker may have been lost, if its last hold got no answer.
    pub silent_since: Option<Millis>,
    /// The runs that had just started when the worker was lost; the loss counts as a crash under their tasks once
    /// the worker is known to have ended.
    pub crash_suspects: Vec<Suspect>,
    /// Whether another incarnation is known to have taken this one's place.
    pub has_ended: bool,
    /// When the lead first knew of the incarnation.
    pub known_since: Millis,
    /// The number of runs on trial.
    trials: usize,
    /// The run times of its tasks relative to their estimates.
    pub(crate) slowdown: DecayingMean,
    /// How long reservations have kept all other work from the worker.
    block: Block,
    /// The number of consecutive task failures.
    failures: u32,
    /// The time until which the worker gets no work.
    pub quarantined_until: Millis,
}

impl Worker {
    /// Creates the state of a worker that has not reported.
    #[must_use]
    pub fn new(node: Node, lease: Lease, incarnation: Incarnation, now: Millis) -> Self {
        let free = node.capacity.clone();
        Self {
            node,
            is_registered: true,
            was_registered: false,
            has_reported: false,
            stops_until: None,
            has_hidden_ends: false,
            incarnation,
            lease,
            last_answer: None,
            unanswered_until: Millis::ZERO,
            is_waived: false,
            has_restarted: false,
            used: Amount::default(),
            reserved: Amount::default(),
            free,
            runs: Vec::new(),
            has_stops: false,
            next_stop: Millis::ZERO,
            last_end: 0,
            unrecorded_ends: VecDeque::new(),
            refuted_born: None,
            is_suspect: false,
            orders: Orders::default(),
            holds: Holds::default(),
            last_report: (0, Millis::ZERO),
            next_hold: Millis::ZERO,
            acknowledged_end: 0,
            unanswered_holds: 0,
            silent_since: None,
            crash_suspects: Vec::new(),
            has_ended: false,
            known_since: now,
            trials: 0,
            slowdown: DecayingMean::default(),
            block: Block::default(),
            failures: 0,
            quarantined_until: Millis::ZERO,
        }
    }

    /// Returns the target for orders to the worker.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            id: self.node.id.clone(),
            address: self.node.address.clone(),
            generation: self.incarnation.generation,
        }
    }

    /// Makes the next hold due at once.
    pub fn hold_soon(&mut self, now: Millis) {
        self.next_hold = self.next_hold.min(now);
    }

    /// Extends the lease from `now` and returns its end by the worker's clock.
    ///
    /// Returns `None` while no reading of the clock is known.
    pub fn extend_lease(&mut self, settings: &Settings, now: Millis) -> Option<Millis> {
        let lasting = self.runs.iter().any(|run| run.lasting);
        let span = if lasting {
            settings.lease.min(settings.lasting_lease)
        } else {
            settings.lease
        };
        self.lease.extend(span, settings, now)
    }

    /// Returns whether the order with `number` was sent to a former incarnation of the worker.
    #[must_use]
    pub const fn is_outdated(&self, number: u64) -> bool {
        number < self.incarnation.first_order
    }

    /// Returns whether the worker has restarted in this term.
    #[must_use]
    pub const fn has_restarted(&self) -> bool {
        self.has_restarted
    }

    /// Records that an order was answered.
    pub fn record_answer(&mut self, now: Millis) {
        self.last_answer = Some(now);
    }

    /// Records that an order that extends the lease got no answer, so that it may be carried out until `until`.
    pub fn record_unanswered_order(&mut self, until: Millis) {
        self.unanswered_until = self.unanswered_until.max(until);
    }

    /// Returns the time until which orders to this incarnation may be carried out by the next one, unless that has
    /// carried out an order of its own before.
    #[must_use]
    pub fn late_orders_until(&self, settings: &Settings, now: Millis) -> Millis {
        if self.orders.starts().next().is_some() || !self.holds.is_empty() {
            now + settings.order_delay
        } else {
            self.unanswered_until.max(now)
        }
    }

    /// Records that a hold sent at `sent` with `wait` got no answer; returns whether the worker may just have
    /// crashed.
    ///
    /// A hold that fails sooner than it can time out shows that the worker's connections broke, as in a crash.
    /// Otherwise the worker was last known to be alive when it last answered.
    pub fn record_silence(&mut self, sent: Millis, wait: Millis, now: Millis) -> bool {
        if self.silent_since.is_some() {
            return false;
        }
        let is_broken = now.since(sent) < wait.max(BROKEN_CALL_TIME);
        let since = if is_broken {
            Some(now)
        } else {
            self.last_answer()
        };
        self.silent_since = Some(since.unwrap_or(sent));
        is_broken
    }

    /// Returns when the worker last answered.
    #[must_use]
    pub const fn last_answer(&self) -> Option<Millis> {
        self.last_answer
    }

    /// Returns the earliest time at which the worker may have been lost.
    #[must_use]
    pub fn earliest_loss(&self, now: Millis) -> Millis {
        self.silent_since
            .or_else(|| self.last_answer())
            .unwrap_or(now)
    }

    /// Returns whether a run that may crash the worker has not settled; `part` names a gang whose members
    /// do not count.
    #[must_use]
    pub fn has_trial(&self, part: Option<&Part>, now: Millis) -> bool {
        let is_unsettled = |run: &Run| run.phase == Phase::Recording || run.is_settling(now);
        let mut runs = self.runs.iter();
        self.trials > 0
            && runs.any(|run| run.on_trial && is_unsettled(run) && Some(&run.task.part) != part)
    }

    /// Returns whether some run has just started.
    #[must_use]
    pub fn has_settling_run(&self, now: Millis) -> bool {
        self.runs.iter().any(|run| run.is_settling(now))
    }

    /// Returns whether the worker is new, as after a crash.
    #[must_use]
    pub fn is_new(&self, now: Millis) -> bool {
        now.since(self.known_since) < NEW_WORKER_TIME
    }

    /// Returns the free capacity.
    #[must_use]
    pub const fn free(&self) -> &Amount {
        &self.free
    }

    /// Returns the resources claimed by its runs.
    #[must_use]
    pub const fn used(&self) -> &Amount {
        &self.used
    }

    /// Returns whether its runs claim more than its capacity, which may have shrunk since they were placed.
    #[must_use]
    pub fn is_overcommitted(&self) -> bool {
        !self.node.capacity.holds(&self.used)
    }

    /// Applies a new entry of the registry.
    pub fn update(&mut self, node: Node) {
        self.node = node;
        self.count_free();
    }

    fn count_free(&mut self) {
        self.free.clone_from(&self.node.capacity);
        self.free.subtract(&self.used);
        self.free.subtract(&self.reserved);
    }

    /// Keeps resources for a task that is being evacuated to the worker.
    pub fn reserve(&mut self, claim: &Amount) {
        self.reserved.add(claim);
        self.count_free();
    }

    /// Frees resources that were kept for a task.
    pub fn unreserve(&mut self, claim: &Amount) {
        self.reserved.subtract(claim);
        self.count_free();
    }

    /// Returns whether the worker may get new work.
    #[must_use]
    pub fn can_take_work(&self, now: Millis) -> bool {
        self.is_registered
            && self.has_reported
            && !self.is_waived
            && !self.node.draining
            && self.stops_until.is_none()
            && self.is_responsive()
            && self.quarantined_until <= now
            && self.lease.has_report()
    }

    /// Returns when all its runs that are expected to end will have ended.
    #[must_use]
    pub fn expected_idle(&self, now: Millis) -> Millis {
        let ends = self.runs.iter().filter_map(|run| run.expected_end(now));
        ends.fold(now, Millis::max)
    }

    /// Returns whether the worker may be reserved.
    #[must_use]
    pub fn is_reservable(&self, now: Millis) -> bool {
        self.block.excluded_until <= now
    }

    /// Records that a reservation keeps all other work from the worker; returns false once that has lasted too long.
    ///
    /// Load pattern: the worker is empty, and the step that it is reserved for does not start, since the adviser gives no
    /// ticket.
    pub fn block(&mut self, now: Millis) -> bool {
        let since = match self.block.last {
            Some((since, seen)) if now.since(seen) < BLOCK_GAP => since,
            _ => now,
        };
        if now.since(since) < BLOCK_LIMIT {
            self.block.last = Some((since, now));
            true
        } else {
            self.block = Block {
                last: None,
                excluded_until: now + BLOCK_LIMIT,
            };
            false
        }
    }

    /// Returns the capacity that is expected to be free at `at` if nothing else starts.
    ///
    /// With [`Millis::MAX`] only lasting runs and the room for evacuated tasks are left out.
    #[must_use]
    pub fn free_at(&self, at: Millis, now: Millis) -> Amount {
        let mut free = self.node.capacity.clone();
        free.subtract(&self.reserved);
        for run in self.runs.iter().filter(|run| run.is_expected_at(at, now)) {
            free.subtract(&run.claim);
        }
        free
    }

    /// Returns whether orders to the worker may extend its lease.
    #[must_use]
    pub const fn is_renewable(&self) -> bool {
        self.has_reported && self.is_responsive() && !self.is_waived
    }

    /// Returns whether the worker answered its last hold and is not suspect.
    #[must_use]
    pub const fn is_responsive(&self) -> bool {
        self.unanswered_holds == 0 && !self.is_suspect
    }

    /// Returns whether the worker has the label that a step requires, if any.
    #[must_use]
    pub fn has_label_for(&self, step: &Step) -> bool {
        step.label
            .as_ref()
            .is_none_or(|label| self.node.labels.binary_search(label).is_ok())
    }

    /// Returns the position of a run, or the position at which to insert it.
    pub fn find_run(&self, task: &Task, run: u64) -> Result<usize, usize> {
        self.runs
            .binary_search_by(|have| have.task.cmp(task).then(have.run.cmp(&run)))
    }

    /// Returns a run, mutably.
    pub fn run_mut(&mut self, task: &Task, run: u64) -> Option<&mut Run> {
        let at = self.find_run(task, run).ok()?;
        Some(&mut self.runs[at])
    }

    /// Adds a run and claims its resources; returns false if the worker has the run already.
    pub fn add(&mut self, run: Run) -> bool {
        let Err(at) = self.find_run(&run.task, run.run) else {
            return false;
        };
        self.used.add(&run.claim);
        self.block.last = None;
        self.has_stops |= run.phase == Phase::Stop;
        self.trials += usize::from(run.on_trial);
        self.runs.insert(at, run);
        self.count_free();
        true
    }

    /// Removes a run and frees its resources.
    pub fn remove(&mut self, task: &Task, run: u64) -> Option<Run> {
        let at = self.find_run(task, run).ok()?;
        let run = self.runs.remove(at);
        self.trials -= usize::from(run.on_trial);
        self.used.subtract(&run.claim);
        self.count_free();
        Some(run)
    }

    /// Returns the number of runs that belong to a step.
    #[must_use]
    pub fn count_of_step(&self, part: &Part) -> u32 {
        let of_step = |run: &&Run| run.task.part == *part;
        self.runs.iter().filter(of_step).count() as u32
    }

    /// Returns the number of runs that belong to a step and are expected to go on at `at`.
    #[must_use]
    pub fn count_of_step_at(&self, part: &Part, at: Millis, now: Millis) -> u32 {
        let remains = |run: &&Run| run.task.part == *part && run.is_expected_at(at, now);
        self.runs.iter().filter(remains).count() as u32
    }

    /// Returns the runs whose start or stop is to be sent again, `interval` after the last order.
    ///
    /// A worker that is not responsive gets none, and neither does one whose life is over or in question.
    #[must_use]
    pub fn due_repeats(&self, interval: Millis, now: Millis) -> Vec<(Kind, Task, u64)> {
        if self.orders.is_empty() || !self.is_responsive() || self.has_ended || !self.has_reported {
            return Vec::new();
        }
        let due = |run: &Run| {
            let kind = match run.phase {
                Phase::Ordered => Kind::Start,
                Phase::Stopping => Kind::Stop,
                _ => return None,
            };
            let is_due = run.attempts.is_due(kind, interval, now)
                && !(kind == Kind::Start && run.outlived)
                && self.orders.has(kind, &run.task, run.run);
            is_due.then(|| (kind, run.task.clone(), run.run))
        };
        self.runs.iter().filter_map(due).collect()
    }

    /// Records a report in the answer to the hold with `number`; returns whether a later one has been processed.
    pub fn record_report(&mut self, number: u64, clock: Millis) -> bool {
        let (last_number, last_clock) = self.last_report;
        let is_stale = number < last_number && clock < last_clock;
        if !is_stale {
            self.last_report = (number, clock);
        }
        is_stale
    }

    /// Records whether a task failed or succeeded; consecutive failures quarantine the worker.
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

    /// Quarantines the worker after a task stalled on it.
    pub fn quarantine_stalled(&mut self, now: Millis) {
        self.quarantined_until = self.quarantined_until.max(now + STALL_QUARANTINE);
    }

    /// Quarantines the worker after it refused an order as unhealthy.
    pub fn quarantine_unhealthy(&mut self, now: Millis) {
        self.quarantined_until = self.quarantined_until.max(now + UNHEALTHY_QUARANTINE);
    }

    /// Drops recorded ends and returns the last one that the worker may forget.
    ///
    /// `stored` returns the stored revision of a job.
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

    /// Resets the state after a restart of the worker and returns its former runs.
    ///
    /// The starts in flight, the waiver, the quarantine and the room kept for evacuated tasks stay. The outcomes of the
    /// holds in flight change nothing any more, but any order may still be carried out late.
    ///
    /// Orders to former incarnations may be carried out until `late_orders_until`.
    pub fn reset(
        &mut self,
        node: Node,
        lease: Lease,
        incarnation: Incarnation,
        late_orders_until: Millis,
        now: Millis,
    ) -> Vec<Run> {
        let runs = std::mem::take(&mut self.runs);
        let orders = self.orders.take_starts();
        let (quarantined_until, is_waived) = (self.quarantined_until, self.is_waived);
        let reserved = std::mem::take(&mut self.reserved);
        *self = Self::new(node, lease, incarnation, now);
        self.has_restarted = true;
        self.unanswered_until = late_orders_until;
        self.reserved = reserved;
        self.count_free();
        self.is_waived = is_waived;
        self.orders = orders;
        self.quarantined_until = quarantined_until;
        runs
    }
}
