//! Provides estimates of real sizes and run times of a kind of job, learnt from usage reports.
//!
//! Reports may be late or lost. Ratios of used to declared resources are kept in two histograms. When
//! the newer one is full, the older one is dropped, so that old reports lose their weight.

use hdrhistogram::Histogram;
use marigoldpick_core::prelude::*;

use crate::size::Size;

/// Number of reports in one generation.
const GENERATION_REPORTS: u64 = 500;
/// Number of reports below which the declared size or run time is used.
const MIN_REPORTS: u64 = 20;
/// A ratio of 1.
const ONE_PERMILLE: u64 = 1_000;
/// Excess over 1 up to which a ratio counts as 1.
const TOLERANCE_PERMILLE: u64 = 20;
/// The largest ratio that the histograms distinguish.
const MAX_RATIO_PERMILLE: u64 = 64 * ONE_PERMILLE;
/// The longest run time that the histograms distinguish: 30 days.
const MAX_RUN_MS: u64 = 30 * 24 * 3_600 * 1_000;

/// `DecayingHistogram` is a histogram of the last two generations of reports.
#[derive(Clone, Debug)]
struct DecayingHistogram {
    new: Histogram<u32>,
    old: Histogram<u32>,
    max: u64,
}

impl DecayingHistogram {
    fn new(max: u64, digits: u8) -> Self {
        let empty = || Histogram::new_with_bounds(1, max, digits).expect("the bounds are sound");
        Self {
            new: empty(),
            old: empty(),
            max,
        }
    }

    fn record(&mut self, value: u64) {
        self.new.saturating_record(value.clamp(1, self.max));
        if self.new.len() >= GENERATION_REPORTS {
            std::mem::swap(&mut self.new, &mut self.old);
            self.new.reset();
        }
    }

    fn len(&self) -> u64 {
        self.new.len() + self.old.len()
    }

    fn quantile(&self, quantile: f64) -> u64 {
        let of = |histogram: &Histogram<u32>| histogram.value_at_quantile(quantile);
        of(&self.new).max(of(&self.old))
    }
}

/// `Estimate` holds the learnt sizes and run times of a kind.
#[derive(Clone, Debug)]
pub struct Estimate {
    millicores: DecayingHistogram,
    memory: DecayingHistogram,
    run_time: DecayingHistogram,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            millicores: DecayingHistogram::new(MAX_RATIO_PERMILLE, 2),
            memory: DecayingHistogram::new(MAX_RATIO_PERMILLE, 2),
            run_time: DecayingHistogram::new(MAX_RUN_MS, 1),
        }
    }
}

/// Share of tasks whose processor use the estimate covers; the others are throttled.
const PROCESSOR_QUANTILE: f64 = 0.9;
/// Share of tasks whose memory use the estimate covers; the others restart with more memory.
const MEMORY_QUANTILE: f64 = 0.99;
/// Memory to request in percent of the quantile, with a margin because memory can't be throttled.
const MEMORY_MARGIN_PERCENT: u64 = 105;
/// Processors to request in percent of the quantile, without a margin because they can be throttled.
const PROCESSOR_MARGIN_PERCENT: u64 = 100;
/// Share of tasks that end within the conservative run time.
const LONG_QUANTILE: f64 = 0.9;
/// Share of tasks that end within the expected run time.
const RUN_QUANTILE: f64 = 0.5;

impl Estimate {
    /// Records the peak usage of a run so far.
    pub fn record_usage(&mut self, declared: &Size, used: &Size) {
        self.millicores
            .record(permille(used.millicores, declared.millicores));
        self.memory.record(permille(used.memory, declared.memory));
    }

    /// Records the duration of a successful run.
    pub fn record_run_time(&mut self, age: Millis) {
        self.run_time.record(age.0);
    }

    /// Returns the resources to allocate to a task.
    ///
    /// With `at_least_declared` the result is never below the declared size.
    #[must_use]
    pub fn request(&self, declared: &Size, at_least_declared: bool) -> Size {
        if self.memory.len() < MIN_REPORTS {
            return *declared;
        }
        let mut request = *declared;
        request.millicores = scale(
            declared.millicores,
            self.millicores.quantile(PROCESSOR_QUANTILE),
            PROCESSOR_MARGIN_PERCENT,
        );
        request.memory = scale(
            declared.memory,
            self.memory.quantile(MEMORY_QUANTILE),
            MEMORY_MARGIN_PERCENT,
        );
        if at_least_declared {
            request.max(declared)
        } else {
            request
        }
    }

    /// Returns the expected run time, or the declared one without enough reports.
    #[must_use]
    pub fn expected_run_time(&self, declared: Option<Millis>) -> Option<Millis> {
        self.run_time_quantile(RUN_QUANTILE, declared)
    }

    /// Returns the conservative run time, or the declared one without enough reports.
    #[must_use]
    pub fn conservative_run_time(&self, declared: Option<Millis>) -> Option<Millis> {
        self.run_time_quantile(LONG_QUANTILE, declared)
    }

    fn run_time_quantile(&self, quantile: f64, declared: Option<Millis>) -> Option<Millis> {
        if self.run_time.len() < MIN_REPORTS {
            return declared;
        }
        Some(Millis(self.run_time.quantile(quantile)))
    }
}

fn permille(used: u64, declared: u64) -> u64 {
    used.saturating_mul(ONE_PERMILLE) / declared.max(1)
}

/// Returns the learnt amount; it exceeds the declared one only beyond the tolerance.
fn scale(declared: u64, permille: u64, margin_percent: u64) -> u64 {
    let learnt = (declared.saturating_mul(permille) / ONE_PERMILLE * margin_percent / 100).max(1);
    if permille > ONE_PERMILLE + TOLERANCE_PERMILLE {
        learnt
    } else {
        learnt.min(declared)
    }
}
