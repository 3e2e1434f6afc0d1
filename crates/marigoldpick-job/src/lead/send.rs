//! Sending of orders: each gets a number, by which its answer is told apart.

use marigoldpick_core::work::port::Order;

use super::Lead;
use crate::action::Action;

impl Lead {
    /// Sends an order and returns its number.
    pub(super) fn send_order(&mut self, worker: usize, order: Order) -> u64 {
        self.push_order(worker, order, false)
    }

    /// Sends a repeated order or a probe, and returns its number.
    ///
    /// An earlier order to the worker has no answer yet and may block what follows it on the same path.
    pub(super) fn send_retry(&mut self, worker: usize, order: Order) -> u64 {
        self.push_order(worker, order, true)
    }

    fn push_order(&mut self, worker: usize, order: Order, is_retry: bool) -> u64 {
        let target = self.workers[worker].target();
        self.last_order += 1;
        let number = self.last_order;
        self.actions.push(Action::Order {
            target,
            order,
            number,
            is_retry,
        });
        number
    }
}
