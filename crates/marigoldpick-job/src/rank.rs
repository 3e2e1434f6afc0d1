//! The order in which waiting work is served, by what callers lose while it waits.
//!
//! Load pattern: bursts of a short urgent kind beside long work that fills the pool, and more of it
//! than can be on time. Within a priority, work that can still be on time goes first, then work that is
//! late but still of use, the least work left first; last what is of no use to its caller any more, the
//! oldest first.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{self, Step};

use crate::job::{Job, Occurrence, Stage};
use crate::queue::Queue;

/// The number of workers that the objective's question to the adviser counts.
const ASSUMED_WORKERS: usize = 30;
/// A job counts as late up to this many times its objective.
const LATE_FACTOR: u64 = 3;

/// `Use` is what the result still is to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It can be on time.
    OnTime,
    /// It will be late.
    Late,
    /// It comes after all use.
    Expired,
}

/// `Claim` is whether waiting work goes before the order of the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// A lasting task of a job that has begun has to run again.
    Restart,
    /// It takes its turn.
    Normal,
}

/// `Rank` orders waiting work; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether it goes before the order of the queues.
    pub precedence: Precedence,
    /// The queue's priority.
    pub priority: u32,
    /// What the result still is to the caller.
    pub timeliness: Timeliness,
    /// The work that is left while it is of use, in core-milliseconds.
    pub remaining_work: u64,
    /// The moment after which it is worth less.
    pub deadline: Millis,
}

/// The cores that an accelerator counts as.
const ACCELERATOR_CORES: u64 = 8;

/// Returns the work that is left of an occurrence, in core-milliseconds.
fn remaining_work(job: &Job, occurrence: &Occurrence) -> u64 {
    let steps = job.spec.steps.iter().zip(&occurrence.stages);
    let work = |(step, stage): (&Step, &Stage)| {
        let accelerators = step.needs.accelerators.iter().map(|a| u64::from(a.count));
        let millicores =
            step.needs.millicores + accelerators.sum::<u64>() * ACCELERATOR_CORES * 1_000;
        let each = step.estimate.0.saturating_mul(millicores) / 1_000;
        each.saturating_mul(u64::from(stage.unfinished))
    };
    steps.map(work).fold(0, u64::saturating_add)
}

/// Returns the longest chain of estimated work over the steps that `counts`, advice included.
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

/// Returns the longest chain of estimated work of the steps that are not done.
#[must_use]
pub fn time_left(spec: &work::Job, occurrence: &Occurrence, queue: &Queue) -> Millis {
    critical_path(spec, queue, |step| occurrence.stages[step].unfinished > 0)
}

/// Ranks a step of one occurrence of a job.
///
/// Load pattern: lasting tasks fail or lose their worker while other queues press. Their users are
/// without service until they run again, so they go first, and a lasting job is of use at any age.
#[must_use]
pub fn rank(job: &Job, step: usize, occurrence: &Occurrence, queue: &Queue, now: Millis) -> Rank {
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
        priority: queue.priority,
        timeliness,
        remaining_work: match timeliness {
            Timeliness::OnTime | Timeliness::Late => remaining_work(job, occurrence),
            // Accepted work has to be done: the oldest goes first, so that wide jobs come to their turn.
            Timeliness::Expired => 0,
        },
        deadline,
    }
}

/// Returns the latest end of a step's tasks with which the job keeps its worth: on time, or of use.
///
/// Nothing once its result is of no use any more.
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

/// Returns the time of the question to the adviser that is counted for each step.
fn advice_span(queue: &Queue) -> Millis {
    queue
        .policy
        .map_or(Millis::ZERO, |p| p.span(ASSUMED_WORKERS))
}
