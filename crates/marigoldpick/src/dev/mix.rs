//! Generates the callers' requests, each from the seed and its number alone.

use marigoldpick_core::id;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The percentage of requests that are idempotent.
const IDEMPOTENT_PERCENT: u32 = 60;
/// The percentage of requests that ask for a large response.
const LARGE_PERCENT: u32 = 5;
/// The size of a large response, in bytes.
const LARGE_ANSWER_BYTES: usize = 256 << 10;
/// The most bytes of a request's body after its first line.
const MAX_BODY_BYTES: usize = 2_048;
/// The classes that requests are drawn from.
const CLASSES: [&str; 3] = ["urgent", "normal", "low"];

/// `Mix` holds the teams and services that the requests of a run are drawn from.
#[derive(Clone, Debug)]
pub(super) struct Mix {
    pub(super) site: String,
    pub(super) seed: u64,
    pub(super) teams: Vec<id::Team>,
    pub(super) services: Vec<id::Service>,
}

/// `RequestSpec` describes the request of one caller.
#[derive(Clone, Debug)]
pub(super) struct RequestSpec {
    pub(super) id: String,
    pub(super) team: id::Team,
    pub(super) service: id::Service,
    pub(super) class: &'static str,
    pub(super) idempotent: bool,
    pub(super) body: Vec<u8>,
    pub(super) answer_bytes: usize,
    /// The generator for the caller's later choices: entries and retry delays.
    pub(super) rng: ChaCha8Rng,
}

impl Mix {
    /// Draws request `number`, or returns `None` when the site has no service or no team.
    pub(super) fn draw(&self, number: u32) -> Option<RequestSpec> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(u64::from(number) + 1);
        let team = self.teams.choose(&mut rng)?.clone();
        let service = self.services.choose(&mut rng)?.clone();
        let class = CLASSES.choose(&mut rng)?;
        let idempotent = rng.random_range(0..100) < IDEMPOTENT_PERCENT;
        let is_large = rng.random_range(0..100) < LARGE_PERCENT;
        let answer_bytes = if is_large { LARGE_ANSWER_BYTES } else { 0 };
        let body = draw_body(&mut rng, answer_bytes);
        Some(RequestSpec {
            id: format!("{}-{}-{number}", self.site, self.seed),
            team,
            service,
            class,
            idempotent,
            body,
            answer_bytes,
            rng,
        })
    }
}

/// Draws a request body, whose first line requests the response size from the stand-in.
fn draw_body(rng: &mut ChaCha8Rng, answer_bytes: usize) -> Vec<u8> {
    let mut body = format!("answer-bytes={answer_bytes}\n").into_bytes();
    let mut rest = vec![0; rng.random_range(0..=MAX_BODY_BYTES)];
    rng.fill(rest.as_mut_slice());
    body.extend_from_slice(&rest);
    body
}
