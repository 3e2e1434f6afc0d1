//! Calls, answers, errors and settings, which client and server share.

use displaydoc::Display;
use marigoldpick_core::prelude::*;
use marigoldpick_core::{control, peer, work};

/// `Call` is a call to another entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A call between control threads.
    Control(control::Call),
    /// A call between traffic threads.
    Traffic(peer::Call),
    /// A call about jobs of steps.
    Jobs(work::peer::Call),
}

/// `Answer` is the answer to the [`Call`] variant of the same name.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The answer to a call between control threads.
    Control(control::Answer),
    /// The answer to a call between traffic threads.
    Traffic(peer::Answer),
    /// The answer to a call about jobs of steps.
    Jobs(work::peer::Answer),
}

/// `Error` is the reason for which a call got no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the other entry was not reached; the call had no effect
    Away,
    /// no answer came; the call may have had an effect
    Unknown,
    /// the other entry refused: {0}
    Refused(Code),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the result code.
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::Away | Self::Unknown => Code::PeerAway,
            Self::Refused(code) => code,
        }
    }
}

/// `Local` identifies the entry that makes the calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Local {
    /// The entry's id.
    pub entry: id::Entry,
    /// The entry's failure domain.
    pub domain: id::Domain,
}

/// `Settings` holds the protocol version and the limits of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The version of the inner protocol that the client speaks.
    pub version: u32,
    /// The timeout for making a connection and comparing versions.
    pub connect: Millis,
    /// The delay after the first failed connection attempt; it doubles with each further one.
    pub backoff: Millis,
    /// The longest delay after a failed connection attempt.
    pub backoff_most: Millis,
    /// The most calls that may wait for the client's thread.
    pub queue: usize,
    /// The seed of the jitter of the delays.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            version: crate::VERSION,
            connect: Millis(1_000),
            backoff: Millis(50),
            backoff_most: Millis(2_000),
            queue: 4_096,
            seed: 0,
        }
    }
}
