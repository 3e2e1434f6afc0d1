//! Taking the lead, with or without the store, and giving it up.

use std::hash::{Hash, Hasher};

use fxhash::FxHasher;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Epoch;

use super::{Lead, Notice, Output};
use crate::record::{Entry, Record};

/// A deposed lead defers to a possible successor for this many times [`Settings::rival_ms`].
///
/// [`Settings::rival_ms`]: crate::Settings::rival_ms
const DEFERRAL_FACTOR: u64 = 20;

/// `Role` is the stage of leadership that this entry has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// A standby: it reads the log from time to time.
    Follow,
    /// A candidate that reads the log and asks the workers whether another entry leads.
    Probe { since: Millis },
    /// A candidate whose tenure record is being written to the log.
    Tenure { since: Millis },
    /// A candidate that claims the workers at its epoch.
    Claim { since: Millis },
    /// The lead of the shard.
    Lead,
}

impl Lead {
    pub(super) fn set_candidate(&mut self, on: bool, now: Millis, out: &mut Vec<Output>) {
        if self.candidate && !on {
            self.resign(now, out);
        }
        self.candidate = on;
    }

    fn resign(&mut self, now: Millis, out: &mut Vec<Output>) {
        let holds_tenure = self.role == Role::Lead && self.epoch.interim == 0;
        self.step_down(now, out);
        self.defer_until = Millis::ZERO;
        if holds_tenure && !self.journal.is_appending() {
            self.append(vec![Record::Resigned], now);
        }
    }

    /// Takes the actions that the time and the last input have made due.
    pub(super) fn advance(&mut self, now: Millis, out: &mut Vec<Output>) {
        match self.role {
            Role::Follow => self.follow_log(now),
            Role::Probe { since } => self.probe_workers(since, now, out),
            Role::Tenure { since } => self.try_claim_without_store(since, now, out),
            Role::Claim { since } => self.await_claims(since, now, out),
            Role::Lead => {}
        }
        if self.role == Role::Lead {
            self.keep_lead(now, out);
        }
        self.send_due_calls(now, out);
    }

    fn follow_log(&mut self, now: Millis) {
        if self.candidate && now >= self.no_candidacy_until {
            self.role = Role::Probe { since: now };
            self.journal.refresh();
            for member in &mut self.members {
                member.reset();
                member.probe = None;
            }
            return;
        }
        // An entry that knows no electors cannot take the lead while the store is unavailable, so it
        // reads the log more often until it knows some.
        let pause = if self.journal.state().electors.is_empty() {
            self.settings.renew_ms
        } else {
            self.settings.follow_ms
        };
        let due = self.read_at.map_or(Millis::ZERO, |at| at + pause);
        if now >= due {
            self.journal.refresh();
        }
    }

    fn probe_workers(&mut self, since: Millis, now: Millis, out: &mut Vec<Output>) {
        let fresh = self.read_at.is_some_and(|at| at >= since);
        if !fresh {
            self.journal.refresh();
            return self.try_claim_without_store(since, now, out);
        }
        if self.journal.is_appending() {
            return self.try_claim_without_store(since, now, out);
        }
        if self.has_possible_successor(now) && !self.is_shard_idle(since, now) {
            return;
        }
        self.role = Role::Tenure { since };
        self.append_tenure(now);
    }

    /// Returns whether another entry may have taken over the lead that this one lost.
    fn has_possible_successor(&self, now: Millis) -> bool {
        let resigned = |holder: &crate::record::Holder| holder.resigned || holder.entry == self.me;
        now < self.defer_until && !self.journal.state().holder.as_ref().is_some_and(resigned)
    }

    /// Returns whether at least half of the answering workers have no other active lead.
    ///
    /// A lead is active at a worker if it renewed the lease within the last `idle_ms`. All workers must
    /// have been queried since `since` and have answered, or `claim_ms` must have passed.
    fn is_shard_idle(&self, since: Millis, now: Millis) -> bool {
        let (mut active, mut answered) = (0, 0);
        let own = self.lead_hash();
        let timeouts = self.timeouts();
        let busy = timeouts.lease_ms - timeouts.idle_ms;
        for probe in self.members.iter().filter_map(|m| m.probe) {
            if probe.sent < since {
                continue;
            }
            answered += 1;
            active += usize::from(probe.left > busy && probe.epoch.lead != own);
        }
        let all = answered == self.members.len();
        (all || now >= since + self.settings.claim_ms) && 2 * active <= answered
    }

    /// Claims the workers at an interim epoch, without the store.
    ///
    /// This requires that `patience_ms` have passed, that a majority of the electors has answered, and
    /// that the shard is idle, so that no other lead renews most of the workers.
    fn try_claim_without_store(&mut self, since: Millis, now: Millis, out: &mut Vec<Output>) {
        let patient = now < since + self.settings.patience_ms;
        if patient || !self.journal.is_ready() || !self.is_shard_idle(since, now) {
            return;
        }
        let answered = |m: &&super::Member| m.probe.is_some_and(|probe| probe.sent >= since);
        let votes = self.electors().filter(answered).count();
        if !self.is_quorum(votes, now) {
            return;
        }
        let probes = self.members.iter().filter_map(|m| m.probe);
        let highest = probes.map(|probe| probe.epoch).max().unwrap_or_default();
        self.epoch = Epoch {
            tenure: highest.tenure.max(self.journal.state().tenure),
            interim: highest.interim + 1,
            lead: self.lead_hash(),
        };
        self.begin_claims(now, out);
    }

    pub(super) fn append_tenure(&mut self, now: Millis) {
        let tenure = Record::Tenure {
            entry: self.me.clone(),
            incarnation: self.incarnation,
        };
        self.append(vec![tenure], now);
    }

    pub(super) fn append(&mut self, records: Vec<Record>, now: Millis) {
        self.tries += 1;
        self.append_began_at = now;
        self.journal.append(Entry {
            sequence: self.journal.state().sequence + 1,
            writer: format!("{}/{:016x}/{}", self.me, self.incarnation, self.tries),
            records,
        });
    }

    /// Takes up this entry's tenure once its record is in the log.
    pub(super) fn handle_tenure_recorded(&mut self, now: Millis, out: &mut Vec<Output>) {
        let leading = self.role == Role::Lead;
        if !leading && !matches!(self.role, Role::Tenure { .. } | Role::Claim { .. }) {
            return;
        }
        self.epoch = Epoch {
            tenure: self.journal.state().tenure,
            interim: 0,
            lead: self.lead_hash(),
        };
        self.tenure_at = Some(now);
        self.majority_at = None;
        self.confirmed_at = Some(self.append_began_at);
        for member in &mut self.members {
            member.claimed = false;
            member.known = false;
            member.due = now;
        }
        self.add_logged_workers();
        if leading {
            let progress = self.journal.state().jobs.clone();
            Self::push_notice(out, Notice::Progress(progress));
        } else {
            self.begin_claims(now, out);
        }
    }

    fn begin_claims(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.role = Role::Claim { since: now };
        self.add_logged_workers();
        for member in &mut self.members {
            member.due = now;
            member.call = None;
        }
        self.calls.clear();
        let note = format!("{} {}", self.epoch.tenure, self.epoch.interim);
        self.push_event(out, "lead-claim", note);
    }

    fn await_claims(&mut self, since: Millis, now: Millis, out: &mut Vec<Output>) {
        self.note_majority(now);
        let waited = now >= since + self.settings.claim_ms;
        let all = self.members.iter().all(|m| m.known || m.is_gone());
        if self.can_act(now) && (all || waited) {
            return self.take_lead(now, out);
        }
        // A candidate without a majority steps down, so that it does not block other candidates.
        if now >= since + self.settings.majority_ms {
            self.step_down(now, out);
        }
    }

    fn take_lead(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.role = Role::Lead;
        self.silent = false;
        self.starts_held = false;
        self.seen_all = false;
        self.joined_at = now;
        let whole = self.epoch.interim == 0;
        let jobs = &self.journal.state().jobs;
        let progress = if whole { jobs.clone() } else { Vec::new() };
        self.prune_ended_jobs();
        self.push_event(out, "lead-taken", format!("{}", self.epoch.tenure));
        let epoch = self.epoch;
        Self::push_notice(
            out,
            Notice::Leading {
                epoch,
                progress,
                whole,
            },
        );
        self.report_checkpoints(out);
    }

    /// Does the periodic work of the lead.
    fn keep_lead(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.note_majority(now);
        self.detect_lost_workers(now, out);
        self.admit_workers(out);
        self.report_silence(now, out);
        self.report_held(out);
        self.update_electors(now);
        self.release_held_starts(now, out);
        self.adjust_renew_interval();
        let from = now - self.timeouts().majority_ms;
        if self.epoch.interim > 0 || !self.has_majority(from, now) {
            self.read_log_if_due(now);
        }
    }

    /// Reads the log, at most once per renewal interval.
    pub(super) fn read_log_if_due(&mut self, now: Millis) {
        let due = self.journal.read_from() + self.settings.renew_ms;
        if now >= due && !self.journal.is_appending() {
            self.journal.refresh();
        }
    }

    fn report_silence(&mut self, now: Millis, out: &mut Vec<Output>) {
        let silent = !self.can_act(now);
        if silent == self.silent {
            return;
        }
        self.silent = silent;
        self.push_event(out, if silent { "lead-silent" } else { "lead-heard" }, "");
        Self::push_notice(out, Notice::LeadSilent(silent));
    }

    fn report_held(&mut self, out: &mut Vec<Output>) {
        let held = self.has_unseen_workers();
        if held != self.starts_held {
            self.starts_held = held;
            Self::push_notice(out, Notice::StartsHeld(held));
        }
        if !held && !self.seen_all {
            self.seen_all = true;
            self.report_maybe_started(out);
        }
    }

    /// Reports the non-idempotent runs in the log that no worker has.
    fn report_maybe_started(&self, out: &mut Vec<Output>) {
        for job in &self.journal.state().jobs {
            for (index, attempt) in &job.progress.started {
                let task = id::Task::new(job.job.clone(), *index);
                if self.recorded_attempt(&task).is_none() {
                    continue;
                }
                let is_known = self.is_over(&task) || self.placements.contains_key(&task);
                if is_known || self.completions.iter().any(|e| e.finished.run.task == task) {
                    continue;
                }
                let run = id::Run {
                    task,
                    attempt: *attempt,
                };
                Self::push_notice(out, Notice::MaybeStarted(run));
            }
        }
    }

    /// Steps down because another entry may have taken over, and defers to it.
    pub(super) fn depose(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.step_down(now, out);
        self.defer_until = now + self.settings.rival_ms.times(DEFERRAL_FACTOR);
    }

    fn step_down(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.role == Role::Lead {
            self.push_event(out, "lead-lost", format!("{}", self.epoch.tenure));
            Self::push_notice(out, Notice::Deposed);
        }
        self.role = Role::Follow;
        self.no_candidacy_until =
            now + self.settings.rival_ms + self.backoff.jitter(self.settings.rival_ms);
        self.epoch = Epoch::default();
        self.tenure_at = None;
        self.majority_at = None;
        self.confirmed_at = None;
        for member in &mut self.members {
            member.reset();
        }
        self.calls.clear();
        self.placements.clear();
        self.seen_tasks.clear();
        self.starts.clear();
        self.outbox.clear();
        self.completions.clear();
        self.checkpoints.clear();
        drop(self.journal.withdraw());
    }

    pub(super) fn lead_hash(&self) -> u64 {
        let mut hasher = FxHasher::default();
        self.me.as_str().hash(&mut hasher);
        self.incarnation.hash(&mut hasher);
        hasher.finish()
    }
}
