//! Runs a few entries and endpoints of one or two failure domains in one process.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use marigoldpick_core::clock::System;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::operator::Service;
use marigoldpick_core::peer;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::recorder::Recorder;
use marigoldpick_entry::traffic::{Frontend, Settings, Transport};
use marigoldpick_entry::view::{Cell, Endpoint, Peer, View};

use super::endpoint::{self, Log};

/// A service with a deadline that calls meet on a slow machine too.
pub const PATIENT: &str = "deadline_ms = 20000\n";
/// The same with one slot for each endpoint.
pub const SINGLE: &str = "slots = 1\nconnections = 1\ndeadline_ms = 20000\n";
/// The longest wait, longer than a lapsed lease still counts (two seconds and `deadline_ms`).
const WAIT: Duration = Duration::from_secs(60);

/// `Network` carries calls between the frontends of one process.
#[derive(Clone, Debug, Default)]
pub struct Network {
    frontends: Arc<Mutex<HashMap<id::Entry, Frontend<Link>>>>,
    partitions: Arc<Mutex<Vec<(id::Entry, id::Entry)>>>,
}

/// `Link` is one entry's access to the network.
#[derive(Clone, Debug)]
pub struct Link {
    me: id::Entry,
    network: Network,
}

impl Transport for Link {
    async fn call(
        &self,
        entry: &id::Entry,
        _address: &str,
        call: peer::Call,
    ) -> Result<peer::Answer, Code> {
        let pair = (self.me.clone(), entry.clone());
        let reverse = (entry.clone(), self.me.clone());
        let partitions = self.network.partitions.lock().unwrap().clone();
        if partitions.contains(&pair) || partitions.contains(&reverse) {
            return Err(Code::PeerAway);
        }
        let frontend = self.network.frontends.lock().unwrap().get(entry).cloned();
        Ok(frontend.ok_or(Code::PeerAway)?.handle_call(call).await)
    }
}

/// `Node` is the frontend of one entry with its view.
#[derive(Debug)]
pub struct Node {
    pub id: id::Entry,
    pub frontend: Frontend<Link>,
    pub view: Cell,
    pub address: String,
}

/// `Site` holds all entries and endpoints of a test.
#[derive(Debug)]
pub struct Site {
    pub nodes: Vec<Node>,
    pub endpoints: Vec<endpoint::Endpoint>,
    pub network: Network,
    pub log: Log,
}

/// `Answer` is the response that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub result: String,
    pub code: u16,
    pub head: String,
    pub body: String,
    /// Whether the body has the length that the header states.
    pub whole: bool,
}

impl Answer {
    /// Returns the result and the code.
    pub fn result_and_code(&self) -> String {
        format!("{} {}", self.result, self.code)
    }

    /// Returns the advised wait before a repetition.
    pub fn retry_after(&self) -> Option<Millis> {
        let lines = self.head.lines();
        let mut after = lines.filter_map(|l| l.strip_prefix("x-marigold-retry-after-ms:"));
        after.next()?.trim().parse().map(Millis).ok()
    }
}

/// Starts `entries[d]` entries and `endpoints[d]` endpoints in each failure domain `d`.
pub async fn start(entries: &[usize], endpoints: &[usize]) -> Site {
    start_with(entries, endpoints, test_settings(), PATIENT).await
}

/// Returns settings under which entries count as old enough to clear first attempts at once.
pub fn test_settings() -> Settings {
    Settings {
        resend: Millis::ZERO,
        settled: true,
        ..Settings::default()
    }
}

/// Starts a site with other settings and the given fields of the service.
pub async fn start_with(
    entries: &[usize],
    endpoints: &[usize],
    settings: Settings,
    service: &str,
) -> Site {
    let mut site = Site {
        nodes: Vec::new(),
        endpoints: Vec::new(),
        network: Network::default(),
        log: Log::default(),
    };
    let text = format!("[[service]]\nname = \"booking\"\n{service}");
    let services = Intent::parse("test.toml", &text).unwrap().service;
    let mut places = Vec::new();
    for (domain, count) in endpoints.iter().enumerate() {
        for _ in 0..*count {
            let fake = endpoint::Endpoint::start(Arc::clone(&site.log)).await;
            places.push(Endpoint {
                id: id::Endpoint::new(&format!("booking-{}", places.len())).unwrap(),
                service: services[0].name.clone(),
                domain: domain_id(domain),
                worker: id::Worker::new("w").unwrap(),
                address: fake.address.clone(),
                leaving: false,
            });
            site.endpoints.push(fake);
        }
    }
    let mut views = Vec::new();
    for (domain, count) in entries.iter().enumerate() {
        for _ in 0..*count {
            let me = id::Entry::new(&format!("entry-{}", views.len())).unwrap();
            let mut view = View::new(me, 7 + views.len() as u64, domain_id(domain));
            view.services.clone_from(&services);
            let own = places.iter().filter(|p| p.domain == view.domain);
            view.endpoints = own.cloned().collect();
            views.push(view);
        }
    }
    let peers: Vec<Peer> = views.iter().map(peer).collect();
    for mut view in views {
        let others = peers.iter().filter(|peer| peer.entry != view.me);
        view.entries = others.cloned().collect();
        site.add(view, settings.clone()).await;
    }
    until("all entries know the service", || {
        let known = |node: &Node| !node.frontend.status().is_empty();
        site.nodes.iter().all(known)
    })
    .await;
    site
}

fn domain_id(domain: usize) -> id::Domain {
    id::Domain::new(&format!("domain-{domain}")).unwrap()
}

impl Site {
    async fn add(&mut self, view: View, settings: Settings) {
        let id = view.me.clone();
        let cell = view.cell();
        let link = Link {
            me: id.clone(),
            network: self.network.clone(),
        };
        let (events, _) = async_channel::bounded(1);
        let view = cell.load();
        let recorder = Recorder::new(view.me.0.clone(), view.incarnation, 1, settings.connections);
        let trail = recorder.trail().clone();
        let frontend = Frontend::new(
            settings,
            Arc::clone(&cell),
            link,
            System::new(),
            events,
            trail,
        );
        self.network
            .frontends
            .lock()
            .unwrap()
            .insert(id.clone(), frontend.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let own = frontend.clone();
        async_std::task::spawn(async move { own.serve(listener).await });
        self.nodes.push(Node {
            id,
            frontend,
            view: cell,
            address,
        });
    }

    /// Changes the view of all entries.
    pub fn change(&self, change: impl Fn(&mut View)) {
        for node in &self.nodes {
            let mut view = View::clone(&node.view.load());
            change(&mut view);
            node.view.store(Arc::new(view));
        }
    }

    /// Ends an entry like a crash; [`Site::mark_dead`] lets the others know.
    pub fn kill(&self, at: usize) {
        self.nodes[at].frontend.kill();
        self.network
            .frontends
            .lock()
            .unwrap()
            .remove(&self.nodes[at].id);
    }

    /// Marks an entry as dead in the views of the others.
    pub fn mark_dead(&self, at: usize) {
        let id = self.nodes[at].id.clone();
        self.change(|view| {
            for peer in view.entries.iter_mut().filter(|p| p.entry == id) {
                peer.alive = false;
            }
        });
    }

    /// Drains an entry and marks it as draining in the views of the others.
    pub fn drain(&self, at: usize) {
        self.nodes[at].frontend.drain();
        let id = self.nodes[at].id.clone();
        self.change(|view| {
            for peer in view.entries.iter_mut().filter(|p| p.entry == id) {
                peer.draining = true;
            }
        });
    }

    /// Partitions two entries from each other.
    pub fn partition(&self, a: usize, b: usize) {
        let pair = (self.nodes[a].id.clone(), self.nodes[b].id.clone());
        self.network.partitions.lock().unwrap().push(pair);
    }

    /// Heals all partitions.
    pub fn heal(&self) {
        self.network.partitions.lock().unwrap().clear();
    }

    /// Returns how often a request ran.
    pub fn runs(&self, request: &str) -> usize {
        let log = self.log.lock().unwrap();
        log.iter().filter(|run| run.0 == request).count()
    }

    /// Returns how often one attempt of a request ran.
    pub fn runs_of(&self, request: &str, attempt: u32) -> usize {
        let log = self.log.lock().unwrap();
        let same = |run: &&(String, u32)| run.0 == request && run.1 == attempt;
        log.iter().filter(same).count()
    }

    /// Returns the slots that all entries hold.
    pub fn held(&self) -> usize {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.held_by(&all)
    }

    /// Returns the slots that some entries hold.
    pub fn held_by(&self, nodes: &[usize]) -> usize {
        self.sum(nodes, |s| s.slots)
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> usize {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.sum(&all, |s| s.in_flight)
    }

    /// Returns the requests that wait in queues.
    pub fn queued(&self) -> usize {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.sum(&all, |s| s.queued)
    }

    fn sum(&self, nodes: &[usize], of: impl Fn(&Service) -> u32) -> usize {
        let one = |at: &usize| self.nodes[*at].frontend.status().first().map_or(0, &of) as usize;
        nodes.iter().map(one).sum()
    }

    /// Waits until the entries together hold all slots of all endpoints.
    pub async fn ready(&self) {
        let all = 8 * self.endpoints.len();
        until("slots are held", || self.held() == all).await;
    }

    /// Calls the booking service at an entry.
    pub async fn call(&self, at: usize, headers: &[(&str, &str)], body: &str) -> Answer {
        call(&self.nodes[at].address, headers, body).await
    }
}

fn peer(view: &View) -> Peer {
    Peer {
        entry: view.me.clone(),
        domain: view.domain.clone(),
        address: "127.0.0.1:1".to_owned(),
        alive: true,
        draining: false,
        incarnation: view.incarnation,
        age: Millis::from_secs(3_600),
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT, "waited for: {what}");
        async_std::task::sleep(Duration::from_millis(5)).await;
    }
}

/// Calls the booking service at `address` on a connection of its own.
pub async fn call(address: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let mut head = format!(
        "POST /v1/call/booking HTTP/1.1\r\nhost: {address}\r\ncontent-length: {}\r\n",
        body.len()
    );
    if !headers.iter().any(|(name, _)| *name == "x-marigold-team") {
        head.push_str("x-marigold-team: sellers\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    raw(address, &format!("{head}\r\n{body}")).await
}

/// Sends a text and reads one answer, which is empty when the connection is refused.
pub async fn raw(address: &str, text: &str) -> Answer {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return parse(&[]);
    };
    let _ = stream.write_all(text.as_bytes()).await;
    receive(&mut stream).await
}

/// Reads one answer until it is whole or the connection closes.
pub async fn receive(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut part = vec![0; 64 << 10];
    loop {
        let read = async_std::future::timeout(WAIT, stream.read(&mut part));
        match read.await.expect("an answer or a close") {
            Ok(0) | Err(_) => return parse(&bytes),
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
        let answer = parse(&bytes);
        if answer.whole {
            return answer;
        }
    }
}

fn parse(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let field = |name: &str| {
        let line = head.lines().find(|line| line.starts_with(name));
        line.map(|line| line[name.len()..].trim().to_owned())
    };
    let length = field("content-length:").and_then(|length| length.parse().ok());
    Answer {
        status: head
            .get(9..12)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0),
        result: field("x-marigold-result:").unwrap_or_default(),
        code: field("x-marigold-code:")
            .and_then(|code| code.parse().ok())
            .unwrap_or(0),
        whole: length == Some(body.len()) && text.contains("\r\n\r\n"),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}
