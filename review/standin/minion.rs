//! A minion, which runs tasks as ordered and registers itself in the store.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Outcome, Request, Server};
use crate::json::{Json, map, number, text};
use crate::record::Record;
use crate::store::Store;

/// The time between two writes of a minion's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The time that a stop takes; the platform's bound is 900 ms.
const STOP_TIME: Duration = Duration::from_millis(200);
/// The longest lease.
const MAX_HOLD_MS: u64 = 6_000;
/// The most ends in an answer to a hold.
const MAX_ENDS: usize = 500;

/// `Shape` is what all minions of a site have in common.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// The processors, in thousandths of a core.
    pub cpu: u64,
    /// The time that each task takes.
    pub task: Duration,
}

/// `Begun` is one start that a minion has carried out.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at: Instant,
    pub minion: String,
    pub task: String,
    pub run: u64,
    /// When and how the run ended, and the number of its end.
    pub ended: Option<(Instant, &'static str, u64)>,
    /// Whether the end was taken note of.
    pub is_noted: bool,
}

/// `History` holds the starts of all minions, in their order.
pub type History = Arc<Mutex<Vec<Begun>>>;

struct Run {
    task: String,
    run: u64,
    end: Instant,
    begun: Instant,
    is_stopping: bool,
    /// The position in the history.
    at: usize,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    at: usize,
}

struct State {
    id: String,
    life: u64,
    started: Instant,
    born: u64,
    is_up: bool,
    /// Until when no entry reaches the minion.
    cut_until: Option<Instant>,
    /// Whether the minion doesn't reach the store meanwhile either.
    is_cut_from_store: bool,
    fence: u64,
    lease_until: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    past: BTreeMap<String, u64>,
}

/// `Minion` is a minion; its clones share their state.
#[derive(Clone)]
pub struct Minion {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    server: Arc<Mutex<Option<Server>>>,
    store: Store,
    history: History,
    record: Record,
    number: usize,
    shape: Shape,
}

impl Minion {
    pub fn start(
        number: usize,
        shape: Shape,
        store: &Store,
        history: &History,
        record: &Record,
    ) -> Self {
        let minion = Self {
            state: Arc::new(Mutex::new(State::new(number, 1))),
            changed: Arc::default(),
            server: Arc::default(),
            store: store.clone(),
            history: Arc::clone(history),
            record: record.clone(),
            number,
            shape,
        };
        let (up, handler) = (Arc::clone(&minion.state), minion.clone());
        let server = Server::start(
            move || up.lock().unwrap().is_up,
            move |request| handler.handle(&request),
        );
        *minion.server.lock().unwrap() = Some(server);
        let (clock, heart) = (minion.clone(), minion.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                clock.advance();
            }
        });
        thread::spawn(move || {
            let mut sequence = 0;
            loop {
                sequence += 1;
                heart.register(sequence);
                thread::sleep(HEARTBEAT);
            }
        });
        minion
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    /// Cuts the minion off from all entries; it runs on and reaches the store.
    pub fn cut(&self, span: Duration) {
        let id = self.id();
        self.state.lock().unwrap().cut_until = Some(Instant::now() + span);
        self.changed.notify_all();
        self.record.line(&format!(
            "minion {id} is cut off from the entries for {} ms and runs on",
            span.as_millis()
        ));
    }

    /// Cuts the minion off from all entries and the store; the platform removes its entry.
    pub fn cut_from_all(&self, span: Duration) {
        self.cut(span);
        self.state.lock().unwrap().is_cut_from_store = true;
        self.store.remove(&format!("servers/{}", self.id()));
    }

    fn register(&self, sequence: u64) {
        let (id, born) = {
            let state = self.state.lock().unwrap();
            if !state.is_up || (state.is_cut() && state.is_cut_from_store) {
                return;
            }
            (state.id.clone(), state.born)
        };
        let address = self
            .server
            .lock()
            .unwrap()
            .as_ref()
            .map(|server| server.address.clone());
        let entry = map(vec![
            ("Service", text("booking")),
            ("Address", text(address.unwrap_or_default())),
            (
                "Zone",
                text(["zone-a", "zone-b", "zone-c"][self.number % 3]),
            ),
            ("Version", text("1")),
            ("Slots", number(8)),
            ("State", text("ready")),
            ("ColdRemainingMs", number(0)),
            ("SeqNo", number(sequence)),
            (
                "Capacity",
                map(vec![
                    ("Cpu", number(self.shape.cpu)),
                    ("MemMb", number(131_072)),
                    ("Gpu", number(0)),
                ]),
            ),
            (
                "Labels",
                Json::List(vec![
                    text("kind-a"),
                    text(format!("rack-{}", self.number / 8)),
                ]),
            ),
            ("born", number(born)),
        ]);
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Ends the runs whose time has come, and all of them when the lease has lapsed.
    fn advance(&self) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        if !state.is_up {
            return;
        }
        let now = Instant::now();
        let has_lapsed = state.clock() > state.lease_until;
        let mut at = 0;
        let mut any = false;
        while at < state.runs.len() {
            if has_lapsed || state.runs[at].end <= now {
                let run = state.runs.remove(at);
                let how = match (run.is_stopping, has_lapsed) {
                    (true, _) => "stopped",
                    (_, true) => "lapsed",
                    _ => "done",
                };
                state.last_end += 1;
                let past = state.past.entry(run.task.clone()).or_default();
                *past = (*past).max(run.run);
                self.history.lock().unwrap()[run.at].ended = Some((now, how, state.last_end));
                state.ends.push(End {
                    number: state.last_end,
                    task: run.task,
                    run: run.run,
                    how,
                    at: run.at,
                });
                any = true;
            } else {
                at += 1;
            }
        }
        if any {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Outcome {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return Outcome::Close;
        }
        if state.is_cut() {
            return Outcome::Silence;
        }
        if request.header("X-Expect-Instance") != state.id {
            return Outcome::Answer(421, state.reply(None));
        }
        let body = &request.body;
        let token = body.number("FencingToken");
        if token < state.fence {
            return Outcome::Answer(409, state.reply(Some("fence")));
        }
        state.fence = token;
        match request.path.as_str() {
            "/run-start" => self.start_run(&mut state, body),
            "/run-stop" => {
                let (task, number) = (body.text("Task"), body.number("Run"));
                let past = state.past.entry(task.to_owned()).or_default();
                *past = (*past).max(number);
                let found = state
                    .runs
                    .iter_mut()
                    .find(|run| run.task == task && run.run == number);
                if let Some(run) = found
                    && !run.is_stopping
                {
                    run.is_stopping = true;
                    run.end = run.end.min(Instant::now() + STOP_TIME);
                }
                Outcome::Answer(200, state.reply(None))
            }
            "/hold" => {
                let wait = Duration::from_millis(body.number("WaitMs").min(2_000));
                let life = state.life;
                state.extend(body.number("UntilMs"));
                self.note_ends(&mut state, body.number("SeenUpto"));
                let end = Instant::now() + wait;
                while state.ends.is_empty() && state.is_up && state.life == life && !state.is_cut()
                {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                if !state.is_up || state.life != life {
                    return Outcome::Close;
                }
                if state.is_cut() {
                    return Outcome::Silence;
                }
                Outcome::Answer(200, state.lists())
            }
            "/pace" => Outcome::Answer(200, state.reply(None)),
            _ => Outcome::Answer(400, state.reply(None)),
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Outcome {
        let (task, run) = (body.text("Task").to_owned(), body.number("Run"));
        let until = body.number("UntilMs");
        if state
            .runs
            .iter()
            .any(|have| have.task == task && have.run == run)
        {
            return Outcome::Answer(200, state.reply(None));
        }
        if state.past.get(&task).is_some_and(|past| run <= *past) {
            state.extend(until);
            return Outcome::Answer(409, state.reply(Some("old")));
        }
        if until <= state.clock() {
            return Outcome::Answer(409, state.reply(Some("late")));
        }
        state.extend(until);
        let now = Instant::now();
        let mut history = self.history.lock().unwrap();
        state.runs.push(Run {
            task: task.clone(),
            run,
            end: now + self.task_time(&task, body),
            begun: now,
            is_stopping: false,
            at: history.len(),
        });
        history.push(Begun {
            at: now,
            minion: state.id.clone(),
            task,
            run,
            ended: None,
            is_noted: false,
        });
        Outcome::Answer(200, state.reply(None))
    }

    /// Returns how long a task takes: the time of its step in the spec, or else the site's time.
    fn task_time(&self, task: &str, body: &Json) -> Duration {
        let step: Option<usize> = task.split('.').nth(2).and_then(|step| step.parse().ok());
        let times = body.text("Spec").strip_prefix("times ");
        let time = times.and_then(|times| times.split(' ').nth(step?)?.parse().ok());
        time.map_or(self.shape.task, Duration::from_millis)
    }

    /// Forgets the ends up to a number.
    fn note_ends(&self, state: &mut State, seen: u64) {
        let mut history = self.history.lock().unwrap();
        state.ends.retain(|end| {
            if end.number <= seen {
                history[end.at].is_noted = true;
            }
            end.number > seen
        });
    }
}

impl State {
    fn new(number: usize, life: u64) -> Self {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time after 1970");
        Self {
            id: format!("i-{number:02}{life:02}"),
            life,
            started: Instant::now(),
            born: born.as_millis() as u64,
            is_up: true,
            cut_until: None,
            is_cut_from_store: false,
            fence: 0,
            lease_until: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            past: BTreeMap::new(),
        }
    }

    fn is_cut(&self) -> bool {
        self.cut_until.is_some_and(|until| Instant::now() < until)
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn extend(&mut self, until: u64) {
        let most = self.clock() + MAX_HOLD_MS;
        self.lease_until = self.lease_until.max(until.min(most));
    }

    fn reply(&self, reason: Option<&str>) -> Json {
        let mut fields = vec![
            ("ClockMs", number(self.clock())),
            ("born", number(self.born)),
        ];
        fields.extend(reason.map(|reason| ("Reason", text(reason))));
        map(fields)
    }

    fn lists(&self) -> Json {
        let now = Instant::now();
        let running = self.runs.iter().map(|run| {
            let worked = now.saturating_duration_since(run.begun).as_millis();
            let whole = run
                .end
                .saturating_duration_since(run.begun)
                .as_millis()
                .max(1);
            let percent = (worked * 100 / whole).min(99) as u64;
            Json::List(vec![
                text(&run.task),
                number(run.run),
                text(""),
                number(percent),
                number(0),
            ])
        });
        let ended = self.ends.iter().take(MAX_ENDS).map(|end| {
            let (task, how) = (text(&end.task), text(end.how));
            Json::List(vec![
                number(end.number),
                task,
                number(end.run),
                how,
                text(""),
            ])
        });
        let Json::Map(mut fields) = self.reply(None) else {
            unreachable!()
        };
        fields.push(("Running".to_owned(), Json::List(running.collect())));
        fields.push(("Ended".to_owned(), Json::List(ended.collect())));
        Json::Map(fields)
    }
}
