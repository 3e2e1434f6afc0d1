//! Speculative copies of stragglers.
//!
//! Load pattern: a few tasks of a step run on a slow worker, or on one that has become slow, and
//! delay the step. Where the step allows copies and a faster worker has capacity, the task is
//! started there as well, and the first run to end counts.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Part, Step};

use super::Lead;
use super::schedule::Candidate;
use crate::job::{Job, Occurrence, Task};
use crate::rank;
use crate::worker::{Phase, Run};

/// From this progress on, in percent, progress predicts a run's end better than its worker's speed.
const RELIABLE_PROGRESS_PERCENT: u32 = 20;
/// The remaining time assumed for a run past its expected end, in percent of its estimate.
const OVERDUE_REMAINDER_PERCENT: u64 = 25;
/// The least time by which a copy must end earlier; its record and its start take about 30 ms.
const MIN_GAIN: Millis = Millis(80);

impl Lead {
    /// Returns the tasks whose only run will make the job late.
    ///
    /// Each comes with its expected end. Tasks qualify only if their step allows copies.
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
        let (Some(occurrence), Some(queue)) =
            (job.occurrence(part.occurrence), self.queue(&job.spec.queue))
        else {
            return Vec::new();
        };
        let end = rank::latest_end(job, step, occurrence, queue, now);
        let is_late = |ends: &Millis| end.is_some_and(|end| *ends > end);
        let stage = &occurrence.stages[part.step as usize];
        stage
            .touched()
            .filter(|(_, task)| !task.done)
            .filter_map(|(index, task)| Some((index, self.expected_end(task, part, index, now)?)))
            .filter(|(_, ends)| is_late(ends))
            .collect()
    }

    /// Returns whether a step has tasks whose runs will make their job late.
    pub(super) fn has_stragglers(
        &self,
        job: &Job,
        occurrence: &Occurrence,
        step: u32,
        now: Millis,
    ) -> bool {
        let spec = &job.spec.steps[step as usize];
        if !spec.copies || occurrence.stages[step as usize].unfinished == 0 {
            return false;
        }
        let part = Part {
            job: job.id.clone(),
            occurrence: occurrence.number,
            step,
        };
        !self.stragglers(job, &part, spec, now).is_empty()
    }

    /// Returns the expected end of a task that has a single running run.
    fn expected_end(&self, task: &Task, part: &Part, index: u32, now: Millis) -> Option<Millis> {
        let [place] = task.places.as_slice() else {
            return None;
        };
        let worker = &self.workers[self.worker_index(&place.worker)?];
        let run = &worker.runs[worker.find_run(&part.task(index), place.run).ok()?];
        (run.phase == Phase::Running)
            .then(|| expected_end(run, self.slowdown_permille(worker), now))
    }

    /// Places copies of stragglers on workers where they end earlier; returns the number placed.
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
        let admitted = self.admitted_tasks(job, step, step.count as usize);
        for (index, ends) in self.stragglers(job, part, step, now) {
            if placed == admitted {
                break;
            }
            let Some(best) = self.best_candidate(part, step, index, candidates, now) else {
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

/// Returns the expected end of a run, from its progress or from its worker's speed.
fn expected_end(run: &Run, slowdown_permille: u64, now: Millis) -> Millis {
    let worked = run.progressed_at.since(run.confirmed_at);
    let ends = if run.percent >= RELIABLE_PROGRESS_PERCENT && worked > Millis::ZERO {
        run.confirmed_at + Millis(worked.times(100).0 / u64::from(run.percent))
    } else {
        run.confirmed_at + Millis(run.estimate.times(slowdown_permille).0 / 1_000)
    };
    ends.max(now + Millis(run.estimate.times(OVERDUE_REMAINDER_PERCENT).0 / 100))
}
