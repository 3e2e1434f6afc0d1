//! Provides a scheduler in memory for tests, with workers and the answers that they give.

#![allow(dead_code, reason = "each test program uses its own part")]

use marigoldpick_core::intent::{Intent, Job, Team};
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::{Outcome, Running, Spec};
use marigoldpick_place::event::Span;
use marigoldpick_place::{Action, Event, Scheduler, Settings};

/// `Harness` is a scheduler with a manual clock and the actions that it has returned.
#[derive(Debug)]
pub struct Harness {
    pub scheduler: Scheduler,
    pub now: Millis,
    pub out: Vec<Action>,
}

/// `Start` is a requested start of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    pub worker: id::Worker,
    pub spec: Spec,
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

pub fn worker_id(n: u32) -> id::Worker {
    id::Worker(name(&format!("w{n}")))
}

/// Returns a worker in rack `n / 4`.
pub fn worker(n: u32, size: Amount) -> vm::Worker {
    vm::Worker {
        id: worker_id(n),
        domain: id::Domain(name("a")),
        rack: id::Rack(name(&format!("r{}", n / 4))),
        kind: name("vm"),
        size,
        address: "http://127.0.0.1:1".to_owned(),
        state: vm::State::Live,
    }
}

/// Returns a job from its name, its class and the rest of its intent.
pub fn job(job: &str, class: &str, rest: &str) -> Job {
    let text = format!("[[job]]\nname = \"{job}\"\nclass = \"{class}\"\nteam = \"t\"\n{rest}\n");
    let intent = Intent::parse("test.toml", &text).expect("a sound intent");
    intent.job.into_iter().next().expect("one job")
}

pub fn batch(name: &str, count: u32, cores: u64) -> Job {
    let needs = format!(
        "needs = {{ millicores = {}, memory_mib = 1000 }}",
        cores * 1_000
    );
    job(name, "batch", &format!("count = {count}\n{needs}"))
}

impl Harness {
    pub fn new(workers: u32, cores: u64) -> Self {
        let shard = id::Shard(name("a0"));
        let mut harness = Self {
            scheduler: Scheduler::new(shard, Settings::default(), 1),
            now: Millis(1_000),
            out: Vec::new(),
        };
        for n in 0..workers {
            harness.bring_up(n, cores, Vec::new());
        }
        harness
    }

    pub fn bring_up(&mut self, n: u32, cores: u64, running: Vec<Running>) {
        let worker = worker(n, Amount::new(cores * 1_000, cores * 4_000));
        self.handle(Event::WorkerUp { worker, running });
    }

    pub fn handle(&mut self, event: Event) {
        self.scheduler.handle(event, self.now, &mut self.out);
    }

    pub fn accept(&mut self, job: Job) {
        let span = Span {
            from: 0,
            to: job.count,
        };
        self.handle(Event::Job {
            job: Box::new(job),
            span,
            displaced: Vec::new(),
            done: Vec::new(),
            failed: Vec::new(),
            fresh: true,
        });
    }

    pub fn team(&mut self, team: &str, quota: Amount) {
        self.handle(Event::Team(Team {
            name: id::Team(name(team)),
            quota,
            weight: 1,
        }));
    }

    pub fn advance(&mut self, span: Millis) {
        self.now += span;
        self.handle(Event::Tick);
    }

    /// Takes the starts that were requested so far; other actions stay.
    pub fn starts(&mut self) -> Vec<Start> {
        let (starts, rest) = std::mem::take(&mut self.out)
            .into_iter()
            .partition(|action| matches!(action, Action::Start { .. }));
        self.out = rest;
        starts.into_iter().filter_map(start).collect()
    }

    /// Takes the requested starts and confirms them.
    pub fn run_starts(&mut self) -> Vec<Start> {
        let starts = self.starts();
        for start in &starts {
            self.handle(Event::Started {
                run: start.spec.run.clone(),
                worker: start.worker.clone(),
            });
        }
        starts
    }

    pub fn finish(&mut self, start: &Start, outcome: Outcome) {
        self.handle(Event::Finished {
            run: start.spec.run.clone(),
            worker: start.worker.clone(),
            outcome,
            age: Millis(1_000),
            usage: None,
        });
    }

    /// Takes all actions that were returned so far.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }
}

fn start(action: Action) -> Option<Start> {
    match action {
        Action::Start { worker, spec } => Some(Start { worker, spec }),
        _ => None,
    }
}

pub fn running(start: &Start, age: Millis) -> Running {
    Running {
        spec: start.spec.clone(),
        age,
        endpoint: None,
        stopping: false,
        usage: None,
    }
}
