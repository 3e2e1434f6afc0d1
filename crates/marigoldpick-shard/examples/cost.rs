//! Measures the cost of ownership: replay of a log, time and bytes per call, and memory per job.
//!
//! `cargo run --release -p marigoldpick-shard --example cost`

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::Spec;
use marigoldpick_shard::Settings;
use marigoldpick_shard::journal::State as _;
use marigoldpick_shard::lead::{Homed, Input, Lead, Notice, Output};
use marigoldpick_shard::record::{self, Record};
use rand::Rng;
use support::FaultRates;
use support::site::Site;
use support::site::job::job;
use support::store::Store;
use support::worker::Worker;

const JOBS: u32 = 66_000;
const RECORDS_PER_ENTRY: u32 = 20;
const WORKERS: usize = 120;
const STARTS_PER_SECOND: u64 = 140;
const SECONDS: u64 = 60;
const RUNS: u64 = 100;

fn main() {
    measure_replay();
    measure_lead("idle", 0);
    measure_lead("at 140 starts a second", STARTS_PER_SECOND);
    time_takeovers("store up", FaultRates::default());
    time_takeovers("store out", FaultRates::AWAY);
}

/// Measures the time from the death of the lead to the first start by the next lead.
fn time_takeovers(what: &str, store: FaultRates) {
    let mut spans: Vec<u64> = (0..RUNS).map(|seed| time_takeover(seed, store)).collect();
    spans.sort_unstable();
    let (middle, last) = (spans[spans.len() / 2], spans[spans.len() - 1]);
    println!(
        "death of the lead to the next one's first start, {what}: {middle} ms, most {last} ms"
    );
}

/// Kills the lead, ends an instance, and returns the time until the next lead starts it again.
fn time_takeover(seed: u64, store: FaultRates) -> u64 {
    let jobs = vec![job("web", 30, Class::Service, true, None)];
    let mut site = Site::new(seed, 3, 15, jobs);
    assert!(site.run_until(20_000, Site::is_serving), "seed {seed}");
    let pause = site.rng.random_range(0..1_000);
    site.run(5_000 + pause);
    site.store_faults = store;
    site.run(3_000);
    let lead = site.leader().expect("somebody leads");
    site.kill(lead);
    let killed = site.now;
    // Without the store the next lead starts only tasks that it has seen running, so the instance ends
    // after the takeover.
    let led = site.leads.len();
    let starts = site.starts.len();
    if store != FaultRates::AWAY {
        site.end_instance();
    }
    assert!(
        site.run_until(60_000, |site| site.leads.len() > led),
        "seed {seed}"
    );
    if store == FaultRates::AWAY {
        site.end_instance();
    }
    assert!(
        site.run_until(60_000, |site| site.starts.len() > starts),
        "seed {seed}"
    );
    site.now - killed
}

fn measure_replay() {
    let entries: Vec<String> = (0..JOBS / RECORDS_PER_ENTRY).map(entry).collect();
    let bytes: usize = entries.iter().map(String::len).sum();
    let before = resident();
    let start = Instant::now();
    let mut state = record::State::default();
    for text in &entries {
        let entry: record::Entry = serde_json::from_str(text).expect("an entry");
        assert!(state.apply(&entry));
    }
    let took = start.elapsed();
    let grown = resident().saturating_sub(before);
    let snapshot = serde_json::to_string(&state).expect("a state").len();
    println!("replay of {JOBS} jobs' records: {} ms", took.as_millis());
    println!("  bytes a record: {}", bytes / JOBS as usize);
    println!("  memory a job: {} bytes", grown / JOBS as usize);
    println!("  snapshot: {snapshot} bytes");
}

fn entry(number: u32) -> String {
    let records = (0..RECORDS_PER_ENTRY)
        .map(|at| Record::Completed {
            job: id::Job::new(&format!("maps-{:06}", number * RECORDS_PER_ENTRY + at))
                .expect("a name"),
            tasks: vec![(0, 16)],
        })
        .collect();
    let entry = record::Entry {
        sequence: u64::from(number) + 1,
        writer: format!("entry-07/0123456789abcdef/{number}"),
        records,
    };
    serde_json::to_string(&entry).expect("an entry")
}

/// Returns the process's resident memory in bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}

/// The time and bytes of one kind of call.
#[derive(Debug, Default)]
struct Cost {
    calls: u64,
    bytes: usize,
    spent: Duration,
}

struct Run {
    lead: Lead,
    workers: Vec<Worker>,
    store: Store,
    costs: BTreeMap<String, Cost>,
    started: u64,
    finished: u64,
}

impl Run {
    fn feed(&mut self, input: Input, kind: &str, now: Millis) {
        let mut out = Vec::new();
        let start = Instant::now();
        self.lead.handle(input, now, &mut out);
        self.costs.entry(kind.to_owned()).or_default().spent += start.elapsed();
        for output in out {
            self.output(output, now);
        }
    }

    fn output(&mut self, output: Output, now: Millis) {
        match output {
            Output::Store { call, request } => {
                let kind = format!("store {}", request.kind());
                let answer = self.store.call(&request);
                let bytes = json(&request) + json(&answer);
                self.count(&kind, bytes);
                self.feed(
                    Input::Store {
                        call,
                        result: Ok(answer),
                    },
                    &kind,
                    now,
                );
            }
            Output::Worker {
                call,
                worker,
                request,
                ..
            } => {
                let kind = format!("worker {}", request.kind());
                let at: usize = worker.as_str()[1..].parse().expect("a number");
                let answer = self.workers[at].call(&request, now);
                let bytes = json(&request) + json(&answer);
                self.count(&kind, bytes);
                let result = Ok(answer);
                self.feed(
                    Input::Worker {
                        call,
                        worker,
                        result,
                    },
                    &kind,
                    now,
                );
            }
            Output::Notice(Notice::Started { .. }) => self.started += 1,
            Output::Notice(Notice::Finished { .. }) => self.finished += 1,
            _ => {}
        }
    }

    fn count(&mut self, kind: &str, bytes: usize) {
        let cost = self.costs.entry(kind.to_owned()).or_default();
        cost.calls += 1;
        cost.bytes += bytes;
    }
}

fn json(value: &impl serde::Serialize) -> usize {
    serde_json::to_string(value).expect("plain data").len()
}

fn measure_lead(what: &str, starts: u64) {
    let me = id::Entry::new("entry-07").expect("a name");
    let shard = id::Shard::new("north/0").expect("a name");
    let settings = Settings::default();
    let mut run = Run {
        lead: Lead::new(me, 0x0123_4567_89ab_cdef, shard, settings, 1),
        workers: (0..WORKERS).map(|_| Worker::new(0, 1_000_000)).collect(),
        store: Store::default(),
        costs: BTreeMap::new(),
        started: 0,
        finished: 0,
    };
    let job = id::Job::new("maps").expect("a name");
    let class = Class::Batch;
    run.feed(
        Input::Workers((0..WORKERS).map(vm).collect()),
        "list",
        Millis(1),
    );
    run.feed(
        Input::Jobs {
            jobs: vec![Homed {
                job: job.clone(),
                class,
                accepted: 1,
            }],
            sequence: 1,
        },
        "list",
        Millis(1),
    );
    run.feed(Input::Candidate(true), "tick", Millis(1));
    let mut index = 0;
    let begin = 3_000;
    for now in (1..begin + SECONDS * 1_000).step_by(50).map(Millis) {
        run.feed(Input::Tick, "tick", now);
        run.count("tick", 0);
        if now.0 < begin {
            run.costs.clear();
            continue;
        }
        let due = (now.0 - begin) * starts / 1_000;
        while u64::from(index) < due {
            let spec = spec(&job, index);
            let worker = vm(index as usize % WORKERS).id;
            run.feed(Input::Start { worker, spec }, "start", now);
            run.count("start", 0);
            index += 1;
        }
    }
    print(what, &run);
}

fn print(what: &str, run: &Run) {
    println!(
        "{what}: {WORKERS} workers, {} started, {} finished",
        run.started, run.finished
    );
    let mut all = Duration::ZERO;
    for (kind, cost) in &run.costs {
        all += cost.spent;
        println!(
            "  {kind:15} {:7.1} a second, {:6} bytes each, {:7.2} us each",
            cost.calls as f64 / SECONDS as f64,
            cost.bytes / cost.calls.max(1) as usize,
            cost.spent.as_secs_f64() * 1e6 / cost.calls.max(1) as f64,
        );
    }
    let bytes: usize = run.costs.values().map(|cost| cost.bytes).sum();
    let share = all.as_secs_f64() * 100.0 / SECONDS as f64;
    println!(
        "  {} bytes a second, {share:.3}% of a core in the machine",
        bytes as u64 / SECONDS
    );
}

fn vm(at: usize) -> vm::Worker {
    vm::Worker {
        id: id::Worker::new(&format!("w{at:03}")).expect("a name"),
        domain: id::Domain::new("north").expect("a name"),
        rack: id::Rack::new("r0").expect("a name"),
        kind: Name::new("plain").expect("a name"),
        size: Amount::new(64_000, 131_072),
        address: format!("http://10.0.0.{at}"),
        state: vm::State::Live,
    }
}

fn spec(job: &id::Job, index: u32) -> Spec {
    Spec {
        run: id::Run {
            task: id::Task::new(job.clone(), index),
            attempt: 1,
        },
        accepted: 0,
        team: id::Team::new("maps").expect("a name"),
        needs: Amount::new(1_000, 512),
        service: None,
        command: "4000".to_owned(),
        idempotent: true,
        grace: Millis(1_000),
        checkpoint: None,
    }
}
