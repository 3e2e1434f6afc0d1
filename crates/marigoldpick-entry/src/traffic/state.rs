//! What the tasks of a face share.

use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::net::TcpStream;
use marigoldpick_core::clock::System;
use marigoldpick_core::operator;
use marigoldpick_core::peer::{Demand, Grant, Once, Record};
use marigoldpick_core::prelude::*;
use marigoldpick_route::once::Register;

use super::desk::{Change, Desk};
use super::gate::Gate;
use super::pool::Pool;
use super::run::Ask;
use super::slots::Slots;
use super::{Note, Settings};
use crate::recorder::{Kind, Trail};
use crate::view::{Cell, View};

/// `State` is what the tasks of a face share.
#[derive(Debug)]
pub struct State<W> {
    pub settings: Settings,
    pub view: Cell,
    pub wire: W,
    pub clock: System,
    pub gate: Gate,
    pub pool: Pool,
    pub slots: Mutex<Slots>,
    pub desks: ArcSwap<Vec<Arc<Desk>>>,
    /// Bytes of request bodies that are held.
    pub held: AtomicU64,
    pub forward: super::forward::Peers,
    events: Sender<Note>,
    pub trail: Trail,
    register: Mutex<Register>,
    ticket: AtomicU64,
    busy: AtomicUsize,
    woken: (Sender<()>, Receiver<()>),
    draining: AtomicBool,
    killed: AtomicBool,
    callers: Mutex<HashMap<u64, TcpStream>>,
}

/// `Busy` counts one request in flight until it is dropped.
#[derive(Debug)]
pub struct Busy<W> {
    state: Arc<State<W>>,
}

impl<W> Drop for Busy<W> {
    fn drop(&mut self) {
        self.state.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

impl<W> State<W> {
    /// Makes the state of a face that has nothing to do yet.
    pub fn new(
        settings: Settings,
        view: Cell,
        wire: W,
        clock: System,
        events: Sender<Note>,
        trail: Trail,
    ) -> Self {
        let now = clock.now();
        let first = view.load();
        let slots = Slots::new(first.me.clone(), first.incarnation);
        Self {
            settings,
            wire,
            clock,
            events,
            trail,
            gate: Gate::default(),
            pool: Pool::default(),
            slots: Mutex::new(slots),
            desks: ArcSwap::default(),
            held: AtomicU64::new(0),
            forward: super::forward::Peers::default(),
            register: Mutex::new(Register::new(now)),
            ticket: AtomicU64::new(1),
            busy: AtomicUsize::new(0),
            woken: async_channel::bounded(1),
            draining: AtomicBool::new(false),
            killed: AtomicBool::new(false),
            callers: Mutex::new(HashMap::new()),
            view,
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the current view.
    pub fn look(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a number that was never returned before.
    pub fn number(&self) -> u64 {
        self.ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a service's desk.
    pub fn desk(&self, service: &id::Service) -> Option<Arc<Desk>> {
        let desks = self.desks.load();
        let at = desks.binary_search_by(|d| d.service.cmp(service)).ok()?;
        Some(Arc::clone(&desks[at]))
    }

    /// Counts a request in flight, unless the face drains.
    pub fn enter(self: &Arc<Self>) -> Option<Busy<W>> {
        if self.busy.fetch_add(1, Ordering::SeqCst) == 0 {
            self.wake();
        }
        let busy = Busy {
            state: Arc::clone(self),
        };
        (!self.draining()).then_some(busy)
    }

    /// Tells whether new requests are refused.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst) || self.view.load().draining
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.note("traffic-draining", "", "");
    }

    /// Tells whether no request is in flight.
    pub fn idle(&self) -> bool {
        self.busy.load(Ordering::SeqCst) == 0
    }

    /// Ends the upkeep's rest; a wake-up that is under way already is enough.
    fn wake(&self) {
        let _woken_already = self.woken.0.try_send(());
    }

    /// Waits for the upkeep's next round: soon while requests are in flight, else until the first
    /// one comes or `rest` has passed.
    pub async fn rest(&self, round: Duration, rest: Duration) {
        if self.idle() {
            let _rested_or_woken = timeout(rest, self.woken.1.recv()).await;
        } else {
            async_std::task::sleep(round).await;
        }
    }

    /// Tells whether the face was killed.
    pub fn killed(&self) -> bool {
        self.killed.load(Ordering::SeqCst)
    }

    /// Stops all tasks and resets all connections.
    pub fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
        self.gate.close();
        self.pool.kill();
        for stream in lock(&self.callers).values() {
            // A connection that is gone already needs no shutdown.
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Notes a caller's connection; refuses it when there are too many.
    pub fn connect(&self, stream: &TcpStream) -> Option<u64> {
        let mut callers = lock(&self.callers);
        if callers.len() >= self.settings.connections || self.killed() {
            return None;
        }
        let number = self.number();
        callers.insert(number, stream.clone());
        Some(number)
    }

    /// Forgets a caller's connection.
    pub fn disconnect(&self, number: u64) {
        lock(&self.callers).remove(&number);
    }

    /// Takes a step of the once-only protocol as an owner.
    pub fn register(&self, once: Once) -> Record {
        lock(&self.register).handle(once, self.now())
    }

    /// Answers a slot demand as an arbiter.
    pub fn arbitrate(&self, demand: &Demand) -> Grant {
        lock(&self.slots).arbitrate(demand, self.now())
    }

    /// Tells the time line about endpoints whose health changed.
    pub fn note_changes(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Ejected(endpoint) => {
                    log::warn!(target: "route", "set endpoint {endpoint} aside");
                    self.note("endpoint-ejected", endpoint.as_str(), "");
                }
                Change::Restored(endpoint) => {
                    log::info!(target: "route", "endpoint {endpoint} answers again");
                    self.note("endpoint-restored", endpoint.as_str(), "");
                }
            }
        }
    }

    /// Adds to the time line; when it is full, the event is dropped.
    pub fn note(&self, what: &'static str, about: &str, note: &str) {
        let note = Note {
            what,
            about: about.to_owned(),
            note: note.to_owned(),
        };
        drop(self.events.try_send(note));
    }

    /// Adds a step of a request to the time line.
    pub fn step(&self, ask: &Ask, kind: Kind) {
        self.trail
            .record(self.now(), &ask.request, ask.attempt, kind);
    }

    /// Returns the services as this entry routes to them.
    pub fn status(&self) -> Vec<operator::Service> {
        let now = self.now();
        let desks = self.desks.load();
        let status = |desk: &Arc<Desk>| {
            let count = desk.count(now);
            operator::Service {
                service: desk.service.clone(),
                endpoints: count.endpoints,
                ejected: count.ejected,
                slots: count.slots,
                in_flight: count.in_flight,
                queued: count.queued,
            }
        };
        desks.iter().map(status).collect()
    }
}

/// Locks a mutex; a panic elsewhere ends the program anyway.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
