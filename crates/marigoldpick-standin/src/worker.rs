//! Simulates a worker: its runs, its lease and its endpoints.

mod run;
mod state;

pub(crate) use run::{Behaviour, Run};
pub(crate) use state::Worker;
