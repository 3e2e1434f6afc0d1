//! Kinds: jobs of one team that are alike, so that one decision stands for all their tasks.

use std::collections::VecDeque;

use fxhash::FxHashMap;
use marigoldpick_core::intent::{Class, Job, Priority, Spread, Where};
use marigoldpick_core::prelude::*;

use crate::estimate::Estimate;
use crate::health;
use crate::size::Size;

/// Kinds from which on those without jobs are forgotten.
const MOST: usize = 2_000;

/// `Key` is what jobs of one kind have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    team: id::Team,
    stem: String,
    command: String,
    class: Class,
    priority: Priority,
    millicores: u64,
    memory: u64,
    accelerators: Vec<(Name, u32)>,
    domains: Vec<id::Domain>,
    racks: Vec<id::Rack>,
    kinds: Vec<Name>,
    spread: u8,
    idempotent: bool,
}

/// `Waiter` is a job in a kind's queue; it is void when the slot has another order by now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The job's slot.
    pub job: u32,
    /// The job's place in the order of arrivals.
    pub order: u64,
}

/// `Block` is why a kind's tasks can't be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Block {
    /// No worker has room.
    Room,
    /// The team's quota is used up.
    Quota,
    /// Restarts of lost tasks are spread over time.
    Paced,
    /// No worker that is up has the accelerators.
    Kind,
}

/// `Kind` is a set of like jobs with those that wait.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The team's slot.
    pub team: u32,
    /// The class.
    pub class: Class,
    /// The priority.
    pub priority: Priority,
    /// What a task was declared to need.
    pub needs: Amount,
    /// Where its tasks may run.
    pub place: Where,
    /// Jobs of this kind that have not ended.
    pub jobs: u32,
    /// Jobs with waiting tasks, by arrival.
    pub queue: VecDeque<Waiter>,
    /// Whether it stands in the list of kinds with a queue.
    pub active: bool,
    /// Why its tasks can't be placed now, if so.
    pub block: Option<Block>,
    /// What a task was declared to need, once workers have the kinds of accelerators.
    pub declared: Option<Size>,
    /// What is set aside for a task.
    pub ask: Size,
    /// Whether no less than the declared size is set aside.
    pub floor: bool,
    /// Real sizes and run times.
    pub estimate: Estimate,
    /// The record of its ends.
    pub health: health::Kind,
    /// The record of its runs that had too little memory, against those that ended well.
    pub shortages: health::Kind,
    /// Until when nothing of it starts, since it fails by its own fault.
    pub hold: Millis,
    /// How often it was held.
    pub holds: u32,
}

impl Kind {
    fn new(job: &Job, team: u32) -> Self {
        Self {
            team,
            class: job.class,
            priority: job.priority,
            needs: job.needs.clone(),
            place: job.place.clone(),
            jobs: 0,
            queue: VecDeque::new(),
            active: false,
            block: None,
            declared: None,
            ask: Size::default(),
            floor: job.class == Class::Service || !job.idempotent,
            estimate: Estimate::default(),
            health: health::Kind::default(),
            shortages: health::Kind::default(),
            hold: Millis::ZERO,
            holds: 0,
        }
    }
}

/// `Table` holds the kinds by slot.
#[derive(Clone, Debug, Default)]
pub struct Table {
    kinds: Vec<Kind>,
    keys: Vec<Key>,
    by_key: FxHashMap<Key, u32>,
    next: usize,
}

impl Table {
    /// Returns the slot of a job's kind.
    ///
    /// # Panics
    /// Panics beyond 2^32 kinds.
    pub fn slot(&mut self, job: &Job, team: u32) -> u32 {
        let key = key(job);
        if let Some(&slot) = self.by_key.get(&key) {
            return slot;
        }
        let kind = Kind::new(job, team);
        if let Some(at) = self.forgettable() {
            let slot = u32::try_from(at).expect("fewer than 2^32 kinds");
            self.by_key.remove(&self.keys[at]);
            self.by_key.insert(key.clone(), slot);
            self.keys[at] = key;
            self.kinds[at] = kind;
            return slot;
        }
        let slot = u32::try_from(self.kinds.len()).expect("fewer than 2^32 kinds");
        self.kinds.push(kind);
        self.keys.push(key.clone());
        self.by_key.insert(key, slot);
        slot
    }

    /// Returns a kind without jobs, once there are many kinds.
    fn forgettable(&mut self) -> Option<usize> {
        if self.kinds.len() < MOST {
            return None;
        }
        let count = self.kinds.len();
        let unused = |at: &usize| self.kinds[*at].jobs == 0 && !self.kinds[*at].active;
        let at = (0..count).map(|n| (self.next + n) % count).find(unused)?;
        self.next = at + 1;
        Some(at)
    }

    /// Returns a kind.
    #[must_use]
    pub fn get(&self, slot: u32) -> &Kind {
        &self.kinds[slot as usize]
    }

    /// Returns a kind to be changed.
    pub fn get_mut(&mut self, slot: u32) -> &mut Kind {
        &mut self.kinds[slot as usize]
    }

    /// Returns all kinds.
    #[must_use]
    pub fn kinds(&self) -> &[Kind] {
        &self.kinds
    }

    /// Returns all kinds to be changed.
    pub fn kinds_mut(&mut self) -> &mut [Kind] {
        &mut self.kinds
    }
}

fn key(job: &Job) -> Key {
    Key {
        team: job.team.clone(),
        stem: stem(job.name.as_str()),
        command: job.command.clone(),
        class: job.class,
        priority: job.priority,
        millicores: job.needs.millicores,
        memory: job.needs.memory_mib,
        accelerators: job
            .needs
            .accelerators
            .iter()
            .map(|a| (a.kind.clone(), a.count))
            .collect(),
        domains: job.place.domains.clone(),
        racks: job.place.racks.clone(),
        kinds: job.place.kinds.clone(),
        spread: match job.place.spread {
            Spread::None => 0,
            Spread::Worker => 1,
            Spread::Rack => 2,
            Spread::Domain => 3,
        },
        idempotent: job.idempotent,
    }
}

/// Returns the job's name without digits, so that `map-17` and `map-18` are of one kind.
fn stem(name: &str) -> String {
    name.chars().filter(|c| !c.is_ascii_digit()).collect()
}
