//! The immutable snapshot that the control thread publishes to the traffic threads.

use std::sync::Arc;

use arc_swap::ArcSwap;
use marigoldpick_core::intent;
use marigoldpick_core::prelude::*;

/// `Endpoint` is an endpoint of this entry's failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The endpoint's id, which is the name of its run.
    pub id: id::Endpoint,
    /// The service.
    pub service: id::Service,
    /// The failure domain.
    pub domain: id::Domain,
    /// The worker it runs on.
    pub worker: id::Worker,
    /// Its address: IP address and port.
    pub address: String,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
}

/// `Peer` is another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The entry.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The address of its inner protocol: IP address and port.
    pub address: String,
    /// Whether its heartbeats arrived recently.
    pub alive: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// A random number that it drew at its start.
    pub incarnation: u64,
    /// The age of that incarnation when this view was made, at most the age of this entry.
    pub age: Millis,
}

/// `View` is what the traffic threads know of services, endpoints and entries.
#[derive(Clone, Debug)]
pub struct View {
    /// This entry.
    pub me: id::Entry,
    /// This entry's incarnation.
    pub incarnation: u64,
    /// This entry's failure domain.
    pub domain: id::Domain,
    /// The sequence number of the configuration.
    pub sequence: u64,
    /// Whether the configuration may be outdated.
    pub config_old: bool,
    /// Whether this entry is draining.
    pub draining: bool,
    /// The services, sorted by name.
    pub services: Vec<intent::Service>,
    /// The endpoints of this failure domain, sorted by id.
    pub endpoints: Vec<Endpoint>,
    /// The other entries of all failure domains, sorted by entry.
    pub entries: Vec<Peer>,
}

/// `Cell` holds the current view, which is replaced as a whole.
pub type Cell = Arc<ArcSwap<View>>;

impl View {
    /// Creates the view of an entry that has no configuration yet.
    #[must_use]
    pub const fn new(me: id::Entry, incarnation: u64, domain: id::Domain) -> Self {
        Self {
            me,
            incarnation,
            domain,
            sequence: 0,
            config_old: true,
            draining: false,
            services: Vec::new(),
            endpoints: Vec::new(),
            entries: Vec::new(),
        }
    }

    /// Wraps the view in a cell.
    #[must_use]
    pub fn cell(self) -> Cell {
        Arc::new(ArcSwap::from_pointee(self))
    }
}
