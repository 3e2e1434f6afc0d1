//! The holder's side of slot leases: when to ask which arbiter for what.
//!
//! One demand to an arbiter is under way at a time. A lease lasts from when its demand was sent, by
//! the holder's own clock, less a margin for drift; so the holder's lease ends first.
//!
//! To ask an arbiter for an endpoint's slots is a vote for it. When another entry becomes the
//! endpoint's arbiter, it is asked once the vote for the last one has lapsed there.

use marigoldpick_core::peer::{Demand, Grant, Lease, Want};
use marigoldpick_core::prelude::*;

use crate::arbiter::AGREE;

/// Leases are renewed this long after the last demand.
pub const RENEW: Millis = Millis(300);
/// An arbiter is asked this long after the last demand while more slots are wanted than held.
const HUNGRY: Millis = Millis(80);
/// The shortest span between two demands to an arbiter.
const LEAST: Millis = Millis(40);
/// A demand without an answer is given up after this time.
pub const TIMEOUT: Millis = Millis(500);
/// What is taken off a lease for clocks that run at different speeds.
const MARGIN: Millis = Millis(100);

/// `Target` is an endpoint, its arbiter, and what the entry wants there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The arbiter.
    pub arbiter: id::Entry,
    /// What is wanted.
    pub want: Want,
}

/// `Update` is a lease that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The slots, unless only the end changed.
    pub slots: Option<u32>,
    /// When it lapses.
    pub until: Millis,
}

/// `Holder` keeps an entry's slot leases alive.
#[derive(Clone, Debug)]
pub struct Holder {
    entry: id::Entry,
    incarnation: u64,
    sequence: u64,
    links: Vec<Link>,
    /// Who has the votes, sorted by endpoint.
    votes: Vec<Vote>,
}

/// `Vote` is who was asked last for an endpoint's slots.
#[derive(Clone, Debug)]
struct Vote {
    endpoint: id::Endpoint,
    arbiter: id::Entry,
    until: Millis,
}

/// `Link` is the exchange with one arbiter.
#[derive(Clone, Debug)]
struct Link {
    arbiter: id::Entry,
    /// What the arbiter was told last, sorted by endpoint; empty when it must be told all.
    told: Vec<Want>,
    /// The endpoints whose leases the arbiter renews, sorted.
    named: Vec<id::Endpoint>,
    sent: Option<Millis>,
    pending: Option<Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    sequence: u64,
    sent: Millis,
    wants: Vec<Want>,
    /// The endpoints named in the demand, sorted.
    asked: Vec<id::Endpoint>,
}

impl Holder {
    /// Makes a holder without leases.
    #[must_use]
    pub const fn new(entry: id::Entry, incarnation: u64) -> Self {
        Self {
            entry,
            incarnation,
            sequence: 0,
            links: Vec::new(),
            votes: Vec::new(),
        }
    }

    /// Returns the demands that are due, with their arbiters. `targets` is sorted by endpoint.
    pub fn poll(&mut self, targets: Vec<Target>, now: Millis) -> Vec<(id::Entry, Demand)> {
        let mut groups: Vec<(id::Entry, Vec<Want>)> = Vec::new();
        for target in targets {
            if !self.may_ask(&target, now) {
                continue;
            }
            match groups.iter_mut().find(|group| group.0 == target.arbiter) {
                Some(group) => group.1.push(target.want),
                None => groups.push((target.arbiter, vec![target.want])),
            }
        }
        let named = |link: &Link| groups.iter().any(|group| group.0 == link.arbiter);
        self.links.retain(named);
        let mut demands = Vec::new();
        for (arbiter, wants) in groups {
            let endpoints: Vec<id::Endpoint> = wants.iter().map(|w| w.endpoint.clone()).collect();
            if let Some(demand) = self.demand(&arbiter, wants, now) {
                self.vote(endpoints, &arbiter, now);
                demands.push((arbiter, demand));
            }
        }
        demands
    }

    /// Tells whether no other arbiter has the vote on the target's endpoint.
    fn may_ask(&self, target: &Target, now: Millis) -> bool {
        let vote = self
            .find(&target.want.endpoint)
            .ok()
            .map(|at| &self.votes[at]);
        vote.is_none_or(|vote| vote.arbiter == target.arbiter || now >= vote.until)
    }

    fn vote(&mut self, endpoints: Vec<id::Endpoint>, arbiter: &id::Entry, now: Millis) {
        for endpoint in endpoints {
            let vote = Vote {
                endpoint,
                arbiter: arbiter.clone(),
                until: now + AGREE + MARGIN,
            };
            match self.find(&vote.endpoint) {
                Ok(at) => self.votes[at] = vote,
                Err(at) => self.votes.insert(at, vote),
            }
        }
        self.votes.retain(|vote| now < vote.until + AGREE);
    }

    fn find(&self, endpoint: &id::Endpoint) -> Result<usize, usize> {
        self.votes.binary_search_by(|v| v.endpoint.cmp(endpoint))
    }

    /// Takes an arbiter's answer, or none when it did not come; returns the leases that changed.
    pub fn answer(
        &mut self,
        arbiter: &id::Entry,
        sequence: u64,
        grant: Option<&Grant>,
    ) -> Vec<Update> {
        let Some(link) = self.links.iter_mut().find(|l| l.arbiter == *arbiter) else {
            return Vec::new();
        };
        let Some(pending) = link.pending.take_if(|p| p.sequence == sequence) else {
            return Vec::new();
        };
        let Some(grant) = grant else {
            link.told.clear();
            return Vec::new();
        };
        let until = pending.sent + (grant.span - MARGIN);
        if grant.resend {
            link.told.clear();
            link.named.clear();
            link.sent = None;
            return Vec::new();
        }
        link.told = pending.wants;
        link.named
            .retain(|endpoint| pending.asked.binary_search(endpoint).is_err());
        for lease in &grant.leases {
            if let Err(at) = link.named.binary_search(&lease.endpoint) {
                link.named.insert(at, lease.endpoint.clone());
            }
        }
        let mut updates = updates(grant, &link.named, until);
        // A new arbiter has been asked for some of them since.
        updates.retain(|update| {
            let vote = self.find(&update.endpoint).ok();
            vote.is_some_and(|at| self.votes[at].arbiter == *arbiter)
        });
        updates
    }

    fn demand(&mut self, arbiter: &id::Entry, wants: Vec<Want>, now: Millis) -> Option<Demand> {
        let at = match self.links.iter().position(|l| l.arbiter == *arbiter) {
            Some(at) => at,
            None => {
                self.links.push(Link::new(arbiter.clone()));
                self.links.len() - 1
            }
        };
        let link = &mut self.links[at];
        if link
            .pending
            .as_ref()
            .is_some_and(|p| now < p.sent + TIMEOUT)
        {
            return None;
        }
        if link.pending.take().is_some() {
            link.told.clear();
        }
        link.leave(&wants);
        let whole = link.told.is_empty();
        let age = link.sent.map_or(RENEW, |sent| now.since(sent));
        if age < LEAST {
            return None;
        }
        let changed = link.changed(&wants, age >= RENEW);
        let hungry = age >= HUNGRY && wants.iter().any(|want| want.want > want.held);
        if age < RENEW && !hungry && changed.is_empty() {
            return None;
        }
        self.sequence += 1;
        link.sent = Some(now);
        let named = if whole { wants.clone() } else { changed };
        link.pending = Some(Pending {
            sequence: self.sequence,
            sent: now,
            wants,
            asked: named.iter().map(|want| want.endpoint.clone()).collect(),
        });
        Some(Demand {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            whole,
            wants: named,
        })
    }
}

impl Link {
    const fn new(arbiter: id::Entry) -> Self {
        Self {
            arbiter,
            told: Vec::new(),
            named: Vec::new(),
            sent: None,
            pending: None,
        }
    }

    /// Has the arbiter told all when it is no longer asked for an endpoint, else it would renew that
    /// lease and count the vote.
    fn leave(&mut self, wants: &[Want]) {
        let asked = |endpoint: &id::Endpoint| {
            wants
                .binary_search_by(|want| want.endpoint.cmp(endpoint))
                .is_ok()
        };
        if !self.told.iter().all(|want| asked(&want.endpoint)) {
            self.told.clear();
        }
        self.named.retain(asked);
    }

    /// Returns the wants that the arbiter must be told anew. With a renewal all that differ are
    /// told; else those that can't wait: more slots are wanted, some are returned, or the arbiter
    /// did not know the endpoint.
    fn changed(&self, wants: &[Want], renewal: bool) -> Vec<Want> {
        let differs = |want: &&Want| {
            let find = |told: &Want| told.endpoint.cmp(&want.endpoint);
            let Ok(at) = self.told.binary_search_by(find) else {
                return true;
            };
            let told = &self.told[at];
            let returned = told.used > told.held && want.used < told.used;
            let more = want.want > told.want && want.want > want.held;
            let unknown = self.named.binary_search(&want.endpoint).is_err();
            let urgent = told.held != want.held || told.cover < want.cover;
            // Slots that were in use beyond the demand could not be taken away.
            let idle = told.used > told.want && want.used < told.used;
            let later = renewal && (told.want != want.want || idle);
            returned || more || unknown || urgent || later
        };
        wants.iter().filter(differs).cloned().collect()
    }
}

fn updates(grant: &Grant, named: &[id::Endpoint], until: Millis) -> Vec<Update> {
    let slots = |endpoint: &id::Endpoint| {
        let find = |lease: &Lease| lease.endpoint.cmp(endpoint);
        let at = grant.leases.binary_search_by(find).ok()?;
        Some(grant.leases[at].slots)
    };
    let update = |endpoint: &id::Endpoint| Update {
        endpoint: endpoint.clone(),
        slots: slots(endpoint),
        until,
    };
    named.iter().map(update).collect()
}
