//! Simulates one worker of jobs: its lease, its runs and their ends.

use std::collections::BTreeMap;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Ended, Exit, Node, Report, Running, Start};
use marigoldpick_core::work::{Step, Task};

/// The time that a failing run takes until it fails.
const FAILURE_TIME: Millis = Millis(20);
/// The longest time that a member of a gang waits for the others.
const GANG_WAIT: Millis = Millis(3_000);
/// The time below which the clocks of restarted workers begin, in milliseconds.
const FIRST_READINGS: u64 = 60_000;

/// `Limits` is the time limits of all workers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest lease.
    pub lease: Millis,
    /// The time that a stop takes.
    pub stop: Millis,
}

/// `Run` is an active run.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) task: Task,
    pub(super) run: u64,
    pub(super) claim: Amount,
    pub(super) gang: bool,
    lasting: bool,
    progress: Millis,
    duration: Millis,
    /// How the run ends once its work is done.
    how: Exit,
    /// The time at which the stop in progress ends.
    stop_end: Option<Millis>,
    /// The time since which it waits for the other members of its gang.
    pub(super) waiting_since: Option<Millis>,
}

impl Run {
    pub(super) fn new(start: &Start, step: &Step, fails: bool) -> Self {
        Self {
            task: start.task.clone(),
            run: start.run,
            claim: step.claim(),
            gang: step.gang,
            lasting: step.lasting,
            progress: Millis::ZERO,
            duration: if fails { FAILURE_TIME } else { step.estimate },
            how: if fails { Exit::Failed } else { Exit::Done },
            stop_end: None,
            waiting_since: None,
        }
    }

    /// Returns whether no stop of the run is in progress.
    pub(super) const fn is_at_work(&self) -> bool {
        self.stop_end.is_none()
    }

    /// Returns whether the run has made any progress.
    pub(super) fn has_worked(&self) -> bool {
        self.progress > Millis::ZERO
    }

    /// Returns the checkpoint that the run tells, empty if it has none.
    fn checkpoint(&self, is_saving: bool) -> String {
        if is_saving && self.has_worked() {
            format!("{}.{}.{}", self.task.index, self.run, self.progress.0)
        } else {
            String::new()
        }
    }

    fn percent(&self) -> u32 {
        if self.lasting {
            return 100;
        }
        (self.progress.0 * 100 / self.duration.0.max(1)).min(99) as u32
    }

    /// Advances the run by `span` and returns how it ended, if it did.
    fn advance(&mut self, span: Millis, is_whole: bool, now: Millis) -> Option<Exit> {
        if let Some(end) = self.stop_end {
            return (now >= end).then_some(Exit::Stopped);
        }
        if !is_whole {
            let since = *self.waiting_since.get_or_insert(now);
            return (now.since(since) >= GANG_WAIT).then_some(Exit::Alone);
        }
        self.waiting_since = None;
        self.progress += span;
        let fails = self.how == Exit::Failed;
        (self.progress >= self.duration && (fails || !self.lasting)).then_some(self.how)
    }
}

/// `Worker` is one simulated worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's description of itself.
    pub node: Node,
    /// Whether it runs and is registered.
    pub up: bool,
    /// When it is back after a crash.
    pub returns_at: Option<Millis>,
    /// Whether all its tasks fail.
    pub failing: bool,
    /// Whether its tasks make no progress.
    pub hung: bool,
    /// Whether it is stopped as by SIGSTOP: its runs neither progress nor end nor lapse, while its clock goes on.
    pub stopped: bool,
    /// The factor by which its tasks take longer than their estimates.
    pub slowness: u64,
    /// Whether its tasks tell checkpoints, each a value of its own.
    pub saving: bool,
    /// Whether it refuses all starts as an unhealthy worker.
    pub refusing: bool,
    /// The rate of its clock in thousandths of the actual rate.
    pub clock_permille: u64,
    /// The start of its incarnation.
    pub began: Millis,
    /// The reading of its clock at that time, which may be behind or ahead of the former incarnation's clock.
    pub first_reading: Millis,
    pub(super) active: Vec<Run>,
    pub(super) ended: Vec<Ended>,
    pub(super) term: u64,
    /// The end of its lease on its own clock.
    pub(super) lease: Millis,
    /// The highest run of each task that was stopped or ended; starts up to it are refused.
    pub(super) floor: BTreeMap<Task, u64>,
    last_end: u64,
    /// The last end before its lease lapsed; what ended until then may be started again.
    pub(super) lapsed_end: u64,
}

impl Worker {
    /// Creates a worker without runs.
    #[must_use]
    pub const fn new(node: Node) -> Self {
        Self {
            node,
            up: true,
            returns_at: None,
            failing: false,
            hung: false,
            stopped: false,
            slowness: 1,
            saving: false,
            refusing: false,
            clock_permille: 1_000,
            began: Millis::ZERO,
            first_reading: Millis::ZERO,
            active: Vec::new(),
            ended: Vec::new(),
            term: 0,
            lease: Millis::ZERO,
            floor: BTreeMap::new(),
            last_end: 0,
            lapsed_end: 0,
        }
    }

    /// Returns its clock at the actual time `now`.
    #[must_use]
    pub const fn clock(&self, now: Millis) -> Millis {
        let span = now.0.saturating_sub(self.began.0) * self.clock_permille / 1_000;
        Millis(self.first_reading.0 + span)
    }

    /// Returns whether its lease has lapsed at the actual time `now`.
    pub(super) fn has_lapsed(&self, now: Millis) -> bool {
        self.lease < self.clock(now)
    }

    /// Returns whether its runs count as running: it is up, and won't end them before anything else when it goes on.
    pub(super) fn is_live(&self, now: Millis) -> bool {
        self.up && !(self.stopped && self.has_lapsed(now))
    }

    /// Begins an incarnation, whose clock has a reading of its own.
    pub(super) fn begin(&mut self, now: Millis) {
        self.began = now;
        let name = format!("{}{}", self.node.id, self.node.born);
        let hash = name.bytes().fold(0_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        });
        self.first_reading = Millis((hash >> 32) % FIRST_READINGS);
    }

    /// Extends the lease to `until`, at most by the longest lease.
    pub(super) fn extend_lease(&mut self, until: Millis, limits: &Limits, now: Millis) {
        let most = self.clock(now) + limits.lease;
        self.lease = self.lease.max(until.min(most));
    }

    /// Stops a run; if it has not started yet, its start will be refused.
    pub(super) fn stop_run(&mut self, task: &Task, run: u64, limits: &Limits, now: Millis) {
        self.raise_floor(task, run);
        let active = self
            .active
            .iter_mut()
            .find(|active| active.task == *task && active.run == run);
        if let Some(active) = active {
            active.stop_end.get_or_insert(now + limits.stop);
        }
    }

    /// Returns whether it rejects a start, since the run was stopped or has ended.
    #[must_use]
    pub fn rejects(&self, start: &Start) -> bool {
        let floor = self.floor.get(&start.task);
        floor.is_some_and(|run| *run >= start.run)
    }

    fn raise_floor(&mut self, task: &Task, run: u64) {
        let floor = self.floor.entry(task.clone()).or_default();
        *floor = (*floor).max(run);
    }

    /// Removes the ends up to the number `seen` and returns them.
    pub(super) fn take_ends(&mut self, seen: u64) -> Vec<Ended> {
        let (seen_ends, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.number <= seen);
        self.ended = kept;
        seen_ends
    }

    /// Returns whether a task of a job runs on the worker.
    #[must_use]
    pub fn has_job(&self, job: &id::Job) -> bool {
        self.active
            .iter()
            .any(|active| active.task.part.job == *job)
    }

    /// Returns whether there is an end after the number `seen` to report.
    #[must_use]
    pub fn has_unseen_end(&self, seen: u64) -> bool {
        self.ended.iter().any(|end| end.number > seen)
    }

    /// Returns the running runs, and the first `max_ends` of the ended ones.
    ///
    /// A run that is being stopped is in neither list, although it still occupies capacity.
    pub(super) fn report(&self, max_ends: usize) -> Report {
        let running = self.active.iter().filter(|active| active.is_at_work());
        Report {
            running: running
                .map(|active| Running {
                    task: active.task.clone(),
                    run: active.run,
                    checkpoint: active.checkpoint(self.saving),
                    percent: active.percent(),
                    figure: active.claim.millicores,
                })
                .collect(),
            ended: self.ended.iter().take(max_ends).cloned().collect(),
            is_cut: self.ended.len() > max_ends,
        }
    }

    /// Advances the runs by `span` and returns those that ended.
    ///
    /// `is_whole` returns whether all members of a gang's run are at work.
    pub(super) fn advance(
        &mut self,
        span: Millis,
        now: Millis,
        is_whole: impl Fn(&Task, u64) -> bool,
    ) -> Vec<Ended> {
        let has_lapsed = self.has_lapsed(now);
        if has_lapsed {
            self.lapsed_end = self.last_end;
        }
        let mut ended_runs = Vec::new();
        for mut active in std::mem::take(&mut self.active) {
            let is_idle = self.hung || !now.0.is_multiple_of(self.slowness);
            let worked_span = if is_idle { Millis::ZERO } else { span };
            let is_complete = !active.gang || is_whole(&active.task, active.run);
            let how = if has_lapsed {
                Some(Exit::Lapsed)
            } else {
                active.advance(worked_span, is_complete, now)
            };
            match how {
                Some(how) => ended_runs.push((active, how)),
                None => self.active.push(active),
            }
        }
        ended_runs
            .into_iter()
            .map(|(active, how)| self.record_end(&active.task, active.run, how))
            .collect()
    }

    /// Records the end of a run that was removed from the active ones.
    pub(super) fn record_end(&mut self, task: &Task, run: u64, how: Exit) -> Ended {
        self.raise_floor(task, run);
        self.last_end += 1;
        let ended = Ended {
            number: self.last_end,
            task: task.clone(),
            run,
            how,
            checkpoint: String::new(),
        };
        self.ended.push(ended.clone());
        ended
    }
}
