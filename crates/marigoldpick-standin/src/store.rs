//! The stand-in of the key-value service.

mod serve;
mod state;

pub(crate) use serve::Store;
