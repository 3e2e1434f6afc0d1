//! How many workers a question to the adviser names.
//!
//! Load pattern: a question costs the adviser a fixed part and a part for each worker that is named,
//! and only a share of the workers is good. Naming too few means asking again, naming too many holds
//! up the questions behind. The prices of queues differ by a factor of forty.

use crate::queue::Policy;

/// `Share` is the share of the workers of a queue's answers that were good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    asked: u64,
    good: u64,
}

impl Default for Share {
    /// Half of the workers, by few samples.
    fn default() -> Self {
        Self {
            asked: Self::PRIOR_SAMPLES,
            good: Self::PRIOR_SAMPLES / 2,
        }
    }
}

impl Share {
    /// The samples that the first guess counts as.
    const PRIOR_SAMPLES: u64 = 8;
    /// The samples after which older ones count half.
    const DECAY_SAMPLES: u64 = 2_000;

    /// Takes in an answer.
    pub const fn record(&mut self, asked: u64, good: u64) {
        self.asked += asked;
        self.good += good;
        if self.asked >= Self::DECAY_SAMPLES {
            self.asked /= 2;
            self.good /= 2;
        }
    }

    /// Returns the share, above zero and at most one.
    #[must_use]
    pub fn value(&self) -> f64 {
        (self.good.max(1) as f64 / self.asked.max(1) as f64).min(1.0)
    }
}

/// What a second question takes beyond the adviser's time: the way there and back and the next pass.
pub const ROUND_TRIP_MS: f64 = 20.0;

/// The part of a question's fixed time that workers without room may add to it, in percent.
const EXTRA_TIME_PERCENT: f64 = 25.0;
/// The most workers without room that a question names.
const MAX_EXTRA_WORKERS: f64 = 32.0;

/// Returns how many workers without room a question may name besides.
#[must_use]
pub fn extra_worker_limit(policy: &Policy) -> usize {
    let each = policy.each_ms.max(f64::MIN_POSITIVE);
    (policy.base_ms * EXTRA_TIME_PERCENT / 100.0 / each).min(MAX_EXTRA_WORKERS) as usize
}

/// Returns how many workers to name so that `needed` good ones are found in the least expected time.
///
/// At most `most` are named. A question that finds too few is asked once more.
#[must_use]
pub fn worker_count(policy: &Policy, share: Share, needed: usize, most: usize) -> usize {
    let needed = needed.max(1);
    if most <= needed {
        return most;
    }
    let share = share.value();
    // The chance of each number of good workers below `needed` among those named so far.
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
