//! What a lead asks its surroundings to do.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Part;
use marigoldpick_core::work::port::{Order, Target};

/// `Action` is one thing to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Gives an order to a worker; the answer goes to [`crate::Lead::answered`].
    Order {
        /// The worker.
        target: Target,
        /// The order.
        order: Order,
    },
    /// Asks the adviser through an entry; the answer goes to [`crate::Lead::advised`].
    Ask {
        /// The entry that asks.
        asker: id::Entry,
        /// The step.
        part: Part,
        /// The workers, sorted.
        workers: Vec<id::Worker>,
        /// How long the answer may take.
        limit: Millis,
    },
    /// Writes records under the lead's term; the outcome goes to [`crate::Lead::committed`].
    Commit(Batch),
}

/// `Batch` is a group of records that are written at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The records to write: job and text.
    pub records: Vec<(id::Job, String)>,
    /// The jobs to forget.
    pub forgotten: Vec<id::Job>,
}
