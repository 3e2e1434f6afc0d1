//! Runs a whole simulated platform: its listeners, its faults and its counts.

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

use crate::fault::{Fault, Switch};
use crate::fleet::{Fleet, worker_id};
use crate::http::{drop_connection, header, json, parse};
use crate::listener::{Handler, Listener};
use crate::partition::Partition;
use crate::settings::Settings;
use crate::store::Store;
use crate::truth::{Executed, Truth};
use crate::vms::Vms;

/// The most connections to the store and the VM list.
const MAX_CONNECTIONS: usize = 2_000;
/// The largest accepted body of a request that injects or heals a fault.
const MAX_SWITCH_BYTES: usize = 4_096;
/// The interval at which due runs and expired leases are ended.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// `Error` is the reason why a platform could not be started.
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
    partition: Partition,
    clock: System,
    domains: Arc<[id::Domain]>,
}

impl Platform {
    /// Starts a platform in this process.
    ///
    /// # Errors
    /// Fails when the settings are invalid or an address can't be bound.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        settings.check().map_err(Error::Settings)?;
        let clock = System::new();
        let partition = Partition::default();
        let fleet = Fleet::new(settings, &partition, clock);
        let addresses = fleet.listen().map_err(Error::Listen)?;
        let parts = Parts {
            store: Store::new(settings.seed, &settings.store, clock),
            fleet,
            vms: Vms::new(vm_list(settings, &addresses), settings.lag.vms_ms),
            partition,
            clock,
            domains: settings.domain.iter().map(|d| d.name.clone()).collect(),
        };
        let listener = Listener::start(&settings.listen, MAX_CONNECTIONS, parts.clone())
            .map_err(Error::Listen)?;
        let ended = Arc::new(AtomicBool::new(false));
        task::spawn(run_ticks(parts.clone(), Arc::clone(&ended)));
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

    /// Injects a fault.
    ///
    /// # Errors
    /// Fails with `UnknownName` when the target does not exist.
    pub fn fault(&self, fault: &Fault) -> Result<(), Code> {
        self.parts.set_fault(fault, true)
    }

    /// Heals a fault.
    ///
    /// # Errors
    /// Fails with `UnknownName` when the target does not exist.
    pub fn heal(&self, fault: &Fault) -> Result<(), Code> {
        self.parts.set_fault(fault, false)
    }

    /// Returns the counts of what actually happened up to now.
    #[must_use]
    pub fn truth(&self) -> Truth {
        self.parts.truth()
    }

    /// Returns the executions of each request that ran, sorted by id.
    #[must_use]
    pub fn executed(&self) -> Vec<Executed> {
        self.parts.fleet.executed()
    }

    /// Returns the executions of one request, if it ran.
    #[must_use]
    pub fn executed_of(&self, request: &str) -> Option<Executed> {
        self.parts.fleet.executed_of(request)
    }

    /// Returns the tasks of which a run completed, sorted.
    #[must_use]
    pub fn completed(&self) -> Vec<id::Task> {
        self.parts.fleet.completed()
    }

    /// Returns the tasks that are running, sorted.
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
                self.check_reachable(&request)?;
                let caller = header(&request, DOMAIN_HEADER).map(str::to_owned);
                let answer = self.store.answer(request).await;
                self.check_domain(caller.as_deref())?;
                answer
            }
            (Method::Get, "/v1/vms") => {
                self.check_reachable(&request)?;
                Ok(self.answer_list(&request))
            }
            (Method::Get, "/v1/truth") => Ok(json(&self.truth())),
            (Method::Get, "/v1/truth/requests") => Ok(json(&self.fleet.executed())),
            (Method::Post, "/v1/fault") => {
                match parse::<Switch>(&mut request, MAX_SWITCH_BYTES).await {
                    Ok(switch) => Ok(self.answer_switch(&switch)),
                    Err(status) => Ok(Response::new(status)),
                }
            }
            _ => Ok(Response::new(StatusCode::NotFound)),
        }
    }
}

impl Parts {
    fn check_reachable(&self, request: &Request) -> http_types::Result<()> {
        self.check_domain(header(request, DOMAIN_HEADER))
    }

    fn check_domain(&self, domain: Option<&str>) -> http_types::Result<()> {
        if self.partition.can_pass(domain, None) {
            return Ok(());
        }
        Err(drop_connection())
    }

    fn answer_list(&self, request: &Request) -> Response {
        let domain = request.url().query_pairs().find(|(key, _)| key == "domain");
        match domain {
            Some((_, domain)) => json(&self.vms.list(&domain, self.clock.now())),
            None => Response::new(StatusCode::BadRequest),
        }
    }

    fn answer_switch(&self, switch: &Switch) -> Response {
        match self.set_fault(&switch.fault, switch.on) {
            Ok(()) => Response::new(StatusCode::Ok),
            Err(_) => Response::new(StatusCode::NotFound),
        }
    }

    fn set_fault(&self, fault: &Fault, on: bool) -> Result<(), Code> {
        log::info!(target: "worker", "fault {fault:?} on={on}");
        let is_known = match fault {
            Fault::StoreDown => {
                self.store.set_down(on);
                true
            }
            Fault::StoreSlow { delay_ms } => {
                self.store
                    .set_delay(if on { *delay_ms } else { Millis::ZERO });
                true
            }
            Fault::StoreLostAnswer { percent } => {
                self.store.set_lost_percent(if on { *percent } else { 0 });
                true
            }
            Fault::KillWorker { worker } => self.kill_worker(worker, on),
            Fault::FailWorker { worker } => self.fleet.set_failing(worker, on),
            Fault::CutDomain { domain } => self.isolate_domain(domain, on),
            Fault::SlowEndpoint { task, factor } => {
                self.fleet.slow_endpoint(task, if on { *factor } else { 1 }) || !on
            }
            Fault::LeaveEndpoint { task } => !on || self.fleet.stop_task(task),
        };
        if is_known {
            return Ok(());
        }
        Err(Code::UnknownName)
    }

    fn kill_worker(&self, worker: &id::Worker, on: bool) -> bool {
        if !self.fleet.set_gone(worker, on) {
            return false;
        }
        let state = if on { vm::State::Gone } else { vm::State::Live };
        self.vms.record_change(worker, state, self.clock.now());
        true
    }

    fn isolate_domain(&self, domain: &id::Domain, on: bool) -> bool {
        if !self.domains.contains(domain) {
            return false;
        }
        self.partition.set_isolated(domain, on);
        true
    }

    fn truth(&self) -> Truth {
        let mut truth = Truth::default();
        self.fleet.add_to(&mut truth);
        let configs = self.store.configs();
        truth.configs_accepted = configs.accepted();
        truth.configs_reverted = configs.reverted;
        truth.store_calls = self.store.counters().counts();
        truth
    }
}

async fn run_ticks(parts: Parts, ended: Arc<AtomicBool>) {
    while !ended.load(Ordering::SeqCst) {
        parts.fleet.tick();
        parts.store.tick();
        task::sleep(TICK_INTERVAL).await;
    }
}

fn vm_list(settings: &Settings, addresses: &[(id::Worker, String)]) -> Vec<vm::Worker> {
    let mut workers = Vec::new();
    for domain in &settings.domain {
        for rack in &domain.rack {
            for number in 0..rack.workers {
                let id = worker_id(&rack.name, number);
                let at = addresses.binary_search_by(|(other, _)| other.cmp(&id));
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
