//! The callers' mix: each request is drawn from the seed and its number alone.

use marigoldpick_core::id;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The share of requests that may run again, in percent.
const IDEMPOTENT_PERCENT: u32 = 60;
/// The share of requests that ask for a large answer, in percent.
const LARGE_PERCENT: u32 = 5;
/// The size of a large answer, in bytes.
const LARGE_ANSWER: usize = 256 << 10;
/// The longest body, in bytes.
const MAX_BODY: usize = 2_048;
/// The classes that callers name.
const CLASSES: [&str; 3] = ["urgent", "normal", "low"];

/// `Mix` is what all requests of a run are drawn from.
#[derive(Clone, Debug)]
pub(super) struct Mix {
    pub(super) site: String,
    pub(super) seed: u64,
    pub(super) teams: Vec<id::Team>,
    pub(super) services: Vec<id::Service>,
}

/// `Wish` is what one caller wants.
#[derive(Clone, Debug)]
pub(super) struct Wish {
    pub(super) id: String,
    pub(super) team: id::Team,
    pub(super) service: id::Service,
    pub(super) class: &'static str,
    pub(super) idempotent: bool,
    pub(super) body: Vec<u8>,
    pub(super) answer_bytes: usize,
    /// Where the caller's later draws come from: entries and pauses.
    pub(super) draws: ChaCha8Rng,
}

impl Mix {
    /// Draws request `number`; nothing when the site has no service or no team.
    pub(super) fn draw(&self, number: u32) -> Option<Wish> {
        let mut draws = ChaCha8Rng::seed_from_u64(self.seed);
        draws.set_stream(u64::from(number) + 1);
        let team = self.teams.choose(&mut draws)?.clone();
        let service = self.services.choose(&mut draws)?.clone();
        let class = CLASSES.choose(&mut draws)?;
        let idempotent = draws.random_range(0..100) < IDEMPOTENT_PERCENT;
        let is_large = draws.random_range(0..100) < LARGE_PERCENT;
        let answer_bytes = if is_large { LARGE_ANSWER } else { 0 };
        let body = draw_body(&mut draws, answer_bytes);
        Some(Wish {
            id: format!("{}-{}-{number}", self.site, self.seed),
            team,
            service,
            class,
            idempotent,
            body,
            answer_bytes,
            draws,
        })
    }
}

/// Draws a body; its first line asks the stand-in for the answer's size.
fn draw_body(draws: &mut ChaCha8Rng, answer_bytes: usize) -> Vec<u8> {
    let mut body = format!("answer-bytes={answer_bytes}\n").into_bytes();
    let mut rest = vec![0; draws.random_range(0..=MAX_BODY)];
    draws.fill(rest.as_mut_slice());
    body.extend_from_slice(&rest);
    body
}
