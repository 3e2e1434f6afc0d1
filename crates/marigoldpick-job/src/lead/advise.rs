//! Questions to the adviser: which, when and about which workers.
//!
//! Load pattern: the adviser answers one question at a time for each entry, and a question of a slow
//! queue takes as long as a short task. So few workers are named, those that have room, and a later
//! question renews the tickets of good workers alone.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Advice, Refusal};
use marigoldpick_core::work::{Part, Step, Task};

use super::Lead;
use super::headroom::Headroom;
use super::waiting::WaitingStep;
use crate::action::Action;
use crate::askers::Availability;
use crate::job::Stage;
use crate::question::{self, Share};
use crate::rank::Precedence;
use crate::worker::Worker;

/// `Basis` is what the room for a question's tasks is counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Basis {
    /// What is free now.
    Free,
    /// What there is once a worker is empty.
    Capacity,
}

/// The room of good workers that a question looks for, against what the tasks take, in percent.
const SPARE_PERCENT: u64 = 150;
/// The good workers that are enough for a task that waits for room on one of them.
const GOOD_WORKERS_PER_TASK: usize = 2;
/// The wait after a question that brought no answer.
const REFUSED_RETRY: Millis = Millis(100);
/// The wait after a question when no worker has room.
const FULL_RETRY: Millis = Millis(60);
/// The time beyond the adviser's own that an answer may take.
const ANSWER_SLACK: Millis = Millis(1_500);

impl Lead {
    /// Asks for tickets for `missing` tasks of a step, if that helps.
    pub(super) fn ask(
        &mut self,
        queued: &WaitingStep,
        missing: usize,
        headroom: &Headroom,
        basis: Basis,
        availability: &mut Availability,
        now: Millis,
    ) {
        let (part, precedence) = (&queued.part, queued.rank.precedence);
        let Some(at) = self.job_index(&part.job) else {
            return;
        };
        let Some(queue) = self.queue(&self.jobs[at].spec.queue) else {
            return;
        };
        let Some(policy) = queue.policy else { return };
        let Some(stage) = self.jobs[at].stage(part.occurrence, part.step) else {
            return;
        };
        if stage.tickets.pending || now < stage.tickets.retry_at {
            return;
        }
        // Work behind must not take an asker while work in front waits for one.
        if !availability.can_ask(&self.askers, policy.span(1), precedence, now) {
            return;
        }
        self.count.looks += headroom.workers.len() as u64;
        let mut workers = self.choose_workers(at, part, missing, headroom, basis, now);
        if workers.is_empty() {
            self.delay_question(at, part, now + FULL_RETRY);
            return;
        }
        workers.sort();
        let span = policy.span(workers.len());
        let Some(asker) = self.askers.assign(span, precedence, now) else {
            return;
        };
        if let Some(stage) = self.jobs[at].stage_mut(part.occurrence, part.step) {
            stage.tickets.pending = true;
            if precedence == Precedence::Normal {
                // More room is awaited before the rest is asked about.
                stage.tickets.retry_at = now + span + FULL_RETRY;
            }
        }
        self.count.questions += 1;
        let detail = format!("asker={asker} workers={} span={span}", workers.len());
        self.log("advice-asked", part.to_string(), detail);
        self.actions.push(Action::Ask {
            asker,
            part: part.clone(),
            workers,
            limit: span + ANSWER_SLACK,
        });
    }

    fn delay_question(&mut self, at: usize, part: &Part, when: Millis) {
        if let Some(stage) = self.jobs[at].stage_mut(part.occurrence, part.step) {
            stage.tickets.retry_at = when;
        }
    }

    /// Chooses the workers to ask about: those known to be good that have room, then unknown ones.
    fn choose_workers(
        &self,
        at: usize,
        part: &Part,
        missing: usize,
        headroom: &Headroom,
        basis: Basis,
        now: Millis,
    ) -> Vec<id::Worker> {
        let job = &self.jobs[at];
        let (Some(step), Some(stage), Some(policy)) = (
            job.step(part),
            job.stage(part.occurrence, part.step),
            self.queue(&job.spec.queue).and_then(|queue| queue.policy),
        ) else {
            return Vec::new();
        };
        let claim = &job.claims[part.step as usize];
        let mut good: Vec<(u64, &id::Worker)> = Vec::new();
        let mut unknown: Vec<(u64, u64, &id::Worker)> = Vec::new();
        let mut good_capacity = 0;
        let first = part.task(0);
        let end = now + step.estimate;
        let admitted = headroom
            .workers
            .iter()
            .filter(|at| headroom.can_start(**at, end));
        for worker in admitted.map(|at| &self.workers[*at]) {
            let there = match basis {
                Basis::Free => worker.free(),
                Basis::Capacity => &worker.node.capacity,
            };
            let fitting = count_fitting(there, claim);
            if fitting == 0 || !worker.has_label_for(step) {
                continue;
            }
            let fitting = fitting.min(spread_allowance(step, worker, &first));
            if fitting == 0 {
                continue;
            }
            match stage.tickets.find(&worker.node.id) {
                Some(verdict) if verdict.ticket.is_some() => {
                    good_capacity += fitting;
                    if now >= verdict.expires {
                        good.push((fitting, &worker.node.id));
                    }
                }
                Some(_) => {}
                None => {
                    let slowdown = self.slowdown_permille(worker);
                    unknown.push((slowdown, fitting, &worker.node.id));
                }
            }
        }
        let mut asked: Vec<id::Worker> = good.iter().map(|(_, id)| (*id).clone()).collect();
        if good_capacity >= missing as u64 {
            return asked;
        }
        // Some of the room is taken by the time of the answer.
        let wanted = (missing as u64 * SPARE_PERCENT).div_ceil(100);
        unknown.sort_by_key(|(slowdown, fitting, _)| (*slowdown, u64::MAX - fitting));
        let left = wanted - good_capacity;
        let mut found = 0;
        let enough = unknown.iter().position(|(_, fitting, _)| {
            found += fitting;
            found >= left
        });
        // The workers that would do if all were good.
        let needed = enough.map_or(unknown.len(), |last| last + 1);
        let most = unknown
            .len()
            .min(self.settings.advice_most.saturating_sub(asked.len()));
        let share = self.share(&job.spec.queue);
        let count = question::worker_count(&policy, share, needed, most);
        asked.extend(unknown.iter().take(count).map(|(_, _, id)| (*id).clone()));
        // Good workers without room now will have some; with many of them there is no need for more.
        let has_few =
            stage.tickets.workers_with_ticket(now).count() < GOOD_WORKERS_PER_TASK * missing;
        if has_few && count == unknown.len() && share.value() * (count as f64) < needed as f64 {
            let most = question::extra_worker_limit(&policy)
                .min(self.settings.advice_most.saturating_sub(asked.len()));
            asked.extend(self.choose_busy_workers(headroom, step, stage, claim, most, now));
        }
        asked
    }

    /// Returns workers without room that nothing is known of, those that will have room first.
    ///
    /// Load pattern: a question costs far more than a name in it, and few workers have room. Which
    /// workers are good does not change, so that what is learnt now spares a question later.
    fn choose_busy_workers(
        &self,
        headroom: &Headroom,
        step: &Step,
        stage: &Stage,
        claim: &Amount,
        most: usize,
        now: Millis,
    ) -> Vec<id::Worker> {
        let later = |worker: &&Worker| {
            count_fitting(worker.free(), claim) == 0
                && count_fitting(&worker.node.capacity, claim) > 0
                && worker.has_label_for(step)
                && stage.tickets.find(&worker.node.id).is_none()
        };
        let workers = headroom.workers.iter().map(|at| &self.workers[*at]);
        let mut later: Vec<&Worker> = workers.filter(later).collect();
        later.sort_by_key(|worker| worker.expected_idle(now));
        let first = later.into_iter().take(most);
        first.map(|worker| worker.node.id.clone()).collect()
    }

    /// Takes in the adviser's answer to a question that was asked through `asker`.
    pub fn advised(
        &mut self,
        asker: &id::Entry,
        part: &Part,
        asked: &[id::Worker],
        answer: Result<Advice, Refusal>,
        now: Millis,
    ) {
        self.askers
            .complete(asker, answer != Err(Refusal::Away), now);
        let margin = self.settings.ticket_margin;
        self.needs_pass = true;
        let Some(at) = self.job_index(&part.job) else {
            return;
        };
        let detail = match &answer {
            Ok(advice) => format!(
                "asker={asker} good={} asked={}",
                advice.good.len(),
                asked.len()
            ),
            Err(refusal) => format!("asker={asker} refused={refusal}"),
        };
        self.log("advice-answered", part.to_string(), detail);
        if let Ok(advice) = &answer {
            self.record_share(at, part, asked, advice);
        }
        let Some(stage) = self.jobs[at].stage_mut(part.occurrence, part.step) else {
            return;
        };
        match answer {
            Ok(advice) => {
                let expires = now + (advice.valid - margin);
                stage.tickets.record_answer(asked, advice, expires);
            }
            Err(_) => {
                stage.tickets.pending = false;
                stage.tickets.retry_at = now + REFUSED_RETRY;
            }
        }
    }

    /// Returns the share of good workers in the answers for a queue.
    pub(super) fn share(&self, queue: &Name) -> Share {
        let at = self.shares.binary_search_by(|(have, _)| have.cmp(queue));
        at.map_or_else(|_| Share::default(), |at| self.shares[at].1)
    }

    /// Learns from an answer how many of the workers that were not known before are good.
    fn record_share(&mut self, at: usize, part: &Part, asked: &[id::Worker], advice: &Advice) {
        let job = &self.jobs[at];
        let Some(stage) = job.stage(part.occurrence, part.step) else {
            return;
        };
        let is_new = |worker: &id::Worker| stage.tickets.find(worker).is_none();
        let newly_asked = asked.iter().filter(|worker| is_new(worker)).count();
        let good = advice
            .good
            .iter()
            .filter(|good| is_new(&good.worker))
            .count();
        let queue = job.spec.queue.clone();
        let at = self
            .shares
            .binary_search_by(|(have, _)| have.cmp(&queue))
            .unwrap_or_else(|at| {
                self.shares.insert(at, (queue, Share::default()));
                at
            });
        self.shares[at].1.record(newly_asked as u64, good as u64);
    }
}

/// Returns how many more tasks of a step a worker may run.
pub(super) fn spread_allowance(step: &Step, worker: &Worker, task: &Task) -> u64 {
    step.spread.map_or(u64::MAX, |most| {
        u64::from(most.saturating_sub(worker.count_of_step(task)))
    })
}

/// Returns how many claims fit into what is free.
pub(super) fn count_fitting(free: &Amount, claim: &Amount) -> u64 {
    let share = |free: u64, claim: u64| free.checked_div(claim).unwrap_or(u64::MAX);
    let mut count =
        share(free.millicores, claim.millicores).min(share(free.memory_mib, claim.memory_mib));
    for accelerators in &claim.accelerators {
        let have = u64::from(free.accelerators_of(&accelerators.kind));
        count = count.min(share(have, u64::from(accelerators.count)));
    }
    count
}
