//! The adviser's answers for a step, and the entries that ask.
//!
//! Which workers may run a step does not change, but tickets expire. A later question about the good
//! workers alone renews the tickets at a fraction of the first one's time.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::Advice;

/// `Known` is what is known of one worker for a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
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
    pub known: Vec<Known>,
    /// Whether a question is under way.
    pub pending: bool,
    /// When the next question may be asked.
    pub retry: Millis,
}

impl Tickets {
    /// Returns what is known of a worker.
    #[must_use]
    pub fn find(&self, worker: &id::Worker) -> Option<&Known> {
        let at = self
            .known
            .binary_search_by(|known| known.worker.cmp(worker));
        at.ok().map(|at| &self.known[at])
    }

    /// Returns the ticket for a worker, if it is valid at `now`.
    #[must_use]
    pub fn valid(&self, worker: &id::Worker, now: Millis) -> Option<&str> {
        let known = self.find(worker)?;
        let ticket = known.ticket.as_deref()?;
        (now < known.expires).then_some(ticket)
    }

    /// Returns the workers with a ticket that is valid at `now`, sorted.
    pub fn all_valid(&self, now: Millis) -> impl Iterator<Item = &id::Worker> {
        let valid = move |known: &&Known| known.ticket.is_some() && now < known.expires;
        self.known.iter().filter(valid).map(|known| &known.worker)
    }

    /// Takes in the answer to a question about `asked`, whose tickets are used until `expires`.
    pub fn learn(&mut self, asked: &[id::Worker], advice: Advice, expires: Millis) {
        self.pending = false;
        let mut good = advice.good;
        good.sort_by(|a, b| a.worker.cmp(&b.worker));
        for worker in asked {
            let at = good.binary_search_by(|ticket| ticket.worker.cmp(worker));
            let known = Known {
                worker: worker.clone(),
                ticket: at.ok().map(|at| good[at].ticket.clone()),
                expires,
            };
            match self.known.binary_search_by(|have| have.worker.cmp(worker)) {
                Ok(at) => self.known[at] = known,
                Err(at) => self.known.insert(at, known),
            }
        }
    }

    /// Makes a ticket that a worker refused invalid.
    pub fn expire(&mut self, worker: &id::Worker) {
        if let Ok(at) = self.known.binary_search_by(|have| have.worker.cmp(worker)) {
            self.known[at].expires = Millis::ZERO;
        }
    }
}

/// A question that takes longer than this is a long one; short ones should not wait behind it.
const LONG: Millis = Millis(150);
/// A question is not given to an entry whose earlier ones take longer than this.
const QUEUE: Millis = Millis(900);
/// How long an entry that did not answer is left out.
const AWAY: Millis = Millis(1_000);

/// `Asker` is an entry that puts questions to the adviser, one after the other.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Asker {
    entry: id::Entry,
    /// When the questions under way are answered, as far as is known.
    ends: Vec<Millis>,
    /// Until when it is left out.
    away: Millis,
}

impl Asker {
    /// Returns when its next question would begin.
    fn free(&self, now: Millis) -> Millis {
        self.ends.iter().copied().fold(now, Millis::max)
    }

    /// Tells whether it is there and its next question would begin soon.
    fn has_room(&self, now: Millis) -> bool {
        self.away <= now && self.free(now).since(now) <= QUEUE
    }
}

/// `Askers` spreads the questions over the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Askers {
    list: Vec<Asker>,
}

impl Askers {
    /// Sets the entries that can ask, sorted.
    pub fn set(&mut self, entries: &[id::Entry]) {
        self.list.retain(|asker| entries.contains(&asker.entry));
        for entry in entries {
            if let Err(at) = self.list.binary_search_by(|asker| asker.entry.cmp(entry)) {
                let asker = Asker {
                    entry: entry.clone(),
                    ends: Vec::new(),
                    away: Millis::ZERO,
                };
                self.list.insert(at, asker);
            }
        }
    }

    /// Chooses the entry that answers a question of `span` first, and books it.
    ///
    /// Long questions leave half of the entries to short ones, which come in bursts.
    pub fn book(&mut self, span: Millis, now: Millis) -> Option<id::Entry> {
        let many = self.list.len();
        let usable = if span > LONG && many > 1 {
            many - (many / 2).max(1)
        } else {
            many
        };
        let asker = self
            .list
            .iter_mut()
            .take(usable)
            .filter(|asker| asker.has_room(now))
            .min_by_key(|asker| asker.free(now))?;
        asker.ends.push(asker.free(now) + span);
        Some(asker.entry.clone())
    }

    /// Tells whether some entry could take another question.
    #[must_use]
    pub fn has_room(&self, now: Millis) -> bool {
        self.list.iter().any(|asker| asker.has_room(now))
    }

    /// Notes that the oldest question of an entry has ended.
    pub fn release(&mut self, entry: &id::Entry, answered: bool, now: Millis) {
        let at = self.list.binary_search_by(|asker| asker.entry.cmp(entry));
        if let Ok(at) = at {
            let asker = &mut self.list[at];
            if !asker.ends.is_empty() {
                asker.ends.remove(0);
            }
            if !answered {
                asker.away = now + AWAY;
            }
        }
    }
}
