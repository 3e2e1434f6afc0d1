//! The number of workers to name in a question to the adviser.
//!
//! Load pattern: a question costs the adviser a fixed time plus a time for each named worker, and
//! only a share of the workers is good. Naming too few means asking again; naming too many delays
//! the questions queued behind. The costs of queues differ by a factor of forty.

use crate::queue::Policy;

/// `Share` is the share of good workers in the adviser's answers for a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    asked: u64,
    good: u64,
}

impl Default for Share {
    /// Starts at one half, with the weight of a few samples.
    fn default() -> Self {
        Self {
            asked: Self::PRIOR_SAMPLES,
            good: Self::PRIOR_SAMPLES / 2,
        }
    }
}

impl Share {
    /// The number of samples that the initial value counts as.
    const PRIOR_SAMPLES: u64 = 8;
    /// The number of samples at which older ones lose half their weight.
    const DECAY_SAMPLES: u64 = 2_000;

    /// Records an answer about `asked` workers, of which `good` were good.
    pub const fn record(&mut self, asked: u64, good: u64) {
        self.asked += asked;
        self.good += good;
        if self.asked >= Self::DECAY_SAMPLES {
            self.asked /= 2;
            self.good /= 2;
        }
    }

    /// Returns the share, greater than zero and at most one.
    #[must_use]
    pub fn value(&self) -> f64 {
        (self.good.max(1) as f64 / self.asked.max(1) as f64).min(1.0)
    }
}

/// The time of a second question beyond the adviser's processing time.
///
/// It covers a round trip and the wait for the next pass.
pub const ROUND_TRIP_MS: f64 = 20.0;

/// The time that naming extra workers without capacity may add, in percent of a question's fixed
/// time.
const EXTRA_TIME_PERCENT: f64 = 25.0;
/// The most extra workers without capacity in a question.
const MAX_EXTRA_WORKERS: f64 = 32.0;

/// Returns how many extra workers without capacity a question may name.
#[must_use]
pub fn extra_worker_limit(policy: &Policy) -> usize {
    let each = policy.each_ms.max(f64::MIN_POSITIVE);
    (policy.base_ms * EXTRA_TIME_PERCENT / 100.0 / each).min(MAX_EXTRA_WORKERS) as usize
}

/// Returns how many workers to name to find `needed` good ones fastest.
///
/// Minimises the expected time and names at most `most` workers. The estimate assumes that a
/// question which finds too few is asked once more.
#[must_use]
pub fn worker_count(policy: &Policy, share: Share, needed: usize, most: usize) -> usize {
    let needed = needed.max(1);
    if most <= needed {
        return most;
    }
    let share = share.value();
    // The probability of each number of good workers below `needed` among the workers named so far.
    let mut chances = vec![0.0_f64; needed];
    chances[0] = 1.0;
    let mut best = (f64::INFINITY, needed);
    for named in 1..=most {
        for good in (0..needed).rev() {
            let before = if good > 0 { chances[good - 1] } else { 0.0 };
            chances[good] = chances[good].mul_add(1.0 - share, before * share);
        }
        if named < needed {
            continue;
        }
        let too_few: f64 = chances.iter().sum();
        let time = policy.time_ms(named);
        let expected = too_few.mul_add(time + ROUND_TRIP_MS, time);
        if expected < best.0 {
            best = (expected, named);
        }
    }
    best.1
}
