//! A whole platform: its listeners, its faults and its truth.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::task;
use displaydoc::Display;
use http_types::{Method, Request, Response, StatusCode};
use marigoldpick_core::clock::System;
use marigoldpick_core::document;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_platform::DOMAIN_HEADER;

use crate::cut::Cut;
use crate::fault::{Fault, Switch};
use crate::fleet::{Fleet, worker_id};
use crate::http::{drop_connection, header, json, parse};
use crate::listener::{Handler, Listener};
use crate::settings::Settings;
use crate::store::Store;
use crate::truth::{Executed, Truth};
use crate::vms::Vms;

/// The most connections to the store and the VM list.
const MAX_CONNECTIONS: usize = 2_000;
/// The largest body of a switch of faults, in bytes.
const MAX_SWITCH: usize = 4_096;
/// The time between two looks at what has ended.
const TICK: Duration = Duration::from_millis(10);

/// `Error` is why a platform could not be started.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Settings(document::Error),
    /// can't listen: {0}
    Listen(std::io::Error),
}

impl std::error::Error for Error {}

/// `Platform` is a running platform. It ends when it is dropped.
#[derive(Debug)]
pub struct Platform {
    parts: Parts,
    listener: Listener,
    ended: Arc<AtomicBool>,
}

#[derive(Clone, Debug)]
struct Parts {
    store: Store,
    fleet: Fleet,
    vms: Vms,
    cut: Cut,
    clock: System,
    domains: Arc<[id::Domain]>,
}

impl Platform {
    /// Starts a platform in this process.
    ///
    /// # Errors
    /// Fails when the settings are wrong or an address can't be taken.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        settings.check().map_err(Error::Settings)?;
        let clock = System::new();
        let cut = Cut::default();
        let fleet = Fleet::new(settings, &cut, clock);
        let addresses = fleet.listen().map_err(Error::Listen)?;
        let parts = Parts {
            store: Store::new(settings.seed, &settings.store, clock),
            fleet,
            vms: Vms::new(list(settings, &addresses), settings.lag.vms_ms),
            cut,
            clock,
            domains: settings.domain.iter().map(|d| d.name.clone()).collect(),
        };
        let listener = Listener::start(&settings.listen, MAX_CONNECTIONS, parts.clone())
            .map_err(Error::Listen)?;
        let ended = Arc::new(AtomicBool::new(false));
        task::spawn(tick(parts.clone(), Arc::clone(&ended)));
        Ok(Self {
            parts,
            listener,
            ended,
        })
    }

    /// Returns the base URL of the store and the VM list.
    #[must_use]
    pub fn address(&self) -> String {
        format!("http://{}", self.listener.address())
    }

    /// Begins a fault.
    ///
    /// # Errors
    /// `UnknownName` when there is no such target.
    pub fn fault(&self, fault: &Fault) -> Result<(), Code> {
        self.parts.switch(fault, true)
    }

    /// Ends a fault.
    ///
    /// # Errors
    /// `UnknownName` when there is no such target.
    pub fn heal(&self, fault: &Fault) -> Result<(), Code> {
        self.parts.switch(fault, false)
    }

    /// Returns what truly happened up to now.
    #[must_use]
    pub fn truth(&self) -> Truth {
        self.parts.truth()
    }

    /// Returns what became of each request that ran, sorted by id.
    #[must_use]
    pub fn executed(&self) -> Vec<Executed> {
        self.parts.fleet.executed()
    }

    /// Returns what became of one request, if it ran.
    #[must_use]
    pub fn executed_of(&self, request: &str) -> Option<Executed> {
        self.parts.fleet.executed_of(request)
    }

    /// Returns the tasks of which a run ended well, sorted.
    #[must_use]
    pub fn completed(&self) -> Vec<id::Task> {
        self.parts.fleet.completed()
    }

    /// Returns the tasks that run now, sorted.
    #[must_use]
    pub fn running(&self) -> Vec<id::Task> {
        self.parts.fleet.running()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        self.listener.end();
        self.parts.fleet.end();
    }
}

impl Handler for Parts {
    async fn answer(&self, mut request: Request) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/v1/store") => {
                self.pass(&request)?;
                let caller = header(&request, DOMAIN_HEADER).map(str::to_owned);
                let answer = self.store.answer(request).await;
                self.pass_caller(caller.as_deref())?;
                answer
            }
            (Method::Get, "/v1/vms") => {
                self.pass(&request)?;
                Ok(self.list(&request))
            }
            (Method::Get, "/v1/truth") => Ok(json(&self.truth())),
            (Method::Get, "/v1/truth/requests") => Ok(json(&self.fleet.executed())),
            (Method::Post, "/v1/fault") => match parse::<Switch>(&mut request, MAX_SWITCH).await {
                Ok(switch) => Ok(self.answer_switch(&switch)),
                Err(status) => Ok(Response::new(status)),
            },
            _ => Ok(Response::new(StatusCode::NotFound)),
        }
    }
}

impl Parts {
    fn pass(&self, request: &Request) -> http_types::Result<()> {
        self.pass_caller(header(request, DOMAIN_HEADER))
    }

    fn pass_caller(&self, domain: Option<&str>) -> http_types::Result<()> {
        if self.cut.passes(domain, None) {
            return Ok(());
        }
        Err(drop_connection())
    }

    fn list(&self, request: &Request) -> Response {
        let domain = request.url().query_pairs().find(|(key, _)| key == "domain");
        match domain {
            Some((_, domain)) => json(&self.vms.list(&domain, self.clock.now())),
            None => Response::new(StatusCode::BadRequest),
        }
    }

    fn answer_switch(&self, switch: &Switch) -> Response {
        match self.switch(&switch.fault, switch.on) {
            Ok(()) => Response::new(StatusCode::Ok),
            Err(_) => Response::new(StatusCode::NotFound),
        }
    }

    fn switch(&self, fault: &Fault, on: bool) -> Result<(), Code> {
        log::info!(target: "worker", "fault {fault:?} on={on}");
        let known = match fault {
            Fault::StoreDown => {
                self.store.down(on);
                true
            }
            Fault::StoreSlow { delay_ms } => {
                self.store.slow(if on { *delay_ms } else { Millis::ZERO });
                true
            }
            Fault::StoreLostAnswer { percent } => {
                self.store.lose(if on { *percent } else { 0 });
                true
            }
            Fault::KillWorker { worker } => self.kill(worker, on),
            Fault::FailWorker { worker } => self.fleet.fail(worker, on),
            Fault::CutDomain { domain } => self.cut_domain(domain, on),
            Fault::SlowEndpoint { task, factor } => {
                self.fleet.slow(task, if on { *factor } else { 1 }) || !on
            }
            Fault::LeaveEndpoint { task } => !on || self.fleet.leave(task),
        };
        if known {
            return Ok(());
        }
        Err(Code::UnknownName)
    }

    fn kill(&self, worker: &id::Worker, on: bool) -> bool {
        if !self.fleet.kill(worker, on) {
            return false;
        }
        let state = if on { vm::State::Gone } else { vm::State::Live };
        self.vms.change(worker, state, self.clock.now());
        true
    }

    fn cut_domain(&self, domain: &id::Domain, on: bool) -> bool {
        if !self.domains.contains(domain) {
            return false;
        }
        self.cut.set(domain, on);
        true
    }

    fn truth(&self) -> Truth {
        let mut truth = Truth::default();
        self.fleet.sum(&mut truth);
        let configs = self.store.configs();
        truth.configs_accepted = configs.accepted();
        truth.configs_reverted = configs.reverted;
        truth.store_calls = self.store.counters().counts();
        truth
    }
}

async fn tick(parts: Parts, ended: Arc<AtomicBool>) {
    while !ended.load(Ordering::SeqCst) {
        parts.fleet.tick();
        parts.store.tick();
        task::sleep(TICK).await;
    }
}

fn list(settings: &Settings, addresses: &[(id::Worker, String)]) -> Vec<vm::Worker> {
    let mut workers = Vec::new();
    for domain in &settings.domain {
        for rack in &domain.rack {
            for number in 0..rack.workers {
                let id = worker_id(&rack.name, number);
                let at = addresses.binary_search_by(|(have, _)| have.cmp(&id));
                let address = at.map(|at| addresses[at].1.clone()).unwrap_or_default();
                workers.push(vm::Worker {
                    id,
                    domain: domain.name.clone(),
                    rack: rack.name.clone(),
                    kind: rack.kind.clone(),
                    size: rack.size.clone(),
                    address,
                    state: vm::State::Live,
                });
            }
        }
    }
    workers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
    workers
}
