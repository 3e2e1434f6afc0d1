//! Reports of the other entries on whether they reach the store.

use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;

/// How long after most entries were asked, and reported that they do not reach the store, starts without records
/// are allowed. It covers their answers, the pause until they are asked again, and those answers.
pub const UNRECORDED_ALLOWANCE: Millis = Millis(1_900);

/// `PeerReports` summarizes the answers of the other entries to a poll.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    /// When the entries were asked. A process that was paused reads their answers long after they were sent.
    pub asked: Millis,
    /// The entries that reach the store, strongest first.
    pub reaching: Vec<Known>,
    /// The number of entries that answered that they do not reach the store.
    pub cut_off: usize,
    /// The highest term in which one of the entries leads; zero if none does.
    pub term: u64,
    /// The number of other entries that are known, whether they answer or not.
    pub known: usize,
}

/// `Outage` is what a lead may rely on while nobody reaches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When no other entry could take over; `None` if an entry that did not answer may have.
    pub confirmed: Option<Millis>,
    /// Until when starts without records are allowed.
    pub unrecorded_until: Millis,
}

impl PeerReports {
    /// Returns what follows if most entries, including this one, are alive and none of them reaches the store.
    #[must_use]
    pub fn outage(&self) -> Option<Outage> {
        let are_most_cut_off = self.reaching.is_empty() && 2 * (self.cut_off + 1) > self.known + 1;
        are_most_cut_off.then(|| Outage {
            confirmed: (self.cut_off == self.known).then_some(self.asked),
            unrecorded_until: self.asked + UNRECORDED_ALLOWANCE,
        })
    }
}
