//! The scenarios of the cases.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use crate::entry::{Entry, MEMORY_MB};
use crate::http::{Request, Server, Unfinished, call};
use crate::json::{Json, map, num, text};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{STOP, Worker, Works};

const HOST: &str = "jobs.example";
const PREFIX: &str = "/queue1/";
const ENTRIES: usize = 3;
const WORKERS: usize = 8;
/// Strict revocation: how long a key that was taken away may be served at most.
const REVOKE: Duration = Duration::from_millis(5_000);
const CALL: Duration = Duration::from_millis(3_000);
const FINISH: Duration = Duration::from_secs(14);
const CANCEL: Duration = Duration::from_millis(3_000);
/// What the clock of the check may be late.
const SLACK: Duration = Duration::from_millis(50);
const CONTACT: Duration = Duration::from_millis(3_000);

/// A small deployment: the store, the minions and the system's own processes.
struct Site {
    store: Arc<Store>,
    works: Works,
    workers: Vec<Arc<Worker>>,
    entries: Vec<Entry>,
    record: Arc<Record>,
    /// The addresses of the store, one for each process, and that of the adviser.
    servers: Vec<Server>,
}

fn say<T>(result: std::io::Result<T>) -> Result<T, String> {
    result.map_err(|error| error.to_string())
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The configuration; `tenants` has the keys of each tenant, if the deployment has tenants.
fn config(version: u64, tenants: &[(&str, &[&str])]) -> Json {
    let route = map(vec![
        ("Name", text("r-1")),
        ("Host", text(HOST)),
        ("Prefix", text(PREFIX)),
        ("Kind", text("non_idempotent")),
        ("TimeoutMs", num(3_000)),
        ("TargetLatencyMs", num(1_200)),
        ("Priority", num(1)),
        ("Service", text("booking1")),
        ("MaxAttempts", num(3)),
        ("Stretch", Json::Number(2.2)),
    ]);
    let service = map(vec![
        ("Name", text("booking1")),
        ("HealthPath", text("/health")),
        ("MaxConnections", num(64)),
        ("Protocol", text("h1")),
        ("Tls", Json::Bool(false)),
        ("AdmissionControl", Json::Bool(false)),
        ("Spare", Json::Bool(false)),
    ]);
    let limits = map(vec![
        ("MaxHeaderBytes", num(16_384)),
        ("MaxBodyBytes", num(262_144)),
        ("HeaderTimeoutMs", num(3_000)),
        ("IdleTimeoutMs", num(15_000)),
    ]);
    let mut fields = vec![
        ("Version", num(version)),
        ("Routes", Json::List(vec![route])),
        ("Services", Json::List(vec![service])),
        ("Limits", limits),
    ];
    if !tenants.is_empty() {
        let tenants = tenants.iter().map(|(name, keys)| {
            map(vec![
                ("Name", text(name)),
                ("ApiKeys", Json::List(keys.iter().map(|key| text(key)).collect())),
                ("Weight", num(5)),
                (
                    "MaxCount",
                    map(vec![("Cpu", num(0)), ("MemMb", num(0)), ("Gpu", num(0))]),
                ),
            ])
        });
        fields.push(("Tenants", Json::List(tenants.collect())));
    }
    map(fields)
}

impl Site {
    fn start(
        dir: &Path,
        tenants: &[(&str, &[&str])],
        record: &Arc<Record>,
    ) -> Result<Site, String> {
        let store = Store::new();
        let address = "127.0.0.1:0";
        // Each process has an address of the store to itself, which tells their calls apart.
        let served: Result<Vec<Server>, String> = (0..ENTRIES)
            .map(|caller| {
                let serving = Arc::clone(&store);
                let answer = move |request: &Request| serving.answer(caller, request);
                say(Server::start(address, answer))
            })
            .collect();
        let mut served = served?;
        // No queue asks for advice.
        let adviser = say(Server::start(address, |_| Some((429, String::new()))))?;
        store.write("op/config", &config(7, tenants));
        let works = Works::default();
        let workers: Result<Vec<Arc<Worker>>, String> = (0..WORKERS)
            .map(|at| say(Worker::start((&format!("{at}"), 1, address), &works, &store, record)))
            .collect();
        let entries: Result<Vec<Entry>, String> = (1..=ENTRIES)
            .map(|at| {
                let platform = (served[at - 1].address.as_str(), adviser.address.as_str());
                say(Entry::start(at, dir, platform, !tenants.is_empty(), record))
            })
            .collect();
        served.push(adviser);
        let mut site = Site {
            store,
            works,
            workers: workers?,
            entries: entries?,
            record: Arc::clone(record),
            servers: served,
        };
        let begin = Instant::now();
        while !site.entries.iter().all(Entry::is_ready) {
            site.tend()?;
            if begin.elapsed() > Duration::from_secs(15) {
                return Err("the processes aren't ready".to_owned());
            }
        }
        // A lead is there, and knows the minions.
        site.wait(Duration::from_secs(2))?;
        if site.entries.iter().any(|entry| entry.own_ends > 0) {
            return Err("a process ended before the scenario began".to_owned());
        }
        Ok(site)
    }

    /// Looks after the processes.
    fn tend(&mut self) -> Result<(), String> {
        for entry in &mut self.entries {
            say(entry.tend())?;
        }
        Ok(())
    }

    fn wait(&mut self, span: Duration) -> Result<(), String> {
        let begin = Instant::now();
        while begin.elapsed() < span {
            self.tend()?;
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Sends a request to the entries in turn until one gives another answer than 502, 503 or 504.
    fn send(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        for entry in &self.entries {
            let answer = call(&entry.front, (method, &path, HOST), body, CALL);
            let line = match &answer {
                Ok((status, body)) => format!("{status} {body}"),
                Err(why) => format!("no answer: {why}"),
            };
            self.record.line(&format!("{method} {id} at {}: {line}", entry.name));
            match answer {
                Ok((502..=504, _)) | Err(_) => {}
                Ok(answer) => return Some(answer),
            }
        }
        None
    }

    fn submit(&self, id: &str, works: &[u64], body: &Json) -> Result<(), String> {
        self.works.lock().unwrap().insert(id.to_owned(), works.to_vec());
        let body = body.to_string();
        self.record.line(&format!("job {id}: {body}"));
        match self.send("POST", id, &body) {
            Some((200..=299, _)) => Ok(()),
            other => Err(format!("job {id} was not accepted: {other:?}")),
        }
    }

    fn state(&self, id: &str) -> String {
        let answer = self.send("GET", id, "");
        let body = answer.and_then(|(_, body)| Json::parse(&body));
        body.map_or("none".to_owned(), |body| body.get("State").text().to_owned())
    }
}

fn step(count: u64, estimate: u64) -> Json {
    map(vec![
        ("Count", num(count)),
        ("Cpu", num(500)),
        ("MemMb", num(256)),
        ("EstimatedMs", num(estimate)),
    ])
}

/// A client submits a job that is due each minute for a year.
///
/// Checks LOST: an ordinary job that is accepted afterwards has nothing running for 3 s, `finish_s` after the end of
/// the traffic, while all minions are idle.
pub fn schedule(dir: &Path, trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let mut site = Site::start(dir, &[], record)?;
    let plain = map(vec![("Spec", text("once")), ("Steps", Json::List(vec![step(4, 400)]))]);
    site.submit("00000000000000a1", &[400], &plain)?;
    site.wait(Duration::from_secs(3))?;
    if site.state("00000000000000a1") != "completed" {
        return Err("an ordinary job was not run before the scenario".to_owned());
    }
    let times = if trouble { 525_600 } else { 8 };
    let timed = map(vec![
        ("Spec", text("each minute")),
        ("Steps", Json::List(vec![step(4, 400)])),
        ("StartAtMs", num(unix_ms() + 3_600_000)),
        ("IntervalMs", num(60_000)),
        ("RepeatCount", num(times)),
    ]);
    // The job may be refused; what was accepted before and after has to run all the same.
    let is_accepted = site.submit("00000000000000a2", &[400], &timed).is_ok();
    record.line(&format!("the timed job is accepted: {is_accepted}"));
    site.wait(Duration::from_secs(5))?;
    site.submit("00000000000000a3", &[400], &plain)?;
    site.wait(FINISH)?;
    let mut state = String::new();
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(3) && state != "completed" {
        site.wait(Duration::from_millis(500))?;
        state = site.state("00000000000000a3");
    }
    for entry in &site.entries {
        let (name, ends, peak) = (&entry.name, entry.own_ends, entry.peak_kb / 1024);
        record.line(&format!("{name}: ended by itself {ends} times, {peak} MB at its peak"));
    }
    let ends: u32 = site.entries.iter().map(|entry| entry.own_ends).sum();
    if state == "completed" {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "LOST: an accepted job is {state} with nothing running for 3 s, {} s after the end of the traffic and with all minions idle; processes ended by themselves {ends} times (memory over {MEMORY_MB} MB)",
        FINISH.as_secs()
    )])
}

/// Two connections of a process to the store go silent, and a client cancels two jobs just then.
///
/// Checks UNASKED: no task of a cancelled job starts later than `cancel_ms` after the cancelling was acknowledged, or
/// runs on `StopMs` after that.
pub fn cancels(dir: &Path, trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let mut site = Site::start(dir, &[], record)?;
    let (long, steps, other) = ("00000000000000c1", "00000000000000c2", "00000000000000c3");
    let lasts = map(vec![("Spec", text("long")), ("Steps", Json::List(vec![step(4, 30_000)]))]);
    site.submit(long, &[30_000], &lasts)?;
    let mut second = step(4, 400);
    if let Json::Map(fields) = &mut second {
        fields.push(("After".to_owned(), Json::List(vec![num(0)])));
    }
    let two = vec![step(1, 4_000), second];
    let two = map(vec![("Spec", text("two steps")), ("Steps", Json::List(two))]);
    site.submit(steps, &[4_000, 400], &two)?;
    site.wait(Duration::from_millis(600))?;
    // A job of another client comes just before.
    let plain = map(vec![("Spec", text("once")), ("Steps", Json::List(vec![step(1, 400)]))]);
    site.submit(other, &[400], &plain)?;
    site.wait(Duration::from_millis(40))?;
    let cut = Instant::now();
    if trouble {
        let writer = site.store.last_writer();
        let name = &site.entries[writer].name;
        let open = site.servers[writer].open.load(Ordering::SeqCst);
        let silent = site.store.silence(writer);
        record.line(&format!(
            "{silent} of the {open} open connections of {name} to the store go silent: those on which its watches wait"
        ));
    }
    for id in [long, steps] {
        match site.send("DELETE", id, "") {
            Some((200..=299, _)) => {}
            other => return Err(format!("the cancelling of {id} had no 2xx: {other:?}")),
        }
    }
    let acked = Instant::now();
    let mut broken = Vec::new();
    while acked.elapsed() < Duration::from_secs(8) {
        site.tend()?;
        let now = Instant::now();
        let is_calm = now > cut + CONTACT;
        for worker in &site.workers {
            for (task, began) in worker.at_work() {
                let is_cancelled = task.starts_with(long) || task.starts_with(steps);
                if !is_cancelled || !is_calm {
                    continue;
                }
                let after = |at: Instant| at.saturating_duration_since(acked).as_millis();
                if began > acked + CANCEL && began > cut + CONTACT {
                    broken.push(format!("UNASKED: {task} started {} ms after the cancelling was acknowledged", after(began)));
                }
                if now > acked + CANCEL + STOP + SLACK {
                    broken.push(format!("UNASKED: {task} runs on {} ms after the cancelling was acknowledged", after(now)));
                }
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // One line for each task and breach, the last one.
    broken.reverse();
    let mut kept: Vec<String> = Vec::new();
    for line in broken {
        let head = |line: &str| line.split(' ').take(3).collect::<Vec<_>>().join(" ");
        if !kept.iter().any(|have| head(have) == head(&line)) {
            kept.push(line);
        }
    }
    Ok(kept)
}

/// A tenant's key is taken away while a connected client sends a request; the client sends its last bytes later.
///
/// Checks CONFIG: no request that is sent later than `RevokeMs` after the acknowledgement of the version runs.
pub fn revocation(dir: &Path, trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let (kept, taken) = ("kept-key-1", "taken-key-2");
    let before: [(&str, &[&str]); 2] = [("t-1", &[kept]), ("t-2", &[taken, "other-key-3"])];
    let mut site = Site::start(dir, &before, record)?;
    let job = map(vec![("Spec", text("once")), ("Steps", Json::List(vec![step(2, 400)]))]);
    let body = job.to_string();
    let address = site.entries[0].front.clone();
    let post = |id: &str, key: &str, left: usize| {
        let path = format!("{PREFIX}{id}");
        let limit = Duration::from_secs(10);
        let target = ("POST", path.as_str(), HOST);
        Unfinished::begin(&address, target, (key, &body), left, limit)
    };
    let (slow, whole) = ("00000000000000d1", "00000000000000d2");
    for id in [slow, whole] {
        site.works.lock().unwrap().insert(id.to_owned(), vec![400]);
    }
    let left = body.len() / 2;
    let request = post(slow, taken, left)?;
    record.line(&format!("POST {slow} with {taken}: all but the last {left} bytes are sent"));
    site.wait(Duration::from_millis(300))?;
    if trouble {
        let after: [(&str, &[&str]); 2] = [("t-1", &[kept]), ("t-2", &["other-key-3"])];
        site.store.write("op/config", &config(9, &after));
        record.line(&format!("version 9, without {taken}, is acknowledged"));
    }
    let acked = Instant::now();
    site.wait(REVOKE + Duration::from_millis(500))?;
    let key = if trouble { taken } else { kept };
    let answer = post(whole, key, 0)?.finish();
    record.line(&format!("POST {whole} with {key}, sent whole now: {answer:?}"));
    let sent = acked.elapsed().as_millis();
    let answer = request.finish();
    record.line(&format!("POST {slow}: the last bytes are sent {sent} ms after the acknowledgement: {answer:?}"));
    site.wait(Duration::from_secs(2))?;
    Ok(match answer {
        Ok((200..=299, _)) if trouble => vec![format!(
            "CONFIG: a request whose key was taken away runs; its last bytes were sent {sent} ms after the acknowledgement, {} are allowed",
            REVOKE.as_millis()
        )],
        _ => Vec::new(),
    })
}
