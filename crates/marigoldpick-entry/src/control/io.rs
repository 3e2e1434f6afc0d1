//! The control thread's asynchronous calls, whose answers return as messages.

use async_channel::Sender;
use async_std::task::spawn_local;
use marigoldpick_core::control::{Answer, Beat, Call, Known};
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::Store as _;
use marigoldpick_core::vm::Source as _;
use marigoldpick_core::worker::Port as _;
use marigoldpick_core::{store, vm, worker};
use marigoldpick_platform::{Store, Vms, Workers};
use marigoldpick_wire as wire;

use crate::control::message::{Message, StoreCaller};

/// The timeout for a call to another control thread.
const CALL_TIMEOUT: Millis = Millis(1_000);
/// The timeout for a survey, which examines many workers.
const SURVEY_TIMEOUT: Millis = Millis(3_000);

/// `Io` makes calls asynchronously, on the control thread's executor.
#[derive(Clone, Debug)]
pub struct Io {
    store: Store,
    workers: Workers,
    vms: Vms,
    wire: wire::Client,
    sender: Sender<Message>,
}

impl Io {
    /// Creates an `Io` from the adapters and the control thread's message queue.
    #[must_use]
    pub const fn new(
        store: Store,
        workers: Workers,
        vms: Vms,
        wire: wire::Client,
        sender: Sender<Message>,
    ) -> Self {
        Self {
            store,
            workers,
            vms,
            wire,
            sender,
        }
    }

    /// Calls the store on behalf of `caller`.
    pub fn call_store(&self, caller: StoreCaller, call: u64, request: store::Call) {
        let store = self.store.clone();
        self.spawn(async move {
            let result = store.call(request).await;
            Message::StoreAnswer {
                caller,
                call,
                result,
            }
        });
    }

    /// Calls a worker on behalf of the lead of `shard`.
    pub fn call_worker(
        &self,
        shard: id::Shard,
        worker: id::Worker,
        address: String,
        call: u64,
        request: worker::Call,
    ) {
        let workers = self.workers.clone();
        self.spawn(async move {
            let result = workers.call(&address, request).await;
            Message::WorkerAnswer {
                shard,
                worker,
                call,
                result,
            }
        });
    }

    /// Reads the VM list of a failure domain; the answer returns as a message.
    pub fn read_vms(&self, domain: id::Domain) {
        let vms = self.vms.clone();
        self.spawn(async move { Message::VmList(vms.list(&domain).await) });
    }

    /// Returns the VM list of a failure domain.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
    pub async fn list_vms(&self, domain: &id::Domain) -> Result<vm::List, Code> {
        self.vms.list(domain).await
    }

    /// Sends a heartbeat; the answer is the peer's heartbeat.
    pub fn send_beat(&self, to: Known, beat: Beat) {
        let io = self.clone();
        spawn_local(async move {
            if let Ok(Answer::Beat(answer)) =
                io.call_peer(&to, Call::Beat(beat), CALL_TIMEOUT).await
            {
                drop(io.sender.send(Message::BeatAnswer(Box::new(answer))).await);
            }
        });
    }

    /// Requests configuration entries from a peer.
    pub fn request_entries(&self, to: Known, after: u64) {
        let io = self.clone();
        self.spawn(async move {
            Message::EntriesAnswer(
                io.call_peer(&to, Call::Entries { after }, CALL_TIMEOUT)
                    .await,
            )
        });
    }

    /// Pushes configuration entries to a peer, without retry.
    ///
    /// After a lost call the peer learns from heartbeats that it is behind and requests the entries.
    pub fn push_entries(&self, to: Known, call: Call) {
        let io = self.clone();
        spawn_local(async move {
            if let Err(code) = io.call_peer(&to, call, CALL_TIMEOUT).await {
                log::debug!(target: "wire", "Could not push configuration entries; entry={} code={}.", to.entry, code.number());
            }
        });
    }

    /// Requests the endpoints of a shard from its lead.
    pub fn request_endpoints(&self, to: Known, shard: id::Shard) {
        let io = self.clone();
        self.spawn(async move {
            let result = io
                .call_peer(&to, Call::Endpoints(shard.clone()), CALL_TIMEOUT)
                .await;
            Message::EndpointsAnswer { shard, result }
        });
    }

    /// Calls another control thread.
    ///
    /// # Errors
    /// Fails with the code that the peer returned, or `PeerAway` when it does not answer.
    pub async fn call_peer(&self, to: &Known, call: Call, longest: Millis) -> Result<Answer, Code> {
        let call = wire::Call::Control(call);
        let answer = self.wire.call(to, call, longest).await;
        match answer.map_err(wire::Error::code)? {
            wire::Answer::Control(answer) => Ok(answer),
            wire::Answer::Traffic(_) | wire::Answer::Jobs(_) => Err(Code::BadRequest),
        }
    }

    /// Requests a survey from the lead of a shard.
    ///
    /// # Errors
    /// As [`Io::call_peer`].
    pub async fn request_survey(&self, to: &Known, call: Call) -> Result<Answer, Code> {
        self.call_peer(to, call, SURVEY_TIMEOUT).await
    }

    /// Runs `make` on the control thread's executor and queues its message.
    pub fn spawn(&self, make: impl Future<Output = Message> + 'static) {
        let sender = self.sender.clone();
        spawn_local(async move {
            let message = make.await;
            drop(sender.send(message).await);
        });
    }
}
