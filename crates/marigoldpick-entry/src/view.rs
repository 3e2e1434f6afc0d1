//! What the control thread tells the traffic threads: an immutable snapshot, swapped in whole.

use std::sync::Arc;

use arc_swap::ArcSwap;
use marigoldpick_core::intent;
use marigoldpick_core::prelude::*;

/// `Endpoint` is an endpoint of this entry's failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The endpoint: the name of the run that it is.
    pub id: id::Endpoint,
    /// The service.
    pub service: id::Service,
    /// The failure domain.
    pub domain: id::Domain,
    /// The worker it runs on.
    pub worker: id::Worker,
    /// Its address: IP number and port.
    pub address: String,
    /// Whether it gets no new requests.
    pub leaving: bool,
}

/// `Peer` is another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The entry.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The address of its inner protocol: IP number and port.
    pub address: String,
    /// Whether it was heard lately.
    pub alive: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// A number drawn at its start.
    pub incarnation: u64,
    /// How long that incarnation has been known here.
    pub age: Millis,
}

/// `View` is the snapshot.
#[derive(Clone, Debug)]
pub struct View {
    /// This entry.
    pub me: id::Entry,
    /// This entry's incarnation.
    pub incarnation: u64,
    /// This entry's failure domain.
    pub domain: id::Domain,
    /// The configuration's number.
    pub sequence: u64,
    /// Whether the configuration may be old.
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

/// `Cell` holds the current view.
pub type Cell = Arc<ArcSwap<View>>;

impl View {
    /// Makes the view of an entry that knows nothing yet.
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

    /// Puts the view into a cell.
    #[must_use]
    pub fn cell(self) -> Cell {
        Arc::new(ArcSwap::from_pointee(self))
    }
}
