//! Orders to workers that another entry carries out for the lead.

use serde::{Deserialize, Serialize};

use super::port::{Fault, Order, Reply, Target};
use crate::clock::Millis;

/// `Item` is one order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its number in the session.
    pub number: u64,
    /// The worker.
    pub target: Target,
    /// The order.
    pub order: Order,
}

/// `Batch` is the orders that are sent at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The session, drawn by the lead for one term and one relaying entry.
    pub session: u64,
    /// The lead's term, under which the orders are given.
    pub term: u64,
    /// The orders.
    pub items: Vec<Item>,
    /// How long the answer may wait for the first outcome.
    pub wait: Millis,
}

/// `Outcome` is what became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The order's number.
    pub number: u64,
    /// The worker's answer.
    pub answer: Result<Reply, Fault>,
}
