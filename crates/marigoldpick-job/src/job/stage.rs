//! The state of a step in one occurrence of a job.
//!
//! Load pattern: a job may have 640,000 tasks, of which a few run at a time. Only tasks that differ from new and from
//! finished ones have a state of their own, so that memory grows with what the record has of the step.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Step;

use crate::advice::Tickets;
use crate::ranges::Ranges;
use crate::record;

/// `Place` is a worker on which a task's run is or may be active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The worker.
    pub worker: id::Worker,
    /// The number of the run.
    pub run: u64,
}

/// `Task` is the state of one task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether the task is finished.
    pub done: bool,
    /// The runs that failed.
    pub failed: Vec<u64>,
    /// The last checkpoint, empty if there is none.
    pub checkpoint: String,
    /// Possible placements; more than one only with copies or while a stop is in flight.
    pub places: Vec<Place>,
    /// Workers on which the task failed; other workers are preferred.
    pub avoid: Vec<id::Worker>,
    /// The runs after whose start a worker crashed. Members of a gang share their run, so that each start of it
    /// counts once.
    pub crashed: Vec<u64>,
    /// The runs in `crashed` of which it is not known that they began.
    pub unconfirmed: Vec<u64>,
    /// Placements whose workers' connections broke right after the start; they may have crashed.
    pub possible_crashes: Vec<Place>,
    /// Whether the task is given up because of its crashes.
    pub is_given_up: bool,
    /// The number of runs that were stopped since they stalled.
    pub stalls: u32,
}

/// A task of which nothing is known but that it has not finished.
static NEW: Task = Task::plain(false);
/// A task of which nothing is known but that it has finished.
static FINISHED: Task = Task::plain(true);

impl Task {
    const fn plain(done: bool) -> Self {
        Self {
            done,
            failed: Vec::new(),
            checkpoint: String::new(),
            places: Vec::new(),
            avoid: Vec::new(),
            crashed: Vec::new(),
            unconfirmed: Vec::new(),
            possible_crashes: Vec::new(),
            is_given_up: false,
            stalls: 0,
        }
    }

    /// Returns whether the task is unfinished and has no placement.
    #[must_use]
    pub const fn is_unplaced(&self) -> bool {
        !self.done && self.places.is_empty()
    }

    /// Returns the number of runs that are known to have begun before their worker crashed.
    #[must_use]
    pub fn confirmed_crashes(&self) -> usize {
        let is_confirmed = |run: &&u64| !self.unconfirmed.contains(run);
        self.crashed.iter().filter(is_confirmed).count()
    }

    /// Returns the number of runs after whose start a worker crashed or may have crashed.
    #[must_use]
    pub fn suspected_crashes(&self) -> usize {
        let mut runs = self.crashed.clone();
        runs.extend(self.possible_crashes.iter().map(|place| place.run));
        runs.sort_unstable();
        runs.dedup();
        runs.len()
    }

    /// Returns whether the task is like any other new or finished one.
    const fn is_plain(&self) -> bool {
        if !self.places.is_empty() || !self.failed.is_empty() {
            return false;
        }
        let has_history = !self.crashed.is_empty()
            || !self.possible_crashes.is_empty()
            || !self.checkpoint.is_empty()
            || !self.avoid.is_empty()
            || self.is_given_up
            || self.stalls > 0;
        self.done || !has_history
    }
}

/// The progress that counts for a value told at the end of a run, above all progress of a running one.
const END_PROGRESS: u32 = 101;

/// `GangCheckpoint` is the checkpoint from which all members of a gang resume.
///
/// Each member tells values of its own, of which any is valid for the gang, and all members of a run must carry the same.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GangCheckpoint {
    /// The newest value, empty if there is none.
    value: String,
    /// The run and the progress, in percent, at which it was told.
    told: (u64, u32),
    /// The last run of which a start was ordered, and the value that its starts carry.
    started: Option<(u64, String)>,
}

impl GangCheckpoint {
    /// Records a value that a member has told, unless a newer one is known.
    fn record(&mut self, value: &str, run: u64, progress: u32) {
        if !value.is_empty() && (run, progress) >= self.told {
            value.clone_into(&mut self.value);
            self.told = (run, progress);
        }
    }

    /// Returns the value for the starts of a run, which stays the same whatever is told meanwhile.
    fn for_run(&mut self, run: u64) -> &str {
        if self.started.as_ref().is_none_or(|(have, _)| *have != run) {
            self.started = Some((run, self.value.clone()));
        }
        self.started.as_ref().map_or("", |(_, value)| value)
    }
}

/// `Stage` is the state of a step in an occurrence.
#[derive(Clone, Debug)]
pub struct Stage {
    /// The number of tasks.
    count: u32,
    /// The finished tasks.
    done: Ranges,
    /// The tasks with a state of their own, sorted by number.
    touched: Vec<(u32, Task)>,
    /// The number of unfinished tasks.
    pub unfinished: u32,
    /// The adviser's answers for the step.
    pub tickets: Tickets,
    /// Whether tasks of the step waited for their team's limit in the last pass.
    pub over_quota: bool,
    /// When it is next estimated whether a gang for which no quota is held can start.
    pub next_estimate: Millis,
    /// The checkpoint of a gang; `None` if the step is none.
    gang: Option<GangCheckpoint>,
}

impl Stage {
    /// Creates the state of a step of which nothing has run.
    #[must_use]
    pub fn new(step: &Step) -> Self {
        Self {
            count: step.count,
            done: Ranges::new(),
            touched: Vec::new(),
            unfinished: step.count,
            tickets: Tickets::default(),
            over_quota: false,
            next_estimate: Millis::ZERO,
            gang: step.gang.then(GangCheckpoint::default),
        }
    }

    /// Returns the number of tasks.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Returns the state of a task.
    #[must_use]
    pub fn task(&self, index: u32) -> Option<&Task> {
        if index >= self.count {
            return None;
        }
        Some(match self.find(index) {
            Ok(at) => &self.touched[at].1,
            Err(_) if self.done.contains(index) => &FINISHED,
            Err(_) => &NEW,
        })
    }

    /// Returns the state of a task, mutably; see [`Self::settle`].
    pub fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        if index >= self.count {
            return None;
        }
        let at = self.find(index).unwrap_or_else(|at| {
            let task = Task::plain(self.done.contains(index));
            self.touched.insert(at, (index, task));
            at
        });
        Some(&mut self.touched[at].1)
    }

    /// Drops the state of a task that has become like any other one.
    pub fn settle(&mut self, index: u32) {
        if let Ok(at) = self.find(index)
            && self.touched[at].1.is_plain()
        {
            self.touched.remove(at);
        }
    }

    /// Returns all tasks with their numbers, ascending.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, &Task)> {
        let mut touched = self.touched.iter().peekable();
        let mut done = self.done.as_slice().iter().peekable();
        (0..self.count).map(move |index| {
            if let Some((_, task)) = touched.next_if(|(have, _)| *have == index) {
                return (index, task);
            }
            while done.next_if(|(_, last)| *last < index).is_some() {}
            let is_done = done.peek().is_some_and(|(first, _)| *first <= index);
            (index, if is_done { &FINISHED } else { &NEW })
        })
    }

    /// Returns the tasks with a state of their own and their numbers, ascending; all placed tasks are among them.
    pub fn touched(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.touched.iter().map(|(index, task)| (*index, task))
    }

    /// Returns the number of tasks that are unfinished and have no placement.
    #[must_use]
    pub fn count_unplaced(&self) -> u32 {
        let is_placed = |(_, task): &&(u32, Task)| !task.done && !task.is_unplaced();
        let placed = self.touched.iter().filter(is_placed).count();
        self.unfinished
            .saturating_sub(u32::try_from(placed).unwrap_or(u32::MAX))
    }

    /// Returns whether some task is unfinished and has no placement.
    #[must_use]
    pub fn has_unplaced(&self) -> bool {
        self.unfinished as usize > self.touched.len() || self.count_unplaced() > 0
    }

    /// Returns whether no task differs from a new one.
    pub(super) fn is_new(&self) -> bool {
        self.touched.is_empty()
            && self.unfinished == self.count
            && self.gang_checkpoint().is_empty()
    }

    /// Records a checkpoint that a running task has told; `progress` is in percent.
    pub fn record_checkpoint(&mut self, index: u32, run: u64, progress: u32, value: &str) {
        if value.is_empty() || self.unfinished == 0 {
            return;
        }
        if let Some(gang) = &mut self.gang {
            gang.record(value, run, progress);
        } else if let Some(task) = self.task_mut(index)
            && !task.done
        {
            value.clone_into(&mut task.checkpoint);
        }
    }

    /// Records a checkpoint that was told at the end of a run.
    pub fn record_last_checkpoint(&mut self, index: u32, run: u64, value: &str) {
        self.record_checkpoint(index, run, END_PROGRESS, value);
    }

    /// Returns the checkpoint for a start, empty if there is none; the same for all starts of a gang's run.
    pub fn checkpoint_for(&mut self, index: u32, run: u64) -> String {
        if let Some(gang) = &mut self.gang {
            return gang.for_run(run).to_owned();
        }
        let task = self.task(index);
        task.map_or_else(String::new, |task| task.checkpoint.clone())
    }

    /// Restores the checkpoints of a record.
    ///
    /// Earlier versions recorded the members of a gang with values of their own, of which the first is taken. Values told
    /// by runs before those that are placed are older.
    pub(super) fn restore_checkpoints(&mut self, part: &record::Part) {
        if let Some(gang) = &mut self.gang {
            let first = part.places.iter().map(|(_, _, run)| *run).min();
            let value = part.checkpoints.first().map(|(_, value)| value);
            if let Some(value) = value {
                gang.record(value, first.unwrap_or(0), 0);
            }
            return;
        }
        for (index, checkpoint) in &part.checkpoints {
            if let Some(task) = self.task_mut(*index) {
                task.checkpoint.clone_from(checkpoint);
            }
        }
    }

    fn gang_checkpoint(&self) -> &str {
        self.gang.as_ref().map_or("", |gang| &gang.value)
    }

    /// Returns the checkpoints to record, with the numbers of their tasks; all members of a gang have the same one, as
    /// earlier versions need it.
    fn checkpoints(&self) -> Vec<(u32, String)> {
        let value = self.gang_checkpoint();
        if !value.is_empty() && self.unfinished > 0 {
            return (0..self.count)
                .map(|index| (index, value.to_owned()))
                .collect();
        }
        let told = self.touched().filter(|(_, t)| !t.checkpoint.is_empty());
        told.map(|(index, t)| (index, t.checkpoint.clone()))
            .collect()
    }

    /// Returns whether all tasks have finished and no run of theirs may be active.
    pub(super) fn is_over(&self) -> bool {
        let mut touched = self.touched.iter();
        self.unfinished == 0 && touched.all(|(_, task)| task.places.is_empty())
    }

    /// Marks a task as finished.
    pub fn finish_task(&mut self, index: u32) {
        if index >= self.count || self.done.contains(index) {
            return;
        }
        self.done.insert(index);
        self.unfinished -= 1;
        if let Ok(at) = self.find(index) {
            let task = &mut self.touched[at].1;
            task.done = true;
            task.checkpoint.clear();
            self.settle(index);
        }
    }

    /// Marks all tasks as finished.
    pub fn finish_all(&mut self) {
        self.finish_tasks(0, u32::MAX);
    }

    /// Marks the tasks from `first` to `last` as finished.
    pub fn finish_tasks(&mut self, first: u32, last: u32) {
        if first >= self.count {
            return;
        }
        let last = last.min(self.count - 1);
        self.done.insert_range(first, last);
        self.unfinished = self.count - u32::try_from(self.done.count()).unwrap_or(self.count);
        let in_range = |index: &u32| (first..=last).contains(index);
        for (_, task) in self.touched.iter_mut().filter(|(index, _)| in_range(index)) {
            task.done = true;
            task.checkpoint.clear();
        }
        self.touched
            .retain(|(index, task)| !in_range(index) || !task.is_plain());
    }

    pub(super) fn record(&self, occurrence: u32, step: u32) -> Option<record::Part> {
        let tasks = || self.touched();
        let unfinished = || self.touched().filter(|(_, task)| !task.done);
        let part = record::Part {
            occurrence,
            step,
            done: self.done.as_slice().to_vec(),
            failed: tasks()
                .flat_map(|(index, t)| t.failed.iter().map(move |run| (index, *run)))
                .collect(),
            crashed: unfinished()
                .flat_map(|(index, t)| t.crashed.iter().map(move |run| (index, *run)))
                .collect(),
            unconfirmed: unfinished()
                .flat_map(|(index, t)| t.unconfirmed.iter().map(move |run| (index, *run)))
                .collect(),
            possible_crashes: unfinished()
                .flat_map(|(index, t)| {
                    let places = t.possible_crashes.iter();
                    places.map(move |place| (index, place.worker.clone(), place.run))
                })
                .collect(),
            checkpoints: self.checkpoints(),
            places: tasks()
                .flat_map(|(index, t)| {
                    let places = t.places.iter();
                    places.map(move |place| (index, place.worker.clone(), place.run))
                })
                .collect(),
        };
        let is_empty = part.done.is_empty()
            && part.failed.is_empty()
            && part.crashed.is_empty()
            && part.possible_crashes.is_empty()
            && part.checkpoints.is_empty()
            && part.places.is_empty();
        (!is_empty).then_some(part)
    }

    /// Returns the position of a task's state, or the position at which to insert it.
    fn find(&self, index: u32) -> Result<usize, usize> {
        self.touched.binary_search_by_key(&index, |(have, _)| *have)
    }
}
