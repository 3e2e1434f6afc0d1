//! What entries say to each other about jobs, over the inner protocol.

use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::port::Advice;
use super::{Job, Part, Phase, relay};
use crate::clock::Millis;
use crate::id;
use crate::name::Name;

/// `Call` is one call to another entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Puts a question to the adviser for the lead; answered by [`Answer::Advice`].
    Advise {
        /// The step.
        part: Part,
        /// The workers, sorted.
        workers: Vec<id::Worker>,
        /// How long the answer may take.
        limit: Millis,
    },
    /// Asks the lead how a job stands; answered by [`Answer::Phase`].
    Phase(id::Job),
    /// Asks the lead how many jobs of a queue wait; answered by [`Answer::Waiting`].
    Waiting(Name),
    /// Stores a job for an entry that does not reach the store; answered by [`Answer::Receipt`].
    Submit {
        /// The job's id.
        job: id::Job,
        /// The job.
        spec: Arc<Job>,
    },
    /// Cancels a job for an entry that does not reach the store; answered by [`Answer::Receipt`].
    Cancel(id::Job),
    /// Asks whether the entry leads and reaches the store; answered by [`Answer::Pong`].
    Ping,
    /// Asks the entry to take the lead over from the asking one, which does not reach the store;
    /// answered by [`Answer::Pong`].
    Succeed,
    /// Carries out orders for the lead; answered by [`Answer::Relayed`].
    Relay(relay::Batch),
}

/// `Answer` answers a [`Call`].
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// To [`Call::Advise`].
    Advice(Advice),
    /// To [`Call::Advise`]: too many questions wait.
    Busy,
    /// To [`Call::Phase`]; nothing when the job is not known here.
    Phase(Option<Phase>),
    /// To [`Call::Waiting`].
    Waiting(u64),
    /// To [`Call::Submit`] and [`Call::Cancel`].
    Receipt(Receipt),
    /// To [`Call::Ping`].
    Pong {
        /// The term in which it leads, zero if it does not.
        term: u64,
        /// Whether the store answered it lately.
        store: bool,
    },
    /// To [`Call::Relay`]: what became of this and earlier batches' orders since the last answer.
    Relayed(Vec<relay::Outcome>),
}

/// `Receipt` is what became of a job that was handed in, or of a cancel.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Receipt {
    /// the store has it
    Stored,
    /// there is no such job
    Absent,
    /// nothing was stored, and nothing will be
    Refused,
    /// it may have been stored, or may be stored later
    Unknown,
}
