//! The messages about callers' requests that entries exchange over the inner protocol.
//!
//! They serve three purposes: [`Demand`] and [`Grant`] lease the slots of endpoints to entries,
//! [`Once`] and [`Record`] keep a request from running twice, and [`Forward`] runs a request in
//! another domain.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::code::Code;
use crate::id;

/// The maximum size of a request body that is forwarded to another failure domain, in bytes.
pub const MAX_FORWARD_BYTES: usize = 1 << 20;

/// `Class` is the priority class of a request; under overload the lower classes are shed first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Shed last.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// Shed first.
    Low,
}

/// `Call` is a request to another entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Renews slot leases with the arbiter of the endpoints; answered by [`Answer::Grant`].
    Demand(Demand),
    /// Registers, closes or settles a request id with an owner of its record; answered by
    /// [`Answer::Record`].
    Once(Once),
    /// Runs a request in the receiver's failure domain; answered by [`Answer::Forward`].
    Forward(Box<Forward>),
}

/// `Answer` is the response to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Answers [`Call::Demand`].
    Grant(Grant),
    /// Answers [`Call::Once`].
    Record(Record),
    /// Answers [`Call::Forward`].
    Forward(Box<Forwarded>),
    /// The call was not carried out, for the reason that the code gives.
    Refused(Code),
}

/// `Demand` is the number of slots that an entry holds and wants of one arbiter's endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The entry that sends the demand.
    pub entry: id::Entry,
    /// The entry's incarnation; a new incarnation holds no leases.
    pub incarnation: u64,
    /// A number that grows with each demand of the incarnation; demands that arrive late are
    /// ignored.
    pub sequence: u64,
    /// Whether `wants` lists all leases that the entry holds; if not, the unlisted ones are renewed
    /// as they are.
    pub whole: bool,
    /// The demand for each endpoint, sorted by endpoint.
    pub wants: Vec<Want>,
}

/// `Want` is the demand for one endpoint's slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Slots held under a lease that has not lapsed. The entry uses no more than these until it
    /// gets an answer.
    pub held: u32,
    /// Slots that have a request in flight.
    pub used: u32,
    /// Slots that the entry could use now.
    pub want: u32,
    /// How long after the lease's end a request that started under it may still run.
    pub cover: Millis,
}

/// `Grant` answers a [`Demand`]. Its leases last for `span` from the time when the demand was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Whether the next demand must be whole. If so, only the leases listed here are renewed.
    pub resend: bool,
    /// The duration of the leases.
    pub span: Millis,
    /// All leases if the demand was whole, otherwise the changed ones; sorted by endpoint.
    pub leases: Vec<Lease>,
}

/// `Lease` is the right to use a number of an endpoint's slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The number of slots; zero if the answering entry is not the arbiter of the endpoint.
    pub slots: u32,
}

/// `Once` is a message of the protocol that keeps a request from running twice.
///
/// The state of each request id is kept by entries called its owners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Once {
    /// The request.
    pub request: id::Request,
    /// The number of the caller's attempt, from one.
    pub attempt: u32,
    /// The entry that sends the message.
    pub entry: id::Entry,
    /// A number that identifies this try of this entry.
    pub token: u64,
    /// The operation.
    pub step: Step,
}

/// `Step` is an operation on an owner's record of a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Takes the id for the sender's token, unless it is taken or closed.
    Register {
        /// The time within which the request has to end.
        within: Millis,
    },
    /// Returns the record; an id that was never seen is closed for all other tokens.
    Close,
    /// Records how the request with the sender's token ended.
    Settle(Outcome),
}

/// `Outcome` is how a registered request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run; the id is free again.
    NotRun,
    /// The request may have run.
    Unknown(Code),
    /// The request ran and was answered; a small answer is kept.
    Done {
        /// The endpoint's HTTP status.
        status: u16,
        /// The answer's body, if it is small.
        body: Option<Vec<u8>>,
    },
}

/// `Record` is an owner's answer about a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The state of the id; [`State::Yours`] after a successful registration.
    pub state: State,
    /// How long the owner has kept records without interruption.
    pub age: Millis,
}

/// `State` is the state of a request id at an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The id was never seen here; after [`Step::Close`] it is closed for all but the sender's
    /// token.
    Never,
    /// The id is taken by the sender's token.
    Yours,
    /// The request is in flight under another token, or a later attempt has closed the id.
    Taken,
    /// The request ended.
    Ended(Outcome),
    /// The id is not recorded, since the owner has no room for more records now.
    Full,
}

/// `Forward` is a request that one failure domain asks another to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The request.
    pub request: id::Request,
    /// The number of the caller's attempt, from one.
    pub attempt: u32,
    /// The service.
    pub service: id::Service,
    /// The team.
    pub team: id::Team,
    /// The priority class.
    pub class: Class,
    /// Whether the request may be run again.
    pub idempotent: bool,
    /// The time left until the caller's deadline.
    pub deadline: Millis,
    /// The body.
    pub body: Vec<u8>,
}

/// `Forwarded` is the complete answer of the other failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarded {
    /// `Done`, a code of the 300s or a code of the 400s.
    pub code: Code,
    /// The endpoint's HTTP status if the code is `Done`.
    pub status: u16,
    /// The endpoint's content type; empty if it sent none.
    pub content: String,
    /// The answer's body.
    pub body: Vec<u8>,
    /// The delay after which a retry makes sense.
    pub retry_after: Option<Millis>,
}
