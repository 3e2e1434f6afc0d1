//! How long tasks take on each worker.
//!
//! Load pattern: some workers are twice as fast as others of the same kind, and some turn slow for
//! seconds. A new worker is judged by its kind until some of its tasks have ended.

use marigoldpick_core::prelude::*;

/// The least and the greatest part of its estimate that a task counts with, in thousandths: one task
/// whose estimate was wrong by far says little of its worker.
const PERMILLE: (u64, u64) = (100, 4_000);

/// `Sample` is how long tasks took against their estimates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Sum of the ratios, in thousandths.
    sum: u64,
    count: u64,
}

impl Sample {
    /// Takes in a ratio in thousandths; from `many` samples on older ones count half.
    fn learn(&mut self, permille: u64, many: u64) {
        self.sum += permille;
        self.count += 1;
        if self.count >= many {
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
pub(crate) struct Speeds {
    /// Sorted by kind.
    kinds: Vec<(Name, Sample)>,
}

impl Speeds {
    /// The samples of a kind after which older ones count half.
    const MANY: u64 = 200;
    /// The samples of a worker after which older ones count half.
    const MANY_OF_WORKER: u64 = 24;
    /// The samples that the first guess counts as.
    const PRIOR: u64 = 4;

    /// Takes in how long a task took on a worker of a kind, in thousandths of its estimate.
    pub(crate) fn learn(&mut self, own: &mut Sample, kind: Option<&Name>, permille: u64) {
        let permille = permille.clamp(PERMILLE.0, PERMILLE.1);
        own.learn(permille, Self::MANY_OF_WORKER);
        let Some(kind) = kind else {
            return;
        };
        match self.kinds.binary_search_by(|(have, _)| have.cmp(kind)) {
            Ok(at) => self.kinds[at].1.learn(permille, Self::MANY),
            Err(at) => {
                let mut sample = Sample::default();
                sample.learn(permille, Self::MANY);
                self.kinds.insert(at, (kind.clone(), sample));
            }
        }
    }

    /// Returns how long tasks take on a worker of a kind, in thousandths of their estimates.
    pub(crate) fn permille(&self, own: &Sample, kind: Option<&Name>) -> u64 {
        let kind = kind.and_then(|kind| {
            let at = self.kinds.binary_search_by(|(have, _)| have.cmp(kind));
            at.ok().map(|at| self.kinds[at].1)
        });
        let of_kind = kind.unwrap_or_default().mean(1_000, Self::PRIOR);
        own.mean(of_kind, Self::PRIOR)
    }
}
