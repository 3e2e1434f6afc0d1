//! The entries that put questions to the adviser.
//!
//! Load pattern: the adviser answers one question at a time for each entry. Questions that wait at an
//! entry are answered in the order in which they came, so few are let wait there: the rank of the work
//! decides which question is next until the last moment.

use marigoldpick_core::prelude::*;

use crate::rank::Precedence;

/// A question that takes longer than this is a long one; short ones should not wait behind it.
const LONG_QUESTION: Millis = Millis(150);
/// A question is not given to an entry whose earlier ones take longer than this: the way there and back.
const MAX_BACKLOG: Millis = Millis(60);
/// The same for a question of a lasting task that has to run again.
const MAX_RESTART_BACKLOG: Millis = Millis(900);
/// How long an entry that did not answer is left out.
const EXCLUSION: Millis = Millis(1_000);

/// `Asker` is an entry that puts questions to the adviser, one after the other.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Asker {
    entry: id::Entry,
    /// When the questions under way are answered, as far as is known.
    question_ends: Vec<Millis>,
    /// Until when it is left out.
    excluded_until: Millis,
}

impl Asker {
    /// Returns when its next question would begin.
    fn free_at(&self, now: Millis) -> Millis {
        self.question_ends.iter().copied().fold(now, Millis::max)
    }

    /// Tells whether it is there and its next question would begin soon.
    fn has_room(&self, precedence: Precedence, now: Millis) -> bool {
        let max_backlog = match precedence {
            Precedence::Restart => MAX_RESTART_BACKLOG,
            Precedence::Normal => MAX_BACKLOG,
        };
        self.excluded_until <= now && self.free_at(now).since(now) <= max_backlog
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
                    question_ends: Vec::new(),
                    excluded_until: Millis::ZERO,
                };
                self.list.insert(at, asker);
            }
        }
    }

    /// Chooses the entry that answers a question of `span` first, and books it.
    ///
    /// Long questions leave half of the entries to short ones, which come in bursts; those of lasting
    /// tasks that have to run again may use all.
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

    /// Returns how many of the entries, from the first on, a question may use.
    fn usable_count(&self, span: Millis, precedence: Precedence) -> usize {
        let count = self.list.len();
        if span > LONG_QUESTION && count > 1 && precedence == Precedence::Normal {
            count - (count / 2).max(1)
        } else {
            count
        }
    }

    /// Tells whether some entry could take a question of `span`.
    fn has_room(&self, span: Millis, precedence: Precedence, now: Millis) -> bool {
        let mut usable = self.list.iter().take(self.usable_count(span, precedence));
        usable.any(|asker| asker.has_room(precedence, now))
    }

    /// Notes that the oldest question of an entry has ended.
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

/// `Free` remembers during a pass that no entry can take another question.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    is_full_for_short: bool,
    is_full_for_long: bool,
}

impl Availability {
    /// Tells whether some entry could take a question of `span`.
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
