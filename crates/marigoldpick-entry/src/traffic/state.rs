//! Holds the state that the tasks of a frontend share.

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

use super::dispatcher::{Change, Dispatcher};
use super::gate::Gate;
use super::pool::Pool;
use super::run::Invocation;
use super::slots::Slots;
use super::{Note, Settings};
use crate::recorder::{Kind, Trail};
use crate::view::{Cell, View};

/// `State` is the state that the tasks of a frontend share.
#[derive(Debug)]
pub struct State<T> {
    pub settings: Settings,
    pub view: Cell,
    pub transport: T,
    pub clock: System,
    pub gate: Gate,
    pub pool: Pool,
    pub slots: Mutex<Slots>,
    pub dispatchers: ArcSwap<Vec<Arc<Dispatcher>>>,
    /// The bytes of all request bodies in memory.
    pub held_body_bytes: AtomicU64,
    pub backoffs: super::forward::Backoffs,
    events: Sender<Note>,
    pub trail: Trail,
    register: Mutex<Register>,
    next: AtomicU64,
    in_flight: AtomicUsize,
    /// Wakes the maintenance task while it waits.
    wake_up: (Sender<()>, Receiver<()>),
    draining: AtomicBool,
    killed: AtomicBool,
    callers: Mutex<HashMap<u64, TcpStream>>,
}

/// `InFlight` counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight<T> {
    state: Arc<State<T>>,
}

impl<T> Drop for InFlight<T> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl<T> State<T> {
    /// Creates the state of a frontend without requests.
    pub fn new(
        settings: Settings,
        view: Cell,
        transport: T,
        clock: System,
        events: Sender<Note>,
        trail: Trail,
    ) -> Self {
        let now = clock.now();
        let first = view.load();
        let slots = Slots::new(first.me.clone(), first.incarnation);
        Self {
            settings,
            transport,
            clock,
            events,
            trail,
            gate: Gate::default(),
            pool: Pool::default(),
            slots: Mutex::new(slots),
            dispatchers: ArcSwap::default(),
            held_body_bytes: AtomicU64::new(0),
            backoffs: super::forward::Backoffs::default(),
            register: Mutex::new(Register::new(now)),
            next: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            wake_up: async_channel::bounded(1),
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
    pub fn current_view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a number that is unique in this process.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a service's dispatcher.
    pub fn dispatcher(&self, service: &id::Service) -> Option<Arc<Dispatcher>> {
        let dispatchers = self.dispatchers.load();
        let at = dispatchers
            .binary_search_by(|d| d.service.cmp(service))
            .ok()?;
        Some(Arc::clone(&dispatchers[at]))
    }

    /// Counts a request as in flight; returns `None` while the frontend drains.
    pub fn begin_request(self: &Arc<Self>) -> Option<InFlight<T>> {
        if self.in_flight.fetch_add(1, Ordering::SeqCst) == 0 {
            self.wake();
        }
        let guard = InFlight {
            state: Arc::clone(self),
        };
        (!self.is_draining()).then_some(guard)
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst) || self.view.load().draining
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.note("traffic-draining", "", "");
    }

    /// Returns whether no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.load(Ordering::SeqCst) == 0
    }

    /// Wakes the maintenance task; a wake-up that is already pending is enough.
    fn wake(&self) {
        let _already_woken = self.wake_up.0.try_send(());
    }

    /// Waits for the next maintenance round: for `busy` while requests are in flight, else until the
    /// first request arrives or `idle` has passed.
    pub async fn wait_for_round(&self, busy: Duration, idle: Duration) {
        if self.is_idle() {
            let _elapsed_or_woken = timeout(idle, self.wake_up.1.recv()).await;
        } else {
            async_std::task::sleep(busy).await;
        }
    }

    /// Returns whether the frontend was killed.
    pub fn is_killed(&self) -> bool {
        self.killed.load(Ordering::SeqCst)
    }

    /// Stops all tasks and closes all connections.
    pub fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
        self.gate.close();
        self.pool.kill();
        for stream in lock(&self.callers).values() {
            // Shutdown fails only for a connection that is closed already.
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Adds a caller's connection and returns its number; `None` when there are too many or the frontend
    /// was killed.
    pub fn add_caller(&self, stream: &TcpStream) -> Option<u64> {
        let mut callers = lock(&self.callers);
        if callers.len() >= self.settings.connections || self.is_killed() {
            return None;
        }
        let number = self.next_number();
        callers.insert(number, stream.clone());
        Some(number)
    }

    /// Removes a caller's connection.
    pub fn remove_caller(&self, number: u64) {
        lock(&self.callers).remove(&number);
    }

    /// Handles a step of the at-most-once protocol as an owner of the request id.
    pub fn handle_once(&self, once: Once) -> Record {
        lock(&self.register).handle(once, self.now())
    }

    /// Answers an entry's demand for slots, as the arbiter; the demand may be this entry's own.
    pub fn arbitrate(&self, demand: &Demand) -> Grant {
        lock(&self.slots).arbitrate(demand, self.now())
    }

    /// Adds changes of endpoint health to the log and the time line.
    pub fn note_changes(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Ejected(endpoint) => {
                    log::warn!(target: "route", "ejected endpoint {endpoint}");
                    self.note("endpoint-ejected", endpoint.as_str(), "");
                }
                Change::Restored(endpoint) => {
                    log::info!(target: "route", "endpoint {endpoint} answers again");
                    self.note("endpoint-restored", endpoint.as_str(), "");
                }
            }
        }
    }

    /// Adds an event to the time line; drops it when the channel is full.
    pub fn note(&self, what: &'static str, about: &str, note: &str) {
        let note = Note {
            what,
            about: about.to_owned(),
            note: note.to_owned(),
        };
        drop(self.events.try_send(note));
    }

    /// Adds a step of a request to the time line.
    pub fn record_step(&self, invocation: &Invocation, kind: Kind) {
        self.trail
            .record(self.now(), &invocation.request, invocation.attempt, kind);
    }

    /// Returns the state of each service at this entry.
    pub fn status(&self) -> Vec<operator::Service> {
        let now = self.now();
        let dispatchers = self.dispatchers.load();
        let status = |dispatcher: &Arc<Dispatcher>| {
            let count = dispatcher.counts(now);
            operator::Service {
                service: dispatcher.service.clone(),
                endpoints: count.endpoints,
                ejected: count.ejected,
                slots: count.slots,
                in_flight: count.in_flight,
                queued: count.queued,
            }
        };
        dispatchers.iter().map(status).collect()
    }
}

/// Locks a mutex and ignores poisoning, because any panic ends the program.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
