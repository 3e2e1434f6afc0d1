//! The order in which waiting work is served, by what callers lose while it waits.
//!
//! Load pattern: bursts of a short urgent kind beside long work that fills the pool. Within a
//! priority, work that can still be on time goes first, the nearest deadline first; then work that
//! is late but still of use; last what is of no use to its caller any more.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work;

use crate::job::{Job, Occurrence};
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

/// `Rank` orders waiting work; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The queue's priority.
    pub priority: u32,
    /// What the result still is to the caller.
    pub usefulness: Use,
    /// The moment after which it is worth less.
    pub deadline: Millis,
}

/// Returns the longest chain of estimated work over the steps that `counts`, advice included.
fn chain(spec: &work::Job, queue: &Queue, counts: impl Fn(usize) -> bool) -> Millis {
    let advice = queue.policy.map_or(Millis::ZERO, |p| p.span(ASKED));
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

/// Ranks one occurrence of a job.
#[must_use]
pub fn rank(job: &Job, occurrence: &Occurrence, queue: &Queue, now: Millis) -> Rank {
    let objective = objective(&job.spec, queue);
    let left = chain(&job.spec, queue, |step| occurrence.stages[step].left > 0);
    let on_time = occurrence.due + objective;
    let of_use = occurrence.due + objective.times(LATE);
    let end = now + left;
    let (usefulness, deadline) = if end <= on_time {
        (Use::Full, on_time)
    } else if end <= of_use {
        (Use::Late, of_use)
    } else {
        (Use::None, of_use)
    };
    Rank {
        priority: queue.priority,
        usefulness,
        deadline,
    }
}
