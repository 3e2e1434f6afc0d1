//! Relays: entries that deliver the lead's orders to the workers of a failure domain.
//!
//! Load pattern: hundreds of workers, and an exchange with a worker for each start and each end. These
//! exchanges cost the lead far more than its decisions. One entry in each failure domain therefore keeps
//! the connections to the domain's workers, and the lead exchanges batches with it. A relay decides
//! nothing: the term fences the orders that it sends as it does the lead's own, and an order whose outcome
//! does not reach the lead counts as unanswered, wherever it was lost.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use futures::channel::oneshot;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Fault, Order, Reply, Target};
use marigoldpick_core::work::relay::{Batch, Item, Outcome};
use rand::Rng;

use crate::member::Member;

/// The minimum number of workers for which orders are relayed; with fewer, the lead can send its own.
const LEAST_WORKERS: usize = 200;
/// The minimum strength of a relay, since it also serves callers.
const LEAST_STRENGTH: u32 = 200;
/// How long a relay waits for the first outcome before it answers an empty batch.
const WAIT: Millis = Millis(30);
/// The maximum number of orders in a batch.
const MOST: usize = 256;

/// Chooses as relay of each failure domain the strongest other entry, if one is strong enough.
///
/// Returns the relays sorted by domain; there are none in a pool with few workers.
#[must_use]
pub fn choose(others: &[Member], workers: usize) -> Vec<Known> {
    let mut chosen: Vec<&Member> = Vec::new();
    if workers < LEAST_WORKERS {
        return Vec::new();
    }
    for member in others.iter().filter(|m| m.strength >= LEAST_STRENGTH) {
        let domain = &member.known.domain;
        match chosen.binary_search_by(|have| have.known.domain.cmp(domain)) {
            Ok(at) if chosen[at].strength < member.strength => chosen[at] = member,
            Ok(_) => {}
            Err(at) => chosen.insert(at, member),
        }
    }
    chosen
        .into_iter()
        .map(|member| member.known.clone())
        .collect()
}

/// `Answer` is the outcome of an order.
pub(crate) type Answer = Result<Reply, Fault>;

/// `Relay` is the lead's side of a session.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) known: Known,
    session: u64,
    /// The number of the last order.
    numbers: Cell<u64>,
    /// The orders that have not been sent yet.
    queue: RefCell<VecDeque<Item>>,
    /// The orders whose outcome is pending, sorted by number, and who waits for it.
    waiting: RefCell<VecDeque<(u64, oneshot::Sender<Answer>)>>,
    /// Until when the relay is not used at all.
    away: Cell<Millis>,
    /// Workers from which the relay got no answer, sorted, and until when it is not used for them.
    doubted: RefCell<Vec<(id::Worker, Millis)>>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Relay {
    pub(crate) fn new(known: Known) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        Self {
            known,
            session: rand::rng().random(),
            numbers: Cell::new(0),
            queue: RefCell::default(),
            waiting: RefCell::default(),
            away: Cell::new(Millis::ZERO),
            doubted: RefCell::default(),
            wake,
            woken,
        }
    }

    /// Suspends the relay for one worker, from which it may be cut off.
    pub(crate) fn doubt(&self, worker: &id::Worker, until: Millis) {
        let mut doubted = self.doubted.borrow_mut();
        match doubted.binary_search_by(|(have, _)| have.cmp(worker)) {
            Ok(at) => doubted[at].1 = until,
            Err(at) => doubted.insert(at, (worker.clone(), until)),
        }
    }

    /// Returns whether the relay can be used for a worker.
    pub(crate) fn serves(&self, worker: &id::Worker, now: Millis) -> bool {
        let doubted = self.doubted.borrow();
        let found = doubted.binary_search_by(|(have, _)| have.cmp(worker));
        let is_doubted = found.is_ok_and(|at| doubted[at].1 > now);
        self.away.get() <= now && !is_doubted && !self.wake.is_closed()
    }

    /// Waits until an order is queued or its outcome pending; returns false once the relay is closed.
    pub(crate) async fn has_work(&self) -> bool {
        !self.waiting.borrow().is_empty() || self.woken.recv().await.is_ok()
    }

    /// Returns the number of orders whose outcome is pending.
    pub(crate) fn open(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Suspends the relay for all workers.
    pub(crate) fn leave_out(&self, until: Millis) {
        self.away.set(until);
    }

    /// Returns whether the relay is suspended for all workers.
    pub(crate) fn is_left_out(&self, now: Millis) -> bool {
        self.away.get() > now
    }

    /// Ends the use of the relay.
    pub(crate) fn close(&self) {
        self.wake.close();
    }

    fn nudge(&self) {
        // A full channel means that a wake-up is already pending.
        let _is_woken = self.wake.try_send(());
    }

    /// Queues an order; the receiver gets its outcome.
    pub(crate) fn enqueue(&self, target: Target, order: Order) -> oneshot::Receiver<Answer> {
        let (reply, answer) = oneshot::channel();
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
        self.queue.borrow_mut().push_back(Item {
            number,
            target,
            order,
        });
        self.waiting.borrow_mut().push_back((number, reply));
        self.nudge();
        answer
    }

    /// Takes the next batch of queued orders, which is empty if only outcomes are pending.
    pub(crate) fn take_batch(&self, term: u64) -> Batch {
        let mut queue = self.queue.borrow_mut();
        let count = queue.len().min(MOST);
        let items: Vec<Item> = queue.drain(..count).collect();
        Batch {
            session: self.session,
            term,
            wait: if items.is_empty() { WAIT } else { Millis::ZERO },
            items,
        }
    }

    /// Passes outcomes to those who wait for them.
    pub(crate) fn settle(&self, outcomes: Vec<Outcome>) {
        let mut waiting = self.waiting.borrow_mut();
        for outcome in outcomes {
            let found = waiting.binary_search_by_key(&outcome.number, |(number, _)| *number);
            if let Ok(at) = found
                && let Some((_, reply)) = waiting.remove(at)
            {
                // A sender that gave up on the order needs no answer.
                let _is_gone = reply.send(outcome.answer);
            }
        }
    }

    /// Fails all pending orders.
    ///
    /// Orders that were not sent yet and those in `refused`, a batch that the relay did not accept, were not
    /// carried out. The outcome of the others is unknown.
    pub(crate) fn give_up(&self, refused: &[u64]) {
        let unsent: Vec<u64> = self
            .queue
            .borrow_mut()
            .drain(..)
            .map(|i| i.number)
            .collect();
        for (number, reply) in self.waiting.borrow_mut().drain(..) {
            let has_left = unsent.binary_search(&number).is_err() && !refused.contains(&number);
            let fault = if has_left {
                Fault::Unknown
            } else {
                Fault::Away
            };
            let _is_gone = reply.send(Err(fault));
        }
    }
}

/// `Session` is the relay's side of a session: the outcomes that the lead does not have yet.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) number: u64,
    /// When the lead last sent a batch.
    pub(crate) used: Cell<Millis>,
    outcomes: RefCell<Vec<Outcome>>,
    ready: Sender<()>,
    has_outcome: Receiver<()>,
}

impl Session {
    pub(crate) fn new(number: u64) -> Self {
        let (ready, has_outcome) = async_channel::bounded(1);
        Self {
            number,
            used: Cell::new(Millis::ZERO),
            outcomes: RefCell::default(),
            ready,
            has_outcome,
        }
    }

    /// Adds an outcome and wakes the answer that waits for it.
    pub(crate) fn add(&self, outcome: Outcome) {
        self.outcomes.borrow_mut().push(outcome);
        // A full channel means that a wake-up is already pending.
        let _is_ready = self.ready.try_send(());
    }

    /// Takes the outcomes so far, after waiting for at most `wait` for the first one.
    pub(crate) async fn collect(&self, wait: Millis) -> Vec<Outcome> {
        if wait > Millis::ZERO && self.outcomes.borrow().is_empty() {
            // A timeout means that there is no outcome yet.
            let _is_ready = timeout(wait.duration(), self.has_outcome.recv()).await;
        }
        self.outcomes.take()
    }
}
