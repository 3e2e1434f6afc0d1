//! The workers that a pass may place tasks on, by service, and what questions may be about.
//!
//! Load pattern: a full pool and hundreds of steps that wait. Were each step compared with each worker,
//! a pass would take longer than the tasks whose end it waits for, and the backlog would grow with it.
//! Were all of them asked about, the adviser would spend its time on steps that can't start before
//! their tickets expire; so the front of the queue asks, for the room that is free or will be soon.
//! A service is bound by the resource it has least of, be it processors, memory or accelerators.

use marigoldpick_core::prelude::*;

use crate::question::Share;
use crate::worker::Worker;

/// The most work that questions may be about against the free room, in percent.
const FREE_ROOM_PERCENT: f64 = 200.0;
/// The share of the room in use that is expected to be free while the tickets of a question hold.
const USED_ROOM_PERCENT: u32 = 25;

/// The share of a service's workers that may be left to empty for tasks in front, in percent.
const MAX_RESERVED_PERCENT: usize = 15;
/// The workers of a small service that may be.
const MIN_RESERVED: usize = 3;

/// `Room` is the open workers of a service and a bound on what is free on any of them.
#[derive(Clone, Debug)]
pub(super) struct Headroom {
    service: Name,
    /// Positions of the workers.
    pub(super) workers: Vec<usize>,
    /// The most that is free on one worker, each resource by itself.
    max_free: Amount,
    /// The free room.
    free: Amount,
    /// The room in use.
    used: Amount,
    /// What the questions of work that goes before are about.
    asked_for: Amount,
    /// Workers that are left to empty for work that goes before, sorted, and when they will be.
    reserved: Vec<(usize, Millis)>,
}

impl Headroom {
    /// Returns the rooms of all services, sorted by service.
    pub(super) fn of(workers: &[Worker], now: Millis) -> Vec<Self> {
        let mut headrooms: Vec<Self> = Vec::new();
        for (position, worker) in workers.iter().enumerate() {
            if !worker.is_registered {
                continue;
            }
            let service = &worker.node.service;
            let at = headrooms
                .binary_search_by(|headroom| headroom.service.cmp(service))
                .unwrap_or_else(|at| {
                    headrooms.insert(at, Self::empty(service.clone()));
                    at
                });
            headrooms[at].free.add(worker.free());
            headrooms[at].used.add(worker.used());
            if worker.can_take_work(now) {
                headrooms[at].add(position, worker);
            }
        }
        headrooms
    }

    fn empty(service: Name) -> Self {
        Self {
            service,
            workers: Vec::new(),
            max_free: Amount::default(),
            free: Amount::default(),
            used: Amount::default(),
            asked_for: Amount::default(),
            reserved: Vec::new(),
        }
    }

    fn add(&mut self, position: usize, worker: &Worker) {
        self.workers.push(position);
        self.max_free.widen(worker.free());
    }

    /// Finds the room of a service.
    pub(super) fn find(headrooms: &[Self], service: &Name) -> Option<usize> {
        let at = headrooms.binary_search_by(|headroom| headroom.service.cmp(service));
        at.ok()
    }

    /// Tells whether a worker may have room for a claim; if not, no worker has.
    pub(super) fn can_fit(&self, claim: &Amount) -> bool {
        self.max_free.holds(claim)
    }

    /// Tells whether a question may be about one more task with this claim.
    ///
    /// Where only a share of the workers is good, not all questions find the room they are about.
    pub(super) fn can_ask(&self, claim: &Amount, share: Share) -> bool {
        let mut wanted = self.asked_for.clone();
        wanted.add(claim);
        let mut there = self.used.share(USED_ROOM_PERCENT);
        there.add(
            &self
                .free
                .share((100.0 / share.value()).min(FREE_ROOM_PERCENT) as u32),
        );
        there.holds(&wanted)
    }

    /// Takes into account that a question is about tasks, or that work that goes first waits for room.
    pub(super) fn add_question(&mut self, claim: &Amount, tasks: usize) {
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        self.asked_for.add(&claim.times(tasks));
    }

    /// Tells whether one worker more than `more` may be reserved.
    pub(super) fn can_reserve(&self, more: usize) -> bool {
        let limit = (self.workers.len() * MAX_RESERVED_PERCENT / 100).max(MIN_RESERVED);
        self.reserved.len() + more < limit
    }

    /// Leaves a worker to empty until `empty`.
    pub(super) fn reserve(&mut self, worker: usize, empty: Millis) {
        if let Err(at) = self
            .reserved
            .binary_search_by_key(&worker, |(have, _)| *have)
        {
            self.reserved.insert(at, (worker, empty));
        }
    }

    /// Tells whether a task that ends at `end` may start on a worker: work that goes before does not
    /// wait for it there.
    pub(super) fn can_start(&self, worker: usize, end: Millis) -> bool {
        let found = self
            .reserved
            .binary_search_by_key(&worker, |(have, _)| *have);
        found.is_err() || found.is_ok_and(|at| end <= self.reserved[at].1)
    }

    /// Takes into account that tasks were placed.
    pub(super) fn update_max_free(&mut self, workers: &[Worker]) {
        let positions = std::mem::take(&mut self.workers);
        self.max_free = Amount::default();
        for position in positions {
            self.add(position, &workers[position]);
        }
    }
}
