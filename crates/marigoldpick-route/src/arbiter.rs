//! The arbiter's side of slot leases.
//!
//! For each endpoint one entry of the failure domain, the first by rendezvous hash among the live
//! ones, deals out the slots. The sum of what it granted and what may still run under lapsed leases
//! never passes the endpoint's slots. An arbiter that is new, or was paused, first accepts what the
//! others hold; it deals out the rest when it has heard all entries or their leases have lapsed.
//!
//! Entries may disagree on who lives, and so on who is the arbiter. Each gives its vote to one at a
//! time. With the votes of most of the failure domain's entries an arbiter deals out all slots, with
//! those of just half of them half of the slots, with fewer none.

use std::cmp::Ordering;

use fxhash::FxHashMap;
use marigoldpick_core::peer::{Demand, Grant, Lease, Want};
use marigoldpick_core::prelude::*;

use crate::rank;

/// How long a lease lasts.
pub const SPAN: Millis = Millis(2_000);
/// How long a vote lasts.
pub const AGREE: Millis = Millis(1_000);
/// How long an arbiter goes on without the votes that it had. With a vote it is no longer than a lease,
/// so that nobody else has dealt out by then what lapsed.
const GRACE: Millis = Millis(1_000);
/// A gap between two ticks from which on the arbiter counts as having been paused.
const PAUSE: Millis = Millis(1_000);

/// `Charge` is an endpoint that this entry is the arbiter of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Its slots.
    pub slots: u32,
    /// How long a request may run at most by default.
    pub cover: Millis,
}

/// `Arbiter` deals out the slots of the endpoints in its charge.
#[derive(Clone, Debug, Default)]
pub struct Arbiter {
    plots: Vec<Plot>,
    entries: Vec<id::Entry>,
    members: Vec<id::Entry>,
    /// When the youngest entry started, unless all are older than any request.
    started: Option<Millis>,
    heard: FxHashMap<id::Entry, Heard>,
    seen: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: u64,
    sequence: u64,
    answered: Millis,
}

/// `Level` is what the votes allow an arbiter to deal out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    #[default]
    None,
    Half,
    All,
}

/// `Plot` is one endpoint's account.
#[derive(Clone, Debug)]
struct Plot {
    charge: Charge,
    /// Since when it is in charge without a pause.
    since: Millis,
    level: Level,
    /// Since when it has had this level or more.
    reached: Millis,
    /// When the votes were last enough for it.
    confirmed: Millis,
    holds: Vec<Hold>,
}

/// `Hold` is what one incarnation of an entry may have of an endpoint.
#[derive(Clone, Debug)]
struct Hold {
    entry: id::Entry,
    incarnation: u64,
    /// What it may use until it says that it holds less, or its lease lapses.
    granted: u32,
    /// What it was told last.
    told: u32,
    used: u32,
    want: u32,
    at: Millis,
    until: Millis,
    cover: Millis,
    /// When it last voted for this arbiter, at the earliest.
    vote: Option<Millis>,
    /// Whether it has a lease from this arbiter.
    leased: bool,
}

impl Arbiter {
    /// Sets the endpoints in charge, sorted by id.
    ///
    /// When an endpoint is no longer in charge, all holders are asked to send all they hold, so that
    /// none goes on renewing its lease here.
    pub fn set(&mut self, charges: Vec<Charge>, now: Millis) {
        let mut old = std::mem::take(&mut self.plots);
        for charge in charges {
            let known = old.binary_search_by(|p| p.charge.endpoint.cmp(&charge.endpoint));
            let plot = match known {
                Ok(at) => Plot {
                    charge,
                    ..old.remove(at)
                },
                Err(_) => Plot::new(charge, now),
            };
            self.plots.push(plot);
        }
        if !old.is_empty() {
            self.heard.clear();
        }
    }

    /// Sets the failure domain's entries that may hold slots, and all those that may live.
    pub fn set_entries(&mut self, entries: Vec<id::Entry>, members: Vec<id::Entry>) {
        self.entries = entries;
        self.members = members;
    }

    /// Sets when the failure domain's youngest entry started; none when all are older than any request.
    ///
    /// An entry that starts anew doesn't know what its earlier incarnation has in flight.
    pub fn set_started(&mut self, started: Option<Millis>) {
        self.started = started;
    }

    /// Notes that time has passed; a long gap counts as a pause.
    pub fn tick(&mut self, now: Millis) {
        if now.since(self.seen) >= PAUSE {
            for plot in &mut self.plots {
                plot.since = now;
                plot.reached = now;
            }
        }
        self.seen = now;
    }

    /// Answers a demand.
    pub fn demand(&mut self, demand: &Demand, now: Millis) -> Grant {
        self.tick(now);
        let last = self.heard.get(&demand.entry).copied();
        let same = last.filter(|last| last.incarnation == demand.incarnation);
        let late = same.is_some_and(|last| demand.sequence <= last.sequence);
        if late || (same.is_none() && !demand.whole) {
            return Grant {
                resend: true,
                span: SPAN,
                leases: Vec::new(),
            };
        }
        let heard = Heard {
            incarnation: demand.incarnation,
            sequence: demand.sequence,
            answered: now,
        };
        self.heard.insert(demand.entry.clone(), heard);
        // Only who took the last answer tells changes alone, so that answer came before this vote.
        let vote = same.filter(|_| !demand.whole).map(|last| last.answered);
        self.note(demand, vote, now);
        Grant {
            resend: false,
            span: SPAN,
            leases: self.leases(demand, now),
        }
    }

    /// Returns the sum of slots of an endpoint that are or may be in use.
    #[must_use]
    pub fn outstanding(&self, endpoint: &id::Endpoint, now: Millis) -> u32 {
        self.plots
            .binary_search_by(|p| p.charge.endpoint.cmp(endpoint))
            .map_or(0, |at| self.plots[at].outstanding(now))
    }

    fn note(&mut self, demand: &Demand, vote: Option<Millis>, now: Millis) {
        for plot in &mut self.plots {
            let find = |want: &Want| want.endpoint.cmp(&plot.charge.endpoint);
            let want = demand.wants.binary_search_by(find).ok();
            let own = plot.position(demand);
            match (want, own) {
                (Some(at), own) => plot.put(demand, &demand.wants[at], own, vote, now),
                (None, Some(at)) if !demand.whole => plot.holds[at].renew(vote, now),
                (None, _) => {}
            }
        }
    }

    fn leases(&mut self, demand: &Demand, now: Millis) -> Vec<Lease> {
        let mut leases = Vec::new();
        for plot in &mut self.plots {
            plot.holds.retain(|hold| hold.counts(now));
            let Some(at) = plot.position(demand) else {
                continue;
            };
            let find = |want: &Want| want.endpoint.cmp(&plot.charge.endpoint);
            let asked = demand.wants.binary_search_by(find).is_ok();
            if demand.whole && !asked {
                // It has left, and its lease is not renewed.
                continue;
            }
            plot.count_votes(&self.members, now);
            let settled = self.started.is_none_or(|at| now >= at + plot.charge.cover);
            let warm = settled && plot.knows(&self.entries, &self.members, now);
            let Some(slots) = plot.grant(at, &self.entries, warm, now) else {
                continue;
            };
            let hold = &mut plot.holds[at];
            hold.granted = hold.granted.max(slots);
            hold.leased = true;
            if asked || hold.told != slots {
                hold.told = slots;
                leases.push(Lease {
                    endpoint: plot.charge.endpoint.clone(),
                    slots,
                });
            }
        }
        leases
    }
}

impl Plot {
    const fn new(charge: Charge, now: Millis) -> Self {
        Self {
            charge,
            since: now,
            level: Level::None,
            reached: now,
            confirmed: now,
            holds: Vec::new(),
        }
    }

    fn position(&self, demand: &Demand) -> Option<usize> {
        let own = |h: &Hold| h.entry == demand.entry && h.incarnation == demand.incarnation;
        self.holds.iter().position(own)
    }

    fn put(
        &mut self,
        demand: &Demand,
        want: &Want,
        own: Option<usize>,
        vote: Option<Millis>,
        now: Millis,
    ) {
        let old = own.map(|at| &self.holds[at]);
        let hold = Hold {
            entry: demand.entry.clone(),
            incarnation: demand.incarnation,
            granted: want.held.max(want.used),
            told: want.held,
            used: want.used,
            want: want.want,
            at: now,
            until: now + SPAN,
            cover: want.cover.max(self.charge.cover),
            vote: vote.or(old.and_then(|old| old.vote)),
            leased: old.is_some_and(|old| old.leased),
        };
        match own {
            Some(at) => self.holds[at] = hold,
            None => self.holds.push(hold),
        }
    }

    fn outstanding(&self, now: Millis) -> u32 {
        let counts = self.holds.iter().filter(|h| h.counts(now));
        counts.map(|h| h.granted).sum()
    }

    /// Takes over what the votes allow: more at once, less when they stay away for a while.
    fn count_votes(&mut self, members: &[id::Entry], now: Millis) {
        let votes = members.iter().filter(|m| self.has_vote(m, now)).count();
        let level = match (votes * 2).cmp(&members.len()) {
            Ordering::Greater => Level::All,
            Ordering::Equal => Level::Half,
            Ordering::Less => Level::None,
        };
        if level > self.level {
            self.reached = now;
        }
        if level >= self.level || now >= self.confirmed + GRACE {
            self.level = level;
            self.confirmed = now;
        }
    }

    fn has_vote(&self, entry: &id::Entry, now: Millis) -> bool {
        let votes = |h: &Hold| h.entry == *entry && h.vote.is_some_and(|at| now < at + AGREE);
        self.holds.iter().any(votes)
    }

    /// Returns the slots that the votes allow to deal out.
    const fn allowed(&self) -> u32 {
        match self.level {
            Level::None => 0,
            Level::Half => self.charge.slots / 2,
            Level::All => self.charge.slots,
        }
    }

    /// Returns what the hold at `at` may use from now on; none when this arbiter has no say in it.
    fn grant(&self, at: usize, entries: &[id::Entry], warm: bool, now: Millis) -> Option<u32> {
        let hold = &self.holds[at];
        if self.level == Level::None {
            return hold.leased.then_some(0);
        }
        let others = self.outstanding(now) - hold.granted;
        let free = self.allowed().saturating_sub(others);
        let lapsed = now >= self.reached + GRACE + SPAN + self.charge.cover;
        if !warm && !lapsed {
            return Some(hold.granted.min(free));
        }
        let target = self.target(at, entries, now);
        if self.level == Level::Half {
            return Some(target.min(free));
        }
        let most = free.max(hold.used.min(hold.granted));
        Some(target.max(hold.used).min(most))
    }

    /// Tells whether all entries have told what they hold.
    ///
    /// Entries that drain have no vote, but may hold slots.
    fn knows(&self, entries: &[id::Entry], members: &[id::Entry], now: Millis) -> bool {
        let told = |entry: &id::Entry| {
            let fresh = |h: &Hold| h.entry == *entry && h.at >= self.since;
            self.holds.iter().any(fresh) && self.has_vote(entry, now)
        };
        entries.iter().chain(members).all(told)
    }

    /// Shares the slots by demand, one at a time to whoever has least. What nobody wants is spread
    /// over all entries, those not heard yet among them, so that no death takes everything along.
    fn target(&self, at: usize, entries: &[id::Entry], now: Millis) -> u32 {
        let live = |h: &&Hold| now < h.until;
        let mut holds: Vec<&Hold> = self.holds.iter().filter(live).collect();
        let key = self.charge.endpoint.as_str();
        holds.sort_by_cached_key(|h| rank::score(key, h.entry.as_str()));
        let own = &self.holds[at];
        let same = |h: &&Hold| h.entry == own.entry && h.incarnation == own.incarnation;
        let Some(own) = holds.iter().position(same) else {
            return 0;
        };
        let unheard = |entry: &&id::Entry| !holds.iter().any(|h| h.entry == **entry);
        let unheard = entries.iter().filter(unheard).count();
        let lapsed = self.holds.iter().filter(|h| now >= h.until);
        let lost: u32 = lapsed.map(|h| h.granted).sum();
        let mut wants: Vec<u32> = holds.iter().map(|h| h.want).collect();
        wants.resize(holds.len() + unheard, 0);
        share(self.allowed().saturating_sub(lost), &wants)[own]
    }
}

/// Shares out `slots`: one at a time to whoever has least of those that want more, then to whoever
/// has least.
fn share(slots: u32, wants: &[u32]) -> Vec<u32> {
    let mut shares = vec![0; wants.len()];
    for _ in 0..slots {
        let wanting = (0..wants.len()).filter(|at| shares[*at] < wants[*at]);
        let next = wanting.min_by_key(|at| shares[*at]);
        let next = next.or_else(|| (0..wants.len()).min_by_key(|at| shares[*at]));
        if let Some(next) = next {
            shares[next] += 1;
        }
    }
    shares
}

impl Hold {
    fn renew(&mut self, vote: Option<Millis>, now: Millis) {
        self.vote = vote.or(self.vote);
        self.at = now;
        self.until = now + SPAN;
    }

    /// Tells whether a request may still run under it, or under a lease of a new arbiter that took it
    /// over while this one went on without votes.
    fn counts(&self, now: Millis) -> bool {
        now < self.until + self.cover.max(GRACE)
    }
}
