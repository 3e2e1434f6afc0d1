//! Tests the stand-ins on loopback listeners, called through the platform's adapters.

mod common;
mod endpoint;
mod jobs;
mod platform;
mod relay;
mod settings;
mod store;
mod worker;
