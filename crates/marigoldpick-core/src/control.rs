//! What the control threads of entries say to each other over the inner protocol.
//!
//! `wire` carries these types and those of the traffic threads in generated types of its own; bulky
//! parts (`Entry`, `State`, `Plan`, jobs and offers) go as the JSON text that the store holds too.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::{Entry, State};
use crate::id;
use crate::intent::Job;
use crate::operator;
use crate::plan::Plan;
use crate::worker::Epoch;

/// `Known` is an entry and how to reach it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Known {
    /// The entry.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The address of its inner protocol: IP number and port.
    pub address: String,
}

/// `Led` is a shard that the sender of a beat leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Led {
    /// The lead's epoch.
    pub epoch: Epoch,
    /// The shard's state.
    pub shard: operator::Shard,
    /// The version of the shard's list of endpoints, which grows within an epoch.
    pub endpoints: u64,
}

/// `Beat` tells that an entry lives; the answer to a beat is the receiver's beat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Beat {
    /// The sender.
    pub known: Known,
    /// A number drawn at the sender's start.
    pub incarnation: u64,
    /// How long the sender has run.
    pub age: Millis,
    /// Whether it is draining.
    pub draining: bool,
    /// The number of the last configuration entry it applied.
    pub sequence: u64,
    /// How long ago it had news of the configuration from the store.
    pub store_age: Millis,
    /// The shards it leads.
    pub led: Vec<Led>,
    /// Entries it knows, when the receiver may lack one.
    pub others: Vec<Known>,
}

/// `Endpoint` is an endpoint as the lead of its shard knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The endpoint: the name of the run that it is.
    pub id: id::Endpoint,
    /// The service.
    pub service: id::Service,
    /// The worker it runs on.
    pub worker: id::Worker,
    /// Its address: IP number and port.
    pub address: String,
    /// Whether it gets no new requests.
    pub leaving: bool,
}

/// `Call` is one call between control threads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Call {
    /// The sender lives.
    Beat(Beat),
    /// Asks for configuration entries after a number.
    Entries {
        /// The last number that is known.
        after: u64,
    },
    /// Brings configuration entries; those that are next are applied.
    Push(Vec<Entry>),
    /// Asks the lead of a shard what would become of jobs; answered by `Offers`.
    Survey {
        /// The shard.
        shard: id::Shard,
        /// The jobs.
        jobs: Vec<Job>,
    },
    /// Asks for a plan that was made there.
    Plan(id::Plan),
    /// Asks why a task is as it is.
    Explain(id::Task),
    /// Asks for the progress of the jobs in each shard led there.
    Progress,
    /// Asks for the endpoints of a shard.
    Endpoints(id::Shard),
}

/// `Answer` is the answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The receiver's own beat.
    Beat(Beat),
    /// Entries, ascending; empty when there is none.
    Entries(Vec<Entry>),
    /// The whole state, since the entries asked for are no longer kept.
    State(Box<State>),
    /// To `Push`: the number that is in force now.
    Sequence(u64),
    /// To `Survey`: the offers as JSON text.
    Offers(String),
    /// The plan, if it is held there.
    Plan(Option<Box<Plan>>),
    /// Why the task is as it is.
    Explain(operator::Explain),
    /// The progress of jobs, by shard.
    Progress(Vec<operator::Progress>),
    /// The endpoints of a shard at a version of the list.
    Endpoints {
        /// The lead's epoch.
        epoch: Epoch,
        /// The version.
        version: u64,
        /// The endpoints, sorted by id.
        endpoints: Vec<Endpoint>,
    },
}
