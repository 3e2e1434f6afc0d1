//! Estimates: real sizes and run times of a kind of job, learnt from late and lossy reports.
//!
//! Ratios of used to declared are kept in two histograms; the older one is dropped when the newer
//! one is full, so that old reports lose their weight.

use hdrhistogram::Histogram;
use marigoldpick_core::prelude::*;

use crate::size::Size;

/// Reports in one generation.
const GENERATION: u64 = 500;
/// Reports below which the declared size stands.
const ENOUGH: u64 = 20;
/// A ratio of one.
const UNIT: u64 = 1_000;
/// Ratios that differ by less count as the same.
const RESOLUTION: u64 = 20;
/// The largest ratio that is told apart.
const MOST: u64 = 64 * UNIT;
/// The longest run time that is told apart: thirty days.
const LONGEST: u64 = 30 * 24 * 3_600 * 1_000;

/// `Decayed` is a histogram in two generations.
#[derive(Clone, Debug)]
struct Decayed {
    new: Histogram<u32>,
    old: Histogram<u32>,
    most: u64,
}

impl Decayed {
    fn new(most: u64, digits: u8) -> Self {
        let empty = || Histogram::new_with_bounds(1, most, digits).expect("the bounds are sound");
        Self {
            new: empty(),
            old: empty(),
            most,
        }
    }

    fn note(&mut self, value: u64) {
        self.new.saturating_record(value.clamp(1, self.most));
        if self.new.len() >= GENERATION {
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

/// `Estimate` is what is known of a kind's real needs.
#[derive(Clone, Debug)]
pub struct Estimate {
    millicores: Decayed,
    memory: Decayed,
    run: Decayed,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            millicores: Decayed::new(MOST, 2),
            memory: Decayed::new(MOST, 2),
            run: Decayed::new(LONGEST, 1),
        }
    }
}

/// The share of tasks whose processors the estimate covers; the others are throttled.
const PROCESSOR_QUANTILE: f64 = 0.9;
/// The share of tasks whose memory the estimate covers; the others start again with more.
const MEMORY_QUANTILE: f64 = 0.99;
/// Memory above the quantile, in hundredths; processors need none, since they are throttled.
const MEMORY_MARGIN_PERCENT: u64 = 105;
/// Processors as the quantile tells, in hundredths.
const PROCESSOR_MARGIN_PERCENT: u64 = 100;
/// The share of tasks that have ended within the run time that is taken for sure.
const LONG_QUANTILE: f64 = 0.9;
/// The share of tasks that have ended within the expected run time.
const RUN_QUANTILE: f64 = 0.5;

impl Estimate {
    /// Notes the most that a run used so far.
    pub fn note_usage(&mut self, declared: &Size, used: &Size) {
        self.millicores
            .note(permille(used.millicores, declared.millicores));
        self.memory.note(permille(used.memory, declared.memory));
    }

    /// Notes how long a run took to its good end.
    pub fn note_run(&mut self, age: Millis) {
        self.run.note(age.0);
    }

    /// Returns what to set aside for a task; with `floor` no less than was declared.
    #[must_use]
    pub fn ask(&self, declared: &Size, floor: bool) -> Size {
        if self.memory.len() < ENOUGH {
            return *declared;
        }
        let mut ask = *declared;
        ask.millicores = scale(
            declared.millicores,
            self.millicores.quantile(PROCESSOR_QUANTILE),
            PROCESSOR_MARGIN_PERCENT,
        );
        ask.memory = scale(
            declared.memory,
            self.memory.quantile(MEMORY_QUANTILE),
            MEMORY_MARGIN_PERCENT,
        );
        if floor { ask.max(declared) } else { ask }
    }

    /// Returns the run time that half of the tasks keep to, by experience or by the owner's word.
    #[must_use]
    pub fn run(&self, declared: Option<Millis>) -> Option<Millis> {
        self.run_at(RUN_QUANTILE, declared)
    }

    /// Returns the run time that nearly all tasks keep to, by experience or by the owner's word.
    #[must_use]
    pub fn long_run(&self, declared: Option<Millis>) -> Option<Millis> {
        self.run_at(LONG_QUANTILE, declared)
    }

    fn run_at(&self, quantile: f64, declared: Option<Millis>) -> Option<Millis> {
        if self.run.len() < ENOUGH {
            return declared;
        }
        Some(Millis(self.run.quantile(quantile)))
    }
}

fn permille(used: u64, declared: u64) -> u64 {
    used.saturating_mul(UNIT) / declared.max(1)
}

/// Returns the declared amount unless experience tells another one.
fn scale(declared: u64, permille: u64, margin_percent: u64) -> u64 {
    let learnt = (declared.saturating_mul(permille) / UNIT * margin_percent / 100).max(1);
    if permille > UNIT + RESOLUTION {
        learnt
    } else {
        learnt.min(declared)
    }
}
