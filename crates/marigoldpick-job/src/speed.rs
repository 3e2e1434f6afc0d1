//! The measured slowdown of each worker: run times relative to their estimates.
//!
//! Load pattern: some workers are twice as fast as others of the same kind, and some become slow
//! for seconds. A new worker is rated by its kind until some of its tasks have ended.

use marigoldpick_core::prelude::*;

/// The bounds on one ratio of run time to estimate, in thousandths: a task with a badly wrong
/// estimate says little about its worker.
const RATIO_PERMILLE: (u64, u64) = (100, 4_000);

/// `DecayingMean` is a mean ratio of run time to estimate that favours recent samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecayingMean {
    /// The sum of the ratios, in thousandths.
    sum: u64,
    count: u64,
}

impl DecayingMean {
    /// Records a ratio in thousandths; halves the weight of older samples at `decay_samples`.
    fn record(&mut self, permille: u64, decay_samples: u64) {
        self.sum += permille;
        self.count += 1;
        if self.count >= decay_samples {
            self.sum /= 2;
            self.count /= 2;
        }
    }

    /// Returns the mean, including `prior` with the weight of `weight` samples.
    const fn mean(&self, prior: u64, weight: u64) -> u64 {
        (self.sum + prior * weight) / (self.count + weight)
    }
}

/// `Slowdowns` holds the mean slowdown of each kind of machine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slowdowns {
    /// The means, sorted by kind.
    kinds: Vec<(Name, DecayingMean)>,
}

impl Slowdowns {
    /// The number of samples of a kind at which older ones lose half their weight.
    const KIND_DECAY_SAMPLES: u64 = 200;
    /// The number of samples of a worker at which older ones lose half their weight.
    const WORKER_DECAY_SAMPLES: u64 = 24;
    /// The number of samples that the prior counts as.
    const PRIOR_SAMPLES: u64 = 4;

    /// Records a task's run time on a worker, in thousandths of its estimate.
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

    /// Returns the expected run time on a worker, in thousandths of the estimate.
    pub(crate) fn permille(&self, own: &DecayingMean, kind: Option<&Name>) -> u64 {
        let kind = kind.and_then(|kind| {
            let at = self.kinds.binary_search_by(|(have, _)| have.cmp(kind));
            at.ok().map(|at| self.kinds[at].1)
        });
        let of_kind = kind.unwrap_or_default().mean(1_000, Self::PRIOR_SAMPLES);
        own.mean(of_kind, Self::PRIOR_SAMPLES)
    }
}
