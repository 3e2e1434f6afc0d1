//! Provides the index of usable workers by free room; similar workers share a cell and one score.
//!
//! The key of a cell is the pool (workers of one kind, size and failure domain) and the level of each
//! free resource. There are four levels for each doubling of an amount, so the number of levels grows
//! with the logarithm of a worker's size and not with the number of workers.

use marigoldpick_core::prelude::*;

use crate::fleet::Worker;
use crate::size::Size;

/// Number of levels for each doubling of an amount.
const LEVELS_PER_OCTAVE: u64 = 4;

/// `Pool` is a set of workers with the same kind, size and failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The kind of machine.
    pub kind: Name,
    /// The failure domain.
    pub domain: id::Domain,
    /// The size.
    pub size: Size,
}

/// `Key` identifies a cell and orders cells by pool, then by free room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The number of the pool.
    pub pool: u16,
    /// Number of free accelerators of all kinds.
    pub accelerators: u16,
    /// The level of free processors.
    pub millicores: u8,
    /// The level of free memory.
    pub memory: u8,
}

/// `Cell` is a set of workers of one pool with about the same free room.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The key of the cell.
    pub key: Key,
    /// Slots of the workers, in no particular order.
    pub workers: Vec<u32>,
}

/// `Position` is the cell of a worker and its place within that cell.
#[derive(Clone, Copy, Debug)]
struct Position {
    key: Key,
    at: u32,
}

/// `Index` holds the cells in ascending order of their keys.
#[derive(Clone, Debug, Default)]
pub struct Index {
    pools: Vec<Pool>,
    cells: Vec<Cell>,
    positions: Vec<Option<Position>>,
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

    /// Returns the size under which a worker is indexed, if any.
    #[must_use]
    pub fn size_of(&self, slot: u32) -> Option<Size> {
        let position = self.positions.get(slot as usize).copied().flatten()?;
        Some(self.pools[position.key.pool as usize].size)
    }

    /// Updates the position of a worker from its current state.
    pub fn update(&mut self, slot: u32, worker: &Worker) {
        let at = slot as usize;
        if self.positions.len() <= at {
            self.positions.resize(at + 1, None);
        }
        let key = worker.is_usable().then(|| self.key(worker));
        match (self.positions[at], key) {
            (Some(position), Some(key)) if position.key == key => return,
            (Some(position), _) => self.remove(slot, position),
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
            accelerators: u16::try_from(free.accelerator_count()).unwrap_or(u16::MAX),
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
        self.positions[slot as usize] = Some(Position { key, at });
    }

    fn remove(&mut self, slot: u32, position: Position) {
        self.positions[slot as usize] = None;
        let Ok(at) = self
            .cells
            .binary_search_by(|cell| cell.key.cmp(&position.key))
        else {
            return;
        };
        let workers = &mut self.cells[at].workers;
        workers.swap_remove(position.at as usize);
        if let Some(&moved) = workers.get(position.at as usize) {
            self.positions[moved as usize] = Some(position);
        }
        if workers.is_empty() {
            self.cells.remove(at);
        }
    }
}

/// Returns the level of a free amount: 0 for none, then four levels for each doubling.
#[must_use]
pub fn level(amount: u64) -> u8 {
    if amount < LEVELS_PER_OCTAVE {
        return amount as u8;
    }
    let octave = u64::from(amount.ilog2());
    let step = (amount >> (octave - 2)) & (LEVELS_PER_OCTAVE - 1);
    u8::try_from((octave - 1) * LEVELS_PER_OCTAVE + step).unwrap_or(u8::MAX)
}
