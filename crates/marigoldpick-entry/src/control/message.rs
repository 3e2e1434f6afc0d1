//! What reaches the control thread.

use async_channel::{Receiver, Sender};
use marigoldpick_core::config::Target;
use marigoldpick_core::control::{Answer, Beat, Call};
use marigoldpick_core::operator::{Accepted, Ask, Explain, Problem, Status};
use marigoldpick_core::plan::Plan;
use marigoldpick_core::prelude::*;
use marigoldpick_core::{store, vm, worker};

/// `Reply` is where the answer to a message goes.
pub type Reply<T> = Sender<Result<T, Problem>>;

/// `Message` is one thing that the control thread handles.
#[derive(Debug)]
pub enum Message {
    /// An operator asks for a plan.
    Plan {
        /// The intent.
        ask: Ask,
        /// Where the plan goes.
        reply: Reply<Plan>,
    },
    /// The offers of all shards for a plan have come.
    SurveysGathered(Box<crate::control::planning::GatheredSurveys>),
    /// An operator confirms a plan.
    Confirm {
        /// The plan.
        plan: id::Plan,
        /// Where the answer goes.
        reply: Reply<Accepted>,
    },
    /// A plan that another entry made, to be confirmed here.
    PlanFetched {
        /// The plan, if an entry had it.
        plan: Option<Box<Plan>>,
        /// Where the answer to the confirm goes.
        reply: Reply<Accepted>,
    },
    /// An operator cancels jobs.
    Cancel {
        /// The jobs.
        jobs: Vec<id::Job>,
        /// Where the answer goes.
        reply: Reply<Accepted>,
    },
    /// An operator starts or ends a drain.
    Drain {
        /// What is drained.
        target: Target,
        /// Whether it starts.
        on: bool,
        /// Where the answer goes.
        reply: Reply<Accepted>,
    },
    /// What an operator wants to drain was looked for.
    DrainTargetChecked {
        /// What is to be drained.
        target: Target,
        /// Whether it exists, as far as can be told.
        result: Result<(), Code>,
        /// Where the answer goes.
        reply: Reply<Accepted>,
    },
    /// An operator asks for the state.
    Status {
        /// Where the answer goes.
        reply: Reply<Status>,
    },
    /// An operator asks about a task.
    Explain {
        /// The task.
        task: id::Task,
        /// Where the answer goes.
        reply: Reply<Explain>,
    },
    /// Another entry calls.
    Peer {
        /// The call.
        call: Call,
        /// Where the answer goes.
        reply: Sender<Result<Answer, Code>>,
    },
    /// The answer to a beat that this entry sent.
    BeatAnswer(Box<Beat>),
    /// An answer of the store.
    StoreAnswer {
        /// The part that called.
        caller: StoreCaller,
        /// The call's number there.
        call: u64,
        /// The answer.
        result: Result<store::Answer, store::Fault>,
    },
    /// An answer of a worker.
    WorkerAnswer {
        /// The shard that called.
        shard: id::Shard,
        /// The worker.
        worker: id::Worker,
        /// The call's number there.
        call: u64,
        /// The answer.
        result: Result<worker::Answer, worker::Fault>,
    },
    /// The list of VMs.
    VmList(Result<vm::List, Code>),
    /// Configuration entries from a peer.
    EntriesAnswer(Result<Answer, Code>),
    /// The endpoints of a shard from its lead.
    EndpointsAnswer {
        /// The shard.
        shard: id::Shard,
        /// The answer.
        result: Result<Answer, Code>,
    },
    /// The process is to drain: it gives up its leads.
    Resign,
    /// Somebody waits until no shard is led here.
    AwaitResigned(ResignWaiter),
    /// The control thread is to end at once.
    Shutdown,
    /// The control thread is to stand still.
    Pause(Millis),
}

/// `Part` is the machine that made a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCaller {
    /// The configuration's log.
    Config,
    /// The lead of a shard.
    Shard(id::Shard),
}

/// Sends a message that wants a reply and waits for it; `None` when the control thread has ended.
pub async fn ask<T>(
    control: &Sender<Message>,
    make: impl FnOnce(Sender<T>) -> Message,
) -> Option<T> {
    let (sender, receiver): (Sender<T>, Receiver<T>) = async_channel::bounded(1);
    control.send(make(sender)).await.ok()?;
    receiver.recv().await.ok()
}

/// `Left` is where the word goes that no shard is led here.
pub type ResignWaiter = Sender<()>;
