//! The settings of a node.

use marigoldpick_core::prelude::*;

use crate::access;

/// `Settings` holds the identity, timeouts and intervals of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The entry's name.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The address of the inner protocol: IP address and port.
    pub inner: String,
    /// The entry's capacity to act as the lead: its processors in thousandths of a core, or less if its
    /// network link is slow.
    pub strength: u32,
    /// The settings of the job scheduler.
    pub job: marigoldpick_job::Settings,
    /// Whether callers need keys, and how fresh the configuration must be.
    pub access: access::Policy,
    /// Whether jobs that can't end in time are rejected when they are submitted.
    pub admission: bool,
    /// Whether the entry reads what is stored while the lead is suspect, so that it can claim the lead with that.
    pub standby: bool,
    /// The time within which a new configuration must be in force if `access` has no bounds.
    pub config_bound: Millis,
    /// The duration of the lead's lease, for which a dead lead is not replaced.
    pub lead_lease: Millis,
    /// The duration of the lease on an entry's registration.
    pub entry_lease: Millis,
    /// The interval between two reads of the list of workers.
    pub registry_interval: Millis,
    /// The interval between two reads of the list of entries.
    pub members_interval: Millis,
    /// The timeout of a write to the store that a caller waits for.
    pub store_timeout: Millis,
    /// The timeout of a call to the lead.
    pub lead_timeout: Millis,
}

impl Settings {
    /// Creates settings with the default durations.
    #[must_use]
    pub fn new(entry: id::Entry, domain: id::Domain, inner: String) -> Self {
        Self {
            entry,
            domain,
            inner,
            strength: 1_000,
            job: marigoldpick_job::Settings::default(),
            access: access::Policy::default(),
            admission: false,
            standby: false,
            // The shortest bound of the platform's contracts.
            config_bound: Millis(2_000),
            lead_lease: Millis(1_500),
            entry_lease: Millis(10_000),
            registry_interval: Millis(500),
            members_interval: Millis(3_000),
            store_timeout: Millis(800),
            lead_timeout: Millis(400),
        }
    }
}
