//! Who calls the platform, and how long it waits.

use marigoldpick_core::prelude::*;

/// The default time for a connection.
const CONNECT: Millis = Millis(500);
/// The default time for a call, connection included.
const CALL: Millis = Millis(2_000);
/// The default number of idle connections kept for an address.
const IDLE: usize = 4;

/// `Caller` is the entry that calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Its failure domain.
    pub domain: id::Domain,
    /// The entry.
    pub entry: id::Entry,
}

/// `Settings` bounds the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The longest time for a connection.
    pub connect: Millis,
    /// The longest time for a call. A watch gets its own wait in addition.
    pub call: Millis,
    /// Idle connections kept for an address.
    pub idle: usize,
    /// Whether the idle connections to an address are given up when a call there has no answer, as
    /// where connections go silent for good.
    pub forgets: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect: CONNECT,
            call: CALL,
            idle: IDLE,
            forgets: false,
        }
    }
}
