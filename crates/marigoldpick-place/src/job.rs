//! Jobs and the states of their tasks.

use std::collections::VecDeque;

use fxhash::FxHashMap;
use marigoldpick_core::intent;
use marigoldpick_core::prelude::*;

use crate::event::Span;
use crate::slab::Slab;

/// `State` is a task's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It waits for room.
    Waiting,
    /// It waits out a delay after a failure.
    Delayed,
    /// It has the run in this slot.
    Placed(u32),
    /// It completed.
    Done,
    /// It was given up.
    Failed,
    /// It ended by the job's cancellation.
    Cancelled,
}

/// `Task` is what is known of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// Its state.
    pub state: State,
    /// The highest attempt that was seen.
    pub attempt: u32,
    /// How often it failed by itself.
    pub failures: u16,
    /// Whether it waits since its worker was lost.
    pub lost: bool,
    /// Whether it waits since it was displaced, and so displaces nothing itself.
    pub displaced: bool,
    /// The worker on which it failed last.
    pub failed_on: Option<u32>,
}

impl Task {
    const NEW: Self = Self {
        state: State::Waiting,
        attempt: 0,
        failures: 0,
        lost: false,
        displaced: false,
        failed_on: None,
    };

    /// Tells whether it has ended for good.
    #[must_use]
    pub const fn ended(&self) -> bool {
        matches!(self.state, State::Done | State::Failed | State::Cancelled)
    }
}

/// `RackCount` is the count of a job's runs in a rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RackCount {
    /// The rack's slot.
    pub rack: u32,
    /// The count.
    pub count: u32,
}

/// `Job` is a job's range of tasks in this shard.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job.
    pub spec: intent::Job,
    /// The range.
    pub span: Span,
    /// The slot of its kind.
    pub kind: u32,
    /// The team's slot.
    pub team: u32,
    /// When it came.
    pub arrived: Millis,
    /// Its place in the order of arrivals.
    pub order: u64,
    /// Its tasks, by index from the range's start.
    pub tasks: Vec<Task>,
    /// Indices of tasks that may be waiting; each is checked again when it is taken.
    pub pending: VecDeque<u32>,
    /// Checkpoints to go on from.
    pub checkpoints: FxHashMap<u32, String>,
    /// Memory for tasks that ran out of it, by index.
    pub memory: FxHashMap<u32, u64>,
    /// Counts of its runs by rack, sorted by rack, when it is kept apart.
    pub racks: Vec<RackCount>,
    /// Runs that are giving way to it.
    pub displacing: u32,
    /// Why the tasks that are left are given up, if they are.
    pub doomed: Option<Code>,
    /// Whether no worker could hold a task of it when it came.
    pub fresh: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether it stands in its kind's queue.
    pub queued: bool,
    /// Tasks with a run.
    pub placed: u32,
    /// Tasks that wait, delayed ones among them.
    pub waiting: u32,
    /// Tasks that wait out a delay.
    pub delayed: u32,
    /// Tasks that were completed.
    pub completed: u32,
    /// Tasks that were given up.
    pub failed: u32,
    /// Tasks that ended by cancellation.
    pub cancelled_tasks: u32,
    /// Tasks that have not ended.
    pub open: u32,
}

impl Job {
    /// Makes a job whose tasks all wait.
    #[must_use]
    pub fn new(spec: intent::Job, span: Span, kind: u32, arrived: Millis, order: u64) -> Self {
        let count = span.to.saturating_sub(span.from);
        Self {
            spec,
            span,
            kind,
            team: 0,
            arrived,
            order,
            tasks: vec![Task::NEW; count as usize],
            pending: (span.from..span.to).collect(),
            checkpoints: FxHashMap::default(),
            memory: FxHashMap::default(),
            racks: Vec::new(),
            displacing: 0,
            doomed: None,
            fresh: true,
            cancelled: false,
            queued: false,
            placed: 0,
            waiting: count,
            delayed: 0,
            completed: 0,
            failed: 0,
            cancelled_tasks: 0,
            open: count,
        }
    }

    /// Returns a task, if the index is in the range.
    #[must_use]
    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(self.at(index)?)
    }

    /// Returns a task to be changed, if the index is in the range.
    pub fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        let at = self.at(index)?;
        self.tasks.get_mut(at)
    }

    /// Changes a task's state and keeps the counts.
    pub fn set(&mut self, index: u32, state: State) {
        let Some(task) = self.task_mut(index) else {
            return;
        };
        let before = std::mem::replace(&mut task.state, state);
        *self.count_of(before) -= 1;
        *self.count_of(state) += 1;
        self.delayed -= u32::from(before == State::Delayed);
        self.delayed += u32::from(state == State::Delayed);
        self.open = self.waiting + self.placed;
    }

    /// Returns the next waiting task without taking it.
    pub fn next_waiting(&mut self) -> Option<u32> {
        while let Some(&index) = self.pending.front() {
            if self.task(index).is_some_and(|t| t.state == State::Waiting) {
                return Some(index);
            }
            self.pending.pop_front();
        }
        None
    }

    /// Makes a task wait in front of the others, since it keeps its age.
    pub fn put_back(&mut self, index: u32) {
        self.set(index, State::Waiting);
        self.pending.push_front(index);
    }

    /// Returns the slots of its runs.
    #[must_use]
    pub fn placed_runs(&self) -> Vec<u32> {
        let run = |task: &Task| match task.state {
            State::Placed(run) => Some(run),
            _ => None,
        };
        self.tasks.iter().filter_map(run).collect()
    }

    /// Notes a run more or less in a rack.
    pub fn count_rack(&mut self, rack: u32, more: bool) {
        match (self.racks.binary_search_by_key(&rack, |r| r.rack), more) {
            (Ok(at), true) => self.racks[at].count += 1,
            (Ok(at), false) => self.racks[at].count = self.racks[at].count.saturating_sub(1),
            (Err(at), true) => self.racks.insert(at, RackCount { rack, count: 1 }),
            (Err(_), false) => {}
        }
    }

    /// Returns the count of its runs in a rack.
    #[must_use]
    pub fn in_rack(&self, rack: u32) -> u32 {
        self.racks
            .binary_search_by_key(&rack, |r| r.rack)
            .map_or(0, |at| self.racks[at].count)
    }

    fn at(&self, index: u32) -> Option<usize> {
        index.checked_sub(self.span.from).map(|at| at as usize)
    }

    fn count_of(&mut self, state: State) -> &mut u32 {
        match state {
            State::Waiting | State::Delayed => &mut self.waiting,
            State::Placed(_) => &mut self.placed,
            State::Done => &mut self.completed,
            State::Failed => &mut self.failed,
            State::Cancelled => &mut self.cancelled_tasks,
        }
    }
}

/// `Table` holds the jobs by slot and finds them by name.
#[derive(Debug, Default)]
pub struct Table {
    jobs: Slab<Job>,
    by_name: FxHashMap<id::Job, u32>,
}

impl Table {
    /// Adds a job and returns its slot.
    pub fn add(&mut self, job: Job) -> u32 {
        let name = job.spec.name.clone();
        let slot = self.jobs.add(job);
        self.by_name.insert(name, slot);
        slot
    }

    /// Removes a job.
    pub fn remove(&mut self, slot: u32) -> Option<Job> {
        let job = self.jobs.remove(slot)?;
        self.by_name.remove(&job.spec.name);
        Some(job)
    }

    /// Returns the slot of a job.
    #[must_use]
    pub fn slot(&self, name: &id::Job) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// Returns the job in a slot, if it still is the one that came with this order.
    #[must_use]
    pub fn find(&self, slot: u32, order: u64) -> Option<&Job> {
        self.jobs.find(slot).filter(|job| job.order == order)
    }

    /// Returns a job.
    ///
    /// # Panics
    /// Panics when the slot is free.
    #[must_use]
    pub fn get(&self, slot: u32) -> &Job {
        self.jobs.get(slot)
    }

    /// Returns a job to be changed.
    ///
    /// # Panics
    /// Panics when the slot is free.
    pub fn get_mut(&mut self, slot: u32) -> &mut Job {
        self.jobs.get_mut(slot)
    }

    /// Iterates over the jobs with their slots.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Job)> {
        self.jobs.iter()
    }
}
