//! The holder's side of slot leases: when to send which demand to which arbiter.
//!
//! At most one demand to an arbiter is in flight at a time. A lease starts when its demand was
//! sent, by the holder's own clock, and a margin for clock drift is subtracted from it, so that the
//! lease ends at the holder before it ends at the arbiter.
//!
//! A demand for an endpoint's slots is also a vote for its arbiter. When another entry becomes the
//! endpoint's arbiter, the holder sends a demand to it only once its vote for the previous one has
//! lapsed there.

use marigoldpick_core::peer::{Demand, Grant, Lease, Want};
use marigoldpick_core::prelude::*;

use crate::arbiter::VOTE_SPAN;

/// The time after the last demand at which leases are renewed.
pub const RENEW_INTERVAL: Millis = Millis(300);
/// The time after the last demand at which another one is sent while more slots are wanted than
/// held.
const SHORTAGE_INTERVAL: Millis = Millis(80);
/// The shortest time between two demands to an arbiter.
const MIN_INTERVAL: Millis = Millis(40);
/// A demand without an answer times out after this time.
pub const TIMEOUT: Millis = Millis(500);
/// The time subtracted from a lease, since clocks may run at different speeds.
const DRIFT_MARGIN: Millis = Millis(100);

/// `Target` is an endpoint's arbiter and this entry's demand for the endpoint's slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The endpoint's arbiter.
    pub arbiter: id::Entry,
    /// The demand for the endpoint's slots.
    pub want: Want,
}

/// `Update` is a changed lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The endpoint's id.
    pub endpoint: id::Endpoint,
    /// The number of slots; `None` when only the end of the lease changed.
    pub slots: Option<u32>,
    /// When the lease lapses.
    pub until: Millis,
}

/// `Holder` acquires and renews an entry's slot leases.
#[derive(Clone, Debug)]
pub struct Holder {
    entry: id::Entry,
    incarnation: u64,
    sequence: u64,
    sessions: Vec<Session>,
    /// The current votes, sorted by endpoint.
    votes: Vec<Vote>,
}

/// `Vote` is the arbiter that was last asked for an endpoint's slots.
#[derive(Clone, Debug)]
struct Vote {
    endpoint: id::Endpoint,
    arbiter: id::Entry,
    until: Millis,
}

/// `Session` is the exchange of demands and grants with one arbiter.
#[derive(Clone, Debug)]
struct Session {
    arbiter: id::Entry,
    /// The wants that the arbiter knows, sorted by endpoint; empty when the next demand must be
    /// whole.
    known: Vec<Want>,
    /// The endpoints whose leases the arbiter renews, sorted.
    renewed: Vec<id::Endpoint>,
    sent_at: Option<Millis>,
    pending: Option<Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    sequence: u64,
    sent_at: Millis,
    wants: Vec<Want>,
    /// The endpoints that the demand names, sorted.
    endpoints: Vec<id::Endpoint>,
}

impl Holder {
    /// Makes a holder without leases.
    #[must_use]
    pub const fn new(entry: id::Entry, incarnation: u64) -> Self {
        Self {
            entry,
            incarnation,
            sequence: 0,
            sessions: Vec::new(),
            votes: Vec::new(),
        }
    }

    /// Returns the demands that are due, with their arbiters; `targets` is sorted by endpoint.
    pub fn poll(&mut self, targets: Vec<Target>, now: Millis) -> Vec<(id::Entry, Demand)> {
        let mut groups: Vec<(id::Entry, Vec<Want>)> = Vec::new();
        for target in targets {
            if !self.can_ask(&target, now) {
                continue;
            }
            match groups.iter_mut().find(|group| group.0 == target.arbiter) {
                Some(group) => group.1.push(target.want),
                None => groups.push((target.arbiter, vec![target.want])),
            }
        }
        let named = |session: &Session| groups.iter().any(|group| group.0 == session.arbiter);
        self.sessions.retain(named);
        let mut demands = Vec::new();
        for (arbiter, wants) in groups {
            let endpoints: Vec<id::Endpoint> = wants.iter().map(|w| w.endpoint.clone()).collect();
            if let Some(demand) = self.due_demand(&arbiter, wants, now) {
                self.record_votes(endpoints, &arbiter, now);
                demands.push((arbiter, demand));
            }
        }
        demands
    }

    /// Returns whether no other arbiter has this entry's vote for the target's endpoint.
    fn can_ask(&self, target: &Target, now: Millis) -> bool {
        let vote = self
            .find_vote(&target.want.endpoint)
            .ok()
            .map(|at| &self.votes[at]);
        vote.is_none_or(|vote| vote.arbiter == target.arbiter || now >= vote.until)
    }

    fn record_votes(&mut self, endpoints: Vec<id::Endpoint>, arbiter: &id::Entry, now: Millis) {
        for endpoint in endpoints {
            let vote = Vote {
                endpoint,
                arbiter: arbiter.clone(),
                until: now + VOTE_SPAN + DRIFT_MARGIN,
            };
            match self.find_vote(&vote.endpoint) {
                Ok(at) => self.votes[at] = vote,
                Err(at) => self.votes.insert(at, vote),
            }
        }
        self.votes.retain(|vote| now < vote.until + VOTE_SPAN);
    }

    fn find_vote(&self, endpoint: &id::Endpoint) -> Result<usize, usize> {
        self.votes.binary_search_by(|v| v.endpoint.cmp(endpoint))
    }

    /// Handles an arbiter's answer and returns the leases that changed.
    ///
    /// `grant` is `None` when no answer arrived.
    pub fn handle_answer(
        &mut self,
        arbiter: &id::Entry,
        sequence: u64,
        grant: Option<&Grant>,
    ) -> Vec<Update> {
        let Some(session) = self.sessions.iter_mut().find(|s| s.arbiter == *arbiter) else {
            return Vec::new();
        };
        let Some(pending) = session.pending.take_if(|p| p.sequence == sequence) else {
            return Vec::new();
        };
        let Some(grant) = grant else {
            session.known.clear();
            return Vec::new();
        };
        let until = pending.sent_at + (grant.span - DRIFT_MARGIN);
        if grant.resend {
            session.known.clear();
            session.renewed.clear();
            session.sent_at = None;
            return Vec::new();
        }
        session.known = pending.wants;
        session
            .renewed
            .retain(|endpoint| pending.endpoints.binary_search(endpoint).is_err());
        for lease in &grant.leases {
            if let Err(at) = session.renewed.binary_search(&lease.endpoint) {
                session.renewed.insert(at, lease.endpoint.clone());
            }
        }
        let mut updates = lease_updates(grant, &session.renewed, until);
        // Leases of endpoints for which another arbiter has been asked since are ignored.
        updates.retain(|update| {
            let vote = self.find_vote(&update.endpoint).ok();
            vote.is_some_and(|at| self.votes[at].arbiter == *arbiter)
        });
        updates
    }

    fn due_demand(&mut self, arbiter: &id::Entry, wants: Vec<Want>, now: Millis) -> Option<Demand> {
        let at = match self.sessions.iter().position(|s| s.arbiter == *arbiter) {
            Some(at) => at,
            None => {
                self.sessions.push(Session::new(arbiter.clone()));
                self.sessions.len() - 1
            }
        };
        let session = &mut self.sessions[at];
        if session
            .pending
            .as_ref()
            .is_some_and(|p| now < p.sent_at + TIMEOUT)
        {
            return None;
        }
        if session.pending.take().is_some() {
            session.known.clear();
        }
        session.drop_unasked(&wants);
        let whole = session.known.is_empty();
        let age = session
            .sent_at
            .map_or(RENEW_INTERVAL, |sent| now.since(sent));
        if age < MIN_INTERVAL {
            return None;
        }
        let changed = session.changed_wants(&wants, age >= RENEW_INTERVAL);
        let short = age >= SHORTAGE_INTERVAL && wants.iter().any(|want| want.want > want.held);
        if age < RENEW_INTERVAL && !short && changed.is_empty() {
            return None;
        }
        self.sequence += 1;
        session.sent_at = Some(now);
        let named = if whole { wants.clone() } else { changed };
        session.pending = Some(Pending {
            sequence: self.sequence,
            sent_at: now,
            wants,
            endpoints: named.iter().map(|want| want.endpoint.clone()).collect(),
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

impl Session {
    const fn new(arbiter: id::Entry) -> Self {
        Self {
            arbiter,
            known: Vec::new(),
            renewed: Vec::new(),
            sent_at: None,
            pending: None,
        }
    }

    /// Makes the next demand whole when an endpoint is no longer asked for, since the arbiter would
    /// otherwise renew that lease and count the vote.
    fn drop_unasked(&mut self, wants: &[Want]) {
        let asked = |endpoint: &id::Endpoint| {
            wants
                .binary_search_by(|want| want.endpoint.cmp(endpoint))
                .is_ok()
        };
        if !self.known.iter().all(|want| asked(&want.endpoint)) {
            self.known.clear();
        }
        self.renewed.retain(asked);
    }

    /// Returns the wants that the arbiter must be sent again.
    ///
    /// These are the urgent ones: more slots are wanted, slots were returned, the number of slots
    /// held differs, requests may run for longer, or the arbiter does not know the endpoint or does
    /// not renew its lease. With a renewal they are also those that want a different number of
    /// slots, or that have freed slots beyond those wanted.
    fn changed_wants(&self, wants: &[Want], renewal: bool) -> Vec<Want> {
        let differs = |want: &&Want| {
            let find = |known: &Want| known.endpoint.cmp(&want.endpoint);
            let Ok(at) = self.known.binary_search_by(find) else {
                return true;
            };
            let known = &self.known[at];
            let returned = known.used > known.held && want.used < known.used;
            let more = want.want > known.want && want.want > want.held;
            let unknown = self.renewed.binary_search(&want.endpoint).is_err();
            let stale = known.held != want.held || known.cover < want.cover;
            // Slots in use beyond those wanted could not be revoked while they were in use.
            let idle = known.used > known.want && want.used < known.used;
            let deferred = renewal && (known.want != want.want || idle);
            returned || more || unknown || stale || deferred
        };
        wants.iter().filter(differs).cloned().collect()
    }
}

fn lease_updates(grant: &Grant, renewed: &[id::Endpoint], until: Millis) -> Vec<Update> {
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
    renewed.iter().map(update).collect()
}
