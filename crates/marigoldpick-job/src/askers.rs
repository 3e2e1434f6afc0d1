//! The entries that send questions to the adviser.
//!
//! Load pattern: the adviser answers one question at a time for each entry, in order of arrival.
//! Few questions are therefore queued at an entry, so that the rank of the work decides as late as
//! possible which question is next.
//!
//! Load pattern: a failure domain is cut off, and with it a third of the entries. Each question that
//! goes there costs its step half a second, the slack of an urgent job. Once two entries of a domain
//! do not answer, the domain gets one question at a time, to find out whether it is back.

use marigoldpick_core::prelude::*;

use crate::rank::Precedence;

/// Questions longer than this are long; short questions should not queue behind them.
const LONG_QUESTION: Millis = Millis(150);
/// The most queued question time at which an entry gets another question: one round trip.
const MAX_BACKLOG: Millis = Millis(60);
/// The same limit for a question of a lasting task that must run again.
const MAX_RESTART_BACKLOG: Millis = Millis(900);
/// How long an entry is excluded after a question without an answer.
const EXCLUSION: Millis = Millis(1_000);
/// How long after its expected end a question may be unanswered before its entry gets no other one.
/// An answer through another failure domain takes about 30 ms longer than the adviser.
const OVERDUE: Millis = Millis(150);
/// The number of entries of a failure domain that do not answer from which on the domain is suspect.
const SUSPECT_DOMAIN_MIN_ENTRIES: usize = 2;
/// The time between two questions to a suspect domain. It is short against a partition, since each
/// question without an answer delays one step, and each second of exclusion leaves entries unused.
const SUSPECT_RETRY: Millis = Millis(2_000);

/// `Member` is an entry that can ask the adviser.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The entry.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// `Asker` is an entry that sends questions to the adviser, one after the other.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Asker {
    entry: id::Entry,
    domain: id::Domain,
    /// The expected ends of the questions in flight.
    question_ends: Vec<Millis>,
    /// The time until which the entry is excluded.
    excluded_until: Millis,
    /// Whether the last question had no answer, and no entry of the domain has answered since.
    is_silent: bool,
}

impl Asker {
    /// Returns when the entry's next question would begin.
    fn free_at(&self, now: Millis) -> Millis {
        self.question_ends.iter().copied().fold(now, Millis::max)
    }

    /// Returns whether the oldest question should have been answered by now.
    fn is_overdue(&self, now: Millis) -> bool {
        let oldest = self.question_ends.first();
        oldest.is_some_and(|end| *end + OVERDUE < now)
    }

    /// Returns whether the entry's next question would begin soon.
    fn has_room(&self, precedence: Precedence, now: Millis) -> bool {
        let max_backlog = match precedence {
            Precedence::Restart => MAX_RESTART_BACKLOG,
            Precedence::Normal => MAX_BACKLOG,
        };
        self.free_at(now).since(now) <= max_backlog
    }
}

/// `Askers` distributes questions over the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Askers {
    /// The entries, sorted by id.
    list: Vec<Asker>,
    /// The suspect domains with the times of their next questions, sorted by domain.
    suspects: Vec<(id::Domain, Millis)>,
}

impl Askers {
    /// Sets the entries that can ask, sorted by id.
    pub fn set(&mut self, members: &[Member]) {
        let is_listed = |asker: &Asker| {
            let found = members.binary_search_by(|member| member.entry.cmp(&asker.entry));
            found.is_ok_and(|at| members[at].domain == asker.domain)
        };
        self.list.retain(is_listed);
        for member in members {
            let found = self
                .list
                .binary_search_by(|asker| asker.entry.cmp(&member.entry));
            if let Err(at) = found {
                let asker = Asker {
                    entry: member.entry.clone(),
                    domain: member.domain.clone(),
                    question_ends: Vec::new(),
                    excluded_until: Millis::ZERO,
                    is_silent: false,
                };
                self.list.insert(at, asker);
            }
        }
    }

    /// Assigns a question of `span` to the entry that can begin it first.
    ///
    /// Long questions leave half of the entries to short ones, which come in bursts. Questions of
    /// lasting tasks that must run again may use all entries.
    pub fn assign(
        &mut self,
        span: Millis,
        precedence: Precedence,
        now: Millis,
    ) -> Option<id::Entry> {
        let usable = self.usable(span, precedence, now);
        let at = usable
            .into_iter()
            .filter(|at| self.list[*at].has_room(precedence, now))
            .min_by_key(|at| {
                let asker = &self.list[*at];
                (asker.free_at(now), asker.question_ends.len())
            })?;
        let asker = &mut self.list[at];
        asker.question_ends.push(asker.free_at(now) + span);
        let suspect = self
            .suspects
            .binary_search_by(|(domain, _)| domain.cmp(&asker.domain));
        if let Ok(suspect) = suspect {
            self.suspects[suspect].1 = now + SUSPECT_RETRY;
        }
        Some(asker.entry.clone())
    }

    /// Returns the positions of the entries that a question may use.
    fn usable(&self, span: Millis, precedence: Precedence, now: Millis) -> Vec<usize> {
        let mut usable: Vec<usize> = (0..self.list.len())
            .filter(|at| !self.is_excluded(&self.list[*at], now))
            .collect();
        let count = usable.len();
        if span > LONG_QUESTION && count > 1 && precedence == Precedence::Normal {
            usable.truncate(count - (count / 2).max(1));
        }
        usable
    }

    /// Returns whether an entry or its domain gets no question now.
    fn is_excluded(&self, asker: &Asker, now: Millis) -> bool {
        let suspect = self
            .suspects
            .binary_search_by(|(domain, _)| domain.cmp(&asker.domain));
        let is_suspect = suspect.is_ok_and(|at| now < self.suspects[at].1);
        now < asker.excluded_until || asker.is_overdue(now) || is_suspect
    }

    /// Returns whether some entry can take a question of `span`.
    fn has_room(&self, span: Millis, precedence: Precedence, now: Millis) -> bool {
        let mut usable = self.usable(span, precedence, now).into_iter();
        usable.any(|at| self.list[at].has_room(precedence, now))
    }

    /// Records that the oldest question of an entry has ended.
    pub fn complete(&mut self, entry: &id::Entry, answered: bool, now: Millis) {
        let at = self.list.binary_search_by(|asker| asker.entry.cmp(entry));
        let Ok(at) = at else { return };
        let asker = &mut self.list[at];
        if !asker.question_ends.is_empty() {
            asker.question_ends.remove(0);
        }
        asker.is_silent = !answered;
        if !answered {
            asker.excluded_until = now + EXCLUSION;
        }
        let domain = asker.domain.clone();
        self.update_suspect(&domain, answered, now);
    }

    /// Marks a domain suspect when several of its entries are silent, and clears it with an answer.
    fn update_suspect(&mut self, domain: &id::Domain, answered: bool, now: Millis) {
        let of_domain = |asker: &&mut Asker| asker.domain == *domain;
        let found = self.suspects.binary_search_by(|(have, _)| have.cmp(domain));
        if answered {
            let members = self.list.iter_mut().filter(of_domain);
            members.for_each(|asker| asker.is_silent = false);
            if let Ok(at) = found {
                self.suspects.remove(at);
            }
            return;
        }
        let has_others = self.list.iter().any(|asker| asker.domain != *domain);
        let members = self.list.iter().filter(|asker| asker.domain == *domain);
        let silent = members.filter(|asker| asker.is_silent).count();
        if let Err(at) = found
            && has_others
            && silent >= SUSPECT_DOMAIN_MIN_ENTRIES
        {
            self.suspects
                .insert(at, (domain.clone(), now + SUSPECT_RETRY));
        }
    }
}

/// `Availability` caches during a pass that no entry can take another question.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    is_full_for_short: bool,
    is_full_for_long: bool,
}

impl Availability {
    /// Returns whether some entry can take a question of `span`.
    pub fn can_ask(
        &mut self,
        askers: &Askers,
        span: Millis,
        precedence: Precedence,
        now: Millis,
    ) -> bool {
        if precedence == Precedence::Restart {
            return askers.has_room(span, precedence, now);
        }
        let is_full = if span > LONG_QUESTION {
            &mut self.is_full_for_long
        } else {
            &mut self.is_full_for_short
        };
        *is_full = *is_full || !askers.has_room(span, precedence, now);
        !*is_full
    }
}
