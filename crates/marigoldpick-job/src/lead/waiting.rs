//! A step that waits for placement.

use marigoldpick_core::work::Part;

use crate::rank::Rank;

/// `WaitingStep` is a step with tasks that wait for placement.
#[derive(Clone, Debug)]
pub(super) struct WaitingStep {
    pub(super) rank: Rank,
    pub(super) part: Part,
}
