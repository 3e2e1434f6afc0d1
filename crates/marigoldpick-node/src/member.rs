//! An entry as the others see it.

use marigoldpick_core::control::Known;
use serde::{Deserialize, Serialize};

/// `Member` is an entry as its key in the store tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// How it is reached.
    pub known: Known,
    /// How much of a lead's work it can carry.
    pub strength: u32,
    /// Whether its process is about to end: it gets no more questions and orders.
    #[serde(default)]
    pub draining: bool,
}
