//! Requests to the control thread, and the state that it publishes to the other threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};

use arc_swap::ArcSwapOption;
use futures::channel::oneshot;
use marigoldpick_core::clock::System;
use marigoldpick_core::prelude::*;
use marigoldpick_core::team::Overview;
use marigoldpick_core::work::peer::{Answer, Call, Receipt};
use marigoldpick_core::work::{Access, Job, Phase, explain};

use crate::access;
use crate::config::Active;

/// `Request` is a request to the control thread.
#[derive(Debug)]
pub(crate) enum Request {
    /// Stores a job that was submitted when the store had the given revision or a higher one.
    Submit(id::Job, Arc<Job>, u64, oneshot::Sender<Receipt>),
    /// Cancels a job that the caller may cancel.
    Cancel(id::Job, Access, oneshot::Sender<Receipt>),
    /// Returns the phase of a job that the caller may see.
    Phase(
        id::Job,
        Access,
        oneshot::Sender<Result<Option<Phase>, Code>>,
    ),
    /// Returns the number of jobs of a queue that wait.
    Waiting(Name, oneshot::Sender<Result<u64, Code>>),
    /// Returns what this entry knows of the teams.
    Teams(oneshot::Sender<Overview>),
    /// Returns where a job would go, without accepting it.
    Explain(Arc<Job>, oneshot::Sender<explain::Answer>),
    /// Handles a call of another entry.
    Peer(Call, oneshot::Sender<Result<Answer, Code>>),
    /// Announces that the process is about to end; a lead hands its term over.
    Drain,
}

/// `Shared` is the state that the control thread shares with the other threads.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// The clock of all times in the process.
    pub(crate) clock: System,
    /// Whether callers need keys, and how fresh the configuration must be.
    pub(crate) access: access::Policy,
    /// The configuration in force.
    pub(crate) config: ArcSwapOption<Active>,
    /// Whether the process is about to end.
    pub(crate) draining: AtomicBool,
    /// Whether callers can be served here; false until the store has answered once.
    pub(crate) connected: AtomicBool,
    /// The highest revision that the store is known to have had.
    pub(crate) seen_revision: AtomicU64,
    /// The delay after which a caller that is refused now should retry, in milliseconds.
    pub(crate) retry_after: AtomicU64,
}
