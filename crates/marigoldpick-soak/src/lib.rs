//! The soak: the real programs as separate processes, harmed from outside in a way that the seed
//! draws, while the stand-in of the platform checks the promises.

pub mod plan;
mod port;
mod process;
pub mod run;

pub use plan::{Fault, Kind};
pub use run::{Outcome, Shape};
