//! Monotonic clocks and the type `Millis` for points in time and time spans.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// `Millis` is a point in time or a time span, in milliseconds.
///
/// Points in time of different processes are not comparable, since each process has a clock of its
/// own. Sums and differences saturate.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, or the empty span.
    pub const ZERO: Self = Self(0);
    /// The latest point in time.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a span of whole seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1_000))
    }

    /// Returns the span as a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the span from `earlier` to this point in time; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Multiplies the span by `factor`; the product saturates.
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Add for Millis {
    type Output = Self;
    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Self;
    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// `Clock` is a monotonic clock of one process.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the time since an arbitrary start; it never decreases.
    fn now(&self) -> Millis;
}

/// Returns the wall-clock time in milliseconds since 1970; zero if the clock is set to before 1970.
#[must_use]
pub fn time_of_day() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}

/// `System` is the machine's monotonic clock, which starts at zero when it is created.
///
/// It includes the time for which the machine was suspended, so that a lease that ended during the
/// suspension has lapsed when the process resumes.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: Duration,
}

impl System {
    /// Creates a clock that starts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Millis {
        let elapsed = since_boot().saturating_sub(self.start);
        Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Returns the time since the machine booted, including the time for which it was suspended.
///
/// # Panics
/// Panics when the system does not have this clock; Linux has had it since 2.6.39.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock");
    Duration::from(time)
}

/// `Manual` is a clock for tests, which stands still until it is advanced.
#[derive(Clone, Debug, Default)]
pub struct Manual {
    now: Arc<AtomicU64>,
}

impl Manual {
    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Millis) {
        self.now.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl Clock for Manual {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::SeqCst))
    }
}
