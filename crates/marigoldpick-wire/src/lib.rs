//! The inner protocol: what entries say to each other, over capnp-rpc on TCP.
//!
//! A connection begins with a comparison of versions. Then each side's calls run side by side over
//! one connection for each pair of entries and direction. The types of a call are those of the core;
//! they are converted to the generated types of the schema at this border alone.

mod call;
mod client;
mod convert;
mod cut;
mod link;
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

/// The version of the inner protocol. Peers of another version get no session.
pub const VERSION: u32 = 2;
