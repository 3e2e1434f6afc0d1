//! Who is alive, who should lead a shard, and who watches the store, from beats alone.
//!
//! Nothing here is needed for safety: two entries that both think they should lead are told apart
//! by the shard's log and by the workers' epochs. So it costs no store call.

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

/// `Beat` is what an entry tells the others of itself.
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
    /// The configuration's number in force there.
    pub sequence: u64,
    /// How old its knowledge of the store is.
    pub age: Millis,
    /// The shards it leads.
    pub leads: Vec<Led>,
}

#[derive(Clone, Debug)]
struct Member {
    beat: Beat,
    since: Millis,
    heard: Millis,
}

/// `Membership` is what one entry knows of all others, sorted by entry.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Beat,
    settings: Settings,
    since: Option<Millis>,
    ticked: Option<Millis>,
    members: Vec<Member>,
}

impl Membership {
    /// Makes a membership that has heard nobody.
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
            since: None,
            ticked: None,
            members: Vec::new(),
        }
    }

    /// Notes the time; call it at least as often as beats are sent.
    ///
    /// When the process itself was paused, nobody counts as silent for that span.
    pub fn tick(&mut self, now: Millis) {
        self.since.get_or_insert(now);
        let gap = now.since(self.ticked.unwrap_or(now));
        self.ticked = Some(now);
        if gap > self.settings.beat_ms + self.settings.beat_ms {
            for member in &mut self.members {
                member.heard += gap;
            }
        }
        let keep = self.settings.old_ms.max(self.settings.far_dead_ms);
        self.members.retain(|m| now.since(m.heard) <= keep);
    }

    /// Notes what the own entry has in force and leads, and returns the beat to send.
    pub fn beat(&mut self, sequence: u64, age: Millis, draining: bool, leads: Vec<Led>) -> &Beat {
        self.me.sequence = sequence;
        self.me.age = age;
        self.me.draining = draining;
        self.me.leads = leads;
        &self.me
    }

    /// Notes a beat from another entry.
    pub fn heard(&mut self, beat: Beat, now: Millis) {
        if beat.entry == self.me.entry {
            return;
        }
        match self.find(&beat.entry) {
            Ok(at) => {
                let dead = self.dead_after(&beat);
                let member = &mut self.members[at];
                let again = now.since(member.heard) > dead;
                if again || member.beat.incarnation != beat.incarnation {
                    member.since = now;
                }
                member.heard = member.heard.max(now);
                member.beat = beat;
            }
            Err(at) => self.members.insert(
                at,
                Member {
                    beat,
                    since: now,
                    heard: now,
                },
            ),
        }
    }

    /// Returns the last beats of the live entries, without the own one, sorted by entry.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Beat> {
        self.members
            .iter()
            .filter(move |m| self.is_live(m, now))
            .map(|m| &m.beat)
    }

    /// Tells whether this entry should lead `shard` of its failure domain.
    #[must_use]
    pub fn is_candidate(&self, shard: &id::Shard, now: Millis) -> bool {
        self.lead_of(shard, now)
            .is_some_and(|entry| *entry == self.me.entry)
    }

    /// Returns which entry of the own failure domain leads `shard`, or should.
    ///
    /// A live lead keeps its shard. Without one the live entries are ranked by a hash of shard and
    /// entry, so that each shard's candidate is the same everywhere and a dead entry's shards are
    /// spread over all others.
    #[must_use]
    pub fn lead_of(&self, shard: &id::Shard, now: Millis) -> Option<&id::Entry> {
        let holder = self
            .settled(now)
            .filter(|beat| !beat.draining)
            .flat_map(|beat| beat.leads.iter().map(move |led| (led, beat)))
            .filter(|(led, _)| led.shard == *shard)
            .max_by_key(|(led, _)| led.epoch);
        match holder {
            Some((_, beat)) => Some(&beat.entry),
            None => self.ranked(shard.as_str(), now),
        }
    }

    /// Tells whether this entry watches the store for its failure domain.
    #[must_use]
    pub fn is_watcher(&self, now: Millis) -> bool {
        self.ranked(self.me.domain.as_str(), now)
            .is_some_and(|entry| *entry == self.me.entry)
    }

    /// Returns all entries heard lately, for `status`.
    #[must_use]
    pub fn peers(&self, now: Millis) -> Vec<operator::Peer> {
        self.members
            .iter()
            .map(|m| operator::Peer {
                entry: m.beat.entry.clone(),
                domain: m.beat.domain.clone(),
                age: now.since(m.heard),
                sequence: m.beat.sequence,
            })
            .collect()
    }

    /// Returns the live entries of the own failure domain that have been there for a while, the own
    /// entry among them.
    fn settled(&self, now: Millis) -> impl Iterator<Item = &Beat> {
        let settle = self.settings.settle_ms;
        let own = self.since.is_some_and(|since| now.since(since) >= settle);
        let others = self
            .members
            .iter()
            .filter(move |m| m.beat.domain == self.me.domain && self.is_live(m, now))
            .filter(move |m| now.since(m.since) >= settle || !m.beat.leads.is_empty())
            .map(|m| &m.beat);
        own.then_some(&self.me).into_iter().chain(others)
    }

    fn ranked(&self, what: &str, now: Millis) -> Option<&id::Entry> {
        self.settled(now)
            .max_by_key(|beat| (!beat.draining, rank(what, &beat.entry)))
            .map(|beat| &beat.entry)
    }

    fn is_live(&self, member: &Member, now: Millis) -> bool {
        now.since(member.heard) <= self.dead_after(&member.beat)
    }

    fn dead_after(&self, beat: &Beat) -> Millis {
        if beat.domain == self.me.domain {
            self.settings.dead_ms
        } else {
            self.settings.far_dead_ms
        }
    }

    fn find(&self, entry: &id::Entry) -> Result<usize, usize> {
        self.members.binary_search_by(|m| m.beat.entry.cmp(entry))
    }
}

fn rank(what: &str, entry: &id::Entry) -> u64 {
    let mut hasher = FxHasher::default();
    what.hash(&mut hasher);
    entry.as_str().hash(&mut hasher);
    // The hash alone leaves like names close together; multiplying spreads them.
    hasher
        .finish()
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(31)
}
