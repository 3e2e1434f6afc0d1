//! Numbers of jobs and tasks for metrics.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Phase;

use super::Lead;
use crate::job;

impl Lead {
    /// Returns the number of accepted jobs of a queue with no started task.
    #[must_use]
    pub fn waiting(&self, queue: &Name) -> usize {
        self.jobs
            .iter()
            .filter(|job| job.phase == Phase::Queued && job.spec.queue == *queue)
            .count()
    }

    /// Returns the number of lasting tasks that do not run, or whose worker is silent or has left the registry.
    #[must_use]
    pub fn interrupted_tasks(&self) -> usize {
        let is_interrupted = |task: &job::Task| match task.places.as_slice() {
            [] => false,
            [place] => self.worker_index(&place.worker).is_none_or(|at| {
                let worker = &self.workers[at];
                !worker.is_registered || !worker.is_responsive()
            }),
            _ => false,
        };
        let begun = self.jobs.iter().filter(|job| job.phase == Phase::Running);
        let stages = begun.flat_map(|job| {
            let occurrences = job.occurrences.iter();
            occurrences.flat_map(|occurrence| job.spec.steps.iter().zip(&occurrence.stages))
        });
        let lasting = stages.filter(|(step, _)| step.lasting);
        lasting
            .map(|(_, stage)| {
                let placed = stage.touched().filter(|(_, task)| is_interrupted(task));
                stage.count_unplaced() as usize + placed.count()
            })
            .sum()
    }
}
