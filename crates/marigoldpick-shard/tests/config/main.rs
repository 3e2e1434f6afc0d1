//! The configuration's log at several entries: linearizable, never reverting, true answers.

mod cell;
mod history;
mod names;
mod propose;
#[path = "../support/mod.rs"]
mod support;
