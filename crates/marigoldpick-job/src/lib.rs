//! The scheduler of jobs made of steps: pure decisions, without I/O and without a clock.
//!
//! One entry at a time leads a pool of workers. Its [`Lead`] takes in what was handed in, what the
//! workers report and what the store has recorded, and returns the orders to give. A start is given
//! only after the store has recorded the task's worker, so that another entry that takes over knows
//! where each task may run.

pub mod action;
pub mod advice;
pub mod askers;
pub mod job;
pub mod lead;
pub mod placement;
pub mod question;
pub mod queue;
pub mod rank;
pub mod record;
pub mod settings;
mod slowdown;
pub mod worker;

pub use action::Action;
pub use lead::Lead;
pub use queue::Queue;
pub use settings::Settings;
