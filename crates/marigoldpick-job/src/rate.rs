//! The rate at which teams submit jobs, against the rate of their weights.
//!
//! Load pattern: one team submits many times its usual number of jobs. Its jobs beyond its rate are
//! excess: they start only on capacity that nobody else waits for, and so take nothing from the
//! other teams.

use marigoldpick_core::prelude::*;
use marigoldpick_core::team::Share;

/// The time over which a team may save up its rate, which lets short peaks pass.
const BURST: Millis = Millis(2_000);
/// The least number of jobs that a team may submit at once, however low its rate.
const MIN_BURST: f64 = 2.0;
/// Milliseconds in a second, the unit of rates.
const SECOND_MS: f64 = 1_000.0;

/// `Bucket` is the token bucket of a team.
#[derive(Clone, Debug)]
struct Bucket {
    team: id::Team,
    /// The tokens added per second.
    rate: f64,
    tokens: f64,
    /// The time of the last refill, in milliseconds since 1970.
    refilled: u64,
}

impl Bucket {
    fn capacity(rate: f64) -> f64 {
        (rate * BURST.0 as f64 / SECOND_MS).max(MIN_BURST)
    }

    /// Returns the tokens at `wall`, in milliseconds since 1970.
    fn tokens_at(&self, wall: u64) -> f64 {
        let passed = wall.saturating_sub(self.refilled);
        let refill = passed as f64 * self.rate / SECOND_MS;
        (self.tokens + refill).min(Self::capacity(self.rate))
    }

    /// Takes a token for a job accepted at `accepted`; returns whether there was one.
    fn take(&mut self, accepted: u64) -> bool {
        // Entries' clocks differ slightly, so a job may be older than the last refill.
        self.tokens = self.tokens_at(accepted);
        self.refilled = self.refilled.max(accepted);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// `Rates` holds the token buckets of all teams.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    /// The buckets, sorted by team.
    buckets: Vec<Bucket>,
}

impl Rates {
    /// Sets the teams' rates; a team that is missing from `shares` keeps its rate.
    pub fn set(&mut self, shares: &[Share]) {
        for share in shares {
            let found = self.buckets.binary_search_by(|b| b.team.cmp(&share.team));
            match found {
                Ok(at) => self.buckets[at].rate = share.weight,
                Err(at) => self.buckets.insert(
                    at,
                    Bucket {
                        team: share.team.clone(),
                        rate: share.weight,
                        tokens: Bucket::capacity(share.weight),
                        refilled: 0,
                    },
                ),
            }
        }
    }

    /// Returns the teams whose next job would be excess at `wall`, in milliseconds since 1970; sorted.
    #[must_use]
    pub fn above_rate(&self, wall: u64) -> Vec<id::Team> {
        let is_empty = |bucket: &&Bucket| bucket.tokens_at(wall) < 1.0;
        let above = self.buckets.iter().filter(is_empty);
        above.map(|bucket| bucket.team.clone()).collect()
    }

    /// Counts a job accepted at `accepted`, in milliseconds since 1970; returns whether it is excess.
    ///
    /// Jobs must be counted in the order of their acceptance. A job without a team, or of a team
    /// without a rate, is never excess.
    pub fn is_excess(&mut self, team: Option<&id::Team>, accepted: u64) -> bool {
        let found = team.map(|team| self.buckets.binary_search_by(|b| b.team.cmp(team)));
        match found {
            Some(Ok(at)) => !self.buckets[at].take(accepted),
            _ => false,
        }
    }

    /// Returns whether a job accepted at `accepted` would be excess, without counting it.
    #[must_use]
    pub fn would_be_excess(&self, team: Option<&id::Team>, accepted: u64) -> bool {
        let found = team.map(|team| self.buckets.binary_search_by(|b| b.team.cmp(team)));
        match found {
            Some(Ok(at)) => !self.buckets[at].clone().take(accepted),
            _ => false,
        }
    }
}
