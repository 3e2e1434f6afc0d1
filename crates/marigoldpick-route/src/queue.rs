//! Bounded queues, fair between teams by weight; inside a team by class, then earliest deadline.

use std::collections::BTreeMap;

use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;

/// A team without requests is forgotten after this time.
const FORGET: Millis = Millis::from_secs(30);

/// `Item` is a request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The request's number at this entry.
    pub ticket: u64,
    /// The team.
    pub team: id::Team,
    /// The class.
    pub class: Class,
    /// When the answer must be there.
    pub deadline: Millis,
    /// An endpoint that failed the request before, if any.
    pub avoid: Option<id::Endpoint>,
}

type Key = (Class, Millis, u64);

/// `Lane` is one team's queue and account.
#[derive(Clone, Debug)]
pub struct Lane {
    team: id::Team,
    weight: f64,
    /// The work done for the team, divided by its weight.
    time: f64,
    used: u32,
    touched: Millis,
    items: BTreeMap<Key, Item>,
}

/// `Queue` holds the requests of one service that wait at this entry.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: Vec<Lane>,
    time: f64,
    len: usize,
}

impl Queue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of a team's waiting requests.
    #[must_use]
    pub fn waiting(&self, team: &id::Team) -> usize {
        self.find(team).map_or(0, |at| self.lanes[at].items.len())
    }

    /// Returns the number of a team's requests in flight.
    #[must_use]
    pub fn used(&self, team: &id::Team) -> u32 {
        self.find(team).map_or(0, |at| self.lanes[at].used)
    }

    /// Returns how many teams were seen lately.
    #[must_use]
    pub const fn teams(&self) -> usize {
        self.lanes.len()
    }

    /// Returns how many requests would be served before a new one of this team and class.
    #[must_use]
    pub fn ahead(&self, team: &id::Team, weight: u32, class: Class, deadline: Millis) -> f64 {
        if self.is_empty() {
            return 0.0;
        }
        let own = self.find(team).map_or(0, |at| {
            let before = ..(class, deadline, u64::MAX);
            self.lanes[at].items.range(before).count()
        });
        let mut others = 0.0;
        for lane in self.lanes.iter().filter(|lane| lane.team != *team) {
            let turn = (own + 1) as f64 * lane.weight / f64::from(weight);
            others += turn.min(lane.items.len() as f64);
        }
        own as f64 + others
    }

    /// Makes sure that the team has an account, and sets its weight.
    pub fn open(&mut self, team: &id::Team, weight: u32, now: Millis) {
        let at = match self.find(team) {
            Some(at) => at,
            None => self.insert(team, now),
        };
        self.lanes[at].weight = f64::from(weight.max(1));
        self.lanes[at].touched = now;
    }

    /// Adds a request; its team must have been opened.
    pub fn push(&mut self, item: Item, now: Millis) {
        let at = match self.find(&item.team) {
            Some(at) => at,
            None => self.insert(&item.team, now),
        };
        let lane = &mut self.lanes[at];
        if lane.items.is_empty() {
            lane.time = lane.time.max(self.time);
        }
        let key = (item.class, item.deadline, item.ticket);
        lane.items.insert(key, item);
        self.len += 1;
    }

    /// Takes the next request of the team that was served least, among teams below `cap` in flight
    /// for whose last waiting request the offer is good enough: `takes` tells that from how many of
    /// the team wait before it. When it is so for no team, the one served least gets the offer.
    pub fn pop(&mut self, cap: u32, takes: impl Fn(usize) -> bool) -> Option<Item> {
        let may = |lane: &&mut Lane| !lane.items.is_empty() && lane.used < cap;
        let rank = |lane: &&mut Lane| (!takes(lane.items.len() - 1), lane.time);
        let next = self.lanes.iter_mut().filter(may).min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        let (_, item) = next.items.pop_first()?;
        self.time = self.time.max(next.time);
        self.len -= 1;
        Some(item)
    }

    /// Removes a request.
    pub fn remove(&mut self, team: &id::Team, ticket: u64) -> Option<Item> {
        let at = self.find(team)?;
        let items = &mut self.lanes[at].items;
        let key = *items.keys().find(|key| key.2 == ticket)?;
        self.len -= 1;
        items.remove(&key)
    }

    /// Charges a team for a request that starts.
    pub fn start(&mut self, team: &id::Team, cost: f64, now: Millis) {
        if let Some(at) = self.find(team) {
            let lane = &mut self.lanes[at];
            if lane.items.is_empty() {
                lane.time = lane.time.max(self.time);
            }
            if self.len == 0 {
                self.time = lane.time;
            }
            lane.used += 1;
            lane.touched = now;
            lane.time += cost / lane.weight;
        }
    }

    /// Corrects a team's account when its request ends, by the difference to what was charged.
    pub fn end(&mut self, team: &id::Team, correction: f64, now: Millis) {
        if let Some(at) = self.find(team) {
            let lane = &mut self.lanes[at];
            lane.used = lane.used.saturating_sub(1);
            lane.touched = now;
            lane.time += correction / lane.weight;
        }
    }

    /// Takes out the requests whose deadline has passed, and forgets idle teams.
    pub fn expire(&mut self, now: Millis, out: &mut Vec<Item>) {
        let before = out.len();
        for lane in &mut self.lanes {
            lane.expire(now, out);
        }
        self.len -= out.len() - before;
        self.lanes.retain(|lane| !lane.is_idle(now));
    }

    fn find(&self, team: &id::Team) -> Option<usize> {
        self.lanes.binary_search_by(|lane| lane.team.cmp(team)).ok()
    }

    fn insert(&mut self, team: &id::Team, now: Millis) -> usize {
        let at = self.lanes.partition_point(|lane| lane.team < *team);
        let lane = Lane {
            team: team.clone(),
            weight: 1.0,
            time: self.time,
            used: 0,
            touched: now,
            items: BTreeMap::new(),
        };
        self.lanes.insert(at, lane);
        at
    }
}

impl Lane {
    fn is_idle(&self, now: Millis) -> bool {
        self.items.is_empty() && self.used == 0 && now.since(self.touched) >= FORGET
    }

    fn expire(&mut self, now: Millis, out: &mut Vec<Item>) {
        for class in [Class::Urgent, Class::Normal, Class::Low] {
            let due = (class, Millis::ZERO, 0)..=(class, now, u64::MAX);
            while let Some((key, _)) = self.items.range(due.clone()).next() {
                let key = *key;
                out.extend(self.items.remove(&key));
            }
        }
    }
}
