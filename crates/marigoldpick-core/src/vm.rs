//! The platform's list of worker VMs, which may be seconds old.

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::id;
use crate::name::Name;
use crate::resource::Amount;

/// `State` is the state of a VM according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The VM is in use.
    Live,
    /// The VM is going to be taken away.
    Leaving,
    /// The platform has taken the VM away and nothing runs on it any more.
    Gone,
}

/// `Worker` is a worker VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// The worker.
    pub id: id::Worker,
    /// The failure domain.
    pub domain: id::Domain,
    /// The rack.
    pub rack: id::Rack,
    /// The kind of machine.
    pub kind: Name,
    /// The VM's total resources.
    pub size: Amount,
    /// The base URL of the worker's interface, with an IP address as the host.
    pub address: String,
    /// The state, which may be seconds old.
    pub state: State,
}

/// `List` is one version of the whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// A number that grows with each change of the list.
    pub version: u64,
    /// The workers, sorted by id.
    pub workers: Vec<Worker>,
}

/// `Source` provides the list.
pub trait Source: Clone + 'static {
    /// Reads the list of one failure domain.
    ///
    /// # Errors
    /// Fails with a code of the 600s when the platform does not answer.
    fn list(&self, domain: &id::Domain) -> impl Future<Output = Result<List, Code>>;
}
