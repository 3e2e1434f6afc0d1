//! The stand-in of a worker: its tasks, its lease and its endpoints.

mod run;
mod state;

pub(crate) use run::{Nature, Run};
pub(crate) use state::Worker;
