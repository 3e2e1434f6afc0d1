//! The state that exists only while this entry leads a shard: its scheduler and its endpoints.

use marigoldpick_core::config::{Accepted, Target};
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Outcome, Running};
use marigoldpick_core::{vm, worker};
use marigoldpick_place::event::{Event, Span};
use marigoldpick_place::scheduler::Scheduler;
use marigoldpick_shard::lead::Notice;
use marigoldpick_shard::{quota, record};

use super::Effect;
use super::transition::Transition;
use crate::control::endpoints::Table;
use crate::recorder::{Cause, Note};

/// `Leadership` is the state that exists only while this entry leads the shard.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) scheduler: Scheduler,
    pub(super) table: Table,
    /// The jobs that the scheduler knows, sorted.
    pub(super) known_jobs: Vec<KnownJob>,
    /// The workers that the scheduler knows as drained, sorted.
    pub(super) drained_workers: Vec<id::Worker>,
    /// The `settings_sequence` of the configuration from which the scheduler has its settings;
    /// `u64::MAX` before it has any.
    pub(super) settings_sequence: u64,
    /// The progress of each job in the shard's log when that was last read, sorted by job.
    pub(super) progress: Vec<record::Job>,
    /// The time at which this entry began to lead.
    pub(super) led_since: Millis,
}

/// `KnownJob` is a job that the scheduler knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KnownJob {
    pub(super) job: id::Job,
    /// The number of the configuration entry that accepted it.
    pub(super) accepted: u64,
    pub(super) cancelled: bool,
}

/// `LoggedEnd` is the end of a task according to the shard's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoggedEnd {
    Completed,
    Failed,
}

impl Leadership {
    pub(super) fn handle_notice(&mut self, notice: Notice, transition: &mut Transition<'_>) {
        match notice {
            Notice::WorkerUp { worker, running } => {
                self.table.reconcile(&worker.id, &running);
                self.send_event(Event::WorkerUp { worker, running }, transition);
                // The scheduler does not know whether a new worker is drained, so all drains are sent
                // again.
                self.drained_workers.clear();
                self.update_drains(transition);
            }
            Notice::WorkerReport { worker, changed } => {
                self.handle_report(&worker, &changed, transition)
            }
            Notice::WorkerSilent(worker) => {
                self.send_event(Event::WorkerSilent { worker }, transition)
            }
            Notice::WorkerHeard(worker) => {
                self.send_event(Event::WorkerHeard { worker }, transition)
            }
            Notice::WorkerLost { worker, runs } => {
                runs.iter().for_each(|ended| self.table.remove(ended));
                self.table.reconcile(&worker, &[]);
                self.send_event(Event::WorkerGone { worker }, transition);
            }
            Notice::Started {
                run: started,
                worker,
            } => {
                let note = format!("attempt={} worker={worker}", started.attempt);
                let note = Note::new("shard", "task-started", &started.task, note);
                let cause = Cause::Started(started.task.clone());
                transition.effects.push(Effect::Note(note.after(cause)));
                self.send_event(
                    Event::Started {
                        run: started,
                        worker,
                    },
                    transition,
                );
            }
            Notice::Refused {
                run: refused,
                worker,
                code,
                refusal,
            } => {
                let recorded = self.logged_end(&refused.task);
                let event = match (code, recorded) {
                    (Code::TaskMaybeStarted, _) | (Code::Duplicate, Some(LoggedEnd::Failed)) => {
                        Event::MaybeStarted { run: refused }
                    }
                    (Code::Duplicate, Some(LoggedEnd::Completed)) => Event::Finished {
                        run: refused,
                        worker,
                        outcome: Outcome::Done,
                        age: Millis::ZERO,
                        usage: None,
                    },
                    _ => Event::Refused {
                        run: refused,
                        worker,
                        refusal,
                    },
                };
                self.send_event(event, transition);
            }
            Notice::Throttled {
                run: throttled,
                millicores,
            } => {
                self.send_event(
                    Event::Throttled {
                        run: throttled,
                        millicores,
                    },
                    transition,
                );
            }
            Notice::MaybeStarted(started) => {
                self.send_event(Event::MaybeStarted { run: started }, transition);
            }
            Notice::Finished { worker, finished } => {
                self.table.remove(&finished.run);
                let word = outcome_word(&finished.outcome);
                let note = format!("attempt={} worker={worker} {word}", finished.run.attempt);
                let note = Note::new("shard", "task-ended", &finished.run.task, note);
                let cause = Cause::Ended(finished.run.task.clone());
                transition.effects.push(Effect::Note(note.after(cause)));
                let worker::Finished {
                    run: ended,
                    outcome,
                    age,
                    usage,
                    ..
                } = finished;
                let event = Event::Finished {
                    run: ended,
                    worker,
                    outcome,
                    age,
                    usage,
                };
                self.send_event(event, transition);
            }
            Notice::Progress(progress) => self.progress = progress,
            Notice::Leading { .. }
            | Notice::Deposed
            | Notice::WorkerChanged(_)
            | Notice::LeadSilent(_)
            | Notice::StartsHeld(_) => {}
        }
    }

    /// Returns how a task ended according to the log when it was last read.
    ///
    /// A lead that took over without the store does not know which tasks were completed earlier. It
    /// may start such a task, and learns of its end when the start is refused.
    fn logged_end(&self, task: &id::Task) -> Option<LoggedEnd> {
        let accepted = self.known_job(&task.job)?.accepted;
        let progress = self.logged_progress(&task.job, accepted)?;
        if progress.completed.contains(task.index) {
            return Some(LoggedEnd::Completed);
        }
        progress
            .failed
            .contains(task.index)
            .then_some(LoggedEnd::Failed)
    }

    /// Returns a job's progress in the log, unless that is of an ended job with the same name.
    fn logged_progress(&self, job: &id::Job, accepted: u64) -> Option<&record::Progress> {
        let at = self.progress.binary_search_by(|have| have.job.cmp(job));
        let progress = &self.progress[at.ok()?].progress;
        (progress.accepted == accepted).then_some(progress)
    }

    /// Returns a job that the scheduler knows.
    pub(super) fn known_job(&self, job: &id::Job) -> Option<&KnownJob> {
        let at = self
            .known_jobs
            .binary_search_by(|known| known.job.cmp(job))
            .ok()?;
        Some(&self.known_jobs[at])
    }

    /// Updates the endpoints of a worker's changed runs, and reports their usage to the scheduler.
    fn handle_report(
        &mut self,
        worker: &id::Worker,
        changed: &[Running],
        transition: &mut Transition<'_>,
    ) {
        for running in changed {
            self.table.upsert(worker, running);
            if let Some(amount) = &running.usage {
                let usage = Event::Usage {
                    run: running.spec.run.clone(),
                    amount: amount.clone(),
                };
                self.send_event(usage, transition);
            }
        }
    }

    fn send_event(&mut self, event: Event, transition: &mut Transition<'_>) {
        transition.send_event(&mut self.scheduler, event);
    }

    /// Sends the scheduler new settings of the objective and the teams, and the teams' allotments.
    pub(super) fn update_settings(&mut self, shard: &id::Shard, transition: &mut Transition<'_>) {
        let state = transition.cx.state;
        if self.settings_sequence != state.settings_sequence {
            self.settings_sequence = state.settings_sequence;
            self.send_event(Event::Objective(state.objective), transition);
            for team in &state.teams {
                self.send_event(Event::Team(team.clone()), transition);
            }
        }
        for allotment in quota::allotments(state, shard) {
            let quota::Allotment { team, amount } = allotment;
            self.send_event(Event::Allotment { team, amount }, transition);
        }
    }

    /// Sends the scheduler each worker whose drain has started or ended.
    ///
    /// A worker is drained when a drain covers it, or when the VM list shows it in another state than
    /// live.
    pub(super) fn update_drains(&mut self, transition: &mut Transition<'_>) {
        let state = transition.cx.state;
        let leaves = |vm: &&vm::Worker| {
            vm.state != vm::State::Live
                || state.is_draining(&Target::Worker(vm.id.clone()))
                || state.is_draining(&Target::Rack(vm.rack.clone()))
                || state.is_draining(&Target::Domain(vm.domain.clone()))
        };
        let drained: Vec<id::Worker> = transition
            .cx
            .vms
            .iter()
            .filter(leaves)
            .map(|vm| vm.id.clone())
            .collect();
        let before = std::mem::replace(&mut self.drained_workers, drained);
        for worker in before
            .iter()
            .filter(|worker| self.drained_workers.binary_search(worker).is_err())
        {
            let event = Event::WorkerDrain {
                worker: worker.clone(),
                on: false,
            };
            transition.send_event(&mut self.scheduler, event);
        }
        for worker in self
            .drained_workers
            .iter()
            .filter(|worker| before.binary_search(worker).is_err())
        {
            let event = Event::WorkerDrain {
                worker: worker.clone(),
                on: true,
            };
            transition.send_event(&mut self.scheduler, event);
        }
    }

    /// Sends the scheduler the jobs that are new to it and those that have been cancelled.
    pub(super) fn update_jobs(&mut self, shard: &id::Shard, transition: &mut Transition<'_>) {
        // The tasks of the jobs in the first update may already run, started by an earlier lead.
        let first = self.known_jobs.is_empty();
        let state = transition.cx.state;
        let mut known_jobs = Vec::with_capacity(state.jobs.len());
        let mut cancelled = Vec::new();
        for accepted in &state.jobs {
            let Some(home) = accepted.homes.iter().find(|home| home.shard == *shard) else {
                continue;
            };
            let name = &accepted.job.name;
            let known = self
                .known_job(name)
                .filter(|known| known.accepted == accepted.sequence);
            let stopped = known.is_some_and(|known| known.cancelled);
            if known.is_none() {
                let span = Span {
                    from: home.from,
                    to: home.to,
                };
                let event = self.job_event(accepted, span, !first);
                self.send_event(event, transition);
            }
            if accepted.cancelled && !stopped {
                cancelled.push(name.clone());
            }
            known_jobs.push(KnownJob {
                job: name.clone(),
                accepted: accepted.sequence,
                cancelled: accepted.cancelled,
            });
        }
        self.known_jobs = known_jobs;
        if !cancelled.is_empty() {
            self.send_event(Event::Cancel { jobs: cancelled }, transition);
        }
    }

    fn job_event(&self, accepted: &Accepted, span: Span, fresh: bool) -> Event {
        let name = &accepted.job.name;
        let past = self.logged_progress(name, accepted.sequence);
        let progress = past.cloned().unwrap_or_default();
        Event::Job {
            job: Box::new(accepted.job.clone()),
            span,
            displaced: accepted.displaced.clone(),
            done: spans(&progress.completed),
            failed: spans(&progress.failed),
            fresh,
        }
    }
}

fn spans(ranges: &record::Ranges) -> Vec<Span> {
    ranges
        .0
        .iter()
        .map(|&(from, to)| Span { from, to })
        .collect()
}

/// Returns the word for an outcome in the `task-ended` event.
const fn outcome_word(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::Stopped => "stopped",
        Outcome::Checkpointed(_) => "checkpointed",
        Outcome::Lapsed => "lapsed",
    }
}
