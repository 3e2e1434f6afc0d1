//! Stand-ins for jobs of steps: workers that hold leases and obey terms, and the adviser.
//!
//! They are pure: time is told to them. The workers alone know what truly ran, and note each promise
//! that is broken.

mod adviser;
mod pool;
mod verdict;
mod worker;

pub use adviser::Adviser;
pub use pool::{Pool, Started};
pub use verdict::Verdict;
pub use worker::{Limits, Worker};
