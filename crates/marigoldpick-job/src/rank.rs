//! The order of waiting work, by what callers lose while it waits.
//!
//! Load pattern: bursts of a short urgent kind arrive beside long work that fills the pool, and
//! there is more of it than can be on time. What exceeds the rates of teams goes after all other
//! work. Within a priority, work that can still be on time goes
//! first, then late work that still has value, each with the least remaining work first. Expired
//! work, which has lost its value to the caller, goes last, the oldest first.
//!
//! With [`Order::Cost`] the cost of delaying work decides instead, see [`crate::delay`].

use std::cmp::Reverse;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{self, Step};
use serde::{Deserialize, Serialize};

use crate::delay;
use crate::job::{Job, Occurrence, Stage};
use crate::queue::Queue;

/// The number of workers assumed for a question to the adviser in a job's time objective.
const ASSUMED_WORKERS: usize = 30;
/// A job counts as late up to this multiple of its objective, and as expired after it.
pub const LATE_FACTOR: u64 = 3;

/// `Order` says what decides between waiting work of different jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The priority of the queue, for work within the rates of its team.
    #[default]
    Priority,
    /// What it costs callers to delay the work, for each core-second that it needs.
    Cost,
}

/// `Timeliness` is how useful the result still is to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The job can end on time.
    OnTime,
    /// The job will be late, and its result still has value.
    Late,
    /// The job will end after its result has lost its value.
    Expired,
}

/// `Precedence` says whether waiting work goes before the order of the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// A lasting task of a job that has begun must run again.
    Restart,
    /// The work follows the order of the queues.
    Normal,
}

/// `Rank` orders waiting work; the least rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the work goes before the order of the queues.
    pub precedence: Precedence,
    /// The cost of delaying the work, the greatest first; zero with [`Order::Priority`].
    pub delay_cost: Reverse<u64>,
    /// Whether the job exceeds the rate of its team; other teams' work goes first.
    pub excess: bool,
    /// The queue's priority.
    pub priority: u32,
    /// How useful the result still is to the caller.
    pub timeliness: Timeliness,
    /// The remaining work in core-milliseconds; zero for expired jobs.
    pub remaining_work: u64,
    /// The time after which the result loses value.
    pub deadline: Millis,
}

/// The number of cores that an accelerator counts as.
const ACCELERATOR_CORES: u64 = 8;

/// Returns the processors of an amount in thousandths of a core, with the cores that its accelerators count as.
#[must_use]
pub fn counted_millicores(amount: &Amount) -> u64 {
    let accelerators = amount.accelerators.iter().map(|a| u64::from(a.count));
    let accelerated = accelerators.sum::<u64>() * ACCELERATOR_CORES * 1_000;
    amount.millicores.saturating_add(accelerated)
}

/// Returns the estimated work of one task of a step, in core-milliseconds.
#[must_use]
pub fn task_work(step: &Step) -> u64 {
    let millicores = counted_millicores(&step.needs);
    step.estimate.0.saturating_mul(millicores) / 1_000
}

/// Returns the remaining work of an occurrence, in core-milliseconds.
#[must_use]
pub fn remaining_work(job: &Job, occurrence: &Occurrence) -> u64 {
    let steps = job.spec.steps.iter().zip(&occurrence.stages);
    let work = |(step, stage): (&Step, &Stage)| {
        task_work(step).saturating_mul(u64::from(stage.unfinished))
    };
    steps.map(work).fold(0, u64::saturating_add)
}

/// Returns the critical path of estimated run times over the steps that `counts` selects.
///
/// Each step includes the time of a question to the adviser.
fn critical_path(spec: &work::Job, queue: &Queue, counts: impl Fn(usize) -> bool) -> Millis {
    let advice = advice_span(queue);
    let mut ends: Vec<Millis> = Vec::with_capacity(spec.steps.len());
    for (number, step) in spec.steps.iter().enumerate() {
        let before = step.after.iter().map(|before| ends[*before as usize]);
        let start = before.max().unwrap_or(Millis::ZERO);
        let own = if counts(number) {
            step.estimate + advice
        } else {
            Millis::ZERO
        };
        ends.push(start + own);
    }
    ends.into_iter().max().unwrap_or(Millis::ZERO)
}

/// Returns how long a job may take to be on time.
#[must_use]
pub fn objective(spec: &work::Job, queue: &Queue) -> Millis {
    let work = critical_path(spec, queue, |_| true);
    Millis((work.0 as f64 * queue.stretch) as u64) + queue.target
}

/// Returns the critical path of all steps.
#[must_use]
pub fn full_time(spec: &work::Job, queue: &Queue) -> Millis {
    critical_path(spec, queue, |_| true)
}

/// Returns the critical path of the unfinished steps.
#[must_use]
pub fn time_left(spec: &work::Job, occurrence: &Occurrence, queue: &Queue) -> Millis {
    critical_path(spec, queue, |step| occurrence.stages[step].unfinished > 0)
}

/// Returns whether an occurrence will end after its result has lost its value.
#[must_use]
pub fn is_expired(job: &Job, occurrence: &Occurrence, now: Millis) -> bool {
    now + occurrence.time_left > occurrence.due + job.objective.times(LATE_FACTOR)
}

/// Sets what a job's rank depends on: its time objective and its remaining critical path.
pub fn estimate(job: &mut Job, queue: &Queue) {
    job.objective = objective(&job.spec, queue);
    job.set_full_time(full_time(&job.spec, queue));
    for occurrence in &mut job.occurrences {
        occurrence.time_left = time_left(&job.spec, occurrence, queue);
    }
}

/// Ranks a step of one occurrence of a job.
///
/// Load pattern: lasting tasks fail or lose their worker while other queues have a backlog. Their
/// users have no service until they run again, so they go first, and a lasting job never expires.
#[must_use]
pub fn rank(
    order: Order,
    job: &Job,
    step: usize,
    occurrence: &Occurrence,
    queue: &Queue,
    now: Millis,
) -> Rank {
    let lasting = job.spec.steps[step].lasting;
    let on_time_limit = occurrence.due + job.objective;
    let late_limit = occurrence.due + job.objective.times(LATE_FACTOR);
    let end = now + occurrence.time_left;
    let (timeliness, deadline) = if lasting || end <= on_time_limit {
        (Timeliness::OnTime, on_time_limit)
    } else if end <= late_limit {
        (Timeliness::Late, late_limit)
    } else {
        (Timeliness::Expired, late_limit)
    };
    let precedence = if lasting && job.phase != work::Phase::Queued {
        Precedence::Restart
    } else {
        Precedence::Normal
    };
    Rank {
        precedence,
        delay_cost: Reverse(match order {
            Order::Priority => 0,
            Order::Cost => delay::cost(job, step, occurrence, queue, now),
        }),
        excess: job.excess,
        priority: queue.priority,
        timeliness,
        remaining_work: match timeliness {
            Timeliness::OnTime | Timeliness::Late => remaining_work(job, occurrence),
            // Accepted work must run in the end. Among expired jobs the oldest goes first, so that
            // wide jobs are not starved.
            Timeliness::Expired => 0,
        },
        deadline,
    }
}

/// Returns the latest end of a step's tasks that keeps the job useful.
///
/// With this end the job is on time, or late if that is no longer possible. Returns `None` for an
/// expired job.
#[must_use]
pub fn latest_end(
    job: &Job,
    step: &Step,
    occurrence: &Occurrence,
    queue: &Queue,
    now: Millis,
) -> Option<Millis> {
    let after = occurrence
        .time_left
        .since(step.estimate + advice_span(queue));
    [1, LATE_FACTOR]
        .into_iter()
        .map(|times| occurrence.due + job.objective.times(times) - after)
        .find(|end| *end > now)
}

/// Returns the time of one question to the adviser, as counted for each step.
fn advice_span(queue: &Queue) -> Millis {
    queue
        .policy
        .map_or(Millis::ZERO, |p| p.span(ASSUMED_WORKERS))
}
