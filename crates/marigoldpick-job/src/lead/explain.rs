//! Explains where a job would go if it were accepted now, without accepting it.
//!
//! Load pattern: operators ask why jobs of a queue wait, or what a new kind of job would meet, while
//! the site works. The answer comes from the lead's state by the functions that decide. It changes
//! nothing, charges no rate or limit and sends nothing. Work that waits and goes before the job is
//! counted, but not placed: what it takes meanwhile is not known.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::explain::{
    Ahead, Candidate as Place, Outcome, Placement, Question, Reason, Step as Answer,
};
use marigoldpick_core::work::{self, Part, Step};

use super::Lead;
use super::advise::{Basis, spread_allowance};
use super::quota::is_held_back;
use super::room::Room;
use super::schedule::{Candidate, Choice};
use super::waiting::WaitingStep;
use crate::job::Job;
use crate::queue::Queue;
use crate::rank;
use crate::worker::Worker;

/// The id of the job while it is explained; callers' ids are hexadecimal.
const EXPLAINED_ID: &str = "explained";
/// The most waiting steps that are named as going before a step.
const MAX_NAMED: usize = 5;

/// `Plan` is where the tasks of a step would start.
#[derive(Debug, Default)]
struct Plan {
    /// The position of each task's worker.
    workers: Vec<usize>,
    /// The best and the next best worker for the first task, with their costs.
    first: Vec<(usize, u64)>,
    /// The number of candidates on other racks than the one to which a gang is kept.
    elsewhere: usize,
}

impl Lead {
    /// Explains what would happen to a job that is accepted now; `None` if its queue is unknown.
    ///
    /// `wall` is the Unix time in milliseconds at `now`.
    #[must_use]
    pub fn explain(&self, spec: Arc<work::Job>, wall: u64, now: Millis) -> Option<Placement> {
        let queue = self.queue(&spec.queue)?;
        let mut job = Job::new(id::Job::new(EXPLAINED_ID).ok()?, spec, wall, now);
        let team = job.spec.team.clone();
        job.excess = self.rates.would_be_excess(team.as_ref(), wall);
        rank::estimate(&mut job, queue);
        let waiting = self.ranked_steps(now);
        let mut own = Vec::new();
        if !self.unrecorded_runs(now).can_include(&job) {
            self.add_waiting_steps(&job, queue, now, &mut own);
        }
        own.sort_by_key(|step| step.rank);
        let (room, unusable) = self.survey(&queue.service, now);
        let mut planned: Vec<(usize, Amount)> = Vec::new();
        let mut oldest = None;
        let mut steps = Vec::new();
        for queued in &own {
            let step = &job.spec.steps[queued.part.step as usize];
            let mut candidates = self.candidates_of(&job, &queued.part, step, &room, now);
            let ages = candidates.iter().map(|candidate| {
                let worker = &self.workers[candidate.worker];
                report_age(worker, now).unwrap_or(Millis::MAX)
            });
            oldest = oldest.max(ages.max());
            for (worker, amount) in &planned {
                if let Ok(at) = candidates.binary_search_by_key(worker, |c| c.worker) {
                    candidates[at].planned.clone_from(amount);
                }
            }
            let mut answer = self.explain_step(&job, queue, queued, &room, &candidates, now);
            add_counts(&mut answer.excluded, &unusable);
            let plan = self.plan(&job, &queued.part, &answer, candidates, now);
            for worker in &plan.workers {
                let at = planned
                    .binary_search_by_key(worker, |(have, _)| *have)
                    .unwrap_or_else(|at| {
                        planned.insert(at, (*worker, Amount::default()));
                        at
                    });
                planned[at].1.add(&job.claims[queued.part.step as usize]);
            }
            self.add_plan(&mut answer, &plan, now);
            self.add_line(&mut answer, &waiting, queued);
            steps.push(answer);
        }
        Some(Placement {
            excess: job.excess,
            objective: job.objective,
            waiting: waiting.len(),
            steps,
            term_age: now.since(self.term_start),
            pass_age: now.since(self.last_pass),
            report_age: oldest,
        })
    }

    /// Returns the room of a service, and the number of its other workers by the reason for which they take no work.
    ///
    /// Load pattern: the service has thousands of workers. Each is looked at once for all steps, and each step
    /// is compared only with the workers that take work.
    fn survey(&self, service: &Name, now: Millis) -> (Room, Vec<(Reason, usize)>) {
        let mut usable = Vec::new();
        let mut unusable = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            if worker.node.service != *service {
                continue;
            }
            match unusable_for(worker, now) {
                None => usable.push(at),
                Some(reason) => add_count(&mut unusable, reason, 1),
            }
        }
        (Room::uncounted(service.clone(), usable), unusable)
    }

    /// Returns the waiting steps of all jobs in the order of their ranks.
    fn ranked_steps(&self, now: Millis) -> Vec<WaitingStep> {
        let unrecorded = self.unrecorded_runs(now);
        let mut queued = Vec::new();
        for job in self.waiting.iter().filter_map(|id| self.job(id)) {
            let queue = self.queue(&job.spec.queue);
            if let Some(queue) = queue
                && !job.phase.is_over()
                && !unrecorded.can_include(job)
            {
                self.add_waiting_steps(job, queue, now, &mut queued);
            }
        }
        queued.sort_by_key(|step| step.rank);
        queued
    }

    /// Explains a step as far as it does not depend on where its tasks go.
    fn explain_step(
        &self,
        job: &Job,
        queue: &Queue,
        queued: &WaitingStep,
        room: &Room,
        candidates: &[Candidate],
        now: Millis,
    ) -> Answer {
        let part = &queued.part;
        let step = &job.spec.steps[part.step as usize];
        let held = is_held_back(queued, job.spec.team.as_ref(), step, &self.holds, now);
        let tasks = (0..step.count).filter(|index| self.may_start(&part.task(*index), now));
        let waiting = tasks.count();
        let admitted = if held {
            0
        } else {
            self.admitted_tasks(job, step, waiting)
        };
        let question = queue.policy.map(|policy| {
            let named = self.choose_workers(job, part, admitted, room, Basis::Free, now);
            Question {
                workers: named.len(),
                span: policy.span(named.len()),
            }
        });
        Answer {
            number: part.step,
            tasks: step.count,
            outcome: match (admitted, &question) {
                (0, _) => Outcome::Limit,
                (_, Some(question)) if question.workers > 0 => Outcome::Advice,
                _ => Outcome::Room,
            },
            behind: 0,
            before: Vec::new(),
            qualified: candidates.len(),
            excluded: self.count_excluded(job, queue, part, room, candidates),
            admitted: u32::try_from(admitted).unwrap_or(u32::MAX),
            worker: None,
            next: None,
            places: Vec::new(),
            question,
        }
    }

    /// Counts the workers that take work and are no candidates, by the first reason.
    fn count_excluded(
        &self,
        job: &Job,
        queue: &Queue,
        part: &Part,
        room: &Room,
        candidates: &[Candidate],
    ) -> Vec<(Reason, usize)> {
        let step = &job.spec.steps[part.step as usize];
        let claim = &job.claims[part.step as usize];
        let reason = |worker: &Worker| {
            if !worker.node.capacity.holds(claim) {
                Reason::Size
            } else if !worker.has_label_for(step) {
                Reason::Label
            } else if spread_allowance(step, worker, part) == 0 {
                Reason::Spread
            } else if !worker.free().holds(claim) || queue.policy.is_none() {
                Reason::Full
            } else {
                Reason::Advice
            }
        };
        let mut counts: Vec<(Reason, usize)> = Vec::new();
        // Both are sorted by position.
        let mut candidates = candidates.iter().peekable();
        for at in &room.workers {
            if candidates.next_if(|c| c.worker == *at).is_none() {
                add_count(&mut counts, reason(&self.workers[*at]), 1);
            }
        }
        counts
    }

    /// Returns where the admitted tasks of a step would start.
    fn plan(
        &self,
        job: &Job,
        part: &Part,
        answer: &Answer,
        candidates: Vec<Candidate>,
        now: Millis,
    ) -> Plan {
        let step = &job.spec.steps[part.step as usize];
        if !step.gang {
            return self.plan_each(job, part, answer.admitted, candidates, now);
        }
        if answer.admitted < step.count {
            return Plan::default();
        }
        for rack in self.racks(step, &candidates) {
            let on_rack =
                |c: &&Candidate| rack.is_none() || self.workers[c.worker].node.rack == rack;
            let usable: Vec<Candidate> = candidates.iter().filter(on_rack).cloned().collect();
            let elsewhere = candidates.len() - usable.len();
            let plan = self.plan_each(job, part, step.count, usable, now);
            if plan.workers.len() == step.count as usize {
                return Plan { elsewhere, ..plan };
            }
        }
        Plan::default()
    }

    /// Returns where the tasks of a step would start one by one, as far as there is room.
    ///
    /// The tasks of a new job are alike: none has failed or is under suspicion. A placement therefore changes how
    /// well only its own worker suits the next task, and the other choices stay as they are.
    fn plan_each(
        &self,
        job: &Job,
        part: &Part,
        tasks: u32,
        mut candidates: Vec<Candidate>,
        now: Millis,
    ) -> Plan {
        let step: &Step = &job.spec.steps[part.step as usize];
        let mut plan = Plan::default();
        let choices = self.choices(job, part, step, 0, &candidates, now);
        let mut choices: BinaryHeap<Reverse<Choice>> = choices.map(Reverse).collect();
        for index in 0..tasks {
            let Some(Reverse(best)) = choices.pop() else {
                break;
            };
            if index == 0 {
                let next = choices.peek().map(|Reverse(next)| next);
                let first = [Some(&best), next].into_iter().flatten();
                plan.first = first.map(|c| (candidates[c.at].worker, c.cost)).collect();
            }
            let candidate = &mut candidates[best.at];
            candidate.left -= 1;
            candidate.planned.add(&job.claims[part.step as usize]);
            plan.workers.push(candidate.worker);
            let changed = std::slice::from_ref(&candidates[best.at]);
            let changed = self.choices(job, part, step, index, changed, now);
            choices.extend(changed.map(|mut choice| {
                choice.at = best.at;
                Reverse(choice)
            }));
        }
        plan
    }

    /// Adds to the answer where the tasks would start.
    fn add_plan(&self, answer: &mut Answer, plan: &Plan, now: Millis) {
        let mut first = plan.first.iter().map(|(at, cost)| {
            let worker = &self.workers[*at];
            Place {
                worker: worker.node.id.clone(),
                cost_ms: *cost,
                report_age: report_age(worker, now),
            }
        });
        (answer.worker, answer.next) = (first.next(), first.next());
        let mut workers = plan.workers.clone();
        workers.sort_unstable();
        let places = workers.chunk_by(|a, b| a == b);
        answer.places = places
            .map(|same| (self.workers[same[0]].node.id.clone(), same.len() as u32))
            .collect();
        if plan.elsewhere > 0 {
            answer.qualified -= plan.elsewhere;
            add_count(&mut answer.excluded, Reason::Rack, plan.elsewhere);
        }
        answer.outcome = match plan.workers.len() as u32 {
            0 => answer.outcome,
            placed if placed == answer.tasks => Outcome::Starts,
            _ => Outcome::StartsInPart,
        };
    }

    /// Adds to the answer which waiting steps go before the step.
    ///
    /// Of equal ranks the earlier id goes first, and that of the job is not known.
    fn add_line(&self, answer: &mut Answer, waiting: &[WaitingStep], queued: &WaitingStep) {
        answer.behind = waiting.partition_point(|step| step.rank <= queued.rank);
        let before = waiting.iter().take(answer.behind.min(MAX_NAMED));
        answer.before = before
            .filter_map(|step| {
                let job = self.job(&step.part.job)?;
                Some(Ahead {
                    job: job.id.clone(),
                    queue: job.spec.queue.clone(),
                    team: job.spec.team.clone(),
                    claim: job.claims[step.part.step as usize].clone(),
                })
            })
            .collect();
    }
}

/// Returns why a worker takes no work of any step; `None` if it takes work.
fn unusable_for(worker: &Worker, now: Millis) -> Option<Reason> {
    if worker.can_take_work(now) {
        None
    } else if !worker.is_registered {
        Some(Reason::Unlisted)
    } else if worker.node.draining {
        Some(Reason::Draining)
    } else if worker.quarantined_until > now {
        Some(Reason::Slow)
    } else {
        Some(Reason::Silent)
    }
}

fn report_age(worker: &Worker, now: Millis) -> Option<Millis> {
    worker
        .lease
        .last_reading()
        .map(|arrived| now.since(arrived))
}

fn add_counts(counts: &mut Vec<(Reason, usize)>, more: &[(Reason, usize)]) {
    for (reason, count) in more {
        add_count(counts, *reason, *count);
    }
}

fn add_count(counts: &mut Vec<(Reason, usize)>, reason: Reason, more: usize) {
    match counts.binary_search_by_key(&reason, |(have, _)| *have) {
        Ok(at) => counts[at].1 += more,
        Err(at) => counts.insert(at, (reason, more)),
    }
}
