//! Calls, answers and errors, as both sides see them.

use displaydoc::Display;
use marigoldpick_core::prelude::*;
use marigoldpick_core::{control, peer, work};

/// `Call` is one call to another entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A call of control threads.
    Control(control::Call),
    /// A call of traffic threads.
    Traffic(peer::Call),
    /// A call about jobs of steps.
    Jobs(work::peer::Call),
}

/// `Answer` answers a call of the same name.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// To a call of control threads.
    Control(control::Answer),
    /// To a call of traffic threads.
    Traffic(peer::Answer),
    /// To a call about jobs of steps.
    Jobs(work::peer::Answer),
}

/// `Error` is why a call brought no answer.
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

/// `Local` is the entry on this side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Local {
    /// The entry.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// `Settings` bounds what a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The version of the inner protocol that is spoken.
    pub version: u32,
    /// The longest time for a connection and the comparison of versions.
    pub connect: Millis,
    /// The wait after the first failed connection; it doubles with each further one.
    pub backoff: Millis,
    /// The longest wait after a failed connection.
    pub backoff_most: Millis,
    /// Calls that may wait for the client's thread.
    pub queue: usize,
    /// Where the jitter of the waits is drawn from.
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
