//! The messages that the control thread handles.

use async_channel::{Receiver, Sender};
use marigoldpick_core::config::Target;
use marigoldpick_core::control::{Answer, Beat, Call};
use marigoldpick_core::operator::{Accepted, Explain, PlanRequest, Problem, Status};
use marigoldpick_core::plan::Plan;
use marigoldpick_core::prelude::*;
use marigoldpick_core::{store, vm, worker};

/// `Reply` is the channel for the answer to an operator's call.
pub type Reply<T> = Sender<Result<T, Problem>>;

/// `Message` is a call, an answer or a command for the control thread.
#[derive(Debug)]
pub enum Message {
    /// An operator asks for a plan.
    Plan {
        /// The intent.
        ask: PlanRequest,
        /// The channel for the plan.
        reply: Reply<Plan>,
    },
    /// The surveys of all shards for a plan have finished.
    SurveysGathered(Box<crate::control::planning::GatheredSurveys>),
    /// An operator confirms a plan.
    Confirm {
        /// The plan's id.
        plan: id::Plan,
        /// The channel for the answer.
        reply: Reply<Accepted>,
    },
    /// The peers answered whether they hold a plan that is to be confirmed here.
    PlanFetched {
        /// The plan, if a peer held it.
        plan: Option<Box<Plan>>,
        /// The channel for the answer to the confirm.
        reply: Reply<Accepted>,
    },
    /// An operator cancels jobs.
    Cancel {
        /// The jobs.
        jobs: Vec<id::Job>,
        /// The channel for the answer.
        reply: Reply<Accepted>,
    },
    /// An operator starts or ends a drain.
    Drain {
        /// The target of the drain.
        target: Target,
        /// Whether the drain starts.
        on: bool,
        /// The channel for the answer.
        reply: Reply<Accepted>,
    },
    /// The search for the target of a drain has finished.
    DrainTargetChecked {
        /// The target of the drain.
        target: Target,
        /// Fails if the target certainly does not exist.
        result: Result<(), Code>,
        /// The channel for the answer.
        reply: Reply<Accepted>,
    },
    /// An operator asks for the status.
    Status {
        /// The channel for the answer.
        reply: Reply<Status>,
    },
    /// An operator asks about a task.
    Explain {
        /// The task.
        task: id::Task,
        /// The channel for the answer.
        reply: Reply<Explain>,
    },
    /// Another entry makes a call.
    Peer {
        /// The call.
        call: Call,
        /// The channel for the answer.
        reply: Sender<Result<Answer, Code>>,
    },
    /// The answer to a heartbeat that this entry sent.
    BeatAnswer(Box<Beat>),
    /// An answer of the store.
    StoreAnswer {
        /// The state machine that made the call.
        caller: StoreCaller,
        /// The caller's number for the call.
        call: u64,
        /// The answer.
        result: Result<store::Answer, store::Fault>,
    },
    /// An answer of a worker.
    WorkerAnswer {
        /// The shard whose lead made the call.
        shard: id::Shard,
        /// The worker.
        worker: id::Worker,
        /// The caller's number for the call.
        call: u64,
        /// The answer.
        result: Result<worker::Answer, worker::Fault>,
    },
    /// The VM list of the entry's failure domain.
    VmList(Result<vm::List, Code>),
    /// Configuration entries, or a whole state, that a peer was asked for.
    EntriesAnswer(Result<Answer, Code>),
    /// The endpoints of a shard, from its lead.
    EndpointsAnswer {
        /// The shard.
        shard: id::Shard,
        /// The answer.
        result: Result<Answer, Code>,
    },
    /// Command to drain the process and give up its leads.
    Resign,
    /// Request for an answer once no shard is led here.
    AwaitResigned(ResignWaiter),
    /// Command to end the control thread at once.
    Shutdown,
    /// Command to block the control thread for a time.
    Pause(Millis),
}

/// `StoreCaller` is the state machine that made a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCaller {
    /// The configuration log.
    Config,
    /// The lead of a shard.
    Shard(id::Shard),
}

/// Sends a message and waits for its answer; `None` when the control thread has ended.
pub async fn ask<T>(
    control: &Sender<Message>,
    make: impl FnOnce(Sender<T>) -> Message,
) -> Option<T> {
    let (sender, receiver): (Sender<T>, Receiver<T>) = async_channel::bounded(1);
    control.send(make(sender)).await.ok()?;
    receiver.recv().await.ok()
}

/// `ResignWaiter` is the channel that is signalled once no shard is led here.
pub type ResignWaiter = Sender<()>;
