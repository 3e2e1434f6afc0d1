//! The platform's metadata store, in memory.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, base64, map, num, text};

/// The time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// The most items in a page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    /// How often the open connections of each caller with a waiting watch have gone silent.
    silences: BTreeMap<usize, u64>,
    /// The number of watches of each caller that wait.
    watches: BTreeMap<usize, usize>,
    /// The caller that last wrote under a condition.
    last_writer: usize,
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (u64, Instant)>,
    last_lease: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            rev: self.rev,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((self.rev, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.rev, key.to_owned(), None));
        }
    }

    fn end_leases(&mut self, now: Instant) -> bool {
        let over = |(_, (_, end)): &(&u64, &(u64, Instant))| *end <= now;
        let ended: Vec<u64> = self.leases.iter().filter(over).map(|(id, _)| *id).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_body(key: &str, item: &Item) -> Json {
    map(vec![
        ("Key", text(key)),
        ("Value", text(&item.value)),
        ("Rev", num(item.rev)),
        ("Created", num(item.created)),
        ("Lease", num(item.lease)),
    ])
}

impl Store {
    pub fn new() -> Arc<Store> {
        let store = Arc::new(Store::default());
        store.state.lock().unwrap().rev = 1;
        let leases = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                let ended = leases.state.lock().unwrap().end_leases(Instant::now());
                if ended {
                    leases.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key of the operator or of a worker.
    pub fn write(&self, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        state.put(key, &base64(value.to_string().as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Returns the caller that last wrote under a condition.
    pub fn last_writer(&self) -> usize {
        self.state.lock().unwrap().last_writer
    }

    /// Lets the connections on which watches of a caller wait go silent: nothing comes on them any more, and they
    /// stay open. New connections work. Returns their number.
    pub fn silence(&self, caller: usize) -> usize {
        let mut state = self.state.lock().unwrap();
        *state.silences.entry(caller).or_default() += 1;
        state.watches.insert(caller, 0).unwrap_or_default()
    }

    /// Answers a request of a caller.
    pub fn answer(&self, caller: usize, request: &Request) -> Answer {
        std::thread::sleep(ANSWER);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.get(&request.query("Key")),
            ("GET", "/kv-range") => self.range(&request.query("Prefix"), &request.query("After")),
            ("GET", "/kv-watch") => self.watch(
                caller,
                &request.query("Prefix"),
                request.query("After").parse().unwrap_or_default(),
                request.query("WaitMs").parse().unwrap_or_default(),
            ),
            ("POST", "/kv-txn") => self.commit(caller, &body),
            ("POST", "/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let ttl = body.get("TtlMs").number().clamp(1_000, 600_000);
                state.last_lease += 1;
                let lease = state.last_lease;
                let end = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(lease, (ttl, end));
                let body = map(vec![("Lease", num(lease)), ("TtlMs", num(ttl))]);
                Some((200, body.to_string()))
            }
            ("POST", path) => {
                let lease = path.strip_prefix("/kv-keep/").and_then(|id| id.parse().ok())?;
                let mut state = self.state.lock().unwrap();
                let Some((ttl, end)) = state.leases.get_mut(&lease) else {
                    return Some((404, String::new()));
                };
                *end = Instant::now() + Duration::from_millis(*ttl);
                Some((200, map(vec![("TtlMs", num(*ttl))]).to_string()))
            }
            ("DELETE", path) => {
                let lease = path.strip_prefix("/kv-lease-end/").and_then(|id| id.parse().ok())?;
                self.state.lock().unwrap().end_lease(lease);
                self.changed.notify_all();
                Some((200, "{}".to_owned()))
            }
            _ => Some((400, String::new())),
        }
    }

    fn get(&self, key: &str) -> Answer {
        let state = self.state.lock().unwrap();
        let item = state.items.get(key);
        Some(item.map_or((404, String::new()), |item| {
            (200, item_body(key, item).to_string())
        }))
    }

    fn range(&self, prefix: &str, after: &str) -> Answer {
        let state = self.state.lock().unwrap();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut found: Vec<Json> = found
            .take(PAGE + 1)
            .map(|(key, item)| item_body(key, item))
            .collect();
        let more = found.len() > PAGE;
        found.truncate(PAGE);
        let body = map(vec![
            ("items", Json::List(found)),
            ("MorePages", Json::Bool(more)),
            ("CurrentRev", num(state.rev)),
        ]);
        Some((200, body.to_string()))
    }

    fn watch(&self, caller: usize, prefix: &str, after: u64, wait_ms: u64) -> Answer {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        let silences = |state: &State| state.silences.get(&caller).copied().unwrap_or_default();
        let begun = silences(&state);
        *state.watches.entry(caller).or_default() += 1;
        loop {
            if silences(&state) > begun {
                drop(state);
                std::thread::sleep(Duration::from_secs(120));
                return None;
            }
            let events = state.events.iter();
            let events = events.filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let events: Vec<Json> = events
                .map(|(rev, key, item)| match item {
                    Some(item) => item_body(key, item),
                    None => map(vec![
                        ("Key", text(key)),
                        ("Rev", num(*rev)),
                        ("Deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let waiting = state.watches.entry(caller).or_default();
                *waiting = waiting.saturating_sub(1);
                let current = num(state.rev);
                let body = map(vec![("events", Json::List(events)), ("CurrentRev", current)]);
                return Some((200, body.to_string()));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, caller: usize, body: &Json) -> Answer {
        let (expected, puts, deletes) = (
            body.get("Expected").list(),
            body.get("Puts").list(),
            body.get("Deletes").list(),
        );
        if expected.len() + puts.len() + deletes.len() > 32 {
            return Some((400, String::new()));
        }
        let mut state = self.state.lock().unwrap();
        state.end_leases(Instant::now());
        let rev_of = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.rev);
        let fails = |row: &Json| rev_of(&state, row.get("Key").text()) != row.get("Rev").number();
        if expected.iter().any(fails) {
            let items = expected.iter().map(|row| {
                let key = row.get("Key").text();
                let gone = || map(vec![("Key", text(key)), ("Rev", num(0))]);
                state.items.get(key).map_or_else(gone, |item| item_body(key, item))
            });
            let body = map(vec![("items", Json::List(items.collect()))]);
            return Some((412, body.to_string()));
        }
        let leases: Vec<u64> = puts.iter().map(|put| put.get("Lease").number()).collect();
        if leases.iter().any(|lease| *lease > 0 && !state.leases.contains_key(lease)) {
            return Some((404, String::new()));
        }
        if !puts.is_empty() || !deletes.is_empty() {
            state.rev += 1;
            state.last_writer = caller;
        }
        for (put, lease) in puts.iter().zip(leases) {
            state.put(put.get("Key").text(), put.get("Value").text(), lease);
        }
        for key in deletes {
            state.remove(key.text());
        }
        let rev = state.rev;
        self.changed.notify_all();
        Some((200, map(vec![("Rev", num(rev))]).to_string()))
    }
}
