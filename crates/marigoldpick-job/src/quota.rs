//! What each team holds on all workers, against its limit.
//!
//! Load pattern: a team submits far more than its limit admits, its limit is lowered far below what
//! it holds, or a new lead takes over while workers have not reported. Each run is charged from its
//! placement until its end is certain, also while its start is recorded, unanswered or being
//! stopped. What runs of an earlier lead may hold without this lead's knowledge is charged to every
//! team that has a limit.

use marigoldpick_core::prelude::*;
use marigoldpick_core::team::{Limit, Share};
use marigoldpick_core::work;

/// `Unheard` is what unknown runs of an earlier lead may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unheard {
    /// At most this amount.
    UpTo(Amount),
    /// An unknown amount, since not all workers are known yet.
    Unbounded,
}

impl Default for Unheard {
    fn default() -> Self {
        Self::UpTo(Amount::default())
    }
}

/// `Quota` is the limit of a team and what the team holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quota {
    /// The team.
    pub team: id::Team,
    /// The most that the team may hold.
    pub limit: Limit,
    /// What its runs hold.
    pub used: Amount,
}

/// `Quotas` holds the quotas of all teams.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    /// The quotas, sorted by team.
    quotas: Vec<Quota>,
    /// What unknown runs may hold.
    unheard: Unheard,
}

impl Quotas {
    /// Sets the limits; a team that is missing from `shares` keeps its last limit for its jobs.
    pub fn set_limits(&mut self, shares: &[Share]) {
        for share in shares {
            self.quota_mut(&share.team).limit = share.limit;
        }
    }

    /// Sets what unknown runs of an earlier lead may hold.
    pub fn set_unheard(&mut self, unheard: Unheard) {
        self.unheard = unheard;
    }

    /// Adds a run to what its team holds.
    pub fn charge(&mut self, team: &id::Team, needs: &Amount) {
        self.quota_mut(team).used.add(needs);
    }

    /// Removes a run from what its team holds.
    pub fn refund(&mut self, team: &id::Team, needs: &Amount) {
        self.quota_mut(team).used.subtract(needs);
    }

    /// Returns how many tasks that need `each` the team may add, at most `most`.
    ///
    /// A job without a team has no limit.
    #[must_use]
    pub fn count_admitted(&self, team: Option<&id::Team>, each: &Amount, most: u32) -> u32 {
        let Some(quota) = team.and_then(|team| self.find(team)) else {
            return most;
        };
        if quota.limit.is_unlimited() {
            return most;
        }
        match &self.unheard {
            Unheard::Unbounded => 0,
            Unheard::UpTo(unheard) if unheard.is_zero() => {
                quota.limit.count_admitted(&quota.used, each, most)
            }
            Unheard::UpTo(unheard) => {
                let mut held = quota.used.clone();
                held.add(unheard);
                quota.limit.count_admitted(&held, each, most)
            }
        }
    }

    /// Returns the quota of a team that has a limit or has had runs.
    #[must_use]
    pub fn find(&self, team: &id::Team) -> Option<&Quota> {
        let at = self.quotas.binary_search_by(|quota| quota.team.cmp(team));
        at.ok().map(|at| &self.quotas[at])
    }

    /// Returns all quotas, sorted by team.
    #[must_use]
    pub fn all(&self) -> &[Quota] {
        &self.quotas
    }

    fn quota_mut(&mut self, team: &id::Team) -> &mut Quota {
        let found = self.quotas.binary_search_by(|quota| quota.team.cmp(team));
        let at = found.unwrap_or_else(|at| {
            let quota = Quota {
                team: team.clone(),
                limit: Limit::UNLIMITED,
                used: Amount::default(),
            };
            self.quotas.insert(at, quota);
            at
        });
        &mut self.quotas[at]
    }
}

/// Returns the number of the first step that can never run within a limit, if there is one.
///
/// A task runs only if the limit admits its needs, and a gang only if it admits those of all its
/// tasks at once. Other steps run in as many waves as they need.
#[must_use]
pub fn find_unservable(limit: &Limit, job: &work::Job) -> Option<usize> {
    let is_unservable = |step: &work::Step| {
        let needs = if step.gang {
            step.needs.times(step.count)
        } else {
            step.needs.clone()
        };
        !limit.admits(&Amount::default(), &needs)
    };
    job.steps.iter().position(is_unservable)
}
