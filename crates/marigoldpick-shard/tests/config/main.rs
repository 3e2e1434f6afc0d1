//! The configuration log at several entries: it is linearizable, never reverts and answers correctly.

mod cluster;
mod history;
mod propose;
mod specification;
#[path = "../support/mod.rs"]
mod support;
