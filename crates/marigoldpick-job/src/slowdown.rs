//! How long tasks take on each worker.
//!
//! Load pattern: some workers are twice as fast as others of the same kind, and some turn slow for
//! seconds. A new worker is judged by its kind until some of its tasks have ended.

use marigoldpick_core::prelude::*;

/// The least and the greatest part of its estimate that a task counts with, in thousandths: one task
/// whose estimate was wrong by far says little of its worker.
const RATIO_PERMILLE: (u64, u64) = (100, 4_000);

/// `Sample` is how long tasks took against their estimates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecayingMean {
    /// Sum of the ratios, in thousandths.
    sum: u64,
    count: u64,
}

impl DecayingMean {
    /// Takes in a ratio in thousandths; from `many` samples on older ones count half.
    fn record(&mut self, permille: u64, decay_samples: u64) {
        self.sum += permille;
        self.count += 1;
        if self.count >= decay_samples {
            self.sum /= 2;
            self.count /= 2;
        }
    }

    /// Returns the mean, to which `prior` counts as `weight` samples.
    const fn mean(&self, prior: u64, weight: u64) -> u64 {
        (self.sum + prior * weight) / (self.count + weight)
    }
}

/// `Speeds` is how long tasks take on each kind of machine against their estimates.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slowdowns {
    /// Sorted by kind.
    kinds: Vec<(Name, DecayingMean)>,
}

impl Slowdowns {
    /// The samples of a kind after which older ones count half.
    const KIND_DECAY_SAMPLES: u64 = 200;
    /// The samples of a worker after which older ones count half.
    const WORKER_DECAY_SAMPLES: u64 = 24;
    /// The samples that the first guess counts as.
    const PRIOR_SAMPLES: u64 = 4;

    /// Takes in how long a task took on a worker of a kind, in thousandths of its estimate.
    pub(crate) fn record(&mut self, own: &mut DecayingMean, kind: Option<&Name>, permille: u64) {
        let permille = permille.clamp(RATIO_PERMILLE.0, RATIO_PERMILLE.1);
        own.record(permille, Self::WORKER_DECAY_SAMPLES);
        let Some(kind) = kind else {
            return;
        };
        match self.kinds.binary_search_by(|(have, _)| have.cmp(kind)) {
            Ok(at) => self.kinds[at].1.record(permille, Self::KIND_DECAY_SAMPLES),
            Err(at) => {
                let mut sample = DecayingMean::default();
                sample.record(permille, Self::KIND_DECAY_SAMPLES);
                self.kinds.insert(at, (kind.clone(), sample));
            }
        }
    }

    /// Returns how long tasks take on a worker of a kind, in thousandths of their estimates.
    pub(crate) fn permille(&self, own: &DecayingMean, kind: Option<&Name>) -> u64 {
        let kind = kind.and_then(|kind| {
            let at = self.kinds.binary_search_by(|(have, _)| have.cmp(kind));
            at.ok().map(|at| self.kinds[at].1)
        });
        let of_kind = kind.unwrap_or_default().mean(1_000, Self::PRIOR_SAMPLES);
        own.mean(of_kind, Self::PRIOR_SAMPLES)
    }
}
