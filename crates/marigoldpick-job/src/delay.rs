//! What it costs callers to delay waiting work, for each core-second that the work needs.
//!
//! Load pattern: a burst of long work fills the pool beside short urgent work, or a team submits
//! six times its rate, and there is more work than can be on time. If priority alone decides,
//! urgent work without value runs before work of other queues that can be on time, jobs that lack
//! one task wait behind whole new ones, wide jobs wait until they expire, and excess work of an
//! urgent queue waits behind all other work until it has no value.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Step;

use crate::job::{Job, Occurrence};
use crate::queue::Queue;
use crate::rank::{LATE_FACTOR, task_work};

/// The worth of a late result as a part of that of one on time, as callers value it.
const LATE_WORTH: f64 = 0.2;
/// How much less a core-second of the next lower priority is worth, as a part of one of priority
/// zero: callers value priority zero about five times as much as priority two.
const PRIORITY_DISCOUNT: f64 = 2.0;
/// The worth of excess work as a part of that of work within the team's rate.
///
/// With one quarter, excess work goes after like work of the same queue, and small urgent excess
/// work still before long work. One half takes more from other teams and earns little more.
const EXCESS_WORTH: f64 = 0.25;
/// How far ahead a loss of worth counts as imminent; about the time for which long tasks hold the
/// cores that go to them instead. With one or two seconds long work lost more in replays than
/// urgent work gained.
const HORIZON: Millis = Millis(4_000);
/// The part of its worth that work counts with while none of it is lost within the horizon.
const SLACK_WORTH: f64 = 0.5;
/// The cost that expired work gains with each second, so that it runs in the end although its
/// result has no worth: after about five minutes it goes before large new jobs of priority two.
/// With five times as much, useful work lost more in replays.
const AGING_PER_SECOND: f64 = 2e-5;
/// The units of [`cost`] per unit of worth and core-second.
const SCALE: f64 = 1e9;

/// `Work` is the work of an occurrence, in core-seconds.
#[derive(Clone, Copy, Debug)]
struct Work {
    /// The work of all tasks.
    total: f64,
    /// The work of the tasks that have no placement.
    unplaced: f64,
}

/// Returns the work of one task, in core-seconds.
fn work_of_task(step: &Step) -> f64 {
    task_work(step) as f64 / 1e3
}

fn work(job: &Job, occurrence: &Occurrence) -> Work {
    let mut work = Work {
        total: 0.0,
        unplaced: 0.0,
    };
    for (step, stage) in job.spec.steps.iter().zip(&occurrence.stages) {
        let each = work_of_task(step);
        work.total += each * f64::from(step.count);
        work.unplaced += each * f64::from(stage.count_unplaced());
    }
    work
}

/// Returns the worth of a job that ends at `end`, as a part of that of one on time.
fn worth(job: &Job, occurrence: &Occurrence, end: Millis) -> f64 {
    if end <= occurrence.due + job.objective {
        1.0
    } else if end <= occurrence.due + job.objective.times(LATE_FACTOR) {
        LATE_WORTH
    } else {
        0.0
    }
}

/// Returns the cost of delaying a step of an occurrence; the greatest goes first.
///
/// Callers attach more to a job the larger it is, but less than in proportion. The cost therefore
/// grows with the square root of the job's work. It is spread over the work that has not begun,
/// since only that takes capacity from others.
#[must_use]
pub fn cost(job: &Job, step: usize, occurrence: &Occurrence, queue: &Queue, now: Millis) -> u64 {
    let end = now + occurrence.time_left;
    let lasting = job.spec.steps[step].lasting;
    let (current, later) = if lasting {
        (1.0, 0.0)
    } else {
        let worth = |end| worth(job, occurrence, end);
        (worth(end), worth(end + HORIZON))
    };
    if current == 0.0 {
        let expired = end.since(occurrence.due + job.objective.times(LATE_FACTOR));
        return (expired.0 as f64 / 1_000.0 * AGING_PER_SECOND * SCALE) as u64;
    }
    let urgency = current - later + SLACK_WORTH * current;
    let priority = 1.0 / PRIORITY_DISCOUNT.mul_add(f64::from(queue.priority), 1.0);
    let excess = if job.excess { EXCESS_WORTH } else { 1.0 };
    let work = work(job, occurrence);
    // Steps of which every task has a placement wait for one more run, such as a copy.
    let needed = work.unplaced.max(work_of_task(&job.spec.steps[step]));
    let density = work.total.sqrt() / needed.max(f64::MIN_POSITIVE);
    (urgency * priority * excess * density * SCALE) as u64
}
