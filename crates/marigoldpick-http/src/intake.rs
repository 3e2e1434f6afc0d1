//! Holds the state that all connections of a process share, and closes those that are overdue.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use async_std::net::{Shutdown, TcpStream};
use async_std::task;
use marigoldpick_core::clock::System;
use marigoldpick_core::prelude::*;

use crate::budget::{Budget, Held, Opened, Port, Stage};
use crate::{Failure, Settings};

/// The interval at which overdue connections are closed.
const SWEEP_INTERVAL: Millis = Millis(250);
/// The least time between two log lines of the same cause.
pub(crate) const LOG_INTERVAL: Millis = Millis(1_000);
/// The causes that log lines and the metric on refusals tell apart, apart from those of [`Failure`].
const CONNECTIONS: &str = "connections";
const OUT_OF_ROOM: &str = "out-of-room";
const HEAD_LATE: &str = "head-late";
const BODY_LATE: &str = "body-late";
const ANSWER_LATE: &str = "answer-late";
/// All causes.
const CAUSES: [&str; 14] = [
    "head-too-large",
    "head-malformed",
    "empty-lines",
    "version",
    "encoding",
    "body-too-large",
    "body-malformed",
    "body-incomplete",
    "no-room",
    CONNECTIONS,
    OUT_OF_ROOM,
    HEAD_LATE,
    BODY_LATE,
    ANSWER_LATE,
];

/// `Intake` bounds the requests of all listeners of a process.
#[derive(Clone, Debug)]
pub struct Intake {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    clock: System,
    state: Mutex<State>,
    /// The refusals by cause since the last log line about it.
    refusals: [AtomicU64; CAUSES.len()],
}

#[derive(Debug)]
struct State {
    budget: Budget,
    /// The open connections, sorted by id.
    streams: Vec<(u64, TcpStream)>,
}

impl State {
    /// Ends reading and writing on a connection, so that its task ends.
    fn shut(&self, id: u64) {
        if let Ok(at) = self.streams.binary_search_by_key(&id, |(id, _)| *id) {
            // It fails if the client has closed the connection already.
            let _is_closed = self.streams[at].1.shutdown(Shutdown::Both);
        }
    }
}

impl Intake {
    /// Creates the state, and starts the task that closes overdue connections.
    #[must_use]
    pub fn start(settings: Settings) -> Self {
        let shared = Arc::new(Shared {
            settings,
            clock: System::new(),
            state: Mutex::new(State {
                budget: Budget::new(settings.limits()),
                streams: Vec::new(),
            }),
            refusals: Default::default(),
        });
        task::spawn(sweep(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Admits a new connection; `None` if it is refused.
    pub(crate) fn open(&self, port: Port, stream: &TcpStream, idle: Millis) -> Option<Lease> {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        match state.budget.open(port, now, now + idle) {
            Opened::Accepted(id, victim) => {
                state.streams.push((id, stream.clone()));
                if let Some(victim) = victim {
                    state.shut(victim);
                    self.shared.count(CONNECTIONS);
                }
                let intake = self.clone();
                Some(Lease { intake, id })
            }
            Opened::Refused => {
                self.shared.count(CONNECTIONS);
                None
            }
        }
    }

    /// Closes the connection that has waited longest, for want of descriptors.
    pub(crate) fn shed(&self) {
        let mut state = self.shared.lock();
        if let Some(victim) = state.budget.shed(self.shared.clock.now()) {
            state.shut(victim);
            self.shared.count(CONNECTIONS);
        }
    }
}

/// `Lease` is the place of one connection; the connection counts as closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    intake: Intake,
    id: u64,
}

impl Lease {
    /// Enters a stage that may last for `span`; returns whether the connection may go on.
    pub(crate) fn enter(&self, stage: Stage, span: Millis) -> bool {
        let shared = &self.intake.shared;
        let now = shared.clock.now();
        shared.lock().budget.enter(self.id, stage, now, now + span)
    }

    /// Asks for the right to hold `total` bytes.
    pub(crate) fn hold(&self, total: usize) -> Result<(), Failure> {
        let shared = &self.intake.shared;
        let now = shared.clock.now();
        let mut state = shared.lock();
        match state.budget.hold(self.id, total, now) {
            Held::Granted(victims) => {
                for victim in victims {
                    state.shut(victim);
                    shared.count(OUT_OF_ROOM);
                }
                Ok(())
            }
            Held::Refused => Err(Failure::NoRoom),
            Held::TooLarge => Err(Failure::BodyTooLarge),
        }
    }

    /// Records that the connection holds `total` bytes.
    pub(crate) fn record(&self, total: usize) {
        self.intake.shared.lock().budget.record(self.id, total);
    }

    pub(crate) fn count(&self, failure: Failure) {
        self.intake.shared.count(failure.cause());
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.intake.shared.settings
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut state = self.intake.shared.lock();
        state.budget.close(self.id);
        if let Ok(at) = state.streams.binary_search_by_key(&self.id, |(id, _)| *id) {
            state.streams.remove(at);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, cause: &'static str) {
        if let Some(at) = CAUSES.iter().position(|known| *known == cause) {
            self.refusals[at].fetch_add(1, Ordering::Relaxed);
        }
        metrics::counter!("marigold_intake_refusals_total", "cause" => cause).increment(1);
    }

    fn close_overdue(&self) {
        let mut state = self.lock();
        for (id, stage) in state.budget.overdue(self.clock.now()) {
            state.shut(id);
            match stage {
                Stage::Head => self.count(HEAD_LATE),
                Stage::Body => self.count(BODY_LATE),
                Stage::Answer => self.count(ANSWER_LATE),
                Stage::Idle | Stage::Handling | Stage::Closing => {}
            }
        }
        let (connections, bytes) = state.budget.usage();
        drop(state);
        metrics::gauge!("marigold_intake_connections").set(connections as f64);
        metrics::gauge!("marigold_intake_bytes").set(bytes as f64);
    }

    /// Logs the refusals since the last call, with one line for each cause.
    fn log_refusals(&self) {
        let (connections, bytes) = self.lock().budget.usage();
        for (cause, count) in CAUSES.iter().zip(&self.refusals) {
            let count = count.swap(0, Ordering::Relaxed);
            if count > 0 {
                log::warn!(
                    target: "intake",
                    "event=intake-refused cause={cause} count={count} connections={connections} bytes={bytes}"
                );
            }
        }
    }
}

async fn sweep(shared: Weak<Shared>) {
    let mut logged = Millis::ZERO;
    loop {
        task::sleep(SWEEP_INTERVAL.duration()).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        shared.close_overdue();
        let now = shared.clock.now();
        if now.since(logged) >= LOG_INTERVAL {
            logged = now;
            shared.log_refusals();
        }
    }
}
