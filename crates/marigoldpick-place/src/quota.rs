//! Teams: what their runs hold, how much they may, and their fair share.

use fxhash::FxHashMap;
use marigoldpick_core::intent;
use marigoldpick_core::prelude::*;

use crate::size::{Kinds, Size};

/// `Team` is a team with what its runs hold here.
#[derive(Clone, Debug)]
pub struct Team {
    /// The team.
    pub id: id::Team,
    /// What its runs hold, those being started or stopped among them.
    pub used: Size,
    quota: Option<Amount>,
    allotment: Option<Amount>,
    limit: Option<Size>,
    weight: u32,
}

impl Team {
    /// Tells whether `more` is within the quota.
    #[must_use]
    pub fn allows(&self, more: &Size) -> bool {
        let after = self.used.plus(more);
        self.limit.is_none_or(|limit| limit.holds(&after))
    }

    /// Returns the team's share of `total` by its weight; the lowest goes first.
    #[must_use]
    pub fn share(&self, total: &Size) -> f64 {
        self.used.dominant(total) / f64::from(self.weight.max(1))
    }

    /// Returns the most that it may hold, if there is a limit.
    #[must_use]
    pub const fn limit(&self) -> Option<&Size> {
        self.limit.as_ref()
    }

    fn refresh(&mut self, kinds: &Kinds) {
        let limit = self.allotment.as_ref().or(self.quota.as_ref());
        self.limit = limit.map(|amount| kinds.known(amount));
    }
}

/// `Teams` holds the teams by slot.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    teams: Vec<Team>,
    by_id: FxHashMap<id::Team, u32>,
}

impl Teams {
    /// Returns a team's slot; an unknown team is added without a limit.
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

    /// Takes over a team's quota and weight.
    pub fn declare(&mut self, team: intent::Team, kinds: &Kinds) {
        let slot = self.slot(&team.name);
        let have = &mut self.teams[slot as usize];
        have.quota = Some(team.quota);
        have.weight = team.weight;
        have.refresh(kinds);
    }

    /// Takes over the part of a quota that this shard may use.
    pub fn allot(&mut self, team: &id::Team, amount: Amount, kinds: &Kinds) {
        let slot = self.slot(team);
        let have = &mut self.teams[slot as usize];
        have.allotment = Some(amount);
        have.refresh(kinds);
    }

    /// Computes the limits anew after a kind of accelerator became known.
    pub fn refresh(&mut self, kinds: &Kinds) {
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

    /// Adds what a run holds.
    pub fn charge(&mut self, slot: u32, held: &Size) {
        let team = &mut self.teams[slot as usize];
        team.used = team.used.plus(held);
    }

    /// Takes away what a run held.
    pub fn refund(&mut self, slot: u32, held: &Size) {
        let team = &mut self.teams[slot as usize];
        team.used = team.used.minus(held);
    }
}
