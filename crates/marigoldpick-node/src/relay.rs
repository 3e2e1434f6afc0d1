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

/// The minimum number of workers for which orders are relayed; with fewer, the lead has time to send its own.
const MIN_WORKERS: usize = 200;
/// The minimum strength of a relay, since it also serves callers.
const MIN_STRENGTH: u32 = 200;
/// How long a relay waits for the first outcome before it answers an empty batch.
const OUTCOME_WAIT: Millis = Millis(30);
/// The maximum number of orders in a batch.
const MAX_BATCH_ORDERS: usize = 256;

/// `Pair` is the relays of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The relay of all orders that are not retried.
    pub first: Known,
    /// The relay of retried orders, if another entry of the domain is strong enough.
    pub second: Option<Known>,
}

/// Chooses a relay for each failure domain: the strongest other entry, if strong enough.
///
/// Returns the relays sorted by domain; there are none in a pool with few workers.
#[must_use]
pub fn choose(peers: &[Member], workers: usize) -> Vec<Known> {
    if workers < MIN_WORKERS {
        return Vec::new();
    }
    strongest_by_domain(peers.iter())
}

/// Chooses the relays as [`choose`] does, and beside each the next strongest entry of its domain, if strong enough.
///
/// Load pattern: the connection to a relay stalls, as after a lost packet, while the domain's workers are healthy. A
/// retried order on the same connection would wait behind the same packet.
#[must_use]
pub fn choose_pairs(peers: &[Member], workers: usize) -> Vec<Pair> {
    let firsts = choose(peers, workers);
    let others = peers.iter().filter(|peer| !firsts.contains(&peer.known));
    let seconds = strongest_by_domain(others);
    let pair = |first: Known| {
        let found = seconds.binary_search_by(|second| second.domain.cmp(&first.domain));
        let second = found.ok().map(|at| seconds[at].clone());
        Pair { first, second }
    };
    firsts.into_iter().map(pair).collect()
}

/// Returns the strongest member of each failure domain that is strong enough for a relay, sorted by domain.
fn strongest_by_domain<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<Known> {
    let mut chosen: Vec<&Member> = Vec::new();
    for member in members.filter(|m| m.strength >= MIN_STRENGTH) {
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

/// `Relay` is the lead's side of a session, the exchange of batches with one relay.
#[derive(Debug)]
pub(crate) struct Relay {
    /// The entry that relays.
    pub(crate) known: Known,
    /// The random number of the session.
    session: u64,
    /// The number of the last order.
    last_number: Cell<u64>,
    /// The orders that have not been sent yet.
    queue: RefCell<VecDeque<Item>>,
    /// The orders whose outcome is pending, sorted by number, and who waits for it.
    pending: RefCell<VecDeque<(u64, oneshot::Sender<Answer>)>>,
    /// When the last order was queued.
    last_used: Cell<Millis>,
    /// Until when the relay is not used at all.
    suspended_until: Cell<Millis>,
    /// Workers from which the relay got no answer, sorted, and until when it is not used for them.
    suspended_workers: RefCell<Vec<(id::Worker, Millis)>>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl Relay {
    pub(crate) fn new(known: Known) -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        Self {
            known,
            session: rand::rng().random(),
            last_number: Cell::new(0),
            queue: RefCell::default(),
            pending: RefCell::default(),
            last_used: Cell::new(Millis::ZERO),
            suspended_until: Cell::new(Millis::ZERO),
            suspended_workers: RefCell::default(),
            wake_sender,
            wake_receiver,
        }
    }

    /// Suspends the relay for one worker, from which it may be cut off.
    pub(crate) fn suspend_for_worker(&self, worker: &id::Worker, until: Millis) {
        let mut suspended_workers = self.suspended_workers.borrow_mut();
        match suspended_workers.binary_search_by(|(have, _)| have.cmp(worker)) {
            Ok(at) => suspended_workers[at].1 = until,
            Err(at) => suspended_workers.insert(at, (worker.clone(), until)),
        }
    }

    /// Returns whether the relay can be used for a worker.
    pub(crate) fn can_serve(&self, worker: &id::Worker, now: Millis) -> bool {
        let suspended_workers = self.suspended_workers.borrow();
        let found = suspended_workers.binary_search_by(|(have, _)| have.cmp(worker));
        let is_worker_suspended = found.is_ok_and(|at| suspended_workers[at].1 > now);
        self.suspended_until.get() <= now && !is_worker_suspended && !self.wake_sender.is_closed()
    }

    /// Waits until there is an order to send or an outcome is pending.
    ///
    /// Returns false if the relay is closed and no outcome is pending.
    pub(crate) async fn has_work(&self) -> bool {
        !self.pending.borrow().is_empty() || self.wake_receiver.recv().await.is_ok()
    }

    /// Returns the number of orders whose outcome is pending.
    pub(crate) fn pending_count(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Returns for how long no order was queued or pending.
    pub(crate) fn unused_time(&self, now: Millis) -> Millis {
        if self.pending.borrow().is_empty() {
            now.since(self.last_used.get())
        } else {
            Millis::ZERO
        }
    }

    /// Suspends the relay for all workers.
    pub(crate) fn suspend(&self, until: Millis) {
        self.suspended_until.set(until);
    }

    /// Returns whether the relay is suspended for all workers.
    pub(crate) fn is_suspended(&self, now: Millis) -> bool {
        self.suspended_until.get() > now
    }

    /// Ends the use of the relay.
    pub(crate) fn close(&self) {
        self.wake_sender.close();
    }

    /// Wakes the loop that exchanges batches with the relay.
    fn wake_loop(&self) {
        // A full channel means that a wake-up is already pending.
        let _is_woken = self.wake_sender.try_send(());
    }

    /// Queues an order; the receiver gets its outcome.
    pub(crate) fn enqueue(
        &self,
        target: Target,
        order: Order,
        now: Millis,
    ) -> oneshot::Receiver<Answer> {
        let (reply, answer) = oneshot::channel();
        self.last_used.set(now);
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.queue.borrow_mut().push_back(Item {
            number,
            target,
            order,
        });
        self.pending.borrow_mut().push_back((number, reply));
        self.wake_loop();
        answer
    }

    /// Takes the next batch of queued orders, which is empty if only outcomes are pending.
    pub(crate) fn take_batch(&self, term: u64) -> Batch {
        let mut queue = self.queue.borrow_mut();
        let count = queue.len().min(MAX_BATCH_ORDERS);
        let items: Vec<Item> = queue.drain(..count).collect();
        Batch {
            session: self.session,
            term,
            wait: if items.is_empty() {
                OUTCOME_WAIT
            } else {
                Millis::ZERO
            },
            items,
        }
    }

    /// Passes outcomes to those who wait for them.
    pub(crate) fn resolve(&self, outcomes: Vec<Outcome>) {
        let mut pending = self.pending.borrow_mut();
        for outcome in outcomes {
            let found = pending.binary_search_by_key(&outcome.number, |(number, _)| *number);
            if let Ok(at) = found
                && let Some((_, reply)) = pending.remove(at)
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
    pub(crate) fn fail_pending(&self, refused: &[u64]) {
        let unsent: Vec<u64> = self
            .queue
            .borrow_mut()
            .drain(..)
            .map(|i| i.number)
            .collect();
        for (number, reply) in self.pending.borrow_mut().drain(..) {
            let is_sent = unsent.binary_search(&number).is_err() && !refused.contains(&number);
            let fault = if is_sent { Fault::Unknown } else { Fault::Away };
            let _is_gone = reply.send(Err(fault));
        }
    }
}

/// `Session` is the relay's side of a session: the outcomes that the lead does not have yet.
#[derive(Debug)]
pub(crate) struct Session {
    /// The number that the lead chose.
    pub(crate) number: u64,
    /// When the lead last sent a batch.
    pub(crate) last_used: Cell<Millis>,
    /// The outcomes since the last answer.
    outcomes: RefCell<Vec<Outcome>>,
    ready_sender: Sender<()>,
    ready_receiver: Receiver<()>,
}

impl Session {
    pub(crate) fn new(number: u64) -> Self {
        let (ready_sender, ready_receiver) = async_channel::bounded(1);
        Self {
            number,
            last_used: Cell::new(Millis::ZERO),
            outcomes: RefCell::default(),
            ready_sender,
            ready_receiver,
        }
    }

    /// Adds an outcome and wakes the answer that waits for it.
    pub(crate) fn add_outcome(&self, outcome: Outcome) {
        self.outcomes.borrow_mut().push(outcome);
        // A full channel means that a wake-up is already pending.
        let _is_ready = self.ready_sender.try_send(());
    }

    /// Takes the outcomes so far, after waiting for at most `wait` for the first one.
    pub(crate) async fn take_outcomes(&self, wait: Millis) -> Vec<Outcome> {
        if wait > Millis::ZERO && self.outcomes.borrow().is_empty() {
            // A timeout means that there is no outcome yet.
            let _is_ready = timeout(wait.duration(), self.ready_receiver.recv()).await;
        }
        self.outcomes.take()
    }
}
