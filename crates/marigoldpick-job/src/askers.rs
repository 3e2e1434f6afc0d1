//! The entries that send questions to the adviser.
//!
//! Load pattern: the adviser answers one question at a time for each entry, in order of arrival.
//! Few questions are therefore queued at an entry, so that the rank of the work decides as late as
//! possible which question is next.

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

/// `Asker` is an entry that sends questions to the adviser, one after the other.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Asker {
    entry: id::Entry,
    /// The expected ends of the questions in flight.
    question_ends: Vec<Millis>,
    /// The time until which the entry is excluded.
    excluded_until: Millis,
}

impl Asker {
    /// Returns when the entry's next question would begin.
    fn free_at(&self, now: Millis) -> Millis {
        self.question_ends.iter().copied().fold(now, Millis::max)
    }

    /// Returns whether the entry is available and its next question would begin soon.
    fn has_room(&self, precedence: Precedence, now: Millis) -> bool {
        let max_backlog = match precedence {
            Precedence::Restart => MAX_RESTART_BACKLOG,
            Precedence::Normal => MAX_BACKLOG,
        };
        self.excluded_until <= now && self.free_at(now).since(now) <= max_backlog
    }
}

/// `Askers` distributes questions over the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Askers {
    list: Vec<Asker>,
}

impl Askers {
    /// Sets the entries that can ask, sorted by id.
    pub fn set(&mut self, entries: &[id::Entry]) {
        self.list.retain(|asker| entries.contains(&asker.entry));
        for entry in entries {
            if let Err(at) = self.list.binary_search_by(|asker| asker.entry.cmp(entry)) {
                let asker = Asker {
                    entry: entry.clone(),
                    question_ends: Vec::new(),
                    excluded_until: Millis::ZERO,
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
        let usable = self.usable_count(span, precedence);
        let asker = self
            .list
            .iter_mut()
            .take(usable)
            .filter(|asker| asker.has_room(precedence, now))
            .min_by_key(|asker| asker.free_at(now))?;
        asker.question_ends.push(asker.free_at(now) + span);
        Some(asker.entry.clone())
    }

    /// Returns how many of the entries, counted from the first, a question may use.
    fn usable_count(&self, span: Millis, precedence: Precedence) -> usize {
        let count = self.list.len();
        if span > LONG_QUESTION && count > 1 && precedence == Precedence::Normal {
            count - (count / 2).max(1)
        } else {
            count
        }
    }

    /// Returns whether some entry can take a question of `span`.
    fn has_room(&self, span: Millis, precedence: Precedence, now: Millis) -> bool {
        let mut usable = self.list.iter().take(self.usable_count(span, precedence));
        usable.any(|asker| asker.has_room(precedence, now))
    }

    /// Records that the oldest question of an entry has ended.
    pub fn complete(&mut self, entry: &id::Entry, answered: bool, now: Millis) {
        let at = self.list.binary_search_by(|asker| asker.entry.cmp(entry));
        if let Ok(at) = at {
            let asker = &mut self.list[at];
            if !asker.question_ends.is_empty() {
                asker.question_ends.remove(0);
            }
            if !answered {
                asker.excluded_until = now + EXCLUSION;
            }
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
