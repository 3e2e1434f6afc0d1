//! Entries' frontends to callers and small endpoints in one process. All they say to each other goes over
//! loopback, the inner protocol too.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use http_types::{Request, Response};
use marigoldpick_core::clock::System;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::carrier::Carrier;
use marigoldpick_entry::recorder::Trail;
use marigoldpick_entry::traffic::{Frontend, Settings};
use marigoldpick_entry::view::{Cell, Endpoint, Peer, View};
use marigoldpick_wire as wire;

/// Events of requests that an entry keeps.
const EVENTS: usize = 20_000;

/// `Inner` answers the other entries' calls.
#[derive(Clone, Debug)]
struct Inner(Frontend<Carrier>);

impl wire::Handler for Inner {
    async fn handle(&self, call: wire::Call) -> Result<wire::Answer, Code> {
        match call {
            wire::Call::Traffic(call) => Ok(wire::Answer::Traffic(self.0.handle_call(call).await)),
            wire::Call::Control(_) | wire::Call::Jobs(_) => Err(Code::BadRequest),
        }
    }
}

/// `Runs` tells how often each request ran.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// `Load` is what an endpoint has seen.
#[derive(Debug)]
pub struct Load {
    /// Its address.
    pub address: String,
    start: Instant,
    busy: AtomicUsize,
    most: AtomicUsize,
    last: AtomicU64,
    refusing: AtomicBool,
    work: Duration,
    runs: Runs,
}

impl Load {
    /// Returns the requests that run.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Returns the most requests that ran at once.
    pub fn most(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }

    /// Returns how long before now the last request came.
    pub fn last(&self) -> Duration {
        let last = Duration::from_micros(self.last.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(last)
    }
}

/// `Site` is a failure domain.
#[derive(Debug)]
pub struct Site {
    /// The addresses of the entries.
    pub entries: Vec<String>,
    /// The endpoints.
    pub endpoints: Vec<Arc<Load>>,
    /// How often each request ran, at all endpoints.
    pub runs: Runs,
    views: Vec<Cell>,
    servers: Vec<wire::Server>,
}

impl Site {
    /// Starts entries and endpoints that work for `work` on each request.
    pub async fn start(entries: usize, endpoints: usize, work: Duration) -> std::io::Result<Self> {
        let text = "[[service]]\nname = \"booking\"\nqueue = 10000\n";
        let services = Intent::parse("bench", text)
            .map_err(std::io::Error::other)?
            .service;
        let mut loads = Vec::new();
        let runs = Runs::default();
        for _ in 0..endpoints {
            loads.push(endpoint(work, &runs).await?);
        }
        let domain = name(id::Domain::new("domain"));
        let place = |(at, load): (usize, &Arc<Load>)| Endpoint {
            id: name(id::Endpoint::new(&format!("booking-{at:03}"))),
            service: services[0].name.clone(),
            domain: domain.clone(),
            worker: name(id::Worker::new("worker")),
            address: load.address.clone(),
            leaving: false,
        };
        let places: Vec<Endpoint> = loads.iter().enumerate().map(place).collect();
        let mut listeners = Vec::new();
        let mut known = Vec::new();
        for at in 0..entries {
            let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
            known.push(peer(at, &domain, listener.local_addr()?.to_string()));
            listeners.push(listener);
        }
        let mut site = Self {
            entries: Vec::new(),
            endpoints: loads,
            runs,
            views: Vec::new(),
            servers: Vec::new(),
        };
        for (own, listener) in known.iter().zip(listeners) {
            let mut view = View::new(own.entry.clone(), own.incarnation, domain.clone());
            view.services.clone_from(&services);
            view.endpoints.clone_from(&places);
            let others = known.iter().filter(|other| other.entry != own.entry);
            view.entries = others.cloned().collect();
            site.add(view, listener).await?;
        }
        async_std::task::sleep(Duration::from_secs(1)).await;
        Ok(site)
    }

    /// Lets an endpoint leave.
    pub fn leave(&self, endpoint: usize) {
        for cell in &self.views {
            let mut view = View::clone(&cell.load());
            view.endpoints[endpoint].leaving = true;
            cell.store(Arc::new(view));
        }
    }

    /// Lets an endpoint refuse requests unread from now on.
    pub fn refuse(&self, endpoint: usize) {
        self.endpoints[endpoint]
            .refusing
            .store(true, Ordering::Relaxed);
    }

    /// Lets an endpoint vanish, as when its VM is no longer listed.
    pub fn vanish(&self, endpoint: usize) {
        for cell in &self.views {
            let mut view = View::clone(&cell.load());
            view.endpoints.remove(endpoint);
            cell.store(Arc::new(view));
        }
    }

    async fn add(&mut self, view: View, inner: std::net::TcpListener) -> std::io::Result<()> {
        let local = wire::Local {
            entry: view.me.clone(),
            domain: view.domain.clone(),
        };
        let client = wire::Client::start(local, wire::Settings::default())?;
        let cell = view.cell();
        let settings = Settings {
            resend: Millis::ZERO,
            settled: true,
            ..Settings::default()
        };
        // Nobody reads the time line here.
        let (events, _) = async_channel::bounded(1);
        let frontend = Frontend::new(
            settings,
            Arc::clone(&cell),
            Carrier::new(client, Arc::clone(&cell)),
            System::new(),
            events,
            Trail::new(Arc::default(), EVENTS),
        );
        let server = wire::Server::start(inner, Inner(frontend.clone()))?;
        self.servers.push(server);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.entries.push(listener.local_addr()?.to_string());
        async_std::task::spawn(async move { frontend.serve(listener).await });
        self.views.push(cell);
        Ok(())
    }
}

fn peer(at: usize, domain: &id::Domain, address: String) -> Peer {
    Peer {
        entry: name(id::Entry::new(&format!("entry-{at}"))),
        domain: domain.clone(),
        address,
        alive: true,
        draining: false,
        incarnation: at as u64 + 1,
        age: Millis::from_secs(3_600),
    }
}

fn name<T, E: std::fmt::Debug>(made: Result<T, E>) -> T {
    made.expect("the text is a name")
}

async fn endpoint(work: Duration, runs: &Runs) -> std::io::Result<Arc<Load>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let load = Arc::new(Load {
        address: listener.local_addr()?.to_string(),
        start: Instant::now(),
        busy: AtomicUsize::new(0),
        most: AtomicUsize::new(0),
        last: AtomicU64::new(0),
        refusing: AtomicBool::new(false),
        work,
        runs: Arc::clone(runs),
    });
    let own = Arc::clone(&load);
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let load = Arc::clone(&own);
            // Without it the measured times are only longer.
            drop(stream.set_nodelay(true));
            async_std::task::spawn(async_h1::accept(stream, move |request| {
                run(Arc::clone(&load), request)
            }));
        }
    });
    Ok(load)
}

async fn run(load: Arc<Load>, mut request: Request) -> http_types::Result<Response> {
    let body = request.body_bytes().await?;
    if load.refusing.load(Ordering::Relaxed) {
        let mut refused = Response::new(503);
        refused.insert_header("x-marigold-refused", "1");
        return Ok(refused);
    }
    let busy = load.busy.fetch_add(1, Ordering::Relaxed) + 1;
    load.most.fetch_max(busy, Ordering::Relaxed);
    let now = load.start.elapsed().as_micros() as u64;
    load.last.store(now, Ordering::Relaxed);
    if !load.work.is_zero() {
        async_std::task::sleep(load.work).await;
    }
    let mut response = Response::new(200);
    if let Some(id) = request.header("x-marigold-request") {
        let mut runs = load.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(id.as_str().to_owned()).or_default() += 1;
        response.insert_header("x-marigold-request", id.as_str());
    }
    load.busy.fetch_sub(1, Ordering::Relaxed);
    response.set_body(body);
    Ok(response)
}
