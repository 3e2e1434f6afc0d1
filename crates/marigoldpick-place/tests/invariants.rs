//! Tests the invariants that hold after every event, with random events and workers in memory.

mod support;

use std::collections::BTreeMap;

use marigoldpick_core::intent::{Class, Job, Yield};
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Outcome;
use marigoldpick_place::{Action, Event};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{Harness, Start, job, name, worker_id};

const WORKERS: u32 = 6;
const CORES: u64 = 8;
const TEAMS: [&str; 2] = ["t", "v"];
const QUOTA: Amount = Amount::new(30_000, 200_000);

/// `Step` is one random event, chosen by `kind`, with two random parameters.
#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    a: u32,
    b: u32,
}

/// `LiveRun` is a run that was sent to a worker and has not ended.
#[derive(Clone, Debug)]
struct LiveRun {
    start: Start,
    answered: bool,
    stopping: bool,
}

/// `World` is the scheduler together with the true state of runs and workers.
struct World {
    harness: Harness,
    live: Vec<LiveRun>,
    jobs: BTreeMap<id::Job, Job>,
    cancelled: Vec<id::Job>,
    done: BTreeMap<id::Job, u32>,
    silent: Vec<id::Worker>,
    gone: Vec<id::Worker>,
    executions: BTreeMap<id::Task, u32>,
}

impl World {
    fn new() -> Self {
        let mut harness = Harness::new(WORKERS, CORES);
        for team in TEAMS {
            harness.team(team, QUOTA);
        }
        Self {
            harness,
            live: Vec::new(),
            jobs: BTreeMap::new(),
            cancelled: Vec::new(),
            done: BTreeMap::new(),
            silent: Vec::new(),
            gone: Vec::new(),
            executions: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step.kind {
            0..=3 => self.accept(step),
            4..=9 => self.answer_start(step.a),
            10..=16 => self.end_run(step),
            17 => self.toggle_loss(step.a),
            18 => self.toggle_silence(step.a),
            19 => self.cancel_job(step.a),
            20 => self.report_usage(step),
            _ => self.harness.advance(Millis(u64::from(step.b % 3_000))),
        }
        self.apply_actions();
        self.check_all();
    }

    fn accept(&mut self, step: Step) {
        let n = self.jobs.len();
        let cores = 1 + step.a % 4;
        let class = ["batch", "batch", "gang", "service"][step.b as usize % 4];
        let urgent = step.a.is_multiple_of(5);
        let mut text = format!(
            "count = {}\nneeds = {{ millicores = {}, memory_mib = 2000 }}\n",
            1 + step.b % 6,
            cores * 1_000
        );
        text += &format!("idempotent = {}\n", !step.b.is_multiple_of(7));
        let yields = ["never", "throttle", "checkpoint", "stop"][step.a as usize % 4];
        text += &format!("yield = \"{yields}\"\n");
        if urgent {
            text += "priority = \"urgent\"\n\
                displace = { classes = [\"batch\"], how = \"checkpoint\", tasks = 3 }\n";
        }
        let mut job = job(&format!("j{n}"), class, &text);
        job.team = id::Team(name(TEAMS[step.b as usize % 2]));
        self.jobs.insert(job.name.clone(), job.clone());
        self.harness.accept(job);
    }

    /// Returns the index of a live run on a worker that answers.
    fn reachable(&self, a: u32) -> Option<usize> {
        let able = |at: &usize| !self.silent.contains(&self.live[*at].start.worker);
        let able: Vec<usize> = (0..self.live.len()).filter(able).collect();
        able.get(a as usize % able.len().max(1)).copied()
    }

    fn answer_start(&mut self, a: u32) {
        let Some(at) = self.reachable(a).filter(|&at| !self.live[at].answered) else {
            return;
        };
        let run = self.live[at].start.spec.run.clone();
        let worker = self.live[at].start.worker.clone();
        if a.is_multiple_of(9) {
            self.live.remove(at);
            let refusal = None;
            self.harness.handle(Event::Refused {
                run,
                worker,
                refusal,
            });
        } else {
            self.live[at].answered = true;
            *self.executions.entry(run.task.clone()).or_default() += 1;
            self.harness.handle(Event::Started { run, worker });
        }
    }

    fn end_run(&mut self, step: Step) {
        let Some(at) = self.reachable(step.a).filter(|&at| self.live[at].answered) else {
            return;
        };
        let live = self.live.remove(at);
        let outcome = match (live.stopping, step.b % 5) {
            (true, _) => Outcome::Stopped,
            (false, 0) => Outcome::Failed,
            (false, _) => Outcome::Done,
        };
        if outcome == Outcome::Done {
            let job = live.start.spec.run.task.job.clone();
            *self.done.entry(job).or_default() += 1;
        }
        self.harness.finish(&live.start, outcome);
    }

    fn toggle_loss(&mut self, a: u32) {
        let worker = worker_id(a % WORKERS);
        if let Some(at) = self.gone.iter().position(|gone| *gone == worker) {
            self.gone.remove(at);
            self.harness.bring_up(a % WORKERS, CORES, Vec::new());
            return;
        }
        for live in self
            .live
            .iter()
            .filter(|l| l.start.worker == worker && !l.answered)
        {
            *self
                .executions
                .entry(live.start.spec.run.task.clone())
                .or_default() += 1;
        }
        self.live.retain(|live| live.start.worker != worker);
        self.silent.retain(|silent| *silent != worker);
        self.gone.push(worker.clone());
        self.harness.handle(Event::WorkerGone { worker });
    }

    fn toggle_silence(&mut self, a: u32) {
        let worker = worker_id(a % WORKERS);
        if self.gone.contains(&worker) {
            return;
        }
        if let Some(at) = self.silent.iter().position(|silent| *silent == worker) {
            self.silent.remove(at);
            self.harness.handle(Event::WorkerHeard { worker });
        } else {
            self.silent.push(worker.clone());
            self.harness.handle(Event::WorkerSilent { worker });
        }
    }

    fn cancel_job(&mut self, a: u32) {
        let Some(job) = self
            .jobs
            .keys()
            .nth(a as usize % self.jobs.len().max(1))
            .cloned()
        else {
            return;
        };
        self.cancelled.push(job.clone());
        self.harness.handle(Event::Cancel { jobs: vec![job] });
    }

    fn report_usage(&mut self, step: Step) {
        let Some(at) = self.reachable(step.a).filter(|&at| self.live[at].answered) else {
            return;
        };
        let run = self.live[at].start.spec.run.clone();
        let amount = Amount::new(1_000, u64::from(step.b % 2_000));
        self.harness.handle(Event::Usage { run, amount });
    }

    /// Applies the actions that the scheduler has returned.
    fn apply_actions(&mut self) {
        for action in self.harness.take_actions() {
            match action {
                Action::Start { worker, spec } => self.live.push(LiveRun {
                    start: Start { worker, spec },
                    answered: false,
                    stopping: false,
                }),
                Action::Stop { run, .. } => self.stop(&run, Yield::Stop),
                Action::Checkpoint { run, .. } => self.stop(&run, Yield::Checkpoint),
                Action::Throttle { run, .. } => self.check_permitted(&run, Yield::Throttle),
                Action::GiveUp { .. } | Action::JobEnded { .. } | Action::Event { .. } => {}
            }
        }
    }

    fn stop(&mut self, run: &id::Run, how: Yield) {
        self.check_permitted(run, how);
        for live in self.live.iter_mut().filter(|l| l.start.spec.run == *run) {
            live.stopping = true;
        }
    }

    /// Checks that the intent of a displaced run permits its displacement.
    fn check_permitted(&self, run: &id::Run, how: Yield) {
        let job = &self.jobs[&run.task.job];
        let whole = self.cancelled.contains(&job.name) || job.class == Class::Gang;
        assert!(
            whole || job.yields >= how,
            "{run} must not give way by {how:?}"
        );
    }

    fn check_all(&self) {
        self.check_sizes();
        self.check_single_runs();
        self.check_gangs();
        self.check_quotas();
        self.check_non_idempotent();
    }

    fn check_sizes(&self) {
        for n in 0..WORKERS {
            let mut held = Amount::default();
            let on = |l: &&LiveRun| l.start.worker == worker_id(n);
            self.live
                .iter()
                .filter(on)
                .for_each(|l| held.add(&l.start.spec.needs));
            let size = Amount::new(CORES * 1_000, CORES * 4_000);
            assert!(size.holds(&held), "w{n} is over its size: {held}");
        }
    }

    fn check_single_runs(&self) {
        let mut tasks: Vec<&id::Task> = self.live.iter().map(|l| &l.start.spec.run.task).collect();
        tasks.sort_unstable();
        let twice = tasks.windows(2).find(|pair| pair[0] == pair[1]);
        assert!(twice.is_none(), "{twice:?} runs in two places");
    }

    fn check_gangs(&self) {
        for gang in self.jobs.values().filter(|job| job.class == Class::Gang) {
            let of = |l: &&LiveRun| l.start.spec.run.task.job == gang.name && !l.stopping;
            let live = u32::try_from(self.live.iter().filter(of).count()).expect("few");
            let done = self.done.get(&gang.name).copied().unwrap_or_default();
            let whole = live == 0 || live + done == gang.count;
            assert!(
                whole,
                "{}: {live} live and {done} done of {}",
                gang.name, gang.count
            );
        }
    }

    fn check_quotas(&self) {
        for team in TEAMS {
            let mut held = Amount::default();
            let of = |l: &&LiveRun| l.start.spec.team.as_str() == team;
            self.live
                .iter()
                .filter(of)
                .for_each(|l| held.add(&l.start.spec.needs));
            assert!(QUOTA.holds(&held), "{team} holds {held}");
        }
    }

    fn check_non_idempotent(&self) {
        for (task, executions) in &self.executions {
            let once = !self.jobs[&task.job].idempotent;
            assert!(
                !once || *executions <= 1,
                "{task} took effect {executions} times"
            );
        }
    }
}

/// Returns a configuration that generates the same cases in every run.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    }
}

fn step() -> impl Strategy<Value = Step> {
    (0u8..24, any::<u32>(), any::<u32>()).prop_map(|(kind, a, b)| Step { kind, a, b })
}

proptest! {
    #![proptest_config(config(192))]

    #[test]
    fn handle_random_events_keeps_invariants(steps in proptest::collection::vec(step(), 1..200)) {
        let mut world = World::new();
        steps.into_iter().for_each(|step| world.step(step));
    }
}

proptest! {
    #![proptest_config(config(6))]

    /// Guards against starvation: small tasks that keep arriving never leave room for a gang or a
    /// large task unless the scheduler reserves it.
    #[test]
    fn handle_endless_arrivals_starves_no_job(width in 2u32..6, seed in any::<u32>()) {
        let mut harness = Harness::new(WORKERS, CORES);
        let needs = "needs = { millicores = 6000, memory_mib = 1000 }";
        for n in 0..60 {
            harness.accept(support::batch(&format!("small{n}"), 1, 1));
        }
        harness.accept(job("gang", "gang", &format!("count = {width}\n{needs}")));
        harness.accept(job("large", "batch", &format!("priority = \"low\"\n{needs}")));
        let mut live: Vec<Start> = Vec::new();
        let mut seen = (0, 0);
        for n in 0..4_000u32 {
            for start in harness.run_starts() {
                let name = start.spec.run.task.job.as_str();
                seen.0 += u32::from(name == "gang");
                seen.1 += u32::from(name == "large");
                live.push(start);
            }
            harness.take_actions();
            if !live.is_empty() {
                let at = (seed.wrapping_mul(n + 1) >> 7) as usize % live.len();
                let start = live.remove(at);
                harness.finish(&start, Outcome::Done);
            }
            harness.accept(support::batch(&format!("more{n}"), 1, 1));
            harness.advance(Millis::from_secs(1));
        }
        prop_assert_eq!(seen, (width, 1));
    }
}
