//! The soak: the real programs as separate processes, with faults injected from outside as the seed
//! draws them, while the stand-in of the platform checks the promises.

pub mod plan;
mod port;
mod process;
pub mod run;

pub use plan::{Fault, Kind};
pub use run::{Outcome, Shape};
