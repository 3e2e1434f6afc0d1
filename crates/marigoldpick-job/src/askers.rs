//! The entries that put questions to the adviser.
//!
//! Load pattern: the adviser answers one question at a time for each entry. Questions that wait at an
//! entry are answered in the order in which they came, so few are let wait there: the rank of the work
//! decides which question is next until the last moment.

use marigoldpick_core::prelude::*;

use crate::rank::Claim;

/// A question that takes longer than this is a long one; short ones should not wait behind it.
const LONG: Millis = Millis(150);
/// A question is not given to an entry whose earlier ones take longer than this: the way there and back.
const QUEUE: Millis = Millis(60);
/// The same for a question of a lasting task that has to run again.
const RESTART_QUEUE: Millis = Millis(900);
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
    fn has_room(&self, claim: Claim, now: Millis) -> bool {
        let queue = match claim {
            Claim::Restart => RESTART_QUEUE,
            Claim::Turn => QUEUE,
        };
        self.away <= now && self.free(now).since(now) <= queue
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
    /// Long questions leave half of the entries to short ones, which come in bursts; those of lasting
    /// tasks that have to run again may use all.
    pub fn book(&mut self, span: Millis, claim: Claim, now: Millis) -> Option<id::Entry> {
        let usable = self.usable(span, claim);
        let asker = self
            .list
            .iter_mut()
            .take(usable)
            .filter(|asker| asker.has_room(claim, now))
            .min_by_key(|asker| asker.free(now))?;
        asker.ends.push(asker.free(now) + span);
        Some(asker.entry.clone())
    }

    /// Returns how many of the entries, from the first on, a question may use.
    fn usable(&self, span: Millis, claim: Claim) -> usize {
        let many = self.list.len();
        if span > LONG && many > 1 && claim == Claim::Turn {
            many - (many / 2).max(1)
        } else {
            many
        }
    }

    /// Tells whether some entry could take a question of `span`.
    fn has_room(&self, span: Millis, claim: Claim, now: Millis) -> bool {
        let mut usable = self.list.iter().take(self.usable(span, claim));
        usable.any(|asker| asker.has_room(claim, now))
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

/// `Free` remembers during a pass that no entry can take another question.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Free {
    none_for_short: bool,
    none_for_long: bool,
}

impl Free {
    /// Tells whether some entry could take a question of `span`.
    pub fn may_ask(&mut self, askers: &Askers, span: Millis, claim: Claim, now: Millis) -> bool {
        if claim == Claim::Restart {
            return askers.has_room(span, claim, now);
        }
        let none = if span > LONG {
            &mut self.none_for_long
        } else {
            &mut self.none_for_short
        };
        *none = *none || !askers.has_room(span, claim, now);
        !*none
    }
}
