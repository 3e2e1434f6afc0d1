//! The records of a shard's log and the state that results from them.

use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::journal;

/// `Entry` is one numbered entry of a shard's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The sequence number: one more than that of the entry before.
    pub sequence: u64,
    /// The writer's id, unique to each attempt to append.
    pub writer: String,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// `Record` is a fact about a shard that must survive the entries' processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Record {
    /// An entry has taken the lead; its tenure is one more than the previous one.
    Tenure {
        /// The entry.
        entry: id::Entry,
        /// Its incarnation.
        incarnation: u64,
    },
    /// The lead has given up the shard voluntarily.
    Resigned,
    /// From this record on, leases are renewed at this interval.
    Pace(Millis),
    /// From this record on, a worker may hold tasks.
    Worker(id::Worker),
    /// A worker becomes an elector, one of those whose majority entitles a lead to act.
    Joined(id::Worker),
    /// A worker is permanently gone and holds no tasks.
    Left(id::Worker),
    /// A worker is no longer an elector.
    Dropped(id::Worker),
    /// The records of a job begin and replace those of an earlier job of the same name.
    Opened {
        /// The job.
        job: id::Job,
        /// The sequence number of the configuration entry that accepted it.
        accepted: u64,
    },
    /// A non-idempotent run is about to be started.
    Started(id::Run),
    /// A run that was recorded as started was certainly not started.
    NotStarted(id::Run),
    /// Tasks of a job were completed.
    Completed {
        /// The job.
        job: id::Job,
        /// Ranges from an index to the one after the last.
        tasks: Vec<(u32, u32)>,
    },
    /// Tasks of a job were given up.
    Failed {
        /// The job.
        job: id::Job,
        /// Ranges from an index to the one after the last.
        tasks: Vec<(u32, u32)>,
    },
    /// The end of a job is in the configuration, so its records are removed.
    Pruned(id::Job),
}

/// `Ranges` is a set of task indices as sorted ranges that do not touch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(pub Vec<(u32, u32)>);

/// `Progress` is the recorded progress of one job in a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Progress {
    /// The sequence number of the configuration entry that accepted the job.
    pub accepted: u64,
    /// Tasks that were completed.
    pub completed: Ranges,
    /// Tasks that were given up.
    pub failed: Ranges,
    /// Non-idempotent tasks that were or may have been started: index and attempt, sorted.
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

/// `Holder` is the entry that last took the lead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The entry.
    pub entry: id::Entry,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it has given up the lead voluntarily.
    pub resigned: bool,
}

/// `State` is the state of a shard's log at one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The sequence number of the last entry applied.
    pub sequence: u64,
    /// The number of tenures so far.
    pub tenure: u64,
    /// The entry that last took the lead.
    pub holder: Option<Holder>,
    /// The renewal interval, if it is longer than the one in the settings.
    #[serde(default)]
    pub renew_ms: Millis,
    /// The longest renewal interval that any lead may have used.
    #[serde(default)]
    pub longest_ms: Millis,
    /// The workers that may hold tasks, sorted.
    pub workers: Vec<id::Worker>,
    /// The workers whose majority entitles a lead to act, sorted.
    pub electors: Vec<id::Worker>,
    /// The recorded progress of each job, sorted by job.
    pub jobs: Vec<Job>,
}

impl Ranges {
    /// Returns whether `index` is in the set.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        let at = self.0.partition_point(|(_, to)| *to <= index);
        self.0.get(at).is_some_and(|(from, _)| *from <= index)
    }

    /// Adds the indices from `from` to `to`, excluding `to`.
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

    /// Returns the number of indices in the set.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(from, to)| to - from).sum()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Progress {
    /// Returns the attempt of a non-idempotent task that is recorded as started, if any.
    #[must_use]
    pub fn started(&self, index: u32) -> Option<u32> {
        let at = self.started.binary_search_by_key(&index, |(i, _)| *i);
        Some(self.started[at.ok()?].1)
    }

    /// Returns whether a task was completed or given up.
    #[must_use]
    pub fn is_over(&self, index: u32) -> bool {
        self.completed.contains(index) || self.failed.contains(index)
    }
}

impl State {
    /// Returns the recorded progress of `job`.
    #[must_use]
    pub fn progress(&self, job: &id::Job) -> Option<&Progress> {
        let at = self.find_job(job).ok()?;
        Some(&self.jobs[at].progress)
    }

    /// Returns whether `task` was completed or given up.
    #[must_use]
    pub fn is_over(&self, task: &id::Task) -> bool {
        self.progress(&task.job)
            .is_some_and(|progress| progress.is_over(task.index))
    }

    fn find_job(&self, job: &id::Job) -> Result<usize, usize> {
        self.jobs.binary_search_by(|have| have.job.cmp(job))
    }

    fn progress_mut(&mut self, job: &id::Job) -> &mut Progress {
        let at = match self.find_job(job) {
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
            Record::Worker(worker) => insert_sorted(&mut self.workers, worker),
            Record::Joined(worker) => insert_sorted(&mut self.electors, worker),
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
            Record::Started(run) => self.record_start(run),
            Record::NotStarted(run) => {
                let progress = self.progress_mut(&run.task.job);
                let gone = (run.task.index, run.attempt);
                progress.started.retain(|have| *have != gone);
            }
            Record::Completed { job, tasks } => {
                let progress = self.progress_mut(job);
                insert_ranges(&mut progress.completed, tasks);
            }
            Record::Failed { job, tasks } => {
                let progress = self.progress_mut(job);
                insert_ranges(&mut progress.failed, tasks);
            }
            Record::Pruned(job) => {
                if let Ok(at) = self.find_job(job) {
                    self.jobs.remove(at);
                }
            }
        }
    }

    fn record_start(&mut self, run: &id::Run) {
        let started = &mut self.progress_mut(&run.task.job).started;
        match started.binary_search_by_key(&run.task.index, |(index, _)| *index) {
            Ok(at) => started[at].1 = run.attempt,
            Err(at) => started.insert(at, (run.task.index, run.attempt)),
        }
    }
}

impl Record {
    /// Returns the job that the record is about, if any.
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

fn insert_sorted(list: &mut Vec<id::Worker>, worker: &id::Worker) {
    if let Err(at) = list.binary_search(worker) {
        list.insert(at, worker.clone());
    }
}

fn insert_ranges(ranges: &mut Ranges, tasks: &[(u32, u32)]) {
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

    /// Returns whether the entry is a tenure, which compaction keeps.
    ///
    /// The next number that a deposed lead would write is that of the tenure that deposed it. As
    /// tenures are kept, a lead that resumes after a long pause always finds that number taken.
    fn is_permanent(&self) -> bool {
        self.is_tenure()
    }

    fn has_floor_check(&self) -> bool {
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
