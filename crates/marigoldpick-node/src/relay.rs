//! Orders that other entries carry out for the lead.
//!
//! Load pattern: hundreds of workers, and an exchange with one of them for each start and each end.
//! The exchanges cost a lead far more than its decisions. One entry in each failure domain therefore
//! keeps the connections to the domain's workers, and the lead exchanges batches with it. The relay
//! decides nothing: the term fences its orders as it does the lead's own, and an order of which the
//! lead hears nothing is one without an answer, wherever it was lost.

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

/// The least workers for which orders are relayed: a lead of fewer has the time to give its own.
const LEAST_WORKERS: usize = 200;
/// The least strength of an entry that relays: it serves callers beside.
const LEAST_STRENGTH: u32 = 200;
/// How long a relay waits for the first outcome before it answers.
const WAIT: Millis = Millis(30);
/// The most orders of a batch.
const MOST: usize = 256;

/// Chooses the relays: for each failure domain the strongest other entry, if one is strong enough.
///
/// Returns the entries sorted by domain; none for a pool of few workers.
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

/// `Answer` is what became of an order that was given to a relay.
pub(crate) type Answer = Result<Reply, Fault>;

/// `Relay` is the lead's side of a session.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) known: Known,
    session: u64,
    numbers: Cell<u64>,
    queue: RefCell<VecDeque<Item>>,
    /// Who waits for the outcome of an order, sorted by its number.
    waiting: RefCell<VecDeque<(u64, oneshot::Sender<Answer>)>>,
    /// Until when it is left out.
    away: Cell<Millis>,
    /// Workers of which it brought no answer and until when it is left out for them, sorted by worker.
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

    /// Leaves it out for a worker: its own way there may be cut off.
    pub(crate) fn doubt(&self, worker: &id::Worker, until: Millis) {
        let mut doubted = self.doubted.borrow_mut();
        match doubted.binary_search_by(|(have, _)| have.cmp(worker)) {
            Ok(at) => doubted[at].1 = until,
            Err(at) => doubted.insert(at, (worker.clone(), until)),
        }
    }

    /// Tells whether orders for a worker are given to it.
    pub(crate) fn serves(&self, worker: &id::Worker, now: Millis) -> bool {
        let doubted = self.doubted.borrow();
        let found = doubted.binary_search_by(|(have, _)| have.cmp(worker));
        let is_doubted = found.is_ok_and(|at| doubted[at].1 > now);
        self.away.get() <= now && !is_doubted && !self.wake.is_closed()
    }

    /// Waits until there is an order to send, or one whose outcome is open; false once it is closed.
    pub(crate) async fn has_work(&self) -> bool {
        !self.waiting.borrow().is_empty() || self.woken.recv().await.is_ok()
    }

    /// Returns how many orders wait for their outcome.
    pub(crate) fn open(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Leaves it out until then.
    pub(crate) fn leave_out(&self, until: Millis) {
        self.away.set(until);
    }

    /// Tells whether it is left out.
    pub(crate) fn is_left_out(&self, now: Millis) -> bool {
        self.away.get() > now
    }

    /// Ends its use.
    pub(crate) fn close(&self) {
        self.wake.close();
    }

    fn nudge(&self) {
        // A full channel means that it is woken already.
        let _is_woken = self.wake.try_send(());
    }

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

    pub(crate) fn settle(&self, outcomes: Vec<Outcome>) {
        let mut waiting = self.waiting.borrow_mut();
        for outcome in outcomes {
            let found = waiting.binary_search_by_key(&outcome.number, |(number, _)| *number);
            if let Ok(at) = found
                && let Some((_, reply)) = waiting.remove(at)
            {
                // Who gave the order up needs no answer.
                let _is_gone = reply.send(outcome.answer);
            }
        }
    }

    /// Tells those that wait that nothing is known of their orders, or that they were not carried out:
    /// those that have not left, and those of the batch that the relay `refused`.
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

/// `Session` is a relay's side: the outcomes that the lead does not have yet.
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

    pub(crate) fn add(&self, outcome: Outcome) {
        self.outcomes.borrow_mut().push(outcome);
        // A full channel means that the answer is due already.
        let _is_ready = self.ready.try_send(());
    }

    /// Returns the outcomes so far, after waiting for the first one at most for `wait`.
    pub(crate) async fn collect(&self, wait: Millis) -> Vec<Outcome> {
        if wait > Millis::ZERO && self.outcomes.borrow().is_empty() {
            // The time-out means that there is nothing to tell.
            let _is_ready = timeout(wait.duration(), self.has_outcome.recv()).await;
        }
        self.outcomes.take()
    }
}
