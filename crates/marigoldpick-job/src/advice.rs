//! The adviser's answers for a step.
//!
//! The workers that may run a step do not change, but tickets expire. A later question about only
//! the good workers renews the tickets in a fraction of the first question's time.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::Advice;

/// `Verdict` is the adviser's answer about one worker for a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The worker.
    pub worker: id::Worker,
    /// The ticket, if the worker may run the step.
    pub ticket: Option<String>,
    /// The time from which the ticket is no longer used.
    pub expires: Millis,
}

/// `Tickets` holds the adviser's answers for a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tickets {
    /// The verdicts, sorted by worker.
    pub verdicts: Vec<Verdict>,
    /// Whether a question is in flight.
    pub pending: bool,
    /// The earliest time of the next question.
    pub retry_at: Millis,
    /// The workers that have restarted since the question in flight was asked, sorted.
    restarted: Vec<id::Worker>,
}

impl Tickets {
    /// Returns the verdict on a worker, if there is one.
    #[must_use]
    pub fn find(&self, worker: &id::Worker) -> Option<&Verdict> {
        let at = self
            .verdicts
            .binary_search_by(|verdict| verdict.worker.cmp(worker));
        at.ok().map(|at| &self.verdicts[at])
    }

    /// Returns the ticket for a worker if it is valid at `now`.
    #[must_use]
    pub fn valid_ticket(&self, worker: &id::Worker, now: Millis) -> Option<&str> {
        let verdict = self.find(worker)?;
        let ticket = verdict.ticket.as_deref()?;
        (now < verdict.expires).then_some(ticket)
    }

    /// Returns the workers with a ticket that is valid at `now`, sorted.
    pub fn workers_with_ticket(&self, now: Millis) -> impl Iterator<Item = &id::Worker> {
        let valid = move |verdict: &&Verdict| verdict.ticket.is_some() && now < verdict.expires;
        self.verdicts
            .iter()
            .filter(valid)
            .map(|verdict| &verdict.worker)
    }

    /// Records the answer to a question about `asked`, with tickets used until `expires`.
    pub fn record_answer(&mut self, asked: &[id::Worker], advice: Advice, expires: Millis) {
        self.pending = false;
        let restarted = std::mem::take(&mut self.restarted);
        let mut good = advice.good;
        good.sort_by(|a, b| a.worker.cmp(&b.worker));
        for worker in asked {
            let at = good.binary_search_by(|ticket| ticket.worker.cmp(worker));
            let is_current = restarted.binary_search(worker).is_err();
            let verdict = Verdict {
                worker: worker.clone(),
                ticket: at.ok().map(|at| good[at].ticket.clone()),
                expires: if is_current { expires } else { Millis::ZERO },
            };
            match self
                .verdicts
                .binary_search_by(|have| have.worker.cmp(worker))
            {
                Ok(at) => self.verdicts[at] = verdict,
                Err(at) => self.verdicts.insert(at, verdict),
            }
        }
    }

    /// Records that a question got no answer; the next one is asked at `retry_at`.
    pub fn record_refusal(&mut self, retry_at: Millis) {
        self.pending = false;
        self.restarted.clear();
        self.retry_at = retry_at;
    }

    /// Invalidates the ticket for a worker that refused it.
    pub fn invalidate(&mut self, worker: &id::Worker) {
        if let Ok(at) = self
            .verdicts
            .binary_search_by(|have| have.worker.cmp(worker))
        {
            self.verdicts[at].expires = Millis::ZERO;
        }
    }

    /// Invalidates the ticket for a worker that has restarted, and that of an answer on its way.
    ///
    /// A ticket is valid during one incarnation of the worker.
    pub fn end_incarnation(&mut self, worker: &id::Worker) {
        self.invalidate(worker);
        if self.pending
            && let Err(at) = self.restarted.binary_search(worker)
        {
            self.restarted.insert(at, worker.clone());
        }
    }
}
