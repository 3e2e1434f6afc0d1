//! Delivery of the lead's orders to workers, directly or through relays.

use std::rc::Rc;

use async_std::future::timeout;
use async_std::task;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::peer;
use marigoldpick_core::work::port::{Fault, Order, Target, Workers};
use marigoldpick_core::work::relay::{Batch, Item, Outcome};
use marigoldpick_wire as wire;

use crate::control::Control;
use crate::leadership::Leadership;
use crate::member::Member;
use crate::paths::{Path, preferred};
use crate::platform::Platform;
use crate::relay::{Answer, Relay, Session, choose_pairs};

/// The time for which orders are gathered before a batch is sent to a relay.
const BATCH_WINDOW: Millis = Millis(12);
/// The timeout of a batch, after which the relay is suspended.
const BATCH_TIMEOUT: Millis = Millis(500);
/// How long a relay is not used at all after it did not answer, and not used for a worker from which it
/// brought no answer.
const RELAY_SUSPENSION: Millis = Millis(3_000);
/// The timeout of an order through a relay, beyond the time that the order asks the worker to wait. It
/// covers the worker's own time, the round trip to the relay, and the gathering on both sides.
const ORDER_TIMEOUT: Millis = Millis(800);
/// How long a relay keeps a session that the lead does not use.
const SESSION_EXPIRY: Millis = Millis(30_000);

impl<P: Platform> Control<P> {
    /// Executes a batch of orders for the lead; returns the outcomes known so far, of earlier batches too.
    pub(crate) async fn relay_orders(self: &Rc<Self>, batch: Batch) -> Vec<Outcome> {
        let session = self.session(batch.session);
        self.record_term(batch.term);
        for item in batch.items {
            task::spawn_local(Rc::clone(self).relay_order(Rc::clone(&session), batch.term, item));
        }
        session.take_outcomes(batch.wait).await
    }

    /// Executes one order of a batch and adds the outcome to the session.
    async fn relay_order(self: Rc<Self>, session: Rc<Session>, term: u64, item: Item) {
        let answer = self
            .send_order_directly(term, &item.target, item.order)
            .await;
        session.add_outcome(Outcome {
            number: item.number,
            answer,
        });
    }

    /// Returns the session with a number, creating it if needed, and drops the expired ones.
    fn session(&self, number: u64) -> Rc<Session> {
        let now = self.now();
        let mut sessions = self.sessions.borrow_mut();
        sessions.retain(|session| {
            now.since(session.last_used.get()) < SESSION_EXPIRY || session.number == number
        });
        let at = sessions.iter().position(|session| session.number == number);
        let at = at.unwrap_or_else(|| {
            sessions.push(Rc::new(Session::new(number)));
            sessions.len() - 1
        });
        sessions[at].last_used.set(now);
        Rc::clone(&sessions[at])
    }

    /// Chooses the relays again; those that are chosen again keep their session.
    ///
    /// The session with a first relay is opened at once, that with a second one when a retried order needs it.
    pub(crate) fn choose_relays(self: &Rc<Self>, leadership: &Rc<Leadership>) {
        let workers = leadership.read(|lead| lead.workers().len());
        let now = self.now();
        let mut pairs = choose_pairs(&self.relay_candidates(leadership, now), workers);
        let has_second = self.settings.job.repeats_orders();
        if !has_second {
            pairs.iter_mut().for_each(|pair| pair.second = None);
        }
        let chosen = leadership.paths.borrow_mut().update(pairs, has_second, now);
        for (path, known) in chosen {
            log::info!(
                target: "node",
                "event=relay-chosen domain={} entry={} path={}",
                known.domain, known.entry, path.name()
            );
            if path == Path::First {
                self.relay_session(leadership, &known);
            }
        }
    }

    /// Returns the session with a relay, opening it if needed.
    fn relay_session(self: &Rc<Self>, leadership: &Rc<Leadership>, known: &Known) -> Rc<Relay> {
        let open = |relay: &Rc<Relay>| {
            let (this, leadership) = (Rc::clone(self), Rc::clone(leadership));
            task::spawn_local(this.run_relay(leadership, Rc::clone(relay)));
        };
        leadership.paths.borrow_mut().session(known, open)
    }

    /// Returns the other entries except relays that are suspended.
    fn relay_candidates(&self, leadership: &Leadership, now: Millis) -> Vec<Member> {
        let paths = leadership.paths.borrow();
        let peers = self.peers.borrow();
        let is_usable = |member: &&Member| !paths.is_suspended(&member.known, now);
        peers.iter().filter(is_usable).cloned().collect()
    }

    /// Exchanges batches with a relay until the term is over or the relay is no longer used.
    async fn run_relay(self: Rc<Self>, leadership: Rc<Leadership>, relay: Rc<Relay>) {
        while !leadership.is_over() {
            if !relay.has_work().await {
                break;
            }
            task::sleep(BATCH_WINDOW.duration()).await;
            // The term may have ended meanwhile, and its orders with it.
            if leadership.is_over() {
                break;
            }
            let batch = relay.take_batch(leadership.term());
            let numbers: Vec<u64> = batch.items.iter().map(|item| item.number).collect();
            metrics::counter!("marigold_relay_batches_total").increment(1);
            metrics::counter!("marigold_relay_orders_total").increment(numbers.len() as u64);
            let call = peer::Call::Relay(batch);
            match self.call_peer(&relay.known, call, BATCH_TIMEOUT).await {
                Ok(peer::Answer::Relayed(outcomes)) => relay.resolve(outcomes),
                failure => {
                    let unsent =
                        matches!(failure, Err(wire::Error::Away | wire::Error::Refused(_)));
                    let path = leadership.paths.borrow().path_through(&relay.known);
                    log::warn!(
                        target: "node",
                        "event=relay-lost entry={} orders={} unsent={unsent} path={}",
                        relay.known.entry,
                        relay.pending_count(),
                        path.map_or("none", Path::name)
                    );
                    relay.suspend(self.now() + RELAY_SUSPENSION);
                    relay.fail_pending(if unsent { &numbers } else { &[] });
                }
            }
        }
        relay.fail_pending(&[]);
    }

    /// Sends an order to a worker by the first path that can carry it.
    ///
    /// A path that did not carry the order out is followed by the next one.
    pub(crate) async fn send_order(
        self: &Rc<Self>,
        leadership: &Rc<Leadership>,
        domain: Option<&id::Domain>,
        target: &Target,
        (order, is_retry): (&Order, bool),
    ) -> Answer {
        for path in preferred(is_retry) {
            if leadership.is_over() {
                break;
            }
            let answer = if *path == Path::Direct {
                count_order(*path);
                let term = leadership.term();
                self.send_order_directly(term, target, order.clone()).await
            } else {
                let relay = domain
                    .and_then(|domain| self.usable_relay(leadership, domain, *path, &target.id));
                let Some(relay) = relay else {
                    continue;
                };
                count_order(*path);
                self.send_order_through(&relay, target, order).await
            };
            // The order was not executed, and another path may reach a worker that this one does not. A probe changes
            // nothing at the worker, so that the loss of a second relay must not make its workers look silent.
            let is_probe = *path == Path::Second && matches!(order, Order::Hold { .. });
            match answer {
                Err(Fault::Away) => {}
                Err(Fault::Unknown) if is_probe => {}
                answer => return answer,
            }
        }
        Err(Fault::Away)
    }

    /// Sends an order through a relay, and suspends the relay for the worker if it brings no answer.
    async fn send_order_through(&self, relay: &Relay, target: &Target, order: &Order) -> Answer {
        let wait = match order {
            Order::Hold { wait, .. } => *wait,
            Order::Start(_) | Order::Stop { .. } | Order::Pace { .. } => Millis::ZERO,
        };
        let answer = relay.enqueue(target.clone(), order.clone(), self.now());
        let answer = timeout((ORDER_TIMEOUT + wait).duration(), answer).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(Fault::Unknown),
        };
        if matches!(answer, Err(Fault::Away | Fault::Unknown)) {
            relay.suspend_for_worker(&target.id, self.now() + RELAY_SUSPENSION);
        }
        answer
    }

    /// Sends an order directly, unless this entry knows of a later term than the order's.
    ///
    /// A worker that does not know the later term yet would accept the order.
    async fn send_order_directly(&self, term: u64, target: &Target, order: Order) -> Answer {
        if term < self.newest_term.get() {
            return Err(Fault::Fenced);
        }
        self.platform.workers().order(target, term, order).await
    }

    /// Records a term, unless a later one is known.
    pub(crate) fn record_term(&self, term: u64) {
        self.newest_term.set(self.newest_term.get().max(term));
    }

    /// Returns the relay of a path to a failure domain if it can be used for the worker.
    fn usable_relay(
        self: &Rc<Self>,
        leadership: &Rc<Leadership>,
        domain: &id::Domain,
        path: Path,
        worker: &id::Worker,
    ) -> Option<Rc<Relay>> {
        let known = leadership.paths.borrow().relay(domain, path)?.clone();
        let relay = self.relay_session(leadership, &known);
        relay.can_serve(worker, self.now()).then_some(relay)
    }
}

/// Counts an order by the path on which it is sent.
fn count_order(path: Path) {
    metrics::counter!("marigold_order_paths_total", "path" => path.name()).increment(1);
}
