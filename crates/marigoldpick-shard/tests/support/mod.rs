//! Fakes at the machines' borders: a store and workers in memory, and faults drawn from a seed.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod site;
pub mod store;
pub mod worker;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Makes the random numbers of one run.
pub fn random(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// How one call to a fake fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Carried out and answered.
    Answered,
    /// Not carried out, and the caller knows.
    Away,
    /// Carried out, the answer lost.
    AnswerLost,
    /// Not carried out, and the caller doesn't know.
    CallLost,
    /// Carried out long after the caller gave up.
    Late,
}

/// How calls fare: chances in a thousand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Odds {
    pub away: u32,
    pub answer_lost: u32,
    pub call_lost: u32,
    pub late: u32,
}

impl Odds {
    pub const AWAY: Self = Self {
        away: 1_000,
        answer_lost: 0,
        call_lost: 0,
        late: 0,
    };
    pub const LOSSY: Self = Self {
        away: 50,
        answer_lost: 150,
        call_lost: 50,
        late: 100,
    };

    pub fn draw(self, rng: &mut ChaCha8Rng) -> Fate {
        let n = rng.random_range(0..1_000);
        let mut bound = 0;
        for (odds, fate) in [
            (self.away, Fate::Away),
            (self.answer_lost, Fate::AnswerLost),
            (self.call_lost, Fate::CallLost),
            (self.late, Fate::Late),
        ] {
            bound += odds;
            if n < bound {
                return fate;
            }
        }
        Fate::Answered
    }
}
