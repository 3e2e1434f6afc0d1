//! An HTTP/1.1 server that bounds what all its clients together can make it hold.
//!
//! It bounds the head of a request before it is buffered, the time that a request takes to arrive, the
//! bytes that all requests in arrival hold, and the number of connections. [`budget`] makes the
//! decisions; the other modules read, answer and close.

pub mod budget;
pub mod chunk;
mod connection;
mod failure;
pub mod head;
mod intake;
mod listener;
mod reader;
pub mod settings;
mod wire;

pub use failure::Failure;
pub use intake::Intake;
pub use listener::{Service, listen, serve};
pub use reader::read_body;
pub use settings::Settings;

use marigoldpick_core::prelude::*;

/// `Terms` are the limits of one request, which may follow a configuration that changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The time within which the rest of a head must arrive.
    pub head: Millis,
    /// The time after which a connection without a request is closed.
    pub idle: Millis,
}
