//! Orders that other entries carry out for the lead.
//!
//! Load pattern: hundreds of workers, and an exchange with one of them for each start and each end.
//! The exchanges cost a lead far more than its decisions. One entry in each failure domain therefore
//! keeps the connections to the domain's workers, and the lead exchanges batches with it. The relay
//! decides nothing: the term fences its orders as it does the lead's own, and an order of which the
//! lead hears nothing is one without an answer, wherever it was lost.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use futures::channel::oneshot;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::peer;
use marigoldpick_core::work::port::{Fault, Order, Reply, Target, Workers};
use marigoldpick_core::work::relay::{Batch, Item, Outcome};
use marigoldpick_wire as wire;
use rand::Rng;

use crate::control::Control;
use crate::leading::Leading;
use crate::members::Member;
use crate::platform::Platform;

/// The least workers for which orders are relayed: a lead of fewer has the time to give its own.
const LEAST_WORKERS: usize = 200;
/// The least strength of an entry that relays: it serves callers beside.
const LEAST_STRENGTH: u32 = 200;
/// The time in which orders for a relay are gathered.
const WINDOW: Millis = Millis(12);
/// How long a relay waits for the first outcome before it answers.
const WAIT: Millis = Millis(30);
/// The most orders of a batch.
const MOST: usize = 256;
/// The longest time for a batch, after which nothing more is given to the relay for a while.
const LIMIT: Millis = Millis(500);
/// How long a relay that did not answer is left out.
const AWAY: Millis = Millis(3_000);
/// The longest time for an order beyond what it asks the worker to wait: the worker's own, the way to
/// the relay and back, and both gatherings.
const ORDER: Millis = Millis(800);
/// How long a relay keeps a session of which it hears nothing.
const KEPT: Millis = Millis(30_000);

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
type Answer = Result<Reply, Fault>;

/// `Relay` is the lead's side of a session.
#[derive(Debug)]
pub(crate) struct Relay {
    known: Known,
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
    fn new(known: Known) -> Self {
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
    fn doubt(&self, worker: &id::Worker, until: Millis) {
        let mut doubted = self.doubted.borrow_mut();
        match doubted.binary_search_by(|(have, _)| have.cmp(worker)) {
            Ok(at) => doubted[at].1 = until,
            Err(at) => doubted.insert(at, (worker.clone(), until)),
        }
    }

    /// Tells whether orders for a worker are given to it.
    fn serves(&self, worker: &id::Worker, now: Millis) -> bool {
        let doubted = self.doubted.borrow();
        let found = doubted.binary_search_by(|(have, _)| have.cmp(worker));
        let is_doubted = found.is_ok_and(|at| doubted[at].1 > now);
        self.away.get() <= now && !is_doubted && !self.wake.is_closed()
    }

    fn nudge(&self) {
        // A full channel means that it is woken already.
        let _is_woken = self.wake.try_send(());
    }

    fn enqueue(&self, target: Target, order: Order) -> oneshot::Receiver<Answer> {
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

    fn take_batch(&self, term: u64) -> Batch {
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

    fn settle(&self, outcomes: Vec<Outcome>) {
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

    /// Tells those that wait that nothing is known of their orders; what has not left is not carried out.
    fn give_up(&self, sent: &[u64]) {
        let unsent: Vec<u64> = self
            .queue
            .borrow_mut()
            .drain(..)
            .map(|i| i.number)
            .collect();
        for (number, reply) in self.waiting.borrow_mut().drain(..) {
            let has_left = unsent.binary_search(&number).is_err() && !sent.contains(&number);
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
    number: u64,
    used: Cell<Millis>,
    outcomes: RefCell<Vec<Outcome>>,
    ready: Sender<()>,
    has_outcome: Receiver<()>,
}

impl Session {
    fn new(number: u64) -> Self {
        let (ready, has_outcome) = async_channel::bounded(1);
        Self {
            number,
            used: Cell::new(Millis::ZERO),
            outcomes: RefCell::default(),
            ready,
            has_outcome,
        }
    }

    fn add(&self, outcome: Outcome) {
        self.outcomes.borrow_mut().push(outcome);
        // A full channel means that the answer is due already.
        let _is_ready = self.ready.try_send(());
    }
}

impl<P: Platform> Control<P> {
    /// Carries out a batch of orders for the lead; returns what is known by now of this and earlier ones.
    pub(crate) async fn relay_orders(self: &Rc<Self>, batch: Batch) -> Vec<Outcome> {
        let session = self.session(batch.session);
        for item in batch.items {
            task::spawn_local(Rc::clone(self).carry_out(Rc::clone(&session), batch.term, item));
        }
        if batch.wait > Millis::ZERO && session.outcomes.borrow().is_empty() {
            // The time-out means that there is nothing to tell.
            let _is_ready = timeout(batch.wait.duration(), session.has_outcome.recv()).await;
        }
        session.outcomes.take()
    }

    async fn carry_out(self: Rc<Self>, session: Rc<Session>, term: u64, item: Item) {
        let workers = self.platform.workers();
        let answer = workers.order(&item.target, term, item.order).await;
        session.add(Outcome {
            number: item.number,
            answer,
        });
    }

    fn session(&self, number: u64) -> Rc<Session> {
        let now = self.now();
        let mut sessions = self.sessions.borrow_mut();
        sessions.retain(|session| now.since(session.used.get()) < KEPT || session.number == number);
        let at = sessions.iter().position(|session| session.number == number);
        let at = at.unwrap_or_else(|| {
            sessions.push(Rc::new(Session::new(number)));
            sessions.len() - 1
        });
        sessions[at].used.set(now);
        Rc::clone(&sessions[at])
    }

    /// Chooses the relays anew; those that stay keep their session.
    pub(crate) fn choose_relays(self: &Rc<Self>, leading: &Rc<Leading>) {
        let workers = leading.look(|lead| lead.workers().len());
        let now = self.now();
        let chosen = choose(&self.usable_relays(leading, now), workers);
        let mut relays = leading.relays.borrow_mut();
        relays.retain(|relay| {
            let stays = chosen.contains(&relay.known);
            if !stays {
                relay.wake.close();
            }
            stays
        });
        for known in chosen {
            let domain = known.domain.clone();
            let found = relays.binary_search_by(|relay| relay.known.domain.cmp(&domain));
            if let Err(at) = found {
                log::info!(target: "node", "event=relay-chosen domain={domain} entry={}", known.entry);
                let relay = Rc::new(Relay::new(known));
                relays.insert(at, Rc::clone(&relay));
                task::spawn_local(Rc::clone(self).drive_relay(Rc::clone(leading), relay));
            }
        }
    }

    /// Returns the other entries without those that have just not answered as relays.
    fn usable_relays(&self, leading: &Leading, now: Millis) -> Vec<Member> {
        let relays = leading.relays.borrow();
        let is_away = |known: &Known| {
            let mut relays = relays.iter();
            relays.any(|relay| relay.known == *known && relay.away.get() > now)
        };
        let peers = self.peers.borrow();
        let usable = peers.iter().filter(|member| !is_away(&member.known));
        usable.cloned().collect()
    }

    /// Sends batches and takes in outcomes until the term is over or the relay is no longer used.
    async fn drive_relay(self: Rc<Self>, leading: Rc<Leading>, relay: Rc<Relay>) {
        while !leading.is_over() {
            if relay.waiting.borrow().is_empty() && relay.woken.recv().await.is_err() {
                break;
            }
            task::sleep(WINDOW.duration()).await;
            let batch = relay.take_batch(leading.term());
            let numbers: Vec<u64> = batch.items.iter().map(|item| item.number).collect();
            metrics::counter!("marigold_relay_batches_total").increment(1);
            metrics::counter!("marigold_relay_orders_total").increment(numbers.len() as u64);
            let call = peer::Call::Relay(batch);
            match self.call(&relay.known, call, LIMIT).await {
                Ok(peer::Answer::Relayed(outcomes)) => relay.settle(outcomes),
                failure => {
                    let unsent =
                        matches!(failure, Err(wire::Error::Away | wire::Error::Refused(_)));
                    log::warn!(
                        target: "node",
                        "event=relay-lost entry={} orders={} unsent={unsent}",
                        relay.known.entry,
                        relay.waiting.borrow().len()
                    );
                    relay.away.set(self.now() + AWAY);
                    relay.give_up(if unsent { &numbers } else { &[] });
                }
            }
        }
        relay.give_up(&[]);
    }

    /// Gives an order to a worker: through the relay of its failure domain, if there is one, or directly.
    pub(crate) async fn order(
        &self,
        leading: &Leading,
        domain: Option<&id::Domain>,
        target: &Target,
        order: &Order,
    ) -> Answer {
        let relay = domain.and_then(|domain| self.relay_of(leading, domain, &target.id));
        if let Some(relay) = relay {
            let wait = match order {
                Order::Hold { wait, .. } => *wait,
                Order::Start(_) | Order::Stop { .. } | Order::Pace { .. } => Millis::ZERO,
            };
            let answer = relay.enqueue(target.clone(), order.clone());
            let answer = timeout((ORDER + wait).duration(), answer).await;
            match answer {
                // Nothing was carried out: the lead may have a way where the relay has none.
                Ok(Ok(Err(Fault::Away))) => relay.doubt(&target.id, self.now() + AWAY),
                Ok(Ok(Err(Fault::Unknown)) | Err(_)) | Err(_) => {
                    relay.doubt(&target.id, self.now() + AWAY);
                    return Err(Fault::Unknown);
                }
                Ok(Ok(answer)) => return answer,
            }
        }
        let workers = self.platform.workers();
        workers.order(target, leading.term(), order.clone()).await
    }

    fn relay_of(
        &self,
        leading: &Leading,
        domain: &id::Domain,
        worker: &id::Worker,
    ) -> Option<Rc<Relay>> {
        let relays = leading.relays.borrow();
        let at = relays.binary_search_by(|relay| relay.known.domain.cmp(domain));
        let relay = &relays[at.ok()?];
        relay.serves(worker, self.now()).then(|| Rc::clone(relay))
    }
}
