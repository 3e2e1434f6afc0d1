//! The lead's state of a job: its finished tasks and the placements of the others.

use std::sync::Arc;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{self, Part, Phase, Step};

use crate::advice::Tickets;
use crate::record::{self, Record, ranges};

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
}

impl Task {
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
}

/// `Stage` is the state of a step in one occurrence.
#[derive(Clone, Debug)]
pub struct Stage {
    /// The tasks by number; empty in a job that had ended before the term, unless its record has some state of them.
    pub tasks: Vec<Task>,
    /// The number of unfinished tasks.
    pub unfinished: u32,
    /// The adviser's answers for the step.
    pub tickets: Tickets,
    /// Whether tasks of the step waited for their team's limit in the last pass.
    pub over_quota: bool,
}

impl Stage {
    fn new(step: &Step) -> Self {
        Self {
            tasks: vec![Task::default(); step.count as usize],
            unfinished: step.count,
            tickets: Tickets::default(),
            over_quota: false,
        }
    }

    /// Creates the stage of a job that has ended and of whose tasks nothing is recorded.
    fn ended(step: &Step) -> Self {
        Self {
            tasks: Vec::new(),
            unfinished: step.count,
            tickets: Tickets::default(),
            over_quota: false,
        }
    }

    /// Returns whether some task is unfinished and has no placement.
    #[must_use]
    pub fn has_unplaced(&self) -> bool {
        self.unfinished > 0 && self.tasks.iter().any(Task::is_unplaced)
    }
}

/// `Occurrence` is the state of one scheduled execution of a job.
#[derive(Clone, Debug)]
pub struct Occurrence {
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
    /// The occurrences by number.
    pub occurrences: Vec<Occurrence>,
}

impl Job {
    /// Creates the state of a job without started tasks.
    ///
    /// `wall` is the Unix time in milliseconds at `now`.
    #[must_use]
    pub fn new(id: id::Job, spec: Arc<work::Job>, wall: u64, now: Millis) -> Self {
        Self::with_stages(id, spec, Stage::new, wall, now)
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
        let has_tasks =
            record.is_none_or(|record| !record.phase.is_over() || !record.parts.is_empty());
        let stage = if has_tasks { Stage::new } else { Stage::ended };
        let mut job = Self::with_stages(id, spec, stage, wall, now);
        job.loaded = true;
        if let Some(record) = record {
            job.restore(record, now);
        }
        job
    }

    fn with_stages(
        id: id::Job,
        spec: Arc<work::Job>,
        stage: fn(&Step) -> Stage,
        wall: u64,
        now: Millis,
    ) -> Self {
        let age = wall.saturating_sub(spec.accepted);
        let local = |at: u64| match at.checked_sub(wall) {
            Some(ahead) => now + Millis(ahead),
            None => now - Millis(wall - at),
        };
        let occurrences = (0..spec.occurrences())
            .map(|number| Occurrence {
                due: spec.schedule.map_or(now - Millis(age), |schedule| {
                    let waited = schedule.every.times(u64::from(number));
                    local(schedule.first.saturating_add(waited.0))
                }),
                stages: spec.steps.iter().map(stage).collect(),
                time_left: Millis::ZERO,
            })
            .collect();
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
            occurrences,
            spec,
        }
    }

    /// Restores the progress that the store has recorded.
    pub fn restore(&mut self, record: &Record, now: Millis) {
        self.phase = record.phase;
        self.recorded = record.phase;
        self.ended_at = record.phase.is_over().then_some(now);
        for part in &record.parts {
            let Some(stage) = self.stage_mut(part.occurrence, part.step) else {
                continue;
            };
            for (first, last) in &part.done {
                for index in *first..=*last {
                    stage.finish_task(index);
                }
            }
            for (index, run) in &part.failed {
                if let Some(task) = stage.tasks.get_mut(*index as usize) {
                    task.failed.push(*run);
                }
            }
            for (index, run) in &part.crashed {
                if let Some(task) = stage.tasks.get_mut(*index as usize) {
                    task.crashed.push(*run);
                }
            }
            for (index, run) in &part.unconfirmed {
                if let Some(task) = stage.tasks.get_mut(*index as usize) {
                    task.unconfirmed.push(*run);
                }
            }
            for (index, worker, run) in &part.possible_crashes {
                if let Some(task) = stage.tasks.get_mut(*index as usize) {
                    task.possible_crashes.push(Place {
                        worker: worker.clone(),
                        run: *run,
                    });
                }
            }
            for (index, checkpoint) in &part.checkpoints {
                if let Some(task) = stage.tasks.get_mut(*index as usize) {
                    task.checkpoint.clone_from(checkpoint);
                }
            }
            for (index, worker, run) in &part.places {
                if let Some(task) = stage.tasks.get_mut(*index as usize) {
                    task.places.push(Place {
                        worker: worker.clone(),
                        run: *run,
                    });
                }
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
        for (occurrence, state) in (0..).zip(&self.occurrences) {
            for (step, stage) in (0..).zip(&state.stages) {
                let part = stage.record(occurrence, step);
                parts.extend(part.and_then(|part| {
                    if is_over {
                        part.only_places()
                    } else {
                        Some(part)
                    }
                }));
            }
        }
        Record {
            phase: self.phase,
            parts,
        }
    }

    /// Returns the state of a step in an occurrence.
    #[must_use]
    pub fn stage(&self, occurrence: u32, step: u32) -> Option<&Stage> {
        let occurrence = self.occurrences.get(occurrence as usize)?;
        occurrence.stages.get(step as usize)
    }

    /// Returns the state of a step in an occurrence, mutably.
    pub fn stage_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut Stage> {
        let occurrence = self.occurrences.get_mut(occurrence as usize)?;
        occurrence.stages.get_mut(step as usize)
    }

    /// Returns the state of a task.
    #[must_use]
    pub fn task(&self, task: &work::Task) -> Option<&Task> {
        let stage = self.stage(task.part.occurrence, task.part.step)?;
        stage.tasks.get(task.index as usize)
    }

    /// Returns the state of a task, mutably.
    pub fn task_mut(&mut self, task: &work::Task) -> Option<&mut Task> {
        let stage = self.stage_mut(task.part.occurrence, task.part.step)?;
        stage.tasks.get_mut(task.index as usize)
    }

    /// Returns the step that `part` names.
    #[must_use]
    pub fn step(&self, part: &Part) -> Option<&Step> {
        self.spec.steps.get(part.step as usize)
    }

    /// Returns whether all tasks of all occurrences are finished.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.occurrences.iter().all(Occurrence::is_done)
    }

    /// Returns whether an unfinished task has failed at least `attempts` times.
    #[must_use]
    pub fn has_failed(&self, attempts: u32) -> bool {
        let mut stages = self.occurrences.iter().flat_map(|o| &o.stages);
        stages.any(|stage| {
            let mut tasks = stage.tasks.iter();
            tasks.any(|task| !task.done && task.failed.len() >= attempts as usize)
        })
    }

    /// Returns whether an unfinished task is given up because it crashes its workers.
    #[must_use]
    pub fn has_given_up(&self) -> bool {
        let mut stages = self.occurrences.iter().flat_map(|o| &o.stages);
        stages.any(|stage| {
            stage
                .tasks
                .iter()
                .any(|task| !task.done && task.is_given_up)
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
        for (occurrence, state) in (0..).zip(&self.occurrences) {
            for (step, stage) in (0..).zip(&state.stages) {
                for (index, task) in (0..).zip(&stage.tasks) {
                    for item in select(task) {
                        let part = Part {
                            job: self.id.clone(),
                            occurrence,
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

impl Stage {
    /// Marks a task as finished.
    pub fn finish_task(&mut self, index: u32) {
        if let Some(task) = self.tasks.get_mut(index as usize)
            && !task.done
        {
            task.done = true;
            task.checkpoint.clear();
            self.unfinished -= 1;
        }
    }

    fn record(&self, occurrence: u32, step: u32) -> Option<record::Part> {
        let tasks = || (0u32..).zip(&self.tasks);
        let part = record::Part {
            occurrence,
            step,
            done: ranges(tasks().filter(|(_, t)| t.done).map(|(index, _)| index)),
            failed: tasks()
                .flat_map(|(index, t)| t.failed.iter().map(move |run| (index, *run)))
                .collect(),
            crashed: tasks()
                .filter(|(_, t)| !t.done)
                .flat_map(|(index, t)| t.crashed.iter().map(move |run| (index, *run)))
                .collect(),
            unconfirmed: tasks()
                .filter(|(_, t)| !t.done)
                .flat_map(|(index, t)| t.unconfirmed.iter().map(move |run| (index, *run)))
                .collect(),
            possible_crashes: tasks()
                .filter(|(_, t)| !t.done)
                .flat_map(|(index, t)| {
                    let places = t.possible_crashes.iter();
                    places.map(move |place| (index, place.worker.clone(), place.run))
                })
                .collect(),
            checkpoints: tasks()
                .filter(|(_, t)| !t.checkpoint.is_empty())
                .map(|(index, t)| (index, t.checkpoint.clone()))
                .collect(),
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
}
