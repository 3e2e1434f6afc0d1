//! What the other entries say of the store.

use marigoldpick_core::control::Known;

/// `Others` is what the other entries say while this one does not reach the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Others {
    /// Those that reach the store.
    pub(crate) reaching: Vec<Known>,
    /// How many answered that they don't.
    pub(crate) cut_off: usize,
    /// How many are known.
    pub(crate) known: usize,
}

impl Others {
    /// Tells whether most entries, this one counted, live and do not reach the store.
    pub(crate) const fn most_are_cut_off(&self) -> bool {
        self.reaching.is_empty() && 2 * (self.cut_off + 1) > self.known + 1
    }
}
