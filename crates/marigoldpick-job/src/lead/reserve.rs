//! Reservation of workers for tasks that need all accelerators of a worker.
//!
//! Load pattern: tasks that need all accelerators of a worker compete with many tasks that need
//! one. A small task takes each accelerator as soon as it is free, so that no worker ever becomes
//! empty. The lead therefore reserves workers that the adviser allows and that have the fewest
//! accelerators in use, up to a share of the service, and keeps their tickets valid. A task may
//! still start on a reserved worker if it ends before the worker is expected to be empty.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Step;

use super::Lead;
use super::advise::{Basis, count_fitting};
use super::room::Room;
use super::waiting::WaitingStep;
use crate::askers::Availability;
use crate::worker::Worker;

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
        self.ask(queued, missing, room, Basis::Capacity, availability, now);
        let Some(job) = self.job(&part.job) else {
            return;
        };
        let Some(stage) = job.stage(part.occurrence, part.step) else {
            return;
        };
        let claim = &job.claims[part.step as usize];
        let queue = self.queue(&job.spec.queue);
        let is_advised = queue.is_some_and(|queue| queue.policy.is_some());
        let is_good = |worker: &Worker| {
            let verdict = stage.tickets.find(&worker.node.id);
            !is_advised || verdict.is_some_and(|verdict| verdict.ticket.is_some())
        };
        let mut good: Vec<(u64, u64, usize)> = room
            .workers
            .iter()
            .map(|at| (*at, &self.workers[*at]))
            .filter(|(at, worker)| {
                worker.has_label_for(step) && is_good(worker) && room.can_start(*at, Millis::MAX)
            })
            .map(|(at, worker)| {
                let whole = count_fitting(&worker.node.capacity, claim);
                (accelerators_in(worker.used()), whole, at)
            })
            .filter(|(_, whole, _)| *whole > 0)
            .collect();
        good.sort_unstable();
        let mut left = missing as u64;
        let mut reserved = Vec::new();
        for (_, whole, at) in good {
            if left == 0 || !room.can_reserve(reserved.len()) {
                break;
            }
            left = left.saturating_sub(whole);
            reserved.push((at, self.workers[at].expected_idle(now)));
        }
        if step.gang && left > 0 {
            // A gang starts as a whole, so a reservation for part of it is of no use.
            return;
        }
        for (at, empty) in reserved {
            room.reserve(at, part, empty);
        }
    }
}
