//! Simulates the key-value service.

mod serve;
mod state;

pub use serve::{Refused, Store};
