//! The arbiter's side of slot leases: which entry may use how many slots of an endpoint.
//!
//! For each endpoint, one entry of the failure domain is the arbiter and grants its slots to the
//! entries. It is the live entry that ranks first by rendezvous hashing. The sum of the slots that
//! it granted and those that may still be in use under lapsed leases never exceeds the endpoint's
//! slots. An arbiter that is new or was paused first accepts what the other entries hold; it grants
//! the rest once it has heard from all entries or their leases have lapsed.
//!
//! Entries may disagree on which entries are alive, and so on who is the arbiter. Each entry
//! therefore votes for one arbiter at a time. With votes from a majority of the failure domain's
//! entries an arbiter grants all slots, with votes from exactly half of them half of the slots,
//! with fewer votes none.

use std::cmp::Ordering;

use fxhash::FxHashMap;
use marigoldpick_core::peer::{Demand, Grant, Lease, Want};
use marigoldpick_core::prelude::*;

use crate::rank;

/// How long a lease lasts.
pub const LEASE_SPAN: Millis = Millis(2_000);
/// How long a vote lasts.
pub const VOTE_SPAN: Millis = Millis(1_000);
/// How long an arbiter keeps its level after it lost the votes for it. A vote and this time
/// together are no longer than a lease, so that no other arbiter has granted the slots of lapsed
/// leases by then.
const GRACE: Millis = Millis(1_000);
/// An arbiter counts as paused when at least this time passes between two ticks.
const MIN_PAUSE: Millis = Millis(1_000);

/// `Assignment` is an endpoint whose arbiter is this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The endpoint's id.
    pub endpoint: id::Endpoint,
    /// The endpoint's number of slots.
    pub slots: u32,
    /// The default upper bound on the run time of a request.
    pub cover: Millis,
}

/// `Arbiter` grants the slots of the endpoints assigned to it.
#[derive(Clone, Debug, Default)]
pub struct Arbiter {
    accounts: Vec<Account>,
    entries: Vec<id::Entry>,
    members: Vec<id::Entry>,
    /// When the youngest entry started; `None` when all entries are older than any request.
    youngest_started: Option<Millis>,
    contacts: FxHashMap<id::Entry, Contact>,
    last_tick: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    incarnation: u64,
    sequence: u64,
    answered_at: Millis,
}

/// `Level` is the share of the slots that the votes allow an arbiter to grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    #[default]
    None,
    Half,
    All,
}

/// `Account` is what is held and granted of one endpoint.
#[derive(Clone, Debug)]
struct Account {
    assignment: Assignment,
    /// Since when this entry has been the arbiter without a pause.
    since: Millis,
    level: Level,
    /// Since when the arbiter has had this level or a higher one.
    level_since: Millis,
    /// When the votes last sufficed for the level.
    last_confirmed: Millis,
    holds: Vec<Hold>,
}

/// `Hold` is what one incarnation of an entry may use of an endpoint.
#[derive(Clone, Debug)]
struct Hold {
    entry: id::Entry,
    incarnation: u64,
    /// The slots that the entry may use until it reports that it holds fewer, or its lease lapses.
    granted: u32,
    /// The slots that the entry was last told.
    last_told: u32,
    used: u32,
    want: u32,
    heard_at: Millis,
    lease_until: Millis,
    /// How long a request may still run after the lease has lapsed.
    cover: Millis,
    /// The earliest time at which its last vote for this arbiter may have been cast.
    voted_at: Option<Millis>,
    /// Whether the entry has a lease from this arbiter.
    leased: bool,
}

impl Arbiter {
    /// Sets the endpoints whose arbiter this entry is, sorted by id.
    ///
    /// When an endpoint is removed, all holders are asked to send a whole demand, so that none
    /// continues to renew its lease here.
    pub fn set_assignments(&mut self, assignments: Vec<Assignment>, now: Millis) {
        let mut old = std::mem::take(&mut self.accounts);
        for assignment in assignments {
            let known = old.binary_search_by(|p| p.assignment.endpoint.cmp(&assignment.endpoint));
            let account = match known {
                Ok(at) => Account {
                    assignment,
                    ..old.remove(at)
                },
                Err(_) => Account::new(assignment, now),
            };
            self.accounts.push(account);
        }
        if !old.is_empty() {
            self.contacts.clear();
        }
    }

    /// Sets the entries that may hold slots, and `members`, the entries that vote.
    pub fn set_entries(&mut self, entries: Vec<id::Entry>, members: Vec<id::Entry>) {
        self.entries = entries;
        self.members = members;
    }

    /// Sets when the failure domain's youngest entry started, or `None`.
    ///
    /// `None` means that all entries are older than any request. A restarted entry doesn't know
    /// what its earlier incarnation has in flight.
    pub fn set_started(&mut self, started: Option<Millis>) {
        self.youngest_started = started;
    }

    /// Records that time has passed; a long gap counts as a pause.
    pub fn tick(&mut self, now: Millis) {
        if now.since(self.last_tick) >= MIN_PAUSE {
            for account in &mut self.accounts {
                account.since = now;
                account.level_since = now;
            }
        }
        self.last_tick = now;
    }

    /// Handles a demand and returns the grant.
    pub fn handle_demand(&mut self, demand: &Demand, now: Millis) -> Grant {
        self.tick(now);
        let last = self.contacts.get(&demand.entry).copied();
        let same = last.filter(|last| last.incarnation == demand.incarnation);
        let outdated = same.is_some_and(|last| demand.sequence <= last.sequence);
        if outdated || (same.is_none() && !demand.whole) {
            return Grant {
                resend: true,
                span: LEASE_SPAN,
                leases: Vec::new(),
            };
        }
        let contact = Contact {
            incarnation: demand.incarnation,
            sequence: demand.sequence,
            answered_at: now,
        };
        self.contacts.insert(demand.entry.clone(), contact);
        // An entry sends a demand that is not whole only after it received the last answer, so that
        // answer precedes this vote.
        let vote = same.filter(|_| !demand.whole).map(|last| last.answered_at);
        self.record_demand(demand, vote, now);
        Grant {
            resend: false,
            span: LEASE_SPAN,
            leases: self.grant_leases(demand, now),
        }
    }

    /// Returns the number of an endpoint's slots that are or may be in use.
    #[must_use]
    pub fn outstanding(&self, endpoint: &id::Endpoint, now: Millis) -> u32 {
        self.accounts
            .binary_search_by(|p| p.assignment.endpoint.cmp(endpoint))
            .map_or(0, |at| self.accounts[at].outstanding(now))
    }

    fn record_demand(&mut self, demand: &Demand, vote: Option<Millis>, now: Millis) {
        for account in &mut self.accounts {
            let find = |want: &Want| want.endpoint.cmp(&account.assignment.endpoint);
            let want = demand.wants.binary_search_by(find).ok();
            let own = account.position(demand);
            match (want, own) {
                (Some(at), own) => account.record_want(demand, &demand.wants[at], own, vote, now),
                (None, Some(at)) if !demand.whole => account.holds[at].renew(vote, now),
                (None, _) => {}
            }
        }
    }

    fn grant_leases(&mut self, demand: &Demand, now: Millis) -> Vec<Lease> {
        let mut leases = Vec::new();
        for account in &mut self.accounts {
            account.holds.retain(|hold| hold.may_be_in_use(now));
            let Some(at) = account.position(demand) else {
                continue;
            };
            let find = |want: &Want| want.endpoint.cmp(&account.assignment.endpoint);
            let asked = demand.wants.binary_search_by(find).is_ok();
            if demand.whole && !asked {
                // The entry no longer asks for the endpoint, so its lease is not renewed.
                continue;
            }
            account.count_votes(&self.members, now);
            let settled = self
                .youngest_started
                .is_none_or(|at| now >= at + account.assignment.cover);
            let known = settled && account.has_all_reports(&self.entries, &self.members, now);
            let Some(slots) = account.grantable(at, &self.entries, known, now) else {
                continue;
            };
            let hold = &mut account.holds[at];
            hold.granted = hold.granted.max(slots);
            hold.leased = true;
            if asked || hold.last_told != slots {
                hold.last_told = slots;
                leases.push(Lease {
                    endpoint: account.assignment.endpoint.clone(),
                    slots,
                });
            }
        }
        leases
    }
}

impl Account {
    const fn new(assignment: Assignment, now: Millis) -> Self {
        Self {
            assignment,
            since: now,
            level: Level::None,
            level_since: now,
            last_confirmed: now,
            holds: Vec::new(),
        }
    }

    fn position(&self, demand: &Demand) -> Option<usize> {
        let own = |h: &Hold| h.entry == demand.entry && h.incarnation == demand.incarnation;
        self.holds.iter().position(own)
    }

    fn record_want(
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
            last_told: want.held,
            used: want.used,
            want: want.want,
            heard_at: now,
            lease_until: now + LEASE_SPAN,
            cover: want.cover.max(self.assignment.cover),
            voted_at: vote.or(old.and_then(|old| old.voted_at)),
            leased: old.is_some_and(|old| old.leased),
        };
        match own {
            Some(at) => self.holds[at] = hold,
            None => self.holds.push(hold),
        }
    }

    fn outstanding(&self, now: Millis) -> u32 {
        let counts = self.holds.iter().filter(|h| h.may_be_in_use(now));
        counts.map(|h| h.granted).sum()
    }

    /// Updates the level from the votes: raises it at once, lowers it after [`GRACE`] without
    /// enough votes.
    fn count_votes(&mut self, members: &[id::Entry], now: Millis) {
        let votes = members.iter().filter(|m| self.has_vote(m, now)).count();
        let level = match (votes * 2).cmp(&members.len()) {
            Ordering::Greater => Level::All,
            Ordering::Equal => Level::Half,
            Ordering::Less => Level::None,
        };
        if level > self.level {
            self.level_since = now;
        }
        if level >= self.level || now >= self.last_confirmed + GRACE {
            self.level = level;
            self.last_confirmed = now;
        }
    }

    fn has_vote(&self, entry: &id::Entry, now: Millis) -> bool {
        let votes =
            |h: &Hold| h.entry == *entry && h.voted_at.is_some_and(|at| now < at + VOTE_SPAN);
        self.holds.iter().any(votes)
    }

    /// Returns the slots that the votes allow the arbiter to grant.
    const fn allowed_slots(&self) -> u32 {
        match self.level {
            Level::None => 0,
            Level::Half => self.assignment.slots / 2,
            Level::All => self.assignment.slots,
        }
    }

    /// Returns what the hold at `at` may use from now on; `None` when this arbiter does not decide
    /// on it.
    fn grantable(&self, at: usize, entries: &[id::Entry], known: bool, now: Millis) -> Option<u32> {
        let hold = &self.holds[at];
        if self.level == Level::None {
            return hold.leased.then_some(0);
        }
        let others = self.outstanding(now) - hold.granted;
        let free = self.allowed_slots().saturating_sub(others);
        // By then the leases of earlier arbiters have lapsed, and the requests under them have ended
        // by the default bound on run times.
        let lapsed = now >= self.level_since + GRACE + LEASE_SPAN + self.assignment.cover;
        if !known && !lapsed {
            return Some(hold.granted.min(free));
        }
        let target = self.fair_share(at, entries, now);
        if self.level == Level::Half {
            return Some(target.min(free));
        }
        let most = free.max(hold.used.min(hold.granted));
        Some(target.max(hold.used).min(most))
    }

    /// Returns whether all entries have reported what they hold since this entry became the arbiter
    /// or was last paused, and whether their votes for it have not lapsed.
    ///
    /// This includes draining entries: their votes don't count for the level, but they may hold
    /// slots.
    fn has_all_reports(&self, entries: &[id::Entry], members: &[id::Entry], now: Millis) -> bool {
        let told = |entry: &id::Entry| {
            let fresh = |h: &Hold| h.entry == *entry && h.heard_at >= self.since;
            self.holds.iter().any(fresh) && self.has_vote(entry, now)
        };
        entries.iter().chain(members).all(told)
    }

    /// Returns the hold's share when the slots are divided by demand, one at a time to the hold
    /// with the fewest.
    ///
    /// Slots that no entry wants are spread over all entries, including those not heard yet, so
    /// that the loss of one entry does not take all of them.
    fn fair_share(&self, at: usize, entries: &[id::Entry], now: Millis) -> u32 {
        let live = |h: &&Hold| now < h.lease_until;
        let mut holds: Vec<&Hold> = self.holds.iter().filter(live).collect();
        let key = self.assignment.endpoint.as_str();
        holds.sort_by_cached_key(|h| rank::score(key, h.entry.as_str()));
        let own = &self.holds[at];
        let same = |h: &&Hold| h.entry == own.entry && h.incarnation == own.incarnation;
        let Some(own) = holds.iter().position(same) else {
            return 0;
        };
        let unheard = |entry: &&id::Entry| !holds.iter().any(|h| h.entry == **entry);
        let unheard = entries.iter().filter(unheard).count();
        let lapsed = self.holds.iter().filter(|h| now >= h.lease_until);
        let lost: u32 = lapsed.map(|h| h.granted).sum();
        let mut wants: Vec<u32> = holds.iter().map(|h| h.want).collect();
        wants.resize(holds.len() + unheard, 0);
        divide(self.allowed_slots().saturating_sub(lost), &wants)[own]
    }
}

/// Divides `slots` one at a time: each goes to the holder with the fewest of those that want more,
/// then to the holder with the fewest.
fn divide(slots: u32, wants: &[u32]) -> Vec<u32> {
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
        self.voted_at = vote.or(self.voted_at);
        self.heard_at = now;
        self.lease_until = now + LEASE_SPAN;
    }

    /// Returns whether a request may still run under the hold, or under a lease from a new arbiter
    /// that took the hold over while this one continued without votes.
    fn may_be_in_use(&self, now: Millis) -> bool {
        now < self.lease_until + self.cover.max(GRACE)
    }
}
