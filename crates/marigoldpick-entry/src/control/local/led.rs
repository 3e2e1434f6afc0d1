//! What exists only while this entry leads the shard: its scheduler and its list of endpoints.

use marigoldpick_core::config::{Accepted, Target};
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Outcome, Running};
use marigoldpick_core::{vm, worker};
use marigoldpick_place::event::{Event, Span};
use marigoldpick_place::scheduler::Scheduler;
use marigoldpick_shard::lead::Notice;
use marigoldpick_shard::{quota, record};

use super::Effect;
use super::run::Run;
use crate::control::endpoints::Table;
use crate::recorder::{Cause, Note};

/// `Led` is what exists only while this entry leads the shard.
#[derive(Debug)]
pub(super) struct Led {
    pub(super) scheduler: Scheduler,
    pub(super) table: Table,
    /// The jobs that the scheduler was told of, sorted.
    pub(super) fed: Vec<Fed>,
    pub(super) drained: Vec<id::Worker>,
    pub(super) settings_sequence: u64,
    pub(super) progress: Vec<record::Job>,
    /// When this entry began to lead.
    pub(super) since: Millis,
}

/// `Fed` is a job that the scheduler was told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Fed {
    pub(super) job: id::Job,
    /// The configuration's entry that accepted it.
    pub(super) accepted: u64,
    pub(super) cancelled: bool,
}

/// `Recorded` is how a task's end stands in the shard's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recorded {
    Completed,
    Failed,
}

impl Led {
    pub(super) fn notice(&mut self, notice: Notice, run: &mut Run<'_>) {
        match notice {
            Notice::WorkerUp { worker, running } => {
                self.table.keep(&worker.id, &running);
                self.event(Event::WorkerUp { worker, running }, run);
                // A worker that is new to the scheduler has to be told again that it is drained.
                self.drained.clear();
                self.feed_drains(run);
            }
            Notice::WorkerReport { worker, changed } => self.report(&worker, &changed, run),
            Notice::WorkerSilent(worker) => self.event(Event::WorkerSilent { worker }, run),
            Notice::WorkerHeard(worker) => self.event(Event::WorkerHeard { worker }, run),
            Notice::WorkerLost { worker, runs } => {
                runs.iter().for_each(|ended| self.table.remove(ended));
                self.table.keep(&worker, &[]);
                self.event(Event::WorkerGone { worker }, run);
            }
            Notice::Started {
                run: started,
                worker,
            } => {
                let note = format!("attempt={} worker={worker}", started.attempt);
                let note = Note::new("shard", "task-started", &started.task, note);
                let cause = Cause::Started(started.task.clone());
                run.effects.push(Effect::Note(note.after(cause)));
                self.event(
                    Event::Started {
                        run: started,
                        worker,
                    },
                    run,
                );
            }
            Notice::Refused {
                run: refused,
                worker,
                code,
                refusal,
            } => {
                let recorded = self.recorded(&refused.task);
                let event = match (code, recorded) {
                    (Code::TaskMaybeStarted, _) | (Code::Duplicate, Some(Recorded::Failed)) => {
                        Event::MaybeStarted { run: refused }
                    }
                    (Code::Duplicate, Some(Recorded::Completed)) => Event::Finished {
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
                self.event(event, run);
            }
            Notice::Throttled {
                run: throttled,
                millicores,
            } => {
                self.event(
                    Event::Throttled {
                        run: throttled,
                        millicores,
                    },
                    run,
                );
            }
            Notice::MaybeStarted(started) => {
                self.event(Event::MaybeStarted { run: started }, run);
            }
            Notice::Finished { worker, finished } => {
                self.table.remove(&finished.run);
                let how = outcome(&finished.outcome);
                let note = format!("attempt={} worker={worker} {how}", finished.run.attempt);
                let note = Note::new("shard", "task-ended", &finished.run.task, note);
                let cause = Cause::Ended(finished.run.task.clone());
                run.effects.push(Effect::Note(note.after(cause)));
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
                self.event(event, run);
            }
            Notice::Progress(progress) => self.progress = progress,
            Notice::Leading { .. }
            | Notice::Deposed
            | Notice::WorkerChanged(_)
            | Notice::Silent(_)
            | Notice::Held(_) => {}
        }
    }

    /// Returns what the log had of a task when it was last read.
    ///
    /// A lead that took over without the store learns only later what was completed before it, by
    /// the refusal of a start of that task.
    fn recorded(&self, task: &id::Task) -> Option<Recorded> {
        let accepted = self.fed(&task.job)?.accepted;
        let progress = self.past(&task.job, accepted)?;
        if progress.completed.contains(task.index) {
            return Some(Recorded::Completed);
        }
        progress
            .failed
            .contains(task.index)
            .then_some(Recorded::Failed)
    }

    /// Returns what the log had of a job; its name may stand for one that ended before.
    fn past(&self, job: &id::Job, accepted: u64) -> Option<&record::Progress> {
        let at = self.progress.binary_search_by(|have| have.job.cmp(job));
        let progress = &self.progress[at.ok()?].progress;
        (progress.accepted == accepted).then_some(progress)
    }

    /// Returns a job that the scheduler was told of.
    pub(super) fn fed(&self, job: &id::Job) -> Option<&Fed> {
        let at = self.fed.binary_search_by(|fed| fed.job.cmp(job)).ok()?;
        Some(&self.fed[at])
    }

    fn report(&mut self, worker: &id::Worker, changed: &[Running], run: &mut Run<'_>) {
        for running in changed {
            self.table.put(worker, running);
            if let Some(amount) = &running.usage {
                let usage = Event::Usage {
                    run: running.spec.run.clone(),
                    amount: amount.clone(),
                };
                self.event(usage, run);
            }
        }
    }

    fn event(&mut self, event: Event, run: &mut Run<'_>) {
        run.event(&mut self.scheduler, event);
    }

    pub(super) fn feed_settings(&mut self, shard: &id::Shard, run: &mut Run<'_>) {
        let state = run.cx.state;
        if self.settings_sequence != state.settings_sequence {
            self.settings_sequence = state.settings_sequence;
            self.event(Event::Objective(state.objective), run);
            for team in &state.teams {
                self.event(Event::Team(team.clone()), run);
            }
        }
        for allotment in quota::allotments(state, shard) {
            let quota::Allotment { team, amount } = allotment;
            self.event(Event::Allotment { team, amount }, run);
        }
    }

    pub(super) fn feed_drains(&mut self, run: &mut Run<'_>) {
        let state = run.cx.state;
        let leaves = |vm: &&vm::Worker| {
            vm.state != vm::State::Live
                || state.drains(&Target::Worker(vm.id.clone()))
                || state.drains(&Target::Rack(vm.rack.clone()))
                || state.drains(&Target::Domain(vm.domain.clone()))
        };
        let drained: Vec<id::Worker> = run
            .cx
            .vms
            .iter()
            .filter(leaves)
            .map(|vm| vm.id.clone())
            .collect();
        let before = std::mem::replace(&mut self.drained, drained);
        for worker in before
            .iter()
            .filter(|worker| self.drained.binary_search(worker).is_err())
        {
            let event = Event::WorkerDrain {
                worker: worker.clone(),
                on: false,
            };
            run.event(&mut self.scheduler, event);
        }
        for worker in self
            .drained
            .iter()
            .filter(|worker| before.binary_search(worker).is_err())
        {
            let event = Event::WorkerDrain {
                worker: worker.clone(),
                on: true,
            };
            run.event(&mut self.scheduler, event);
        }
    }

    pub(super) fn feed_jobs(&mut self, shard: &id::Shard, run: &mut Run<'_>) {
        let first = self.fed.is_empty();
        let state = run.cx.state;
        let mut fed = Vec::with_capacity(state.jobs.len());
        let mut cancelled = Vec::new();
        for accepted in &state.jobs {
            let Some(home) = accepted.homes.iter().find(|home| home.shard == *shard) else {
                continue;
            };
            let name = &accepted.job.name;
            let known = self
                .fed(name)
                .filter(|fed| fed.accepted == accepted.sequence);
            let stopped = known.is_some_and(|fed| fed.cancelled);
            if known.is_none() {
                let span = Span {
                    from: home.from,
                    to: home.to,
                };
                let event = self.job_event(accepted, span, !first);
                self.event(event, run);
            }
            if accepted.cancelled && !stopped {
                cancelled.push(name.clone());
            }
            fed.push(Fed {
                job: name.clone(),
                accepted: accepted.sequence,
                cancelled: accepted.cancelled,
            });
        }
        self.fed = fed;
        if !cancelled.is_empty() {
            self.event(Event::Cancel { jobs: cancelled }, run);
        }
    }

    fn job_event(&self, accepted: &Accepted, span: Span, fresh: bool) -> Event {
        let name = &accepted.job.name;
        let past = self.past(name, accepted.sequence);
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

const fn outcome(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::Stopped => "stopped",
        Outcome::Checkpointed(_) => "checkpointed",
        Outcome::Lapsed => "lapsed",
    }
}
