//! One entry: its listeners, its control thread, and its servers for callers and operators.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use async_channel::Sender;
use async_std::net::TcpListener;
use async_std::task;
use marigoldpick_core::clock::System;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_http::Intake;
use marigoldpick_http::budget::Port;
use marigoldpick_platform::{Caller, Store, Vms, Workers};
use marigoldpick_wire as wire;
use serde::Serialize;

use crate::carrier::Carrier;
use crate::control::{self, Control, Message, ask};
use crate::error::Error;
use crate::exposition::Exposition;
use crate::handler::Handler;
use crate::operators;
use crate::recorder::{Note, Recorder};
use crate::settings::Settings;
use crate::traffic;
use crate::view::{Cell, View};

/// The maximum number of traffic events that wait for the recorder.
const MAX_QUEUED_EVENTS: usize = 10_000;
/// How long the load balancer may take to notice that the entry drains.
const BALANCER_GRACE: Millis = Millis(1_000);
/// The interval at which a drain checks for requests in flight.
const DRAIN_POLL: Millis = Millis(20);

/// `Addresses` holds the addresses at which an entry listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// The entry's name.
    pub entry: id::Entry,
    /// The address for callers.
    pub callers: String,
    /// The address for operators.
    pub operators: String,
    /// The address for other entries.
    pub inner: String,
}

impl std::fmt::Display for Addresses {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&serde_json::to_string(self).unwrap_or_default())
    }
}

/// `Frontend` serves callers, and calls other entries over the inner protocol.
pub type Frontend = traffic::Frontend<Carrier>;

/// `Entry` is a running entry, which stops at once when it is dropped.
#[derive(Debug)]
pub struct Entry {
    addresses: Addresses,
    known: Known,
    view: Cell,
    recorder: Recorder,
    control: Sender<Message>,
    frontend: Frontend,
    client: wire::Client,
    server: Mutex<Option<wire::Server>>,
    thread: Option<JoinHandle<()>>,
    tasks: Vec<task::JoinHandle<()>>,
    ended: Arc<AtomicBool>,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    /// Fails when the settings are invalid or an address can't be bound.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        settings.verify().map_err(Error::Settings)?;
        let exposition = Exposition::install();
        let callers = listen(&settings.callers).await?;
        let operators = listen(&settings.operators).await?;
        let inner =
            std::net::TcpListener::bind(&settings.inner).map_err(|source| Error::Listen {
                address: settings.inner.clone(),
                source,
            })?;
        let addresses = Addresses {
            entry: settings.entry.clone(),
            callers: address(&callers, &settings.callers),
            operators: address(&operators, &settings.operators),
            inner: inner
                .local_addr()
                .map_or_else(|_| settings.inner.clone(), |a| a.to_string()),
        };
        let known = Known {
            entry: settings.entry.clone(),
            domain: settings.domain.clone(),
            address: settings
                .advertise
                .clone()
                .unwrap_or_else(|| addresses.inner.clone()),
        };
        let incarnation: u64 = rand::random();
        let clock = System::new();
        let view = View::new(known.entry.clone(), incarnation, known.domain.clone()).cell();
        let events = usize::try_from(settings.events).unwrap_or(usize::MAX);
        let requests = usize::try_from(settings.requests).unwrap_or(usize::MAX);
        let recorder = Recorder::new(known.entry.0.clone(), incarnation, events, requests);
        let local = wire::Local {
            entry: known.entry.clone(),
            domain: known.domain.clone(),
        };
        let client = wire::Client::start(
            local,
            wire::Settings {
                seed: incarnation,
                ..wire::Settings::default()
            },
        )
        .map_err(Error::Thread)?;
        let (sender, receiver) = async_channel::unbounded();
        let (notes, noted) = async_channel::bounded(MAX_QUEUED_EVENTS);
        let frontend = Frontend::new(
            traffic::Settings {
                seed: incarnation,
                ..traffic::Settings::default()
            },
            Arc::clone(&view),
            Carrier::new(client.clone(), Arc::clone(&view)),
            clock,
            notes,
            recorder.trail().clone(),
        );
        let handler = Handler::new(sender.clone(), frontend.clone());
        let server = wire::Server::start(inner, handler).map_err(Error::Thread)?;
        let setup = control::Setup {
            known: known.clone(),
            incarnation,
            settings: settings.clone(),
            clock,
            view: Arc::clone(&view),
            recorder: recorder.clone(),
            frontend: frontend.clone(),
        };
        let caller = Caller {
            domain: known.domain.clone(),
            entry: known.entry.clone(),
        };
        let platform = marigoldpick_platform::Settings::default();
        let io = control::Io::new(
            Store::new(&settings.platform, caller.clone(), platform),
            Workers::new(caller.clone(), platform),
            Vms::new(&settings.platform, caller, platform),
            client.clone(),
            sender.clone(),
        );
        let thread = std::thread::Builder::new()
            .name(format!("control-{}", known.entry))
            .spawn(move || task::block_on(Control::new(setup, io).run(receiver)))
            .map_err(Error::Thread)?;
        let serve = {
            let frontend = frontend.clone();
            task::spawn(async move { frontend.serve(callers).await })
        };
        let record = {
            let recorder = recorder.clone();
            task::spawn(async move {
                while let Ok(traffic::Note { what, about, note }) = noted.recv().await {
                    recorder.record(clock.now(), Note::new("route", what, about, note));
                }
            })
        };
        let operate = {
            let api = operators::Api::new(sender.clone(), recorder.clone(), exposition);
            let bounds = settings.intake;
            let terms = move || bounds.terms(operators::MAX_BODY_BYTES);
            let intake = Intake::start(bounds);
            task::spawn(marigoldpick_http::serve(
                intake,
                Port::Operators,
                operators,
                api.server(),
                terms,
            ))
        };
        log::info!(target: "entry", "Started; entry={} domain={}.", known.entry, known.domain);
        Ok(Self {
            addresses,
            known,
            view,
            recorder,
            control: sender,
            frontend,
            client,
            server: Mutex::new(Some(server)),
            thread: Some(thread),
            tasks: vec![serve, record, operate],
            ended: Arc::new(AtomicBool::new(false)),
        })
    }

    /// Returns the addresses at which the entry listens.
    #[must_use]
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the entry's name, failure domain and inner address.
    #[must_use]
    pub const fn known(&self) -> &Known {
        &self.known
    }

    /// Returns the current view of the configuration, endpoints and entries.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns the time line's recorder.
    #[must_use]
    pub const fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Drains the entry, then stops it.
    ///
    /// The drain fails the load balancer's health check, completes requests in flight, and gives up
    /// all leads.
    pub async fn drain(&self) {
        drop(self.control.send(Message::Resign).await);
        // The load balancer sends requests until its next health checks have failed.
        task::sleep(BALANCER_GRACE.duration()).await;
        self.frontend.drain();
        while !self.frontend.is_idle() {
            task::sleep(DRAIN_POLL.duration()).await;
        }
        ask(&self.control, Message::AwaitResigned).await;
        self.end();
    }

    /// Stops the entry at once, like the loss of its VM.
    pub fn kill(&self) {
        self.end();
    }

    fn end(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        drop(self.control.try_send(Message::Shutdown));
        self.frontend.kill();
        drop(
            self.server
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .take(),
        );
    }

    /// Pauses the entry for `span`, like a frozen VM.
    pub fn pause(&self, span: Millis) {
        drop(self.control.try_send(Message::Pause(span)));
        let frontend = self.frontend.clone();
        frontend.gate().close();
        task::spawn(async move {
            task::sleep(span.duration()).await;
            frontend.gate().open();
        });
    }

    /// Cuts the entry off from the given failure domains; an empty list restores all connections.
    pub fn cut(&self, domains: &[id::Domain]) {
        self.client.set_partition(domains);
        let server = self.server.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(server) = server.as_ref() {
            server.set_partition(domains);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.end();
        for task in self.tasks.drain(..) {
            // The task holds nothing that needs an orderly shutdown.
            drop(task.cancel());
        }
        if let Some(thread) = self.thread.take() {
            drop(thread);
        }
    }
}

async fn listen(address: &str) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen {
            address: address.to_owned(),
            source,
        })
}

fn address(listener: &TcpListener, settings: &str) -> String {
    listener
        .local_addr()
        .map_or_else(|_| settings.to_owned(), |address| address.to_string())
}
