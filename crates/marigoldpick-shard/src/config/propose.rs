//! Proposing changes: group commit, conflicts, and answers that never contradict the log.

use marigoldpick_core::config::{Change, Entry};
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::MAX_VALUE_BYTES;

use super::{Log, Output};
use crate::event::Event;
use crate::journal::Step;

/// The most bytes of changes in one log entry; the rest is for the entry's other fields.
const MAX_CHANGES_BYTES: usize = MAX_VALUE_BYTES - 1_024;

/// `Proposal` is a change that waits for its answer, with the tickets that proposed it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Proposal {
    tickets: Vec<(u64, Millis)>,
    change: Change,
    len: usize,
    /// When it was proposed; only a state read after this may justify a refusal.
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
        if let Some(sequence) = self.confirmed_sequence(&change) {
            return answer(out, ticket, Ok(sequence));
        }
        let deadline = now + self.settings.propose_ms;
        // Tickets for a change that is already being written share its outcome.
        if let Some(same) = self.in_flight.iter_mut().find(|p| p.change == change) {
            same.tickets.push((ticket, deadline));
            return;
        }
        if self.backoff.is_store_down() && !self.backoff.has_elapsed(now) {
            return answer(out, ticket, Err(Code::NotAccepted));
        }
        let len = serde_json::to_string(&change).map_or(usize::MAX, |text| text.len());
        if len > MAX_CHANGES_BYTES {
            return answer(out, ticket, Err(Code::TooLarge));
        }
        self.queue.push(Proposal {
            tickets: vec![(ticket, deadline)],
            change,
            len,
            at: now,
        });
    }

    /// Returns the sequence number at which a plan was confirmed before, if it was.
    fn confirmed_sequence(&self, change: &Change) -> Option<u64> {
        match change {
            Change::Confirm(plan) => self.state().confirmed(&plan.id),
            _ => None,
        }
    }

    /// Composes the next log entry from all waiting changes that are allowed and fit into it.
    pub(super) fn compose_entry(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.queue.is_empty() || !self.journal.is_idle() {
            return;
        }
        if self.backoff.is_store_down() && !self.backoff.has_elapsed(now) {
            return self.refuse_queue(Code::NotAccepted, out);
        }
        if !self.journal.is_ready() {
            return self.journal.refresh();
        }
        let mut len = 0;
        let mut kept = Vec::new();
        for proposal in std::mem::take(&mut self.queue) {
            if let Some(sequence) = self.confirmed_sequence(&proposal.change) {
                answer_all(out, &proposal, Ok(sequence));
            } else if let Err(code) = self.state().allows(&proposal.change) {
                self.refuse(proposal, code, &mut kept, out);
            } else if len + proposal.len > MAX_CHANGES_BYTES {
                kept.push(proposal);
            } else {
                len += proposal.len + 1;
                self.in_flight.push(proposal);
            }
        }
        self.queue = kept;
        if !self.in_flight.is_empty() {
            self.append_entry();
        }
    }

    /// Refuses a change that the state does not allow.
    ///
    /// If the state was not read since the change was proposed, it is read first.
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

    fn append_entry(&mut self) {
        self.tries += 1;
        let tickets = self.in_flight.iter().flat_map(|p| &p.tickets);
        let event = tickets.map(|(ticket, _)| *ticket).max();
        let entry = Entry {
            sequence: self.state().sequence + 1,
            writer: Entry::writer_name(&self.me, self.incarnation, self.tries, event),
            changes: self.in_flight.iter().map(|p| p.change.clone()).collect(),
        };
        self.journal.append(entry);
    }

    pub(super) fn handle_steps(&mut self, steps: Vec<Step<Entry>>, out: &mut Vec<Output>) {
        for step in steps {
            match step {
                Step::CaughtUp => {
                    let from = self.journal.read_from();
                    self.fresh_at = self.fresh_at.max(Some(from));
                    self.read_at = Some(from);
                }
                Step::Appended(entry) => self.handle_appended(&entry, out),
                // Another writer took the number; the changes that are still allowed are retried.
                Step::Superseded(_) => {
                    let in_flight = std::mem::take(&mut self.in_flight);
                    self.queue.splice(0..0, in_flight);
                }
                Step::Refused(..) => {
                    let in_flight = std::mem::take(&mut self.in_flight);
                    self.queue.splice(0..0, in_flight);
                    self.refuse_queue(Code::NotAccepted, out);
                }
                Step::Failed(_) => self.refuse_queue(Code::NotAccepted, out),
            }
        }
    }

    fn handle_appended(&mut self, entry: &Entry, out: &mut Vec<Output>) {
        let note = format!("{} changes", entry.changes.len());
        let mut event = Event::new("config-accepted", entry.sequence, note);
        event.cause = entry.cause();
        out.push(Output::Event(event));
        for proposal in std::mem::take(&mut self.in_flight) {
            let result = self.outcome(&proposal.change, entry.sequence);
            answer_all(out, &proposal, result);
        }
    }

    /// Returns the outcome of a change in entry `sequence`.
    ///
    /// An earlier change in the same entry may have made it invalid.
    fn outcome(&self, change: &Change, sequence: u64) -> Result<u64, Code> {
        let Change::Confirm(plan) = change else {
            return Ok(sequence);
        };
        match self.state().confirmed(&plan.id) {
            Some(sequence) => Ok(sequence),
            None => Err(self.state().allows(change).err().unwrap_or(Code::Stale)),
        }
    }

    /// Answers the proposals whose deadline has passed.
    ///
    /// The outcome of those that may have been written is unknown; the others are not accepted and
    /// never will be.
    pub(super) fn expire_proposals(&mut self, now: Millis, out: &mut Vec<Output>) {
        let mut queue = std::mem::take(&mut self.queue);
        for proposal in &mut queue {
            expire_tickets(proposal, now, Code::NotAccepted, out);
        }
        queue.retain(|p| !p.tickets.is_empty());
        self.queue = queue;
        let due = |p: &Proposal| p.tickets.iter().any(|(_, deadline)| *deadline <= now);
        if !self.in_flight.iter().any(due) {
            return;
        }
        if self.journal.withdraw().is_some() {
            let in_flight = std::mem::take(&mut self.in_flight);
            for proposal in in_flight {
                answer_all(out, &proposal, Err(Code::NotAccepted));
            }
            return;
        }
        for proposal in &mut self.in_flight {
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
