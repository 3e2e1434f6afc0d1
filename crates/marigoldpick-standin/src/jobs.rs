//! Simulates the workers and the adviser for jobs of steps.
//!
//! Both are pure: the caller passes in the time. The workers hold leases and enforce terms. Only
//! they know what actually ran, and their pool records each violation of a guarantee.

mod adviser;
mod pool;
mod verdict;
mod worker;

pub use adviser::Adviser;
pub use pool::{Pool, Started};
pub use verdict::Verdict;
pub use worker::{Limits, Worker};
