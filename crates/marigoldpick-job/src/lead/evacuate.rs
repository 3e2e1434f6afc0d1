//! Evacuation of lasting tasks from workers that drain.
//!
//! Load pattern: all workers of a service are replaced one after the other. A worker that has left reports no
//! ends, so that its tasks wait for its lease. A lasting task would still run when the worker leaves. It is
//! therefore stopped as soon as another worker can take it, and starts there when its end is reported.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{self, Part, Step};

use super::Lead;
use super::schedule::Candidate;
use crate::job::{Place, Stage, Task};
use crate::worker::Phase;

/// `Evacuation` is a run that is being stopped, and the worker that keeps room for its task meanwhile.
#[derive(Clone, Debug)]
pub(super) struct Evacuation {
    task: work::Task,
    run: u64,
    target: id::Worker,
    claim: Amount,
}

impl Lead {
    /// Stops tasks of a lasting step on workers that drain, as many as the candidates can take.
    ///
    /// Members of gangs are not moved, since the others would end with them.
    pub(super) fn evacuate(
        &mut self,
        part: &Part,
        step: &Step,
        candidates: &mut [Candidate],
        now: Millis,
    ) {
        if !step.lasting || step.gang {
            return;
        }
        let Some(job) = self.job(&part.job) else {
            return;
        };
        let Some(stage) = job.stage(part.occurrence, part.step) else {
            return;
        };
        let claim = job.claims[part.step as usize].clone();
        for (index, place) in self.draining_places(stage, part) {
            let Some(best) = self.best_candidate(part, step, index, candidates, now) else {
                return;
            };
            candidates[best].left -= 1;
            let target = candidates[best].worker;
            self.workers[target].reserve(&claim);
            let task = part.task(index);
            let id = self.workers[target].node.id.clone();
            let detail = format!("worker={} run={} to={id}", place.worker, place.run);
            self.log("task-evacuated", task.to_string(), detail);
            self.stop_run(&task, &place.worker, place.run, now);
            self.evacuations.push(Evacuation {
                task,
                run: place.run,
                target: id,
                claim: claim.clone(),
            });
        }
    }

    /// Frees the room that is kept for a task whose run has ended.
    pub(super) fn end_evacuation(&mut self, task: &work::Task, run: u64) {
        let found = self
            .evacuations
            .iter()
            .position(|evacuation| evacuation.run == run && evacuation.task == *task);
        let Some(at) = found else { return };
        let Evacuation { target, claim, .. } = self.evacuations.swap_remove(at);
        if let Some(at) = self.worker_index(&target) {
            self.workers[at].unreserve(&claim);
        }
    }

    /// Returns the tasks of a step that run on workers that drain, with their placements.
    fn draining_places(&self, stage: &Stage, part: &Part) -> Vec<(u32, Place)> {
        let is_running = |index: u32, place: &Place| {
            self.worker_index(&place.worker).is_some_and(|at| {
                let worker = &self.workers[at];
                let found = worker.find_run(&part.task(index), place.run);
                found.is_ok_and(|run| worker.runs[run].phase == Phase::Running)
            })
        };
        stage
            .touched()
            .filter(|(_, task)| self.is_on_draining_worker(task))
            .filter_map(|(index, task)| Some((index, task.places.first()?.clone())))
            .filter(|(index, place)| is_running(*index, place))
            .collect()
    }

    /// Returns whether an unfinished task has its only run on a worker that drains and still answers.
    pub(super) fn is_on_draining_worker(&self, task: &Task) -> bool {
        let [place] = task.places.as_slice() else {
            return false;
        };
        let worker = self.worker_index(&place.worker);
        !task.done
            && worker.is_some_and(|at| {
                let worker = &self.workers[at];
                worker.node.draining && worker.is_registered && worker.is_responsive()
            })
    }
}
