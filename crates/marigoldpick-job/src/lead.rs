//! The lead of a worker pool: consumes events and returns the actions to take.
//!
//! Each change of a job increments its revision. A commit writes the records of changed jobs. Only
//! when the store has a record does the lead order the starts in it, let workers forget the ends in
//! it, and report the job's outcome to callers. Only starts can be exempt from this, for a limited
//! time; see [`Lead::allow_unrecorded`].

mod advise;
pub mod backlog;
pub mod commit;
mod copies;
mod crash;
mod evacuate;
mod explain;
mod forecast;
mod gauge;
mod hold;
mod lease;
mod load;
pub mod losses;
mod placement;
mod quota;
mod registry;
mod release;
mod repeat;
mod report;
mod reserve;
mod room;
pub mod roster;
mod runs;
mod schedule;
mod send;
mod start;
mod term;
mod unrecorded;
mod waiting;
pub mod withheld;

use std::sync::Arc;

use marigoldpick_core::prelude::*;
use marigoldpick_core::team::Share as TeamShare;
use marigoldpick_core::work::load::Summary;
use marigoldpick_core::work::{self, Phase, Task};

use self::release::{Evidence, Ground};
use crate::action::Action;
use crate::askers::{self, Askers};
use crate::job::Job;
use crate::question::Share;
use crate::queue::Queue;
use crate::quota::Quotas;
use crate::rank;
use crate::rate::Rates;
use crate::record::Record;
use crate::settings::Settings;
use crate::speed::Slowdowns;
use crate::throughput::Throughput;
use crate::worker::{self, Incarnation, Worker};

/// The number of bits of a run number that count the runs of one term, which allows 2^20 runs.
const RUN_NUMBER_BITS: u32 = 20;
/// `Counters` counts the operations of a lead for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Starts ordered.
    pub starts: u64,
    /// Ends of runs processed.
    pub ends: u64,
    /// Questions sent to the adviser.
    pub questions: u64,
    /// Holds sent.
    pub holds: u64,
    /// Reports of workers received.
    pub reports: u64,
    /// Starts sent again after no answer came.
    pub start_retries: u64,
    /// Stops sent again after no answer came.
    pub stop_retries: u64,
    /// Probes sent because a hold's answer was overdue.
    pub hold_retries: u64,
    /// Probes sent beside holds that may be lost, while many orders are.
    pub early_probes: u64,
    /// Probes sent again after no answer came.
    pub probe_retries: u64,
    /// Restarts of workers under their former id.
    pub worker_restarts: u64,
    /// Answers to orders that were sent to former incarnations of workers.
    pub outdated_answers: u64,
    /// Silent workers whose runs were released when their lease had lapsed.
    pub lease_releases: u64,
    /// Commits sent to the store.
    pub commits: u64,
    /// Scheduling passes over the waiting steps.
    pub passes: u64,
    /// Examinations of workers: once in each pass, and again for each waiting task and question.
    pub looks: u64,
}

/// `Origin` says whether a job was submitted during or before the term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// Submitted during the term.
    New,
    /// Submitted before the term; carries the record that the store has of it, if any.
    Loaded(Option<&'a Record>),
}

/// `Decision` records one decision of the lead for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The name of the event.
    pub event: &'static str,
    /// The job, task, step or worker that the decision is about.
    pub about: String,
    /// The inputs of the decision.
    pub detail: String,
}

/// `Lead` is the state of the process that decides for a pool of workers.
#[derive(Debug)]
pub struct Lead {
    settings: Settings,
    term: u64,
    /// The start of the term.
    term_start: Millis,
    /// When the term was last confirmed; see [`Self::confirm`].
    confirmed: Millis,
    /// When an order last extended a lease.
    last_extension: Millis,
    /// What is known of the leases that earlier leads granted.
    inherited: lease::Inherited,
    next_run: u64,
    /// The number of the last order.
    last_order: u64,
    /// The number of restarts of workers in this term; see [`Target::generation`].
    generation: u32,
    queues: Vec<Queue>,
    quotas: Quotas,
    rates: Rates,
    /// The teams' quotas that are held for gangs, found in the last pass; one a team.
    holds: Vec<quota::Hold>,
    /// What waiting steps kept from others in the last pass.
    holders: withheld::Holders,
    workers: Vec<Worker>,
    /// Whether the registry's list has been read in this term.
    has_list: bool,
    jobs: Vec<Job>,
    askers: Askers,
    /// The share of good workers in the adviser's answers per queue, sorted by queue.
    shares: Vec<(Name, Share)>,
    commit: commit::State,
    /// Runs that are being stopped on draining workers, whose tasks have room kept elsewhere.
    evacuations: Vec<evacuate::Evacuation>,
    /// Jobs with changes that are not in the store.
    backlog: backlog::Backlog,
    /// How long ends waited for their records since the times were last taken.
    end_waits: Vec<Millis>,
    /// Starts to order once the store has the revision of the job that contains them.
    pending_starts: Vec<PendingStart>,
    /// Whether runs of jobs that were not known have been found in this term.
    has_unknown_runs: bool,
    /// The time until which all submissions and cancels are known.
    inbox_as_of: Millis,
    /// Whether recorded starts are held back since later cancels are unknown.
    holds_starts: bool,
    /// Whether starts wait for earlier orders to be answered.
    caps_starts: bool,
    /// The runs that were given up and whose tasks have not started again.
    releases: release::Releases,
    /// Jobs with steps that may be waiting for placement, sorted.
    waiting: Vec<id::Job>,
    /// Jobs with failed tasks for which it is undecided whether the job fails; sorted.
    unresolved_failures: Vec<id::Job>,
    /// Whether an event since the last pass may allow a placement.
    needs_pass: bool,
    /// The time of the last pass.
    last_pass: Millis,
    /// The least time between the last pass and the next one.
    pass_interval: Millis,
    /// The time until which starts may be ordered before the store has recorded them.
    unrecorded_until: Millis,
    /// Whether an earlier lead may have ordered starts that the store has not recorded.
    expects_unrecorded: bool,
    /// Whether an earlier lead may have been stopping runs that the records lack.
    expects_stops: bool,
    /// Whether the lead before this one has handed over that the records lack some of its runs.
    inherits_unrecorded: bool,
    roster: roster::Roster,
    /// Whether some run of this lead or of earlier ones may be missing in the records.
    may_lack_records: bool,
    /// Whether this lead itself has ordered or found a run that no record named.
    has_unrecorded: bool,
    /// Whether another lead has taken over.
    deposed: bool,
    slowdowns: Slowdowns,
    throughput: Throughput,
    /// The last summary of the waiting work, and when it was computed.
    load: Option<(Millis, Summary)>,
    losses: losses::LossRate,
    actions: Vec<Action>,
    decisions: Vec<Decision>,
    counters: Counters,
}

/// `PendingStart` is a start that waits until the store has recorded it.
#[derive(Clone, Debug)]
struct PendingStart {
    worker: id::Worker,
    task: Task,
    run: u64,
    revision: u64,
}

impl Lead {
    /// Creates the lead of a term, which counts as confirmed at `now`.
    ///
    /// `term` exceeds the term of every earlier lead, so that its fencing tokens exceed theirs.
    #[must_use]
    pub fn new(settings: Settings, term: u64, now: Millis) -> Self {
        Self {
            settings,
            term,
            term_start: now,
            confirmed: now,
            last_extension: Millis::ZERO,
            inherited: lease::Inherited::unknown(&settings, now),
            next_run: term << RUN_NUMBER_BITS,
            last_order: 0,
            generation: 0,
            queues: Vec::new(),
            quotas: Quotas::default(),
            rates: Rates::default(),
            holds: Vec::new(),
            holders: withheld::Holders::default(),
            workers: Vec::new(),
            has_list: false,
            jobs: Vec::new(),
            askers: Askers::default(),
            shares: Vec::new(),
            commit: commit::State::default(),
            evacuations: Vec::new(),
            backlog: backlog::Backlog::new(now),
            end_waits: Vec::new(),
            pending_starts: Vec::new(),
            has_unknown_runs: false,
            inbox_as_of: now,
            holds_starts: false,
            caps_starts: false,
            releases: release::Releases::default(),
            waiting: Vec::new(),
            needs_pass: true,
            last_pass: Millis::ZERO,
            pass_interval: Millis::ZERO,
            unrecorded_until: Millis::ZERO,
            unresolved_failures: Vec::new(),
            expects_unrecorded: false,
            expects_stops: false,
            inherits_unrecorded: false,
            roster: roster::Roster::default(),
            may_lack_records: false,
            has_unrecorded: false,
            deposed: false,
            slowdowns: Slowdowns::default(),
            throughput: Throughput::default(),
            load: None,
            losses: losses::LossRate::default(),
            actions: Vec::new(),
            decisions: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Returns the term of this lead.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether another lead with a higher term has taken over.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns the counters since the term began.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the workers, sorted by id.
    #[must_use]
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns what tells the orders to an incarnation of a worker that is new to the lead from earlier ones.
    const fn new_incarnation(&self) -> Incarnation {
        Incarnation {
            generation: self.generation,
            first_order: self.last_order + 1,
        }
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

    /// Removes and returns the decisions that have not been logged.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Sets the queues; a queue missing from `queues` keeps its last settings for its jobs.
    pub fn set_queues(&mut self, queues: &[Queue]) {
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

    /// Keeps the settings that a queue had when a job was accepted, if the configuration has no such queue.
    ///
    /// Load pattern: a version of the configuration removes the queue, and another entry takes over.
    pub fn keep_queue(&mut self, queue: Queue) {
        let found = self
            .queues
            .binary_search_by(|have| have.name.cmp(&queue.name));
        if let Err(at) = found {
            self.queues.insert(at, queue);
        }
    }

    /// Returns whether the settings of a queue are known.
    #[must_use]
    pub fn has_queue(&self, name: &Name) -> bool {
        self.queue(name).is_some()
    }

    /// Sets the teams' limits and rates; a team missing from `shares` keeps its last ones.
    pub fn set_teams(&mut self, shares: &[TeamShare]) {
        self.quotas.set_limits(shares);
        self.rates.set(shares);
        self.needs_pass = true;
    }

    /// Returns the teams' limits and what they hold.
    #[must_use]
    pub const fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Sets the entries that can ask the adviser, sorted by id.
    pub fn set_askers(&mut self, members: &[askers::Member]) {
        self.askers.set(members);
    }

    /// Accepts a job that the store has.
    ///
    /// `wall` is the Unix time in milliseconds at `now`. Jobs from before the term must be accepted
    /// in the order of their submission, and after [`Self::set_teams`], so that the rates of their
    /// teams apply to them.
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
        let mut job = match origin {
            Origin::New => Job::new(id, spec, wall, now),
            Origin::Loaded(record) => Job::load(id, spec, record, wall, now),
        };
        job.excess = self
            .rates
            .is_excess(job.spec.team.as_ref(), job.spec.accepted);
        let placed = job.placed();
        self.jobs.insert(at, job);
        self.update_estimates(at);
        self.record_failures(at);
        if !self.jobs[at].phase.is_over() {
            self.mark_waiting(at);
        }
        for (task, place) in placed {
            self.expect_run(&task, &place, now);
        }
        self.expect_crash_suspects(at, now);
        if self.has_unknown_runs {
            self.attach_found_runs(at);
        }
        self.needs_pass = true;
    }

    /// Cancels a job and stops its runs.
    pub fn cancel(&mut self, id: &id::Job, now: Millis) {
        let Some(at) = self.job_index(id) else { return };
        if !self.jobs[at].phase.is_over() {
            self.log("cancelled", id.to_string(), String::new());
            self.finish_job(at, Phase::Cancelled, now);
        }
    }

    /// Records that all submissions and cancels that the store had at `as_of` are known.
    pub fn confirm_inbox(&mut self, as_of: Millis) {
        self.inbox_as_of = self.inbox_as_of.max(as_of);
    }

    /// Returns whether cancels are known that were acknowledged up to the bound on their age.
    pub(super) fn knows_inbox(&self, now: Millis) -> bool {
        now.since(self.inbox_as_of) <= self.settings.inbox_bound
    }

    /// Returns the phase to report to callers; a final phase only once it is stored.
    #[must_use]
    pub fn phase(&self, id: &id::Job) -> Option<Phase> {
        let job = self.job(id)?;
        Some(match job.phase {
            phase if phase.is_over() && !job.recorded.is_over() => Phase::Running,
            phase => phase,
        })
    }

    /// Returns the phase to report to a caller; `None` if there is no such job that it may see.
    #[must_use]
    pub fn visible_phase(&self, id: &id::Job, access: &work::Access) -> Option<Phase> {
        let job = self.job(id)?;
        access.permits(&job.spec).then(|| self.phase(id)).flatten()
    }

    /// Ends a job and stops its remaining runs.
    fn finish_job(&mut self, at: usize, phase: Phase, now: Millis) {
        let placed = self.jobs[at].placed();
        let job = &mut self.jobs[at];
        job.phase = phase;
        job.ended_at = Some(now);
        self.releases.forget(&self.jobs[at].id);
        for (task, place) in placed {
            self.stop_run(&task, &place.worker, place.run, now);
        }
        self.mark_changed(at);
        self.needs_pass = true;
    }

    /// Stops a run; a run that has not been ordered is dropped.
    fn stop_run(&mut self, task: &Task, worker: &id::Worker, run: u64, now: Millis) {
        let Some(at) = self.worker_index(worker) else {
            return;
        };
        let Some(entry) = self.workers[at].run_mut(task, run) else {
            return;
        };
        match entry.phase {
            worker::Phase::Recording => {
                let evidence = Evidence::new(Ground::Unordered, now);
                self.release_run(at, task, run, evidence, now);
            }
            worker::Phase::Stop | worker::Phase::Stopping | worker::Phase::Stopped(_) => {}
            // A stop is ordered even while the start is in flight; the answer to the start does not
            // undo it.
            worker::Phase::Ordered | worker::Phase::Unknown(_) | worker::Phase::Running => {
                entry.phase = worker::Phase::Stop;
                self.workers[at].has_stops = true;
            }
        }
    }

    /// Increments the revision of a job and queues its record for a commit.
    fn mark_changed(&mut self, at: usize) {
        self.mark_changed_for(at, backlog::Reason::Other);
    }

    /// Does the same for a change for whose record something waits.
    fn mark_changed_for(&mut self, at: usize, reason: backlog::Reason) {
        let job = &mut self.jobs[at];
        job.revision += 1;
        let has_ended = job.phase.is_over() && !job.recorded.is_over();
        let reason = if has_ended {
            backlog::Reason::Ended
        } else {
            reason
        };
        self.backlog.add(&job.id, reason);
    }

    /// Marks a job as one with steps that may be waiting for placement.
    fn mark_waiting(&mut self, at: usize) {
        let id = &self.jobs[at].id;
        if let Err(place) = self.waiting.binary_search(id) {
            self.waiting.insert(place, id.clone());
        }
        self.needs_pass = true;
    }

    /// Recomputes what a job's rank depends on: its time objective and its remaining critical path.
    fn update_estimates(&mut self, at: usize) {
        let job = &mut self.jobs[at];
        let found = self
            .queues
            .binary_search_by(|queue| queue.name.cmp(&job.spec.queue));
        let Ok(queue) = found.map(|queue| &self.queues[queue]) else {
            return;
        };
        if !job.phase.is_over() {
            rank::estimate(job, queue);
        }
    }

    fn job_index(&self, id: &id::Job) -> Option<usize> {
        self.jobs.binary_search_by(|job| job.id.cmp(id)).ok()
    }

    fn worker_index(&self, id: &id::Worker) -> Option<usize> {
        self.search_worker(id).ok()
    }

    /// Returns the position of a worker, or the position at which to insert it.
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
        self.decisions.push(Decision {
            event,
            about,
            detail,
        });
    }

    /// Advances the lead to `now` and returns the actions to take.
    ///
    /// There are none while the term has expired, so that a process that was paused sends no order before the store has
    /// confirmed its term again.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        if self.has_expired(now) {
            return Vec::new();
        }
        self.backlog.advance(now);
        self.release_lapsed_runs(now);
        self.end_expectation(now);
        self.resolve_failures(now);
        self.order_stops(now);
        self.repeat_orders(now);
        self.send_holds(now);
        if now >= self.next_pass() {
            self.run_pass(now);
        }
        self.update_outdated_roster(now);
        self.send_commit(now);
        let is_due = self.caps_starts || (self.holds_starts && self.knows_inbox(now));
        if self.allows_unrecorded(now) || is_due {
            self.start_recorded(now);
        }
        std::mem::take(&mut self.actions)
    }
}
