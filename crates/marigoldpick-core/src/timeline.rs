//! The events of a time line that spans all processes.
//!
//! Each event carries its process, the process's incarnation, a sequence number and, if known, the
//! event that caused it. Events of different processes are ordered by their causes; their clocks
//! cannot be compared.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name::Name;

/// `Mark` identifies an event by its process, the process's incarnation and a number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// The process.
    pub process: Name,
    /// The incarnation, a random number drawn when the process started.
    pub incarnation: u64,
    /// The event's number in the incarnation, from one.
    pub sequence: u64,
}

/// `Event` is an event of the time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// The event's identity.
    pub mark: Mark,
    /// The time by the process's own clock.
    pub at: Millis,
    /// The event that caused this one, if known; usually an event of another process.
    pub cause: Option<Mark>,
    /// The part of the program that recorded it: `entry`, `shard`, `place`, `route`, `wire`,
    /// `store`, `worker`.
    pub part: Name,
    /// The kind of event, such as `lead-taken` or `task-started`.
    pub what: Name,
    /// The task, request, worker, plan or shard that the event concerns.
    pub about: String,
    /// Details for people.
    pub note: String,
    /// The message between two processes, if this event is its sending or its receipt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
}

/// `Message` is the sending or the receipt of a message.
///
/// Both processes record the message's name, so that the message need not carry the event that
/// caused it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The message's name.
    pub name: String,
    /// Whether the message was sent or received.
    pub side: Side,
}

/// `Side` is the sender's or the receiver's side of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// The message was sent.
    Sent,
    /// The message was received.
    Received,
}

impl Message {
    /// Creates the record of one side of the message `name`.
    #[must_use]
    pub const fn new(name: String, side: Side) -> Self {
        Self { name, side }
    }
}
