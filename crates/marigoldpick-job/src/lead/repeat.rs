//! Repeated orders: starts and stops that are sent again to the same worker before the first order times out.
//!
//! Load pattern: for some seconds one order in twenty gets no answer and is carried out 2 to 12 s later, or never. A start
//! that waits for its timeout, a stop and the end of that stop begins its task more than a second late.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Task;
use marigoldpick_core::work::port::Order;

use super::Lead;
use crate::open::Kind;

impl Lead {
    /// Sends the starts and stops again that have not been answered in time.
    pub(super) fn repeat_orders(&mut self, now: Millis) {
        let interval = self.settings.start_retry;
        if interval == Millis::ZERO {
            return;
        }
        for at in 0..self.workers.len() {
            for (kind, task, run) in self.workers[at].due_repeats(interval, now) {
                match kind {
                    Kind::Start => self.repeat_start(at, &task, run, now),
                    Kind::Stop => self.repeat_stop(at, &task, run, now),
                }
            }
        }
    }

    /// Sends a start again if it could be ordered for the first time now.
    fn repeat_start(&mut self, at: usize, task: &Task, run: u64, now: Millis) {
        let worker = &self.workers[at];
        let Ok(found) = worker.find_run(task, run) else {
            return;
        };
        let recorded_by = worker.runs[found].recorded_by;
        let job = self.job(&task.part.job);
        let is_recorded = job.is_some_and(|job| job.stored_revision >= recorded_by);
        if !(is_recorded || self.allows_unrecorded(now)) || self.lacks_crash_record(task, now) {
            return;
        }
        let Some(start) = self.start_order(at, task, run, now) else {
            return;
        };
        let detail = format!("worker={} run={run}", self.workers[at].node.id);
        self.log("start-repeated", task.to_string(), detail);
        self.counters.start_retries += 1;
        self.send_repeated(
            at,
            (Kind::Start, task, run),
            Order::Start(start.into()),
            now,
        );
    }

    fn repeat_stop(&mut self, at: usize, task: &Task, run: u64, now: Millis) {
        let order = Order::Stop {
            task: task.clone(),
            run,
        };
        let detail = format!("worker={} run={run}", self.workers[at].node.id);
        self.log("stop-repeated", task.to_string(), detail);
        self.counters.stop_retries += 1;
        self.send_repeated(at, (Kind::Stop, task, run), order, now);
    }

    fn send_repeated(
        &mut self,
        at: usize,
        (kind, task, run): (Kind, &Task, u64),
        order: Order,
        now: Millis,
    ) {
        if self.settings.detects_losses_early()
            && let Some(lost) = self.workers[at].orders.last(kind, task, run)
        {
            let run = self.workers[at].run_mut(task, run);
            let is_first = run.is_some_and(|run| !run.attempts.has_repeated(kind));
            let origin = if is_first {
                self.origin(&self.workers[at].node.id)
            } else {
                None
            };
            self.losses.record_retry(lost, origin.as_ref(), now);
        }
        let number = self.send_retry(at, order);
        let worker = &mut self.workers[at];
        worker.orders.add(number, kind, task, run);
        if let Some(entry) = worker.run_mut(task, run) {
            entry.attempts.repeat(kind, now);
            if kind == Kind::Start {
                // The worker may carry out this order first, and crash under it.
                entry.ordered_at = Some(now);
            }
        }
    }
}
