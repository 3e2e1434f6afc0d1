//! The messages that the control threads of entries exchange over the inner protocol.
//!
//! The package `wire` encodes these messages, and those of the traffic threads, in generated types
//! of its own. It encodes the large parts (`Entry`, `State`, `Plan`, jobs and offers) as JSON text,
//! in the form in which the store holds them.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::{Entry, State};
use crate::id;
use crate::intent::Job;
use crate::operator;
use crate::plan::Plan;
use crate::worker::Epoch;

/// `Known` is an entry that takes part in the system, and its address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Known {
    /// The entry.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The IP address and port of its inner protocol.
    pub address: String,
}

/// `Led` is a shard of which the sender of a heartbeat is the lead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Led {
    /// The lead's epoch.
    pub epoch: Epoch,
    /// The shard's state.
    pub shard: operator::Shard,
    /// The version of the shard's endpoint list, which grows within an epoch.
    pub endpoints: u64,
}

/// `Beat` is a heartbeat with the sender's state; it is answered by the receiver's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Beat {
    /// The sender.
    pub known: Known,
    /// A random number drawn when the sender's process started.
    pub incarnation: u64,
    /// The time since the sender's process started.
    pub age: Millis,
    /// Whether the sender is draining.
    pub draining: bool,
    /// The number of the last configuration entry that the sender applied.
    pub sequence: u64,
    /// The time since the sender last heard from the store about the configuration.
    pub store_age: Millis,
    /// The shards that the sender leads.
    pub led: Vec<Led>,
    /// The entries that the sender knows, if the receiver may not know all of them.
    pub others: Vec<Known>,
}

/// `Endpoint` is the record of an endpoint at the lead of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The endpoint's id, which is derived from its run.
    pub id: id::Endpoint,
    /// The service.
    pub service: id::Service,
    /// The worker on which it runs.
    pub worker: id::Worker,
    /// Its IP address and port.
    pub address: String,
    /// Whether it is leaving, so that it must not get new requests.
    pub leaving: bool,
}

/// `Call` is a request to another entry's control thread.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Call {
    /// Sends a heartbeat; answered by [`Answer::Beat`].
    Beat(Beat),
    /// Asks for the configuration entries after a number; answered by [`Answer::Entries`] or
    /// [`Answer::State`].
    Entries {
        /// The number of the last entry that the sender has.
        after: u64,
    },
    /// Sends configuration entries, which the receiver applies if they follow its last one;
    /// answered by [`Answer::Sequence`].
    Push(Vec<Entry>),
    /// Asks the lead of a shard how it would place jobs; answered by [`Answer::Offers`].
    Survey {
        /// The shard.
        shard: id::Shard,
        /// The jobs.
        jobs: Vec<Job>,
    },
    /// Asks for a plan that the receiver made; answered by [`Answer::Plan`].
    Plan(id::Plan),
    /// Asks for the state of a task and its reasons; answered by [`Answer::Explain`].
    Explain(id::Task),
    /// Asks for the progress of jobs in each shard that the receiver leads; answered by
    /// [`Answer::Progress`].
    Progress,
    /// Asks for the endpoints of a shard; answered by [`Answer::Endpoints`].
    Endpoints(id::Shard),
}

/// `Answer` is the response to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The receiver's own heartbeat.
    Beat(Beat),
    /// The configuration entries, ascending by number; empty if there are none.
    Entries(Vec<Entry>),
    /// The whole configuration, sent when the receiver no longer keeps the requested entries.
    State(Box<State>),
    /// The number of the receiver's last configuration entry.
    Sequence(u64),
    /// The lead's offers as JSON text.
    Offers(String),
    /// The plan, if the receiver holds it.
    Plan(Option<Box<Plan>>),
    /// The state of the task and its reasons.
    Explain(operator::Explain),
    /// The progress of jobs in each shard.
    Progress(Vec<operator::Progress>),
    /// One version of a shard's endpoint list.
    Endpoints {
        /// The lead's epoch.
        epoch: Epoch,
        /// The version of the list.
        version: u64,
        /// The endpoints, sorted by id.
        endpoints: Vec<Endpoint>,
    },
}
