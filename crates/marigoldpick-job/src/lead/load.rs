//! The summary of the waiting work, which entries ask for to decide on new jobs.
//!
//! It is computed when an entry asks, from the jobs that waited in the last pass and from the workers. Work that can't
//! use the capacity that a new job waits for is left out, so that the summary errs on the side of too little work:
//! that of steps that need labels or accelerators, that wait for their team's limit, or that use idle processors only.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::load::{Service, Summary, size_class};
use marigoldpick_core::work::{Part, Step};

use super::Lead;
use super::unrecorded::UnrecordedRuns;
use crate::job::{Job, Occurrence, Stage};
use crate::rank::{self, Order, counted_millicores, task_work};
use crate::worker::Worker;

/// The least time between two computations of the summary.
const MIN_INTERVAL: Millis = Millis(250);

/// `Usable` is the capacity of a service.
#[derive(Debug, Default)]
struct Usable {
    /// The capacity of the usable workers.
    capacity: Amount,
    /// The free part of it.
    free: Amount,
    /// The processors that lasting tasks use, which finish no work, in thousandths of a core.
    lasting: u64,
}

impl Usable {
    fn add(&mut self, worker: &Worker) {
        self.capacity.add(&worker.node.capacity);
        self.free.add(worker.free());
        let lasting = worker.runs.iter().filter(|run| run.lasting);
        self.lasting += lasting
            .map(|run| counted_millicores(&run.claim))
            .sum::<u64>();
    }

    /// Returns the free share of the scarcest of processors and memory, in percent.
    fn free_percent(&self) -> u32 {
        let share = |free: u64, capacity: u64| {
            let percent = free.saturating_mul(100).checked_div(capacity);
            u32::try_from(percent.unwrap_or(100)).unwrap_or(100)
        };
        share(self.free.millicores, self.capacity.millicores)
            .min(share(self.free.memory_mib, self.capacity.memory_mib))
    }
}

/// Returns whether a worker's capacity counts as usable.
///
/// A suspect worker counts, since a single answer clears it.
const fn is_usable(worker: &Worker) -> bool {
    worker.is_registered
        && worker.has_reported
        && !worker.node.draining
        && worker.unanswered_holds == 0
}

/// Returns whether waiting tasks of a step compete for any worker of the service.
fn competes(step: &Step, stage: &Stage) -> bool {
    let is_free_to_go = step.label.is_none() && step.needs.accelerators.is_empty();
    is_free_to_go && !step.fills && !step.lasting && !stage.over_quota
}

/// Returns the waiting work of an occurrence, in core-milliseconds.
fn waiting_work(job: &Job, occurrence: &Occurrence) -> u64 {
    let steps = job.spec.steps.iter().zip(&occurrence.stages);
    let waiting = steps.filter(|(step, stage)| stage.unfinished > 0 && competes(step, stage));
    let work = waiting
        .map(|(step, stage)| task_work(step).saturating_mul(u64::from(stage.count_unplaced())));
    work.fold(0, u64::saturating_add)
}

impl Lead {
    /// Records finished tasks of a step, for the rate at which its service finishes work.
    pub(super) fn record_throughput(&mut self, at: usize, part: &Part, tasks: u32, now: Millis) {
        let job = &self.jobs[at];
        let queues = &self.queues;
        let found = queues.binary_search_by(|queue| queue.name.cmp(&job.spec.queue));
        if let (Ok(queue), Some(step)) = (found, job.step(part))
            && !step.fills
        {
            let work = task_work(step).saturating_mul(u64::from(tasks));
            self.throughput.record(&queues[queue].service, work, now);
        }
    }

    /// Returns the summary of the waiting work, which may be 250 ms old.
    ///
    /// `wall` is the Unix time in milliseconds at `now`.
    pub fn load(&mut self, wall: u64, now: Millis) -> Summary {
        let is_due = |at: &Millis| now.since(*at) >= MIN_INTERVAL;
        if self.load.as_ref().is_none_or(|(at, _)| is_due(at)) {
            self.load = Some((now, self.summarize(wall, now)));
        }
        let (at, summary) = self.load.as_ref().expect("a summary");
        Summary {
            age: now.since(*at),
            ..summary.clone()
        }
    }

    fn summarize(&mut self, wall: u64, now: Millis) -> Summary {
        let led_for = now.since(self.term_start);
        let mut services = self.usable_services();
        for service in &mut services {
            let rate = self.throughput.rate(&service.name, now);
            service.finished = (led_for >= crate::throughput::WINDOW).then_some(rate);
        }
        let unrecorded = self.unrecorded_runs(now);
        for id in &self.waiting {
            if let Some(at) = self.job_index(id) {
                self.add_waiting_job(&self.jobs[at], unrecorded, &mut services, now);
            }
        }
        // By cost, small urgent excess work goes before long work of other teams. It is then estimated
        // like other work of its queue, which errs towards admitting it.
        let above_rate = match self.settings.order {
            Order::Priority => self.rates.above_rate(wall),
            Order::Cost => Vec::new(),
        };
        Summary {
            age: Millis::ZERO,
            led_for,
            services,
            above_rate,
        }
    }

    /// Returns the services with their usable capacity, sorted by name.
    fn usable_services(&self) -> Vec<Service> {
        let mut found: Vec<(Name, Usable)> = Vec::new();
        for worker in self.workers.iter().filter(|worker| is_usable(worker)) {
            let name = &worker.node.service;
            let at = found
                .binary_search_by(|(have, _)| have.cmp(name))
                .unwrap_or_else(|at| {
                    found.insert(at, (name.clone(), Usable::default()));
                    at
                });
            found[at].1.add(worker);
        }
        let service = |(name, usable): (Name, Usable)| Service {
            name,
            millicores: counted_millicores(&usable.capacity).saturating_sub(usable.lasting),
            free_percent: usable.free_percent(),
            finished: None,
            waiting: Vec::new(),
        };
        found.into_iter().map(service).collect()
    }

    /// Adds the waiting work of a job whose result still has value.
    fn add_waiting_job(
        &self,
        job: &Job,
        unrecorded: UnrecordedRuns,
        services: &mut [Service],
        now: Millis,
    ) {
        if job.phase.is_over() || unrecorded.can_include(job) {
            return;
        }
        let Some(queue) = self.queue(&job.spec.queue) else {
            return;
        };
        let found = services.binary_search_by(|service| service.name.cmp(&queue.service));
        let Ok(service) = found.map(|at| &mut services[at]) else {
            return;
        };
        for occurrence in &job.occurrences {
            if now < occurrence.due || rank::is_expired(job, occurrence, now) {
                continue;
            }
            let work = waiting_work(job, occurrence);
            if work > 0 {
                let size = size_class(rank::remaining_work(job, occurrence));
                service.add(job.excess, queue.priority, size, work);
            }
        }
    }
}
