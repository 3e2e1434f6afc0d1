//! The registration of an entry, which the other entries read.

use marigoldpick_core::control::Known;
use serde::{Deserialize, Serialize};

/// `Member` is an entry's registration, the value of its key in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The entry's name, failure domain and address.
    pub known: Known,
    /// The entry's capacity to act as the lead, in the unit of [`crate::Settings::strength`].
    pub strength: u32,
    /// Whether its process is about to end; it then gets neither adviser queries nor orders to relay.
    #[serde(default)]
    pub draining: bool,
}
