//! Provides the teams with their usage, quota and fair share.

use fxhash::FxHashMap;
use marigoldpick_core::intent;
use marigoldpick_core::prelude::*;
use marigoldpick_core::team::weighted_share;

use crate::size::{AcceleratorKinds, Size};

/// `Team` is a team with its usage and quota in this shard.
#[derive(Clone, Debug)]
pub struct Team {
    /// The id of the team.
    pub id: id::Team,
    /// What its runs hold, including runs that are starting or stopping.
    pub used: Size,
    quota: Option<Amount>,
    allotment: Option<Amount>,
    limit: Option<Size>,
    weight: u32,
}

impl Team {
    /// Returns whether `more` is within the quota.
    #[must_use]
    pub fn has_quota_for(&self, more: &Size) -> bool {
        let after = self.used.plus(more);
        self.limit.is_none_or(|limit| limit.can_hold(&after))
    }

    /// Returns the dominant share of `total`, divided by the weight; the lowest goes first.
    #[must_use]
    pub fn weighted_share(&self, total: &Size) -> f64 {
        weighted_share(
            self.used.dominant_share(total),
            f64::from(self.weight.max(1)),
        )
    }

    /// Returns the limit on what the team may hold, if any.
    #[must_use]
    pub const fn limit(&self) -> Option<&Size> {
        self.limit.as_ref()
    }

    fn refresh(&mut self, kinds: &AcceleratorKinds) {
        let limit = self.allotment.as_ref().or(self.quota.as_ref());
        self.limit = limit.map(|amount| kinds.size_of_known(amount));
    }
}

/// `Teams` holds the teams by slot.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    teams: Vec<Team>,
    by_id: FxHashMap<id::Team, u32>,
}

impl Teams {
    /// Returns the slot of a team; adds an unknown team without a limit.
    ///
    /// # Panics
    /// Panics beyond 2^32 teams.
    pub fn slot(&mut self, id: &id::Team) -> u32 {
        if let Some(&slot) = self.by_id.get(id) {
            return slot;
        }
        let slot = u32::try_from(self.teams.len()).expect("fewer than 2^32 teams");
        self.teams.push(Team {
            id: id.clone(),
            used: Size::default(),
            quota: None,
            allotment: None,
            limit: None,
            weight: 1,
        });
        self.by_id.insert(id.clone(), slot);
        slot
    }

    /// Sets the quota and the weight of a team.
    pub fn declare(&mut self, team: intent::Team, kinds: &AcceleratorKinds) {
        let slot = self.slot(&team.name);
        let have = &mut self.teams[slot as usize];
        have.quota = Some(team.quota);
        have.weight = team.weight;
        have.refresh(kinds);
    }

    /// Sets the part of a team's quota that this shard may use.
    pub fn allot(&mut self, team: &id::Team, amount: Amount, kinds: &AcceleratorKinds) {
        let slot = self.slot(team);
        let have = &mut self.teams[slot as usize];
        have.allotment = Some(amount);
        have.refresh(kinds);
    }

    /// Recomputes the limits after a new accelerator kind became known.
    pub fn refresh(&mut self, kinds: &AcceleratorKinds) {
        self.teams.iter_mut().for_each(|team| team.refresh(kinds));
    }

    /// Returns a team.
    #[must_use]
    pub fn get(&self, slot: u32) -> &Team {
        &self.teams[slot as usize]
    }

    /// Returns the teams by slot.
    #[must_use]
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Adds the resources of a run to the usage of its team.
    pub fn charge(&mut self, slot: u32, held: &Size) {
        let team = &mut self.teams[slot as usize];
        team.used = team.used.plus(held);
    }

    /// Removes the resources of a run from the usage of its team.
    pub fn refund(&mut self, slot: u32, held: &Size) {
        let team = &mut self.teams[slot as usize];
        team.used = team.used.minus(held);
    }
}
