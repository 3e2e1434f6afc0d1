//! Test doubles: a store and workers in memory, and seeded random faults.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod site;
pub mod store;
pub mod worker;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Creates the random number generator of one run.
pub fn random(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// What happens to one call to a test double.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Carried out and answered.
    Answered,
    /// Not carried out, and the caller knows.
    Away,
    /// Carried out, but the answer is lost.
    AnswerLost,
    /// Not carried out, and the caller doesn't know.
    CallLost,
    /// Carried out long after the caller gave up.
    Late,
}

/// Probabilities of faults of calls, in parts per thousand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultRates {
    pub away: u32,
    pub answer_lost: u32,
    pub call_lost: u32,
    pub late: u32,
}

impl FaultRates {
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

    pub fn draw(self, rng: &mut ChaCha8Rng) -> Effect {
        let n = rng.random_range(0..1_000);
        let mut bound = 0;
        for (rate, effect) in [
            (self.away, Effect::Away),
            (self.answer_lost, Effect::AnswerLost),
            (self.call_lost, Effect::CallLost),
            (self.late, Effect::Late),
        ] {
            bound += rate;
            if n < bound {
                return effect;
            }
        }
        Effect::Answered
    }
}
