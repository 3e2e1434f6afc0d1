//! The workers that a pass may place tasks on, by service.
//!
//! Load pattern: a full pool and hundreds of steps that wait. Were each step compared with each worker,
//! a pass would take longer than the tasks whose end it waits for, and the backlog would grow with it.

use marigoldpick_core::prelude::*;

use crate::worker::Worker;

/// `Room` is the open workers of a service and a bound on what is free on any of them.
#[derive(Clone, Debug)]
pub(super) struct Room {
    service: Name,
    /// Positions of the workers.
    pub(super) workers: Vec<usize>,
    /// The most processor time free on one worker, in millicores.
    millicores: u64,
    /// The most memory free on one worker.
    memory_mib: u64,
}

impl Room {
    /// Returns the rooms of all services, sorted by service.
    pub(super) fn of(workers: &[Worker], now: Millis) -> Vec<Self> {
        let mut rooms: Vec<Self> = Vec::new();
        for (position, worker) in workers.iter().enumerate() {
            if !worker.is_open(now) {
                continue;
            }
            let service = &worker.node.service;
            let at = rooms
                .binary_search_by(|room| room.service.cmp(service))
                .unwrap_or_else(|at| {
                    rooms.insert(at, Self::empty(service.clone()));
                    at
                });
            rooms[at].add(position, worker);
        }
        rooms
    }

    const fn empty(service: Name) -> Self {
        Self {
            service,
            workers: Vec::new(),
            millicores: 0,
            memory_mib: 0,
        }
    }

    fn add(&mut self, position: usize, worker: &Worker) {
        self.workers.push(position);
        self.millicores = self.millicores.max(worker.free().millicores);
        self.memory_mib = self.memory_mib.max(worker.free().memory_mib);
    }

    /// Finds the room of a service.
    pub(super) fn find(rooms: &[Self], service: &Name) -> Option<usize> {
        let at = rooms.binary_search_by(|room| room.service.cmp(service));
        at.ok()
    }

    /// Tells whether a worker may have room for a claim; if not, no worker has.
    pub(super) fn may_hold(&self, claim: &Amount) -> bool {
        claim.millicores <= self.millicores && claim.memory_mib <= self.memory_mib
    }

    /// Takes into account that tasks were placed.
    pub(super) fn shrink(&mut self, workers: &[Worker]) {
        let positions = std::mem::take(&mut self.workers);
        (self.millicores, self.memory_mib) = (0, 0);
        for position in positions {
            self.add(position, &workers[position]);
        }
    }
}
