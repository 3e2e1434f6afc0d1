//! The settings of a node.

use marigoldpick_core::prelude::*;

/// `Settings` is all that a node learns before it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The entry's name.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The address of the inner protocol: IP number and port.
    pub inner: String,
    /// How much of a lead's work it can carry: its processors in thousandths of a core, less where
    /// its link is thin.
    pub strength: u32,
    /// The scheduler's spans and limits.
    pub job: marigoldpick_job::Settings,
    /// The lease of the lead: how long a dead lead is not replaced.
    pub lead_lease: Millis,
    /// The lease of an entry's registration.
    pub entry_lease: Millis,
    /// The time between two reads of the list of workers.
    pub registry_gap: Millis,
    /// The time between two reads of the list of entries.
    pub members_gap: Millis,
    /// The longest time that the store is given for a write that a caller waits for.
    pub store_limit: Millis,
    /// The longest time for a question to the lead.
    pub lead_limit: Millis,
}

impl Settings {
    /// Makes settings with the usual spans.
    #[must_use]
    pub fn new(entry: id::Entry, domain: id::Domain, inner: String) -> Self {
        Self {
            entry,
            domain,
            inner,
            strength: 1_000,
            job: marigoldpick_job::Settings::default(),
            lead_lease: Millis(1_500),
            entry_lease: Millis(10_000),
            registry_gap: Millis(500),
            members_gap: Millis(3_000),
            store_limit: Millis(800),
            lead_limit: Millis(400),
        }
    }
}
