//! Copies of tasks that will end too late where they run.
//!
//! Load pattern: a few of a step's tasks have drawn a slow worker, or one that turned slow, and the
//! others wait for them. Where copies are allowed and a faster worker has room, the task is started
//! there as well; the run that ends first counts.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Part, Step};

use super::Lead;
use super::schedule::Candidate;
use crate::job::{Job, Occurrence, Task};
use crate::rank;
use crate::worker::{Phase, Run};

/// The progress from which on it tells more of a task's end than its worker's speed, in percent.
const RELIABLE_PROGRESS_PERCENT: u32 = 20;
/// What a task that is past its expected end takes on, as a part of its estimate, in percent.
const OVERDUE_REMAINDER_PERCENT: u64 = 25;
/// The time by which a copy has to be earlier: its record and its start take some 30 ms.
const MIN_GAIN: Millis = Millis(80);

impl Lead {
    /// Returns the tasks of a step that run once, with a copy allowed, and will make their job late;
    /// with the times when they are expected to end.
    pub(super) fn stragglers(
        &self,
        job: &Job,
        part: &Part,
        step: &Step,
        now: Millis,
    ) -> Vec<(u32, Millis)> {
        if !step.copies || step.gang || step.lasting {
            return Vec::new();
        }
        let occurrence = &job.occurrences[part.occurrence as usize];
        let Some(queue) = self.queue(&job.spec.queue) else {
            return Vec::new();
        };
        let end = rank::latest_end(job, step, occurrence, queue, now);
        let is_late = |ends: &Millis| end.is_some_and(|end| *ends > end);
        let stage = &occurrence.stages[part.step as usize];
        (0..)
            .zip(&stage.tasks)
            .filter(|(_, task)| !task.done)
            .filter_map(|(index, task)| Some((index, self.expected_end(task, part, index, now)?)))
            .filter(|(_, ends)| is_late(ends))
            .collect()
    }

    /// Tells whether a step has tasks that will make their job late where they run.
    pub(super) fn has_stragglers(
        &self,
        job: &Job,
        occurrence: (u32, &Occurrence),
        step: u32,
        now: Millis,
    ) -> bool {
        let spec = &job.spec.steps[step as usize];
        let (number, state) = occurrence;
        if !spec.copies || state.stages[step as usize].unfinished == 0 {
            return false;
        }
        let part = Part {
            job: job.id.clone(),
            occurrence: number,
            step,
        };
        !self.stragglers(job, &part, spec, now).is_empty()
    }

    /// Returns when a task that runs in one place is expected to end.
    fn expected_end(&self, task: &Task, part: &Part, index: u32, now: Millis) -> Option<Millis> {
        let [place] = task.places.as_slice() else {
            return None;
        };
        let worker = &self.workers[self.worker_index(&place.worker)?];
        let run = &worker.runs[worker.find_run(&part.task(index), place.run).ok()?];
        (run.phase == Phase::Running)
            .then(|| expected_end(run, self.slowdown_permille(worker), now))
    }

    /// Starts copies of tasks that lag on workers where they end sooner; returns how many.
    pub(super) fn place_copies(
        &mut self,
        part: &Part,
        step: &Step,
        candidates: &mut [Candidate],
        now: Millis,
    ) -> usize {
        let Some(job) = self.job(&part.job) else {
            return 0;
        };
        let mut placed = 0;
        for (index, ends) in self.stragglers(job, part, step, now) {
            let Some(best) = self.best_candidate(part, step, index, candidates) else {
                break;
            };
            let at = candidates[best].worker;
            if now + self.time_on(part, step, at) + MIN_GAIN > ends || self.runs_on(part, index, at)
            {
                continue;
            }
            candidates[best].left -= 1;
            self.next_run += 1;
            let run = self.next_run;
            let detail = format!(
                "worker={} expected={}",
                self.workers[at].node.id,
                ends.since(now)
            );
            self.log("copy-placed", part.task(index).to_string(), detail);
            self.place_task(part, index, at, run, now);
            placed += 1;
        }
        placed
    }

    fn runs_on(&self, part: &Part, index: u32, at: usize) -> bool {
        let task = part.task(index);
        let mut runs = self.workers[at].runs.iter();
        runs.any(|run| run.task == task)
    }

    fn time_on(&self, part: &Part, step: &Step, at: usize) -> Millis {
        let worker = &self.workers[at];
        let Some(job) = self.job(&part.job) else {
            return Millis::MAX;
        };
        let demand = self.demand(job, part, step);
        Millis(demand.run_time_ms(worker, self.slowdown_permille(worker)))
    }
}

/// Returns when a run is expected to end, by its progress or by its worker's speed.
fn expected_end(run: &Run, slowdown_permille: u64, now: Millis) -> Millis {
    let worked = run.progressed_at.since(run.confirmed_at);
    let ends = if run.percent >= RELIABLE_PROGRESS_PERCENT && worked > Millis::ZERO {
        run.confirmed_at + Millis(worked.0 * 100 / u64::from(run.percent))
    } else {
        run.confirmed_at + Millis(run.estimate.0 * slowdown_permille / 1_000)
    };
    ends.max(now + Millis(run.estimate.0 * OVERDUE_REMAINDER_PERCENT / 100))
}
