//! A step that waits for places.

use marigoldpick_core::work::Part;

use crate::rank::Rank;

/// `Open` is a step with tasks that wait for a place.
#[derive(Clone, Debug)]
pub(super) struct WaitingStep {
    pub(super) rank: Rank,
    pub(super) part: Part,
}
