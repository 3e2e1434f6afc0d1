//! The pause between two steps of a lead, in which events are gathered.
//!
//! Load pattern: thousands of workers. Each step looks at all of them, for holds that are due, runs to stop
//! and leases that have lapsed. With a fixed pause, these looks take a share of the lead's time that grows
//! with the pool, until starts and ends wait behind them.

use marigoldpick_core::prelude::*;

/// The minimum time between two steps in a small pool.
const MIN_GAP: Millis = Millis(3);
/// The number of workers that a lead looks at per millisecond, on average.
const WORKERS_PER_MS: u64 = 300;

/// Returns the minimum time between the starts of two steps in a pool of `workers` workers.
#[must_use]
pub fn min_gap(workers: usize) -> Millis {
    MIN_GAP.max(Millis(workers as u64 / WORKERS_PER_MS))
}
