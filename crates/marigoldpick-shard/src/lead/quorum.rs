//! The quorum that entitles a lead to act, and the proof that a silent worker's tasks have ended.

use marigoldpick_core::prelude::*;

use super::member::Member;
use super::takeover::Role;
use super::{Lead, Notice, Output};
use crate::record::Record;

impl Lead {
    /// Returns whether this lead may send renewals and starts.
    pub(super) fn can_act(&self, now: Millis) -> bool {
        if !matches!(self.role, Role::Claim { .. } | Role::Lead) {
            return false;
        }
        let from = now - self.timeouts().majority_ms;
        let confirmed = self.epoch.interim == 0 && self.confirmed_at.is_some_and(|at| at >= from);
        confirmed || self.has_majority(from, now)
    }

    /// Returns whether a majority of the electors answered calls made since `from` at this epoch.
    pub(super) fn has_majority(&self, from: Millis, now: Millis) -> bool {
        let votes = self.electors().filter(|m| m.heard_since(from)).count();
        self.is_quorum(votes, now)
    }

    /// Returns whether `votes` are a majority of the electors, whichever changed in the meantime.
    pub(super) fn is_quorum(&self, votes: usize, now: Millis) -> bool {
        let electors = self.journal.state().electors.len();
        electors > 0 && 2 * votes > electors + self.elector_uncertainty(now)
    }

    /// Returns by how many electors the current set may differ from the one known here.
    ///
    /// The lead that holds the tenure changes one elector per [`Settings::join_ms`](crate::Settings),
    /// and one change may be in flight.
    fn elector_uncertainty(&self, now: Millis) -> usize {
        let holds_tenure =
            self.epoch.interim == 0 && matches!(self.role, Role::Claim { .. } | Role::Lead);
        if holds_tenure {
            return usize::from(self.has_pending_elector_change());
        }
        let age = now.since(self.read_at.unwrap_or_default()).0;
        let added = age / self.settings.join_ms.0.max(1);
        usize::try_from(added).map_or(usize::MAX / 2, |n| n + 1)
    }

    pub(super) fn electors(&self) -> impl Iterator<Item = &Member> {
        let electors = &self.journal.state().electors;
        self.members
            .iter()
            .filter(|m| electors.binary_search(&m.id).is_ok())
    }

    /// Returns the time since which no other lead can have become entitled to renew leases.
    ///
    /// From then on this tenure is in the log and a majority of the electors obeys its epoch.
    fn exclusive_since(&self) -> Option<Millis> {
        Some(self.tenure_at?.max(self.majority_at?))
    }

    /// Records when a majority of the electors has first answered at this epoch since the tenure.
    ///
    /// The electors are still those of the tenure's time, as they are not changed before this.
    pub(super) fn note_majority(&mut self, now: Millis) {
        if self.epoch.interim > 0 || self.majority_at.is_some() {
            return;
        }
        let Some(from) = self.tenure_at else {
            return;
        };
        if self.journal.state().electors.is_empty() || self.has_majority(from, now) {
            self.majority_at = Some(now);
        }
    }

    /// Returns when the tasks of a silent worker have ended.
    ///
    /// This holds only if no other lead becomes entitled to renew the worker before then.
    fn lapse_time(&self, member: &Member) -> Option<Millis> {
        let longest = self.longest_timeouts();
        let others = self.exclusive_since()? + longest.lapse_wait();
        let lease = longest.lease_ms;
        let own = member
            .stamp_at
            .map_or(Millis::ZERO, |at| at + lease + self.settings.margin(lease));
        Some(others.max(own))
    }

    /// Returns whether a silent worker's tasks have provably ended.
    ///
    /// The majority and the store must both have confirmed this lead after the lapse time, which shows
    /// that no other lead was entitled to renew the worker before.
    fn has_lapsed(&self, member: &Member, now: Millis) -> bool {
        let Some(lapse) = self.lapse_time(member) else {
            return false;
        };
        let alone = self.journal.state().electors.is_empty() || self.has_majority(lapse, now);
        now >= lapse && alone && self.confirmed_at.is_some_and(|at| at >= lapse)
    }

    /// Detects the workers that have become silent or are lost.
    pub(super) fn detect_lost_workers(&mut self, now: Millis, out: &mut Vec<Output>) {
        let from = now - self.timeouts().majority_ms;
        for at in 0..self.members.len() {
            let member = &self.members[at];
            if member.lost {
                continue;
            }
            if member.is_gone() {
                self.mark_lost(at, true, out);
                continue;
            }
            if member.stamp_at.is_some_and(|at| at >= from) {
                continue;
            }
            if self.has_lapsed(member, now) {
                self.mark_lost(at, false, out);
                continue;
            }
            if self.lapse_time(member).is_some_and(|lapse| now >= lapse) {
                self.read_log_if_due(now);
            }
            let member = &mut self.members[at];
            if member.up && !member.silent {
                member.silent = true;
                let silent = Notice::WorkerSilent(member.id.clone());
                Self::push_notice(out, silent);
            }
        }
    }

    /// Marks a worker as lost and its tasks as ended.
    fn mark_lost(&mut self, at: usize, gone: bool, out: &mut Vec<Output>) {
        let member = &mut self.members[at];
        member.lost = true;
        member.silent = true;
        member.claimed = false;
        member.known = false;
        member.commands.clear();
        member.initial_runs.clear();
        member.up = false;
        let worker = member.id.clone();
        let runs = std::mem::take(&mut member.runs);
        for run in &runs {
            self.unplace(run, &worker);
        }
        self.drop_starts_on(&worker, out);
        let maybe: Vec<id::Run> = runs
            .iter()
            .filter(|run| self.recorded_attempt(&run.task).is_some())
            .cloned()
            .collect();
        self.push_event(out, "worker-lost", worker.as_str());
        if gone && self.journal.state().workers.binary_search(&worker).is_ok() {
            self.outbox.push(Record::Left(worker.clone()));
        }
        Self::push_notice(out, Notice::WorkerLost { worker, runs });
        for run in maybe {
            Self::push_notice(out, Notice::MaybeStarted(run));
        }
    }

    /// Returns whether tasks may run on a worker that this lead has not seen.
    ///
    /// Starts of unseen tasks are held as long as this is so.
    pub(super) fn has_unseen_workers(&self) -> bool {
        let workers = &self.journal.state().workers;
        let unseen = |m: &Member| m.has_unseen_tasks() && workers.binary_search(&m.id).is_ok();
        self.epoch.interim > 0 || self.members.iter().any(unseen)
    }
}
