//! Provides random draws that depend only on the seed and a name.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};

use crate::settings::Range;

/// `Seed` is the seed of all random draws of a platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seed(pub(crate) u64);

impl Seed {
    /// Returns the generator of the property `what` of the object `name`.
    pub(crate) fn generator(self, what: &str, name: &str) -> ChaCha8Rng {
        let mut hash = Sha256::new();
        hash.update(self.0.to_le_bytes());
        hash.update(what.as_bytes());
        hash.update([0]);
        hash.update(name.as_bytes());
        ChaCha8Rng::from_seed(hash.finalize().into())
    }

    /// Draws the property `what` of the object `name` from `range`.
    pub(crate) fn draw(self, what: &str, name: &str, range: Range) -> f64 {
        self.generator(what, name)
            .random_range(range.from..=range.to)
    }
}
