//! Defines who calls the platform, and the limits of the calls.

use marigoldpick_core::prelude::*;

/// The default timeout for connecting.
const CONNECT_TIMEOUT: Millis = Millis(500);
/// The default timeout of a call, connecting included.
const CALL_TIMEOUT: Millis = Millis(2_000);
/// The default maximum number of idle connections per address.
const MAX_IDLE: usize = 4;

/// `Caller` identifies the calling entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The entry's failure domain.
    pub domain: id::Domain,
    /// The entry's id.
    pub entry: id::Entry,
}

/// `Settings` holds the timeouts of calls and the limit on idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The timeout for connecting.
    pub connect: Millis,
    /// The timeout of a call, connecting included. A watch adds its own wait.
    pub call: Millis,
    /// The maximum number of idle connections per address.
    pub idle: usize,
    /// Whether a call without an answer closes the idle connections to its address. This is for networks
    /// on which a connection may fall silent permanently.
    pub closes_idle_on_failure: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect: CONNECT_TIMEOUT,
            call: CALL_TIMEOUT,
            idle: MAX_IDLE,
            closes_idle_on_failure: false,
        }
    }
}
