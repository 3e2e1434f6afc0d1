//! All workers together, and what they must never see.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Ended, Fault, How, Order, Reply, Start};
use marigoldpick_core::work::{Job, Part, Step, Task};

use super::worker::{Limits, Live, Worker};

/// `Started` is a run that truly began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Started {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u64,
    /// The worker's position.
    pub worker: usize,
    /// When.
    pub at: Millis,
}

/// `Pool` is all workers.
#[derive(Debug)]
pub struct Pool {
    /// The workers.
    pub workers: Vec<Worker>,
    /// The jobs that were handed in.
    pub jobs: BTreeMap<id::Job, Arc<Job>>,
    /// Jobs of which all runs fail.
    pub hopeless: BTreeSet<id::Job>,
    /// Runs that truly began.
    pub started: Vec<Started>,
    /// Tasks of which a run ended as done.
    pub done: BTreeSet<Task>,
    /// What must not happen but did.
    pub broken: Vec<String>,
    /// Ends as done that a lead has taken note of.
    noted: BTreeSet<Task>,
    limits: Limits,
    now: Millis,
}

impl Pool {
    /// Makes a pool in which nothing runs.
    #[must_use]
    pub const fn new(workers: Vec<Worker>, limits: Limits, now: Millis) -> Self {
        Self {
            workers,
            jobs: BTreeMap::new(),
            hopeless: BTreeSet::new(),
            started: Vec::new(),
            done: BTreeSet::new(),
            broken: Vec::new(),
            noted: BTreeSet::new(),
            limits,
            now,
        }
    }

    /// Begins a new life of a worker under the same id: nothing runs there and all is forgotten.
    pub fn restart(&mut self, at: usize, born: u64) {
        let mut node = self.workers[at].node.clone();
        node.born = born;
        let mut worker = Worker::new(node);
        worker.clock_permille = self.workers[at].clock_permille;
        self.workers[at] = worker;
    }

    /// Lets time pass until `now`.
    pub fn pass(&mut self, now: Millis) {
        let span = now.since(self.now);
        self.now = now;
        let present = self.gangs();
        let jobs = &self.jobs;
        let whole = |task: &Task, run: u64| {
            let key = (task.part.clone(), run);
            let count = step_of(jobs, task).map_or(0, |step| step.count);
            present.get(&key).is_some_and(|members| *members >= count)
        };
        let mut ended: Vec<Ended> = Vec::new();
        for worker in self.workers.iter_mut().filter(|worker| worker.up) {
            ended.extend(worker.pass(span, now, whole));
        }
        for end in ended {
            if end.how == How::Done {
                self.done.insert(end.task.clone());
            }
            self.break_gang(&end);
        }
    }

    /// Counts the members at work of each gang's run.
    fn gangs(&self) -> BTreeMap<(Part, u64), u32> {
        let mut present: BTreeMap<(Part, u64), u32> = BTreeMap::new();
        let up = self.workers.iter().filter(|worker| worker.up);
        let live = up.flat_map(|worker| &worker.live);
        for member in live.filter(|live| live.gang && live.is_at_work()) {
            let key = (member.task.part.clone(), member.run);
            *present.entry(key).or_default() += 1;
        }
        present
    }

    /// Ends the other members of a gang of which one has ended.
    fn break_gang(&mut self, end: &Ended) {
        if !step_of(&self.jobs, &end.task).is_some_and(|step| step.gang) {
            return;
        }
        let how = if end.how == How::Done {
            How::Done
        } else {
            How::Broken
        };
        for worker in self.workers.iter_mut().filter(|worker| worker.up) {
            let member = |live: &Live| live.task.part == end.task.part && live.run == end.run;
            let (gone, kept) = std::mem::take(&mut worker.live)
                .into_iter()
                .partition(member);
            worker.live = kept;
            for live in gone {
                worker.end(&live.task, live.run, how);
                if how == How::Done {
                    self.done.insert(live.task);
                }
            }
        }
    }

    /// Carries out an order as if it came now; a hold is answered at once.
    ///
    /// # Errors
    /// A fault as a worker tells it.
    pub fn order(&mut self, at: usize, term: u64, order: &Order) -> Result<Reply, Fault> {
        let now = self.now;
        if !self.obeys(at, term) {
            return Err(Fault::Fenced);
        }
        let mut report = None;
        match order {
            Order::Start(start) => self.start(at, start)?,
            Order::Stop { task, run } => {
                self.workers[at].stop(task, *run, &self.limits, now);
            }
            Order::Pace { .. } => {}
            Order::Hold { until, seen, .. } => {
                self.hold(at, *until, *seen);
                report = Some(self.workers[at].report());
            }
        }
        let worker = &self.workers[at];
        Ok(Reply {
            clock: worker.clock(now),
            born: worker.node.born,
            report,
        })
    }

    /// Notes a term that an order names; tells whether the worker obeys it.
    pub fn obeys(&mut self, at: usize, term: u64) -> bool {
        let worker = &mut self.workers[at];
        let obeys = term >= worker.term;
        worker.term = worker.term.max(term);
        obeys
    }

    /// Extends a worker's lease and forgets ends.
    pub fn hold(&mut self, at: usize, until: Option<Millis>, seen: u64) {
        let worker = &mut self.workers[at];
        if let Some(until) = until {
            worker.extend(until, &self.limits, self.now);
        }
        let noted = worker.forget(seen);
        let done = noted.into_iter().filter(|end| end.how == How::Done);
        self.noted.extend(done.map(|end| end.task));
    }

    fn start(&mut self, at: usize, start: &Start) -> Result<(), Fault> {
        let now = self.now;
        let task = &start.task;
        let Some(step) = step_of(&self.jobs, task).cloned() else {
            self.broken.push(format!("{task}: nobody handed it in"));
            return Err(Fault::Invalid);
        };
        let worker = &self.workers[at];
        if worker.refusing {
            return Err(Fault::Unhealthy);
        }
        if worker.floor.get(task).is_some_and(|run| *run >= start.run) {
            return Err(Fault::Old);
        }
        if start.until < worker.clock(now) {
            return Err(Fault::Late);
        }
        let is_there = |live: &Live| live.task == *task && live.run == start.run;
        if worker.live.iter().any(is_there) {
            return Ok(());
        }
        self.judge_start(at, start, &step);
        let fails = self.hopeless.contains(&task.part.job) || self.workers[at].failing;
        let worker = &mut self.workers[at];
        worker.extend(start.until, &self.limits, now);
        worker.live.push(Live::new(start, &step, fails));
        self.started.push(Started {
            task: task.clone(),
            run: start.run,
            worker: at,
            at: now,
        });
        Ok(())
    }

    /// Notes each promise that a start breaks.
    fn judge_start(&mut self, at: usize, start: &Start, step: &Step) {
        let task = &start.task;
        let mut used = step.claim();
        let live = self.workers[at].live.iter();
        live.for_each(|live| used.add(&live.claim));
        if !self.workers[at].node.capacity.holds(&used) {
            let worker = &self.workers[at].node.id;
            self.broken.push(format!("{task}: no room on {worker}"));
        }
        if !step.copies && self.running().contains(task) {
            self.broken.push(format!("{task}: runs twice"));
        }
        if self.noted.contains(task) {
            let what = format!("{task}: started after its end was noted");
            self.broken.push(what);
        }
        for before in &step.after {
            let part = Part {
                step: *before,
                ..task.part.clone()
            };
            let count = step_of(&self.jobs, &part.task(0)).map_or(0, |step| step.count);
            if (0..count).any(|index| !self.done.contains(&part.task(index))) {
                self.broken.push(format!("{task}: before step {before}"));
            }
        }
    }

    /// Returns the tasks that run now.
    #[must_use]
    pub fn running(&self) -> Vec<Task> {
        let live = self.workers.iter().filter(|w| w.up).flat_map(|w| &w.live);
        live.map(|live| live.task.clone()).collect()
    }

    /// Returns how long a member of a gang has waited for the others, at most.
    #[must_use]
    pub fn longest_alone(&self) -> Millis {
        let live = self.workers.iter().filter(|w| w.up).flat_map(|w| &w.live);
        let waits = live.filter_map(|live| live.alone);
        waits
            .map(|since| self.now.since(since))
            .max()
            .unwrap_or_default()
    }

    /// Returns how many runs a worker has.
    #[must_use]
    pub fn runs_on(&self, at: usize) -> usize {
        self.workers[at].live.len()
    }

    /// Tells whether all tasks of a job's first occurrence have ended as done.
    #[must_use]
    pub fn is_done(&self, id: &id::Job) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        (0..).zip(&job.steps).all(|(step, spec)| {
            let part = Part {
                job: id.clone(),
                occurrence: 0,
                step,
            };
            (0..spec.count).all(|index| self.done.contains(&part.task(index)))
        })
    }
}

fn step_of<'a>(jobs: &'a BTreeMap<id::Job, Arc<Job>>, task: &Task) -> Option<&'a Step> {
    let job = jobs.get(&task.part.job)?;
    job.steps.get(task.part.step as usize)
}
