//! Reports of the other entries on whether they reach the store.

use marigoldpick_core::control::Known;

/// `PeerReports` summarizes the answers of the other entries to a poll.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReports {
    /// The entries that reach the store, strongest first.
    pub(crate) reaching: Vec<Known>,
    /// The number of entries that answered that they do not reach the store.
    pub(crate) cut_off: usize,
    /// The number of other entries that are known, whether they answer or not.
    pub(crate) known: usize,
}

impl PeerReports {
    /// Returns whether most entries, including this one, are alive and none of them reaches the store.
    pub(crate) const fn are_most_cut_off(&self) -> bool {
        self.reaching.is_empty() && 2 * (self.cut_off + 1) > self.known + 1
    }
}
