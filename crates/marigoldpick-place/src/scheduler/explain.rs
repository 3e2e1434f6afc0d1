//! Provides explanations of the state of a task for operators.

use marigoldpick_core::intent::Class;
use marigoldpick_core::operator::Explain;
use marigoldpick_core::prelude::*;

use super::Scheduler;
use super::pick::{is_eligible, unschedulable_reason};
use crate::job::{Job, State, Task};
use crate::kind::Block;
use crate::run::Phase;
use crate::score::Policy;

impl<P: Policy> Scheduler<P> {
    /// Explains the state of a task.
    #[must_use]
    pub fn explain(&self, id: &id::Task, now: Millis) -> Explain {
        let mut explain = Explain {
            task: id.clone(),
            state: "never".to_owned(),
            worker: None,
            reasons: Vec::new(),
        };
        let job = self.jobs.slot(&id.job).map(|slot| self.jobs.get(slot));
        let Some((job, task)) = job.and_then(|job| Some((job, job.task(id.index)?))) else {
            explain
                .reasons
                .push("no such task has its home in this shard".to_owned());
            return explain;
        };
        match task.state {
            State::Waiting | State::Delayed => self.explain_waiting(job, task, now, &mut explain),
            State::Placed(run) => self.explain_placed(run, now, &mut explain),
            State::Done => "completed".clone_into(&mut explain.state),
            State::Cancelled => "cancelled".clone_into(&mut explain.state),
            State::Failed => {
                "failed".clone_into(&mut explain.state);
                let text = format!("failed {} times of {}", task.failures, job.spec.attempts);
                explain.reasons.push(text);
            }
        }
        explain
    }

    fn explain_placed(&self, slot: u32, now: Millis, explain: &mut Explain) {
        let run = self.runs.get(slot);
        let worker = self.fleet.get(run.worker);
        "running".clone_into(&mut explain.state);
        explain.worker = Some(worker.id.clone());
        let age = now.since(run.since);
        let text = match run.phase {
            Phase::Starting => format!("attempt {} was sent {age} ago", run.attempt),
            Phase::Running => format!("attempt {} runs for {age}", run.attempt),
            Phase::Stopping if run.displaced.is_some() => "it gives way to another task".to_owned(),
            Phase::Stopping => "it is being stopped".to_owned(),
            Phase::Missing(_) => "the worker no longer lists it; its end is awaited".to_owned(),
        };
        explain.reasons.push(text);
        if worker.state == crate::fleet::State::Silent {
            let text = "its worker does not answer; it is started nowhere else meanwhile";
            explain.reasons.push(text.to_owned());
        }
    }

    fn explain_waiting(&self, job: &Job, task: &Task, now: Millis, explain: &mut Explain) {
        let request = self.accelerators.to_size(&job.spec.needs);
        if let Some(reason) =
            unschedulable_reason(&self.fleet, &job.spec.needs, request, &job.spec.place)
        {
            explain.reasons.push(reason);
            return;
        }
        "waiting".clone_into(&mut explain.state);
        let waited = now.since(job.arrived);
        explain.reasons.push(format!("has waited for {waited}"));
        if task.state == State::Delayed {
            let text = format!("failed {} times of {}", task.failures, job.spec.attempts);
            explain
                .reasons
                .push(text + "; it waits before the next attempt");
        }
        if !job.fresh && !self.unheard.is_empty() {
            let count = self.unheard.len();
            let text = format!("{count} workers that may run it already have not been heard");
            explain.reasons.push(text);
        }
        self.explain_kind(job, now, explain);
        if job.spec.class == Class::Gang {
            self.explain_gang(job, now, explain);
        }
    }

    fn explain_kind(&self, job: &Job, now: Millis, explain: &mut Explain) {
        let kind = self.kinds.get(job.kind);
        if kind.backoff_until > now {
            let wait = kind.backoff_until.since(now);
            let text = format!("its like fail on several workers; the next try is in {wait}");
            explain.reasons.push(text);
        }
        match kind.block {
            Some(Block::Room) => explain.reasons.push(self.lack_of_room(job)),
            Some(Block::Quota) => explain.reasons.push(self.lack_of_quota(job)),
            Some(Block::Paced) => {
                let text = "restarts of lost tasks are spread over time";
                explain.reasons.push(text.to_owned());
            }
            Some(Block::Accelerators) | None => {}
        }
    }

    fn lack_of_room(&self, job: &Job) -> String {
        let request = self.kinds.get(job.kind).request;
        let admitted = |worker: &&crate::fleet::Worker| {
            worker.is_usable() && is_eligible(&job.spec.place, &self.fleet, worker)
        };
        let workers = self.fleet.workers().iter().filter(admitted);
        let closest = workers.min_by_key(|worker| {
            let lack = request.minus(&worker.free());
            (lack.accelerator_count(), lack.memory, lack.millicores)
        });
        let needs = self.accelerators.to_amount(&request);
        match closest {
            None => format!("needs {needs}; no worker that it may use takes work now"),
            Some(worker) if worker.free().can_hold(&request) => format!(
                "needs {needs}; {} has room, but it is kept for urgent work or on trial",
                worker.id
            ),
            Some(worker) => {
                let free = self.accelerators.to_amount(&worker.free());
                format!("needs {needs}; the closest, {}, has {free} free", worker.id)
            }
        }
    }

    fn lack_of_quota(&self, job: &Job) -> String {
        let team = self.teams.get(job.team);
        let used = self.accelerators.to_amount(&team.used);
        let limit = team.limit().map(|limit| self.accelerators.to_amount(limit));
        let limit = limit.unwrap_or_default();
        format!("team {} holds {used} of {limit} in this shard", team.id)
    }

    fn explain_gang(&self, job: &Job, now: Millis, explain: &mut Explain) {
        let count = job.span.to - job.span.from;
        explain
            .reasons
            .push(format!("its {count} tasks start together"));
        if let Some(held) = self
            .reservation
            .as_ref()
            .filter(|r| r.waiter.order == job.order)
        {
            let wait = held.at.since(now);
            explain
                .reasons
                .push(format!("room is reserved and expected in {wait}"));
        } else if self.reservation.is_some() {
            let text = "another job holds the shard's one reservation";
            explain.reasons.push(text.to_owned());
        }
    }
}
