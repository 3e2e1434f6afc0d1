//! Shares one service's router between the requests that wait for its decisions.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;
use marigoldpick_core::intent;
use marigoldpick_core::prelude::*;
use marigoldpick_route::router::{Count, Input, Output, Request, Router, Want};

/// `Decision` is the router's decision on a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to an endpoint.
    Send {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Its address.
        address: Arc<str>,
    },
    /// The request is refused.
    Refuse {
        /// The reason.
        code: Code,
        /// The advised wait before another attempt.
        retry_after: Option<Millis>,
    },
}

/// `Change` is a change of an endpoint's health.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint was ejected and gets no requests.
    Ejected(id::Endpoint),
    /// The endpoint answers again.
    Restored(id::Endpoint),
}

/// `Dispatcher` hands the decisions of one service's router to its requests.
#[derive(Debug)]
pub struct Dispatcher {
    /// The service.
    pub service: id::Service,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    router: Router,
    /// The requests without a decision, by ticket.
    waiting: HashMap<u64, oneshot::Sender<Decision>>,
    /// The buffer for the router's outputs, kept for reuse.
    out: Vec<Output>,
}

impl Dispatcher {
    /// Creates a dispatcher for a service.
    #[must_use]
    pub fn new(service: intent::Service, seed: u64, now: Millis) -> Self {
        Self {
            service: service.name.clone(),
            inner: Mutex::new(Inner {
                router: Router::new(service, seed, now),
                waiting: HashMap::new(),
                out: Vec::new(),
            }),
        }
    }

    /// Passes an input to the router and returns the changes of endpoint health.
    pub fn handle(&self, input: Input, now: Millis) -> Vec<Change> {
        self.lock().handle(input, now)
    }

    /// Submits a request; the receiver resolves to the decision.
    pub fn submit(&self, request: Request, now: Millis) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        inner.waiting.insert(request.ticket, sender);
        drop(inner.handle(Input::Request(request), now));
        receiver
    }

    /// Returns the service's current counts.
    pub fn counts(&self, now: Millis) -> Count {
        self.lock().router.count(now)
    }

    /// Returns how many slots of each endpoint the service could use.
    pub fn wants(&self, me: &id::Entry, now: Millis) -> Vec<Want> {
        self.lock().router.wants(me, now)
    }

    /// Returns the service's settings.
    pub fn settings(&self) -> intent::Service {
        self.lock().router.service().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
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
                } => self.resolve(ticket, Decision::Send { endpoint, address }),
                Output::Refuse {
                    ticket,
                    code,
                    retry_after,
                } => self.resolve(ticket, Decision::Refuse { code, retry_after }),
                Output::Ejected(endpoint) => changes.push(Change::Ejected(endpoint)),
                Output::Restored(endpoint) => changes.push(Change::Restored(endpoint)),
            }
        }
        self.out = out;
        changes
    }

    fn resolve(&mut self, ticket: u64, decision: Decision) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            // A request that dropped its receiver has already cancelled at the router.
            drop(sender.send(decision));
        }
    }
}
