//! The endpoints of a shard, which its lead lists from worker reports and other entries copy.

use marigoldpick_core::config::{State, Target};
use marigoldpick_core::control::Endpoint;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::{Epoch, Running};

use crate::view;

/// `Table` is a versioned list of a shard's endpoints, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The epoch of the lead that made the list.
    pub epoch: Epoch,
    /// The version, which increases within the epoch.
    pub version: u64,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

impl Table {
    /// Creates the empty list of a new lead.
    #[must_use]
    pub const fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            version: 1,
            endpoints: Vec::new(),
        }
    }

    /// Returns whether a lead's list at `epoch` and `version` is newer than this one.
    #[must_use]
    pub fn is_behind(&self, epoch: Epoch, version: u64) -> bool {
        (self.epoch, self.version) < (epoch, version)
    }

    /// Replaces this list by a lead's list if that is newer.
    pub fn replace(&mut self, epoch: Epoch, version: u64, endpoints: Vec<Endpoint>) {
        if self.is_behind(epoch, version) {
            *self = Self {
                epoch,
                version,
                endpoints,
            };
        }
    }

    /// Inserts or updates the endpoint of a run; a run without a service or address has none.
    pub fn upsert(&mut self, worker: &id::Worker, running: &Running) {
        let (Some(service), Some(address)) = (&running.spec.service, &running.endpoint) else {
            return;
        };
        let endpoint = Endpoint {
            id: running.spec.run.endpoint(),
            service: service.clone(),
            worker: worker.clone(),
            address: address.clone(),
            leaving: running.stopping,
        };
        match self
            .endpoints
            .binary_search_by(|have| have.id.cmp(&endpoint.id))
        {
            Ok(at) if self.endpoints[at] == endpoint => {}
            Ok(at) => {
                // A run that is being stopped never becomes available again.
                let leaving = self.endpoints[at].leaving || endpoint.leaving;
                let next = Endpoint {
                    leaving,
                    ..endpoint
                };
                self.update(|endpoints| replace_if_changed(&mut endpoints[at], next));
            }
            Err(at) => self.update(|endpoints| {
                endpoints.insert(at, endpoint);
                true
            }),
        }
    }

    /// Marks the endpoint of a run that is being stopped.
    pub fn mark_leaving(&mut self, run: &id::Run) {
        let id = run.endpoint();
        if let Ok(at) = self.endpoints.binary_search_by(|have| have.id.cmp(&id)) {
            self.update(|endpoints| !std::mem::replace(&mut endpoints[at].leaving, true));
        }
    }

    /// Removes the endpoint of a run that has ended.
    pub fn remove(&mut self, run: &id::Run) {
        let id = run.endpoint();
        if let Ok(at) = self.endpoints.binary_search_by(|have| have.id.cmp(&id)) {
            self.update(|endpoints| {
                endpoints.remove(at);
                true
            });
        }
    }

    /// Makes the endpoints of one worker match the runs that it reports.
    pub fn reconcile(&mut self, worker: &id::Worker, running: &[Running]) {
        let mut reported: Vec<id::Endpoint> = running
            .iter()
            .map(|running| running.spec.run.endpoint())
            .collect();
        reported.sort_unstable();
        self.update(|endpoints| {
            let before = endpoints.len();
            endpoints.retain(|e| e.worker != *worker || reported.binary_search(&e.id).is_ok());
            endpoints.len() != before
        });
        running
            .iter()
            .for_each(|running| self.upsert(worker, running));
    }

    fn update(&mut self, change: impl FnOnce(&mut Vec<Endpoint>) -> bool) {
        if change(&mut self.endpoints) {
            self.version += 1;
        }
    }
}

fn replace_if_changed(slot: &mut Endpoint, next: Endpoint) -> bool {
    let changed = *slot != next;
    *slot = next;
    changed
}

/// `Availability` decides which endpoints get no new requests.
///
/// An endpoint is leaving when its run is being stopped, when a drain covers it, or when the VM list
/// shows its worker in another state than live.
#[derive(Debug)]
pub struct Availability<'a> {
    /// The configuration, which contains the drains.
    pub state: &'a State,
    /// The VM list, sorted by worker.
    pub vms: &'a [vm::Worker],
    /// The failure domain.
    pub domain: &'a id::Domain,
}

impl Availability<'_> {
    /// Returns an endpoint as the traffic threads see it.
    #[must_use]
    pub fn view_endpoint(&self, endpoint: &Endpoint) -> view::Endpoint {
        view::Endpoint {
            id: endpoint.id.clone(),
            service: endpoint.service.clone(),
            domain: self.domain.clone(),
            worker: endpoint.worker.clone(),
            address: endpoint.address.clone(),
            leaving: endpoint.leaving || self.is_leaving(endpoint),
        }
    }

    fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let state = self.state;
        if state.drains.is_empty() && self.vms.is_empty() {
            return false;
        }
        if state.is_draining(&Target::Domain(self.domain.clone()))
            || state.is_draining(&Target::Endpoint(endpoint.id.clone()))
            || state.is_draining(&Target::Worker(endpoint.worker.clone()))
        {
            return true;
        }
        let found = self.vms.binary_search_by(|vm| vm.id.cmp(&endpoint.worker));
        let Ok(at) = found else { return false };
        let vm = &self.vms[at];
        vm.state != vm::State::Live || state.is_draining(&Target::Rack(vm.rack.clone()))
    }
}
