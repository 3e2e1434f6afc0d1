//! The notices to the schedulers and the starts that they request.

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Outcome;
use marigoldpick_shard::lead::{Input, Notice};
use marigoldpick_shard::record;
use rand::Rng;

use super::{Scheduler, Site};

impl Site {
    /// Returns the progress without that of earlier jobs whose name was reused.
    pub(super) fn current_progress(&self, mut progress: Vec<record::Job>) -> Vec<record::Job> {
        progress.retain(|have| {
            let accepted = have.progress.accepted;
            let mut jobs = self.jobs.iter();
            jobs.any(|job| job.id == have.job && job.accepted == accepted)
        });
        progress
    }

    pub(super) fn handle_notice(&mut self, at: usize, notice: Notice) {
        let notice = match notice {
            Notice::Leading {
                epoch,
                progress,
                whole,
            } => Notice::Leading {
                epoch,
                progress: self.current_progress(progress),
                whole,
            },
            Notice::Progress(progress) => Notice::Progress(self.current_progress(progress)),
            other => other,
        };
        let scheduler = &mut self.entries[at].scheduler;
        match notice {
            Notice::Leading {
                epoch,
                progress,
                whole,
            } => {
                self.leads.push((self.now, at, epoch));
                *scheduler = Scheduler {
                    leading: true,
                    whole,
                    ..Scheduler::default()
                };
                scheduler.apply_progress(&progress);
            }
            Notice::Progress(progress) => {
                scheduler.whole = true;
                scheduler.apply_progress(&progress);
            }
            Notice::Deposed => *scheduler = Scheduler::default(),
            Notice::WorkerUp { worker, running } => {
                scheduler.up.insert(worker.id.clone());
                for running in running {
                    scheduler.record_run(&running.spec.run, &worker.id);
                }
            }
            Notice::WorkerReport { worker, changed } => {
                for running in changed {
                    scheduler.record_run(&running.spec.run, &worker);
                }
            }
            Notice::WorkerSilent(worker) => drop(scheduler.up.remove(&worker)),
            Notice::WorkerHeard(worker) => drop(scheduler.up.insert(worker)),
            Notice::WorkerLost { worker, runs } => {
                scheduler.up.remove(&worker);
                for run in runs {
                    scheduler.placements.remove(&run.task);
                }
            }
            Notice::Refused { run, code, .. } => {
                scheduler.placements.remove(&run.task);
                if code == Code::TaskMaybeStarted {
                    scheduler.over.insert(run.task.clone());
                    self.maybe_started.insert(run.task);
                }
            }
            Notice::Finished { finished, .. } => {
                scheduler.placements.remove(&finished.run.task);
                if scheduler.leading && matches!(finished.outcome, Outcome::Checkpointed(_)) {
                    self.checkpoints.push((at, finished.run.clone()));
                }
                let task = finished.run.task;
                if finished.outcome == Outcome::Done {
                    scheduler.over.insert(task);
                } else if self.once_starts.contains_key(&task) {
                    scheduler.over.insert(task.clone());
                    self.feed(at, Input::GiveUp { task });
                }
            }
            Notice::MaybeStarted(run) => {
                scheduler.placements.remove(&run.task);
                scheduler.over.insert(run.task.clone());
                self.maybe_started.insert(run.task);
            }
            Notice::Started { .. }
            | Notice::Throttled { .. }
            | Notice::LeadSilent(_)
            | Notice::StartsHeld(_)
            | Notice::WorkerChanged(_) => {}
        }
    }

    /// Requests the starts of all tasks that neither run nor have ended.
    pub(super) fn schedule(&mut self, at: usize) {
        if !self.entries[at].scheduler.leading || self.holds_starts {
            return;
        }
        let mut starts = Vec::new();
        let scheduler = &mut self.entries[at].scheduler;
        let up: Vec<id::Worker> = scheduler.up.iter().cloned().collect();
        if up.is_empty() {
            return;
        }
        for job in &self.jobs {
            for index in 0..job.count {
                let task = id::Task::new(job.id.clone(), index);
                if scheduler.placements.contains_key(&task) || scheduler.over.contains(&task) {
                    continue;
                }
                let worker = up[self.rng.random_range(0..up.len())].clone();
                let attempt = scheduler.attempts.entry(task.clone()).or_default();
                // Each lead counts attempts from one, so two leads may give runs the same id.
                *attempt += 1;
                let run = id::Run {
                    task: task.clone(),
                    attempt: *attempt,
                };
                scheduler
                    .placements
                    .insert(task, (worker.clone(), run.attempt));
                starts.push((worker, job.spec(run)));
            }
        }
        for (worker, spec) in starts {
            self.feed(at, Input::Start { worker, spec });
        }
    }
}
