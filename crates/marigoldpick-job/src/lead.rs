//! The lead of a pool: takes in news, and returns what is to be done.
//!
//! Each change of a job is counted. A commit writes the records of changed jobs; only then are the
//! starts that it contains ordered, the ends that it contains forgotten by the workers, and the
//! outcome told to callers.

mod advise;
pub mod commit;
mod copies;
mod headroom;
mod hold;
mod losses;
mod registry;
mod report;
mod reserve;
mod schedule;
mod start;
mod waiting;

use std::sync::Arc;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::Order;
use marigoldpick_core::work::{self, Phase, Task};

use crate::action::Action;
use crate::askers::Askers;
use crate::job::Job;
use crate::question::Share;
use crate::queue::Queue;
use crate::rank;
use crate::record::Record;
use crate::settings::Settings;
use crate::slowdown::Slowdowns;
use crate::worker::{self, Run, Worker};

/// The runs that one term can number: 2^20.
const RUN_NUMBER_BITS: u32 = 20;
/// Holds without an answer after which a new lead no longer waits for a worker's first report with the
/// jobs of its own term: one may be lost by itself.
const MAX_UNANSWERED_HOLDS: u32 = 2;
/// Workers whose registration lapsed with the store are back within this time of its return.
const REGISTRY_RECOVERY: Millis = Millis(2_500);

/// `Count` is what a lead did, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Starts that were ordered.
    pub starts: u64,
    /// Ends that were read.
    pub ends: u64,
    /// Questions to the adviser.
    pub questions: u64,
    /// Holds.
    pub holds: u64,
    /// Commits.
    pub commits: u64,
    /// Passes over the waiting work.
    pub passes: u64,
    /// Workers that were looked at in passes, once for each step.
    pub looks: u64,
}

/// `Origin` tells where a job comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// It was handed in during the term.
    New,
    /// It was there before the term, with what the store recorded of it.
    Loaded(Option<&'a Record>),
}

/// `Doubt` tells of which jobs tasks may run unknown to the lead: an earlier lead has started them
/// without a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnrecordedRuns {
    /// Of none.
    None,
    /// Of those that were handed in before the term.
    Earlier,
    /// Of any.
    All,
}

impl UnrecordedRuns {
    /// Tells whether tasks of a job may.
    const fn can_include(self, job: &Job) -> bool {
        match self {
            Self::None => false,
            Self::Earlier => job.loaded,
            Self::All => true,
        }
    }
}

/// `Note` is one decision, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// What happened, in a word.
    pub event: &'static str,
    /// The job, task, step or worker that it is about.
    pub about: String,
    /// The inputs that decided it.
    pub detail: String,
}

/// `Lead` is the state of the entry that leads a pool of workers.
#[derive(Debug)]
pub struct Lead {
    settings: Settings,
    term: u64,
    /// When the term began.
    term_start: Millis,
    next_run: u64,
    queues: Vec<Queue>,
    workers: Vec<Worker>,
    jobs: Vec<Job>,
    askers: Askers,
    /// The share of good workers in the adviser's answers, sorted by queue.
    shares: Vec<(Name, Share)>,
    commit: commit::State,
    /// Jobs with a change that the store does not have, sorted.
    dirty: Vec<id::Job>,
    /// Runs that are ordered once their job's change is stored: worker, task, run, change.
    pending_starts: Vec<PendingStart>,
    /// Jobs of which a step may wait for a place, sorted.
    waiting: Vec<id::Job>,
    /// Jobs with a task that has failed, of which it is not known whether it may be tried again; sorted.
    unresolved_failures: Vec<id::Job>,
    /// Whether a pass over the waiting work may place something.
    needs_pass: bool,
    /// When the last pass was.
    last_pass: Millis,
    /// The least time until the next pass.
    pass_interval: Millis,
    /// Until when starts may be ordered before the store has them.
    unrecorded_until: Millis,
    /// Whether an earlier lead may have given starts that the store does not have.
    expects_unrecorded: bool,
    /// Whether another lead has given orders.
    deposed: bool,
    slowdowns: Slowdowns,
    losses: losses::LossRate,
    actions: Vec<Action>,
    notes: Vec<Note>,
    count: Count,
}

/// `Recording` is a start that waits for the store.
#[derive(Clone, Debug)]
struct PendingStart {
    worker: id::Worker,
    task: Task,
    run: u64,
    revision: u64,
}

impl Lead {
    /// Begins a term; `term` is the fencing token and higher than that of any earlier lead.
    #[must_use]
    pub fn new(settings: Settings, term: u64, now: Millis) -> Self {
        Self {
            settings,
            term,
            term_start: now,
            next_run: term << RUN_NUMBER_BITS,
            queues: Vec::new(),
            workers: Vec::new(),
            jobs: Vec::new(),
            askers: Askers::default(),
            shares: Vec::new(),
            commit: commit::State::default(),
            dirty: Vec::new(),
            pending_starts: Vec::new(),
            waiting: Vec::new(),
            needs_pass: true,
            last_pass: Millis::ZERO,
            pass_interval: Millis::ZERO,
            unrecorded_until: Millis::ZERO,
            unresolved_failures: Vec::new(),
            expects_unrecorded: false,
            deposed: false,
            slowdowns: Slowdowns::default(),
            losses: losses::LossRate::default(),
            actions: Vec::new(),
            notes: Vec::new(),
            count: Count::default(),
        }
    }

    /// Returns the term.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Tells whether a worker has obeyed a higher term.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns what it did so far.
    #[must_use]
    pub const fn count(&self) -> Count {
        self.count
    }

    /// Returns the workers, sorted by id.
    #[must_use]
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns the failure domain of a worker.
    #[must_use]
    pub fn domain_of(&self, id: &id::Worker) -> Option<&id::Domain> {
        self.worker_index(id)
            .map(|at| &self.workers[at].node.domain)
    }

    /// Returns a job.
    #[must_use]
    pub fn job(&self, id: &id::Job) -> Option<&Job> {
        self.job_index(id).map(|at| &self.jobs[at])
    }

    /// Takes the decisions that were not logged yet.
    pub fn notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Sets the queues. Jobs of a queue that is no longer there run on as it was.
    pub fn configure(&mut self, queues: &[Queue]) {
        for queue in queues {
            match self
                .queues
                .binary_search_by(|have| have.name.cmp(&queue.name))
            {
                Ok(at) => self.queues[at] = queue.clone(),
                Err(at) => self.queues.insert(at, queue.clone()),
            }
        }
        for at in 0..self.jobs.len() {
            self.update_estimates(at);
            self.record_failures(at);
        }
        self.needs_pass = true;
    }

    /// Sets the entries that can ask the adviser, sorted.
    pub fn set_askers(&mut self, entries: &[id::Entry]) {
        self.askers.set(entries);
    }

    /// Allows starts that the store has not recorded until `until`.
    ///
    /// The permission ends by itself: a process that was paused meanwhile does not act on it.
    pub fn allow_unrecorded(&mut self, until: Millis) {
        self.unrecorded_until = until;
    }

    /// Forbids starts that the store has not recorded.
    pub fn forbid_unrecorded(&mut self) {
        self.unrecorded_until = Millis::ZERO;
    }

    /// Tells whether starts that the store has not recorded are allowed.
    #[must_use]
    pub fn allows_unrecorded(&self, now: Millis) -> bool {
        now < self.unrecorded_until
    }

    /// Notes that an earlier lead may have given starts that the store does not have.
    ///
    /// Tasks of the jobs of that time are then started only once all workers have reported, or have
    /// been silent for so long that nothing runs there any more; those of newer jobs once each worker
    /// has reported or has twice not answered, since until then the earlier lead may still be obeyed.
    pub fn doubt_records(&mut self) {
        self.expects_unrecorded = true;
    }

    /// Tells whether tasks may run where they are not recorded, started by an earlier lead.
    fn unrecorded_runs(&self, now: Millis) -> UnrecordedRuns {
        if !self.expects_unrecorded || now >= self.unknown_lapse() {
            return UnrecordedRuns::None;
        }
        let is_awaited = |worker: &Worker| {
            worker.is_registered
                && !worker.has_reported
                && worker.unanswered_holds < MAX_UNANSWERED_HOLDS
        };
        if self.workers.is_empty() || self.workers.iter().any(is_awaited) {
            return UnrecordedRuns::All;
        }
        if self.all_have_reported(now) {
            UnrecordedRuns::None
        } else {
            UnrecordedRuns::Earlier
        }
    }

    fn all_have_reported(&self, now: Millis) -> bool {
        now.since(self.term_start) >= REGISTRY_RECOVERY
            && self.workers.iter().all(|worker| {
                worker.has_reported || (!worker.is_registered && worker.runs.is_empty())
            })
    }

    /// Takes in a job that the store has.
    ///
    /// `wall` is the time in milliseconds since 1970 at `now`.
    pub fn accept(
        &mut self,
        id: id::Job,
        spec: Arc<work::Job>,
        origin: Origin<'_>,
        wall: u64,
        now: Millis,
    ) {
        let Err(at) = self.jobs.binary_search_by(|job| job.id.cmp(&id)) else {
            return;
        };
        let mut job = Job::new(id, spec, wall, now);
        if let Origin::Loaded(record) = origin {
            job.loaded = true;
            if let Some(record) = record {
                job.restore(record, now);
            }
        }
        let placed = if job.phase.is_over() {
            Vec::new()
        } else {
            job.placed()
        };
        self.jobs.insert(at, job);
        self.update_estimates(at);
        self.record_failures(at);
        self.mark_waiting(at);
        for (task, place) in placed {
            self.expect_run(&task, &place, now);
        }
        self.needs_pass = true;
    }

    /// Cancels a job; its runs are stopped.
    pub fn cancel(&mut self, id: &id::Job, now: Millis) {
        let Some(at) = self.job_index(id) else { return };
        if !self.jobs[at].phase.is_over() {
            self.log("cancelled", id.to_string(), String::new());
            self.finish_job(at, Phase::Cancelled, now);
        }
    }

    /// Returns what callers may be told of a job: the outcome only once it is stored.
    #[must_use]
    pub fn phase(&self, id: &id::Job) -> Option<Phase> {
        let job = self.job(id)?;
        Some(match job.phase {
            phase if phase.is_over() && !job.recorded.is_over() => Phase::Running,
            phase => phase,
        })
    }

    /// Returns how many accepted jobs of a queue have no task that has started.
    #[must_use]
    pub fn waiting(&self, queue: &Name) -> usize {
        self.jobs
            .iter()
            .filter(|job| job.phase == Phase::Queued && job.spec.queue == *queue)
            .count()
    }

    /// Makes the entry of a run for a worker.
    fn new_run(&self, task: &Task, run: u64, phase: worker::Phase, now: Millis) -> Option<Run> {
        let job = self.job(&task.part.job)?;
        let step = job.step(&task.part)?;
        Some(Run {
            claim: job.claims[task.part.step as usize].clone(),
            estimate: step.estimate,
            target: step.target,
            fills: step.fills,
            lasting: step.lasting,
            gang: step.gang,
            ..Run::new(task.clone(), run, phase, now)
        })
    }

    /// Frees the room and the place of a run that has ended or never began.
    fn release_run(&mut self, at: usize, task: &Task, run: u64) {
        if self.workers[at].remove(task, run).is_some() {
            let id = self.workers[at].node.id.clone();
            self.remove_place(task, run, &id);
        }
    }

    /// Frees the place of a run; its task waits again.
    fn remove_place(&mut self, task: &Task, run: u64, worker: &id::Worker) {
        self.needs_pass = true;
        let Some(at) = self.job_index(&task.part.job) else {
            return;
        };
        let Some(state) = self.jobs[at].task_mut(task) else {
            return;
        };
        let before = state.places.len();
        state
            .places
            .retain(|place| place.run != run || place.worker != *worker);
        if state.places.len() != before && !self.jobs[at].phase.is_over() {
            self.mark_changed(at);
            self.mark_waiting(at);
        }
    }

    /// Ends a job: its other runs are stopped.
    fn finish_job(&mut self, at: usize, phase: Phase, now: Millis) {
        let placed = self.jobs[at].placed();
        let job = &mut self.jobs[at];
        job.phase = phase;
        job.ended_at = Some(now);
        for (task, place) in placed {
            self.stop_run(&task, &place.worker, place.run);
        }
        self.mark_changed(at);
        self.needs_pass = true;
    }

    /// Stops a run, or forgets it if it was not ordered yet.
    fn stop_run(&mut self, task: &Task, worker: &id::Worker, run: u64) {
        let Some(at) = self.worker_index(worker) else {
            return;
        };
        let Some(entry) = self.workers[at].run_mut(task, run) else {
            return;
        };
        match entry.phase {
            worker::Phase::Recording => self.release_run(at, task, run),
            worker::Phase::Stop | worker::Phase::Stopping | worker::Phase::Stopped(_) => {}
            // A start under way is stopped once its answer is known to be out of the way.
            worker::Phase::Ordered | worker::Phase::Unknown(_) | worker::Phase::Running => {
                entry.phase = worker::Phase::Stop;
                self.workers[at].has_stops = true;
            }
        }
    }

    /// Counts a change of a job that the store has to have.
    fn mark_changed(&mut self, at: usize) {
        let job = &mut self.jobs[at];
        job.revision += 1;
        if let Err(at) = self.dirty.binary_search(&job.id) {
            self.dirty.insert(at, job.id.clone());
        }
    }

    /// Notes that a step of a job may wait for a place.
    fn mark_waiting(&mut self, at: usize) {
        let id = &self.jobs[at].id;
        if let Err(place) = self.waiting.binary_search(id) {
            self.waiting.insert(place, id.clone());
        }
        self.needs_pass = true;
    }

    /// Works out anew what a job's rank depends on: how long it may take, and how much work is left.
    fn update_estimates(&mut self, at: usize) {
        let job = &mut self.jobs[at];
        let found = self
            .queues
            .binary_search_by(|queue| queue.name.cmp(&job.spec.queue));
        let Ok(queue) = found.map(|queue| &self.queues[queue]) else {
            return;
        };
        if !job.phase.is_over() {
            job.objective = rank::objective(&job.spec, queue);
            for occurrence in &mut job.occurrences {
                occurrence.time_left = rank::time_left(&job.spec, occurrence, queue);
            }
        }
    }

    fn job_index(&self, id: &id::Job) -> Option<usize> {
        self.jobs.binary_search_by(|job| job.id.cmp(id)).ok()
    }

    fn worker_index(&self, id: &id::Worker) -> Option<usize> {
        self.search_worker(id).ok()
    }

    /// Returns the position of a worker, or where it would stand.
    fn search_worker(&self, id: &id::Worker) -> Result<usize, usize> {
        self.workers.binary_search_by(|w| w.node.id.cmp(id))
    }

    /// Returns how long tasks take on a worker, in thousandths of their estimates.
    fn slowdown_permille(&self, worker: &Worker) -> u64 {
        self.slowdowns
            .permille(&worker.slowdown, worker.node.kind.as_ref())
    }

    fn queue(&self, name: &Name) -> Option<&Queue> {
        let at = self.queues.binary_search_by(|queue| queue.name.cmp(name));
        at.ok().map(|at| &self.queues[at])
    }

    fn log(&mut self, event: &'static str, about: String, detail: String) {
        self.notes.push(Note {
            event,
            about,
            detail,
        });
    }

    fn send_order(&mut self, worker: usize, order: Order) {
        let target = self.workers[worker].target();
        self.actions.push(Action::Order { target, order });
    }

    /// Decides what is to be done at `now`.
    pub fn step(&mut self, now: Millis) -> Vec<Action> {
        self.release_lapsed_runs(now);
        self.resolve_failures(now);
        self.order_stops(now);
        self.send_holds(now);
        if now >= self.next_pass() {
            self.schedule(now);
        }
        self.send_commit(now);
        if self.allows_unrecorded(now) {
            self.start_recorded(now);
        }
        std::mem::take(&mut self.actions)
    }
}
