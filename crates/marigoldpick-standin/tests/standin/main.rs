//! The stand-ins over loopback, called through the adapters.

mod common;
mod endpoint;
mod jobs;
mod platform;
mod relay;
mod settings;
mod store;
mod worker;
