//! Whether the store answers this entry, by the calls that were made.
//!
//! Load pattern: the store was silent for seconds and is back. Calls from before its return fail by
//! their time-out while newer ones have been answered already; they tell nothing of the present.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::Fault;

/// Calls in a row that the store may refuse for its rate before it counts as lost.
const REFUSALS: u32 = 3;

/// `Reach` is what the last calls say of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    answers: bool,
    /// When that changed.
    changed: Option<Millis>,
    /// When the latest call that was answered was sent.
    seen: Millis,
    /// Calls in a row that were refused for the rate.
    refusals: u32,
}

impl Default for Reach {
    fn default() -> Self {
        Self {
            answers: true,
            changed: None,
            seen: Millis::ZERO,
            refusals: 0,
        }
    }
}

impl Reach {
    /// Tells whether the store answers.
    #[must_use]
    pub const fn answers(&self) -> bool {
        self.answers
    }

    /// Returns when the latest call that was answered was sent.
    #[must_use]
    pub const fn seen(&self) -> Millis {
        self.seen
    }

    /// Returns how long the store has answered, or has not.
    #[must_use]
    pub fn age(&self, now: Millis) -> Millis {
        self.changed.map_or(Millis::MAX, |at| now.since(at))
    }

    /// Notes how a call that was sent at `sent` ended; tells whether the store is lost or regained by it.
    pub fn note(&mut self, sent: Millis, fault: Option<Fault>, now: Millis) -> bool {
        let answers = match fault {
            None | Some(Fault::Invalid) => true,
            Some(Fault::Away | Fault::Unknown) if sent < self.seen => return false,
            Some(Fault::Away | Fault::Unknown) => false,
            Some(Fault::Overloaded) => {
                self.refusals += 1;
                // A rate that is used up for a moment is no outage; refusing all calls is one.
                if self.refusals < REFUSALS {
                    return false;
                }
                false
            }
        };
        if answers {
            self.seen = self.seen.max(sent);
        }
        if fault != Some(Fault::Overloaded) {
            self.refusals = 0;
        }
        if answers == self.answers {
            return false;
        }
        self.answers = answers;
        self.changed = Some(now);
        true
    }
}
