//! The records of a shard's log and the state they add up to.

use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::journal;

/// `Entry` is one numbered entry of a shard's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The number: one more than the entry before.
    pub sequence: u64,
    /// Who wrote it, unique for each try.
    pub writer: String,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// `Record` is what must outlast all entries' processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Record {
    /// An entry has taken the lead; its tenure is one more than the last.
    Tenure {
        /// The entry.
        entry: id::Entry,
        /// Its incarnation.
        incarnation: u64,
    },
    /// The lead has given up the shard by itself.
    Resigned,
    /// Leases are renewed at this interval from now on.
    Pace(Millis),
    /// A worker may hold tasks from now on.
    Worker(id::Worker),
    /// A worker joins those whose majority counts.
    Joined(id::Worker),
    /// A worker is gone for good and holds nothing.
    Left(id::Worker),
    /// A worker no longer is one of those whose majority counts.
    Dropped(id::Worker),
    /// A job's records begin; what was known of an earlier job of that name goes.
    Opened {
        /// The job.
        job: id::Job,
        /// The configuration's entry that accepted it.
        accepted: u64,
    },
    /// A non-idempotent run is about to be started.
    Started(id::Run),
    /// A run so recorded was certainly not started.
    NotStarted(id::Run),
    /// Tasks ended as they should: ranges of a job's indices.
    Completed {
        /// The job.
        job: id::Job,
        /// Ranges from an index to the one after the last.
        tasks: Vec<(u32, u32)>,
    },
    /// Tasks were given up.
    Failed {
        /// The job.
        job: id::Job,
        /// Ranges from an index to the one after the last.
        tasks: Vec<(u32, u32)>,
    },
    /// The configuration has the job's end; what was known of it may go.
    Pruned(id::Job),
}

/// `Ranges` is a set of task indices as sorted ranges that don't touch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(pub Vec<(u32, u32)>);

/// `Progress` is what is recorded of one job in a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Progress {
    /// The configuration's entry that accepted the job.
    pub accepted: u64,
    /// Tasks that ended as they should.
    pub completed: Ranges,
    /// Tasks that were given up.
    pub failed: Ranges,
    /// Non-idempotent runs that were or may have been started, sorted by task index.
    pub started: Vec<(u32, u32)>,
}

/// `Job` is a job's name with its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The job.
    pub job: id::Job,
    /// Its progress.
    pub progress: Progress,
}

/// `Holder` is who took the lead last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The entry.
    pub entry: id::Entry,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it has given up the lead by itself.
    pub resigned: bool,
}

/// `State` is a shard's log at one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The number of the last entry applied.
    pub sequence: u64,
    /// The number of tenures so far.
    pub tenure: u64,
    /// Who took the lead last.
    pub holder: Option<Holder>,
    /// The time between two renewals, where it is longer than the settings say.
    #[serde(default)]
    pub renew_ms: Millis,
    /// The longest time between two renewals that any lead may have used.
    #[serde(default)]
    pub longest_ms: Millis,
    /// The workers that may hold tasks, sorted.
    pub workers: Vec<id::Worker>,
    /// The workers whose majority counts, sorted.
    pub electors: Vec<id::Worker>,
    /// What is known of jobs, sorted by job.
    pub jobs: Vec<Job>,
}

impl Ranges {
    /// Tells whether `index` is in the set.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        let at = self.0.partition_point(|(_, to)| *to <= index);
        self.0.get(at).is_some_and(|(from, _)| *from <= index)
    }

    /// Adds the indices from `from` up to but without `to`.
    pub fn insert(&mut self, from: u32, to: u32) {
        if from >= to {
            return;
        }
        let first = self.0.partition_point(|(_, end)| *end < from);
        let last = self.0.partition_point(|(start, _)| *start <= to);
        let mut joined = (from, to);
        if let Some(old) = self.0.get(first..last).filter(|old| !old.is_empty()) {
            joined.0 = joined.0.min(old[0].0);
            joined.1 = joined.1.max(old[old.len() - 1].1);
        }
        self.0.splice(first..last, [joined]);
    }

    /// Returns how many indices are in the set.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(from, to)| to - from).sum()
    }

    /// Tells whether the set is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Progress {
    /// Returns the recorded run of a non-idempotent task, if any.
    #[must_use]
    pub fn started(&self, index: u32) -> Option<u32> {
        let at = self.started.binary_search_by_key(&index, |(i, _)| *i);
        Some(self.started[at.ok()?].1)
    }

    /// Tells whether a task was completed or given up.
    #[must_use]
    pub fn is_over(&self, index: u32) -> bool {
        self.completed.contains(index) || self.failed.contains(index)
    }
}

impl State {
    /// Returns what is known of `job`.
    #[must_use]
    pub fn progress(&self, job: &id::Job) -> Option<&Progress> {
        let at = self.find(job).ok()?;
        Some(&self.jobs[at].progress)
    }

    /// Tells whether `task` was completed or given up.
    #[must_use]
    pub fn is_over(&self, task: &id::Task) -> bool {
        self.progress(&task.job)
            .is_some_and(|progress| progress.is_over(task.index))
    }

    fn find(&self, job: &id::Job) -> Result<usize, usize> {
        self.jobs.binary_search_by(|have| have.job.cmp(job))
    }

    fn progress_mut(&mut self, job: &id::Job) -> &mut Progress {
        let at = match self.find(job) {
            Ok(at) => at,
            Err(at) => {
                let progress = Progress::default();
                let job = job.clone();
                self.jobs.insert(at, Job { job, progress });
                at
            }
        };
        &mut self.jobs[at].progress
    }

    fn apply_record(&mut self, record: &Record) {
        match record {
            Record::Tenure { entry, incarnation } => {
                self.tenure += 1;
                self.holder = Some(Holder {
                    entry: entry.clone(),
                    incarnation: *incarnation,
                    resigned: false,
                });
            }
            Record::Resigned => {
                if let Some(holder) = &mut self.holder {
                    holder.resigned = true;
                }
            }
            Record::Pace(renew) => {
                self.renew_ms = *renew;
                self.longest_ms = self.longest_ms.max(*renew);
            }
            Record::Worker(worker) => add(&mut self.workers, worker),
            Record::Joined(worker) => add(&mut self.electors, worker),
            Record::Left(worker) => self.workers.retain(|have| have != worker),
            Record::Dropped(worker) => self.electors.retain(|have| have != worker),
            Record::Opened { job, accepted } => {
                let progress = self.progress_mut(job);
                if progress.accepted < *accepted {
                    *progress = Progress {
                        accepted: *accepted,
                        ..Progress::default()
                    };
                }
            }
            Record::Started(run) => self.note_started(run),
            Record::NotStarted(run) => {
                let progress = self.progress_mut(&run.task.job);
                let gone = (run.task.index, run.attempt);
                progress.started.retain(|have| *have != gone);
            }
            Record::Completed { job, tasks } => {
                let progress = self.progress_mut(job);
                insert_all(&mut progress.completed, tasks);
            }
            Record::Failed { job, tasks } => {
                let progress = self.progress_mut(job);
                insert_all(&mut progress.failed, tasks);
            }
            Record::Pruned(job) => {
                if let Ok(at) = self.find(job) {
                    self.jobs.remove(at);
                }
            }
        }
    }

    fn note_started(&mut self, run: &id::Run) {
        let started = &mut self.progress_mut(&run.task.job).started;
        match started.binary_search_by_key(&run.task.index, |(index, _)| *index) {
            Ok(at) => started[at].1 = run.attempt,
            Err(at) => started.insert(at, (run.task.index, run.attempt)),
        }
    }
}

impl Record {
    /// Returns the job that the record tells of, if any.
    #[must_use]
    pub const fn job(&self) -> Option<&id::Job> {
        match self {
            Self::Started(run) | Self::NotStarted(run) => Some(&run.task.job),
            Self::Opened { job, .. }
            | Self::Completed { job, .. }
            | Self::Failed { job, .. }
            | Self::Pruned(job) => Some(job),
            _ => None,
        }
    }
}

fn add(list: &mut Vec<id::Worker>, worker: &id::Worker) {
    if let Err(at) = list.binary_search(worker) {
        list.insert(at, worker.clone());
    }
}

fn insert_all(ranges: &mut Ranges, tasks: &[(u32, u32)]) {
    for (from, to) in tasks {
        ranges.insert(*from, *to);
    }
}

impl journal::Entry for Entry {
    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn writer(&self) -> &str {
        &self.writer
    }

    /// The entry at which a deposed lead writes next is the tenure that deposed it, so that a lead
    /// which wakes up late always finds its number taken.
    fn lasts(&self) -> bool {
        self.is_tenure()
    }

    fn needs_floor(&self) -> bool {
        self.is_tenure()
    }
}

impl Entry {
    fn is_tenure(&self) -> bool {
        matches!(self.records.first(), Some(Record::Tenure { .. }))
    }
}

impl journal::State for State {
    type Entry = Entry;

    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn apply(&mut self, entry: &Entry) -> bool {
        if entry.sequence != self.sequence + 1 {
            return false;
        }
        self.sequence = entry.sequence;
        for record in &entry.records {
            self.apply_record(record);
        }
        true
    }
}
