//! A minion that starts whatever it is told to start, and runs each task for the time that its job estimates.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, map, num, text};
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The longest lease and the time that a stop takes, in milliseconds.
pub const MAX_HOLD_MS: u64 = 6_000;
pub const STOP: Duration = Duration::from_millis(900);
const STOP_MS: u64 = STOP.as_millis() as u64;

/// The estimated times of the steps of each job, in milliseconds.
pub type Works = Arc<Mutex<BTreeMap<String, Vec<u64>>>>;

struct Run {
    task: String,
    run: u64,
    began: u64,
    work: u64,
    stopped: Option<u64>,
}

struct State {
    fence: u64,
    lease: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    floor: BTreeMap<String, u64>,
}

/// One life of a minion.
pub struct Worker {
    pub id: String,
    pub address: Mutex<String>,
    born: u64,
    start: Instant,
    state: Mutex<State>,
    server: Mutex<Option<Server>>,
    works: Works,
    record: Arc<Record>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Worker {
    pub fn start(
        (name, life, address): (&str, u32, &str),
        works: &Works,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Worker>> {
        let worker = Arc::new(Worker {
            id: format!("i-{name}{life:04}"),
            address: Mutex::default(),
            born: unix_ms(),
            start: Instant::now(),
            state: Mutex::new(State {
                fence: 0,
                lease: 0,
                runs: Vec::new(),
                ended: Vec::new(),
                last_end: 0,
                floor: BTreeMap::new(),
            }),
            server: Mutex::new(None),
            works: Arc::clone(works),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&worker);
        let server = Server::start(address, move |request| serving.answer(request))?;
        worker.address.lock().unwrap().clone_from(&server.address);
        *worker.server.lock().unwrap() = Some(server);
        let ticking = Arc::clone(&worker);
        let store = Arc::clone(store);
        std::thread::spawn(move || ticking.live(&store));
        Ok(worker)
    }

    /// Advances the runs and keeps the entry in the store.
    fn live(&self, store: &Store) {
        let key = format!("servers/{}", self.id);
        let (mut number, mut written) = (0, None::<Instant>);
        loop {
            if written.is_none_or(|at| at.elapsed() >= HEARTBEAT) {
                number += 1;
                written = Some(Instant::now());
                store.write(&key, &self.entry(number));
            }
            self.advance();
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn entry(&self, number: u64) -> Json {
        let capacity = map(vec![
            ("Cpu", num(64_000)),
            ("MemMb", num(131_072)),
            ("Gpu", num(0)),
        ]);
        map(vec![
            ("Service", text("booking1")),
            ("Address", text(&self.address.lock().unwrap())),
            ("Zone", text("zone-a")),
            ("Version", text("v1")),
            ("Slots", num(8)),
            ("State", text("ready")),
            ("ColdRemainingMs", num(0)),
            ("Capacity", capacity),
            ("Labels", Json::List(vec![text("a"), text("r1-1")])),
            ("ClockMs", num(self.clock())),
            ("SeqNo", num(number)),
            ("born", num(self.born)),
        ])
    }

    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the tasks that run here or are being stopped, with the times of their starts.
    pub fn at_work(&self) -> Vec<(String, Instant)> {
        let state = self.state.lock().unwrap();
        let began = |run: &Run| self.start + Duration::from_millis(run.began);
        state.runs.iter().map(|run| (run.task.clone(), began(run))).collect()
    }

    fn advance(&self) {
        let now = self.clock();
        let mut state = self.state.lock().unwrap();
        let lapsed = state.lease < now;
        let over = |run: &Run| match run.stopped {
            _ if lapsed => Some("lapsed"),
            Some(at) if at + STOP_MS <= now => Some("stopped"),
            None if run.began + run.work <= now => Some("done"),
            _ => None,
        };
        let (ended, runs): (Vec<Run>, Vec<Run>) = std::mem::take(&mut state.runs)
            .into_iter()
            .partition(|run| over(run).is_some());
        state.runs = runs;
        for run in ended {
            let how = over(&run).unwrap_or("done");
            self.record.line(&format!(
                "minion {} ends {} run {}: {how}",
                self.id, run.task, run.run
            ));
            state.last_end += 1;
            let number = state.last_end;
            let floor = state.floor.entry(run.task.clone()).or_default();
            *floor = (*floor).max(run.run);
            state.ended.push((number, run.task, run.run, how));
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return Some((421, String::new()));
        }
        if request.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        let body = Json::parse(&request.body)?;
        let fence = body.get("FencingToken").number();
        {
            let mut state = self.state.lock().unwrap();
            if fence < state.fence {
                return self.refuse("fence");
            }
            state.fence = fence;
        }
        match request.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => {
                let (task, run) = (body.get("Task").text(), body.get("Run").number());
                let now = self.clock();
                let mut state = self.state.lock().unwrap();
                let floor = state.floor.entry(task.to_owned()).or_default();
                *floor = (*floor).max(run);
                let found = state.runs.iter_mut().find(|have| have.task == task && have.run == run);
                if let Some(found) = found {
                    found.stopped.get_or_insert(now);
                }
                self.accept(Vec::new())
            }
            "/pace" => self.accept(Vec::new()),
            "/hold" => self.hold(&body),
            _ => Some((400, String::new())),
        }
    }

    fn refuse(&self, reason: &str) -> Answer {
        let body = map(vec![("ClockMs", num(self.clock())), ("Reason", text(reason))]);
        Some((409, body.to_string()))
    }

    fn accept(&self, more: Vec<(&str, Json)>) -> Answer {
        let mut fields = vec![("ClockMs", num(self.clock())), ("born", num(self.born))];
        fields.extend(more);
        Some((200, map(fields).to_string()))
    }

    fn extend(&self, until: u64) {
        let most = self.clock() + MAX_HOLD_MS;
        let mut state = self.state.lock().unwrap();
        state.lease = state.lease.max(until.min(most));
    }

    fn start_run(&self, body: &Json) -> Answer {
        let (task, run) = (body.get("Task").text(), body.get("Run").number());
        let until = body.get("UntilMs").number();
        let now = self.clock();
        let has_run = {
            let state = self.state.lock().unwrap();
            if state.floor.get(task).is_some_and(|floor| *floor >= run) {
                drop(state);
                self.extend(until);
                return self.refuse("old");
            }
            state.runs.iter().any(|have| have.task == task && have.run == run)
        };
        if until < now {
            return self.refuse("late");
        }
        self.extend(until);
        if !has_run {
            let mut parts = task.split('.');
            let job = parts.next().unwrap_or_default();
            let step = parts.nth(1).and_then(|step| step.parse::<usize>().ok());
            let works = self.works.lock().unwrap();
            let work = works.get(job).and_then(|steps| steps.get(step?).copied());
            let Some(work) = work else {
                self.record.line(&format!("minion {} is told to start {task}, unknown", self.id));
                return Some((400, String::new()));
            };
            self.record.line(&format!("minion {} starts {task} run {run}", self.id));
            self.state.lock().unwrap().runs.push(Run {
                task: task.to_owned(),
                run,
                began: now,
                work,
                stopped: None,
            });
        }
        self.accept(Vec::new())
    }

    fn hold(&self, body: &Json) -> Answer {
        let seen = body.get("SeenUpto").number();
        if let Json::Number(until) = body.get("UntilMs") {
            self.extend(*until as u64);
        }
        self.state.lock().unwrap().ended.retain(|end| end.0 > seen);
        let end = Instant::now() + Duration::from_millis(body.get("WaitMs").number().min(2_000));
        while Instant::now() < end {
            if !self.state.lock().unwrap().ended.is_empty() {
                break;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let now = self.clock();
        let state = self.state.lock().unwrap();
        let at_work = state.runs.iter().filter(|run| run.stopped.is_none());
        let running = at_work.map(|run| {
            let percent = (now.saturating_sub(run.began) * 100 / run.work.max(1)).min(99);
            let row = vec![text(&run.task), num(run.run), text(""), num(percent), num(0)];
            Json::List(row)
        });
        let ended = state.ended.iter().take(500).map(|(number, task, run, how)| {
            Json::List(vec![num(*number), text(task), num(*run), text(how), text("")])
        });
        let lists = vec![
            ("Running", Json::List(running.collect())),
            ("Ended", Json::List(ended.collect())),
        ];
        self.accept(lists)
    }
}
