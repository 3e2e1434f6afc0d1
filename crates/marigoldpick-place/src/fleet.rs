//! Provides the workers of the shard with their capacity, usage and availability.

use fxhash::FxHashMap;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;

use crate::health;
use crate::index::Index;
use crate::size::Size;

/// Maximum number of headroom slots that are counted on one worker.
pub const MAX_HEADROOM_SLOTS: u32 = 1_000;

/// `State` is the reachability of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The worker holds a lease and answers.
    Up,
    /// The worker does not answer; its runs may continue.
    Silent,
    /// All runs of the worker have ended.
    Gone,
}

/// `Worker` is a worker of the shard.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The id of the worker.
    pub id: id::Worker,
    /// The failure domain.
    pub domain: id::Domain,
    /// The slot of the rack.
    pub rack: u32,
    /// The kind of machine.
    pub kind: Name,
    /// The total resources.
    pub size: Size,
    /// Resources of its runs, including runs that are starting or stopping.
    pub held: Size,
    /// Resources that are claimed for tasks that wait for this worker.
    pub claimed: Size,
    /// Slots of the runs on the worker.
    pub runs: Vec<u32>,
    /// The reachability.
    pub state: State,
    /// Whether an operator drains the worker.
    pub draining: bool,
    /// Whether the platform is about to remove the worker.
    pub leaving: bool,
    /// Whether the worker is in quarantine.
    pub quarantined: bool,
    /// The health record.
    pub health: health::Worker,
}

impl Worker {
    /// Returns the resources that are neither held nor claimed.
    #[must_use]
    pub fn free(&self) -> Size {
        self.size.minus(&self.held).minus(&self.claimed)
    }

    /// Returns the resources that are not held, whether claimed or not.
    #[must_use]
    pub fn free_with_claims(&self) -> Size {
        self.size.minus(&self.held)
    }

    /// Returns whether tasks may be started on the worker.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let leaving = self.draining || self.leaving;
        self.state == State::Up && !leaving && !self.quarantined
    }
}

/// `Rack` is a rack with its workers.
#[derive(Clone, Debug)]
pub struct Rack {
    /// The id of the rack.
    pub id: id::Rack,
    /// Slots of the workers in ascending order.
    pub workers: Vec<u32>,
}

/// `Fleet` holds the workers by slot; slots are never reused.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: Vec<Worker>,
    racks: Vec<Rack>,
    by_id: FxHashMap<id::Worker, u32>,
    index: Index,
    total: Size,
    headroom_size: Size,
    free_headroom_slots: u32,
    headroom_slots_by_worker: Vec<u32>,
}

impl Fleet {
    /// Adds a worker, or updates its size and location and marks it as up; returns its slot.
    ///
    /// # Panics
    /// Panics beyond 2^32 workers.
    pub fn upsert(&mut self, vm: &vm::Worker, size: Size) -> u32 {
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
            self.reindex(slot);
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
        self.reindex(slot);
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

    /// Returns all workers, including those that are gone.
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

    /// Returns the sum of the sizes of the usable workers.
    #[must_use]
    pub fn total(&self) -> &Size {
        &self.total
    }

    /// Applies `change` to a worker and updates the index.
    pub fn update(&mut self, slot: u32, change: impl FnOnce(&mut Worker)) {
        change(&mut self.workers[slot as usize]);
        self.reindex(slot);
    }

    fn reindex(&mut self, slot: u32) {
        let worker = &self.workers[slot as usize];
        let before = self.index.size_of(slot);
        let after = worker.is_usable().then_some(worker.size);
        if before != after {
            self.total = self.total.minus(&before.unwrap_or_default());
            self.total = self.total.plus(&after.unwrap_or_default());
        }
        self.index.update(slot, worker);
        self.count_headroom_slots(slot);
    }

    /// Sets the size of a headroom slot and counts the free slots of that size.
    pub fn set_headroom_size(&mut self, size: Size) {
        self.headroom_size = size;
        let count = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        (0..count).for_each(|slot| self.count_headroom_slots(slot));
    }

    /// Returns the size of a headroom slot.
    #[must_use]
    pub const fn headroom_size(&self) -> &Size {
        &self.headroom_size
    }

    /// Returns the number of headroom slots that fit into the free room.
    #[must_use]
    pub const fn free_headroom_slots(&self) -> u32 {
        self.free_headroom_slots
    }

    fn count_headroom_slots(&mut self, slot: u32) {
        let at = slot as usize;
        if self.headroom_slots_by_worker.len() <= at {
            self.headroom_slots_by_worker.resize(at + 1, 0);
        }
        let worker = &self.workers[at];
        let watched = worker.is_usable() && self.headroom_size.millicores > 0;
        let after = if watched {
            worker
                .free()
                .count_fitting(&self.headroom_size, MAX_HEADROOM_SLOTS)
        } else {
            0
        };
        let before = std::mem::replace(&mut self.headroom_slots_by_worker[at], after);
        self.free_headroom_slots = self.free_headroom_slots - before + after;
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
