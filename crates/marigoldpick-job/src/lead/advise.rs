//! Questions to the adviser: when to ask, and about which workers.
//!
//! Load pattern: the adviser answers one question at a time for each entry, and a question for a
//! slow queue takes as long as a short task. A question therefore names few workers, those with
//! capacity, and a later question renews only the tickets of good workers.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Advice, Refusal};
use marigoldpick_core::work::{Part, Step};

use super::Lead;
use super::forecast::Request;
use super::room::Room;
use super::waiting::WaitingStep;
use crate::action::Action;
use crate::askers::Availability;
use crate::job::{Job, Stage};
use crate::question::{self, Share};
use crate::rank::Precedence;
use crate::worker::Worker;

/// `Basis` is the capacity against which a question's tasks are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Basis {
    /// The free capacity.
    Free,
    /// The capacity beside lasting tasks, for tasks that wait for an empty worker.
    Capacity,
}

/// The capacity on good workers that a question aims for, in percent of the missing tasks' claims.
const WANTED_CAPACITY_PERCENT: u64 = 150;
/// The known good workers per missing task that make asking about busy workers unnecessary.
const GOOD_WORKERS_PER_TASK: usize = 2;
/// The backoff after a question that was refused or got no answer.
const REFUSED_RETRY: Millis = Millis(100);
/// The backoff after a question when no worker has capacity.
const FULL_RETRY: Millis = Millis(60);
/// The time allowed for an answer beyond the adviser's processing time.
const ANSWER_SLACK: Millis = Millis(1_500);

impl Lead {
    /// Asks the adviser for tickets for `missing` tasks of a step.
    ///
    /// Does nothing if the queue has no policy, while a question is in flight or due later, or when
    /// no asker or worker is available.
    pub(super) fn ask(
        &mut self,
        queued: &WaitingStep,
        missing: usize,
        room: &Room,
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
        // A step of lower rank must not take an asker while one of higher rank waits for it.
        if !availability.can_ask(&self.askers, policy.span(1), precedence, now) {
            return;
        }
        self.counters.looks += room.workers.len() as u64;
        let mut workers = self.choose_workers(&self.jobs[at], part, missing, room, basis, now);
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
                // The next question waits until more capacity may have become free.
                stage.tickets.retry_at = now + span + FULL_RETRY;
            }
        }
        self.counters.questions += 1;
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

    /// Chooses the workers to ask about.
    ///
    /// Known good workers with capacity and an expired ticket come first, then unknown ones with
    /// capacity, and then busy ones if too few good workers are known.
    pub(super) fn choose_workers(
        &self,
        job: &Job,
        part: &Part,
        missing: usize,
        room: &Room,
        basis: Basis,
        now: Millis,
    ) -> Vec<id::Worker> {
        let Some(queue) = self.queue(&job.spec.queue) else {
            return Vec::new();
        };
        let (Some(step), Some(stage), Some(policy), Some(request)) = (
            job.step(part),
            job.stage(part.occurrence, part.step),
            queue.policy,
            Request::new(job, queue, part),
        ) else {
            return Vec::new();
        };
        let claim = &job.claims[part.step as usize];
        let mut good: Vec<(u64, &id::Worker)> = Vec::new();
        let mut unknown: Vec<(u64, u64, &id::Worker)> = Vec::new();
        let mut good_capacity = 0_u64;
        let end = now + step.estimate;
        let admitted = room.workers.iter().filter(|at| room.can_start(**at, end));
        for worker in admitted.map(|at| &self.workers[*at]) {
            if !worker.has_label_for(step) {
                continue;
            }
            let fitting = match basis {
                Basis::Free => {
                    count_fitting(worker.free(), claim).min(spread_allowance(step, worker, part))
                }
                Basis::Capacity => request.tasks_at(worker, Millis::MAX, now),
            };
            if fitting == 0 {
                continue;
            }
            match stage.tickets.find(&worker.node.id) {
                Some(verdict) if verdict.ticket.is_some() => {
                    good_capacity = good_capacity.saturating_add(fitting);
                    let can_use = || {
                        basis == Basis::Free || request.tasks_at(worker, room.horizon(), now) > 0
                    };
                    if now >= verdict.expires && can_use() {
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
        // Part of the capacity will be taken by the time the answer arrives.
        let wanted = (missing as u64 * WANTED_CAPACITY_PERCENT).div_ceil(100);
        unknown.sort_by_key(|(slowdown, fitting, _)| (*slowdown, u64::MAX - fitting));
        let left = wanted - good_capacity;
        let mut found = 0_u64;
        let enough = unknown.iter().position(|(_, fitting, _)| {
            found = found.saturating_add(*fitting);
            found >= left
        });
        // The number of workers that would suffice if all were good.
        let needed = enough.map_or(unknown.len(), |last| last + 1);
        let most = unknown
            .len()
            .min(self.settings.advice_most.saturating_sub(asked.len()));
        let share = self.share(&job.spec.queue);
        let count = question::worker_count(&policy, share, needed, most);
        asked.extend(unknown.iter().take(count).map(|(_, _, id)| (*id).clone()));
        // Busy workers will have capacity later. With enough good workers known, no more are
        // needed.
        let has_few =
            stage.tickets.workers_with_ticket(now).count() < GOOD_WORKERS_PER_TASK * missing;
        if has_few && count == unknown.len() && share.value() * (count as f64) < needed as f64 {
            let most = question::extra_worker_limit(&policy)
                .min(self.settings.advice_most.saturating_sub(asked.len()));
            let has_room_later = |worker: &Worker| {
                count_fitting(worker.free(), claim) == 0
                    && worker.has_label_for(step)
                    && request.tasks_at(worker, Millis::MAX, now) > 0
            };
            asked.extend(self.choose_busy_workers(room, stage, has_room_later, most, now));
        }
        asked
    }

    /// Returns unknown workers that will have capacity later, in the order of their expected idle times.
    ///
    /// Load pattern: the fixed cost of a question far exceeds the cost of naming a worker, and few
    /// workers have capacity. Which workers are good does not change, so asking about busy workers
    /// now saves a question later.
    fn choose_busy_workers(
        &self,
        room: &Room,
        stage: &Stage,
        has_room_later: impl Fn(&Worker) -> bool,
        most: usize,
        now: Millis,
    ) -> Vec<id::Worker> {
        let later = |worker: &&Worker| {
            has_room_later(worker) && stage.tickets.find(&worker.node.id).is_none()
        };
        let workers = room.workers.iter().map(|at| &self.workers[*at]);
        let mut later: Vec<&Worker> = workers.filter(later).collect();
        later.sort_by_key(|worker| worker.expected_idle(now));
        let first = later.into_iter().take(most);
        first.map(|worker| worker.node.id.clone()).collect()
    }

    /// Handles the adviser's answer to a question sent through `asker`.
    pub fn handle_advice(
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
                stage.tickets.record_refusal(now + REFUSED_RETRY);
            }
        }
    }

    /// Invalidates the tickets for a worker that has restarted.
    pub(super) fn end_tickets(&mut self, worker: &id::Worker) {
        let jobs = self.jobs.iter_mut().filter(|job| !job.phase.is_over());
        let occurrences = jobs.flat_map(|job| &mut job.occurrences);
        for stage in occurrences.flat_map(|occurrence| &mut occurrence.stages) {
            stage.tickets.end_incarnation(worker);
        }
    }

    /// Returns the share of good workers in the answers for a queue.
    pub(super) fn share(&self, queue: &Name) -> Share {
        let at = self.shares.binary_search_by(|(have, _)| have.cmp(queue));
        at.map_or_else(|_| Share::default(), |at| self.shares[at].1)
    }

    /// Records the share of good workers among those that were unknown before the answer.
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

/// Returns how many more tasks the step's spread limit allows on a worker.
pub(super) fn spread_allowance(step: &Step, worker: &Worker, part: &Part) -> u64 {
    spread_left(step, || worker.count_of_step(part))
}

/// Returns how many more tasks the step's spread limit allows beside the runs that `count` returns.
pub(super) fn spread_left(step: &Step, count: impl FnOnce() -> u32) -> u64 {
    step.spread
        .map_or(u64::MAX, |most| u64::from(most.saturating_sub(count())))
}

/// Returns how many claims fit into an amount of capacity.
pub(super) fn count_fitting(capacity: &Amount, claim: &Amount) -> u64 {
    let share = |capacity: u64, claim: u64| capacity.checked_div(claim).unwrap_or(u64::MAX);
    let mut count = share(capacity.millicores, claim.millicores)
        .min(share(capacity.memory_mib, claim.memory_mib));
    for accelerators in &claim.accelerators {
        let have = u64::from(capacity.accelerators_of(&accelerators.kind));
        count = count.min(share(have, u64::from(accelerators.count)));
    }
    count
}
