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
const ASKED: usize = 30;
/// A job counts as late up to this many times its objective.
const LATE: u64 = 3;

/// `Use` is what the result still is to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// It can be on time.
    Full,
    /// It will be late.
    Late,
    /// It comes after all use.
    None,
}

/// `Claim` is whether waiting work goes before the order of the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Claim {
    /// A lasting task of a job that has begun has to run again.
    Restart,
    /// It takes its turn.
    Turn,
}

/// `Rank` orders waiting work; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether it goes before the order of the queues.
    pub claim: Claim,
    /// The queue's priority.
    pub priority: u32,
    /// What the result still is to the caller.
    pub usefulness: Use,
    /// The work that is left while it is of use, in core-milliseconds.
    pub work: u64,
    /// The moment after which it is worth less.
    pub deadline: Millis,
}

/// The cores that an accelerator counts as.
const ACCELERATOR_CORES: u64 = 8;

/// Returns the work that is left of an occurrence, in core-milliseconds.
fn work_left(job: &Job, occurrence: &Occurrence) -> u64 {
    let steps = job.spec.steps.iter().zip(&occurrence.stages);
    let work = |(step, stage): (&Step, &Stage)| {
        let accelerators = step.needs.accelerators.iter().map(|a| u64::from(a.count));
        let millicores =
            step.needs.millicores + accelerators.sum::<u64>() * ACCELERATOR_CORES * 1_000;
        let each = step.estimate.0.saturating_mul(millicores) / 1_000;
        each.saturating_mul(u64::from(stage.left))
    };
    steps.map(work).fold(0, u64::saturating_add)
}

/// Returns the longest chain of estimated work over the steps that `counts`, advice included.
fn chain(spec: &work::Job, queue: &Queue, counts: impl Fn(usize) -> bool) -> Millis {
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
    let work = chain(spec, queue, |_| true);
    Millis((work.0 as f64 * queue.stretch) as u64) + queue.target
}

/// Returns the longest chain of estimated work of the steps that are not done.
#[must_use]
pub fn left(spec: &work::Job, occurrence: &Occurrence, queue: &Queue) -> Millis {
    chain(spec, queue, |step| occurrence.stages[step].left > 0)
}

/// Ranks a step of one occurrence of a job.
///
/// Load pattern: lasting tasks fail or lose their worker while other queues press. Their users are
/// without service until they run again, so they go first, and a lasting job is of use at any age.
#[must_use]
pub fn rank(job: &Job, step: usize, occurrence: &Occurrence, queue: &Queue, now: Millis) -> Rank {
    let lasting = job.spec.steps[step].lasting;
    let on_time = occurrence.due + job.objective;
    let of_use = occurrence.due + job.objective.times(LATE);
    let end = now + occurrence.left;
    let (usefulness, deadline) = if lasting || end <= on_time {
        (Use::Full, on_time)
    } else if end <= of_use {
        (Use::Late, of_use)
    } else {
        (Use::None, of_use)
    };
    let claim = if lasting && job.phase != work::Phase::Queued {
        Claim::Restart
    } else {
        Claim::Turn
    };
    Rank {
        claim,
        priority: queue.priority,
        usefulness,
        work: match usefulness {
            Use::Full | Use::Late => work_left(job, occurrence),
            // Accepted work has to be done: the oldest goes first, so that wide jobs come to their turn.
            Use::None => 0,
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
    let after = occurrence.left.since(step.estimate + advice_span(queue));
    [1, LATE]
        .into_iter()
        .map(|times| occurrence.due + job.objective.times(times) - after)
        .find(|end| *end > now)
}

/// Returns the time of the question to the adviser that is counted for each step.
fn advice_span(queue: &Queue) -> Millis {
    queue.policy.map_or(Millis::ZERO, |p| p.span(ASKED))
}
