//! The use of failure-domain affinity in a pass, in questions to the adviser and in explanations.
//!
//! The preferred domain is computed from the candidates of a step, or from the workers that a question examines
//! anyway. It follows what earlier steps of the same pass have taken, and needs no scan of its own.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Part;

use super::Lead;
use super::advise::count_fitting;
use super::schedule::Candidate;
use crate::affinity::{self, Tally};
use crate::job::{Job, Stage};

impl Lead {
    /// Returns whether the tasks of a step are to be kept in one failure domain.
    pub(super) fn is_affine(&self, job: &Job, part: &Part, now: Millis) -> bool {
        self.settings.domain_affinity && self.can_be_affine(job, part, now)
    }

    /// Returns whether a step belongs to a short job and may be kept in one failure domain.
    fn can_be_affine(&self, job: &Job, part: &Part, now: Millis) -> bool {
        let occurrence = job.occurrences.get(part.occurrence as usize);
        job.step(part).is_some_and(affinity::is_eligible)
            && occurrence.is_some_and(|occurrence| {
                affinity::is_short(job, occurrence, self.settings.lease, now)
            })
    }

    /// Returns the failure domains of a job's running tasks.
    pub(super) fn running_domains(&self, job: &Job) -> Tally<'_> {
        let mut tally = Tally::default();
        let stages = job.occurrences.iter().flat_map(|o| &o.stages);
        for domain in stages.flat_map(|stage| self.domains_of(stage)) {
            tally.add_running(domain);
        }
        tally
    }

    /// Returns the failure domain of each placement of a stage's unfinished tasks.
    fn domains_of(&self, stage: &Stage) -> impl Iterator<Item = &id::Domain> {
        let is_over = stage.unfinished == 0;
        let tasks = stage
            .tasks
            .iter()
            .filter(move |task| !is_over && !task.done);
        tasks
            .flat_map(|task| &task.places)
            .filter_map(|place| self.domain_of(&place.worker))
    }

    /// Marks the candidates outside the preferred domain of a short job.
    ///
    /// `tasks` is the number of tasks to place, and `planned` has the workers of tasks that an explanation has planned
    /// for other steps of the job.
    pub(super) fn mark_away(
        &self,
        job: &Job,
        part: &Part,
        tasks: usize,
        planned: &[usize],
        candidates: &mut [Candidate],
        now: Millis,
    ) {
        if !self.is_affine(job, part, now) {
            return;
        }
        let claim = &job.claims[part.step as usize];
        let mut tally = self.running_domains(job);
        for at in planned {
            tally.add_running(&self.workers[*at].node.domain);
        }
        for candidate in candidates.iter() {
            let worker = &self.workers[candidate.worker];
            let fitting = count_fitting(&candidate.free(worker), claim).min(candidate.left);
            tally.add_fitting(&worker.node.domain, fitting);
        }
        let Some(preferred) = tally.preferred(&job.id, tasks as u64) else {
            return;
        };
        for candidate in candidates {
            candidate.is_away = self.workers[candidate.worker].node.domain != *preferred;
        }
    }

    /// Counts a step of a short job by whether its running tasks share a failure domain, once none waits.
    ///
    /// A step with a single task tells nothing and does not count. Steps are counted without the setting as well, so
    /// that operators can compare.
    pub(super) fn count_domains(&mut self, part: &Part, now: Millis) {
        let Some(job) = self.job(&part.job) else {
            return;
        };
        let Some(stage) = job.stage(part.occurrence, part.step) else {
            return;
        };
        if stage.tasks.len() < 2 || stage.has_unplaced() || !self.can_be_affine(job, part, now) {
            return;
        }
        let mut domains = self.domains_of(stage);
        let first = domains.next();
        let is_one = domains.all(|domain| Some(domain) == first);
        drop(domains);
        if is_one {
            self.counters.steps_in_one_domain += 1;
        } else {
            self.counters.steps_in_several_domains += 1;
        }
    }
}
