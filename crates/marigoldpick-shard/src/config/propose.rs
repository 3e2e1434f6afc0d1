//! Proposing changes: group commit, races with other entries, and answers that are true.

use marigoldpick_core::config::{Change, Entry};
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::MAX_VALUE;

use super::{Log, Output};
use crate::event::Event;
use crate::journal::Step;

/// The most bytes of changes in one entry, which leaves room for the entry's frame.
const MOST_LEN: usize = MAX_VALUE - 1_024;

/// `Proposal` is a change that waits for its answer.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Proposal {
    tickets: Vec<(u64, Millis)>,
    change: Change,
    len: usize,
    /// When it was proposed; a refusal must rest on a state read after this.
    at: Millis,
}

impl Log {
    pub(super) fn propose(
        &mut self,
        ticket: u64,
        change: Change,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if let Some(sequence) = self.accepted(&change) {
            return answer(out, ticket, Ok(sequence));
        }
        let deadline = now + self.settings.propose_ms;
        // A change that is under way already has one outcome for all who ask for it.
        if let Some(same) = self.flight.iter_mut().find(|p| p.change == change) {
            same.tickets.push((ticket, deadline));
            return;
        }
        if self.gate.is_out() && !self.gate.is_open(now) {
            return answer(out, ticket, Err(Code::NotAccepted));
        }
        let len = serde_json::to_string(&change).map_or(usize::MAX, |text| text.len());
        if len > MOST_LEN {
            return answer(out, ticket, Err(Code::TooLarge));
        }
        self.queue.push(Proposal {
            tickets: vec![(ticket, deadline)],
            change,
            len,
            at: now,
        });
    }

    /// Returns the number under which a plan was confirmed before.
    fn accepted(&self, change: &Change) -> Option<u64> {
        match change {
            Change::Confirm(plan) => self.state().confirmed(&plan.id),
            _ => None,
        }
    }

    /// Puts all waiting changes that are allowed into the next entry.
    pub(super) fn compose(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.queue.is_empty() || !self.journal.is_idle() {
            return;
        }
        if self.gate.is_out() && !self.gate.is_open(now) {
            return self.refuse_queue(Code::NotAccepted, out);
        }
        if !self.journal.is_ready() {
            return self.journal.refresh();
        }
        let mut len = 0;
        let mut kept = Vec::new();
        for proposal in std::mem::take(&mut self.queue) {
            if let Some(sequence) = self.accepted(&proposal.change) {
                answer_all(out, &proposal, Ok(sequence));
            } else if let Err(code) = self.state().allows(&proposal.change) {
                self.refuse(proposal, code, &mut kept, out);
            } else if len + proposal.len > MOST_LEN {
                kept.push(proposal);
            } else {
                len += proposal.len + 1;
                self.flight.push(proposal);
            }
        }
        self.queue = kept;
        if !self.flight.is_empty() {
            self.append();
        }
    }

    /// Refuses a change, but only by a state that was read after it was proposed.
    fn refuse(
        &mut self,
        proposal: Proposal,
        code: Code,
        kept: &mut Vec<Proposal>,
        out: &mut Vec<Output>,
    ) {
        if self.read_at.is_some_and(|at| at >= proposal.at) {
            return answer_all(out, &proposal, Err(code));
        }
        self.journal.refresh();
        kept.push(proposal);
    }

    fn append(&mut self) {
        self.tries += 1;
        let tickets = self.flight.iter().flat_map(|p| &p.tickets);
        let event = tickets.map(|(ticket, _)| *ticket).max();
        let entry = Entry {
            sequence: self.state().sequence + 1,
            writer: Entry::write(&self.me, self.incarnation, self.tries, event),
            changes: self.flight.iter().map(|p| p.change.clone()).collect(),
        };
        self.journal.append(entry);
    }

    pub(super) fn after_steps(&mut self, steps: Vec<Step<Entry>>, out: &mut Vec<Output>) {
        for step in steps {
            match step {
                Step::Fresh => {
                    let from = self.journal.read_from();
                    self.fresh_at = self.fresh_at.max(Some(from));
                    self.read_at = Some(from);
                }
                Step::Appended(entry) => self.appended(&entry, out),
                // Another entry was first; what is still allowed is tried again.
                Step::Lost(_) => {
                    let flight = std::mem::take(&mut self.flight);
                    self.queue.splice(0..0, flight);
                }
                Step::Refused(..) => {
                    let flight = std::mem::take(&mut self.flight);
                    self.queue.splice(0..0, flight);
                    self.refuse_queue(Code::NotAccepted, out);
                }
                Step::Failed(_) => self.refuse_queue(Code::NotAccepted, out),
            }
        }
    }

    fn appended(&mut self, entry: &Entry, out: &mut Vec<Output>) {
        let note = format!("{} changes", entry.changes.len());
        let mut event = Event::new("config-accepted", entry.sequence, note);
        event.cause = entry.cause();
        out.push(Output::Event(event));
        for proposal in std::mem::take(&mut self.flight) {
            let result = self.outcome(&proposal.change, entry.sequence);
            answer_all(out, &proposal, result);
        }
    }

    /// Tells what became of a change in entry `sequence`; one before it in the same entry may have
    /// made it void.
    fn outcome(&self, change: &Change, sequence: u64) -> Result<u64, Code> {
        let Change::Confirm(plan) = change else {
            return Ok(sequence);
        };
        match self.state().confirmed(&plan.id) {
            Some(sequence) => Ok(sequence),
            None => Err(self.state().allows(change).err().unwrap_or(Code::Stale)),
        }
    }

    /// Answers proposals whose time is up: what may have been written is unknown, all else is not
    /// accepted and never will be.
    pub(super) fn expire(&mut self, now: Millis, out: &mut Vec<Output>) {
        let mut queue = std::mem::take(&mut self.queue);
        for proposal in &mut queue {
            expire_tickets(proposal, now, Code::NotAccepted, out);
        }
        queue.retain(|p| !p.tickets.is_empty());
        self.queue = queue;
        let due = |p: &Proposal| p.tickets.iter().any(|(_, deadline)| *deadline <= now);
        if !self.flight.iter().any(due) {
            return;
        }
        if self.journal.withdraw().is_some() {
            let flight = std::mem::take(&mut self.flight);
            for proposal in flight {
                answer_all(out, &proposal, Err(Code::NotAccepted));
            }
            return;
        }
        for proposal in &mut self.flight {
            expire_tickets(proposal, now, Code::AcceptUnknown, out);
        }
    }

    fn refuse_queue(&mut self, code: Code, out: &mut Vec<Output>) {
        for proposal in std::mem::take(&mut self.queue) {
            answer_all(out, &proposal, Err(code));
        }
    }
}

fn expire_tickets(proposal: &mut Proposal, now: Millis, code: Code, out: &mut Vec<Output>) {
    let (due, kept) = std::mem::take(&mut proposal.tickets)
        .into_iter()
        .partition(|(_, deadline)| *deadline <= now);
    proposal.tickets = kept;
    let due: Vec<(u64, Millis)> = due;
    for (ticket, _) in due {
        answer(out, ticket, Err(code));
    }
}

fn answer_all(out: &mut Vec<Output>, proposal: &Proposal, result: Result<u64, Code>) {
    for (ticket, _) in &proposal.tickets {
        answer(out, *ticket, result);
    }
}

fn answer(out: &mut Vec<Output>, ticket: u64, result: Result<u64, Code>) {
    out.push(Output::Answer { ticket, result });
}
