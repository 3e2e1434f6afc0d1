//! The frontend for callers, which routes their requests to endpoints and returns whole answers.
//!
//! The crate `marigoldpick-route` makes the decisions, and this module does their I/O. All that it knows
//! of services, endpoints and other entries comes from the [`View`](crate::view::View).

mod accept;
mod caller;
mod dispatcher;
mod exchange;
mod forward;
mod gate;
mod once;
mod pool;
mod run;
mod slots;
mod state;
mod stream;

use std::sync::Arc;

use async_std::net::TcpListener;
use marigoldpick_core::clock::System;
use marigoldpick_core::operator;
use marigoldpick_core::peer;
use marigoldpick_core::prelude::*;
use marigoldpick_route::quorum::RESEND_WINDOW;

use crate::recorder::Trail;
use crate::view::Cell;
pub use gate::Gate;
use state::State;

/// `Settings` holds the limits of the frontend.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The timeout of a request's header; a connection that stays idle for this time is closed.
    pub header_wait: Millis,
    /// The timeout of a request's body.
    pub body_wait: Millis,
    /// The most open connections of callers.
    pub connections: usize,
    /// The most bytes of request bodies in memory.
    pub body_bytes: u64,
    /// The longest deadline that a caller may set; a longer one is shortened to it.
    pub max_deadline: Millis,
    /// How long after an entry received an attempt the load balancer may resend it to another entry.
    pub resend: Millis,
    /// Whether no earlier incarnation of an entry may still have requests running at endpoints.
    pub settled: bool,
    /// The seed of the random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            header_wait: Millis::from_secs(10),
            body_wait: Millis::from_secs(10),
            connections: 4_000,
            body_bytes: 64 << 20,
            max_deadline: Millis::from_secs(300),
            resend: RESEND_WINDOW,
            settled: false,
            seed: 0,
        }
    }
}

/// `Transport` sends calls to other entries over the inner protocol.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Sends one call and returns the answer.
    ///
    /// # Errors
    /// Fails with `PeerAway` when the call had no effect, and with a code of the 400s when it may have
    /// had one.
    fn call(
        &self,
        entry: &id::Entry,
        address: &str,
        call: peer::Call,
    ) -> impl Future<Output = Result<peer::Answer, Code>> + Send;
}

/// `Note` is an event for the time line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// The name of what happened.
    pub what: &'static str,
    /// The request or endpoint it is about.
    pub about: String,
    /// Details for people.
    pub note: String,
}

/// `Frontend` serves the callers of one entry.
#[derive(Clone, Debug)]
pub struct Frontend<T> {
    state: Arc<State<T>>,
}

impl<T: Transport> Frontend<T> {
    /// Creates a frontend and starts its maintenance task.
    #[must_use]
    pub fn new(
        settings: Settings,
        view: Cell,
        transport: T,
        clock: System,
        events: async_channel::Sender<Note>,
        trail: Trail,
    ) -> Self {
        let state = State::new(settings, view, transport, clock, events, trail);
        let state = Arc::new(state);
        async_std::task::spawn(slots::maintain(Arc::clone(&state)));
        Self { state }
    }

    /// Accepts callers until the frontend is killed.
    pub async fn serve(&self, listener: TcpListener) {
        accept::serve(Arc::clone(&self.state), listener).await;
    }

    /// Answers a call from the frontend of another entry.
    pub async fn handle_call(&self, call: peer::Call) -> peer::Answer {
        self.state.gate.pass().await;
        match call {
            peer::Call::Demand(demand) => peer::Answer::Grant(self.state.arbitrate(&demand)),
            peer::Call::Once(once) => peer::Answer::Record(self.state.handle_once(once)),
            peer::Call::Forward(forward) => forward::receive(&self.state, *forward).await,
        }
    }

    /// Refuses new requests from now on; those in flight finish and their slots are released.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Returns whether no request is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state.is_idle()
    }

    /// Returns the state of each service at this entry, sorted by name.
    #[must_use]
    pub fn status(&self) -> Vec<operator::Service> {
        self.state.status()
    }

    /// Ends the frontend at once, as the loss of the process would.
    pub fn kill(&self) {
        self.state.kill();
    }

    /// Returns the gate that pauses the frontend.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.state.gate
    }
}
