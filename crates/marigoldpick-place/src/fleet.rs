//! The shard's workers: their size, what is held on them, and whether they take work.

use fxhash::FxHashMap;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;

use crate::health;
use crate::index::Index;
use crate::size::Size;

/// Slots of the watched size that are counted on one worker at most.
pub const MOST_SLOTS: u32 = 1_000;

/// `State` is whether a worker answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It holds a lease and answers.
    Up,
    /// It does not answer; its runs may go on.
    Silent,
    /// All its runs have ended.
    Gone,
}

/// `Worker` is a worker of the shard.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker.
    pub id: id::Worker,
    /// The failure domain.
    pub domain: id::Domain,
    /// The rack's slot.
    pub rack: u32,
    /// The kind of machine.
    pub kind: Name,
    /// What it has.
    pub size: Size,
    /// What its runs hold, those that are being started or stopped among them.
    pub held: Size,
    /// What is set aside for tasks that wait for this worker.
    pub claimed: Size,
    /// Slots of its runs.
    pub runs: Vec<u32>,
    /// Whether it answers.
    pub state: State,
    /// Whether an operator drains it.
    pub draining: bool,
    /// Whether the platform is going to take it away.
    pub leaving: bool,
    /// Whether it is shut out by its health.
    pub quarantined: bool,
    /// The record of its runs.
    pub health: health::Worker,
}

impl Worker {
    /// Returns what is neither held nor claimed.
    #[must_use]
    pub fn free(&self) -> Size {
        self.size.minus(&self.held).minus(&self.claimed)
    }

    /// Returns what is not held, whether claimed or not.
    #[must_use]
    pub fn unheld(&self) -> Size {
        self.size.minus(&self.held)
    }

    /// Tells whether tasks may be started on it.
    #[must_use]
    pub fn usable(&self) -> bool {
        let leaving = self.draining || self.leaving;
        self.state == State::Up && !leaving && !self.quarantined
    }
}

/// `Rack` is a rack with its workers.
#[derive(Clone, Debug)]
pub struct Rack {
    /// The rack.
    pub id: id::Rack,
    /// Slots of its workers, ascending.
    pub workers: Vec<u32>,
}

/// `Fleet` holds the workers by slot; slots are never used again for another worker.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: Vec<Worker>,
    racks: Vec<Rack>,
    by_id: FxHashMap<id::Worker, u32>,
    index: Index,
    total: Size,
    watch: Size,
    slots: u32,
    slots_of: Vec<u32>,
}

impl Fleet {
    /// Adds a worker or takes over its new size and place; returns its slot.
    ///
    /// # Panics
    /// Panics beyond 2^32 workers.
    pub fn put(&mut self, vm: &vm::Worker, size: Size) -> u32 {
        let rack = self.rack_slot(&vm.rack);
        if let Some(&slot) = self.by_id.get(&vm.id) {
            self.leave_rack(slot);
            let worker = &mut self.workers[slot as usize];
            worker.domain = vm.domain.clone();
            worker.kind = vm.kind.clone();
            worker.rack = rack;
            worker.size = size;
            worker.state = State::Up;
            worker.leaving = vm.state == vm::State::Leaving;
            self.enter_rack(slot);
            self.refresh(slot);
            return slot;
        }
        let slot = u32::try_from(self.workers.len()).expect("fewer than 2^32 workers");
        self.workers.push(Worker {
            id: vm.id.clone(),
            domain: vm.domain.clone(),
            rack,
            kind: vm.kind.clone(),
            size,
            held: Size::default(),
            claimed: Size::default(),
            runs: Vec::new(),
            state: State::Up,
            draining: false,
            leaving: vm.state == vm::State::Leaving,
            quarantined: false,
            health: health::Worker::default(),
        });
        self.by_id.insert(vm.id.clone(), slot);
        self.enter_rack(slot);
        self.refresh(slot);
        slot
    }

    /// Returns the slot of a worker.
    #[must_use]
    pub fn slot(&self, id: &id::Worker) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    /// Returns a worker.
    #[must_use]
    pub fn get(&self, slot: u32) -> &Worker {
        &self.workers[slot as usize]
    }

    /// Returns all workers, gone ones among them.
    #[must_use]
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns the racks.
    #[must_use]
    pub fn racks(&self) -> &[Rack] {
        &self.racks
    }

    /// Returns the index of usable workers by free room.
    #[must_use]
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Returns the sum of the usable workers' sizes.
    #[must_use]
    pub fn total(&self) -> &Size {
        &self.total
    }

    /// Changes a worker by `change` and keeps the index.
    pub fn change(&mut self, slot: u32, change: impl FnOnce(&mut Worker)) {
        change(&mut self.workers[slot as usize]);
        self.refresh(slot);
    }

    fn refresh(&mut self, slot: u32) {
        let worker = &self.workers[slot as usize];
        let before = self.index.size_of(slot);
        let after = worker.usable().then_some(worker.size);
        if before != after {
            self.total = self.total.minus(&before.unwrap_or_default());
            self.total = self.total.plus(&after.unwrap_or_default());
        }
        self.index.put(slot, worker);
        self.count_slots(slot);
    }

    /// Counts from now on how many tasks of size `watch` would fit into the free room.
    pub fn watch(&mut self, watch: Size) {
        self.watch = watch;
        let count = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        (0..count).for_each(|slot| self.count_slots(slot));
    }

    /// Returns the size that is watched.
    #[must_use]
    pub const fn watched(&self) -> &Size {
        &self.watch
    }

    /// Returns how many tasks of the watched size fit into the free room.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    fn count_slots(&mut self, slot: u32) {
        let at = slot as usize;
        if self.slots_of.len() <= at {
            self.slots_of.resize(at + 1, 0);
        }
        let worker = &self.workers[at];
        let watched = worker.usable() && self.watch.millicores > 0;
        let after = if watched {
            worker.free().fits(&self.watch, MOST_SLOTS)
        } else {
            0
        };
        let before = std::mem::replace(&mut self.slots_of[at], after);
        self.slots = self.slots - before + after;
    }

    fn rack_slot(&mut self, id: &id::Rack) -> u32 {
        let known = self.racks.iter().position(|rack| rack.id == *id);
        let at = known.unwrap_or_else(|| {
            self.racks.push(Rack {
                id: id.clone(),
                workers: Vec::new(),
            });
            self.racks.len() - 1
        });
        u32::try_from(at).expect("fewer than 2^32 racks")
    }

    fn enter_rack(&mut self, slot: u32) {
        let rack = self.workers[slot as usize].rack;
        let workers = &mut self.racks[rack as usize].workers;
        if let Err(at) = workers.binary_search(&slot) {
            workers.insert(at, slot);
        }
    }

    fn leave_rack(&mut self, slot: u32) {
        let rack = self.workers[slot as usize].rack;
        let workers = &mut self.racks[rack as usize].workers;
        if let Ok(at) = workers.binary_search(&slot) {
            workers.remove(at);
        }
    }
}
