//! The release of placements, and the evidence that it rests on.

use displaydoc::Display;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Task;
use marigoldpick_core::work::port::Fault;

use super::Lead;
use crate::lease::Source;
use crate::worker::Run;

/// The most released runs that are remembered for the start that replaces them.
const MAX_REMEMBERED: usize = 1_024;

/// `Ground` is what shows that a run has ended or will never begin.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Ground {
    /// lapsed-{0}
    Lapsed(Source),
    /// stopped
    Stopped,
    /// outlived
    Outlived,
    /// replaced
    Replaced,
    /// refused: {0}
    Refused(Fault),
    /// unordered
    Unordered,
}

/// `Evidence` is what a placement is given up on, and how old that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Evidence {
    /// What was found.
    pub(super) ground: Ground,
    /// When it was true at the latest: the time of an answer, or the end of a lease.
    pub(super) since: Millis,
}

impl Evidence {
    /// Creates evidence that dates from `since`.
    pub(super) const fn new(ground: Ground, since: Millis) -> Self {
        Self { ground, since }
    }
}

/// `Releases` remembers which run of a task was given up last, sorted by task, until the task starts again.
#[derive(Debug, Default)]
pub(super) struct Releases(Vec<(Task, u64)>);

impl Releases {
    /// Remembers a run that was given up.
    pub(super) fn record(&mut self, task: &Task, run: u64) {
        match self.find(task) {
            Ok(at) => self.0[at].1 = run,
            Err(at) if self.0.len() < MAX_REMEMBERED => self.0.insert(at, (task.clone(), run)),
            Err(_) => {}
        }
    }

    /// Removes and returns the run that a start of the task replaces, if it is remembered.
    pub(super) fn take(&mut self, task: &Task) -> Option<u64> {
        let at = self.find(task).ok()?;
        Some(self.0.remove(at).1)
    }

    /// Forgets the tasks of a job that is over.
    pub(super) fn forget(&mut self, job: &id::Job) {
        self.0.retain(|(task, _)| task.part.job != *job);
    }

    fn find(&self, task: &Task) -> Result<usize, usize> {
        self.0.binary_search_by(|(have, _)| have.cmp(task))
    }
}

impl Lead {
    /// Releases the claim and the placement of a run that has ended or never began.
    pub(super) fn release_run(
        &mut self,
        at: usize,
        task: &Task,
        run: u64,
        evidence: Evidence,
        now: Millis,
    ) {
        if let Some(released) = self.remove_run(at, task, run) {
            self.record_release(at, &released, evidence, now);
            let id = self.workers[at].node.id.clone();
            self.remove_place(task, run, &id);
        }
    }

    /// Logs why a run was given up, and remembers it for the start that replaces it.
    pub(super) fn record_release(&mut self, at: usize, run: &Run, evidence: Evidence, now: Millis) {
        let worker = &self.workers[at];
        let detail = format!(
            "worker={} born={} token={} run={} phase={:?} confirmed={} age_ms={} evidence={}",
            worker.node.id,
            worker.node.born,
            worker.target().fencing_token(self.term),
            run.run,
            run.phase,
            run.attempts.is_confirmed,
            now.since(evidence.since).0,
            evidence.ground
        );
        self.log("run-released", run.task.to_string(), detail);
        self.releases.record(&run.task, run.run);
    }
}
