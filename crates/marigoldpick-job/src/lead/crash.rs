//! Tasks that crash the workers on which they start.
//!
//! Load pattern: a task crashes each worker that starts it, and the workers are back after some seconds. Started
//! again and again, it would take one worker after another from the pool, with all that runs there. A crash
//! counts against the runs that had just started; where there are several, their tasks are next started apart
//! from each other, which shows the one to blame.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Task;
use marigoldpick_core::work::port::{Ended, Exit, Running};

use super::Lead;
use super::release::{Evidence, Ground};
use crate::job::{self, Place};
use crate::worker::{Phase, SETTLE_TIME, Suspect, Worker};

/// A task is given up after this many crashes if no other run had just started at the last one.
const MAX_CRASHES_ALONE: usize = 2;
/// A task is given up after this many crashes, whatever else had just started. It does not start while so many
/// are suspected.
const MAX_CRASHES: usize = 3;
/// The same if for some of the crashes it is not known that the task had started.
const MAX_UNCONFIRMED_CRASHES: usize = 5;

/// `Exposure` orders workers by what a start that may crash them puts at risk; less goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Exposure {
    /// Whether a crash would not show which start caused it.
    is_ambiguous: bool,
    /// Whether the worker is new, and may be one that crashes for other reasons.
    is_new: bool,
    /// The number of runs that a crash would end.
    runs: usize,
}

impl Exposure {
    pub(super) fn of(worker: &Worker, now: Millis) -> Self {
        Self {
            is_ambiguous: worker.has_settling_run(now),
            is_new: worker.is_new(now),
            runs: worker.runs.len(),
        }
    }
}

impl Lead {
    /// Handles the news that another incarnation answers at a worker's address: the worker's runs have ended.
    pub(super) fn handle_incarnation_end(&mut self, at: usize, now: Millis) {
        let runs = self.workers[at].runs.clone();
        let worker = &mut self.workers[at];
        worker.has_ended = true;
        // An ended worker has no runs that are not known yet.
        worker.has_reported = true;
        let id = worker.node.id.to_string();
        self.log("worker-ended", id, format!("runs={}", runs.len()));
        self.count_crash(at, now);
        for run in runs {
            self.log_loss(at, &run, now);
            let evidence = Evidence::new(Ground::Replaced, now);
            self.release_run(at, &run.task, run.run, evidence, now);
        }
    }

    /// Records that a worker whose connection broke now may have crashed under the tasks that had just started.
    ///
    /// This is recorded before it is known, since the lead may change before the worker is back. A worker that
    /// fell silent with its connections open may have been cut off, and no task is suspected.
    pub(super) fn suspect_crash(&mut self, at: usize, now: Millis) {
        let settling = self.workers[at]
            .runs
            .iter()
            .filter(|run| run.is_settling(now));
        let mut suspects: Vec<Suspect> = settling
            .map(|run| Suspect {
                task: self.blamed_task(&run.task),
                run: run.run,
                is_confirmed: run.phase == Phase::Running,
            })
            .collect();
        merge_suspects(&mut suspects);
        let worker = &mut self.workers[at];
        // What an earlier lead has suspected stays until the worker answers or is known to have ended.
        worker.crash_suspects.extend_from_slice(&suspects);
        merge_suspects(&mut worker.crash_suspects);
        let id = worker.node.id.clone();
        for Suspect { task, run, .. } in suspects {
            let worker = id.clone();
            self.update_crashes(&task, |state| {
                state.possible_crashes.push(Place { worker, run });
            });
        }
    }

    /// Records that a worker has carried out a start, under which it may have crashed.
    pub(super) fn confirm_crash_suspect(&mut self, at: usize, task: &Task, run: u64) {
        let task = self.blamed_task(task);
        let mut suspects = self.workers[at].crash_suspects.iter_mut();
        if let Some(suspect) = suspects.find(|have| have.task == task && have.run == run) {
            suspect.is_confirmed = true;
        }
    }

    /// Clears the suspicion of a run that has not begun on its worker.
    pub(super) fn clear_crash_suspect(&mut self, at: usize, task: &Task, run: u64) {
        // Other members of a gang may have begun under the same run.
        if self.is_gang(task) {
            return;
        }
        let worker = &mut self.workers[at];
        let id = worker.node.id.clone();
        let before = worker.crash_suspects.len();
        worker
            .crash_suspects
            .retain(|have| have.task != *task || have.run != run);
        if worker.crash_suspects.len() < before {
            self.update_crashes(task, |state| {
                state
                    .possible_crashes
                    .retain(|place| place.worker != id || place.run != run);
            });
        }
    }

    /// Attaches the possible crashes that an earlier lead recorded to their workers.
    pub(super) fn expect_crash_suspects(&mut self, at: usize, now: Millis) {
        for (task, place) in self.jobs[at].possible_crashes() {
            let at = self.expect_worker(&place.worker, now);
            // The record does not tell whether the start had been carried out.
            self.workers[at].crash_suspects.push(Suspect {
                task,
                run: place.run,
                is_confirmed: true,
            });
        }
    }

    /// Clears the tasks that might have crashed a worker, which has survived them.
    pub(super) fn clear_crash_suspects(&mut self, at: usize) {
        let id = self.workers[at].node.id.clone();
        for suspect in std::mem::take(&mut self.workers[at].crash_suspects) {
            self.update_crashes(&suspect.task, |state| {
                state.possible_crashes.retain(|place| place.worker != id);
            });
        }
    }

    /// Counts the end of a worker as a crash under the tasks that are suspected of it.
    pub(super) fn count_crash(&mut self, at: usize, now: Millis) {
        let worker = &mut self.workers[at];
        let suspects = std::mem::take(&mut worker.crash_suspects);
        let id = worker.node.id.clone();
        let is_alone = suspects.len() == 1;
        for Suspect {
            task,
            run,
            is_confirmed,
        } in suspects
        {
            let crashes = self.update_crashes(&task, |state| {
                state.possible_crashes.retain(|place| place.worker != id);
                if !state.crashed.contains(&run) {
                    state.crashed.push(run);
                    if !is_confirmed {
                        state.unconfirmed.push(run);
                    }
                }
                let confirmed = state.confirmed_crashes();
                state.is_given_up |= confirmed >= MAX_CRASHES
                    || (is_alone && confirmed >= MAX_CRASHES_ALONE)
                    || state.crashed.len() >= MAX_UNCONFIRMED_CRASHES;
            });
            if let Some(crashes) = crashes {
                let detail = format!(
                    "worker={id} crashes={crashes} alone={is_alone} confirmed={is_confirmed}"
                );
                self.log("crash-counted", task.to_string(), detail);
            }
        }
        self.resolve_failures(now);
    }

    /// Changes what is known of the crashes under an unfinished task, and returns their number.
    fn update_crashes(
        &mut self,
        task: &Task,
        update: impl FnOnce(&mut job::Task),
    ) -> Option<usize> {
        let at = self.job_index(&task.part.job)?;
        let job = &mut self.jobs[at];
        if job.phase.is_over() {
            return None;
        }
        if job.task(task).is_some_and(|state| state.done) {
            return None;
        }
        let state = job.task_mut(task)?;
        let before = (state.crashed.len(), state.possible_crashes.len());
        update(state);
        let crashes = state.crashed.len();
        let after = (crashes, state.possible_crashes.len());
        job.settle(task);
        if before != after {
            self.mark_changed(at);
            self.mark_waiting(at);
            self.record_failures(at);
        }
        Some(crashes)
    }

    /// Clears the task of a run that a report requested at `sent` lists, if it had settled by then.
    pub(super) fn clear_settled(&mut self, at: usize, running: &Running, sent: Millis) {
        let Some(run) = self.workers[at].run_mut(&running.task, running.run) else {
            return;
        };
        // The other members of a gang say nothing about the one that crashes its worker.
        if run.phase == Phase::Running && !run.gang && run.confirmed_at + SETTLE_TIME <= sent {
            self.clear_crashes(&running.task);
        }
    }

    /// Clears a task whose worker has survived its run.
    pub(super) fn clear_ended(&mut self, end: &Ended) {
        if !self.is_gang(&end.task) || end.how == Exit::Done {
            self.clear_crashes(&end.task);
        }
    }

    fn clear_crashes(&mut self, task: &Task) {
        let blamed = self.blamed_task(task);
        self.update_crashes(&blamed, |state| {
            if !state.is_given_up {
                state.crashed.clear();
                state.unconfirmed.clear();
                state.possible_crashes.clear();
            }
        });
    }

    /// Returns whether the task may crash the worker on which it starts.
    pub(super) fn is_suspect(&self, task: &Task) -> bool {
        self.count_suspected_crashes(task) > 0
    }

    /// Returns whether a task may start: enough crashes under suspicion keep it waiting until more is known of
    /// the workers, and so does a missing record of its crashes.
    pub(super) fn may_start(&self, task: &Task, now: Millis) -> bool {
        let job = self.job(&task.part.job);
        let state = job.and_then(|job| job.task(&self.blamed_task(task)));
        let is_within_limits = state.is_none_or(|state| {
            let suspected = state.suspected_crashes();
            suspected - state.unconfirmed.len().min(suspected) < MAX_CRASHES
                && suspected < MAX_UNCONFIRMED_CRASHES
        });
        is_within_limits && !self.lacks_crash_record(task, now)
    }

    fn count_suspected_crashes(&self, task: &Task) -> usize {
        let job = self.job(&task.part.job);
        let state = job.and_then(|job| job.task(&self.blamed_task(task)));
        state.map_or(0, job::Task::suspected_crashes)
    }

    /// Returns whether a task may crash its worker and the store does not take the record of it.
    ///
    /// Load pattern: the store is out, and another entry leads when it returns. The crashes that the earlier lead
    /// saw in the outage are lost, so that a task under suspicion must not add to them.
    pub(super) fn lacks_crash_record(&self, task: &Task, now: Millis) -> bool {
        self.allows_unrecorded(now) && self.is_suspect(task)
    }

    /// Returns the task on which crashes are counted: for a gang, whose members start together, its first.
    fn blamed_task(&self, task: &Task) -> Task {
        if self.is_gang(task) {
            task.part.task(0)
        } else {
            task.clone()
        }
    }

    fn is_gang(&self, task: &Task) -> bool {
        let job = self.job(&task.part.job);
        let step = job.and_then(|job| job.step(&task.part));
        step.is_some_and(|step| step.gang)
    }
}

/// Sorts suspects and keeps one for each run, the confirmed one if there is one.
fn merge_suspects(suspects: &mut Vec<Suspect>) {
    suspects.sort_by(|a, b| b.cmp(a));
    suspects.dedup_by(|a, b| a.task == b.task && a.run == b.run);
}
