//! What entitles a lead to act, and what proves that a silent worker's tasks have ended.

use marigoldpick_core::prelude::*;

use super::member::Member;
use super::takeover::Role;
use super::{Lead, Notice, Output};
use crate::record::Record;

impl Lead {
    /// Tells whether renewals and starts may be sent.
    pub(super) fn may(&self, now: Millis) -> bool {
        if !matches!(self.role, Role::Claim { .. } | Role::Lead) {
            return false;
        }
        let from = now - self.pace().majority_ms;
        let confirmed = self.epoch.interim == 0 && self.confirmed_at.is_some_and(|at| at >= from);
        confirmed || self.has_majority(from, now)
    }

    /// Tells whether most electors answered at the own epoch to calls made since `from`.
    pub(super) fn has_majority(&self, from: Millis, now: Millis) -> bool {
        let votes = self.electors().filter(|m| m.heard_since(from)).count();
        self.is_quorum(votes, now)
    }

    /// Tells whether `votes` electors are most of them, whichever were added meanwhile.
    pub(super) fn is_quorum(&self, votes: usize, now: Millis) -> bool {
        let electors = self.journal.state().electors.len();
        electors > 0 && 2 * votes > electors + self.slack(now)
    }

    /// Returns by how many the electors may differ from those known here: the rightful lead changes one
    /// in each [`Settings::join_ms`](crate::Settings), and one may be under way.
    fn slack(&self, now: Millis) -> usize {
        let rightful =
            self.epoch.interim == 0 && matches!(self.role, Role::Claim { .. } | Role::Lead);
        if rightful {
            return usize::from(self.is_electing());
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

    /// Returns the time since which no other lead can have got the right to renew: from then on the
    /// tenure is in the log and most electors obey the own epoch.
    fn alone_since(&self) -> Option<Millis> {
        Some(self.tenure_at?.max(self.majority_at?))
    }

    /// Notes when a majority of the electors of the tenure's time obeys the own epoch.
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

    /// Returns when the tasks of a silent worker have ended, if nobody gets the right to renew it
    /// before then.
    fn lapse_of(&self, member: &Member) -> Option<Millis> {
        let longest = self.longest();
        let others = self.alone_since()? + longest.wait_out();
        let lease = longest.lease_ms;
        let own = member
            .stamp_at
            .map_or(Millis::ZERO, |at| at + lease + self.settings.margin(lease));
        Some(others.max(own))
    }

    /// Tells whether a silent worker's tasks have provably ended. The majority and the store must
    /// have confirmed this lead after the lapse: so nobody had the right to renew before it.
    fn has_lapsed(&self, member: &Member, now: Millis) -> bool {
        let Some(lapse) = self.lapse_of(member) else {
            return false;
        };
        let alone = self.journal.state().electors.is_empty() || self.has_majority(lapse, now);
        now >= lapse && alone && self.confirmed_at.is_some_and(|at| at >= lapse)
    }

    /// Notes which workers are silent and which are lost.
    pub(super) fn look_for_losses(&mut self, now: Millis, out: &mut Vec<Output>) {
        let from = now - self.pace().majority_ms;
        for at in 0..self.members.len() {
            let member = &self.members[at];
            if member.lost {
                continue;
            }
            if member.is_gone() {
                self.lose(at, true, out);
                continue;
            }
            if member.stamp_at.is_some_and(|at| at >= from) {
                continue;
            }
            if self.has_lapsed(member, now) {
                self.lose(at, false, out);
                continue;
            }
            if self.lapse_of(member).is_some_and(|lapse| now >= lapse) {
                self.read_soon(now);
            }
            let member = &mut self.members[at];
            if member.up && !member.silent {
                member.silent = true;
                let silent = Notice::WorkerSilent(member.id.clone());
                Self::notice(out, silent);
            }
        }
    }

    /// Takes a worker's tasks for ended.
    fn lose(&mut self, at: usize, gone: bool, out: &mut Vec<Output>) {
        let member = &mut self.members[at];
        member.lost = true;
        member.silent = true;
        member.claimed = false;
        member.known = false;
        member.queue.clear();
        member.arrived.clear();
        member.up = false;
        let worker = member.id.clone();
        let runs = std::mem::take(&mut member.runs);
        for run in &runs {
            self.unplace(run, &worker);
        }
        self.lose_starts(&worker, out);
        let maybe: Vec<id::Run> = runs
            .iter()
            .filter(|run| self.started_as(&run.task).is_some())
            .cloned()
            .collect();
        self.event(out, "worker-lost", worker.as_str());
        if gone && self.journal.state().workers.binary_search(&worker).is_ok() {
            self.outbox.push(Record::Left(worker.clone()));
        }
        Self::notice(out, Notice::WorkerLost { worker, runs });
        for run in maybe {
            Self::notice(out, Notice::MaybeStarted(run));
        }
    }

    /// Tells whether starts of unseen tasks must wait, since they may run where this lead can't see.
    pub(super) fn is_blind(&self) -> bool {
        let workers = &self.journal.state().workers;
        let unseen = |m: &Member| m.is_blind() && workers.binary_search(&m.id).is_ok();
        self.epoch.interim > 0 || self.members.iter().any(unseen)
    }
}
