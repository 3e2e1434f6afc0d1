//! Simulates all workers of a pool, and checks the guarantees that must hold on them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use marigoldpick_core::prelude::*;
use marigoldpick_core::team::Limit;
use marigoldpick_core::work::port::{Ended, Exit, Fault, Order, Reply, Start};
use marigoldpick_core::work::{Job, Part, Step, Task};

use super::worker::{Limits, Run, Worker};

/// The most ends that a worker of the users' platform lists in a report.
const MAX_LISTED_ENDS: usize = 500;

/// `Started` is a run that actually began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Started {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u64,
    /// The worker's index in the pool.
    pub worker: usize,
    /// The time of the start.
    pub at: Millis,
    /// The checkpoint that it carried.
    pub checkpoint: Option<String>,
}

/// `Crash` is a crash of a worker under a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The task that crashed the worker.
    pub task: Task,
    /// The worker's index in the pool.
    pub worker: usize,
    /// The time of the crash.
    pub at: Millis,
}

/// `Pool` is all workers and the record of what ran on them.
#[derive(Debug)]
pub struct Pool {
    /// The workers.
    pub workers: Vec<Worker>,
    /// The jobs that were submitted.
    pub jobs: BTreeMap<id::Job, Arc<Job>>,
    /// The jobs of which all runs fail.
    pub failing_jobs: BTreeSet<id::Job>,
    /// The tasks that crash each worker on which they start.
    pub crashing_tasks: BTreeSet<Task>,
    /// The time after which a crashed worker is back, as another one at the same address.
    pub crash_time: Millis,
    /// The most ends that a worker lists in a report.
    pub max_listed_ends: usize,
    /// The crashes under tasks.
    pub crashes: Vec<Crash>,
    /// The limits of the teams that have one.
    pub quotas: BTreeMap<id::Team, Limit>,
    /// The runs that actually began.
    pub started: Vec<Started>,
    /// The tasks of which a run ended as done.
    pub done: BTreeSet<Task>,
    /// The violations of guarantees, in the order of their occurrence.
    pub broken: Vec<String>,
    /// The tasks whose end as done a lead has acknowledged.
    acknowledged: BTreeSet<Task>,
    /// The time limits of the workers.
    pub limits: Limits,
    now: Millis,
}

impl Pool {
    /// Creates a pool without runs.
    #[must_use]
    pub const fn new(workers: Vec<Worker>, limits: Limits, now: Millis) -> Self {
        Self {
            workers,
            jobs: BTreeMap::new(),
            failing_jobs: BTreeSet::new(),
            crashing_tasks: BTreeSet::new(),
            crash_time: Millis(3_000),
            max_listed_ends: MAX_LISTED_ENDS,
            crashes: Vec::new(),
            quotas: BTreeMap::new(),
            started: Vec::new(),
            done: BTreeSet::new(),
            broken: Vec::new(),
            acknowledged: BTreeSet::new(),
            limits,
            now,
        }
    }

    /// Restarts a worker under the same id with the incarnation `born`.
    ///
    /// The new worker has no runs and no state of the old one, and its clock begins at another reading; only the rate
    /// stays.
    pub fn restart(&mut self, at: usize, born: u64) {
        let mut node = self.workers[at].node.clone();
        node.born = born;
        let mut worker = Worker::new(node);
        worker.clock_permille = self.workers[at].clock_permille;
        worker.begin(self.now);
        self.workers[at] = worker;
    }

    /// Stops a worker as by SIGSTOP, or lets it go on; then it first ends what has lapsed on its clock.
    ///
    /// The caller hands it no orders while it is stopped.
    pub fn set_stopped(&mut self, at: usize, on: bool, now: Millis) {
        self.advance(now);
        self.workers[at].stopped = on;
        // The time of the stop is over for all workers, so that no run progresses.
        self.advance(now);
    }

    /// Crashes a worker, which is back after `crash_time` under another id at the same address.
    pub fn crash(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        worker.up = false;
        worker.active.clear();
        worker.returns_at = Some(self.now + self.crash_time);
    }

    /// Crashes the workers on which a task has worked that crashes them, and returns crashed workers that are due.
    fn advance_crashes(&mut self) {
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            if worker.returns_at.is_some_and(|due| due <= self.now) {
                let mut node = worker.node.clone();
                node.id = next_life(&node.id);
                node.born = self.now.0;
                let clock_permille = worker.clock_permille;
                self.workers[at] = Worker::new(node);
                self.workers[at].clock_permille = clock_permille;
                self.workers[at].begin(self.now);
            }
            let crashes = |run: &&Run| self.crashing_tasks.contains(&run.task) && run.has_worked();
            let worker = &self.workers[at];
            if let Some(run) = worker.active.iter().find(crashes) {
                self.crashes.push(Crash {
                    task: run.task.clone(),
                    worker: at,
                    at: self.now,
                });
                self.crash(at);
            }
        }
    }

    /// Advances all workers to `now`.
    pub fn advance(&mut self, now: Millis) {
        let span = now.since(self.now);
        self.now = now;
        self.advance_crashes();
        let members_at_work = self.gang_members();
        let jobs = &self.jobs;
        let is_whole = |task: &Task, run: u64| {
            let key = (task.part.clone(), run);
            let count = find_step(jobs, task).map_or(0, |step| step.count);
            members_at_work
                .get(&key)
                .is_some_and(|members| *members >= count)
        };
        let mut ended: Vec<Ended> = Vec::new();
        for worker in self.workers.iter_mut().filter(|w| w.up && !w.stopped) {
            ended.extend(worker.advance(span, now, is_whole));
        }
        for end in ended {
            if end.how == Exit::Done {
                self.done.insert(end.task.clone());
            }
            self.end_gang(&end);
        }
    }

    /// Counts the members of each gang's run that are not being stopped.
    fn gang_members(&self) -> BTreeMap<(Part, u64), u32> {
        let mut members_at_work: BTreeMap<(Part, u64), u32> = BTreeMap::new();
        let at_work = self.workers.iter().filter(|w| w.up && !w.stopped);
        let active = at_work.flat_map(|worker| &worker.active);
        for member in active.filter(|active| active.gang && active.is_at_work()) {
            let key = (member.task.part.clone(), member.run);
            *members_at_work.entry(key).or_default() += 1;
        }
        members_at_work
    }

    /// Ends the other members of a gang after one member has ended.
    fn end_gang(&mut self, end: &Ended) {
        if !find_step(&self.jobs, &end.task).is_some_and(|step| step.gang) {
            return;
        }
        let how = if end.how == Exit::Done {
            Exit::Done
        } else {
            Exit::Broken
        };
        for worker in self.workers.iter_mut().filter(|w| w.up && !w.stopped) {
            let is_member =
                |active: &Run| active.task.part == end.task.part && active.run == end.run;
            let (gone, kept) = std::mem::take(&mut worker.active)
                .into_iter()
                .partition(is_member);
            worker.active = kept;
            for active in gone {
                worker.record_end(&active.task, active.run, how);
                if how == Exit::Done {
                    self.done.insert(active.task);
                }
            }
        }
    }

    /// Carries out an order that arrives now; a hold is answered at once.
    ///
    /// # Errors
    /// Returns the fault with which the worker refuses the order.
    pub fn order(&mut self, at: usize, term: u64, order: &Order) -> Result<Reply, Fault> {
        let now = self.now;
        if !self.accept_term(at, term) {
            return Err(Fault::Fenced);
        }
        let mut report = None;
        match order {
            Order::Start(start) => self.start(at, start)?,
            Order::Stop { task, run } => {
                self.workers[at].stop_run(task, *run, &self.limits, now);
            }
            Order::Pace { .. } => {}
            Order::Hold { until, seen, .. } => {
                self.hold(at, *until, *seen);
                report = Some(self.workers[at].report(self.max_listed_ends));
            }
        }
        let worker = &self.workers[at];
        Ok(Reply {
            clock: worker.clock(now),
            // As on the users' platform, only reports say when the worker began.
            born: report.as_ref().map_or(0, |_| worker.node.born),
            report,
        })
    }

    /// Records the term of an order and returns whether the worker accepts it.
    pub fn accept_term(&mut self, at: usize, term: u64) -> bool {
        let worker = &mut self.workers[at];
        let is_accepted = term >= worker.term;
        worker.term = worker.term.max(term);
        is_accepted
    }

    /// Extends a worker's lease to `until` and removes the ends up to the number `seen`.
    pub fn hold(&mut self, at: usize, until: Option<Millis>, seen: u64) {
        let worker = &mut self.workers[at];
        if let Some(until) = until {
            worker.extend_lease(until, &self.limits, self.now);
        }
        let acknowledged = worker.take_ends(seen);
        let done = acknowledged.into_iter().filter(|end| end.how == Exit::Done);
        self.acknowledged.extend(done.map(|end| end.task));
    }

    fn start(&mut self, at: usize, start: &Start) -> Result<(), Fault> {
        let now = self.now;
        let task = &start.task;
        let Some(step) = find_step(&self.jobs, task).cloned() else {
            self.broken
                .push(format!("{task}: its job was never submitted"));
            return Err(Fault::Invalid);
        };
        let worker = &self.workers[at];
        if worker.refusing {
            return Err(Fault::Unhealthy);
        }
        if worker.rejects(start) {
            // As on the users' platform, a start that is refused as old extends the lease all the same.
            let limits = self.limits;
            self.workers[at].extend_lease(start.until, &limits, now);
            return Err(Fault::Old);
        }
        if start.until < worker.clock(now) {
            return Err(Fault::Late);
        }
        let is_there = |active: &Run| active.task == *task && active.run == start.run;
        if worker.active.iter().any(is_there) {
            let limits = self.limits;
            self.workers[at].extend_lease(start.until, &limits, now);
            return Ok(());
        }
        self.check_start(at, start, &step);
        let fails = self.failing_jobs.contains(&task.part.job) || self.workers[at].failing;
        let worker = &mut self.workers[at];
        worker.extend_lease(start.until, &self.limits, now);
        worker.active.push(Run::new(start, &step, fails));
        self.started.push(Started {
            task: task.clone(),
            run: start.run,
            worker: at,
            at: now,
            checkpoint: start.checkpoint.clone(),
        });
        Ok(())
    }

    /// Records each guarantee that a start violates.
    fn check_start(&mut self, at: usize, start: &Start, step: &Step) {
        let task = &start.task;
        let mut used = step.claim();
        let active = self.workers[at].active.iter();
        active.for_each(|active| used.add(&active.claim));
        if !self.workers[at].node.capacity.holds(&used) {
            let worker = &self.workers[at].node.id;
            self.broken.push(format!("{task}: no room on {worker}"));
        }
        self.check_quota(task, step);
        if !step.copies && self.running().contains(task) {
            self.broken.push(format!("{task}: runs twice"));
        }
        if !step.copies && self.has_listed_done(task) {
            self.broken
                .push(format!("{task}: started after it was done"));
        }
        if self.acknowledged.contains(task) {
            let what = format!("{task}: started after its end was noted");
            self.broken.push(what);
        }
        for before in &step.after {
            let part = Part {
                step: *before,
                ..task.part.clone()
            };
            let count = find_step(&self.jobs, &part.task(0)).map_or(0, |step| step.count);
            if (0..count).any(|index| !self.done.contains(&part.task(index))) {
                self.broken
                    .push(format!("{task}: started before step {before} was done"));
            }
        }
    }

    /// Returns whether a worker has an end as done of the task that may still be acknowledged, and its lease has not
    /// lapsed since.
    fn has_listed_done(&self, task: &Task) -> bool {
        let is_done = |end: &Ended| end.task == *task && end.how == Exit::Done;
        let mut live = self.workers.iter().filter(|w| w.is_live(self.now));
        live.any(|worker| {
            let mut ended = worker.ended.iter();
            ended.any(|end| is_done(end) && end.number > worker.lapsed_end)
        })
    }

    /// Records it if the start brings what its team has running above the team's limit.
    fn check_quota(&mut self, task: &Task, step: &Step) {
        let team_of = |task: &Task| self.jobs.get(&task.part.job).and_then(|j| j.team.as_ref());
        let Some(team) = team_of(task) else { return };
        let Some(limit) = self.quotas.get(team) else {
            return;
        };
        let mut held = Amount::default();
        for running in self.running() {
            if team_of(&running) == Some(team)
                && let Some(step) = find_step(&self.jobs, &running)
            {
                held.add(&step.needs);
            }
        }
        if !limit.admits(&held, &step.needs) {
            self.broken
                .push(format!("{task}: over the limit of team {team}"));
        }
    }

    /// Returns the tasks that are running; those on a stopped worker run until its lease has lapsed.
    #[must_use]
    pub fn running(&self) -> Vec<Task> {
        let live = self.workers.iter().filter(|w| w.is_live(self.now));
        let active = live.flat_map(|w| &w.active);
        active.map(|active| active.task.clone()).collect()
    }

    /// Returns the longest time that a member of a gang has waited for the others.
    #[must_use]
    pub fn longest_gang_wait(&self) -> Millis {
        let active = self.workers.iter().filter(|w| w.up).flat_map(|w| &w.active);
        let waits = active.filter_map(|active| active.waiting_since);
        waits
            .map(|since| self.now.since(since))
            .max()
            .unwrap_or_default()
    }

    /// Returns the number of runs on a worker.
    #[must_use]
    pub fn run_count(&self, at: usize) -> usize {
        self.workers[at].active.len()
    }

    /// Returns whether all tasks of a job have ended as done.
    #[must_use]
    pub fn is_done(&self, id: &id::Job) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let is_done = |occurrence: u32, step: u32, spec: &Step| {
            let part = Part {
                job: id.clone(),
                occurrence,
                step,
            };
            (0..spec.count).all(|index| self.done.contains(&part.task(index)))
        };
        (0..job.occurrences()).all(|occurrence| {
            let mut steps = (0..).zip(&job.steps);
            steps.all(|(step, spec)| is_done(occurrence, step, spec))
        })
    }
}

/// Returns the id of the worker that takes another one's place.
fn next_life(id: &id::Worker) -> id::Worker {
    let (first, life) = id.as_str().split_once('-').unwrap_or((id.as_str(), "0"));
    let life = life.parse::<u32>().unwrap_or_default() + 1;
    id::Worker::new(&format!("{first}-{life}")).expect("a name")
}

fn find_step<'a>(jobs: &'a BTreeMap<id::Job, Arc<Job>>, task: &Task) -> Option<&'a Step> {
    let job = jobs.get(&task.part.job)?;
    job.steps.get(task.part.step as usize)
}
