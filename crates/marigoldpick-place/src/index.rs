//! The index of usable workers by free room: like workers share a cell and are scored once.
//!
//! A cell's key is the pool (workers of one kind, size and failure domain) and the level of each
//! part of the free room. Levels grow by a quarter of an octave, so their count grows with the
//! logarithm of a worker's size and not with the count of workers.

use marigoldpick_core::prelude::*;

use crate::fleet::Worker;
use crate::size::Size;

/// Steps of a level in each doubling.
const STEPS: u64 = 4;

/// `Pool` is a kind of worker that the index keeps apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The kind of machine.
    pub kind: Name,
    /// The failure domain.
    pub domain: id::Domain,
    /// The size.
    pub size: Size,
}

/// `Key` orders the cells: by pool, then by the levels of free room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The pool's number.
    pub pool: u16,
    /// Free accelerators of all kinds.
    pub accelerators: u16,
    /// The level of free processors.
    pub millicores: u8,
    /// The level of free memory.
    pub memory: u8,
}

/// `Cell` is a set of workers with about the same free room.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Its key.
    pub key: Key,
    /// Slots of its workers, in no order.
    pub workers: Vec<u32>,
}

/// `Place` is where a worker stands in the index.
#[derive(Clone, Copy, Debug)]
struct Place {
    key: Key,
    at: u32,
}

/// `Index` is the set of cells, ascending by key.
#[derive(Clone, Debug, Default)]
pub struct Index {
    pools: Vec<Pool>,
    cells: Vec<Cell>,
    places: Vec<Option<Place>>,
}

impl Index {
    /// Returns the pools by number.
    #[must_use]
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Returns the cells, none of them empty.
    #[must_use]
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }

    /// Returns the size under which a worker is indexed, if it is.
    #[must_use]
    pub fn size_of(&self, slot: u32) -> Option<Size> {
        let place = self.places.get(slot as usize).copied().flatten()?;
        Some(self.pools[place.key.pool as usize].size)
    }

    /// Takes over a worker's state.
    pub fn put(&mut self, slot: u32, worker: &Worker) {
        let at = slot as usize;
        if self.places.len() <= at {
            self.places.resize(at + 1, None);
        }
        let key = worker.usable().then(|| self.key(worker));
        match (self.places[at], key) {
            (Some(place), Some(key)) if place.key == key => return,
            (Some(place), _) => self.take(slot, place),
            (None, _) => {}
        }
        if let Some(key) = key {
            self.insert(slot, key);
        }
    }

    fn key(&mut self, worker: &Worker) -> Key {
        let free = worker.free();
        Key {
            pool: self.pool(worker),
            accelerators: u16::try_from(free.accelerator_sum()).unwrap_or(u16::MAX),
            millicores: level(free.millicores),
            memory: level(free.memory),
        }
    }

    fn pool(&mut self, worker: &Worker) -> u16 {
        let same = |pool: &Pool| {
            pool.size == worker.size && pool.kind == worker.kind && pool.domain == worker.domain
        };
        let at = self.pools.iter().position(same).unwrap_or_else(|| {
            self.pools.push(Pool {
                kind: worker.kind.clone(),
                domain: worker.domain.clone(),
                size: worker.size,
            });
            self.pools.len() - 1
        });
        u16::try_from(at).expect("fewer than 2^16 kinds of worker")
    }

    fn insert(&mut self, slot: u32, key: Key) {
        let cell = match self.cells.binary_search_by(|cell| cell.key.cmp(&key)) {
            Ok(at) => &mut self.cells[at],
            Err(at) => {
                let workers = Vec::new();
                self.cells.insert(at, Cell { key, workers });
                &mut self.cells[at]
            }
        };
        let at = u32::try_from(cell.workers.len()).expect("fewer than 2^32 workers");
        cell.workers.push(slot);
        self.places[slot as usize] = Some(Place { key, at });
    }

    fn take(&mut self, slot: u32, place: Place) {
        self.places[slot as usize] = None;
        let Ok(at) = self.cells.binary_search_by(|cell| cell.key.cmp(&place.key)) else {
            return;
        };
        let workers = &mut self.cells[at].workers;
        workers.swap_remove(place.at as usize);
        if let Some(&moved) = workers.get(place.at as usize) {
            self.places[moved as usize] = Some(place);
        }
        if workers.is_empty() {
            self.cells.remove(at);
        }
    }
}

/// Returns the level of a free amount: zero for nothing, then four levels to an octave.
#[must_use]
pub fn level(amount: u64) -> u8 {
    if amount < STEPS {
        return amount as u8;
    }
    let octave = u64::from(amount.ilog2());
    let step = (amount >> (octave - 2)) & (STEPS - 1);
    u8::try_from((octave - 1) * STEPS + step).unwrap_or(u8::MAX)
}
