//! The scheduling pass, which places waiting steps in the order of their rank.

use std::borrow::Cow;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Part, Step};

use super::Lead;
use super::advise::{Basis, spread_allowance};
use super::crash::Exposure;
use super::quota::{Hold, is_held_back};
use super::reserve::has_accelerators;
use super::room::Room;
use super::waiting::WaitingStep;
use crate::askers::Availability;
use crate::job::{Job, Stage, Task};
use crate::place::{Demand, cost};
use crate::queue::Queue;
use crate::rank::{Precedence, rank};
use crate::worker::Worker;

/// Workers whose registrations expired in an outage of the store register again within this time of
/// the store's return, which the lead counts from the start of its term.
const REGISTRY_RECOVERY: Millis = Millis(2_500);
/// The time between two passes when nothing has changed.
const IDLE_PASS_INTERVAL: Millis = Millis(40);
/// The least time between two passes; under load, events arrive far more often than that.
const MIN_PASS_INTERVAL: Millis = Millis(8);

/// The time a pass needs per waiting step on an entry with half a core, in nanoseconds.
const STEP_COST_NS: u64 = 2_000;
/// The time a pass needs per worker examined on an entry with half a core, in nanoseconds.
const LOOK_COST_NS: u64 = 500;
/// The time a pass needs to compare the forecast of a worker with a claim on an entry with half a core, in nanoseconds.
const COMPARISON_COST_NS: u64 = 50;
/// Passes take at most this fraction of the time: one part in five.
const PASS_TIME_DIVISOR: u64 = 5;

/// The most comparisons of tasks with candidates for one step in a pass: 20 ms on an entry with half a core.
const MAX_STEP_LOOKS: usize = 40_000;

/// The number of starts that wait for their records or for earlier orders from which on only gangs are placed: four times
/// the orders in flight.
const MAX_PENDING_STARTS: usize = 2_048;

/// Returns how many tasks of a step are placed in one pass at most, if `pending` starts wait.
///
/// Load pattern: a step of 10,000 small tasks, which all fit. Other steps must not wait until all of them are placed.
fn placement_limit(step: &Step, candidates: usize, pending: usize) -> usize {
    if step.gang {
        return step.count as usize;
    }
    let looks = (MAX_STEP_LOOKS / candidates.max(1)).max(1);
    looks.min(MAX_PENDING_STARTS.saturating_sub(pending))
}

/// Returns the least time until the next pass, from the cost of the last one.
///
/// Load pattern: a backlog makes each pass longer. The interval grows with the cost of a pass, so
/// that the lead keeps the same share of time for starts, ends and leases, and works off the
/// backlog.
fn next_pass_interval(steps: usize, looks: u64, comparisons: u64) -> Millis {
    let taken =
        steps as u64 * STEP_COST_NS + looks * LOOK_COST_NS + comparisons * COMPARISON_COST_NS;
    MIN_PASS_INTERVAL.max(Millis(taken * PASS_TIME_DIVISOR / 1_000_000))
}

/// `Candidate` is a worker that can take tasks of a step.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) worker: usize,
    /// How many more tasks of the step may be placed there.
    pub(super) left: u64,
    /// What an explanation has planned there so far; zero in a pass.
    pub(super) planned: Amount,
}

impl Candidate {
    /// Returns the capacity of the worker that is free besides what is planned.
    pub(super) fn free<'a>(&self, worker: &'a Worker) -> Cow<'a, Amount> {
        if self.planned.is_zero() {
            return Cow::Borrowed(worker.free());
        }
        let mut free = worker.free().clone();
        free.subtract(&self.planned);
        Cow::Owned(free)
    }
}

/// `Waiting` is what a step waits for in a pass.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// The tasks that may start now.
    wanted: usize,
    /// Those of them that the quota of the team admits.
    admitted: usize,
    /// The tasks that run on workers which are about to be lost.
    at_risk: usize,
    /// The tasks that workers can take now, or are expected to before tickets expire.
    usable: usize,
    /// Whether the budget admits a question.
    can_ask: bool,
}

/// `Choice` says how well a candidate suits a task; the least is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Choice {
    failed_here: bool,
    exposure: Exposure,
    /// The cost of the worker for the task.
    pub(super) cost: u64,
    /// The position of the candidate.
    pub(super) at: usize,
}

impl Lead {
    /// Returns when the next pass is due.
    #[must_use]
    pub fn next_pass(&self) -> Millis {
        self.last_pass
            + if self.needs_pass {
                self.pass_interval
            } else {
                IDLE_PASS_INTERVAL.max(self.pass_interval)
            }
    }

    /// Places waiting work in the order of its rank and sets the time of the next pass.
    pub(super) fn run_pass(&mut self, now: Millis) {
        self.needs_pass = false;
        self.last_pass = now;
        self.counters.passes += 1;
        let looks = self.counters.looks;
        let mut queued = self.waiting_steps(now);
        let steps = queued.len();
        queued.sort_by_key(|queued| queued.rank);
        self.quotas.set_unheard(self.unheard(now));
        let holds = std::mem::take(&mut self.holds);
        let mut rooms = Room::of(&self.workers, now, |service| self.horizon(service, now));
        self.counters.looks += self.workers.len() as u64;
        let mut availability = Availability::default();
        self.holders.held_back = 0;
        for queued in queued {
            self.schedule_step(&queued, &holds, &mut rooms, &mut availability, now);
        }
        self.record_holders(&rooms, now);
        let looks = self.counters.looks - looks + Room::count_forecasts(&rooms);
        let comparisons = Room::count_comparisons(&rooms);
        self.pass_interval = next_pass_interval(steps, looks, comparisons);
    }

    /// Returns the waiting steps.
    ///
    /// Jobs for which nothing can wait until they change leave the list of waiting jobs.
    fn waiting_steps(&mut self, now: Millis) -> Vec<WaitingStep> {
        let unrecorded = self.unrecorded_runs(now);
        let mut queued = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|id| {
            let Some(at) = self.job_index(id) else {
                return false;
            };
            self.jobs[at].open_due(now);
            let job = &self.jobs[at];
            if job.phase.is_over() {
                return false;
            }
            let Some(queue) = self.queue(&job.spec.queue) else {
                return true;
            };
            let before = queued.len();
            if !unrecorded.can_include(job) {
                self.add_waiting_steps(job, queue, now, &mut queued);
            }
            let mut steps = job.spec.steps.iter();
            // A worker that becomes slow or unresponsive does not mark its jobs as waiting. Jobs
            // that react to this, those with copies or lasting tasks, therefore stay in the list.
            let is_watched = steps.any(|step| step.copies || step.lasting);
            let is_due_later = job.has_unopened() || job.occurrences.iter().any(|o| now < o.due);
            queued.len() > before || is_watched || is_due_later || unrecorded.can_include(job)
        });
        self.waiting = waiting;
        queued
    }

    /// Adds the waiting steps of a job.
    pub(super) fn add_waiting_steps(
        &self,
        job: &Job,
        queue: &Queue,
        now: Millis,
        queued: &mut Vec<WaitingStep>,
    ) {
        for occurrence in &job.occurrences {
            let number = occurrence.number;
            if now < occurrence.due || occurrence.is_done() {
                continue;
            }
            for (step, stage) in occurrence.stages.iter().enumerate() {
                let spec = &job.spec.steps[step];
                let wants = stage.has_unplaced()
                    || self.has_stragglers(job, occurrence, step as u32, now)
                    || (spec.copies && self.has_task_on_unresponsive_worker(stage))
                    || (spec.lasting && self.count_at_risk(stage, now) > 0);
                if !wants || !occurrence.is_ready(&job.spec, step) {
                    continue;
                }
                let order = self.settings.order;
                let rank = rank(order, job, step, occurrence, queue, now);
                let part = Part {
                    job: job.id.clone(),
                    occurrence: number,
                    step: step as u32,
                };
                queued.push(WaitingStep { rank, part });
            }
        }
    }

    /// Places the waiting tasks of a step and asks the adviser for the rest.
    ///
    /// If all of them are placed, copies of stragglers follow. For tasks with accelerators that
    /// do not fit, workers are reserved.
    fn schedule_step(
        &mut self,
        queued: &WaitingStep,
        holds: &[Hold],
        rooms: &mut [Room],
        availability: &mut Availability,
        now: Millis,
    ) {
        let part = &queued.part;
        let Some(at) = self.job_index(&part.job) else {
            return;
        };
        let job = &self.jobs[at];
        let (Some(step), Some(stage), Some(queue)) = (
            job.step(part),
            job.stage(part.occurrence, part.step),
            self.queue(&job.spec.queue),
        ) else {
            return;
        };
        if is_held_back(queued, job.spec.team.as_ref(), step, holds, now) {
            self.holders.held_back += 1;
            return;
        }
        let claim = job.claims[part.step as usize].clone();
        let Some(service) = Room::find(rooms, &queue.service) else {
            return;
        };
        let restarts = queued.rank.precedence == Precedence::Restart;
        let can_ask = restarts || rooms[service].can_ask(&claim, self.share(&queue.name));
        if !can_ask && queue.policy.is_some() {
            rooms[service].refuse_question();
        }
        let can_fit = rooms[service].can_fit(&claim);
        if !can_fit && !can_ask {
            return;
        }
        // Stops of earlier members must complete before a gang can start again.
        if step.gang
            && (stage.count_unplaced() < stage.count() || !self.may_start(&part.task(0), now))
        {
            return;
        }
        let wanted = self.count_wanted(part, step, stage, now);
        let admitted = self.admitted_tasks(job, step, wanted);
        let is_over_quota = admitted < wanted;
        // The adviser is asked in advance about lasting tasks on unresponsive, draining or departed
        // workers, so that they can start elsewhere as soon as their runs have ended.
        let at_risk = if step.lasting {
            self.count_at_risk(stage, now)
        } else {
            0
        };
        let step = step.clone();
        self.note_quota(queued, &step, is_over_quota, holds, &rooms[service], now);
        if is_over_quota && admitted + at_risk == 0 {
            return;
        }
        // Copies and evacuations need a worker although no task waits.
        let most = (admitted + at_risk).max(1);
        let waiting = Waiting {
            wanted,
            admitted,
            at_risk,
            usable: self.count_usable(part, &mut rooms[service], most, now),
            can_ask,
        };
        let can_use = if step.gang {
            waiting.usable >= admitted
        } else {
            waiting.usable > 0
        };
        let room = &mut rooms[service];
        if can_fit && can_use {
            self.place_step(queued, &step, waiting, room, availability, now);
            return;
        }
        if admitted > 0 && has_accelerators(&step) {
            self.reserve(queued, &step, admitted, room, availability, now);
        }
        if can_use {
            self.charge_questions(room, part, admitted, now);
        }
    }

    /// Places tasks of a step for which some worker may have room, and asks the adviser for the rest.
    fn place_step(
        &mut self,
        queued: &WaitingStep,
        step: &Step,
        waiting: Waiting,
        room: &mut Room,
        availability: &mut Availability,
        now: Millis,
    ) {
        let part = &queued.part;
        let mut candidates = self.candidates(part, step, room, now);
        let pending = self.pending_starts.len();
        let limit = placement_limit(step, candidates.len(), pending).min(waiting.admitted);
        let tasks = self.waiting_tasks(part, step, limit.min(waiting.usable), now);
        let placed = if step.gang {
            self.place_gang(part, step, &tasks, &candidates, now)
        } else {
            self.place_each(part, step, &tasks, &mut candidates, now)
        };
        let compared = tasks.len().min(placed + 1);
        self.counters.looks += (candidates.len() * compared) as u64;
        let mut copies = 0;
        if placed == waiting.wanted {
            copies = self.place_copies(part, step, &mut candidates, now);
            self.evacuate(part, step, &mut candidates, now);
        }
        if placed + copies > 0 {
            room.update_max_free(&self.workers);
        }
        if placed == limit && limit < waiting.admitted {
            // The next pass goes on with the step.
            return;
        }
        let left = waiting.admitted - placed;
        let missing = left + waiting.at_risk;
        if missing > 0 && waiting.can_ask && self.charge_questions(room, part, missing, now) > 0 {
            self.ask(queued, missing, room, Basis::Free, availability, now);
        }
        if left > 0 && has_accelerators(step) {
            self.reserve(queued, step, left, room, availability, now);
        }
    }

    /// Returns the number of waiting tasks of a step that may start now; all tasks of a gang.
    fn count_wanted(&self, part: &Part, step: &Step, stage: &Stage, now: Millis) -> usize {
        let unplaced = stage.count_unplaced() as usize;
        if step.gang {
            return unplaced;
        }
        // Tasks without a state of their own are under no suspicion.
        let (mut extra, mut refused) = (0, 0);
        for (index, task) in stage.touched() {
            if !self.is_waiting(step, task) {
                continue;
            }
            extra += usize::from(!task.is_unplaced());
            refused += usize::from(!self.may_start(&part.task(index), now));
        }
        unplaced + extra - refused
    }

    /// Returns whether a task waits for a placement.
    ///
    /// With copies, a task whose only run is on an unresponsive worker waits as well.
    fn is_waiting(&self, step: &Step, task: &Task) -> bool {
        task.is_unplaced() || (step.copies && self.is_on_unresponsive_worker(task))
    }

    /// Returns at most `limit` waiting tasks of a step that may start now; all tasks of a gang.
    fn waiting_tasks(&self, part: &Part, step: &Step, limit: usize, now: Millis) -> Vec<u32> {
        let stage = self.job(&part.job);
        let Some(stage) = stage.and_then(|job| job.stage(part.occurrence, part.step)) else {
            return Vec::new();
        };
        if step.gang {
            return (0..stage.count()).collect();
        }
        stage
            .tasks()
            .filter(|(_, task)| self.is_waiting(step, task))
            .map(|(index, _)| index)
            .filter(|index| self.may_start(&part.task(*index), now))
            .take(limit)
            .collect()
    }

    /// Returns whether an unfinished task of the stage has its only run on an unresponsive worker.
    fn has_task_on_unresponsive_worker(&self, stage: &Stage) -> bool {
        stage.unfinished > 0
            && stage
                .touched()
                .any(|(_, task)| self.is_on_unresponsive_worker(task))
    }

    /// Counts the tasks of a lasting step whose worker is unresponsive, drains or has left the registry.
    ///
    /// A worker missing from the registry counts only once workers had time to register again.
    fn count_at_risk(&self, stage: &Stage, now: Millis) -> usize {
        let is_settled = now.since(self.term_start) >= REGISTRY_RECOVERY;
        let has_left = |task: &Task| {
            let [place] = task.places.as_slice() else {
                return false;
            };
            let worker = self.worker_index(&place.worker);
            worker.is_some_and(|at| !self.workers[at].is_registered)
        };
        let is_at_risk = |(_, task): &(u32, &Task)| {
            self.is_on_unresponsive_worker(task)
                || self.is_on_draining_worker(task)
                || (is_settled && has_left(task))
        };
        stage.touched().filter(is_at_risk).count()
    }

    /// Returns whether an unfinished task has its only run on an unresponsive worker.
    fn is_on_unresponsive_worker(&self, task: &Task) -> bool {
        let [place] = task.places.as_slice() else {
            return false;
        };
        let worker = self.worker_index(&place.worker);
        !task.done && worker.is_some_and(|at| !self.workers[at].is_responsive())
    }

    /// Returns the workers that can take tasks of the step.
    fn candidates(&self, part: &Part, step: &Step, room: &Room, now: Millis) -> Vec<Candidate> {
        self.job(&part.job).map_or_else(Vec::new, |job| {
            self.candidates_of(job, part, step, room, now)
        })
    }

    /// Returns the workers that can take tasks of a step of `job`.
    pub(super) fn candidates_of(
        &self,
        job: &Job,
        part: &Part,
        step: &Step,
        room: &Room,
        now: Millis,
    ) -> Vec<Candidate> {
        let Some(stage) = job.stage(part.occurrence, part.step) else {
            return Vec::new();
        };
        let queue = self.queue(&job.spec.queue);
        let claim = &job.claims[part.step as usize];
        let end = now + step.estimate;
        let candidate = |at: usize| {
            let worker = &self.workers[at];
            if !worker.free().holds(claim)
                || !worker.has_label_for(step)
                || !room.can_start(at, end)
            {
                return None;
            }
            let left = spread_allowance(step, worker, part);
            (left > 0).then(|| Candidate {
                worker: at,
                left,
                planned: Amount::default(),
            })
        };
        if queue.is_none_or(|queue| queue.policy.is_none()) {
            return room
                .workers
                .iter()
                .filter_map(|at| candidate(*at))
                .collect();
        }
        let good = stage.tickets.workers_with_ticket(now);
        let known = good.filter_map(|worker| self.worker_index(worker));
        known
            .filter(|at| room.workers.binary_search(at).is_ok())
            .filter_map(candidate)
            .collect()
    }

    /// Returns the placement requirements of a step's tasks.
    pub(super) fn demand<'a>(&self, job: &'a Job, part: &Part, step: &'a Step) -> Demand<'a> {
        Demand {
            step,
            claim: &job.claims[part.step as usize],
            remote_permille: self.settings.remote_permille,
        }
    }

    /// Returns the position of the best candidate for a task.
    pub(super) fn best_candidate(
        &self,
        part: &Part,
        step: &Step,
        index: u32,
        candidates: &[Candidate],
        now: Millis,
    ) -> Option<usize> {
        let choices = self.choices(self.job(&part.job)?, part, step, index, candidates, now);
        choices.min().map(|choice| choice.at)
    }

    /// Returns how well each candidate that can take a task of `job` suits it.
    pub(super) fn choices<'a>(
        &'a self,
        job: &'a Job,
        part: &'a Part,
        step: &'a Step,
        index: u32,
        candidates: &'a [Candidate],
        now: Millis,
    ) -> impl Iterator<Item = Choice> + 'a {
        let name = part.task(index);
        let is_suspect = self.is_suspect(&name);
        let gang = step.gang.then_some(part);
        let demand = self.demand(job, part, step);
        let task = job.task(&name);
        let positions = candidates.iter().enumerate();
        positions.filter_map(move |(at, candidate)| {
            let worker = &self.workers[candidate.worker];
            let free = candidate.free(worker);
            if candidate.left == 0 || !free.holds(demand.claim) || worker.has_trial(gang, now) {
                return None;
            }
            let exposure = if is_suspect {
                Exposure::of(worker, now)
            } else {
                Exposure::default()
            };
            let slowdown = self.slowdown_permille(worker);
            Some(Choice {
                failed_here: task?.avoid.contains(&worker.node.id),
                exposure,
                cost: cost(&demand, worker, &free, slowdown),
                at,
            })
        })
    }
}
