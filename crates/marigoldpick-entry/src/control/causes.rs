//! The causes of time-line events: which event applied a job here and which one started a task.

use std::sync::Arc;

use marigoldpick_core::config::Accepted;
use marigoldpick_core::prelude::*;
use marigoldpick_core::timeline::Mark;

use crate::recorder::{Cause, Note, Recorder};

/// `Causes` holds the events that caused later ones, by job that has not ended and by task.
#[derive(Clone, Debug, Default)]
pub struct Causes {
    /// The event that applied each job here, sorted by job.
    jobs: Vec<(id::Job, Mark)>,
    /// The event of each task's last start here, sorted by task.
    tasks: Vec<(id::Task, Mark)>,
}

impl Causes {
    /// Replaces the tracked jobs by `open`, which is sorted by name.
    ///
    /// `mark` returns the event that applied a job that was not tracked before.
    pub fn track_jobs(&mut self, open: &[Arc<Accepted>], mark: impl Fn(&Accepted) -> Mark) {
        let before = std::mem::take(&mut self.jobs);
        let known = |job: &id::Job| {
            let at = before.binary_search_by(|(have, _)| have.cmp(job)).ok();
            at.map(|at| before[at].1.clone())
        };
        self.jobs = open
            .iter()
            .map(|accepted| {
                let job = &accepted.job.name;
                (job.clone(), known(job).unwrap_or_else(|| mark(accepted)))
            })
            .collect();
        let jobs = &self.jobs;
        self.tasks.retain(|(task, _)| find(jobs, &task.job).is_ok());
    }

    /// Records an event after resolving its cause.
    pub fn record(&mut self, recorder: &Recorder, at: Millis, mut note: Note) -> Mark {
        let cause = std::mem::take(&mut note.cause);
        note.cause = match &cause {
            Cause::Started(task) => self.job_cause(task),
            Cause::Ended(task) => self.start_cause(task),
            Cause::None | Cause::Mark(_) => cause.clone(),
        };
        let mark = recorder.record(at, note);
        match cause {
            Cause::Started(task) => self.insert_start(task, mark.clone()),
            Cause::Ended(task) => self.remove_start(&task),
            Cause::None | Cause::Mark(_) => {}
        }
        mark
    }

    fn job_cause(&self, task: &id::Task) -> Cause {
        let at = find(&self.jobs, &task.job);
        at.map_or(Cause::None, |at| Cause::Mark(self.jobs[at].1.clone()))
    }

    /// Returns the event of the task's start, or that of its job when an earlier lead started it.
    fn start_cause(&self, task: &id::Task) -> Cause {
        match find(&self.tasks, task) {
            Ok(at) => Cause::Mark(self.tasks[at].1.clone()),
            Err(_) => self.job_cause(task),
        }
    }

    fn insert_start(&mut self, task: id::Task, mark: Mark) {
        match find(&self.tasks, &task) {
            Ok(at) => self.tasks[at].1 = mark,
            Err(at) => self.tasks.insert(at, (task, mark)),
        }
    }

    fn remove_start(&mut self, task: &id::Task) {
        if let Ok(at) = find(&self.tasks, task) {
            self.tasks.remove(at);
        }
    }
}

fn find<K: Ord>(list: &[(K, Mark)], key: &K) -> Result<usize, usize> {
    list.binary_search_by(|(have, _)| have.cmp(key))
}
