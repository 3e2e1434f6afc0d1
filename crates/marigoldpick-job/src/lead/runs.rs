//! The runs on workers: their claims on the workers, and what they add to their teams' use.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Task;

use super::Lead;
use crate::job::{Job, Place};
use crate::worker::{self, Run};

impl Lead {
    /// Creates the worker's state of a run, with the claim and the attributes of its step.
    pub(super) fn new_run(
        &self,
        task: &Task,
        run: u64,
        phase: worker::Phase,
        now: Millis,
    ) -> Option<Run> {
        let job = self.job(&task.part.job)?;
        describe_run(job, Run::new(task.clone(), run, phase, now))
    }

    /// Places the tasks of a new job where runs of them were found before the job was known.
    ///
    /// Load pattern: an earlier lead started tasks of a job shortly before it was replaced, and its workers report to the
    /// new lead before the job arrives from the store. The runs are being stopped by then.
    pub(super) fn attach_found_runs(&mut self, job: usize) {
        let id = self.jobs[job].id.clone();
        for at in 0..self.workers.len() {
            let runs = self.workers[at].runs.iter();
            let found: Vec<(Task, u64)> = runs
                .filter(|run| run.task.part.job == id)
                .map(|run| (run.task.clone(), run.run))
                .collect();
            for (task, run) in found {
                self.attach_found_run(job, at, &task, run);
            }
        }
    }

    fn attach_found_run(&mut self, job: usize, at: usize, task: &Task, run: u64) {
        let worker = self.workers[at].node.id.clone();
        let place = Place { worker, run };
        let state = self.jobs[job].task_mut(task);
        let Some(state) = state.filter(|state| !state.done && !state.places.contains(&place))
        else {
            return;
        };
        state.places.push(place);
        if let Some(found) = self.remove_run(at, task, run)
            && let Some(described) = describe_run(&self.jobs[job], found)
        {
            self.add_run(at, described);
        }
        self.mark_started(task);
        self.mark_changed(job);
    }

    /// Adds a run to a worker and charges its team.
    pub(super) fn add_run(&mut self, at: usize, run: Run) {
        let (team, needs) = (run.team.clone(), run.needs.clone());
        if self.workers[at].add(run)
            && let Some(team) = team
        {
            self.quotas.charge(&team, &needs);
        }
    }

    /// Removes a run from a worker, and from what its team holds.
    pub(super) fn remove_run(&mut self, at: usize, task: &Task, run: u64) -> Option<Run> {
        let run = self.workers[at].remove(task, run)?;
        self.end_evacuation(task, run.run);
        if let Some(team) = &run.team {
            self.quotas.refund(team, &run.needs);
        }
        Some(run)
    }

    /// Logs a run that is lost with its worker, and how long it had worked by then.
    pub(super) fn log_loss(&mut self, at: usize, run: &Run, now: Millis) {
        let worker = &self.workers[at];
        let lost = worker.earliest_loss(now);
        let detail = format!(
            "worker={} run={} phase={:?} worked_ms={}",
            worker.node.id,
            run.run,
            run.phase,
            lost.since(run.confirmed_at).0
        );
        self.log("run-lost", run.task.to_string(), detail);
    }

    /// Removes the placement of a run, so that its task waits again.
    pub(super) fn remove_place(&mut self, task: &Task, run: u64, worker: &id::Worker) {
        self.needs_pass = true;
        let Some(at) = self.job_index(&task.part.job) else {
            return;
        };
        let is_gone = |place: &Place| place.run == run && place.worker == *worker;
        let known = self.jobs[at].task(task);
        if !known.is_some_and(|state| state.places.iter().any(is_gone)) {
            return;
        }
        if let Some(state) = self.jobs[at].task_mut(task) {
            state.places.retain(|place| !is_gone(place));
        }
        self.jobs[at].settle(task);
        if !self.jobs[at].phase.is_over() {
            self.mark_changed(at);
            self.mark_waiting(at);
        } else if self.jobs[at].placed().is_empty() {
            // The record names the placements of a job that is over until all of them are gone.
            self.mark_changed(at);
        }
    }
}

/// Sets the claim and the attributes of a run from its step; `None` if the job has no such step.
fn describe_run(job: &Job, run: Run) -> Option<Run> {
    let step = job.step(&run.task.part)?;
    Some(Run {
        claim: job.claims[run.task.part.step as usize].clone(),
        needs: step.needs.clone(),
        team: job.spec.team.clone(),
        estimate: step.estimate,
        target: step.target,
        fills: step.fills,
        lasting: step.lasting,
        gang: step.gang,
        ..run
    })
}
