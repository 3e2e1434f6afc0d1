//! Failure detection and the choice of leads and store watchers, based on heartbeats alone.
//!
//! Safety does not depend on it: if two entries both consider themselves the lead of a shard, the
//! shard's log and the workers' epochs decide between them. Membership therefore needs no store call.

use std::hash::{Hash, Hasher};

use fxhash::FxHasher;
use marigoldpick_core::operator;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Epoch;
use serde::{Deserialize, Serialize};

use crate::settings::Settings;

/// `Led` is a shard that an entry leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Led {
    /// The shard.
    pub shard: id::Shard,
    /// The lead's epoch.
    pub epoch: Epoch,
}

/// `Beat` is the heartbeat that an entry sends to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Beat {
    /// The entry.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
    /// A random number drawn at its start.
    pub incarnation: u64,
    /// Whether it is draining.
    pub draining: bool,
    /// The sequence number of the configuration in force there.
    pub sequence: u64,
    /// The age of its knowledge of the store.
    pub age: Millis,
    /// The shards it leads.
    pub leads: Vec<Led>,
}

#[derive(Clone, Debug)]
struct Member {
    beat: Beat,
    /// When the entry became live or was last restarted.
    live_since: Millis,
    heard_at: Millis,
}

/// `Membership` is one entry's view of all others, sorted by entry.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Beat,
    settings: Settings,
    /// When this membership was first ticked.
    started_at: Option<Millis>,
    ticked_at: Option<Millis>,
    members: Vec<Member>,
}

impl Membership {
    /// Creates a membership without other entries.
    #[must_use]
    pub const fn new(
        me: id::Entry,
        domain: id::Domain,
        incarnation: u64,
        settings: Settings,
    ) -> Self {
        let me = Beat {
            entry: me,
            domain,
            incarnation,
            draining: false,
            sequence: 0,
            age: Millis::MAX,
            leads: Vec::new(),
        };
        Self {
            me,
            settings,
            started_at: None,
            ticked_at: None,
            members: Vec::new(),
        }
    }

    /// Records the time, at least as often as heartbeats are sent.
    ///
    /// If this process itself was paused, the pause does not count as silence of the other entries.
    pub fn tick(&mut self, now: Millis) {
        self.started_at.get_or_insert(now);
        let gap = now.since(self.ticked_at.unwrap_or(now));
        self.ticked_at = Some(now);
        if gap > self.settings.beat_ms + self.settings.beat_ms {
            for member in &mut self.members {
                member.heard_at += gap;
            }
        }
        let keep = self.settings.old_ms.max(self.settings.far_dead_ms);
        self.members.retain(|m| now.since(m.heard_at) <= keep);
    }

    /// Records the state of this entry, and returns the heartbeat to send.
    pub fn beat(&mut self, sequence: u64, age: Millis, draining: bool, leads: Vec<Led>) -> &Beat {
        self.me.sequence = sequence;
        self.me.age = age;
        self.me.draining = draining;
        self.me.leads = leads;
        &self.me
    }

    /// Records a heartbeat from another entry.
    pub fn record_beat(&mut self, beat: Beat, now: Millis) {
        if beat.entry == self.me.entry {
            return;
        }
        match self.find_member(&beat.entry) {
            Ok(at) => {
                let dead = self.dead_timeout(&beat);
                let member = &mut self.members[at];
                let again = now.since(member.heard_at) > dead;
                if again || member.beat.incarnation != beat.incarnation {
                    member.live_since = now;
                }
                member.heard_at = member.heard_at.max(now);
                member.beat = beat;
            }
            Err(at) => self.members.insert(
                at,
                Member {
                    beat,
                    live_since: now,
                    heard_at: now,
                },
            ),
        }
    }

    /// Returns the last heartbeats of the other live entries, sorted by entry.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Beat> {
        self.members
            .iter()
            .filter(move |m| self.is_live(m, now))
            .map(|m| &m.beat)
    }

    /// Returns whether this entry should lead `shard` of its failure domain.
    #[must_use]
    pub fn is_candidate(&self, shard: &id::Shard, now: Millis) -> bool {
        self.lead_of(shard, now)
            .is_some_and(|entry| *entry == self.me.entry)
    }

    /// Returns the entry of this failure domain that leads `shard` or should lead it.
    ///
    /// A live lead keeps its shard unless it drains. Without one, the live entries are ranked by a hash
    /// of shard and entry (rendezvous hashing), with draining ones last. All entries therefore choose
    /// the same candidate, and the shards of a dead entry spread over all others.
    #[must_use]
    pub fn lead_of(&self, shard: &id::Shard, now: Millis) -> Option<&id::Entry> {
        let holder = self
            .eligible_entries(now)
            .filter(|beat| !beat.draining)
            .flat_map(|beat| beat.leads.iter().map(move |led| (led, beat)))
            .filter(|(led, _)| led.shard == *shard)
            .max_by_key(|(led, _)| led.epoch);
        match holder {
            Some((_, beat)) => Some(&beat.entry),
            None => self.highest_ranked(shard.as_str(), now),
        }
    }

    /// Returns whether this entry watches the store for its failure domain.
    #[must_use]
    pub fn is_watcher(&self, now: Millis) -> bool {
        self.highest_ranked(self.me.domain.as_str(), now)
            .is_some_and(|entry| *entry == self.me.entry)
    }

    /// Returns the other entries that sent a heartbeat recently, for `status`.
    ///
    /// It includes entries that count as dead, until [`Self::tick`] removes them.
    #[must_use]
    pub fn peers(&self, now: Millis) -> Vec<operator::Peer> {
        self.members
            .iter()
            .map(|m| operator::Peer {
                entry: m.beat.entry.clone(),
                domain: m.beat.domain.clone(),
                age: now.since(m.heard_at),
                sequence: m.beat.sequence,
            })
            .collect()
    }

    /// Returns the entries of this failure domain that may lead or watch, this one included.
    ///
    /// These have been live for at least `settle_ms`, or already lead a shard.
    fn eligible_entries(&self, now: Millis) -> impl Iterator<Item = &Beat> {
        let settle = self.settings.settle_ms;
        let own = self
            .started_at
            .is_some_and(|since| now.since(since) >= settle);
        let others = self
            .members
            .iter()
            .filter(move |m| m.beat.domain == self.me.domain && self.is_live(m, now))
            .filter(move |m| now.since(m.live_since) >= settle || !m.beat.leads.is_empty())
            .map(|m| &m.beat);
        own.then_some(&self.me).into_iter().chain(others)
    }

    fn highest_ranked(&self, what: &str, now: Millis) -> Option<&id::Entry> {
        self.eligible_entries(now)
            .max_by_key(|beat| (!beat.draining, rank(what, &beat.entry)))
            .map(|beat| &beat.entry)
    }

    fn is_live(&self, member: &Member, now: Millis) -> bool {
        now.since(member.heard_at) <= self.dead_timeout(&member.beat)
    }

    fn dead_timeout(&self, beat: &Beat) -> Millis {
        if beat.domain == self.me.domain {
            self.settings.dead_ms
        } else {
            self.settings.far_dead_ms
        }
    }

    fn find_member(&self, entry: &id::Entry) -> Result<usize, usize> {
        self.members.binary_search_by(|m| m.beat.entry.cmp(entry))
    }
}

fn rank(what: &str, entry: &id::Entry) -> u64 {
    let mut hasher = FxHasher::default();
    what.hash(&mut hasher);
    entry.as_str().hash(&mut hasher);
    // Similar names have close hashes; the multiplication spreads them.
    hasher
        .finish()
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(31)
}
