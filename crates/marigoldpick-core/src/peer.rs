//! What the request placement of one entry says to that of another over the inner protocol.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::code::Code;
use crate::id;

/// The largest request body that is forwarded to another failure domain, in bytes.
pub const FORWARD_LIMIT: usize = 1 << 20;

/// `Class` orders requests under overload; a lower one is shed first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Shed last.
    Urgent,
    /// The usual one.
    #[default]
    Normal,
    /// Shed first.
    Low,
}

/// `Call` is one call of an entry's request placement to another's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Renews slot leases with their arbiter; answered by [`Answer::Grant`].
    Demand(Demand),
    /// Registers, looks up or closes a request id with an owner; answered by [`Answer::Record`].
    Once(Once),
    /// Runs a request in the other failure domain; answered by [`Answer::Forward`].
    Forward(Box<Forward>),
}

/// `Answer` answers a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// To [`Call::Demand`].
    Grant(Grant),
    /// To [`Call::Once`].
    Record(Record),
    /// To [`Call::Forward`].
    Forward(Box<Forwarded>),
    /// The call was not carried out, and why.
    Refused(Code),
}

/// `Demand` is what one entry holds and wants of the endpoints that one arbiter is in charge of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The entry that asks.
    pub entry: id::Entry,
    /// Its incarnation; a new one holds nothing.
    pub incarnation: u64,
    /// Grows with each demand of the incarnation; an older one that arrives late is ignored.
    pub sequence: u64,
    /// Whether `wants` names all that the entry holds; if not, the leases left out are renewed.
    pub whole: bool,
    /// One want for each endpoint, sorted by endpoint.
    pub wants: Vec<Want>,
}

/// `Want` is the demand for one endpoint's slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Slots held under a lease that has not lapsed; the holder keeps to it until an answer comes.
    pub held: u32,
    /// Slots with a request in flight.
    pub used: u32,
    /// Slots that the entry could use now.
    pub want: u32,
    /// How long after the lease's end a request that started under it may still run.
    pub cover: Millis,
}

/// `Grant` answers a demand. All leases last for `span`, counted from when the demand was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Whether the next demand must be whole; then only the leases named here are renewed.
    pub resend: bool,
    /// How long the leases last.
    pub span: Millis,
    /// To a whole demand all leases, else those that changed; sorted by endpoint.
    pub leases: Vec<Lease>,
}

/// `Lease` is a right to use slots of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// How many slots; none when the asked entry is not the arbiter of the endpoint.
    pub slots: u32,
}

/// `Once` is one step of the once-only protocol for a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Once {
    /// The request.
    pub request: id::Request,
    /// The caller's attempt, from one.
    pub attempt: u32,
    /// The entry that asks.
    pub entry: id::Entry,
    /// A number that only this try of this entry carries.
    pub token: u64,
    /// What is asked.
    pub step: Step,
}

/// `Step` is what an owner of a request id is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Takes the id for the asking token, unless it is taken or closed.
    Register {
        /// How long the request may run.
        within: Millis,
    },
    /// Closes the id against other tokens if it was never seen, and tells what is known.
    Close,
    /// Records how the run of the token ended.
    Settle(Outcome),
}

/// `Outcome` is how a registered request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It did not run; the id is free again.
    NotRun,
    /// It may have run.
    Unknown(Code),
    /// It ran and was answered; small answers are kept.
    Done {
        /// The endpoint's HTTP status.
        status: u16,
        /// The answer's body, if it is small.
        body: Option<Vec<u8>>,
    },
}

/// `Record` is what an owner knows of a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What is known; for a registration by the asking token, `Yours`.
    pub state: State,
    /// How long the owner has kept records without a gap.
    pub age: Millis,
}

/// `State` is an owner's record of a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The id was never seen here; after `Close` it is closed for all but the asking token.
    Never,
    /// The id is the asking token's.
    Yours,
    /// Another token has it in flight, or a later attempt has closed it.
    Taken,
    /// It ended.
    Ended(Outcome),
    /// The owner keeps no more records now.
    Full,
}

/// `Forward` is a request that one failure domain asks another to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The request.
    pub request: id::Request,
    /// The caller's attempt, from one.
    pub attempt: u32,
    /// The service.
    pub service: id::Service,
    /// The team.
    pub team: id::Team,
    /// The class.
    pub class: Class,
    /// Whether it may be run again.
    pub idempotent: bool,
    /// The time that is left.
    pub deadline: Millis,
    /// The body.
    pub body: Vec<u8>,
}

/// `Forwarded` is the other failure domain's answer, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarded {
    /// `Done`, a code of the 300s or a code of the 400s.
    pub code: Code,
    /// The endpoint's HTTP status when done.
    pub status: u16,
    /// The endpoint's content type, empty when it named none.
    pub content: String,
    /// The answer's body.
    pub body: Vec<u8>,
    /// When a later try makes sense.
    pub retry_after: Option<Millis>,
}
