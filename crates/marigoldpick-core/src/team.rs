//! Teams' limits and weights, and the arithmetic of both.
//!
//! A limit bounds what a team holds at once. A weight is the team's share when there is not enough
//! for all, and the rate of jobs that it may submit before its further jobs count as excess.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id;
use crate::resource::Amount;

/// `Limit` is the most of each resource that a team may hold at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Processor time in thousandths of a core; `None` if unlimited.
    pub millicores: Option<u64>,
    /// Memory in MiB; `None` if unlimited.
    pub memory_mib: Option<u64>,
    /// Accelerators of all kinds together; `None` if unlimited.
    pub accelerators: Option<u64>,
}

impl Limit {
    /// The limit that admits everything.
    pub const UNLIMITED: Self = Self {
        millicores: None,
        memory_mib: None,
        accelerators: None,
    };

    /// Returns how many claims of `each` a team that holds `held` may add, at most `most`.
    #[must_use]
    pub fn count_admitted(&self, held: &Amount, each: &Amount, most: u32) -> u32 {
        let resources = [
            (self.millicores, held.millicores, each.millicores),
            (self.memory_mib, held.memory_mib, each.memory_mib),
            (
                self.accelerators,
                accelerators_in(held),
                accelerators_in(each),
            ),
        ];
        let admitted = resources.into_iter().filter_map(|(limit, held, each)| {
            // A claim without the resource is admitted however much of it the team holds.
            limit?.saturating_sub(held).checked_div(each)
        });
        let least = admitted.fold(u64::from(most), u64::min);
        u32::try_from(least).unwrap_or(most)
    }

    /// Returns whether a team that holds `held` may add `more`.
    #[must_use]
    pub fn admits(&self, held: &Amount, more: &Amount) -> bool {
        self.count_admitted(held, more, 1) == 1
    }

    /// Returns whether no resource is limited.
    #[must_use]
    pub fn is_unlimited(&self) -> bool {
        *self == Self::UNLIMITED
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let resources = [
            (self.millicores, "millicores"),
            (self.memory_mib, "MiB"),
            (self.accelerators, "accelerators"),
        ];
        let mut is_first = true;
        for (limit, unit) in resources {
            if let Some(limit) = limit {
                let separator = if is_first { "" } else { ", " };
                write!(f, "{separator}{limit} {unit}")?;
                is_first = false;
            }
        }
        if is_first {
            f.write_str("none")
        } else {
            Ok(())
        }
    }
}

/// Returns the number of accelerators of all kinds in an amount.
fn accelerators_in(amount: &Amount) -> u64 {
    let counts = amount.accelerators.iter().map(|a| u64::from(a.count));
    counts.sum()
}

/// `Share` is what one team may have of a pool that several teams use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The team.
    pub team: id::Team,
    /// The share relative to other teams' when not all can be served, which is also the rate of
    /// jobs per second up to which the team's jobs are no excess.
    pub weight: f64,
    /// The most that the team may hold at once.
    pub limit: Limit,
}

/// Returns a dominant share divided by the weight; of the teams that wait, the lowest goes first.
#[must_use]
pub fn weighted_share(dominant: f64, weight: f64) -> f64 {
    dominant / weight.max(f64::MIN_POSITIVE)
}

/// `Usage` is what a team holds and has waiting, as the lead of the workers knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The team's weight and limit.
    #[serde(flatten)]
    pub share: Share,
    /// What its runs hold.
    pub used: Amount,
    /// The number of its jobs of which no task has started.
    pub waiting: u64,
    /// How many of these jobs exceed its rate.
    pub excess: u64,
    /// The number of its steps with tasks that wait for its limit.
    pub limited: u64,
}

/// `Overview` is what an entry knows of the teams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Overview {
    /// The entry.
    pub entry: id::Entry,
    /// The version of the configuration in force at the entry; zero if there is none.
    pub version: u64,
    /// The time since this version was last confirmed to be the newest; `None` if it never was.
    pub age: Option<Millis>,
    /// The number of other entries that it knows, which may confirm the configuration for it.
    pub peers: u32,
    /// The teams, sorted by name; `None` if the entry does not lead.
    pub teams: Option<Vec<Usage>>,
}
