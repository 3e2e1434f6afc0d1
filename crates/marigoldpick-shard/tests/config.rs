//! The configuration's log at several entries: linearizable, never reverting, true answers.

mod support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use googletest::prelude::*;
use marigoldpick_core::config::{Change, State, Target};
use marigoldpick_core::intent::Intent;
use marigoldpick_core::plan::{Home, Part, Plan};
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Fault};
use marigoldpick_shard::Settings;
use marigoldpick_shard::config::{Input, Log, Output};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use support::store::Store;
use support::{Fate, Odds, random};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

const TICK: u64 = 20;
const TIMEOUT: u64 = 400;

#[derive(Debug)]
enum Event {
    Tick(usize),
    Call(usize, u64, store::Call, Fate, u64),
    Done(usize, u64, Result<store::Answer, Fault>),
    Peer(usize, Input),
}

/// Several entries' logs, a store, and what the operators saw.
#[derive(Debug)]
struct Cell {
    seed: u64,
    now: u64,
    rng: ChaCha8Rng,
    store: Store,
    odds: Odds,
    logs: Vec<Log>,
    cut: Vec<bool>,
    paused: Vec<u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    in_force: Vec<u64>,
    /// The state at each number, as the first entry to reach it had it.
    truth: BTreeMap<u64, State>,
    history: Vec<(usize, Action<Op>)>,
    asked: BTreeMap<u64, Change>,
    answers: BTreeMap<u64, std::result::Result<u64, Code>>,
}

impl Cell {
    fn new(seed: u64, entries: usize, settings: &Settings) -> Self {
        let mut cell = Self {
            seed,
            now: 0,
            rng: random(seed),
            store: Store::default(),
            odds: Odds::default(),
            logs: Vec::new(),
            cut: vec![false; entries],
            paused: vec![0; entries],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            in_force: vec![0; entries],
            truth: BTreeMap::new(),
            history: Vec::new(),
            asked: BTreeMap::new(),
            answers: BTreeMap::new(),
        };
        for at in 0..entries {
            let id = id::Entry::new(&format!("e{at}")).expect("a name");
            cell.logs
                .push(Log::new(id, at as u64, settings.clone(), seed + at as u64));
            cell.push(0, Event::Tick(at));
        }
        // Two failure domains, each with a watcher.
        cell.feed(0, Input::Watcher(true));
        cell.feed(entries - 1, Input::Watcher(true));
        cell
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self
                .events
                .remove(&number)
                .expect("an event is queued once");
            self.step(event);
        }
        self.now = end;
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick(at) => {
                self.push(self.now.max(self.paused[at]) + TICK, Event::Tick(at));
                if self.now >= self.paused[at] {
                    self.beat(at);
                    self.feed(at, Input::Tick);
                }
            }
            Event::Call(at, call, request, fate, until) => {
                self.call(at, call, request, fate, until)
            }
            Event::Done(at, call, result) => {
                if self.now < self.paused[at] {
                    return self.push(self.paused[at], Event::Done(at, call, result));
                }
                self.feed(at, Input::Store { call, result });
            }
            Event::Peer(at, input) => self.feed(at, input),
        }
    }

    fn call(&mut self, at: usize, call: u64, request: store::Call, fate: Fate, until: u64) {
        let answer = self.store.call(&request);
        let waits = matches!(&answer, store::Answer::Items { items, .. } if items.is_empty());
        if matches!(request, store::Call::Watch { .. }) && waits && self.now < until {
            return self.push(self.now + 10, Event::Call(at, call, request, fate, until));
        }
        if fate == Fate::Answered {
            let delay = self.rng.random_range(1..4);
            self.push(self.now + delay, Event::Done(at, call, Ok(answer)));
        }
    }

    /// All entries of both domains hear each other, unless one is cut off.
    fn beat(&mut self, at: usize) {
        if !self.rng.random_ratio(1, 10) {
            return;
        }
        let sequence = self.logs[at].state().sequence;
        let age = self.logs[at].age(Millis(self.now));
        for to in 0..self.logs.len() {
            if to != at && !self.cut[to] && !self.cut[at] {
                self.push(self.now + 2, Event::Peer(to, Input::Peer { sequence, age }));
            }
        }
    }

    fn feed(&mut self, at: usize, input: Input) {
        let mut out = Vec::new();
        self.logs[at].handle(input, Millis(self.now), &mut out);
        for output in out {
            self.output(at, output);
        }
    }

    fn output(&mut self, at: usize, output: Output) {
        match output {
            Output::Store { call, request } => self.send(at, call, request),
            Output::Applied => self.applied(at),
            Output::Answer { ticket, result } => {
                let earlier = self.answers.insert(ticket, result);
                assert!(earlier.is_none(), "seed {}: two answers", self.seed);
                self.record_answer(ticket, result);
            }
            Output::NeedEntries { after } => self.serve_peer(at, after),
            Output::Event(_) => {}
        }
    }

    fn send(&mut self, at: usize, call: u64, request: store::Call) {
        let odds = if self.cut[at] { Odds::AWAY } else { self.odds };
        let fate = odds.draw(&mut self.rng);
        let until = self.now + 1_000;
        let delay = self.rng.random_range(1..4);
        let late = self.rng.random_range(1..8_000);
        let carried = Event::Call(at, call, request, fate, until);
        let timeout = self.now + TIMEOUT;
        match fate {
            Fate::Answered => self.push(self.now + delay, carried),
            Fate::Away => self.push(self.now + delay, Event::Done(at, call, Err(Fault::Away))),
            Fate::CallLost => self.push(timeout, Event::Done(at, call, Err(Fault::Unknown))),
            Fate::AnswerLost | Fate::Late => {
                let delay = if fate == Fate::Late { late } else { delay };
                self.push(self.now + delay, carried);
                self.push(timeout, Event::Done(at, call, Err(Fault::Unknown)));
            }
        }
    }

    /// What is in force never reverts, and is the same under a number everywhere.
    fn applied(&mut self, at: usize) {
        let state = self.logs[at].state();
        assert!(
            state.sequence > self.in_force[at],
            "seed {}: reverted",
            self.seed
        );
        self.in_force[at] = state.sequence;
        let first = self
            .truth
            .entry(state.sequence)
            .or_insert_with(|| state.clone());
        assert_eq!(
            first, state,
            "seed {}: two states at {}",
            self.seed, state.sequence
        );
    }

    fn serve_peer(&mut self, at: usize, after: u64) {
        let others = (0..self.logs.len()).filter(|to| *to != at && !self.cut[*to] && !self.cut[at]);
        let Some(peer) = others.max_by_key(|to| self.logs[*to].state().sequence) else {
            return;
        };
        let input = match self.logs[peer].entries_after(after) {
            Some(entries) => Input::Entries(entries),
            None => Input::Snapshot(Box::new(self.logs[peer].state().clone())),
        };
        self.push(self.now + 3, Event::Peer(at, input));
    }

    fn propose(&mut self, at: usize, change: Change) -> u64 {
        let ticket = self.asked.len() as u64;
        self.asked.insert(ticket, change.clone());
        let op = Op::new(&change, true);
        self.history.push((ticket as usize, Action::Call(op)));
        self.feed(at, Input::Propose { ticket, change });
        ticket
    }

    fn record_answer(&mut self, ticket: u64, result: std::result::Result<u64, Code>) {
        let Some(change) = self.asked.get(&ticket) else {
            return;
        };
        if matches!(result, Ok(_) | Err(Code::Stale)) {
            let op = Op::new(change, result.is_ok());
            self.history.push((ticket as usize, Action::Response(op)));
        }
    }

    /// Puts the outcome of each proposal beside the log's truth, and checks the history.
    fn check(&mut self) {
        let (seed, last) = (
            self.seed,
            self.truth.last_key_value().expect("a state").1.clone(),
        );
        let mut dropped = Vec::new();
        for (ticket, change) in &self.asked {
            let plan = confirmed(change);
            let there = last.confirmed(&plan.id);
            match self.answers.get(ticket) {
                Some(Ok(sequence)) => assert_eq!(there, Some(*sequence), "seed {seed}"),
                Some(Err(Code::Stale)) => assert_eq!(there, None, "seed {seed}"),
                Some(Err(Code::NotAccepted)) => {
                    assert_eq!(
                        there, None,
                        "seed {seed}: {ticket} was accepted all the same"
                    );
                    dropped.push(*ticket as usize);
                }
                // Nobody was told: it ends the history if it was accepted.
                Some(Err(Code::AcceptUnknown)) | None if there.is_some() => {
                    let op = Op::new(change, true);
                    self.history.push((*ticket as usize, Action::Response(op)));
                }
                Some(Err(Code::AcceptUnknown)) | None => dropped.push(*ticket as usize),
                Some(Err(code)) => panic!("seed {seed}: unexpected {code}"),
            }
        }
        let mut history = std::mem::take(&mut self.history);
        history.retain(|(ticket, _)| !dropped.contains(ticket));
        if history.is_empty() {
            return;
        }
        let history = History::from_actions(history);
        assert!(
            WGLChecker::<Names>::is_linearizable(history),
            "seed {seed}: not linearizable"
        );
    }
}

/// A job's name is taken, or was taken already.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Op {
    name: String,
    taken: bool,
}

impl Op {
    fn new(change: &Change, taken: bool) -> Self {
        let name = confirmed(change).intent.job[0].name.to_string();
        Self { name, taken }
    }
}

fn confirmed(change: &Change) -> &Plan {
    match change {
        Change::Confirm(plan) => plan,
        _ => panic!("only plans are proposed here"),
    }
}

struct Names;

impl Specification for Names {
    type State = Vec<String>;
    type Operation = Op;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(op: &Op, state: &Self::State) -> (bool, Self::State) {
        match (state.binary_search(&op.name), op.taken) {
            (Err(at), true) => {
                let mut after = state.clone();
                after.insert(at, op.name.clone());
                (true, after)
            }
            (Ok(_), false) => (true, state.clone()),
            _ => (false, state.clone()),
        }
    }
}

const TEAM: &str =
    "[[team]]\nname = \"maps\"\nquota = { millicores = 100000000, memory_mib = 100000000 }\n";

fn plan(base: u64, text: &str) -> Change {
    let intent = Intent::parse("test.toml", text).expect("the intent is well formed");
    let home = |to| Home {
        shard: id::Shard::new("north/0").expect("a name"),
        from: 0,
        to,
    };
    let parts = intent
        .job
        .iter()
        .map(|job| Part {
            job: job.name.clone(),
            homes: vec![home(job.count)],
            starts: job.count,
            waits: 0,
            wait: Millis::ZERO,
            never: None,
        })
        .collect();
    Change::Confirm(Box::new(Plan::new(
        base,
        intent,
        parts,
        Vec::new(),
        Vec::new(),
    )))
}

/// A plan for a job; each `salt` makes another plan for the same name.
fn job(base: u64, name: u64, salt: u64) -> Change {
    let text = format!(
        "[[job]]\nname = \"j{name}\"\nclass = \"batch\"\nteam = \"maps\"\ncount = {}\n\
         needs = {{ millicores = 1, memory_mib = 1 }}\n",
        salt + 1
    );
    plan(base, &text)
}

/// A cell with a team.
fn cell(seed: u64, settings: &Settings) -> Cell {
    let mut cell = Cell::new(seed, 4, settings);
    cell.run(200);
    cell.feed(
        0,
        Input::Propose {
            ticket: u64::MAX,
            change: plan(0, TEAM),
        },
    );
    cell.run(1_000);
    assert_eq!(cell.answers.remove(&u64::MAX), Some(Ok(1)), "seed {seed}");
    cell
}

/// Proposes `count` plans at random entries and times; several compete for each name.
fn load(cell: &mut Cell, count: u64) {
    for _ in 0..count {
        let at = cell.rng.random_range(0..cell.logs.len());
        let name = cell.rng.random_range(0..count);
        let salt = cell.rng.random_range(0..3) + 10 * cell.asked.len() as u64;
        cell.propose(at, job(1, name, salt));
        let pause = cell.rng.random_range(0..120);
        cell.run(pause);
    }
}

fn check_end(cell: &mut Cell) {
    cell.odds = Odds::default();
    cell.cut.fill(false);
    cell.run(40_000);
    let highest = cell.in_force.iter().max().copied();
    for at in 0..cell.logs.len() {
        assert_eq!(
            Some(cell.in_force[at]),
            highest,
            "seed {}: entry {at} is behind",
            cell.seed
        );
        assert!(
            !cell.logs[at].is_old(Millis(cell.now)),
            "seed {}",
            cell.seed
        );
    }
    cell.check();
}

#[googletest::test]
fn propose_races_one_wins_the_other_is_stale() {
    let mut cell = cell(1, &Settings::default());
    let one = cell.propose(0, job(1, 7, 1));
    let two = cell.propose(3, job(1, 7, 2));
    cell.run(2_000);
    let mut answers = [cell.answers[&one].is_ok(), cell.answers[&two].is_ok()];
    answers.sort_unstable();
    expect_that!(answers, eq([false, true]));
    check_end(&mut cell);
}

#[googletest::test]
fn propose_repeated_confirm_has_the_first_number() {
    let mut cell = cell(2, &Settings::default());
    let one = cell.propose(0, job(1, 7, 1));
    cell.run(1_000);
    cell.feed(
        3,
        Input::Propose {
            ticket: 99,
            change: job(1, 7, 1),
        },
    );
    cell.run(1_000);
    expect_that!(cell.answers.get(&99), some(eq(&cell.answers[&one])));
}

#[googletest::test]
fn propose_store_away_is_not_accepted_at_once() {
    let mut cell = cell(3, &Settings::default());
    cell.odds = Odds::AWAY;
    let ticket = cell.propose(1, job(1, 1, 0));
    cell.run(100);
    expect_that!(cell.answers.get(&ticket), some(eq(&Err(Code::NotAccepted))));
    check_end(&mut cell);
}

#[googletest::test]
fn propose_answer_lost_for_long_is_unknown_and_then_settled() {
    let mut cell = cell(4, &Settings::default());
    cell.odds.answer_lost = 1_000;
    let ticket = cell.propose(1, job(1, 1, 0));
    cell.run(6_000);
    expect_that!(
        cell.answers.get(&ticket),
        some(eq(&Err(Code::AcceptUnknown)))
    );
    // The operator asks again, and gets the number of the first write.
    cell.odds = Odds::default();
    cell.run(8_000);
    cell.feed(
        2,
        Input::Propose {
            ticket: 99,
            change: job(1, 1, 0),
        },
    );
    cell.run(1_000);
    expect_that!(cell.answers.get(&99), some(eq(&Ok(2))));
    cell.answers.remove(&99);
    check_end(&mut cell);
}

#[googletest::test]
fn propose_many_at_once_share_entries() {
    let mut cell = cell(5, &Settings::default());
    let before = cell.logs[0].counter().get("put");
    for name in 0..200 {
        cell.propose(0, job(1, name, 0));
    }
    cell.run(500);
    expect_that!(cell.answers.len(), eq(200));
    expect_that!(cell.in_force[0], le(4));
    expect_that!(cell.logs[0].counter().get("put") - before, le(3));
    check_end(&mut cell);
}

#[googletest::test]
fn history_under_lost_and_late_answers_is_linearizable() {
    for seed in 100..140 {
        let mut cell = cell(seed, &Settings::default());
        cell.odds = Odds::LOSSY;
        load(&mut cell, 40);
        check_end(&mut cell);
    }
}

#[googletest::test]
fn history_with_cuts_pauses_and_outages_is_linearizable() {
    for seed in 200..230 {
        let mut cell = cell(seed, &Settings::default());
        for round in 0..6 {
            cell.odds = if round % 3 == 1 {
                Odds::AWAY
            } else {
                Odds::LOSSY
            };
            let at = cell.rng.random_range(0..4);
            cell.cut[at] = !cell.cut[at];
            let other = cell.rng.random_range(0..4);
            cell.paused[other] = cell.now + cell.rng.random_range(0..6_000);
            load(&mut cell, 8);
        }
        check_end(&mut cell);
    }
}

#[googletest::test]
fn history_with_trimming_under_a_paused_writer_is_linearizable() {
    let settings = Settings {
        snapshot_every: 4,
        recent: 3,
        ..Settings::default()
    };
    for seed in 300..330 {
        let mut cell = cell(seed, &settings);
        cell.odds.late = 150;
        cell.cut[1] = true;
        load(&mut cell, 30);
        // It wakes up far behind the floor and writes at once.
        cell.cut[1] = false;
        cell.propose(1, job(1, 1_000, 0));
        load(&mut cell, 10);
        check_end(&mut cell);
        let logged = cell
            .store
            .items
            .keys()
            .filter(|key| key.contains("/log/"))
            .count();
        assert!(logged < 20, "seed {seed}: {logged} entries are left");
    }
}

#[googletest::test]
fn entry_that_starts_while_the_store_is_out_asks_its_peers() {
    let mut cell = cell(6, &Settings::default());
    cell.propose(0, job(1, 1, 0));
    cell.run(1_000);
    cell.odds = Odds::AWAY;
    let id = id::Entry::new("e2").expect("a name");
    cell.logs[2] = Log::new(id, 77, Settings::default(), 7);
    cell.in_force[2] = 0;
    cell.run(3_000);
    expect_that!(cell.in_force[2], eq(2));
    cell.run(20_000);
    expect_that!(cell.logs[2].is_old(Millis(cell.now)), eq(true));
    check_end(&mut cell);
}

#[googletest::test]
fn drain_refused_when_it_is_on_already() {
    let mut cell = cell(8, &Settings::default());
    let target = Target::Entry(id::Entry::new("e1").expect("a name"));
    let change = Change::Drain { target, on: true };
    cell.feed(
        0,
        Input::Propose {
            ticket: 500,
            change: change.clone(),
        },
    );
    cell.run(1_000);
    cell.feed(
        3,
        Input::Propose {
            ticket: 501,
            change,
        },
    );
    cell.run(1_000);
    expect_that!(cell.answers.get(&500), some(eq(&Ok(2))));
    expect_that!(cell.answers.get(&501), some(eq(&Err(Code::Stale))));
}
