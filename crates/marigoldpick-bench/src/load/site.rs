//! A site in one process: the callers' servers of entries, and echo endpoints.
//!
//! All traffic between them, including the inner protocol, goes over loopback connections.

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

/// The number of request events that an entry keeps.
const EVENTS: usize = 20_000;

/// `Inner` answers calls from other entries.
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

/// `Runs` holds the number of runs of each request, by the request's id.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// `Stub` is an endpoint that returns the body of each request and counts its runs.
#[derive(Debug)]
pub struct Stub {
    /// The address of the endpoint.
    pub address: String,
    start: Instant,
    busy: AtomicUsize,
    most_busy: AtomicUsize,
    /// When the last request arrived, in microseconds since `start`.
    last_us: AtomicU64,
    refusing: AtomicBool,
    delay: Duration,
    runs: Runs,
}

impl Stub {
    /// Returns the number of requests that are running.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Returns the largest number of requests that ran at once.
    pub fn most_busy(&self) -> usize {
        self.most_busy.load(Ordering::Relaxed)
    }

    /// Returns the time since the last request arrived.
    pub fn since_last(&self) -> Duration {
        let last = Duration::from_micros(self.last_us.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(last)
    }
}

/// `Site` is a failure domain with running entries and endpoints.
#[derive(Debug)]
pub struct Site {
    /// The addresses of the entries.
    pub entries: Vec<String>,
    /// The endpoints.
    pub endpoints: Vec<Arc<Stub>>,
    /// The number of runs of each request at all endpoints.
    pub runs: Runs,
    views: Vec<Cell>,
    servers: Vec<wire::Server>,
}

impl Site {
    /// Starts entries, and endpoints that answer each request after `delay`.
    pub async fn start(entries: usize, endpoints: usize, delay: Duration) -> std::io::Result<Self> {
        let text = "[[service]]\nname = \"booking\"\nqueue = 10000\n";
        let services = Intent::parse("bench", text)
            .map_err(std::io::Error::other)?
            .service;
        let mut stubs = Vec::new();
        let runs = Runs::default();
        for _ in 0..endpoints {
            stubs.push(start_endpoint(delay, &runs).await?);
        }
        let domain = expect_name(id::Domain::new("domain"));
        let place = |(at, stub): (usize, &Arc<Stub>)| Endpoint {
            id: expect_name(id::Endpoint::new(&format!("booking-{at:03}"))),
            service: services[0].name.clone(),
            domain: domain.clone(),
            worker: expect_name(id::Worker::new("worker")),
            address: stub.address.clone(),
            leaving: false,
        };
        let endpoint_views: Vec<Endpoint> = stubs.iter().enumerate().map(place).collect();
        let mut listeners = Vec::new();
        let mut known = Vec::new();
        for at in 0..entries {
            let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
            known.push(peer(at, &domain, listener.local_addr()?.to_string()));
            listeners.push(listener);
        }
        let mut site = Self {
            entries: Vec::new(),
            endpoints: stubs,
            runs,
            views: Vec::new(),
            servers: Vec::new(),
        };
        for (entry, listener) in known.iter().zip(listeners) {
            let mut view = View::new(entry.entry.clone(), entry.incarnation, domain.clone());
            view.services.clone_from(&services);
            view.endpoints.clone_from(&endpoint_views);
            let others = known.iter().filter(|other| other.entry != entry.entry);
            view.entries = others.cloned().collect();
            site.start_entry(view, listener).await?;
        }
        async_std::task::sleep(Duration::from_secs(1)).await;
        Ok(site)
    }

    /// Marks an endpoint as leaving in the views of all entries.
    pub fn mark_leaving(&self, endpoint: usize) {
        for cell in &self.views {
            let mut view = View::clone(&cell.load());
            view.endpoints[endpoint].leaving = true;
            cell.store(Arc::new(view));
        }
    }

    /// Makes an endpoint refuse all requests from now on.
    pub fn refuse_requests(&self, endpoint: usize) {
        self.endpoints[endpoint]
            .refusing
            .store(true, Ordering::Relaxed);
    }

    /// Removes an endpoint from the views of all entries, as when its VM is no longer listed.
    pub fn remove_endpoint(&self, endpoint: usize) {
        for cell in &self.views {
            let mut view = View::clone(&cell.load());
            view.endpoints.remove(endpoint);
            cell.store(Arc::new(view));
        }
    }

    /// Starts an entry with a view of the site.
    async fn start_entry(
        &mut self,
        view: View,
        inner: std::net::TcpListener,
    ) -> std::io::Result<()> {
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
        // The benchmark does not read the timeline events.
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
        entry: expect_name(id::Entry::new(&format!("entry-{at}"))),
        domain: domain.clone(),
        address,
        alive: true,
        draining: false,
        incarnation: at as u64 + 1,
        age: Millis::from_secs(3_600),
    }
}

fn expect_name<T, E: std::fmt::Debug>(made: Result<T, E>) -> T {
    made.expect("the text is a name")
}

async fn start_endpoint(delay: Duration, runs: &Runs) -> std::io::Result<Arc<Stub>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let stub = Arc::new(Stub {
        address: listener.local_addr()?.to_string(),
        start: Instant::now(),
        busy: AtomicUsize::new(0),
        most_busy: AtomicUsize::new(0),
        last_us: AtomicU64::new(0),
        refusing: AtomicBool::new(false),
        delay,
        runs: Arc::clone(runs),
    });
    let shared = Arc::clone(&stub);
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let stub = Arc::clone(&shared);
            // Errors are ignored: without the option the measured times are only longer.
            drop(stream.set_nodelay(true));
            async_std::task::spawn(async_h1::accept(stream, move |request| {
                handle_request(Arc::clone(&stub), request)
            }));
        }
    });
    Ok(stub)
}

async fn handle_request(stub: Arc<Stub>, mut request: Request) -> http_types::Result<Response> {
    let body = request.body_bytes().await?;
    if stub.refusing.load(Ordering::Relaxed) {
        let mut refused = Response::new(503);
        refused.insert_header("x-marigold-refused", "1");
        return Ok(refused);
    }
    let busy = stub.busy.fetch_add(1, Ordering::Relaxed) + 1;
    stub.most_busy.fetch_max(busy, Ordering::Relaxed);
    let now = stub.start.elapsed().as_micros() as u64;
    stub.last_us.store(now, Ordering::Relaxed);
    if !stub.delay.is_zero() {
        async_std::task::sleep(stub.delay).await;
    }
    let mut response = Response::new(200);
    if let Some(id) = request.header("x-marigold-request") {
        let mut runs = stub.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(id.as_str().to_owned()).or_default() += 1;
        response.insert_header("x-marigold-request", id.as_str());
    }
    stub.busy.fetch_sub(1, Ordering::Relaxed);
    response.set_body(body);
    Ok(response)
}
