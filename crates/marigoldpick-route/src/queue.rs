//! Bounded queues of waiting requests: weighted fair between teams, and by class, then earliest
//! deadline inside a team.

use std::collections::BTreeMap;

use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;

/// A team's flow is removed after this time without requests.
const IDLE_LIMIT: Millis = Millis::from_secs(30);

/// `Item` is a request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The request's number at this entry.
    pub ticket: u64,
    /// The team.
    pub team: id::Team,
    /// The class.
    pub class: Class,
    /// The time by which the answer must arrive.
    pub deadline: Millis,
    /// An endpoint on which the request failed before, if any.
    pub avoid: Option<id::Endpoint>,
}

type Key = (Class, Millis, u64);

/// `Flow` is one team's queue and its account of used run time, as in weighted fair queueing.
#[derive(Clone, Debug)]
pub struct Flow {
    team: id::Team,
    weight: f64,
    /// The run time charged to the team in microseconds, divided by its weight.
    virtual_time: f64,
    in_flight: u32,
    last_active: Millis,
    items: BTreeMap<Key, Item>,
}

/// `Queue` holds the requests of one service that wait at this entry.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    flows: Vec<Flow>,
    virtual_time: f64,
    len: usize,
}

impl Queue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of a team's waiting requests.
    #[must_use]
    pub fn waiting(&self, team: &id::Team) -> usize {
        self.find(team).map_or(0, |at| self.flows[at].items.len())
    }

    /// Returns the number of a team's requests in flight.
    #[must_use]
    pub fn in_flight(&self, team: &id::Team) -> u32 {
        self.find(team).map_or(0, |at| self.flows[at].in_flight)
    }

    /// Returns the number of teams that were active recently.
    #[must_use]
    pub const fn teams(&self) -> usize {
        self.flows.len()
    }

    /// Estimates how many waiting requests are served before a new request of the team.
    #[must_use]
    pub fn count_ahead(&self, team: &id::Team, weight: u32, class: Class, deadline: Millis) -> f64 {
        if self.is_empty() {
            return 0.0;
        }
        let own = self.find(team).map_or(0, |at| {
            let before = ..(class, deadline, u64::MAX);
            self.flows[at].items.range(before).count()
        });
        let mut others = 0.0;
        for flow in self.flows.iter().filter(|flow| flow.team != *team) {
            let share = (own + 1) as f64 * flow.weight / f64::from(weight);
            others += share.min(flow.items.len() as f64);
        }
        own as f64 + others
    }

    /// Adds a flow for the team if it has none, and sets its weight.
    pub fn open_flow(&mut self, team: &id::Team, weight: u32, now: Millis) {
        let at = match self.find(team) {
            Some(at) => at,
            None => self.insert_flow(team, now),
        };
        self.flows[at].weight = f64::from(weight.max(1));
        self.flows[at].last_active = now;
    }

    /// Adds a request to its team's flow.
    pub fn push(&mut self, item: Item, now: Millis) {
        let at = match self.find(&item.team) {
            Some(at) => at,
            None => self.insert_flow(&item.team, now),
        };
        let flow = &mut self.flows[at];
        if flow.items.is_empty() {
            flow.virtual_time = flow.virtual_time.max(self.virtual_time);
        }
        let key = (item.class, item.deadline, item.ticket);
        flow.items.insert(key, item);
        self.len += 1;
    }

    /// Removes and returns the next request of the least served eligible team.
    ///
    /// A team is eligible when it has fewer than `cap` requests in flight. `accepts(n)` returns
    /// whether the offered slot is good enough for a request behind `n` others of its team. Teams
    /// whose last waiting request accepts the slot come first, then those served least; when no team
    /// accepts it, the one served least gets the slot.
    pub fn pop(&mut self, cap: u32, accepts: impl Fn(usize) -> bool) -> Option<Item> {
        let eligible = |flow: &&mut Flow| !flow.items.is_empty() && flow.in_flight < cap;
        let rank = |flow: &&mut Flow| (!accepts(flow.items.len() - 1), flow.virtual_time);
        let next = self.flows.iter_mut().filter(eligible).min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        let (_, item) = next.items.pop_first()?;
        self.virtual_time = self.virtual_time.max(next.virtual_time);
        self.len -= 1;
        Some(item)
    }

    /// Removes a request of the team by its number.
    pub fn remove(&mut self, team: &id::Team, ticket: u64) -> Option<Item> {
        let at = self.find(team)?;
        let items = &mut self.flows[at].items;
        let key = *items.keys().find(|key| key.2 == ticket)?;
        self.len -= 1;
        items.remove(&key)
    }

    /// Records that a request starts, and charges its expected cost to the team.
    pub fn record_start(&mut self, team: &id::Team, cost: f64, now: Millis) {
        if let Some(at) = self.find(team) {
            let flow = &mut self.flows[at];
            if flow.items.is_empty() {
                flow.virtual_time = flow.virtual_time.max(self.virtual_time);
            }
            if self.len == 0 {
                self.virtual_time = flow.virtual_time;
            }
            flow.in_flight += 1;
            flow.last_active = now;
            flow.virtual_time += cost / flow.weight;
        }
    }

    /// Records that a request ended, and corrects the team's charge by `correction`.
    pub fn record_end(&mut self, team: &id::Team, correction: f64, now: Millis) {
        if let Some(at) = self.find(team) {
            let flow = &mut self.flows[at];
            flow.in_flight = flow.in_flight.saturating_sub(1);
            flow.last_active = now;
            flow.virtual_time += correction / flow.weight;
        }
    }

    /// Moves the requests whose deadline has passed to `out`, and removes the flows of idle teams.
    pub fn expire(&mut self, now: Millis, out: &mut Vec<Item>) {
        let before = out.len();
        for flow in &mut self.flows {
            flow.expire(now, out);
        }
        self.len -= out.len() - before;
        self.flows.retain(|flow| !flow.is_idle(now));
    }

    fn find(&self, team: &id::Team) -> Option<usize> {
        self.flows.binary_search_by(|flow| flow.team.cmp(team)).ok()
    }

    fn insert_flow(&mut self, team: &id::Team, now: Millis) -> usize {
        let at = self.flows.partition_point(|flow| flow.team < *team);
        let flow = Flow {
            team: team.clone(),
            weight: 1.0,
            virtual_time: self.virtual_time,
            in_flight: 0,
            last_active: now,
            items: BTreeMap::new(),
        };
        self.flows.insert(at, flow);
        at
    }
}

impl Flow {
    fn is_idle(&self, now: Millis) -> bool {
        self.items.is_empty() && self.in_flight == 0 && now.since(self.last_active) >= IDLE_LIMIT
    }

    fn expire(&mut self, now: Millis, out: &mut Vec<Item>) {
        for class in [Class::Urgent, Class::Normal, Class::Low] {
            let expired = (class, Millis::ZERO, 0)..=(class, now, u64::MAX);
            while let Some((key, _)) = self.items.range(expired.clone()).next() {
                let key = *key;
                out.extend(self.items.remove(&key));
            }
        }
    }
}
