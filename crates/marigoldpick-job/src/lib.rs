//! The scheduler for jobs of steps: pure decisions, without I/O and without a clock.
//!
//! One entry at a time leads a pool of workers. Its [`Lead`] consumes submitted jobs, workers'
//! reports and the results of store writes, and returns the actions to take. It orders a start only
//! after the store has recorded the task's worker, so that an entry that takes over knows where
//! each task may be running. While most entries cannot reach the store, the lead may be allowed to
//! order starts without a record; see [`Lead::allow_unrecorded`].

pub mod action;
pub mod admission;
pub mod advice;
pub mod askers;
pub mod delay;
pub mod job;
pub mod lead;
pub mod lease;
pub mod open;
pub mod place;
pub mod question;
pub mod queue;
pub mod quota;
pub mod ranges;
pub mod rank;
pub mod rate;
pub mod record;
pub mod settings;
mod speed;
pub mod throughput;
pub mod worker;

pub use action::Action;
pub use lead::Lead;
pub use queue::Queue;
pub use settings::Settings;
