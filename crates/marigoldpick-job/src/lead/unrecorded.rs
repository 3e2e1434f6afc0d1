//! Starts that are ordered before the store has recorded them, and what an earlier lead may have started
//! in this way.
//!
//! Load pattern: the store is out, and another entry leads when it returns. Until the workers have
//! reported, the new lead knows neither which tasks run nor what the teams hold.

use marigoldpick_core::prelude::*;

use super::Lead;
use crate::job::Job;
use crate::quota::Unheard;
use crate::worker::{Phase, Run, Worker};

/// While unrecorded starts are possible, a new lead waits for a worker's first report before it
/// starts jobs of its own term. After this many unanswered holds it stops waiting for that worker;
/// a single hold can be lost on its own.
const MAX_UNANSWERED_HOLDS: u32 = 2;

/// `UnrecordedRuns` says which jobs may have runs that an earlier lead started without a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnrecordedRuns {
    /// No job.
    None,
    /// Jobs submitted before the term.
    Earlier,
    /// Every job.
    All,
}

impl UnrecordedRuns {
    /// Returns whether the job may have such runs.
    pub(super) const fn can_include(self, job: &Job) -> bool {
        match self {
            Self::None => false,
            Self::Earlier => job.loaded,
            Self::All => true,
        }
    }
}

impl Lead {
    /// Allows starts that the store has not recorded until `until`.
    ///
    /// The permission expires on its own, so that a process that was paused meanwhile does not act
    /// on it.
    pub fn allow_unrecorded(&mut self, until: Millis) {
        self.unrecorded_until = until;
    }

    /// Forbids starts that the store has not recorded.
    pub fn forbid_unrecorded(&mut self) {
        self.unrecorded_until = Millis::ZERO;
    }

    /// Returns whether starts that the store has not recorded are allowed.
    #[must_use]
    pub fn allows_unrecorded(&self, now: Millis) -> bool {
        now < self.unrecorded_until
    }

    /// Declares that an earlier lead may have ordered starts without a record, or have left the question open.
    ///
    /// Tasks of jobs from before the term then start only once every worker that the roster names has
    /// reported, or has been silent for so long that all its runs have ended. Tasks of newer jobs start once each
    /// worker has reported or has left two holds unanswered: until then workers may still obey the
    /// earlier lead.
    pub fn expect_unrecorded_starts(&mut self) {
        self.expects_unrecorded = true;
        self.may_lack_records = true;
    }

    /// Declares that the lead before this one expected such starts itself when it last wrote.
    ///
    /// It may have been stopping runs that it found and did not want. Workers then get no work before these stops have
    /// completed.
    pub fn expect_unrecorded_stops(&mut self) {
        self.expect_unrecorded_starts();
        self.expects_stops = true;
    }

    /// Declares that there was no outage in which an earlier lead could order starts without a record.
    ///
    /// What the lead before this one itself has handed over goes first. Otherwise the records name all runs of earlier
    /// leads, and commits say so from now on. Under load there is hardly a moment in which each end is recorded, and a
    /// lead that waited for one would leave the doubt to its successor, which then starts nothing until the longest
    /// stop has completed (0.6 s on O).
    pub fn rule_out_unrecorded_starts(&mut self) {
        if !self.inherits_unrecorded {
            self.expects_unrecorded = false;
            self.may_lack_records = self.has_unrecorded;
            for worker in &mut self.workers {
                worker.stops_until = None;
            }
            self.needs_pass = true;
        }
    }

    /// Records that this lead has ordered or found a run that no record names.
    pub(super) const fn note_unrecorded(&mut self) {
        self.may_lack_records = true;
        self.has_unrecorded = true;
    }

    /// Applies whether the lead before this one had all runs recorded at the end of its term.
    pub(super) fn inherit_settled(&mut self, is_settled: bool) {
        self.inherits_unrecorded = !is_settled;
        if is_settled {
            self.rule_out_unrecorded_starts();
        } else {
            self.expect_unrecorded_starts();
        }
    }

    /// Stops to expect unrecorded starts once every worker that may have such runs has reported or lapsed.
    pub(super) fn end_expectation(&mut self, now: Millis) {
        if self.expects_unrecorded && self.unrecorded_runs(now) == UnrecordedRuns::None {
            let detail = format!("term_ms={}", now.since(self.term_start).0);
            self.log("unrecorded-runs-known", self.term.to_string(), detail);
            self.expects_unrecorded = false;
            self.needs_pass = true;
        }
    }

    /// Returns whether the store has all runs of this lead and of earlier ones once it has the records in `batch`,
    /// which are pairs of job and revision.
    pub(super) fn is_settled(&self, batch: &[(id::Job, u64)], now: Millis) -> bool {
        if !self.may_lack_records {
            return true;
        }
        if self.unrecorded_runs(now) != UnrecordedRuns::None {
            return false;
        }
        let mut batch = batch.to_vec();
        batch.sort();
        let is_stored = |id: &id::Job, revision: u64| {
            let found = batch.binary_search_by(|(have, _)| have.cmp(id));
            let has_record = |job: &Job| job.stored_revision >= revision;
            found.is_ok_and(|at| batch[at].1 >= revision) || self.job(id).is_none_or(has_record)
        };
        let is_recorded = |run: &Run| {
            run.phase == Phase::Recording || is_stored(&run.task.part.job, run.recorded_by)
        };
        self.workers.iter().all(|worker| {
            let mut ends = worker.unrecorded_ends.iter();
            worker.runs.iter().all(is_recorded)
                && ends.all(|(_, id, revision)| is_stored(id, *revision))
        })
    }

    /// Returns which jobs may have runs that an earlier lead started without a record.
    pub(super) fn unrecorded_runs(&self, now: Millis) -> UnrecordedRuns {
        if !self.expects_unrecorded {
            return UnrecordedRuns::None;
        }
        let is_awaited = |worker: &Worker| {
            worker.is_registered
                && !worker.has_reported
                && worker.unanswered_holds < MAX_UNANSWERED_HOLDS
        };
        let has_workers = !self.workers.is_empty() || now >= self.inherited.longest_after_restart();
        if !has_workers || self.workers.iter().any(is_awaited) {
            return UnrecordedRuns::All;
        }
        let is_complete = self.roster.is_known() || now >= self.inherited.longest_after_restart();
        if is_complete && self.workers.iter().all(|worker| is_known(worker, now)) {
            UnrecordedRuns::None
        } else {
            UnrecordedRuns::Earlier
        }
    }

    /// Returns what runs of an earlier lead may hold that this lead does not know of.
    pub(super) fn unheard(&self, now: Millis) -> Unheard {
        let mut unheard = Amount::default();
        if !self.expects_unrecorded || now >= self.inherited.longest_after_restart() {
            return Unheard::UpTo(unheard);
        }
        if self.workers.is_empty() || !self.roster.is_known() {
            return Unheard::Unbounded;
        }
        // The capacity of a worker that is not listed is unknown.
        let mut largest = Amount::default();
        for worker in &self.workers {
            largest.widen(&worker.node.capacity);
        }
        for worker in self.workers.iter().filter(|worker| !is_known(worker, now)) {
            let mut free = if worker.is_registered {
                worker.node.capacity.clone()
            } else {
                largest.clone()
            };
            free.subtract(worker.used());
            unheard.add(&free);
        }
        Unheard::UpTo(unheard)
    }
}

/// Returns whether all runs of earlier leads on a worker are known, or have ended.
///
/// That a worker is not listed shows neither, nor does a report that lists only some ends, or the first one, since runs
/// that are being stopped are in neither list of a report.
fn is_known(worker: &Worker, now: Millis) -> bool {
    if worker.has_reported && worker.has_hidden_ends && worker.is_responsive() {
        return false;
    }
    let has_told_all =
        worker.has_reported && !worker.has_hidden_ends && worker.stops_until.is_none();
    has_told_all || worker.has_ended || now >= worker.lease.lapse()
}
