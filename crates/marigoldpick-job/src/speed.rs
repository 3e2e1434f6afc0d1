//! How long tasks take on each kind of machine.

use marigoldpick_core::prelude::*;

/// `Speeds` is how long tasks take on each kind of machine against their estimates.
#[derive(Clone, Debug, Default)]
pub(crate) struct Speeds {
    /// Kind, sum of ratios in thousandths, and count; sorted by kind.
    kinds: Vec<(Name, u64, u64)>,
}

impl Speeds {
    /// The samples of a kind before it is told apart from others.
    const ENOUGH: u64 = 8;
    /// The samples after which older ones count half.
    const MANY: u64 = 200;

    /// Takes in how long a task took, in thousandths of its estimate.
    pub(crate) fn learn(&mut self, kind: &Name, permille: u64) {
        let at = match self.kinds.binary_search_by(|(have, _, _)| have.cmp(kind)) {
            Ok(at) => at,
            Err(at) => {
                self.kinds.insert(at, (kind.clone(), 0, 0));
                at
            }
        };
        let (_, sum, count) = &mut self.kinds[at];
        *sum += permille;
        *count += 1;
        if *count >= Self::MANY {
            *sum /= 2;
            *count /= 2;
        }
    }

    /// Returns how long tasks take on a kind, in thousandths of their estimates.
    pub(crate) fn permille(&self, kind: Option<&Name>) -> u64 {
        let known = kind.and_then(|kind| {
            let at = self.kinds.binary_search_by(|(have, _, _)| have.cmp(kind));
            at.ok().map(|at| &self.kinds[at])
        });
        match known {
            Some((_, sum, count)) if *count >= Self::ENOUGH => (sum / count).clamp(200, 5_000),
            _ => 1_000,
        }
    }
}
