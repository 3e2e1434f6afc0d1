//! The face to callers: places their requests on endpoints and brings the whole answers back.
//!
//! The decisions are those of `marigoldpick-route`; this module does their I/O. It learns what there
//! is from the [`View`](crate::view::View) alone.

mod accept;
mod answer;
mod caller;
mod desk;
mod exchange;
mod forward;
mod gate;
mod once;
mod pool;
mod run;
mod slots;
mod state;

use std::sync::Arc;

use async_std::net::TcpListener;
use marigoldpick_core::clock::System;
use marigoldpick_core::operator;
use marigoldpick_core::peer;
use marigoldpick_core::prelude::*;
use marigoldpick_route::quorum::RESEND;

use crate::recorder::Trail;
use crate::view::Cell;
pub use gate::Gate;
use state::State;

/// `Settings` are the bounds of the face to callers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a caller may take to send a request's header; idle connections are closed after it.
    pub header_wait: Millis,
    /// How long a caller may take to send a request's body.
    pub body_wait: Millis,
    /// Callers' connections at one time.
    pub connections: usize,
    /// Bytes of request bodies held at one time.
    pub body_bytes: u64,
    /// The longest deadline a caller may name.
    pub longest: Millis,
    /// How long after an entry took a request the balancer may silently hand it to another one.
    pub resend: Millis,
    /// Whether no entry had an earlier incarnation whose requests may still run at endpoints.
    pub settled: bool,
    /// The seed of random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            header_wait: Millis::from_secs(10),
            body_wait: Millis::from_secs(10),
            connections: 4_000,
            body_bytes: 64 << 20,
            longest: Millis::from_secs(300),
            resend: RESEND,
            settled: false,
            seed: 0,
        }
    }
}

/// `Wire` carries calls to other entries over the inner protocol.
pub trait Wire: Clone + Send + Sync + 'static {
    /// Makes one call.
    ///
    /// # Errors
    /// Fails with `PeerAway` when the call had no effect, with a code of the 400s when it may have
    /// had one.
    fn call(
        &self,
        entry: &id::Entry,
        address: &str,
        call: peer::Call,
    ) -> impl Future<Output = Result<peer::Answer, Code>> + Send;
}

/// `Note` is something for the time line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// What happened, in a word.
    pub what: &'static str,
    /// The request or endpoint it is about.
    pub about: String,
    /// More, for people.
    pub note: String,
}

/// `Face` is the face to callers of one entry.
#[derive(Clone, Debug)]
pub struct Face<W> {
    state: Arc<State<W>>,
}

impl<W: Wire> Face<W> {
    /// Makes a face and starts its upkeep.
    #[must_use]
    pub fn new(
        settings: Settings,
        view: Cell,
        wire: W,
        clock: System,
        events: async_channel::Sender<Note>,
        trail: Trail,
    ) -> Self {
        let state = State::new(settings, view, wire, clock, events, trail);
        let state = Arc::new(state);
        async_std::task::spawn(slots::keep(Arc::clone(&state)));
        Self { state }
    }

    /// Accepts callers until the face is killed.
    pub async fn serve(&self, listener: TcpListener) {
        accept::serve(Arc::clone(&self.state), listener).await;
    }

    /// Answers a call of another entry's face.
    pub async fn peer(&self, call: peer::Call) -> peer::Answer {
        self.state.gate.pass().await;
        match call {
            peer::Call::Demand(demand) => peer::Answer::Grant(self.state.arbitrate(&demand)),
            peer::Call::Once(once) => peer::Answer::Record(self.state.register(once)),
            peer::Call::Forward(forward) => forward::receive(&self.state, *forward).await,
        }
    }

    /// Refuses new requests from now on; those in flight end and their slots are returned.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Tells whether no request is in flight.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.state.idle()
    }

    /// Returns the services as this entry routes to them, sorted by name.
    #[must_use]
    pub fn status(&self) -> Vec<operator::Service> {
        self.state.status()
    }

    /// Ends the face at once, as the death of the process would.
    pub fn kill(&self) {
        self.state.kill();
    }

    /// Returns the gate that pauses the face.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.state.gate
    }
}
