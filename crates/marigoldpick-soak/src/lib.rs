//! Runs the real programs as separate processes and injects faults that are drawn from a seed.
//!
//! The stand-in of the platform checks the system's guarantees during the run.

pub mod fault;
pub mod port;
pub mod process;
pub mod run;
mod settings;

pub use fault::{Fault, Kind};
pub use run::{Outcome, Shape};
