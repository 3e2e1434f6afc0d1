//! Provides jobs and the states of their tasks.

use std::collections::VecDeque;

use fxhash::FxHashMap;
use marigoldpick_core::intent;
use marigoldpick_core::prelude::*;

use crate::event::Span;
use crate::slab::Slab;

/// `State` is the state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The task waits for room.
    Waiting,
    /// The task waits for the end of a delay after a failure, a refused start or an exit.
    Delayed,
    /// The task has the run in this slot.
    Placed(u32),
    /// The task completed.
    Done,
    /// The task was given up.
    Failed,
    /// The task ended because its job was cancelled.
    Cancelled,
}

/// `Task` is the state of one task and its history of attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// The state.
    pub state: State,
    /// The highest known attempt number.
    pub attempt: u32,
    /// Number of failures of the task itself.
    pub failures: u16,
    /// Whether the task waits because its last run was lost.
    pub lost: bool,
    /// Whether the task waits because it was displaced; it then displaces no other task.
    pub displaced: bool,
    /// The worker on which the task failed last.
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

    /// Returns whether the task has ended for good.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.state, State::Done | State::Failed | State::Cancelled)
    }
}

/// `RackCount` is the number of runs of a job in a rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RackCount {
    /// The slot of the rack.
    pub rack: u32,
    /// The number of runs.
    pub count: u32,
}

/// `Job` is the range of a job's tasks in this shard.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as its intent declares it.
    pub spec: intent::Job,
    /// The range of task indices.
    pub span: Span,
    /// The slot of the job's kind.
    pub kind: u32,
    /// The slot of the team.
    pub team: u32,
    /// The time of arrival.
    pub arrived: Millis,
    /// The position in the order of arrivals.
    pub order: u64,
    /// The tasks, indexed from the start of the range.
    pub tasks: Vec<Task>,
    /// Indices of tasks that may be waiting; each is checked again when taken.
    pub pending: VecDeque<u32>,
    /// Checkpoints from which tasks resume, by task index.
    pub checkpoints: FxHashMap<u32, String>,
    /// Minimum memory in MiB of tasks that ran out of memory or outgrew their worker, by task index.
    pub memory_overrides: FxHashMap<u32, u64>,
    /// Numbers of runs by rack, sorted by rack, if the job is spread over racks or domains.
    pub racks: Vec<RackCount>,
    /// Number of runs that are being stopped for the job.
    pub displacing: u32,
    /// The reason why the remaining tasks are given up, if they are.
    pub abandoned: Option<Code>,
    /// Whether no worker could already be running its tasks when the job arrived.
    pub fresh: bool,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether the job is in the queue of its kind.
    pub queued: bool,
    /// Number of tasks with a run.
    pub placed: u32,
    /// Number of waiting tasks, including delayed ones.
    pub waiting: u32,
    /// Number of delayed tasks.
    pub delayed: u32,
    /// Number of completed tasks.
    pub completed: u32,
    /// Number of tasks that were given up.
    pub failed: u32,
    /// Number of cancelled tasks.
    pub cancelled_tasks: u32,
    /// Number of tasks that have not ended.
    pub unfinished: u32,
}

impl Job {
    /// Creates a job whose tasks are all waiting.
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
            memory_overrides: FxHashMap::default(),
            racks: Vec::new(),
            displacing: 0,
            abandoned: None,
            fresh: true,
            cancelled: false,
            queued: false,
            placed: 0,
            waiting: count,
            delayed: 0,
            completed: 0,
            failed: 0,
            cancelled_tasks: 0,
            unfinished: count,
        }
    }

    /// Returns a task if the index is in the range.
    #[must_use]
    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(self.position(index)?)
    }

    /// Returns a task for modification if the index is in the range.
    pub fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        let at = self.position(index)?;
        self.tasks.get_mut(at)
    }

    /// Sets the state of a task and updates the counts.
    pub fn set(&mut self, index: u32, state: State) {
        let Some(task) = self.task_mut(index) else {
            return;
        };
        let before = std::mem::replace(&mut task.state, state);
        *self.counter_mut(before) -= 1;
        *self.counter_mut(state) += 1;
        self.delayed -= u32::from(before == State::Delayed);
        self.delayed += u32::from(state == State::Delayed);
        self.unfinished = self.waiting + self.placed;
    }

    /// Returns the index of the next waiting task without removing it.
    pub fn next_waiting(&mut self) -> Option<u32> {
        while let Some(&index) = self.pending.front() {
            if self.task(index).is_some_and(|t| t.state == State::Waiting) {
                return Some(index);
            }
            self.pending.pop_front();
        }
        None
    }

    /// Makes a task wait in front of the job's other tasks, because it has waited before.
    pub fn requeue(&mut self, index: u32) {
        self.set(index, State::Waiting);
        self.pending.push_front(index);
    }

    /// Returns the slots of the job's runs.
    #[must_use]
    pub fn placed_runs(&self) -> Vec<u32> {
        let run = |task: &Task| match task.state {
            State::Placed(run) => Some(run),
            _ => None,
        };
        self.tasks.iter().filter_map(run).collect()
    }

    /// Adds a run to the count of a rack or removes one.
    pub fn adjust_rack_count(&mut self, rack: u32, added: bool) {
        match (self.racks.binary_search_by_key(&rack, |r| r.rack), added) {
            (Ok(at), true) => self.racks[at].count += 1,
            (Ok(at), false) => self.racks[at].count = self.racks[at].count.saturating_sub(1),
            (Err(at), true) => self.racks.insert(at, RackCount { rack, count: 1 }),
            (Err(_), false) => {}
        }
    }

    /// Returns the number of the job's runs in a rack.
    #[must_use]
    pub fn runs_in_rack(&self, rack: u32) -> u32 {
        self.racks
            .binary_search_by_key(&rack, |r| r.rack)
            .map_or(0, |at| self.racks[at].count)
    }

    fn position(&self, index: u32) -> Option<usize> {
        index.checked_sub(self.span.from).map(|at| at as usize)
    }

    fn counter_mut(&mut self, state: State) -> &mut u32 {
        match state {
            State::Waiting | State::Delayed => &mut self.waiting,
            State::Placed(_) => &mut self.placed,
            State::Done => &mut self.completed,
            State::Failed => &mut self.failed,
            State::Cancelled => &mut self.cancelled_tasks,
        }
    }
}

/// `Table` holds the jobs by slot and by name.
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

    /// Returns the slot of a job, if it is known.
    #[must_use]
    pub fn slot(&self, name: &id::Job) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// Returns the job in a slot if its arrival order is `order`.
    #[must_use]
    pub fn find(&self, slot: u32, order: u64) -> Option<&Job> {
        self.jobs.find(slot).filter(|job| job.order == order)
    }

    /// Returns the job in a slot.
    ///
    /// # Panics
    /// Panics when the slot is free.
    #[must_use]
    pub fn get(&self, slot: u32) -> &Job {
        self.jobs.get(slot)
    }

    /// Returns the job in a slot for modification.
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
