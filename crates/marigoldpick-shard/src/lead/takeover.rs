//! Taking the lead, with the store or without it, and giving it up.

use std::hash::{Hash, Hasher};

use fxhash::FxHasher;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Epoch;

use super::{Lead, Notice, Output};
use crate::record::{Entry, Record};

/// Times the rival's wait for which a deposed lead looks before it takes the lead again.
const CAUTION: u64 = 20;

/// `Role` is what the machine is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// It reads the log now and then.
    Follow,
    /// It looks whether somebody leads, and reads the log.
    Probe { since: Millis },
    /// It writes its tenure into the log.
    Tenure { since: Millis },
    /// It claims the workers.
    Claim { since: Millis },
    /// It leads.
    Lead,
}

impl Lead {
    pub(super) fn candidate(&mut self, on: bool, now: Millis, out: &mut Vec<Output>) {
        if self.candidate && !on {
            self.resign(now, out);
        }
        self.candidate = on;
    }

    fn resign(&mut self, now: Millis, out: &mut Vec<Output>) {
        let rightful = self.role == Role::Lead && self.epoch.interim == 0;
        self.step_down(now, out);
        self.cautious_until = Millis::ZERO;
        if rightful && !self.journal.is_appending() {
            self.append(vec![Record::Resigned], now);
        }
    }

    /// Does what the time and the last input have made due.
    pub(super) fn advance(&mut self, now: Millis, out: &mut Vec<Output>) {
        match self.role {
            Role::Follow => self.follow(now),
            Role::Probe { since } => self.probe(since, now, out),
            Role::Tenure { since } => self.try_without_store(since, now, out),
            Role::Claim { since } => self.claim(since, now, out),
            Role::Lead => {}
        }
        if self.role == Role::Lead {
            self.lead(now, out);
        }
        self.work(now, out);
    }

    fn follow(&mut self, now: Millis) {
        if self.candidate && now >= self.rest_until {
            self.role = Role::Probe { since: now };
            self.journal.refresh();
            for member in &mut self.members {
                member.reset();
                member.probe = None;
            }
            return;
        }
        // Without electors this entry could not take the lead while the store is out.
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

    fn probe(&mut self, since: Millis, now: Millis, out: &mut Vec<Output>) {
        let fresh = self.read_at.is_some_and(|at| at >= since);
        if !fresh {
            self.journal.refresh();
            return self.try_without_store(since, now, out);
        }
        if self.journal.is_appending() {
            return self.try_without_store(since, now, out);
        }
        if self.is_cautious(now) && !self.is_idle(since, now) {
            return;
        }
        self.role = Role::Tenure { since };
        self.append_tenure(now);
    }

    /// Tells whether a lead that took this one's place may be at work.
    fn is_cautious(&self, now: Millis) -> bool {
        let resigned = |holder: &crate::record::Holder| holder.resigned || holder.entry == self.me;
        now < self.cautious_until && !self.journal.state().holder.as_ref().is_some_and(resigned)
    }

    /// Tells whether most workers that answered were not renewed lately.
    fn is_idle(&self, since: Millis, now: Millis) -> bool {
        let (mut active, mut answered) = (0, 0);
        let own = self.lead_hash();
        let pace = self.pace();
        let busy = pace.lease_ms - pace.idle_ms;
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

    /// Claims the workers at an epoch without the store, when most electors answer and nobody renews
    /// them.
    fn try_without_store(&mut self, since: Millis, now: Millis, out: &mut Vec<Output>) {
        let patient = now < since + self.settings.patience_ms;
        if patient || !self.journal.is_ready() || !self.is_idle(since, now) {
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
        self.appended_from = now;
        self.journal.append(Entry {
            sequence: self.journal.state().sequence + 1,
            writer: format!("{}/{:016x}/{}", self.me, self.incarnation, self.tries),
            records,
        });
    }

    /// The own tenure is in the log.
    pub(super) fn tenured(&mut self, now: Millis, out: &mut Vec<Output>) {
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
        self.confirmed_at = Some(self.appended_from);
        for member in &mut self.members {
            member.claimed = false;
            member.known = false;
            member.due = now;
        }
        self.adopt_workers();
        if leading {
            let progress = self.journal.state().jobs.clone();
            Self::notice(out, Notice::Progress(progress));
        } else {
            self.begin_claims(now, out);
        }
    }

    fn begin_claims(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.role = Role::Claim { since: now };
        self.adopt_workers();
        for member in &mut self.members {
            member.due = now;
            member.call = None;
        }
        self.calls.clear();
        let note = format!("{} {}", self.epoch.tenure, self.epoch.interim);
        self.event(out, "lead-claim", note);
    }

    fn claim(&mut self, since: Millis, now: Millis, out: &mut Vec<Output>) {
        self.note_majority(now);
        let waited = now >= since + self.settings.claim_ms;
        let all = self.members.iter().all(|m| m.known || m.is_gone());
        if self.may(now) && (all || waited) {
            return self.take_lead(now, out);
        }
        // Without a majority nobody else should be kept from trying.
        if now >= since + self.settings.majority_ms {
            self.step_down(now, out);
        }
    }

    fn take_lead(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.role = Role::Lead;
        self.silent = false;
        self.held = false;
        self.settled = false;
        self.joined_at = now;
        let whole = self.epoch.interim == 0;
        let jobs = &self.journal.state().jobs;
        let progress = if whole { jobs.clone() } else { Vec::new() };
        self.prune();
        self.event(out, "lead-taken", format!("{}", self.epoch.tenure));
        let epoch = self.epoch;
        Self::notice(
            out,
            Notice::Leading {
                epoch,
                progress,
                whole,
            },
        );
        self.tell_checkpoints(out);
    }

    /// Keeps the lead going.
    fn lead(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.note_majority(now);
        self.look_for_losses(now, out);
        self.raise_workers(out);
        self.note_silence(now, out);
        self.note_held(out);
        self.elect(now);
        self.release_starts(now, out);
        self.set_pace();
        let from = now - self.pace().majority_ms;
        if self.epoch.interim > 0 || !self.has_majority(from, now) {
            self.read_soon(now);
        }
    }

    /// Reads the log, at most once in a renewal's time.
    pub(super) fn read_soon(&mut self, now: Millis) {
        let due = self.journal.read_from() + self.settings.renew_ms;
        if now >= due && !self.journal.is_appending() {
            self.journal.refresh();
        }
    }

    fn note_silence(&mut self, now: Millis, out: &mut Vec<Output>) {
        let silent = !self.may(now);
        if silent == self.silent {
            return;
        }
        self.silent = silent;
        self.event(out, if silent { "lead-silent" } else { "lead-heard" }, "");
        Self::notice(out, Notice::Silent(silent));
    }

    fn note_held(&mut self, out: &mut Vec<Output>) {
        let held = self.is_blind();
        if held != self.held {
            self.held = held;
            Self::notice(out, Notice::Held(held));
        }
        if !held && !self.settled {
            self.settled = true;
            self.tell_maybe_started(out);
        }
    }

    /// Tells of non-idempotent runs in the log that no worker has.
    fn tell_maybe_started(&self, out: &mut Vec<Output>) {
        for job in &self.journal.state().jobs {
            for (index, attempt) in &job.progress.started {
                let task = id::Task::new(job.job.clone(), *index);
                if self.started_as(&task).is_none() {
                    continue;
                }
                let told = self.is_over(&task) || self.placed.contains_key(&task);
                if told || self.endings.iter().any(|e| e.finished.run.task == task) {
                    continue;
                }
                let run = id::Run {
                    task,
                    attempt: *attempt,
                };
                Self::notice(out, Notice::MaybeStarted(run));
            }
        }
    }

    /// Another lead has the shard, or this one may not go on.
    pub(super) fn depose(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.step_down(now, out);
        self.cautious_until = now + self.settings.rival_ms.times(CAUTION);
    }

    fn step_down(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.role == Role::Lead {
            self.event(out, "lead-lost", format!("{}", self.epoch.tenure));
            Self::notice(out, Notice::Deposed);
        }
        self.role = Role::Follow;
        self.rest_until = now + self.settings.rival_ms + self.gate.jitter(self.settings.rival_ms);
        self.epoch = Epoch::default();
        self.tenure_at = None;
        self.majority_at = None;
        self.confirmed_at = None;
        for member in &mut self.members {
            member.reset();
        }
        self.calls.clear();
        self.placed.clear();
        self.seen.clear();
        self.starts.clear();
        self.outbox.clear();
        self.endings.clear();
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
