//! When a caller that was refused should come again.
//!
//! Load pattern: the store is away for some seconds and callers try a handful of times. Those that
//! come early in an outage would use up their tries before its end if they came back each second;
//! later on the end is near, and a short wait loses the least.

use marigoldpick_core::prelude::*;

/// Outages that last longer than this have mostly less than a long wait to go.
const EARLY: Millis = Millis(3_000);
/// The wait in the early part of an outage.
const LONG: Millis = Millis(2_000);
/// The wait later on, and after a single failure.
const SHORT: Millis = Millis(1_000);

/// Returns the wait after a refusal; `outage` is how long the store has been away, if it is.
#[must_use]
pub const fn after(outage: Option<Millis>) -> Millis {
    match outage {
        Some(age) if age.0 < EARLY.0 => LONG,
        Some(_) | None => SHORT,
    }
}
