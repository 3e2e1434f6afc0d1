//! The delay after which a caller that was refused should retry.
//!
//! Load pattern: the store is unreachable for some seconds, and callers make only a handful of attempts.
//! Those that come early in an outage would use up their attempts before its end if they retried each
//! second. Later the end is near, and a short delay loses the least time.

use marigoldpick_core::prelude::*;

/// The duration of the early part of an outage. An older outage mostly ends within less than the long
/// delay.
const EARLY_OUTAGE: Millis = Millis(3_000);
/// The delay in the early part of an outage.
const LONG_DELAY: Millis = Millis(2_000);
/// The delay later in an outage, and after a single failure.
const SHORT_DELAY: Millis = Millis(1_000);

/// Returns the delay after a refusal; `outage` is the age of the store's outage, if there is one.
#[must_use]
pub const fn delay(outage: Option<Millis>) -> Millis {
    match outage {
        Some(age) if age.0 < EARLY_OUTAGE.0 => LONG_DELAY,
        Some(_) | None => SHORT_DELAY,
    }
}
