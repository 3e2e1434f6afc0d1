//! Kinds: jobs of one team that are alike, so that one decision stands for all their tasks.

use std::collections::VecDeque;

use fxhash::FxHashMap;
use marigoldpick_core::intent::{Class, Job, Priority, Spread, Where};
use marigoldpick_core::prelude::*;

use crate::size::Size;

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
}

/// `Waiter` is a job in a kind's queue; it is void when the slot has another order by now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The job's slot.
    pub job: u32,
    /// The job's place in the order of arrivals.
    pub order: u64,
}

/// `Kind` is a set of like jobs with those that wait.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The team.
    pub team: id::Team,
    /// The class.
    pub class: Class,
    /// The priority.
    pub priority: Priority,
    /// What a task was declared to need.
    pub needs: Amount,
    /// Where its tasks may run.
    pub place: Where,
    /// Jobs with waiting tasks, by arrival.
    pub queue: VecDeque<Waiter>,
    /// Whether a task did not fit when last tried, and no room has come since.
    pub blocked: bool,
    /// What is set aside for a task, once the needed accelerators are known.
    pub ask: Option<Size>,
}

/// `Table` holds the kinds by slot.
#[derive(Clone, Debug, Default)]
pub struct Table {
    kinds: Vec<Kind>,
    by_key: FxHashMap<Key, u32>,
}

impl Table {
    /// Returns the slot of a job's kind.
    ///
    /// # Panics
    /// Panics beyond 2^32 kinds.
    pub fn slot(&mut self, job: &Job) -> u32 {
        let key = key(job);
        if let Some(&slot) = self.by_key.get(&key) {
            return slot;
        }
        let slot = u32::try_from(self.kinds.len()).expect("fewer than 2^32 kinds");
        self.kinds.push(Kind {
            team: job.team.clone(),
            class: job.class,
            priority: job.priority,
            needs: job.needs.clone(),
            place: job.place.clone(),
            queue: VecDeque::new(),
            blocked: false,
            ask: None,
        });
        self.by_key.insert(key, slot);
        slot
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
    }
}

/// Returns the job's name without digits, so that `map-17` and `map-18` are of one kind.
fn stem(name: &str) -> String {
    name.chars().filter(|c| !c.is_ascii_digit()).collect()
}
