//! The platform's metadata store: keys with revisions, watches, transactions and leases.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Outcome, Request};
use crate::json::{Json, map, number, text};

/// The time of an answer, as on the sheet of the deployment.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The most items of a page.
const PAGE: usize = 500;
/// The most bytes of a page.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    end: Instant,
}

#[derive(Clone, Debug)]
struct Event {
    rev: u64,
    key: String,
    /// `None` if the key was removed.
    item: Option<Item>,
}

/// `Fate` is what happens to a transaction on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Served,
    /// It gets no answer and is carried out after this time, if its conditions still hold.
    Late(Duration),
}

type Judge = Box<dyn Fn(&Json) -> Fate + Send + Sync>;

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    is_down: bool,
    /// The watches that wait: entry and connection.
    waiting: Vec<(usize, u64)>,
    /// The connections that have gone silent.
    silent: Vec<u64>,
    /// The entry that last read the list of minions.
    reader: Option<usize>,
    fate: Option<Judge>,
}

/// `Store` is the store; its clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.state.lock().unwrap().rev = 10;
        let expiry = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiry.expire();
            }
        });
        store
    }

    /// Writes a key as the operator or a minion does; nothing happens while the store is down.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        if !state.is_down {
            state.write(key, Some((encode(value.to_string().as_bytes()), 0)));
            self.changed.notify_all();
        }
    }

    /// Removes a key as the platform does.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.write(key, None);
        self.changed.notify_all();
    }

    /// Takes the store down, or up again. While it is down, nothing is done and nothing answered, and leases pause.
    pub fn set_down(&self, is_down: bool, was_down_for: Duration) {
        let mut state = self.state.lock().unwrap();
        state.is_down = is_down;
        if !is_down {
            for lease in state.leases.values_mut() {
                lease.end += was_down_for;
            }
        }
        self.changed.notify_all();
    }

    /// Sets what decides the fate of transactions.
    pub fn set_fate(&self, fate: impl Fn(&Json) -> Fate + Send + Sync + 'static) {
        self.state.lock().unwrap().fate = Some(Box::new(fate));
    }

    /// Returns the entry that last read the list of minions.
    pub fn last_reader(&self) -> Option<usize> {
        self.state.lock().unwrap().reader
    }

    /// Returns the number of an entry's connections on which a watch waits.
    pub fn waiting_watches(&self, entry: usize) -> usize {
        let state = self.state.lock().unwrap();
        state.waiting.iter().filter(|(of, _)| *of == entry).count()
    }

    /// Silences the connections of an entry on which a watch waits, and returns their number.
    pub fn silence_watches(&self, entry: usize) -> usize {
        let mut state = self.state.lock().unwrap();
        let found: Vec<u64> = state
            .waiting
            .iter()
            .filter(|(of, _)| *of == entry)
            .map(|(_, c)| *c)
            .collect();
        state.silent.extend(&found);
        found.len()
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, l)| l.end <= now)
            .map(|(n, _)| *n)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.changed.notify_all();
        }
    }

    /// Handles a request of an entry.
    pub fn handle(&self, entry: usize, request: &Request) -> Outcome {
        thread::sleep(ANSWER_TIME);
        if self.state.lock().unwrap().is_down {
            return Outcome::Silence;
        }
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => self.get(request),
            ("GET", "/kv-range") => self.range(entry, request),
            ("GET", "/kv-watch") => self.watch(entry, request),
            ("POST", "/kv-txn") => self.transact(&request.body),
            ("POST", "/kv-lease") => self.grant(request),
            ("POST", _) if path.starts_with("/kv-keep/") => self.keep(&path["/kv-keep/".len()..]),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                self.end(&path["/kv-lease-end/".len()..])
            }
            _ => Outcome::Answer(400, Json::Null),
        }
    }

    fn get(&self, request: &Request) -> Outcome {
        let state = self.state.lock().unwrap();
        let key = request.query("Key");
        match state.items.get(key) {
            Some(item) => {
                let Json::Map(mut fields) = item_body(key, item) else {
                    unreachable!()
                };
                fields.push(("CurrentRev".to_owned(), number(state.rev)));
                Outcome::Answer(200, Json::Map(fields))
            }
            None => Outcome::Answer(404, map(vec![("CurrentRev", number(state.rev))])),
        }
    }

    fn range(&self, entry: usize, request: &Request) -> Outcome {
        let mut state = self.state.lock().unwrap();
        let (prefix, after) = (request.query("Prefix"), request.query("After"));
        if prefix == "servers/" {
            state.reader = Some(entry);
        }
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in found {
            bytes += key.len() + item.value.len();
            more = items.len() == PAGE || (bytes > PAGE_BYTES && !items.is_empty());
            if more {
                break;
            }
            items.push(item_body(key, item));
        }
        Outcome::Answer(
            200,
            map(vec![
                ("items", Json::List(items)),
                ("MorePages", Json::Bool(more)),
                ("CurrentRev", number(state.rev)),
            ]),
        )
    }

    fn watch(&self, entry: usize, request: &Request) -> Outcome {
        let prefix = request.query("Prefix").to_owned();
        let after: u64 = request.query("After").parse().unwrap_or(0);
        let wait: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let connection = request.connection;
        let mut state = self.state.lock().unwrap();
        state.waiting.push((entry, connection));
        let outcome = loop {
            if state.is_down || state.silent.contains(&connection) {
                break Outcome::Silence;
            }
            let events: Vec<Json> = state.events_after(after, &prefix);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                break Outcome::Answer(
                    200,
                    map(vec![
                        ("events", Json::List(events)),
                        ("CurrentRev", number(state.rev)),
                    ]),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        };
        state.waiting.retain(|(_, have)| *have != connection);
        outcome
    }

    fn transact(&self, body: &Json) -> Outcome {
        let mut state = self.state.lock().unwrap();
        let fate = state.fate.as_ref().map_or(Fate::Served, |fate| fate(body));
        if let Fate::Late(delay) = fate {
            drop(state);
            let (store, body) = (self.clone(), body.clone());
            thread::spawn(move || {
                thread::sleep(delay);
                let mut state = store.state.lock().unwrap();
                let _unanswered = state.transact(&body);
                store.changed.notify_all();
            });
            return Outcome::Silence;
        }
        let (status, answer) = state.transact(body);
        self.changed.notify_all();
        Outcome::Answer(status, answer)
    }

    fn grant(&self, request: &Request) -> Outcome {
        let mut state = self.state.lock().unwrap();
        let ttl = request.body.number("TtlMs").clamp(1_000, 600_000);
        let span = Duration::from_millis(ttl);
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(
            lease,
            Lease {
                ttl: span,
                end: Instant::now() + span,
            },
        );
        Outcome::Answer(
            200,
            map(vec![("Lease", number(lease)), ("TtlMs", number(ttl))]),
        )
    }

    fn keep(&self, lease: &str) -> Outcome {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&lease.parse().unwrap_or(0)) {
            Some(lease) => {
                lease.end = Instant::now() + lease.ttl;
                Outcome::Answer(200, map(vec![]))
            }
            None => Outcome::Answer(404, map(vec![])),
        }
    }

    fn end(&self, lease: &str) -> Outcome {
        let mut state = self.state.lock().unwrap();
        let found = state.end_lease(lease.parse().unwrap_or(0));
        self.changed.notify_all();
        Outcome::Answer(if found { 200 } else { 404 }, map(vec![]))
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.rev += 1;
        self.write_at_present(key, value);
    }

    /// Changes a key at the present revision.
    fn write_at_present(&mut self, key: &str, value: Option<(String, u64)>) {
        let rev = self.rev;
        let item = value.map(|(value, lease)| Item {
            value,
            rev,
            created: self.items.get(key).map_or(rev, |item| item.created),
            lease,
        });
        match &item {
            Some(item) => _ = self.items.insert(key.to_owned(), item.clone()),
            None if self.items.remove(key).is_none() => return,
            None => {}
        }
        self.events.push(Event {
            rev,
            key: key.to_owned(),
            item,
        });
    }

    fn events_after(&self, after: u64, prefix: &str) -> Vec<Json> {
        let first = self.events.partition_point(|event| event.rev <= after);
        let found = self.events[first..]
            .iter()
            .filter(|event| event.key.starts_with(prefix));
        found
            .map(|event| match &event.item {
                Some(item) => item_body(&event.key, item),
                None => map(vec![
                    ("Key", text(&event.key)),
                    ("Rev", number(event.rev)),
                    ("Deleted", Json::Bool(true)),
                ]),
            })
            .collect()
    }

    fn transact(&mut self, body: &Json) -> (u16, Json) {
        let expected = body.list("Expected");
        let holds = |row: &Json| {
            let item = self.items.get(row.text("Key"));
            item.map_or(0, |item| item.rev) == row.number("Rev")
        };
        if !expected.iter().all(holds) {
            let present = |row: &Json| {
                let key = row.text("Key");
                self.items.get(key).map(|item| item_body(key, item))
            };
            let items = expected.iter().filter_map(present).collect();
            return (412, map(vec![("items", Json::List(items))]));
        }
        let puts = body.list("Puts");
        let has_lease = |put: &Json| {
            let lease = put.number("Lease");
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, map(vec![]));
        }
        let deletes = body.list("Deletes");
        if !(puts.is_empty() && deletes.is_empty()) {
            self.rev += 1;
        }
        for put in puts {
            let value = (put.text("Value").to_owned(), put.number("Lease"));
            self.write_at_present(put.text("Key"), Some(value));
        }
        for key in deletes {
            if let Json::Text(key) = key {
                self.write_at_present(key, None);
            }
        }
        (200, map(vec![("Rev", number(self.rev))]))
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let found = self.leases.remove(&lease).is_some();
        let of_lease = |item: &Item| item.lease == lease && lease > 0;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| of_lease(item))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write(&key, None);
        }
        found
    }
}

fn item_body(key: &str, item: &Item) -> Json {
    map(vec![
        ("Key", text(key)),
        ("Value", text(&item.value)),
        ("Rev", number(item.rev)),
        ("Created", number(item.created)),
        ("Lease", number(item.lease)),
    ])
}

/// Encodes bytes as standard base64 text with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| (word << 8) | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at)) as usize & 63] as char;
            out.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
