//! Orders to workers that another entry passes on for the lead.

use serde::{Deserialize, Serialize};

use super::port::{Fault, Order, Reply, Target};
use crate::clock::Millis;

/// `Item` is a relayed order with its number and target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The order's number in the session.
    pub number: u64,
    /// The worker that the order is for.
    pub target: Target,
    /// The order.
    pub order: Order,
}

/// `Batch` is a set of orders that are sent in one message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// A session number, which the lead draws for each pair of its term and a relaying entry.
    pub session: u64,
    /// The lead's term, of which the fencing token of each order is made; see [`Target::fencing_token`].
    pub term: u64,
    /// The orders.
    pub items: Vec<Item>,
    /// How long the relaying entry may hold its answer until the first outcome.
    pub wait: Millis,
}

/// `Outcome` is the result of a relayed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The order's number.
    pub number: u64,
    /// The worker's reply, or why there was none.
    pub answer: Result<Reply, Fault>,
}
