//! One service's router with the requests that wait for its decisions.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;
use marigoldpick_core::intent;
use marigoldpick_core::prelude::*;
use marigoldpick_route::router::{Count, Input, Output, Request, Router, Want};

/// `Turn` is what was decided for a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It goes to an endpoint now.
    Go {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Its address.
        address: Arc<str>,
    },
    /// It is refused.
    Refused {
        /// Why.
        code: Code,
        /// When a later try makes sense.
        retry_after: Option<Millis>,
    },
}

/// `Change` is an endpoint that was set aside or came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was set aside.
    Ejected(id::Endpoint),
    /// It answers again.
    Restored(id::Endpoint),
}

/// `Desk` serves one service.
#[derive(Debug)]
pub struct Desk {
    /// The service.
    pub service: id::Service,
    seat: Mutex<Seat>,
}

#[derive(Debug)]
struct Seat {
    router: Router,
    waiting: HashMap<u64, oneshot::Sender<Turn>>,
    out: Vec<Output>,
}

impl Desk {
    /// Opens a desk for a service.
    #[must_use]
    pub fn new(service: intent::Service, seed: u64, now: Millis) -> Self {
        Self {
            service: service.name.clone(),
            seat: Mutex::new(Seat {
                router: Router::new(service, seed, now),
                waiting: HashMap::new(),
                out: Vec::new(),
            }),
        }
    }

    /// Tells the router something; returns the endpoints whose health changed.
    pub fn tell(&self, input: Input, now: Millis) -> Vec<Change> {
        self.seat().handle(input, now)
    }

    /// Places a request; the receiver gets the decision.
    pub fn place(&self, request: Request, now: Millis) -> oneshot::Receiver<Turn> {
        let (sender, receiver) = oneshot::channel();
        let mut seat = self.seat();
        seat.waiting.insert(request.ticket, sender);
        drop(seat.handle(Input::Request(request), now));
        receiver
    }

    /// Returns a summary.
    pub fn count(&self, now: Millis) -> Count {
        self.seat().router.count(now)
    }

    /// Returns what could be used of each endpoint's slots.
    pub fn wants(&self, me: &id::Entry, now: Millis) -> Vec<Want> {
        self.seat().router.wants(me, now)
    }

    /// Returns the service's settings.
    pub fn settings(&self) -> intent::Service {
        self.seat().router.service().clone()
    }

    fn seat(&self) -> MutexGuard<'_, Seat> {
        self.seat.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Seat {
    fn handle(&mut self, input: Input, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut out = std::mem::take(&mut self.out);
        self.router.handle(input, now, &mut out);
        for output in out.drain(..) {
            match output {
                Output::Send {
                    ticket,
                    endpoint,
                    address,
                } => self.turn(ticket, Turn::Go { endpoint, address }),
                Output::Refuse {
                    ticket,
                    code,
                    retry_after,
                } => self.turn(ticket, Turn::Refused { code, retry_after }),
                Output::Ejected(endpoint) => changes.push(Change::Ejected(endpoint)),
                Output::Restored(endpoint) => changes.push(Change::Restored(endpoint)),
            }
        }
        self.out = out;
        changes
    }

    fn turn(&mut self, ticket: u64, turn: Turn) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            // A receiver that is gone has told the router so itself.
            drop(sender.send(turn));
        }
    }
}
