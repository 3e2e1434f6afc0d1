//! The allotments of teams' quotas to shards.
//!
//! The configuration log accounts for the allotments. A confirmed plan allots each shard its part of
//! a job, and only the shard's report of the job's end returns it. A shard uses no more than its
//! allotments, and a plan is accepted only if the sum of all allotments stays within the quota. The
//! quota therefore holds even while some shards are cut off.

use marigoldpick_core::config::State;
use marigoldpick_core::prelude::*;

/// `Allotment` is a shard's part of a team's quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allotment {
    /// The team.
    pub team: id::Team,
    /// The most resources that its tasks may hold in the shard.
    pub amount: Amount,
}

/// Returns the allotments of `shard`, sorted by team.
#[must_use]
pub fn allotments(state: &State, shard: &id::Shard) -> Vec<Allotment> {
    let mut all: Vec<Allotment> = Vec::new();
    for accepted in &state.jobs {
        let homes = accepted.homes.iter().filter(|home| home.shard == *shard);
        let count: u32 = homes.map(|home| home.to - home.from).sum();
        if count == 0 {
            continue;
        }
        let amount = accepted.job.needs.times(count);
        match all.binary_search_by(|have| have.team.cmp(&accepted.job.team)) {
            Ok(at) => all[at].amount.add(&amount),
            Err(at) => all.insert(
                at,
                Allotment {
                    team: accepted.job.team.clone(),
                    amount,
                },
            ),
        }
    }
    all
}
