//! Entries' faces to callers and small endpoints in one process, over loopback.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use http_types::{Request, Response};
use marigoldpick_core::clock::System;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::peer;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::recorder::Trail;
use marigoldpick_entry::traffic::{Face, Settings, Wire};
use marigoldpick_entry::view::{Cell, Endpoint, Peer, View};

/// Events of requests that an entry keeps.
const EVENTS: usize = 20_000;

/// `Lines` carries calls between the faces without a network.
#[derive(Clone, Debug, Default)]
pub struct Lines(Arc<Mutex<HashMap<id::Entry, Face<Self>>>>);

impl Wire for Lines {
    async fn call(
        &self,
        entry: &id::Entry,
        _address: &str,
        call: peer::Call,
    ) -> Result<peer::Answer, Code> {
        let face = self.face(entry).ok_or(Code::PeerAway)?;
        Ok(face.peer(call).await)
    }
}

impl Lines {
    fn face(&self, entry: &id::Entry) -> Option<Face<Self>> {
        let faces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        faces.get(entry).cloned()
    }

    fn put(&self, entry: id::Entry, face: Face<Self>) {
        let mut faces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        faces.insert(entry, face);
    }
}

/// `Load` is what an endpoint has seen.
#[derive(Debug)]
pub struct Load {
    /// Its address.
    pub address: String,
    start: Instant,
    busy: AtomicUsize,
    most: AtomicUsize,
    last: AtomicU64,
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
    views: Vec<Cell>,
}

impl Site {
    /// Starts entries and endpoints that work for `work` on each request.
    pub async fn start(entries: usize, endpoints: usize, work: Duration) -> std::io::Result<Self> {
        let text = "[[service]]\nname = \"booking\"\nqueue = 10000\n";
        let services = Intent::parse("bench", text)
            .map_err(std::io::Error::other)?
            .service;
        let mut loads = Vec::new();
        for _ in 0..endpoints {
            loads.push(endpoint(work).await?);
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
        let known: Vec<Peer> = (0..entries).map(|at| peer(at, &domain)).collect();
        let lines = Lines::default();
        let mut site = Self {
            entries: Vec::new(),
            endpoints: loads,
            views: Vec::new(),
        };
        for own in &known {
            let mut view = View::new(own.entry.clone(), own.incarnation, domain.clone());
            view.services.clone_from(&services);
            view.endpoints.clone_from(&places);
            let others = known.iter().filter(|other| other.entry != own.entry);
            view.entries = others.cloned().collect();
            site.add(view, &lines).await?;
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

    async fn add(&mut self, view: View, lines: &Lines) -> std::io::Result<()> {
        let entry = view.me.clone();
        let cell = view.cell();
        let settings = Settings {
            resend: Millis::ZERO,
            ..Settings::default()
        };
        // Nobody reads the time line here.
        let (events, _) = async_channel::bounded(1);
        let face = Face::new(
            settings,
            Arc::clone(&cell),
            lines.clone(),
            System::new(),
            events,
            Trail::new(Arc::default(), EVENTS),
        );
        lines.put(entry, face.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.entries.push(listener.local_addr()?.to_string());
        async_std::task::spawn(async move { face.serve(listener).await });
        self.views.push(cell);
        Ok(())
    }
}

fn peer(at: usize, domain: &id::Domain) -> Peer {
    Peer {
        entry: name(id::Entry::new(&format!("entry-{at}"))),
        domain: domain.clone(),
        address: String::new(),
        alive: true,
        draining: false,
        incarnation: at as u64 + 1,
        age: Millis::from_secs(3_600),
    }
}

fn name<T, E: std::fmt::Debug>(made: Result<T, E>) -> T {
    made.expect("the text is a name")
}

async fn endpoint(work: Duration) -> std::io::Result<Arc<Load>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let load = Arc::new(Load {
        address: listener.local_addr()?.to_string(),
        start: Instant::now(),
        busy: AtomicUsize::new(0),
        most: AtomicUsize::new(0),
        last: AtomicU64::new(0),
    });
    let own = Arc::clone(&load);
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let load = Arc::clone(&own);
            // Without it the measured times are only longer.
            drop(stream.set_nodelay(true));
            async_std::task::spawn(async_h1::accept(stream, move |request| {
                run(Arc::clone(&load), request, work)
            }));
        }
    });
    Ok(load)
}

async fn run(
    load: Arc<Load>,
    mut request: Request,
    work: Duration,
) -> http_types::Result<Response> {
    let busy = load.busy.fetch_add(1, Ordering::Relaxed) + 1;
    load.most.fetch_max(busy, Ordering::Relaxed);
    let now = load.start.elapsed().as_micros() as u64;
    load.last.store(now, Ordering::Relaxed);
    let body = request.body_bytes().await?;
    if !work.is_zero() {
        async_std::task::sleep(work).await;
    }
    load.busy.fetch_sub(1, Ordering::Relaxed);
    let mut response = Response::new(200);
    if let Some(id) = request.header("x-marigold-request") {
        response.insert_header("x-marigold-request", id.as_str());
    }
    response.set_body(body);
    Ok(response)
}
