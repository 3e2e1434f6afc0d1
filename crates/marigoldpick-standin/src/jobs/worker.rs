//! One worker: its lease, what runs there, and what ended.

use std::collections::BTreeMap;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Ended, How, Node, Report, Running, Start};
use marigoldpick_core::work::{Step, Task};

/// How long a task that fails by its own fault takes to do so.
const FAILURE: Millis = Millis(20);
/// How long a member of a gang waits for the others.
const GANG_WAIT: Millis = Millis(3_000);

/// `Limits` is what all workers have in common.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest lease.
    pub lease: Millis,
    /// How long a stop takes.
    pub stop: Millis,
}

/// `Live` is a run that goes on.
#[derive(Clone, Debug)]
pub(super) struct Live {
    pub(super) task: Task,
    pub(super) run: u64,
    pub(super) claim: Amount,
    pub(super) gang: bool,
    lasting: bool,
    worked: Millis,
    work: Millis,
    /// How it ends once the work is done.
    how: How,
    /// When the stop that goes on is over.
    stops: Option<Millis>,
    /// Since when it waits for the other members of its gang.
    pub(super) alone: Option<Millis>,
}

impl Live {
    pub(super) fn new(start: &Start, step: &Step, fails: bool) -> Self {
        Self {
            task: start.task.clone(),
            run: start.run,
            claim: step.claim(),
            gang: step.gang,
            lasting: step.lasting,
            worked: Millis::ZERO,
            work: if fails { FAILURE } else { step.estimate },
            how: if fails { How::Failed } else { How::Done },
            stops: None,
            alone: None,
        }
    }

    /// Tells whether it works, rather than being stopped.
    pub(super) const fn is_at_work(&self) -> bool {
        self.stops.is_none()
    }

    fn percent(&self) -> u32 {
        if self.lasting {
            return 100;
        }
        (self.worked.0 * 100 / self.work.0.max(1)).min(99) as u32
    }

    /// Lets time pass; returns how it ended, if it did.
    fn pass(&mut self, span: Millis, whole: bool, now: Millis) -> Option<How> {
        if let Some(stops) = self.stops {
            return (now >= stops).then_some(How::Stopped);
        }
        if !whole {
            let since = *self.alone.get_or_insert(now);
            return (now.since(since) >= GANG_WAIT).then_some(How::Alone);
        }
        self.alone = None;
        self.worked += span;
        let fails = self.how == How::Failed;
        (self.worked >= self.work && (fails || !self.lasting)).then_some(self.how)
    }
}

/// `Worker` is one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it says of itself.
    pub node: Node,
    /// Whether it runs and is registered.
    pub up: bool,
    /// Whether its tasks all fail.
    pub failing: bool,
    /// Whether its tasks stand still.
    pub hung: bool,
    /// How many times as long as their estimates its tasks take.
    pub slowness: u64,
    /// Whether it refuses all starts as unhealthy.
    pub refusing: bool,
    /// How fast its clock runs, in thousandths of the true rate.
    pub clock_permille: u64,
    pub(super) live: Vec<Live>,
    pub(super) ended: Vec<Ended>,
    pub(super) term: u64,
    /// The end of its lease, by its clock.
    pub(super) lease: Millis,
    /// Runs that were stopped or ended: a start at or below is refused.
    pub(super) floor: BTreeMap<Task, u64>,
    next_end: u64,
}

impl Worker {
    /// Makes a worker on which nothing runs.
    #[must_use]
    pub const fn new(node: Node) -> Self {
        Self {
            node,
            up: true,
            failing: false,
            hung: false,
            slowness: 1,
            refusing: false,
            clock_permille: 1_000,
            live: Vec::new(),
            ended: Vec::new(),
            term: 0,
            lease: Millis::ZERO,
            floor: BTreeMap::new(),
            next_end: 0,
        }
    }

    /// Returns its clock at the true time `now`.
    #[must_use]
    pub const fn clock(&self, now: Millis) -> Millis {
        Millis(now.0 * self.clock_permille / 1_000)
    }

    /// Extends the lease.
    pub(super) fn extend(&mut self, until: Millis, limits: &Limits, now: Millis) {
        let most = self.clock(now) + limits.lease;
        self.lease = self.lease.max(until.min(most));
    }

    /// Stops a run; one that is not there will be refused.
    pub(super) fn stop(&mut self, task: &Task, run: u64, limits: &Limits, now: Millis) {
        self.raise_floor(task, run);
        let live = self
            .live
            .iter_mut()
            .find(|live| live.task == *task && live.run == run);
        if let Some(live) = live {
            live.stops.get_or_insert(now + limits.stop);
        }
    }

    fn raise_floor(&mut self, task: &Task, run: u64) {
        let floor = self.floor.entry(task.clone()).or_default();
        *floor = (*floor).max(run);
    }

    /// Forgets ends up to a number and returns them.
    pub(super) fn forget(&mut self, seen: u64) -> Vec<Ended> {
        let (noted, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.number <= seen);
        self.ended = kept;
        noted
    }

    /// Tells whether a task of a job runs there.
    #[must_use]
    pub fn runs_job(&self, job: &id::Job) -> bool {
        self.live.iter().any(|live| live.task.part.job == *job)
    }

    /// Tells whether an end after `seen` is to be told.
    #[must_use]
    pub fn has_news(&self, seen: u64) -> bool {
        self.ended.iter().any(|end| end.number > seen)
    }

    /// Returns what runs and what ended.
    ///
    /// What is being stopped is in neither list, although it still takes room.
    pub(super) fn report(&self) -> Report {
        let running = self.live.iter().filter(|live| live.is_at_work());
        Report {
            running: running
                .map(|live| Running {
                    task: live.task.clone(),
                    run: live.run,
                    checkpoint: String::new(),
                    percent: live.percent(),
                    figure: live.claim.millicores,
                })
                .collect(),
            ended: self.ended.clone(),
        }
    }

    /// Lets time pass, and returns the runs that ended. `whole` tells whether a gang is complete.
    pub(super) fn pass(
        &mut self,
        span: Millis,
        now: Millis,
        whole: impl Fn(&Task, u64) -> bool,
    ) -> Vec<Ended> {
        let lapsed = self.lease < self.clock(now);
        let mut over = Vec::new();
        for mut live in std::mem::take(&mut self.live) {
            let is_idle = self.hung || !now.0.is_multiple_of(self.slowness);
            let worked = if is_idle { Millis::ZERO } else { span };
            let complete = !live.gang || whole(&live.task, live.run);
            let how = if lapsed {
                Some(How::Lapsed)
            } else {
                live.pass(worked, complete, now)
            };
            match how {
                Some(how) => over.push((live, how)),
                None => self.live.push(live),
            }
        }
        over.into_iter()
            .map(|(live, how)| self.end(&live.task, live.run, how))
            .collect()
    }

    /// Lists the end of a run that is no longer there.
    pub(super) fn end(&mut self, task: &Task, run: u64, how: How) -> Ended {
        self.raise_floor(task, run);
        self.next_end += 1;
        let ended = Ended {
            number: self.next_end,
            task: task.clone(),
            run,
            how,
            checkpoint: String::new(),
        };
        self.ended.push(ended.clone());
        ended
    }
}
