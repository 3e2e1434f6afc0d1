//! The actions that a lead requests from its driver.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Part;
use marigoldpick_core::work::lease::Bound;
use marigoldpick_core::work::port::{Order, Target};

use crate::lead::roster;

/// `Action` is one action to take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an order to a worker; the answer goes to [`crate::Lead::handle_reply`].
    Order {
        /// The worker.
        target: Target,
        /// The order.
        order: Order,
        /// The number of the order, which its answer is told apart by.
        number: u64,
        /// Whether an earlier order to the worker has no answer yet, so that this one should take another path.
        is_retry: bool,
    },
    /// Asks the adviser through an entry; the answer goes to [`crate::Lead::handle_advice`].
    Ask {
        /// The entry that sends the question.
        asker: id::Entry,
        /// The step.
        part: Part,
        /// The workers to ask about, sorted.
        workers: Vec<id::Worker>,
        /// The timeout of the answer.
        limit: Millis,
    },
    /// Writes records under the lead's term; the outcome goes to [`crate::Lead::handle_commit`].
    Commit(Batch),
}

/// `Batch` is a group of records to write in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The records to write, as pairs of job and text.
    pub records: Vec<(id::Job, String)>,
    /// The jobs to delete.
    pub forgotten: Vec<id::Job>,
    /// Silent workers whose leases the lead does not renew before a later batch leaves them out, sorted.
    ///
    /// They replace those of the batch before.
    pub waivers: Vec<Bound>,
    /// The parts of the roster to write.
    pub roster: Vec<roster::Part>,
    /// Whether the store has all runs of this lead and of earlier ones once it has the batch.
    pub settled: bool,
}
