//! Stand-ins of the platform's store and of its minions, which follow the users' pages.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{self, Reply, Request, Value, number, table, text};

/// The most entries of a transaction.
const MAX_ENTRIES: usize = 32;
/// The most items of a page.
const MAX_PAGE_ITEMS: usize = 500;
/// The most bytes of a page.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// The most connections that the store accepts from one front.
const MAX_FRONT_CONNECTIONS: usize = 500;
/// The most connections that a minion accepts, as the sheets say.
const MAX_CONNECTIONS: usize = 64;
/// The most ends in one answer of a minion.
const MAX_ENDS: usize = 500;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the time in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Event {
    key: String,
    rev: u64,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct Data {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// The front that last wrote under a condition.
    last_writer: Option<usize>,
    /// The transactions that were refused for the size of a value.
    too_large: u64,
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        self.history.push(Event {
            key: key.to_owned(),
            rev: self.rev,
            value: Some(value.clone()),
        });
        let item = Item {
            value,
            rev: self.rev,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Event {
                key: key.to_owned(),
                rev: self.rev,
                value: None,
            });
        }
    }

    fn expire(&mut self, now: Instant) -> bool {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.rev += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }
}

fn item_body(key: &str, item: &Item) -> Value {
    table(vec![
        ("Key", text(key)),
        ("Value", text(&item.value)),
        ("Rev", number(item.rev)),
        ("Created", number(item.created)),
        ("Lease", number(item.lease)),
    ])
}

/// `Store` is the platform's store. Each front reaches it at an address of its own, which tells the fronts apart.
#[derive(Debug)]
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
    value_bytes: usize,
}

impl Store {
    /// Starts a store that accepts values of at most `value_bytes`.
    pub fn start(value_bytes: usize) -> Arc<Self> {
        let store = Arc::new(Self {
            data: Mutex::new(Data {
                rev: 1_000,
                ..Data::default()
            }),
            changed: Condvar::new(),
            value_bytes,
        });
        let this = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                if lock(&this.data).expire(Instant::now()) {
                    this.changed.notify_all();
                }
            }
        });
        store
    }

    /// Serves one front; returns the address.
    pub fn serve(self: &Arc<Self>, front: usize) -> String {
        let this = Arc::clone(self);
        net::serve(MAX_FRONT_CONNECTIONS, move |request| {
            this.answer(front, request)
        })
    }

    /// Writes a key as the operator or a minion does.
    pub fn write(&self, key: &str, value: &Value) {
        let mut data = lock(&self.data);
        data.rev += 1;
        let value = net::encode(value.write().as_bytes());
        data.put(key, value, 0);
        drop(data);
        self.changed.notify_all();
    }

    /// Removes a key as a minion does.
    pub fn remove(&self, key: &str) {
        let mut data = lock(&self.data);
        data.rev += 1;
        data.delete(key);
        drop(data);
        self.changed.notify_all();
    }

    /// Returns the front that last wrote to the store under a condition.
    pub fn last_writer(&self) -> Option<usize> {
        lock(&self.data).last_writer
    }

    /// Returns how many transactions were refused for the size of a value.
    pub fn too_large(&self) -> u64 {
        lock(&self.data).too_large
    }

    fn answer(&self, front: usize, request: &Request) -> Reply {
        let body = Value::parse(&request.body).unwrap_or(Value::Null);
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let data = lock(&self.data);
                let key = request.query("Key");
                Some(match data.items.get(key) {
                    Some(item) => (200, item_body(key, item).write()),
                    None => (404, "{}".to_owned()),
                })
            }
            ("GET", "/kv-range") => Some((200, self.range(request).write())),
            ("GET", "/kv-watch") => Some(self.watch(request)),
            ("POST", "/kv-txn") => Some(self.commit(front, &body)),
            ("POST", "/kv-lease") => {
                let mut data = lock(&self.data);
                let ttl = body.get("TtlMs").number().clamp(1_000.0, 600_000.0);
                data.next_lease += 1;
                let lease = data.next_lease;
                let span = Duration::from_millis(ttl as u64);
                data.leases.insert(lease, (span, Instant::now() + span));
                let fields = vec![("Lease", number(lease)), ("TtlMs", Value::Number(ttl))];
                Some((200, table(fields).write()))
            }
            _ => {
                let (call, lease) = path.rsplit_once('/')?;
                let lease: u64 = lease.parse().ok()?;
                let mut data = lock(&self.data);
                match (request.method.as_str(), call) {
                    ("POST", "/kv-keep") => Some(match data.leases.get_mut(&lease) {
                        Some((span, end)) => {
                            *end = Instant::now() + *span;
                            (200, "{}".to_owned())
                        }
                        None => (404, "{}".to_owned()),
                    }),
                    ("DELETE", "/kv-lease-end") => {
                        data.end_lease(lease);
                        drop(data);
                        self.changed.notify_all();
                        Some((200, "{}".to_owned()))
                    }
                    _ => Some((404, "{}".to_owned())),
                }
            }
        }
    }

    fn range(&self, request: &Request) -> Value {
        let data = lock(&self.data);
        let (prefix, after) = (request.query("Prefix"), request.query("After"));
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        let found = data.items.range(prefix.to_owned()..);
        for (key, item) in found.take_while(|(key, _)| key.starts_with(prefix)) {
            if key.as_str() <= after {
                continue;
            }
            if items.len() >= MAX_PAGE_ITEMS || bytes >= MAX_PAGE_BYTES {
                more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_body(key, item));
        }
        table(vec![
            ("items", Value::List(items)),
            ("MorePages", Value::Bool(more)),
            ("CurrentRev", number(data.rev)),
        ])
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("Prefix");
        let after: u64 = request.query("After").parse().unwrap_or(0);
        let wait: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut data = lock(&self.data);
        loop {
            let from = data.history.partition_point(|event| event.rev <= after);
            let events: Vec<Value> = data.history[from..]
                .iter()
                .filter(|event| event.key.starts_with(prefix))
                .map(|event| match &event.value {
                    Some(value) => table(vec![
                        ("Key", text(&event.key)),
                        ("Value", text(value)),
                        ("Rev", number(event.rev)),
                    ]),
                    None => table(vec![
                        ("Key", text(&event.key)),
                        ("Rev", number(event.rev)),
                        ("Deleted", Value::Bool(true)),
                    ]),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = table(vec![
                    ("events", Value::List(events)),
                    ("CurrentRev", number(data.rev)),
                ]);
                return (200, body.write());
            }
            let waited = self.changed.wait_timeout(data, left);
            data = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn commit(&self, front: usize, body: &Value) -> (u16, String) {
        let (expected, puts) = (body.get("Expected").list(), body.get("Puts").list());
        let deletes = body.get("Deletes").list();
        if expected.len() + puts.len() + deletes.len() > MAX_ENTRIES {
            return (400, "{\"Error\":\"too many entries\"}".to_owned());
        }
        let mut data = lock(&self.data);
        let length = |put: &Value| net::decoded_length(put.get("Value").text());
        if puts.iter().any(|put| length(put) > self.value_bytes) {
            data.too_large += 1;
            return (400, "{\"Error\":\"a value is too large\"}".to_owned());
        }
        let rev_of = |data: &Data, key: &str| data.items.get(key).map_or(0, |item| item.rev);
        let holds = expected
            .iter()
            .all(|row| rev_of(&data, row.get("Key").text()) == row.get("Rev").number() as u64);
        if !holds {
            let items = expected.iter().map(|row| {
                let key = row.get("Key").text();
                data.items.get(key).map_or_else(
                    || table(vec![("Key", text(key)), ("Rev", number(0))]),
                    |item| item_body(key, item),
                )
            });
            let items = Value::List(items.collect());
            return (412, table(vec![("items", items)]).write());
        }
        let lease_of = |put: &Value| put.get("Lease").number() as u64;
        let mut leases = puts.iter().map(lease_of).filter(|lease| *lease > 0);
        if leases.any(|lease| !data.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        if puts.is_empty() && deletes.is_empty() {
            return (200, table(vec![("Rev", number(data.rev))]).write());
        }
        if !expected.is_empty() {
            data.last_writer = Some(front);
        }
        data.rev += 1;
        for put in puts {
            let value = put.get("Value").text().to_owned();
            data.put(put.get("Key").text(), value, lease_of(put));
        }
        for key in deletes {
            data.delete(key.text());
        }
        let rev = data.rev;
        drop(data);
        self.changed.notify_all();
        (200, table(vec![("Rev", number(rev))]).write())
    }
}

/// `Step` is what the minions' tasks of a step do.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// The work of a task, in milliseconds.
    pub work_ms: f64,
    pub cpu: u64,
    /// The number of members if it is a gang.
    pub gang: usize,
    pub lasts: bool,
    pub fills: bool,
    pub saves: bool,
}

/// `Run` is a run on a minion.
#[derive(Clone, Debug)]
struct Run {
    task: String,
    run: u64,
    step: Step,
    done_ms: f64,
    saved: String,
    saved_ms: f64,
    pace: f64,
    /// The share from `PaceMs` after the order on.
    next_pace: Option<(Instant, f64)>,
    stop_ends: Option<Instant>,
    waits_since: Option<Instant>,
}

/// `Minion` is one minion.
#[derive(Debug)]
struct Minion {
    id: String,
    zone: String,
    kind: &'static str,
    rack: String,
    address: String,
    is_up: bool,
    born: u64,
    clock_began: Instant,
    fence: u64,
    lease_end: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    floor: HashMap<String, u64>,
}

impl Minion {
    fn clock(&self) -> u64 {
        10_000 + self.clock_began.elapsed().as_millis() as u64
    }

    fn end(&mut self, run: &Run, how: &'static str) {
        self.last_end += 1;
        let floor = self.floor.entry(run.task.clone()).or_default();
        *floor = (*floor).max(run.run);
        let saved = run.saved.clone();
        self.ended
            .push((self.last_end, run.task.clone(), run.run, how, saved));
    }
}

/// `Start` is a start that a minion has begun on an order.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Instant,
    pub task: String,
    pub run: u64,
    pub checkpoint: String,
}

#[derive(Debug, Default)]
struct State {
    minions: Vec<Minion>,
    /// The steps of the jobs that clients have sent.
    jobs: HashMap<String, Vec<Step>>,
    starts: Vec<Start>,
    /// The tasks that have ended as done, and how often.
    done: HashMap<String, u64>,
    /// The share orders: when, task, percent.
    paces: Vec<(Instant, String, f64)>,
    /// The load of each serving task by itself, as the tail of its response times.
    load_ms: f64,
}

/// `Pool` is the platform's minions.
#[derive(Debug)]
pub struct Pool {
    state: Mutex<State>,
    pub settings: Settings,
}

/// `Settings` describes the minions.
#[derive(Clone, Debug)]
pub struct Settings {
    pub minions: usize,
    pub zones: usize,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    /// The number of minions of the kind "large"; the others are "general".
    pub large: usize,
    pub max_hold_ms: u64,
    pub stop_ms: u64,
    pub gang_ms: u64,
    pub checkpoint_ms: f64,
}

impl Pool {
    /// Starts the minions, which register in the store.
    pub fn start(settings: Settings, store: &Arc<Store>) -> Arc<Self> {
        let pool = Arc::new(Self {
            state: Mutex::default(),
            settings,
        });
        for at in 0..pool.settings.minions {
            let this = Arc::clone(&pool);
            let address = net::serve(MAX_CONNECTIONS, move |request| this.answer(at, request));
            lock(&pool.state).minions.push(Minion {
                id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(2 * at as u32 + 1)),
                zone: format!("zone-{}", at % pool.settings.zones),
                kind: if at < pool.settings.large {
                    "large"
                } else {
                    "general"
                },
                rack: format!("r{}", at / 8),
                address,
                is_up: true,
                born: wall_ms(),
                clock_began: Instant::now(),
                fence: 0,
                lease_end: 0,
                runs: Vec::new(),
                ended: Vec::new(),
                last_end: 0,
                floor: HashMap::new(),
            });
        }
        pool.register(store);
        let (this, store) = (Arc::clone(&pool), Arc::clone(store));
        std::thread::spawn(move || {
            let mut last = Instant::now();
            let mut registered = Instant::now();
            loop {
                std::thread::sleep(Duration::from_millis(5));
                let now = Instant::now();
                this.advance(now - last);
                last = now;
                if now - registered >= Duration::from_millis(1_500) {
                    this.register(&store);
                    registered = now;
                }
            }
        });
        pool
    }

    /// Writes the reports of the minions that are up.
    fn register(&self, store: &Store) {
        let entries: Vec<(String, Value)> = lock(&self.state)
            .minions
            .iter()
            .filter(|minion| minion.is_up)
            .map(|minion| {
                let capacity = table(vec![
                    ("Cpu", number(self.settings.cpu)),
                    ("MemMb", number(self.settings.mem_mb)),
                    ("Gpu", number(self.settings.gpu)),
                ]);
                let labels = vec![text(minion.kind), text(&minion.rack)];
                let entry = table(vec![
                    ("Service", text("booking")),
                    ("Address", text(&minion.address)),
                    ("Zone", text(&minion.zone)),
                    ("Version", text("1")),
                    ("Slots", number(8)),
                    ("State", text("ready")),
                    ("ColdRemainingMs", number(0)),
                    ("SeqNo", number(wall_ms())),
                    ("Capacity", capacity),
                    ("Labels", Value::List(labels)),
                    ("born", number(minion.born)),
                ]);
                (format!("servers/{}", minion.id), entry)
            })
            .collect();
        for (key, entry) in entries {
            store.write(&key, &entry);
        }
    }

    /// Makes known what the tasks of a job do, before a client sends it.
    pub fn add_job(&self, id: &str, steps: Vec<Step>) {
        lock(&self.state).jobs.insert(id.to_owned(), steps);
    }

    /// Sets the load of the serving tasks.
    pub fn set_load(&self, load_ms: f64) {
        lock(&self.state).load_ms = load_ms;
    }

    /// Crashes a minion.
    pub fn crash(&self, at: usize) {
        let mut state = lock(&self.state);
        let minion = &mut state.minions[at];
        minion.is_up = false;
        minion.runs.clear();
        minion.ended.clear();
    }

    /// Removes the entry of a lost minion, as the platform does after three heartbeats.
    pub fn unregister(&self, at: usize, store: &Store) {
        let key = format!("servers/{}", lock(&self.state).minions[at].id);
        store.remove(&key);
    }

    /// Starts a crashed minion again under its id.
    pub fn restart(&self, at: usize) {
        let mut state = lock(&self.state);
        let minion = &mut state.minions[at];
        minion.is_up = true;
        minion.born = wall_ms().max(minion.born + 1);
        minion.clock_began = Instant::now();
        minion.fence = 0;
        minion.lease_end = 0;
        minion.last_end = 0;
        minion.floor.clear();
    }

    /// Returns the position of the minion that runs a task.
    pub fn find(&self, task: &str) -> Option<usize> {
        let state = lock(&self.state);
        let runs = |minion: &Minion| minion.is_up && minion.runs.iter().any(|run| run.task == task);
        state.minions.iter().position(runs)
    }

    /// Returns the starts so far.
    pub fn starts(&self) -> Vec<Start> {
        lock(&self.state).starts.clone()
    }

    /// Returns the number of starts so far.
    pub fn start_count(&self) -> usize {
        lock(&self.state).starts.len()
    }

    /// Returns the share orders so far.
    pub fn paces(&self) -> Vec<(Instant, String, f64)> {
        lock(&self.state).paces.clone()
    }

    /// Returns the runs of a job: minion, task, run, milliseconds of work done, and share.
    pub fn runs_of(&self, job: &str) -> Vec<(String, String, u64, f64, f64)> {
        let state = lock(&self.state);
        let mut found = Vec::new();
        for minion in state.minions.iter().filter(|minion| minion.is_up) {
            for run in minion.runs.iter().filter(|run| run.task.starts_with(job)) {
                let id = minion.id.clone();
                found.push((id, run.task.clone(), run.run, run.done_ms, run.pace));
            }
        }
        found
    }

    /// Returns the number of a job's tasks that have ended as done.
    pub fn done_of(&self, job: &str) -> usize {
        let state = lock(&self.state);
        state
            .done
            .keys()
            .filter(|task| task.starts_with(job))
            .count()
    }

    /// Returns the processors that runs have reserved, and those of all minions, in thousandths of a core.
    pub fn use_of_cpu(&self) -> (u64, u64) {
        let state = lock(&self.state);
        let runs = state.minions.iter().flat_map(|minion| &minion.runs);
        let used = runs.map(|run| if run.step.fills { 0 } else { run.step.cpu });
        (used.sum(), self.settings.cpu * self.settings.minions as u64)
    }

    fn advance(&self, span: Duration) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let State { minions, done, .. } = &mut *state;
        let mut members: HashMap<(String, u64), usize> = HashMap::new();
        for run in minions.iter().flat_map(|minion| &minion.runs) {
            if run.step.gang > 0 && run.stop_ends.is_none() {
                let part = run.task.rsplit_once('.').map_or("", |(part, _)| part);
                *members.entry((part.to_owned(), run.run)).or_default() += 1;
            }
        }
        let mut gangs: Vec<(String, u64, &'static str)> = Vec::new();
        for minion in minions.iter_mut().filter(|minion| minion.is_up) {
            let has_lapsed = minion.lease_end < minion.clock();
            let mut runs = std::mem::take(&mut minion.runs);
            let mut kept = Vec::with_capacity(runs.len());
            for mut run in runs.drain(..) {
                if let Some((at, pace)) = run.next_pace
                    && at <= now
                {
                    run.pace = pace;
                    run.next_pace = None;
                }
                let part = if run.step.gang > 0 {
                    run.task
                        .rsplit_once('.')
                        .map_or("", |(part, _)| part)
                        .to_owned()
                } else {
                    String::new()
                };
                let is_whole = run.step.gang == 0
                    || members.get(&(part.clone(), run.run)) == Some(&run.step.gang);
                let how = if has_lapsed {
                    Some("lapsed")
                } else if let Some(at) = run.stop_ends {
                    (at <= now).then_some("stopped")
                } else if !is_whole {
                    let has_worked = run.done_ms > 0.0 && run.waits_since.is_none();
                    let since = *run.waits_since.get_or_insert(now);
                    let limit = Duration::from_millis(self.settings.gang_ms);
                    // The other members of a gang that has worked end when one ends.
                    if has_worked {
                        Some("broken")
                    } else {
                        (now - since >= limit).then_some("alone")
                    }
                } else {
                    run.waits_since = None;
                    run.done_ms += span.as_secs_f64() * 1_000.0 * run.pace / 100.0;
                    if run.step.saves && run.done_ms - run.saved_ms >= self.settings.checkpoint_ms {
                        run.saved_ms = run.done_ms;
                        run.saved = checkpoint(&run.task, run.done_ms);
                    }
                    (!run.step.lasts && run.done_ms >= run.step.work_ms).then_some("done")
                };
                match how {
                    None => kept.push(run),
                    Some(how) => {
                        if how == "stopped" && run.step.saves {
                            run.saved = checkpoint(&run.task, run.done_ms);
                        }
                        if how == "done" {
                            *done.entry(run.task.clone()).or_default() += 1;
                        }
                        if run.step.gang > 0 {
                            gangs.push((part, run.run, how));
                        }
                        minion.end(&run, how);
                    }
                }
            }
            minion.runs = kept;
        }
        // A gang ends as a whole.
        for (part, number, how) in gangs {
            let how = if how == "done" { "done" } else { "broken" };
            for minion in minions.iter_mut() {
                let is_member = |run: &Run| {
                    run.run == number && run.task.rsplit_once('.').is_some_and(|(p, _)| p == part)
                };
                let ended: Vec<Run> = minion
                    .runs
                    .iter()
                    .filter(|r| is_member(r))
                    .cloned()
                    .collect();
                minion.runs.retain(|run| !is_member(run));
                for run in ended {
                    minion.end(&run, how);
                }
            }
        }
    }

    fn answer(&self, at: usize, request: &Request) -> Reply {
        let body = Value::parse(&request.body).unwrap_or(Value::Null);
        let wait = body.get("WaitMs").number() as u64;
        let end = Instant::now() + Duration::from_millis(wait);
        let began = {
            let state = lock(&self.state);
            let minion = &state.minions[at];
            if !minion.is_up {
                return None;
            }
            let wanted = request.header("X-Expect-Instance");
            if !wanted.is_empty() && wanted != minion.id {
                return Some((421, "{}".to_owned()));
            }
            minion.born
        };
        if request.path == "/hold" {
            // The lease counts from the arrival of the order.
            loop {
                let mut state = lock(&self.state);
                let minion = &mut state.minions[at];
                if !minion.is_up || minion.born != began {
                    return None;
                }
                let fenced = self.take_hold(minion, &body);
                if fenced || !minion.ended.is_empty() || Instant::now() >= end {
                    break;
                }
                drop(state);
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        let mut state = lock(&self.state);
        if !state.minions[at].is_up || state.minions[at].born != began {
            return None;
        }
        Some(match request.path.as_str() {
            "/hold" => self.hold(&mut state, at, &body),
            "/run-start" => self.begin(&mut state, at, &body),
            "/run-stop" => self.stop(&mut state.minions[at], &body),
            "/pace" => self.pace(&mut state, at, &body),
            "/health" => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        })
    }

    /// Takes the fencing token, the lease and the seen ends of a hold; returns whether it is refused.
    fn take_hold(&self, minion: &mut Minion, body: &Value) -> bool {
        let token = body.get("FencingToken").number() as u64;
        if token < minion.fence {
            return true;
        }
        minion.fence = token;
        self.extend(minion, body);
        let seen = body.get("SeenUpto").number() as u64;
        minion.ended.retain(|end| end.0 > seen);
        false
    }

    fn extend(&self, minion: &mut Minion, body: &Value) {
        let until = body.get("UntilMs").number() as u64;
        let most = minion.clock() + self.settings.max_hold_ms;
        minion.lease_end = minion.lease_end.max(until.min(most));
    }

    fn hold(&self, state: &mut State, at: usize, body: &Value) -> (u16, String) {
        let load = state.load_ms;
        let minion = &mut state.minions[at];
        if self.take_hold(minion, body) {
            return refusal(minion, "fence");
        }
        let filling: f64 = minion
            .runs
            .iter()
            .filter(|run| run.step.fills)
            .map(|run| run.pace)
            .sum();
        let running = minion.runs.iter().filter(|run| run.stop_ends.is_none());
        let running = running.map(|run| {
            let percent = if run.step.lasts {
                100.0
            } else {
                (run.done_ms * 100.0 / run.step.work_ms).min(99.0).floor()
            };
            let figure = if run.step.lasts {
                (load + 2.0 * filling).floor()
            } else {
                run.step.cpu as f64
            };
            Value::List(vec![
                text(&run.task),
                number(run.run),
                text(&run.saved),
                Value::Number(percent),
                Value::Number(figure),
            ])
        });
        let running = Value::List(running.collect());
        let ended = minion.ended.iter().take(MAX_ENDS).map(|end| {
            Value::List(vec![
                number(end.0),
                text(&end.1),
                number(end.2),
                text(end.3),
                text(&end.4),
            ])
        });
        let ended = Value::List(ended.collect());
        let reply = table(vec![
            ("ClockMs", number(minion.clock())),
            ("born", number(minion.born)),
            ("Running", running),
            ("Ended", ended),
        ]);
        (200, reply.write())
    }

    fn begin(&self, state: &mut State, at: usize, body: &Value) -> (u16, String) {
        let (task, number) = (body.get("Task").text(), body.get("Run").number() as u64);
        let mut names = task.split('.');
        let job = names.next().unwrap_or_default();
        let step = names.nth(1).and_then(|step| step.parse::<usize>().ok());
        let known = state
            .jobs
            .get(job)
            .and_then(|steps| steps.get(step?).cloned());
        let minion = &mut state.minions[at];
        let token = body.get("FencingToken").number() as u64;
        if token < minion.fence {
            return refusal(minion, "fence");
        }
        minion.fence = token;
        if (body.get("UntilMs").number() as u64) < minion.clock() {
            return refusal(minion, "late");
        }
        self.extend(minion, body);
        if minion
            .runs
            .iter()
            .any(|run| run.task == task && run.run == number)
        {
            return accepted(minion);
        }
        if minion.floor.get(task).is_some_and(|floor| *floor >= number) {
            return refusal(minion, "old");
        }
        let saved = body.get("Checkpoint").text().to_owned();
        let done_ms = progress(&saved);
        minion.runs.push(Run {
            task: task.to_owned(),
            run: number,
            step: known.unwrap_or_default(),
            done_ms,
            saved_ms: done_ms,
            saved: saved.clone(),
            pace: 100.0,
            next_pace: None,
            stop_ends: None,
            waits_since: None,
        });
        let reply = accepted(minion);
        state.starts.push(Start {
            at: Instant::now(),
            task: task.to_owned(),
            run: number,
            checkpoint: saved,
        });
        reply
    }

    fn stop(&self, minion: &mut Minion, body: &Value) -> (u16, String) {
        let (task, number) = (body.get("Task").text(), body.get("Run").number() as u64);
        let token = body.get("FencingToken").number() as u64;
        if token < minion.fence {
            return refusal(minion, "fence");
        }
        minion.fence = token;
        let floor = minion.floor.entry(task.to_owned()).or_default();
        *floor = (*floor).max(number);
        let ends = Instant::now() + Duration::from_millis(self.settings.stop_ms / 2);
        for run in &mut minion.runs {
            if run.task == task && run.run == number {
                run.stop_ends.get_or_insert(ends);
            }
        }
        accepted(minion)
    }

    fn pace(&self, state: &mut State, at: usize, body: &Value) -> (u16, String) {
        let (task, number) = (body.get("Task").text(), body.get("Run").number() as u64);
        let percent = body.get("Percent").number();
        let minion = &mut state.minions[at];
        let token = body.get("FencingToken").number() as u64;
        if token < minion.fence {
            return refusal(minion, "fence");
        }
        minion.fence = token;
        for run in &mut minion.runs {
            if run.task == task && run.run == number {
                run.next_pace = Some((Instant::now() + Duration::from_millis(100), percent));
            }
        }
        let reply = accepted(minion);
        state.paces.push((Instant::now(), task.to_owned(), percent));
        reply
    }
}

/// Returns a checkpoint: the milliseconds of work done, then a part of the job's id.
fn checkpoint(task: &str, done_ms: f64) -> String {
    format!(
        "{:08x}{}",
        done_ms as u64,
        task.get(..8).unwrap_or_default()
    )
}

fn progress(checkpoint: &str) -> f64 {
    let done = checkpoint
        .get(..8)
        .and_then(|text| u64::from_str_radix(text, 16).ok());
    done.unwrap_or(0) as f64
}

fn accepted(minion: &Minion) -> (u16, String) {
    let fields = vec![
        ("ClockMs", number(minion.clock())),
        ("born", number(minion.born)),
    ];
    (200, table(fields).write())
}

fn refusal(minion: &Minion, reason: &str) -> (u16, String) {
    let fields = vec![
        ("ClockMs", number(minion.clock())),
        ("born", number(minion.born)),
        ("Reason", text(reason)),
    ];
    (409, table(fields).write())
}
