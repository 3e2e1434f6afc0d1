//! Replays a load on one pool of cores, on which the order of waiting work alone decides.

use std::sync::Arc;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{self, Step};
use marigoldpick_job::Queue;
use marigoldpick_job::job::{Job, Place};
use marigoldpick_job::rank::{Order, objective, rank, time_left};

pub const WALL: u64 = 1_780_000_000_000;
/// The time between two passes.
const TICK: u64 = 20;
/// The end of a replay; work without an end by then has expired.
const UNTIL: u64 = 80_000;
/// A late result is worth this part of one that is on time; an expired one is worth nothing.
const LATE_VALUE: f64 = 0.2;

/// `Class` is a queue, the load that it gets, and what a core-second of it is worth.
#[derive(Clone)]
pub struct Class {
    pub queue: Queue,
    /// The tasks of an ordinary job; one job in ten has three times as many.
    pub tasks: u32,
    pub millicores: u64,
    pub estimate: u64,
    pub density: f64,
    /// The mean number of jobs a second in each second.
    pub rates: Vec<f64>,
    /// How many times its rate the team of the class submits; the jobs beyond are excess.
    pub surplus: f64,
}

/// `Tally` counts the jobs of a class by their result.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub jobs: u32,
    pub late: u32,
    pub expired: u32,
    pub worth: f64,
    pub offered: f64,
}

impl Tally {
    fn count(&mut self, result: usize, value: f64) {
        self.jobs += 1;
        self.late += u32::from(result == 1);
        self.expired += u32::from(result == 2);
        self.offered += value;
        self.worth += value * [1.0, LATE_VALUE, 0.0][result];
    }

    /// Returns the part of the offered worth that was earned.
    pub fn earned(&self) -> f64 {
        self.worth / self.offered.max(f64::MIN_POSITIVE)
    }

    fn add(&mut self, other: &Self) {
        self.jobs += other.jobs;
        self.late += other.late;
        self.expired += other.expired;
        self.worth += other.worth;
        self.offered += other.offered;
    }
}

/// `Outcome` holds the tallies of a class: of ordinary, wide and excess jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub ordinary: Tally,
    pub wide: Tally,
    pub excess: Tally,
}

impl Outcome {
    pub fn total(outcomes: &[Self]) -> Tally {
        let mut total = Tally::default();
        for outcome in outcomes {
            let tallies = [&outcome.ordinary, &outcome.wide, &outcome.excess];
            tallies.iter().for_each(|tally| total.add(tally));
        }
        total
    }
}

struct Random(u64);

impl Random {
    fn unit(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 40) as f64 / (1_u64 << 24) as f64
    }
}

struct Entry {
    class: usize,
    wide: bool,
    job: Job,
    /// Tasks by step that have not started, and the ends of those that run.
    unplaced: Vec<u32>,
    ends: Vec<(Millis, usize)>,
    ended: Option<Millis>,
}

fn arrivals(classes: &[Class], random: &mut Random) -> Vec<Entry> {
    let mut entries = Vec::new();
    for (class, of) in classes.iter().enumerate() {
        for (second, rate) in of.rates.iter().enumerate() {
            let count = (rate + random.unit()) as u32;
            for _ in 0..count {
                let at = second as u64 * 1_000 + (random.unit() * 1_000.0) as u64;
                let wide = random.unit() < 0.1;
                let tasks = f64::from(of.tasks) * if wide { 3.0 } else { 0.4 + random.unit() };
                let step = |after| Step {
                    count: (tasks / 2.0).max(1.0) as u32,
                    needs: Amount::new(of.millicores, 1_000),
                    estimate: Millis(of.estimate / 2),
                    after,
                    ..Step::default()
                };
                let spec = work::Job {
                    queue: of.queue.name.clone(),
                    payload: String::new(),
                    steps: vec![step(vec![]), step(vec![0])],
                    schedule: None,
                    accepted: WALL + at,
                    team: None,
                };
                let id = id::Job::new(&format!("{:016x}", entries.len())).expect("a name");
                let mut job = Job::new(id, Arc::new(spec), WALL + at, Millis(at));
                job.objective = objective(&job.spec, &of.queue);
                job.excess = random.unit() > 1.0 / of.surplus;
                let unplaced = job.spec.steps.iter().map(|step| step.count).collect();
                entries.push(Entry {
                    class,
                    wide,
                    job,
                    unplaced,
                    ends: vec![],
                    ended: None,
                });
            }
        }
    }
    entries.sort_by_key(|entry| entry.job.arrived);
    entries
}

/// Replays three drawn loads of the classes on `cores`.
pub fn replay(classes: &[Class], cores: u64, order: Order) -> Vec<Outcome> {
    let mut outcomes = vec![Outcome::default(); classes.len()];
    for seed in [7, 8, 9] {
        for (sum, outcome) in outcomes.iter_mut().zip(play(classes, cores, seed, order)) {
            sum.ordinary.add(&outcome.ordinary);
            sum.wide.add(&outcome.wide);
            sum.excess.add(&outcome.excess);
        }
    }
    outcomes
}

fn play(classes: &[Class], cores: u64, seed: u64, order: Order) -> Vec<Outcome> {
    let mut random = Random(seed);
    let mut entries = arrivals(classes, &mut random);
    let mut free = cores * 1_000;
    for now in (0..UNTIL).step_by(TICK as usize).map(Millis) {
        let mut waiting = Vec::new();
        for (at, entry) in entries.iter_mut().enumerate() {
            if entry.job.arrived > now || entry.ended.is_some() {
                continue;
            }
            let of = &classes[entry.class];
            let stages = &mut entry.job.occurrences[0].stages;
            entry.ends.retain(|(end, step)| {
                if *end <= now {
                    free += of.millicores;
                    let mut tasks = stages[*step].tasks();
                    let running = tasks.find(|(_, t)| !t.done && !t.places.is_empty());
                    let (index, _) = running.expect("a running task");
                    drop(tasks);
                    stages[*step].finish_task(index);
                }
                *end > now
            });
            let left = time_left(&entry.job.spec, &entry.job.occurrences[0], &of.queue);
            entry.job.occurrences[0].time_left = left;
            let occurrence = &entry.job.occurrences[0];
            if occurrence.is_done() {
                entry.ended = Some(now);
                continue;
            }
            for step in 0..entry.unplaced.len() {
                if entry.unplaced[step] > 0 && occurrence.is_ready(&entry.job.spec, step) {
                    let rank = rank(order, &entry.job, step, occurrence, &of.queue, now);
                    waiting.push((rank, at, step));
                }
            }
        }
        waiting.sort();
        for (_, at, step) in waiting {
            let entry = &mut entries[at];
            let of = &classes[entry.class];
            while entry.unplaced[step] > 0 && free >= of.millicores {
                free -= of.millicores;
                entry.unplaced[step] -= 1;
                let stage = &mut entry.job.occurrences[0].stages[step];
                let place = Place {
                    worker: id::Worker::new("w").expect("a name"),
                    run: 1,
                };
                let mut tasks = stage.tasks();
                let unplaced = tasks.find(|(_, t)| t.is_unplaced());
                let (index, _) = unplaced.expect("an unplaced task");
                drop(tasks);
                let task = stage.task_mut(index).expect("a task");
                task.places.push(place);
                let span = of.estimate as f64 / 2.0 * (0.7 + 0.6 * random.unit());
                entry.ends.push((now + Millis(span as u64), step));
            }
        }
    }
    let mut outcomes = vec![Outcome::default(); classes.len()];
    for entry in entries {
        let of = &classes[entry.class];
        let took = entry
            .ended
            .map_or(Millis(u64::MAX), |end| end.since(entry.job.arrived));
        let limits = [entry.job.objective, entry.job.objective.times(3)];
        let result = limits.iter().filter(|limit| took > **limit).count();
        let seconds = of.millicores * of.estimate * u64::from(entry.job.spec.steps[0].count);
        let value = of.density * seconds as f64 / 1e6;
        let outcome = &mut outcomes[entry.class];
        if entry.job.excess {
            outcome.excess.count(result, value);
        } else if entry.wide {
            outcome.wide.count(result, value);
        } else {
            outcome.ordinary.count(result, value);
        }
    }
    outcomes
}
