//! Provides job kinds: sets of similar jobs of one team whose tasks share one placement decision.

use std::collections::VecDeque;

use fxhash::FxHashMap;
use marigoldpick_core::intent::{Class, Job, Priority, Spread, Where};
use marigoldpick_core::prelude::*;

use crate::estimate::Estimate;
use crate::health;
use crate::size::Size;

/// Number of kinds from which on a new kind replaces one without jobs.
const MAX_KINDS: usize = 2_000;

/// `Key` is the set of properties that all jobs of a kind share.
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

/// `Waiter` refers to a job that waits in the queue of a kind, has a claim or displaces runs.
///
/// It is stale if the job in the slot has another order by now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The slot of the job.
    pub job: u32,
    /// The position of the job in the order of arrivals.
    pub order: u64,
}

/// `Block` is the reason why the tasks of a kind can't be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Block {
    /// No worker has room.
    Room,
    /// The quota of the team is used up.
    Quota,
    /// The rate of restarts of lost tasks is limited.
    Paced,
    /// No worker is known that has the accelerators.
    Accelerators,
}

/// `Kind` is a set of similar jobs with a queue and learnt properties.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The slot of the team.
    pub team: u32,
    /// The class.
    pub class: Class,
    /// The priority.
    pub priority: Priority,
    /// The declared needs of a task.
    pub needs: Amount,
    /// Where the tasks may run.
    pub place: Where,
    /// Number of jobs of this kind that have not ended.
    pub jobs: u32,
    /// Jobs with waiting tasks, in order of arrival.
    pub queue: VecDeque<Waiter>,
    /// Whether the scheduler lists the kind among those with a queue.
    pub active: bool,
    /// The reason why the tasks can't be placed now, if any.
    pub block: Option<Block>,
    /// The declared needs as a size, once all accelerator kinds are known.
    pub declared: Option<Size>,
    /// The resources to allocate to a task.
    pub request: Size,
    /// Whether a task is never allocated less than the declared size.
    pub at_least_declared: bool,
    /// Learnt sizes and run times.
    pub estimate: Estimate,
    /// The health record of its runs.
    pub health: health::Kind,
    /// The record of runs that had too little memory, against successful runs.
    pub shortages: health::Kind,
    /// Until when no task starts, because the kind is at fault for failures.
    pub backoff_until: Millis,
    /// Number of such backoffs in a row.
    pub backoffs: u32,
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
            request: Size::default(),
            at_least_declared: job.class == Class::Service || !job.idempotent,
            estimate: Estimate::default(),
            health: health::Kind::default(),
            shortages: health::Kind::default(),
            backoff_until: Millis::ZERO,
            backoffs: 0,
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
    /// Returns the slot of a job's kind, which is added if it is new.
    ///
    /// # Panics
    /// Panics beyond 2^32 kinds.
    pub fn slot(&mut self, job: &Job, team: u32) -> u32 {
        let key = key(job);
        if let Some(&slot) = self.by_key.get(&key) {
            return slot;
        }
        let kind = Kind::new(job, team);
        if let Some(at) = self.find_unused() {
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

    /// Returns a kind without jobs that can be replaced, once there are [`MAX_KINDS`] kinds.
    fn find_unused(&mut self) -> Option<usize> {
        if self.kinds.len() < MAX_KINDS {
            return None;
        }
        let count = self.kinds.len();
        let unused = |at: &usize| self.kinds[*at].jobs == 0 && !self.kinds[*at].active;
        let at = (0..count).map(|n| (self.next + n) % count).find(unused)?;
        self.next = at + 1;
        Some(at)
    }

    /// Returns the kind in a slot.
    #[must_use]
    pub fn get(&self, slot: u32) -> &Kind {
        &self.kinds[slot as usize]
    }

    /// Returns the kind in a slot for modification.
    pub fn get_mut(&mut self, slot: u32) -> &mut Kind {
        &mut self.kinds[slot as usize]
    }

    /// Returns all kinds.
    #[must_use]
    pub fn kinds(&self) -> &[Kind] {
        &self.kinds
    }

    /// Returns all kinds for modification.
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

/// Returns the name of a job without digits, so that `map-17` and `map-18` are of one kind.
fn stem(name: &str) -> String {
    name.chars().filter(|c| !c.is_ascii_digit()).collect()
}
