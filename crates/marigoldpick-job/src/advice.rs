//! The adviser's answers for a step.
//!
//! Which workers may run a step does not change, but tickets expire. A later question about the good
//! workers alone renews the tickets at a fraction of the first one's time.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::Advice;

/// `Known` is what is known of one worker for a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The worker.
    pub worker: id::Worker,
    /// The ticket, if the worker may run the step.
    pub ticket: Option<String>,
    /// When the ticket is no longer used.
    pub expires: Millis,
}

/// `Tickets` is what is known of the workers for a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tickets {
    /// What is known, sorted by worker.
    pub verdicts: Vec<Verdict>,
    /// Whether a question is under way.
    pub pending: bool,
    /// When the next question may be asked.
    pub retry_at: Millis,
}

impl Tickets {
    /// Returns what is known of a worker.
    #[must_use]
    pub fn find(&self, worker: &id::Worker) -> Option<&Verdict> {
        let at = self
            .verdicts
            .binary_search_by(|verdict| verdict.worker.cmp(worker));
        at.ok().map(|at| &self.verdicts[at])
    }

    /// Returns the ticket for a worker, if it is valid at `now`.
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

    /// Takes in the answer to a question about `asked`, whose tickets are used until `expires`.
    pub fn record_answer(&mut self, asked: &[id::Worker], advice: Advice, expires: Millis) {
        self.pending = false;
        let mut good = advice.good;
        good.sort_by(|a, b| a.worker.cmp(&b.worker));
        for worker in asked {
            let at = good.binary_search_by(|ticket| ticket.worker.cmp(worker));
            let verdict = Verdict {
                worker: worker.clone(),
                ticket: at.ok().map(|at| good[at].ticket.clone()),
                expires,
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

    /// Makes a ticket that a worker refused invalid.
    pub fn invalidate(&mut self, worker: &id::Worker) {
        if let Ok(at) = self
            .verdicts
            .binary_search_by(|have| have.worker.cmp(worker))
        {
            self.verdicts[at].expires = Millis::ZERO;
        }
    }
}
