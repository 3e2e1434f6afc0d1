//! The lead's state of a job: its finished tasks and the placements of the others.

mod stage;

use std::sync::Arc;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{self, Part, Phase, Step};

pub use self::stage::{Place, Stage, Task};
use crate::ranges::Ranges;
use crate::record::{self, Record};

/// The maximum number of occurrences of a job that are due and of which nothing has run yet. Further ones are opened when
/// tasks of these have been placed.
///
/// Load pattern: a job of 525,600 occurrences, one for each minute of a year, or one whose occurrences were all due long
/// before it was submitted. Memory and the time of a pass grow with what runs or has run, not with these numbers.
pub const MAX_NEW_OCCURRENCES: usize = 32;

/// `Occurrence` is the state of one scheduled execution of a job.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Its number, from zero.
    pub number: u32,
    /// The due time, by the lead's clock.
    pub due: Millis,
    /// The steps by number.
    pub stages: Vec<Stage>,
    /// The critical path of the estimated work that remains.
    pub time_left: Millis,
}

impl Occurrence {
    /// Returns whether all tasks of all steps are finished.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.stages.iter().all(|stage| stage.unfinished == 0)
    }

    /// Returns whether all steps that `step` depends on are finished.
    #[must_use]
    pub fn is_ready(&self, spec: &work::Job, step: usize) -> bool {
        spec.steps[step]
            .after
            .iter()
            .all(|before| self.stages[*before as usize].unfinished == 0)
    }

    /// Returns whether nothing of it has run or is placed.
    fn is_new(&self) -> bool {
        self.stages.iter().all(Stage::is_new)
    }

    /// Returns whether all tasks are finished and no run of theirs may be active.
    fn is_over(&self) -> bool {
        self.stages.iter().all(Stage::is_over)
    }
}

/// `Anchor` is a moment on both the wall clock and the lead's clock.
#[derive(Clone, Copy, Debug)]
struct Anchor {
    /// Unix time in milliseconds.
    wall: u64,
    now: Millis,
}

impl Anchor {
    /// Returns the time of the lead's clock at the Unix time `wall`.
    fn local(self, wall: u64) -> Millis {
        match wall.checked_sub(self.wall) {
            Some(ahead) => self.now + Millis(ahead),
            None => self.now - Millis(self.wall - wall),
        }
    }
}

/// `Job` is the lead's state of one job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id of the job.
    pub id: id::Job,
    /// The job as submitted.
    pub spec: Arc<work::Job>,
    /// The resources that a task of each step claims, by step number.
    pub claims: Vec<Amount>,
    /// How long an occurrence may take to be on time.
    pub objective: Millis,
    /// The time of submission, by the lead's clock.
    pub arrived: Millis,
    /// The current phase.
    pub phase: Phase,
    /// The phase in the store.
    pub recorded: Phase,
    /// The revision of the job's record; each change increments it.
    pub revision: u64,
    /// The last revision that the store has.
    pub stored_revision: u64,
    /// The time when the job ended.
    pub ended_at: Option<Millis>,
    /// Whether the job was submitted before the lead's term.
    pub loaded: bool,
    /// Whether the job exceeds the rate of its team.
    pub excess: bool,
    /// The occurrences that are due or of which something has run, and that are not over; sorted by number.
    pub occurrences: Vec<Occurrence>,
    /// The numbers of the occurrences that are over.
    finished: Ranges,
    /// Occurrences with lower numbers have been opened.
    opened: u32,
    /// The critical path of the estimated work of an occurrence of which nothing has run.
    full_time: Millis,
    anchor: Anchor,
}

impl Job {
    /// Creates the state of a job without started tasks.
    ///
    /// `wall` is the Unix time in milliseconds at `now`.
    #[must_use]
    pub fn new(id: id::Job, spec: Arc<work::Job>, wall: u64, now: Millis) -> Self {
        let mut job = Self::without_occurrences(id, spec, wall, now);
        job.open_due(now);
        job
    }

    /// Creates the state of a job from its record, if the store has one.
    ///
    /// Load pattern: most stored jobs have ended, and a new lead loads all of them before it starts work. Such a job
    /// has no state of its tasks unless its record has some.
    #[must_use]
    pub fn load(
        id: id::Job,
        spec: Arc<work::Job>,
        record: Option<&Record>,
        wall: u64,
        now: Millis,
    ) -> Self {
        let mut job = Self::without_occurrences(id, spec, wall, now);
        job.loaded = true;
        if let Some(record) = record {
            job.restore(record, now);
        }
        job.open_due(now);
        job
    }

    fn without_occurrences(id: id::Job, spec: Arc<work::Job>, wall: u64, now: Millis) -> Self {
        let age = wall.saturating_sub(spec.accepted);
        Self {
            id,
            claims: spec.steps.iter().map(Step::claim).collect(),
            objective: Millis::ZERO,
            arrived: now - Millis(age),
            phase: Phase::Queued,
            recorded: Phase::Queued,
            revision: 0,
            stored_revision: 0,
            ended_at: None,
            loaded: false,
            excess: false,
            occurrences: Vec::new(),
            finished: Ranges::new(),
            opened: 0,
            full_time: Millis::ZERO,
            anchor: Anchor { wall, now },
            spec,
        }
    }

    /// Opens the occurrences that are due, in their order, as far as not too many of which nothing has run are open.
    pub fn open_due(&mut self, now: Millis) {
        if !self.has_unopened() || self.phase.is_over() {
            return;
        }
        let new = self.occurrences.iter().filter(|o| o.is_new()).count();
        let mut room = MAX_NEW_OCCURRENCES.saturating_sub(new);
        while room > 0 && self.has_unopened() && self.due(self.opened) <= now {
            room -= usize::from(self.open(self.opened).is_some());
            self.opened = self.finished.first_missing(self.opened.saturating_add(1));
        }
    }

    /// Returns whether occurrences remain that are opened when they are due.
    #[must_use]
    pub fn has_unopened(&self) -> bool {
        self.opened < self.spec.occurrences()
    }

    /// Sets the critical path of the estimated work of an occurrence of which nothing has run.
    pub fn set_full_time(&mut self, full_time: Millis) {
        self.full_time = full_time;
    }

    /// Returns when an occurrence is due, by the lead's clock.
    fn due(&self, number: u32) -> Millis {
        self.spec.schedule.map_or(self.arrived, |schedule| {
            let waited = schedule.every.times(u64::from(number));
            self.anchor.local(schedule.first.saturating_add(waited.0))
        })
    }

    /// Opens an occurrence, also one that is not due yet; returns its position unless it is over or there is none.
    fn open(&mut self, number: u32) -> Option<usize> {
        if number >= self.spec.occurrences() || self.finished.contains(number) {
            return None;
        }
        Some(self.find(number).unwrap_or_else(|at| {
            let occurrence = Occurrence {
                number,
                due: self.due(number),
                stages: self.spec.steps.iter().map(Stage::new).collect(),
                time_left: self.full_time,
            };
            self.occurrences.insert(at, occurrence);
            at
        }))
    }

    /// Returns the position of an open occurrence, or the position at which to insert it.
    fn find(&self, number: u32) -> Result<usize, usize> {
        self.occurrences.binary_search_by_key(&number, |o| o.number)
    }

    /// Drops what is known of a task that has become like any other one, and of its occurrence once that is over.
    pub fn settle(&mut self, task: &work::Task) {
        let Ok(at) = self.find(task.part.occurrence) else {
            return;
        };
        if let Some(stage) = self.occurrences[at].stages.get_mut(task.part.step as usize) {
            stage.settle(task.index);
        }
        self.close_if_over(at);
    }

    /// Drops the state of an occurrence that is over.
    fn close_if_over(&mut self, at: usize) {
        if self.occurrences[at].is_over() {
            let over = self.occurrences.remove(at);
            self.finished.insert(over.number);
        }
    }

    /// Restores the progress that the store has recorded.
    pub fn restore(&mut self, record: &Record, now: Millis) {
        self.phase = record.phase;
        self.recorded = record.phase;
        self.ended_at = record.phase.is_over().then_some(now);
        for (first, last) in &record.finished {
            let last = (*last).min(self.spec.occurrences() - 1);
            self.finished.insert_range(*first, last);
        }
        self.opened = self.finished.first_missing(0);
        for part in &record.parts {
            self.restore_part(part);
            if let Ok(at) = self.find(part.occurrence) {
                self.close_if_over(at);
            }
        }
    }

    fn restore_part(&mut self, part: &record::Part) {
        let Some(stage) = self.stage_mut(part.occurrence, part.step) else {
            return;
        };
        for (first, last) in &part.done {
            stage.finish_tasks(*first, *last);
        }
        for (index, run) in &part.failed {
            if let Some(task) = stage.task_mut(*index) {
                task.failed.push(*run);
            }
        }
        for (index, run) in &part.crashed {
            if let Some(task) = stage.task_mut(*index) {
                task.crashed.push(*run);
            }
        }
        for (index, run) in &part.unconfirmed {
            if let Some(task) = stage.task_mut(*index) {
                task.unconfirmed.push(*run);
            }
        }
        for (index, worker, run) in &part.possible_crashes {
            if let Some(task) = stage.task_mut(*index) {
                task.possible_crashes.push(Place {
                    worker: worker.clone(),
                    run: *run,
                });
            }
        }
        stage.restore_checkpoints(part);
        for (index, worker, run) in &part.places {
            if let Some(task) = stage.task_mut(*index) {
                task.places.push(Place {
                    worker: worker.clone(),
                    run: *run,
                });
            }
        }
    }

    /// Returns the record to store.
    ///
    /// Of a job that is over it keeps the placements alone: runs that are being stopped still occupy their
    /// workers when another lead takes over.
    #[must_use]
    pub fn record(&self) -> Record {
        let is_over = self.phase.is_over();
        let mut parts = Vec::new();
        for occurrence in &self.occurrences {
            for (step, stage) in (0..).zip(&occurrence.stages) {
                let part = stage.record(occurrence.number, step);
                parts.extend(part.and_then(|part| {
                    if is_over {
                        part.only_places()
                    } else {
                        Some(part)
                    }
                }));
            }
        }
        let finished = if is_over {
            Vec::new()
        } else {
            self.finished.as_slice().to_vec()
        };
        Record {
            phase: self.phase,
            finished,
            parts,
        }
    }

    /// Returns an open occurrence.
    #[must_use]
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.find(number).ok().map(|at| &self.occurrences[at])
    }

    /// Returns the state of a step in an open occurrence.
    #[must_use]
    pub fn stage(&self, occurrence: u32, step: u32) -> Option<&Stage> {
        self.occurrence(occurrence)?.stages.get(step as usize)
    }

    /// Returns the state of a step in an occurrence, mutably, unless that is over; opens the occurrence.
    ///
    /// An earlier lead whose clock was ahead may have run occurrences that are not due yet.
    pub fn stage_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut Stage> {
        let at = self.open(occurrence)?;
        self.occurrences[at].stages.get_mut(step as usize)
    }

    /// Returns the state of a task in an open occurrence.
    #[must_use]
    pub fn task(&self, task: &work::Task) -> Option<&Task> {
        let stage = self.stage(task.part.occurrence, task.part.step)?;
        stage.task(task.index)
    }

    /// Returns the state of a task, mutably, unless its occurrence is over; see [`Self::settle`].
    pub fn task_mut(&mut self, task: &work::Task) -> Option<&mut Task> {
        let stage = self.stage_mut(task.part.occurrence, task.part.step)?;
        stage.task_mut(task.index)
    }

    /// Returns the step that `part` names.
    #[must_use]
    pub fn step(&self, part: &Part) -> Option<&Step> {
        self.spec.steps.get(part.step as usize)
    }

    /// Returns whether all tasks of all occurrences are finished.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let open = self.occurrences.iter().filter(|o| o.is_done()).count();
        self.finished.count() + open as u64 == u64::from(self.spec.occurrences())
    }

    /// Returns whether an unfinished task has failed at least `attempts` times.
    #[must_use]
    pub fn has_failed(&self, attempts: u32) -> bool {
        self.has_unfinished(|task| task.failed.len() >= attempts as usize)
    }

    /// Returns whether an unfinished task is given up because it crashes its workers.
    #[must_use]
    pub fn has_given_up(&self) -> bool {
        self.has_unfinished(|task| task.is_given_up)
    }

    /// Returns whether `condition` holds for an unfinished task with a state of its own.
    fn has_unfinished(&self, condition: impl Fn(&Task) -> bool) -> bool {
        let mut stages = self.occurrences.iter().flat_map(|o| &o.stages);
        stages.any(|stage| {
            stage
                .touched()
                .any(|(_, task)| !task.done && condition(task))
        })
    }

    /// Returns the placements whose workers may have crashed, each with its task.
    #[must_use]
    pub fn possible_crashes(&self) -> Vec<(work::Task, Place)> {
        self.collect(|task| &task.possible_crashes)
    }

    /// Returns every placement together with its task.
    #[must_use]
    pub fn placed(&self) -> Vec<(work::Task, Place)> {
        self.collect(|task| &task.places)
    }

    /// Returns what `select` finds in each task, together with the task.
    fn collect<T: Clone>(&self, select: impl Fn(&Task) -> &[T]) -> Vec<(work::Task, T)> {
        let mut found = Vec::new();
        for occurrence in &self.occurrences {
            for (step, stage) in (0..).zip(&occurrence.stages) {
                for (index, task) in stage.touched() {
                    for item in select(task) {
                        let part = Part {
                            job: self.id.clone(),
                            occurrence: occurrence.number,
                            step,
                        };
                        found.push((part.task(index), item.clone()));
                    }
                }
            }
        }
        found
    }
}
