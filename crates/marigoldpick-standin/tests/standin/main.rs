//! The stand-ins over loopback, called through the adapters.

mod common;
mod endpoint;
mod settings;
mod store;
mod worker;
