//! Reservation of workers for tasks that need all accelerators of a worker.
//!
//! Load pattern: tasks that need all accelerators of a worker compete with many tasks that need
//! one. A small task takes each accelerator as soon as it is free, so that no worker ever becomes
//! empty. The lead therefore reserves workers that the adviser allows and that have the fewest
//! accelerators in use, up to a share of the service, and keeps their tickets valid. A task may
//! still start on a reserved worker if it ends before the worker is expected to be empty.
//!
//! Load pattern: lasting tasks run on the workers, or runs that go on far past their estimates. Only workers that can
//! take the tasks beside their lasting runs are reserved. A reserved worker takes no other work at all for
//! [`BLOCK_LIMIT`](crate::worker::BLOCK_LIMIT) at most, and then it is not reserved for as long.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Part, Step};

use super::Lead;
use super::advise::Basis;
use super::room::Room;
use super::waiting::WaitingStep;
use crate::askers::Availability;

/// Workers that are expected to be empty within the same multiple of this time count as equally soon.
const DELAY_CLASS: Millis = Millis(4_000);

/// `Reservable` is a worker that can be reserved for tasks of a step; the least is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Reservable {
    /// The class of the time until it is expected to be empty.
    delay: u64,
    /// The number of accelerators in use.
    in_use: u64,
    /// The number of tasks that it can take when it is empty.
    tasks: u64,
    /// The position of the worker.
    at: usize,
    /// When it is expected to be empty, but for lasting tasks.
    empty: Millis,
}

/// Returns whether a step needs accelerators, which small tasks fragment.
pub(super) fn has_accelerators(step: &Step) -> bool {
    !step.needs.accelerators.is_empty()
}

/// Returns the total number of accelerators in an amount.
fn accelerators_in(amount: &Amount) -> u64 {
    let counts = amount.accelerators.iter().map(|a| u64::from(a.count));
    counts.sum()
}

impl Lead {
    /// Reserves workers for the step's tasks against steps of lower rank.
    pub(super) fn reserve(
        &mut self,
        queued: &WaitingStep,
        step: &Step,
        missing: usize,
        room: &mut Room,
        availability: &mut Availability,
        now: Millis,
    ) {
        if !room.can_reserve(0) {
            return;
        }
        let part = &queued.part;
        let mut possible = self.reservable(part, room, now);
        let total = possible.iter().map(|worker| worker.tasks);
        let total = total.fold(0, u64::saturating_add);
        if total == 0 || (step.gang && total < missing as u64) {
            return;
        }
        self.ask(queued, missing, room, Basis::Capacity, availability, now);
        if let Some(request) = self.request(part) {
            possible.retain(|worker| request.is_known_to_allow(&self.workers[worker.at]));
        }
        possible.sort_unstable();
        let mut left = missing as u64;
        let mut chosen = Vec::new();
        for worker in possible {
            if left == 0 || !room.can_reserve(chosen.len()) {
                break;
            }
            left = left.saturating_sub(worker.tasks);
            chosen.push((worker.at, worker.empty));
        }
        if step.gang && left > 0 {
            // A gang starts as a whole, so a reservation for part of it is of no use.
            return;
        }
        if step.gang {
            let last = chosen.iter().map(|(_, empty)| *empty).max();
            chosen
                .iter_mut()
                .for_each(|(_, empty)| *empty = last.unwrap_or(now));
        }
        for (at, empty) in chosen {
            if now < empty || self.workers[at].block(now) {
                room.reserve(at, part, empty);
            }
        }
    }

    /// Returns the workers of a room that can take tasks of a step once the runs there that are expected to end have
    /// ended.
    fn reservable(&self, part: &Part, room: &Room, now: Millis) -> Vec<Reservable> {
        let Some(request) = self.request(part) else {
            return Vec::new();
        };
        let reservable = |at: usize| {
            let worker = &self.workers[at];
            if !worker.is_reservable(now) || !room.can_start(at, Millis::MAX) {
                return None;
            }
            let tasks = request.tasks_at(worker, Millis::MAX, now);
            let empty = worker.expected_idle(now);
            (tasks > 0).then(|| Reservable {
                delay: empty.since(now).0 / DELAY_CLASS.0,
                in_use: accelerators_in(worker.used()),
                tasks,
                at,
                empty,
            })
        };
        let positions = room.workers.iter();
        positions.filter_map(|at| reservable(*at)).collect()
    }
}
