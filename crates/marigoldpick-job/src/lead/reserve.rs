//! Workers that are left to empty for tasks that need the whole of one.
//!
//! Load pattern: tasks that need all accelerators of a worker beside many that need one. Each
//! accelerator that is freed is taken by a small task, and no worker is ever empty. The workers that
//! the adviser allows and that are nearest to having room are left to empty, a share of the service at
//! most, and their tickets are kept valid. What ends before they are empty may still start there.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Step;

use super::Lead;
use super::advise::{Basis, count_fitting};
use super::headroom::Headroom;
use super::waiting::WaitingStep;
use crate::askers::Availability;
use crate::worker::Worker;

/// Tells whether a step's tasks wait for a resource that is easily split among small tasks.
pub(super) fn has_accelerators(step: &Step) -> bool {
    !step.needs.accelerators.is_empty()
}

/// Returns the accelerators of an amount.
fn accelerators_in(amount: &Amount) -> u64 {
    let counts = amount.accelerators.iter().map(|a| u64::from(a.count));
    counts.sum()
}

impl Lead {
    /// Keeps work behind from the workers that the step's tasks wait for.
    pub(super) fn reserve(
        &mut self,
        queued: &WaitingStep,
        step: &Step,
        missing: usize,
        headroom: &mut Headroom,
        availability: &mut Availability,
        now: Millis,
    ) {
        if !headroom.can_reserve(0) {
            return;
        }
        let part = &queued.part;
        self.ask(
            queued,
            missing,
            headroom,
            Basis::Capacity,
            availability,
            now,
        );
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
        let mut good: Vec<(u64, u64, usize)> = headroom
            .workers
            .iter()
            .map(|at| (*at, &self.workers[*at]))
            .filter(|(at, worker)| {
                worker.has_label_for(step)
                    && is_good(worker)
                    && headroom.can_start(*at, Millis::MAX)
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
            if left == 0 || !headroom.can_reserve(reserved.len()) {
                break;
            }
            left = left.saturating_sub(whole);
            reserved.push((at, self.workers[at].expected_idle(now)));
        }
        if step.gang && left > 0 {
            // Members alone would only wait.
            return;
        }
        for (at, empty) in reserved {
            headroom.reserve(at, empty);
        }
    }
}
