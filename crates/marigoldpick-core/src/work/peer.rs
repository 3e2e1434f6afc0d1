//! The messages about jobs that entries exchange over the inner protocol.

use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::explain::Placement;
use super::lease::Handover;
use super::load::Summary;
use super::port::Advice;
use super::{Access, Job, Part, Phase, relay};
use crate::clock::Millis;
use crate::id;
use crate::name::Name;

/// `Call` is a request to another entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Asks the adviser on behalf of the lead; answered by [`Answer::Advice`] or [`Answer::Busy`].
    Advise {
        /// The step whose tasks are to be placed.
        part: Part,
        /// The candidate workers, sorted.
        workers: Vec<id::Worker>,
        /// The timeout for the answer.
        limit: Millis,
    },
    /// Asks the lead for the phase of a job; answered by [`Answer::Phase`].
    Phase {
        /// The id of the job.
        job: id::Job,
        /// What the caller may see; other jobs are answered as unknown.
        access: Access,
    },
    /// Asks the lead for the number of waiting jobs of a queue; answered by [`Answer::Waiting`].
    Waiting(Name),
    /// Stores a job for an entry that cannot reach the store; answered by [`Answer::Receipt`].
    Submit {
        /// The id of the job.
        job: id::Job,
        /// The job.
        spec: Arc<Job>,
    },
    /// Cancels a job for an entry that cannot reach the store; answered by [`Answer::Receipt`].
    Cancel {
        /// The id of the job.
        job: id::Job,
        /// What the caller may cancel; other jobs are answered as unknown.
        access: Access,
    },
    /// Asks whether the entry is the lead and reaches the store; answered by [`Answer::Pong`].
    Ping,
    /// Asks the entry to take over the lead from the sender, which cannot reach the store; answered
    /// by [`Answer::Pong`].
    Succeed,
    /// Asks an earlier lead that the sender has replaced to end its term and to tell which leases it has
    /// granted; answered by [`Answer::Leases`].
    Yield {
        /// The unique name of the earlier lead's claim.
        holder: String,
    },
    /// Passes orders of the lead on to workers; answered by [`Answer::Relayed`].
    Relay(relay::Batch),
    /// Asks the lead for the summary of the waiting work; answered by [`Answer::Load`].
    Load,
    /// Asks the lead where a job would go, without accepting it; answered by [`Answer::Placement`].
    Explain(Arc<Job>),
}

/// `Answer` is the response to a [`Call`].
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Answers [`Call::Advise`].
    Advice(Advice),
    /// Refuses [`Call::Advise`], since too many questions wait for the adviser.
    Busy,
    /// Answers [`Call::Phase`]; `None` if the job is not known here.
    Phase(Option<Phase>),
    /// Answers [`Call::Waiting`] with the number of waiting jobs.
    Waiting(u64),
    /// Answers [`Call::Submit`] and [`Call::Cancel`].
    Receipt(Receipt),
    /// Answers [`Call::Ping`] and [`Call::Succeed`].
    Pong {
        /// The term in which the answering entry is the lead; zero if it is not.
        term: u64,
        /// Whether the store has answered this entry recently.
        store: bool,
        /// How long the answering entry has run and reached the store without a break; zero if it does not reach it.
        steady: Millis,
        /// The configuration that the answering entry knows to have been the newest.
        config: Confirmation,
    },
    /// Answers [`Call::Relay`] with the outcomes that are new since the last answer, also those of
    /// orders in earlier batches.
    Relayed(Vec<relay::Outcome>),
    /// Answers [`Call::Load`].
    Load(Summary),
    /// Answers [`Call::Explain`]; `None` if the lead does not know the job's queue.
    Placement(Option<Placement>),
    /// Answers [`Call::Yield`]; `None` if the last term of the answering entry was not under that claim.
    Leases(Option<Handover>),
}

/// `Confirmation` says how long ago a version of the configuration was the newest in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// The version; zero if the entry has no configuration.
    pub version: u64,
    /// The time since the request was sent to which the store answered with this version.
    pub age: Millis,
}

/// `Receipt` is the result of submitting or cancelling a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Receipt {
    /// the store has it
    Stored,
    /// there is no such job
    Absent,
    /// another team has a job with this id
    Taken,
    /// nothing was stored, and nothing will be
    Refused,
    /// it could not end in time, so it was not stored and will not be; it may be repeated after {after}
    Rejected {
        /// The delay after which the caller may submit it again.
        after: Millis,
    },
    /// it may have been stored, or may be stored later
    Unknown,
}
