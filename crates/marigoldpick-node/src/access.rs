//! Admission of callers by the keys of their teams.
//!
//! Load pattern: an operator takes a key away while an entry is cut off from the store, paused, or
//! served by a store that answers others only. The entry cannot know of the change, so it serves
//! a key only for a limited time after the store last confirmed that its configuration is the
//! newest. After that it refuses callers without a verdict on their keys.

use std::fmt;
use std::sync::LazyLock;

use marigoldpick_core::prelude::*;
use marigoldpick_core::team::Share;
use marigoldpick_core::work;
use rand::Rng;
use sha2::{Digest as _, Sha256};

use crate::config::{Config, Route};

/// A random prefix of all hashed keys, new in each process.
///
/// Without it, a caller could choose keys by their digests and learn parts of the digests of others'
/// keys from how long a lookup takes.
static SALT: LazyLock<[u8; 32]> = LazyLock::new(|| rand::rng().random());

/// `Digest` is the salted hash of a key; keys themselves are not kept.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(*SALT);
        hash.update(key.as_bytes());
        Self(hash.finalize().into())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// `Team` is a team with the digests of its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// The team's weight and limit.
    pub share: Share,
    /// The digests of its keys.
    pub keys: Vec<Digest>,
}

/// `Directory` finds the team of a key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    /// The teams' weights and limits, sorted by team.
    shares: Vec<Share>,
    /// The digests with the positions of their teams, sorted by digest.
    keys: Vec<(Digest, usize)>,
}

impl Directory {
    /// Creates the directory of `teams`.
    ///
    /// Of two teams with the same name, the first is kept. A key that two teams claim admits neither,
    /// since it would let one act for the other. Both are logged.
    #[must_use]
    pub fn new(mut teams: Vec<Team>) -> Self {
        teams.sort_by(|a, b| a.share.team.cmp(&b.share.team));
        teams.dedup_by(|later, kept| {
            let is_same = later.share.team == kept.share.team;
            if is_same {
                log::error!(target: "node", "event=team-repeated team={}", kept.share.team);
            }
            is_same
        });
        let mut keys: Vec<(Digest, usize)> = Vec::new();
        for (at, team) in teams.iter().enumerate() {
            keys.extend(team.keys.iter().map(|digest| (*digest, at)));
        }
        keys.sort_unstable();
        keys.dedup();
        let mut unique = Vec::with_capacity(keys.len());
        for claims in keys.chunk_by(|a, b| a.0 == b.0) {
            if let [only] = claims {
                unique.push(*only);
            } else {
                let names: Vec<&str> = claims
                    .iter()
                    .map(|(_, at)| teams[*at].share.team.as_str())
                    .collect();
                log::error!(target: "node", "event=key-claimed-twice teams={}", names.join(","));
            }
        }
        Self {
            shares: teams.into_iter().map(|team| team.share).collect(),
            keys: unique,
        }
    }

    /// Returns the teams' weights and limits, sorted by team.
    #[must_use]
    pub fn shares(&self) -> &[Share] {
        &self.shares
    }

    /// Returns the number of keys.
    #[must_use]
    pub const fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the team of a key.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Share> {
        let digest = Digest::of(key);
        let at = self.keys.binary_search_by(|(have, _)| have.cmp(&digest));
        at.ok().map(|at| &self.shares[self.keys[at].1])
    }
}

/// `Bounds` are the longest times since its confirmation for which a configuration decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// For serving a key, since the key may have been taken away meanwhile.
    pub serve: Millis,
    /// For rejecting a key or a route, since it may have been added meanwhile.
    pub reject: Millis,
}

/// The time by which bounds are reduced, beyond the drift of the clock: the pause between the check
/// and the first use of its result.
const BOUND_MARGIN: Millis = Millis(50);
/// The most by which an entry's clock may be slow, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;

impl Bounds {
    /// Derives the bounds from the platform's contract: how long a key that was taken away may be
    /// served, and how long a new configuration may take to be in force.
    #[must_use]
    pub fn new(revoke: Millis, apply: Millis) -> Self {
        let reduce =
            |bound: Millis| Millis(bound.0 * (100 - CLOCK_DRIFT_PERCENT) / 100) - BOUND_MARGIN;
        Self {
            serve: reduce(revoke),
            reject: reduce(apply).min(reduce(revoke)),
        }
    }
}

/// `Verdict` is the decision whether to serve a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict<'a> {
    /// Serve the caller.
    Admitted {
        /// The route.
        route: &'a Route,
        /// The rest of the path, after the route's prefix.
        rest: &'a str,
        /// What the caller may see and cancel.
        access: work::Access,
        /// The weight and limit of the caller's team, if it has one.
        share: Option<&'a Share>,
    },
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    Unauthorized,
    /// The configuration was confirmed too long ago to decide.
    Unsure,
}

/// `Policy` says whether callers need keys, and how fresh the configuration must be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// Whether routes that are not open need a key.
    pub requires_keys: bool,
    /// The bounds on the age of the configuration; `None` if it decides however old it is.
    pub bounds: Option<Bounds>,
}

impl Policy {
    /// Decides whether to serve a caller.
    ///
    /// `age` is the time since the latest request to which the store answered that `config` is the
    /// newest configuration.
    #[must_use]
    pub fn admit<'a>(
        &self,
        config: &'a Config,
        age: Millis,
        host: &str,
        path: &'a str,
        key: Option<&str>,
    ) -> Verdict<'a> {
        let can_reject = self.bounds.is_none_or(|bounds| age < bounds.reject);
        let can_serve = self.bounds.is_none_or(|bounds| age < bounds.serve);
        let Some((route, rest)) = config.route(host, path) else {
            return if can_reject {
                Verdict::NoRoute
            } else {
                Verdict::Unsure
            };
        };
        let needs_key = self.requires_keys && !route.is_open;
        let share = key.and_then(|key| config.teams.find(key));
        if needs_key && !can_serve {
            return Verdict::Unsure;
        }
        if needs_key && share.is_none() {
            return if can_reject {
                Verdict::Unauthorized
            } else {
                Verdict::Unsure
            };
        }
        // A key that may have been taken away meanwhile counts for nothing on an open route.
        let share = share.filter(|_| can_serve);
        let access = work::Access {
            team: share.map(|share| share.team.clone()),
            open_queue: (!needs_key).then(|| route.queue.clone()),
        };
        Verdict::Admitted {
            route,
            rest,
            access,
            share,
        }
    }
}
