//! The decision whether a submitted job can still be of use to its caller.
//!
//! Load pattern: a burst, or teams above their rate, bring more work than there is room for. Accepted jobs wait until
//! their result has lost its value, and run then, in place of jobs that could still be of use. A job that can't end
//! within its late limit is rejected when it is submitted, so that its caller can do without it or come back later.
//!
//! The decision rests on the lead's [`Summary`], which is older than the decision and knows run times only by their
//! estimates. Whatever is not known counts for the job: a job that should have been rejected costs what it costs
//! without this decision, and a job that is rejected without need is lost to its caller.

use std::fmt;

use displaydoc::Display;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Job;
use marigoldpick_core::work::load::{Service, Summary, size_class};

use crate::queue::Queue;
use crate::rank::{self, LATE_FACTOR};
use crate::throughput;

/// The age from which a summary decides nothing: entries ask twice a second, so several answers are missing.
pub const MAX_AGE: Millis = Millis(2_000);
/// A lead that has led for less than this has not heard of all workers and has not measured its rate.
pub const MIN_LED: Millis = throughput::WINDOW;
/// The part of the expected wait that may be wrong, in percent: estimates of run times are rough, and the job may be
/// smaller than others of its class of size.
pub const ERROR_PERCENT: u64 = 30;
/// Waiting work is not short of capacity if at least this share is free; it waits for advice, for labels or for its
/// team's limit.
pub const FREE_PERCENT: u32 = 20;
/// The least delay after which a rejected caller may come back.
pub const MIN_DELAY: Millis = Millis(1_000);
/// The greatest delay after which a rejected caller may come back.
pub const MAX_DELAY: Millis = Millis(30_000);
/// The least time over which rejected callers come back. The header that tells them counts whole seconds.
const MIN_SPREAD: Millis = Millis(2_000);
/// The greatest delay before it is spread; spread by half, it is [`MAX_DELAY`].
const MAX_BASE: Millis = Millis(20_000);

/// `Reason` says why a job is admitted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// has-lasting-tasks
    Lasting,
    /// has-a-schedule
    Scheduled,
    /// uses-idle-processors-only
    Fills,
    /// no-summary
    NoSummary,
    /// old-summary
    OldSummary,
    /// new-lead
    NewLead,
    /// unknown-service
    UnknownService,
    /// unknown-rate
    UnknownRate,
    /// free-capacity
    FreeCapacity,
    /// in-time
    InTime,
}

impl Reason {
    /// Returns whether the job is admitted because too little is known.
    #[must_use]
    pub const fn is_unsure(self) -> bool {
        matches!(
            self,
            Self::NoSummary
                | Self::OldSummary
                | Self::NewLead
                | Self::UnknownService
                | Self::UnknownRate
        )
    }
}

/// `Estimate` holds the numbers on which a rejection rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The waiting work that goes before the job, in core-milliseconds.
    pub ahead: u64,
    /// The rate at which it is worked off, in thousandths of a core.
    pub rate: u64,
    /// The expected wait.
    pub wait: Millis,
    /// The least wait, after the margin for the summary's error and age.
    pub least_wait: Millis,
    /// The critical path of the job.
    pub path: Millis,
    /// The time after which the job's result has no value.
    pub limit: Millis,
    /// The age of the summary.
    pub age: Millis,
    /// Whether the job would exceed the rate of its team.
    pub excess: bool,
}

impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "wait_ms={} least_wait_ms={} path_ms={} limit_ms={} ahead={} rate={} excess={} age_ms={}",
            self.wait.0,
            self.least_wait.0,
            self.path.0,
            self.limit.0,
            self.ahead,
            self.rate,
            self.excess,
            self.age.0
        )
    }
}

/// `Verdict` is the decision on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job is accepted.
    Admit(Reason),
    /// The job can't end in time.
    Reject {
        /// The numbers on which this rests.
        estimate: Estimate,
        /// The delay after which the caller may come back.
        after: Millis,
    },
}

/// `Observed` is a summary as an entry knows it.
#[derive(Clone, Copy, Debug)]
pub struct Observed<'a> {
    /// The summary.
    pub summary: &'a Summary,
    /// The time since the lead computed it.
    pub age: Millis,
}

/// Decides on a job that is submitted now to `queue`.
#[must_use]
pub fn decide(id: &id::Job, job: &Job, queue: &Queue, observed: Option<Observed<'_>>) -> Verdict {
    match estimate(job, queue, observed) {
        Ok(estimate) if estimate.is_late() => Verdict::Reject {
            estimate,
            after: spread(id, estimate.delay()),
        },
        Ok(_) => Verdict::Admit(Reason::InTime),
        Err(reason) => Verdict::Admit(reason),
    }
}

/// Estimates the wait of a job that is submitted now to `queue`.
///
/// # Errors
/// Fails with the reason for which the job is admitted whatever waits.
pub fn estimate(
    job: &Job,
    queue: &Queue,
    observed: Option<Observed<'_>>,
) -> Result<Estimate, Reason> {
    if job.steps.iter().any(|step| step.lasting) {
        return Err(Reason::Lasting);
    }
    if job.schedule.is_some() {
        return Err(Reason::Scheduled);
    }
    if job.steps.iter().all(|step| step.fills) {
        return Err(Reason::Fills);
    }
    let Observed { summary, age } = observed.ok_or(Reason::NoSummary)?;
    if age > MAX_AGE {
        return Err(Reason::OldSummary);
    }
    if summary.led_for < MIN_LED {
        return Err(Reason::NewLead);
    }
    let service = summary
        .service(&queue.service)
        .ok_or(Reason::UnknownService)?;
    let rate = service.rate();
    if rate == 0 {
        return Err(Reason::UnknownRate);
    }
    if service.free_percent >= FREE_PERCENT {
        return Err(Reason::FreeCapacity);
    }
    let team = job.team.as_ref();
    let excess = team.is_some_and(|team| summary.is_above_rate(team));
    let ahead = work_ahead(service, excess, queue.priority, job_work(job));
    let wait = Millis(ahead.saturating_mul(1_000) / rate);
    let sure = wait.0.saturating_mul(100 - ERROR_PERCENT) / 100;
    Ok(Estimate {
        ahead,
        rate,
        wait,
        least_wait: Millis(sure).since(age),
        path: rank::full_time(job, queue),
        limit: rank::objective(job, queue).times(LATE_FACTOR),
        age,
        excess,
    })
}

impl Estimate {
    /// Returns whether the job ends after its limit even with the least wait.
    ///
    /// A job that need not wait is never late by the fault of the load.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.least_wait > Millis::ZERO && self.least_wait + self.path > self.limit
    }

    /// Returns the time after which the job would be admitted if nothing else came.
    #[must_use]
    pub fn delay(&self) -> Millis {
        let budget = self.limit.since(self.path);
        let admissible = budget.0.saturating_mul(100) / (100 - ERROR_PERCENT);
        self.wait.since(Millis(admissible))
    }
}

/// Returns the estimated work of a whole job, in core-milliseconds.
fn job_work(job: &Job) -> u64 {
    let steps = job.steps.iter();
    let work = steps.map(|step| rank::task_work(step).saturating_mul(u64::from(step.count)));
    work.fold(0, u64::saturating_add)
}

/// Returns the waiting work that goes before a new job with `work`: that of more urgent jobs, and that of equally
/// urgent ones that are not larger.
fn work_ahead(service: &Service, excess: bool, priority: u32, work: u64) -> u64 {
    let own = (excess, priority, size_class(work));
    let waiting = service.waiting.iter();
    let ahead = waiting.take_while(|have| (have.excess, have.priority, have.size) <= own);
    ahead.fold(0, |sum, have| sum.saturating_add(have.work))
}

/// Spreads the delays of rejected callers, so that they don't return together.
///
/// The id decides, so that a caller gets the same place again. Shorter delays stay shorter on average: jobs that are
/// more urgent or smaller return first.
#[must_use]
pub fn spread(id: &id::Job, delay: Millis) -> Millis {
    let base = delay.max(MIN_DELAY).min(MAX_BASE);
    let width = Millis(base.0 / 2).max(MIN_SPREAD);
    // The FNV-1a hash with 64 bits.
    let hash = id
        .as_str()
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    // Ids that differ in the last digit alone differ little in the upper half of the hash.
    let place = (hash ^ (hash >> 32)) % (width.0 + 1);
    (base + Millis(place)).min(MAX_DELAY)
}
