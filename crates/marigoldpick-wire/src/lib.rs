//! The inner protocol: calls between entries, over capnp-rpc on TCP.
//!
//! A connection begins with a comparison of protocol versions. After that any number of calls may
//! be in flight at once. For each pair of entries there is one connection in each direction. The
//! types of calls and answers are those of marigoldpick-core; only this crate converts them to and
//! from the generated types of the schema.

mod arrival;
mod call;
mod client;
mod convert;
mod link;
mod partition;
mod server;
mod stream;

#[expect(
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::renamed_function_params,
    missing_debug_implementations,
    reason = "generated from schema/peer.capnp"
)]
mod peer_capnp;

pub use call::{Answer, Call, Error, Local, Settings};
pub use client::Client;
pub use server::{Handler, Server};

/// The version of the inner protocol; peers of another version get no session.
pub const VERSION: u32 = 2;
