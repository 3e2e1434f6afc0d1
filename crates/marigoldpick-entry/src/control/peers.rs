//! The other entries: their addresses, which are alive, and which shards they lead.

use marigoldpick_core::control::{Beat, Known, Led};
use marigoldpick_core::operator;
use marigoldpick_core::prelude::*;
use marigoldpick_shard::Settings;
use marigoldpick_shard::membership::{self, Membership};

use crate::view;

/// For this long after an entry came to life or restarted, answers to its heartbeats list all known
/// entries.
const NEW_ENTRY_PERIOD: Millis = Millis(3_000);

/// `Peer` is another entry.
#[derive(Clone, Debug)]
struct Peer {
    known: Known,
    incarnation: u64,
    /// When this incarnation started, by the own clock, computed from the age in its heartbeats; zero
    /// if it started before this entry.
    started: Millis,
    led: Vec<Led>,
    draining: bool,
    alive: bool,
    beat_at: Option<Millis>,
    heard_at: Option<Millis>,
    /// Since when this incarnation has been heard without interruption.
    heard_since: Millis,
}

/// `Peers` holds the state of the other entries, sorted by entry.
#[derive(Debug)]
pub struct Peers {
    own: Known,
    settings: Settings,
    membership: Membership,
    peers: Vec<Peer>,
}

impl Peers {
    /// Creates the state with the entries that the settings name.
    #[must_use]
    pub fn new(own: Known, incarnation: u64, settings: Settings, named: Vec<Known>) -> Self {
        let membership = Membership::new(
            own.entry.clone(),
            own.domain.clone(),
            incarnation,
            settings.clone(),
        );
        let mut peers = Self {
            own,
            settings,
            membership,
            peers: Vec::new(),
        };
        named.into_iter().for_each(|known| peers.add(known));
        peers
    }

    /// Adds an entry, or updates the address of a known one that is not alive.
    pub fn add(&mut self, known: Known) {
        if known.entry == self.own.entry {
            return;
        }
        match self.find(&known.entry) {
            Ok(at) if !self.peers[at].alive => self.peers[at].known = known,
            Ok(_) => {}
            Err(at) => self.peers.insert(at, Peer::new(known)),
        }
    }

    /// Records a heartbeat of another entry.
    ///
    /// Returns whether the entry came to life, restarted, or started or ended its drain.
    pub fn record_beat(&mut self, beat: &Beat, now: Millis) -> bool {
        if beat.known.entry == self.own.entry {
            return false;
        }
        self.add(beat.known.clone());
        beat.others.iter().for_each(|known| self.add(known.clone()));
        let Ok(at) = self.find(&beat.known.entry) else {
            return false;
        };
        let peer = &mut self.peers[at];
        let new = peer.incarnation != beat.incarnation;
        let changed = new || !peer.alive || peer.draining != beat.draining;
        if new || !peer.alive {
            peer.heard_since = now;
        }
        peer.heard_at = Some(now);
        peer.known = beat.known.clone();
        peer.incarnation = beat.incarnation;
        peer.draining = beat.draining;
        peer.led.clone_from(&beat.led);
        peer.alive = true;
        peer.started = now.since(beat.age);
        self.membership.record_beat(member_beat(beat), now);
        changed
    }

    /// Advances to `now`; returns whether an entry came to life or died.
    pub fn tick(&mut self, now: Millis) -> bool {
        self.membership.tick(now);
        let live: Vec<id::Entry> = self
            .membership
            .live(now)
            .map(|beat| beat.entry.clone())
            .collect();
        let mut changed = false;
        for peer in &mut self.peers {
            let alive = live.binary_search(&peer.known.entry).is_ok();
            changed |= alive != peer.alive;
            peer.alive = alive;
            if !alive {
                peer.led.clear();
            }
        }
        changed
    }

    /// Returns the membership, which decides who may lead or watch.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Records in the membership what the own entry sends in its heartbeats.
    pub fn record_own_beat(&mut self, beat: &Beat) {
        let leads = member_beat(beat).leads;
        self.membership
            .beat(beat.sequence, beat.store_age, beat.draining, leads);
    }

    /// Returns the entries that are due for a heartbeat, and records that they get one now.
    ///
    /// An answer carries the same state as a heartbeat. Therefore, of two entries that hear each
    /// other, only the one whose name sorts first sends heartbeats. An entry that is not heard gets
    /// them at the longer interval of entries in other failure domains.
    pub fn take_due(&mut self, now: Millis) -> Vec<Known> {
        let mut due = Vec::new();
        for peer in &mut self.peers {
            let near = peer.known.domain == self.own.domain && peer.alive;
            let span = if near {
                self.settings.beat_ms
            } else {
                self.settings.far_beat_ms
            };
            let answers = self.own.entry > peer.known.entry;
            let quiet = peer
                .heard_at
                .is_none_or(|at| now.since(at) > span + Millis(span.0 / 2));
            if answers && !quiet {
                continue;
            }
            if peer.beat_at.is_none_or(|at| now.since(at) >= span) {
                peer.beat_at = Some(now);
                due.push(peer.known.clone());
            }
        }
        due
    }

    /// Returns whether an entry came to life or restarted recently, so that it may not know all others.
    #[must_use]
    pub fn is_new(&self, entry: &id::Entry, now: Millis) -> bool {
        let at = self.find(entry).ok();
        at.is_some_and(|at| now.since(self.peers[at].heard_since) < NEW_ENTRY_PERIOD)
    }

    /// Returns the live entries.
    pub fn alive(&self) -> impl Iterator<Item = &Known> {
        self.peers
            .iter()
            .filter(|peer| peer.alive)
            .map(|peer| &peer.known)
    }

    /// Returns the live entries of this entry's failure domain.
    pub fn same_domain(&self) -> impl Iterator<Item = &Known> {
        self.alive().filter(|known| known.domain == self.own.domain)
    }

    /// Returns the failure domains that a plan must include.
    ///
    /// These are the own one, and those of entries that are alive or, shortly after this entry's
    /// start, have not been heard yet. `now` is the time since the start.
    #[must_use]
    pub fn counted_domains(&self, now: Millis) -> Vec<id::Domain> {
        let early = now <= self.settings.far_dead_ms;
        let counts = |peer: &&Peer| peer.alive || (early && peer.heard_at.is_none());
        let others = self.peers.iter().filter(counts);
        let mut domains: Vec<id::Domain> = others.map(|peer| peer.known.domain.clone()).collect();
        domains.push(self.own.domain.clone());
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Returns all known entries, including this one.
    #[must_use]
    pub fn known(&self) -> Vec<Known> {
        let own = std::iter::once(self.own.clone());
        own.chain(self.peers.iter().map(|peer| peer.known.clone()))
            .collect()
    }

    /// Returns each shard that another live entry leads, with the lead of the highest epoch.
    pub fn leads(&self) -> impl Iterator<Item = (&id::Shard, &Known)> {
        self.led_shards()
            .map(|(led, known)| (&led.shard.shard, known))
    }

    /// Returns the state of each shard that another live entry leads, at its highest epoch.
    pub fn led_shards(&self) -> impl Iterator<Item = (&Led, &Known)> {
        let all = self.peers.iter().filter(|peer| peer.alive);
        let mut led: Vec<(&Led, &Known)> = all
            .flat_map(|peer| peer.led.iter().map(move |led| (led, &peer.known)))
            .collect();
        led.sort_by(|a, b| {
            a.0.shard
                .shard
                .cmp(&b.0.shard.shard)
                .then(b.0.epoch.cmp(&a.0.epoch))
        });
        led.dedup_by(|later, first| later.0.shard.shard == first.0.shard.shard);
        led.into_iter()
    }

    /// Returns the peers as the traffic threads see them.
    #[must_use]
    pub fn view(&self, now: Millis) -> Vec<view::Peer> {
        let entry = |peer: &Peer| view::Peer {
            entry: peer.known.entry.clone(),
            domain: peer.known.domain.clone(),
            address: peer.known.address.clone(),
            alive: peer.alive,
            draining: peer.draining,
            incarnation: peer.incarnation,
            age: now.since(peer.started),
        };
        self.peers.iter().map(entry).collect()
    }

    /// Returns the peers for `status`.
    #[must_use]
    pub fn status(&self, now: Millis) -> Vec<operator::Peer> {
        self.membership.peers(now)
    }

    fn find(&self, entry: &id::Entry) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.known.entry.cmp(entry))
    }
}

impl Peer {
    const fn new(known: Known) -> Self {
        Self {
            known,
            incarnation: 0,
            started: Millis::ZERO,
            led: Vec::new(),
            draining: false,
            alive: false,
            beat_at: None,
            heard_at: None,
            heard_since: Millis::ZERO,
        }
    }
}

fn member_beat(beat: &Beat) -> membership::Beat {
    let leads = beat
        .led
        .iter()
        .map(|led| membership::Led {
            shard: led.shard.shard.clone(),
            epoch: led.epoch,
        })
        .collect();
    membership::Beat {
        entry: beat.known.entry.clone(),
        domain: beat.known.domain.clone(),
        incarnation: beat.incarnation,
        draining: beat.draining,
        sequence: beat.sequence,
        age: beat.store_age,
        leads,
    }
}
