//! Carries out what the control machines ask for; each answer comes back as a message.

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

use crate::control::message::{Message, Part};

/// The longest wait for an answer of another control thread.
const CALL: Millis = Millis(1_000);
/// The longest wait for a survey, which looks at many workers.
const SURVEY: Millis = Millis(3_000);

/// `Io` makes calls on the control thread's executor.
#[derive(Clone, Debug)]
pub struct Io {
    store: Store,
    workers: Workers,
    vms: Vms,
    wire: wire::Client,
    sender: Sender<Message>,
}

impl Io {
    /// Joins the adapters with the way back to the control thread.
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

    /// Makes a call to the store for `part`.
    pub fn store(&self, part: Part, call: u64, request: store::Call) {
        let store = self.store.clone();
        self.send(async move {
            let result = store.call(request).await;
            Message::Store { part, call, result }
        });
    }

    /// Makes a call to a worker for the lead of `shard`.
    pub fn worker(
        &self,
        shard: id::Shard,
        worker: id::Worker,
        address: String,
        call: u64,
        request: worker::Call,
    ) {
        let workers = self.workers.clone();
        self.send(async move {
            let result = workers.call(&address, request).await;
            Message::Worker {
                shard,
                worker,
                call,
                result,
            }
        });
    }

    /// Reads the list of VMs.
    pub fn vms(&self, domain: id::Domain) {
        let vms = self.vms.clone();
        self.send(async move { Message::Vms(vms.list(&domain).await) });
    }

    /// Reads the list of VMs of any failure domain.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
    pub async fn list(&self, domain: &id::Domain) -> Result<vm::List, Code> {
        self.vms.list(domain).await
    }

    /// Sends a beat; the answer comes back as one.
    pub fn beat(&self, to: Known, beat: Beat) {
        let io = self.clone();
        spawn_local(async move {
            if let Ok(Answer::Beat(answer)) = io.ask(&to, Call::Beat(beat), CALL).await {
                drop(io.sender.send(Message::Beat(Box::new(answer))).await);
            }
        });
    }

    /// Asks a peer for configuration entries.
    pub fn entries(&self, to: Known, after: u64) {
        let io = self.clone();
        self.send(
            async move { Message::Entries(io.ask(&to, Call::Entries { after }, CALL).await) },
        );
    }

    /// Brings a peer configuration entries; a lost call is made good by beats.
    pub fn push(&self, to: Known, call: Call) {
        let io = self.clone();
        spawn_local(async move {
            if let Err(code) = io.ask(&to, call, CALL).await {
                log::debug!(target: "wire", "A push failed; entry={} code={}.", to.entry, code.number());
            }
        });
    }

    /// Asks the lead of a shard for its endpoints.
    pub fn endpoints(&self, to: Known, shard: id::Shard) {
        let io = self.clone();
        self.send(async move {
            let result = io.ask(&to, Call::Endpoints(shard.clone()), CALL).await;
            Message::Endpoints { shard, result }
        });
    }

    /// Asks another control thread.
    ///
    /// # Errors
    /// Fails with the other's code, or `PeerAway` when it does not answer.
    pub async fn ask(&self, to: &Known, call: Call, longest: Millis) -> Result<Answer, Code> {
        let call = wire::Call::Control(call);
        let answer = self.wire.call(to, call, longest).await;
        match answer.map_err(wire::Error::code)? {
            wire::Answer::Control(answer) => Ok(answer),
            wire::Answer::Traffic(_) | wire::Answer::Jobs(_) => Err(Code::BadRequest),
        }
    }

    /// Asks the lead of a shard for a survey.
    ///
    /// # Errors
    /// As [`Io::ask`].
    pub async fn survey(&self, to: &Known, call: Call) -> Result<Answer, Code> {
        self.ask(to, call, SURVEY).await
    }

    /// Runs `make` on the control thread's executor and hands its message to the control thread.
    pub fn send(&self, make: impl Future<Output = Message> + 'static) {
        let sender = self.sender.clone();
        spawn_local(async move {
            let message = make.await;
            drop(sender.send(message).await);
        });
    }
}
