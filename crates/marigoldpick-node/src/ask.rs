//! What the control thread is asked, and what it tells the other threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};

use arc_swap::ArcSwapOption;
use futures::channel::oneshot;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::peer::{Answer, Call, Receipt};
use marigoldpick_core::work::{Job, Phase};

use crate::config::Config;

/// `Ask` is a request to the control thread.
#[derive(Debug)]
pub(crate) enum Ask {
    Submit(id::Job, Arc<Job>, oneshot::Sender<Receipt>),
    Cancel(id::Job, oneshot::Sender<Receipt>),
    Phase(id::Job, oneshot::Sender<Result<Option<Phase>, Code>>),
    Waiting(Name, oneshot::Sender<Result<u64, Code>>),
    Peer(Call, oneshot::Sender<Result<Answer, Code>>),
    /// The process will end: a lead gives its term up.
    Drain,
}

/// `Shared` is what the control thread tells the others.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    pub(crate) config: ArcSwapOption<Config>,
    pub(crate) draining: AtomicBool,
    /// Whether the store has answered since the start.
    pub(crate) connected: AtomicBool,
    /// When a caller that is refused now should come again, in milliseconds.
    pub(crate) retry_after: AtomicU64,
}
