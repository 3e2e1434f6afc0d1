//! The scenarios of the cases.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use crate::entry::{Entry, MEMORY_MB};
use crate::http::{Request, Server, call};
use crate::json::{Json, map, num, text};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{STOP, Worker, Works};

const HOST: &str = "jobs.example";
const PREFIX: &str = "/queue1/";
const ENTRIES: usize = 3;
const WORKERS: usize = 8;
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
    /// The minions that are started again, with the number of their next life, and when.
    returning: Vec<(String, u32, String, Instant)>,
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

fn config() -> Json {
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
    map(vec![
        ("Version", num(7)),
        ("Routes", Json::List(vec![route])),
        ("Services", Json::List(vec![service])),
        ("Limits", limits),
    ])
}

impl Site {
    fn start(dir: &Path, record: &Arc<Record>) -> Result<Site, String> {
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
        store.write("op/config", &config());
        let works = Works::default();
        let workers: Result<Vec<Arc<Worker>>, String> = (0..WORKERS)
            .map(|at| say(Worker::start((&format!("{at}"), 1, address), &works, &store, record)))
            .collect();
        let entries: Result<Vec<Entry>, String> = (1..=ENTRIES)
            .map(|at| {
                let store = &served[at - 1].address;
                say(Entry::start(at, dir, store, &adviser.address, record))
            })
            .collect();
        served.push(adviser);
        let mut site = Site {
            store,
            works,
            workers: workers?,
            entries: entries?,
            record: Arc::clone(record),
            returning: Vec::new(),
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

    /// Looks after the processes and starts crashed minions again that are due.
    fn tend(&mut self) -> Result<(), String> {
        for entry in &mut self.entries {
            say(entry.tend())?;
        }
        let due = |at: &Instant| *at <= Instant::now();
        while let Some(at) = self.returning.iter().position(|(.., at)| due(at)) {
            let (name, life, address, _) = self.returning.remove(at);
            let back = (name.as_str(), life, address.as_str());
            let worker = say(Worker::start(back, &self.works, &self.store, &self.record))?;
            self.record.line(&format!("minion {} starts at {address}", worker.id));
            self.workers.push(worker);
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

    /// Crashes a minion; another life of it, with a new id, is at the same address `down` later.
    fn crash(&mut self, at: usize, life: u32, down: Duration) {
        let worker = self.workers.remove(at);
        let address = worker.address.lock().unwrap().clone();
        worker.crash();
        let back = Instant::now() + down;
        self.returning.push((worker.name.clone(), life, address, back));
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
    let mut site = Site::start(dir, record)?;
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

/// Two minions crash, one after the other, each soon after it has started a task of the same job.
///
/// Checks LOST: a job is shown as `failed` although no task of it has failed.
pub fn crashes(dir: &Path, trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let mut site = Site::start(dir, record)?;
    let (id, task) = ("00000000000000b1", "00000000000000b1.0.0.0");
    let job = map(vec![("Spec", text("once")), ("Steps", Json::List(vec![step(1, 2_000)]))]);
    site.submit(id, &[2_000], &job)?;
    let begin = Instant::now();
    let mut crashes = 0;
    let mut seen = None;
    while begin.elapsed() < Duration::from_secs(40) {
        site.tend()?;
        let running = |worker: &Arc<Worker>| worker.runs(task).is_some_and(|ms| ms >= 100);
        if trouble && crashes < 2 {
            if let Some(at) = site.workers.iter().position(running) {
                crashes += 1;
                site.crash(at, 1 + crashes, Duration::from_millis(4_500));
            }
        }
        if begin.elapsed().as_millis() % 500 < 12 {
            let state = site.state(id);
            if matches!(state.as_str(), "completed" | "failed" | "cancelled") {
                seen = Some(state);
                break;
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    match seen.as_deref() {
        Some("completed") => Ok(Vec::new()),
        Some(state @ ("failed" | "cancelled")) => Ok(vec![format!(
            "LOST: job {id} is shown as {state}; no run of its task has ended as failed, and nobody has cancelled it"
        )]),
        _ => Err("the job has not ended in time".to_owned()),
    }
}

/// Two connections of a process to the store go silent, and a client cancels two jobs just then.
///
/// Checks UNASKED: no task of a cancelled job starts later than `cancel_ms` after the cancelling was acknowledged, or
/// runs on `StopMs` after that.
pub fn cancels(dir: &Path, trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let mut site = Site::start(dir, record)?;
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
