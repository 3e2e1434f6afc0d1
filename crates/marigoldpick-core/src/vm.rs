//! The platform's lagging list of live and leaving VMs.

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::id;
use crate::name::Name;
use crate::resource::Amount;

/// `State` is what the list says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The VM is there.
    Live,
    /// The VM is going to be taken away.
    Leaving,
    /// The platform has taken the VM away and nothing runs on it any more.
    Gone,
}

/// `Worker` is a worker VM as the list has it.
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
    /// What the VM has.
    pub size: Amount,
    /// The base URL of the worker's interface, by IP number.
    pub address: String,
    /// The state, seconds old.
    pub state: State,
}

/// `List` is the whole list at a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// A number that grows with each change of the list.
    pub version: u64,
    /// The workers, sorted by id.
    pub workers: Vec<Worker>,
}

/// `Source` is where the list comes from.
pub trait Source: Clone + 'static {
    /// Reads the list of one failure domain.
    ///
    /// # Errors
    /// Fails with a code of the 600s when the platform does not answer.
    fn list(&self, domain: &id::Domain) -> impl Future<Output = Result<List, Code>>;
}
