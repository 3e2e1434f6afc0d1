//! The arbiter's side of slot leases.
//!
//! For each endpoint one entry of the failure domain, the first by rendezvous hash among the live
//! ones, deals out the slots. The sum of what it granted and what may still run under lapsed leases
//! never passes the endpoint's slots. An arbiter that is new, or was paused, first accepts what the
//! others hold; it deals out the rest when it has heard all entries or one lease span has passed.

use fxhash::FxHashMap;
use marigoldpick_core::peer::{Demand, Grant, Lease, Want};
use marigoldpick_core::prelude::*;

use crate::rank;

/// How long a lease lasts.
pub const SPAN: Millis = Millis(2_000);
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
    heard: FxHashMap<id::Entry, Heard>,
    seen: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: u64,
    sequence: u64,
}

/// `Plot` is one endpoint's account.
#[derive(Clone, Debug)]
struct Plot {
    charge: Charge,
    since: Millis,
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
                Err(_) => Plot {
                    charge,
                    since: now,
                    holds: Vec::new(),
                },
            };
            self.plots.push(plot);
        }
        if !old.is_empty() {
            self.heard.clear();
        }
    }

    /// Sets the failure domain's entries that may hold slots.
    pub fn set_entries(&mut self, entries: Vec<id::Entry>) {
        self.entries = entries;
    }

    /// Notes that time has passed; a long gap counts as a pause.
    pub fn tick(&mut self, now: Millis) {
        if now.since(self.seen) >= PAUSE {
            for plot in &mut self.plots {
                plot.since = now;
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
        };
        self.heard.insert(demand.entry.clone(), heard);
        self.note(demand, now);
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

    fn note(&mut self, demand: &Demand, now: Millis) {
        for plot in &mut self.plots {
            let find = |want: &Want| want.endpoint.cmp(&plot.charge.endpoint);
            let want = demand.wants.binary_search_by(find).ok();
            let own = plot.position(demand);
            match (want, own) {
                (Some(at), own) => plot.put(demand, &demand.wants[at], own, now),
                (None, Some(at)) if !demand.whole => plot.holds[at].renew(now),
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
            let slots = plot.grant(at, &self.entries, now);
            let find = |want: &Want| want.endpoint.cmp(&plot.charge.endpoint);
            let asked = demand.wants.binary_search_by(find).is_ok();
            let hold = &mut plot.holds[at];
            hold.granted = hold.granted.max(slots);
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
    fn position(&self, demand: &Demand) -> Option<usize> {
        let own = |h: &Hold| h.entry == demand.entry && h.incarnation == demand.incarnation;
        self.holds.iter().position(own)
    }

    fn put(&mut self, demand: &Demand, want: &Want, own: Option<usize>, now: Millis) {
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

    /// Returns what the hold at `at` may use from now on.
    fn grant(&self, at: usize, entries: &[id::Entry], now: Millis) -> u32 {
        let hold = &self.holds[at];
        let others = self.outstanding(now) - hold.granted;
        let free = self.charge.slots.saturating_sub(others);
        if !self.is_warm(entries, now) {
            return hold.granted.min(free);
        }
        let target = self.target(at, entries, now);
        let most = free.max(hold.used.min(hold.granted));
        target.max(hold.used).min(most)
    }

    /// Tells whether nothing can be held that this arbiter does not know of.
    fn is_warm(&self, entries: &[id::Entry], now: Millis) -> bool {
        let heard = |entry: &id::Entry| {
            let fresh = |h: &Hold| h.entry == *entry && h.at >= self.since;
            self.holds.iter().any(fresh)
        };
        now >= self.since + SPAN + self.charge.cover || entries.iter().all(heard)
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
        share(self.charge.slots.saturating_sub(lost), &wants)[own]
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
    fn renew(&mut self, now: Millis) {
        self.at = now;
        self.until = now + SPAN;
    }

    /// Tells whether a request may still run under it.
    fn counts(&self, now: Millis) -> bool {
        now < self.until + self.cover
    }
}
