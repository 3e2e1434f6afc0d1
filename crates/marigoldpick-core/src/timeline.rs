//! Events of a time line that spans all processes.
//!
//! Each event carries the process, its incarnation and a sequence number, and the event that caused
//! it if that one is known. Causes give the order between processes; clocks don't.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name::Name;

/// `Mark` names an event: the process, its incarnation and the event's number there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// The process.
    pub process: Name,
    /// The incarnation: a random number drawn at the process's start.
    pub incarnation: u64,
    /// The event's number in that incarnation, from one.
    pub sequence: u64,
}

/// `Event` is one thing that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// The event's name.
    pub mark: Mark,
    /// The process's own time.
    pub at: Millis,
    /// The event that led to this one, if known; mostly one of another process.
    pub cause: Option<Mark>,
    /// The part of the program: `entry`, `shard`, `place`, `route`, `wire`, `store`, `worker`.
    pub part: Name,
    /// What happened, in a word such as `lead-taken` or `task-started`.
    pub what: Name,
    /// The task, request, worker, plan or shard it is about.
    pub about: String,
    /// More, for people.
    pub note: String,
    /// The message between two processes that this event is one end of, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
}

/// `Message` is one end of a message; both ends tell its name, so that the cause need not travel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The message's name.
    pub name: String,
    /// Which end this is.
    pub side: Side,
}

/// `Side` is an end of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// It was sent.
    Sent,
    /// It was received.
    Received,
}

impl Message {
    /// Names an end of a message.
    #[must_use]
    pub const fn new(name: String, side: Side) -> Self {
        Self { name, side }
    }
}
