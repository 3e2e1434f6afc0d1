//! Reachability of the store, as judged by the outcomes of this entry's calls.
//!
//! Load pattern: the store was silent for seconds and is back. Calls from before its return still time out
//! after newer ones have been answered; such timeouts do not count against the store.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::Fault;

/// The number of consecutive calls refused for the rate limit at which the store counts as lost.
const REFUSALS_AT_LOSS: u32 = 3;

/// `Reachability` is the state of the store as the latest calls show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reachability {
    answers: bool,
    /// When `answers` last changed.
    changed: Option<Millis>,
    /// The send time of the latest call that was answered.
    last_answered_send: Millis,
    /// The number of consecutive calls that were refused for the rate limit.
    refusals: u32,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            answers: true,
            changed: None,
            last_answered_send: Millis::ZERO,
            refusals: 0,
        }
    }
}

impl Reachability {
    /// Returns whether the store answers.
    #[must_use]
    pub const fn is_answering(&self) -> bool {
        self.answers
    }

    /// Returns the send time of the latest call that was answered.
    #[must_use]
    pub const fn last_answered_send(&self) -> Millis {
        self.last_answered_send
    }

    /// Returns how long the store has been in its current state, answering or not.
    #[must_use]
    pub fn state_age(&self, now: Millis) -> Millis {
        self.changed.map_or(Millis::MAX, |at| now.since(at))
    }

    /// Records the outcome of a call sent at `sent`; returns whether the store is lost or regained by it.
    pub fn record(&mut self, sent: Millis, fault: Option<Fault>, now: Millis) -> bool {
        let answers = match fault {
            None | Some(Fault::Invalid) => true,
            Some(Fault::Away | Fault::Unknown) if sent < self.last_answered_send => return false,
            Some(Fault::Away | Fault::Unknown) => false,
            Some(Fault::Overloaded) => {
                self.refusals += 1;
                // A rate limit that is exceeded for a moment is no outage; refusing all calls is one.
                if self.refusals < REFUSALS_AT_LOSS {
                    return false;
                }
                false
            }
        };
        if answers {
            self.last_answered_send = self.last_answered_send.max(sent);
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
