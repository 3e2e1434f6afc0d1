//! The summary of the waiting work, which entries ask for to decide on new jobs.
//!
//! It is computed when an entry asks, from the jobs that waited in the last pass and from the workers. Work that can't
//! use the capacity that a new job waits for is left out, so that the summary errs on the side of too little work:
//! that of steps that need labels or accelerators, that wait for their team's limit, that use idle processors only, or
//! that no worker can take beside its lasting tasks.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::load::{Service, Summary, size_class};
use marigoldpick_core::work::{Part, Step};

use super::Lead;
use super::advise::count_fitting;
use super::forecast::{add_up, is_allowed};
use super::unrecorded::UnrecordedRuns;
use crate::job::{Job, Occurrence, Stage};
use crate::queue::Queue;
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
    /// The positions of the usable workers, each with its capacity beside lasting tasks.
    workers: Vec<(usize, Amount)>,
}

impl Usable {
    fn add(&mut self, position: usize, worker: &Worker, now: Millis) {
        self.workers
            .push((position, worker.free_at(Millis::MAX, now)));
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

/// Returns the summary of a service of which nothing but its capacity is known.
fn summarize_service((name, usable): &(Name, Usable)) -> Service {
    Service {
        name: name.clone(),
        millicores: counted_millicores(&usable.capacity).saturating_sub(usable.lasting),
        free_percent: usable.free_percent(),
        finished: None,
        waiting: Vec::new(),
    }
}

/// Returns whether waiting tasks of a step compete for any worker of the service.
fn competes(step: &Step, stage: &Stage) -> bool {
    let is_free_to_go = step.label.is_none() && step.needs.accelerators.is_empty();
    is_free_to_go && !step.fills && !step.lasting && !stage.over_quota
}

impl Lead {
    /// Returns the waiting work of an occurrence that some worker can take, in core-milliseconds.
    fn waiting_work(
        &self,
        job: &Job,
        queue: &Queue,
        occurrence: &Occurrence,
        usable: &Usable,
    ) -> u64 {
        let steps = job.spec.steps.iter().zip(&occurrence.stages);
        let steps = steps.zip(&job.claims);
        let waiting = steps.filter(|((step, stage), claim)| {
            stage.unfinished > 0
                && competes(step, stage)
                && self.can_ever_run(queue, (step, stage), claim, usable)
        });
        let work = waiting.map(|((step, stage), _)| {
            task_work(step).saturating_mul(u64::from(stage.count_unplaced()))
        });
        work.fold(0, u64::saturating_add)
    }

    /// Returns whether a task of a step, or a gang as a whole, fits on the workers beside their lasting tasks.
    fn can_ever_run(
        &self,
        queue: &Queue,
        (step, stage): (&Step, &Stage),
        claim: &Amount,
        usable: &Usable,
    ) -> bool {
        let allowed = usable
            .workers
            .iter()
            .filter(|(at, _)| is_allowed(queue, step, stage, &self.workers[*at]));
        let most = step.spread.map_or(u64::MAX, u64::from);
        let wanted = if step.gang { stage.count() as usize } else { 1 };
        let tasks = allowed.map(|(_, free)| count_fitting(free, claim).min(most));
        add_up(wanted, tasks) == wanted
    }

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
        let usable = self.usable_services(now);
        let mut services: Vec<Service> = usable.iter().map(summarize_service).collect();
        for service in &mut services {
            let rate = self.throughput.rate(&service.name, now);
            service.finished = (led_for >= crate::throughput::WINDOW).then_some(rate);
        }
        let unrecorded = self.unrecorded_runs(now);
        for id in &self.waiting {
            if let Some(at) = self.job_index(id) {
                self.add_waiting_job(&self.jobs[at], unrecorded, &usable, &mut services, now);
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
    fn usable_services(&self, now: Millis) -> Vec<(Name, Usable)> {
        let mut found: Vec<(Name, Usable)> = Vec::new();
        let workers = self.workers.iter().enumerate();
        for (position, worker) in workers.filter(|(_, worker)| is_usable(worker)) {
            let name = &worker.node.service;
            let at = found
                .binary_search_by(|(have, _)| have.cmp(name))
                .unwrap_or_else(|at| {
                    found.insert(at, (name.clone(), Usable::default()));
                    at
                });
            found[at].1.add(position, worker, now);
        }
        found
    }

    /// Adds the waiting work of a job whose result still has value.
    fn add_waiting_job(
        &self,
        job: &Job,
        unrecorded: UnrecordedRuns,
        usable: &[(Name, Usable)],
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
        let Ok(at) = found else {
            return;
        };
        let (service, (_, usable)) = (&mut services[at], &usable[at]);
        for occurrence in &job.occurrences {
            if now < occurrence.due || rank::is_expired(job, occurrence, now) {
                continue;
            }
            let work = self.waiting_work(job, queue, occurrence, usable);
            if work > 0 {
                let size = size_class(rank::remaining_work(job, occurrence));
                service.add(job.excess, queue.priority, size, work);
            }
        }
    }
}
