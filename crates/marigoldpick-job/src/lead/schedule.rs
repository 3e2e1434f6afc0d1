//! The pass over the waiting work: places what fits, in the order of its rank.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Part, Step};

use super::advise::{Basis, spread_left};
use super::open::Open;
use super::reserve::is_scarce;
use super::room::Room;
use super::{Lead, REGISTRY_RETURN, Recording};
use crate::askers::Free;
use crate::job::{Job, Place, Stage, Task};
use crate::place::{Wish, cost};
use crate::queue::Queue;
use crate::rank::{Claim, rank};
use crate::worker::Phase;

/// The time between two passes when nothing has changed.
const PASS: Millis = Millis(40);
/// The least time between two passes: news comes far more often while much work runs.
const GAP: Millis = Millis(8);

/// The time that a pass takes for a step that waits, on an entry with half a core, in nanoseconds.
const STEP_NS: u64 = 2_000;
/// The time that a pass takes for a look at a worker, on an entry with half a core, in nanoseconds.
const LOOK_NS: u64 = 500;
/// Passes take at most one part in so many of the time.
const PASS_PARTS: u64 = 5;

/// Returns the least time between two passes, the last of which had so many steps and looks.
///
/// Load pattern: a backlog makes each pass longer. The pause grows with it, so that the lead has the
/// same time as ever for starts, ends and leases, and gets through the backlog.
fn pause(steps: usize, looks: u64) -> Millis {
    let taken = steps as u64 * STEP_NS + looks * LOOK_NS;
    GAP.max(Millis(taken * PASS_PARTS / 1_000_000))
}

/// `Spot` is a worker that may take tasks of a step.
#[derive(Clone, Debug)]
pub(super) struct Spot {
    pub(super) worker: usize,
    /// The tasks of the step that may still be placed there.
    pub(super) left: u64,
}

impl Lead {
    /// Returns when the next pass is due.
    #[must_use]
    pub fn next_pass(&self) -> Millis {
        self.passed
            + if self.unscheduled {
                self.pause
            } else {
                PASS.max(self.pause)
            }
    }

    pub(super) fn schedule(&mut self, now: Millis) {
        self.unscheduled = false;
        self.passed = now;
        self.count.passes += 1;
        let looks = self.count.looks;
        let mut open = self.open_parts(now);
        let steps = open.len();
        open.sort_by_key(|open| open.rank);
        let mut rooms = Room::of(&self.workers, now);
        self.count.looks += self.workers.len() as u64;
        let mut askers = Free::default();
        for open in open {
            self.serve(&open, &mut rooms, &mut askers, now);
        }
        self.pause = pause(steps, self.count.looks - looks);
    }

    /// Returns the steps that wait; jobs of which none can wait before something changes are left out
    /// from then on.
    fn open_parts(&mut self, now: Millis) -> Vec<Open> {
        let doubt = self.doubt(now);
        let mut open = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|id| {
            let Some(at) = self.at(id) else { return false };
            let job = &self.jobs[at];
            if job.phase.is_over() {
                return false;
            }
            let Some(queue) = self.queue(&job.spec.queue) else {
                return true;
            };
            let before = open.len();
            if !doubt.covers(job) {
                self.add_open(job, queue, now, &mut open);
            }
            let mut steps = job.spec.steps.iter();
            // A worker that falls silent changes nothing in the job.
            let is_watched = steps.any(|step| step.copies || step.lasting);
            let is_due_later = job.occurrences.iter().any(|o| now < o.due);
            open.len() > before || is_watched || is_due_later || doubt.covers(job)
        });
        self.waiting = waiting;
        open
    }

    /// Adds the steps of a job that wait.
    fn add_open(&self, job: &Job, queue: &Queue, now: Millis, open: &mut Vec<Open>) {
        for (number, occurrence) in (0..).zip(&job.occurrences) {
            if now < occurrence.due || occurrence.is_done() {
                continue;
            }
            for (step, stage) in occurrence.stages.iter().enumerate() {
                let spec = &job.spec.steps[step];
                let at = (number, occurrence);
                let wants = stage.has_unplaced()
                    || self.has_lagging(job, at, step as u32, now)
                    || (spec.copies && self.has_stranded(stage))
                    || (spec.lasting && self.count_failing(stage, now) > 0);
                if !wants || !occurrence.is_ready(&job.spec, step) {
                    continue;
                }
                let rank = rank(job, step, occurrence, queue, now);
                let part = Part {
                    job: job.id.clone(),
                    occurrence: number,
                    step: step as u32,
                };
                open.push(Open { rank, part });
            }
        }
    }

    /// Places the tasks of a step that have none, as far as there is room, and asks for advice.
    fn serve(&mut self, open: &Open, rooms: &mut [Room], askers: &mut Free, now: Millis) {
        let part = &open.part;
        let Some(at) = self.at(&part.job) else { return };
        let job = &self.jobs[at];
        let (Some(step), Some(stage), Some(queue)) = (
            job.step(part),
            job.stage(part.occurrence, part.step),
            self.queue(&job.spec.queue),
        ) else {
            return;
        };
        let claim = job.claims[part.step as usize].clone();
        let Some(room) = Room::find(rooms, &queue.service) else {
            return;
        };
        let restarts = open.rank.claim == Claim::Restart;
        let may_ask = restarts || rooms[room].may_ask(&claim, self.share(&queue.name));
        let may_hold = rooms[room].may_hold(&claim);
        if !may_hold && !may_ask {
            return;
        }
        let waiting: Vec<u32> = (0..)
            .zip(&stage.tasks)
            .filter(|(_, task)| task.is_unplaced() || (step.copies && self.is_stranded(task)))
            .map(|(index, _)| index)
            .collect();
        if step.gang && waiting.len() != stage.tasks.len() {
            // Members that are still being stopped have to be gone first.
            return;
        }
        // Lasting tasks that are about to be lost are asked about ahead, so that they start elsewhere
        // as soon as their lease has lapsed.
        let failing = if step.lasting {
            self.count_failing(stage, now)
        } else {
            0
        };
        let step = step.clone();
        if !may_hold {
            if is_scarce(&step) {
                self.reserve(open, &step, waiting.len(), &mut rooms[room], askers, now);
            }
            rooms[room].spend(&claim, waiting.len());
            return;
        }
        let mut spots = self.spots(part, &step, &rooms[room], now);
        self.count.looks += (spots.len() * waiting.len()) as u64;
        let placed = if step.gang {
            self.place_gang(part, &step, &waiting, &spots, now)
        } else {
            self.place_each(part, &step, &waiting, &mut spots, now)
        };
        let copies = if placed == waiting.len() {
            self.place_copies(part, &step, &mut spots, now)
        } else {
            0
        };
        if placed + copies > 0 {
            rooms[room].shrink(&self.workers);
        }
        let missing = waiting.len() - placed + failing;
        if missing > 0 && may_ask {
            self.ask(open, missing, &rooms[room], Basis::Free, askers, now);
            rooms[room].spend(&claim, missing);
        }
        if placed < waiting.len() && is_scarce(&step) {
            let left = waiting.len() - placed;
            self.reserve(open, &step, left, &mut rooms[room], askers, now);
        }
    }

    /// Tells whether a task of the step runs on a worker that does not answer.
    fn has_stranded(&self, stage: &Stage) -> bool {
        stage.left > 0 && stage.tasks.iter().any(|task| self.is_stranded(task))
    }

    /// Counts the tasks of a lasting step whose worker does not answer or has left.
    fn count_failing(&self, stage: &Stage, now: Millis) -> usize {
        let is_settled = now.since(self.since) >= REGISTRY_RETURN;
        let has_left = |task: &Task| {
            let [place] = task.places.as_slice() else {
                return false;
            };
            let worker = self.worker_at(&place.worker);
            worker.is_some_and(|at| !self.workers[at].present)
        };
        let is_failing = |task: &&Task| self.is_stranded(task) || (is_settled && has_left(task));
        stage.tasks.iter().filter(is_failing).count()
    }

    /// Tells whether a task runs once, on a worker that does not answer.
    fn is_stranded(&self, task: &Task) -> bool {
        let [place] = task.places.as_slice() else {
            return false;
        };
        let worker = self.worker_at(&place.worker);
        !task.done && worker.is_some_and(|at| !self.workers[at].answers())
    }

    /// Returns the workers that may take tasks of the step.
    fn spots(&self, part: &Part, step: &Step, room: &Room, now: Millis) -> Vec<Spot> {
        let Some(job) = self.job(&part.job) else {
            return Vec::new();
        };
        let Some(stage) = job.stage(part.occurrence, part.step) else {
            return Vec::new();
        };
        let queue = self.queue(&job.spec.queue);
        let claim = &job.claims[part.step as usize];
        let first = part.task(0);
        let end = now + step.estimate;
        let spot = |at: usize| {
            let worker = &self.workers[at];
            if !worker.free().holds(claim) || !worker.suits(step) || !room.admits(at, end) {
                return None;
            }
            let left = spread_left(step, worker, &first);
            (left > 0).then_some(Spot { worker: at, left })
        };
        if queue.is_none_or(|queue| queue.policy.is_none()) {
            return room.workers.iter().filter_map(|at| spot(*at)).collect();
        }
        let good = stage.tickets.all_valid(now);
        let known = good.filter_map(|worker| self.worker_at(worker));
        known
            .filter(|at| room.workers.binary_search(at).is_ok())
            .filter_map(spot)
            .collect()
    }

    /// Returns what the tasks of a step look for.
    pub(super) fn wish<'a>(&self, job: &'a Job, part: &Part, step: &'a Step) -> Wish<'a> {
        Wish {
            step,
            claim: &job.claims[part.step as usize],
            remote_permille: self.settings.remote_permille,
        }
    }

    /// Returns the position of the best spot for a task.
    pub(super) fn best(
        &self,
        part: &Part,
        step: &Step,
        index: u32,
        spots: &[Spot],
    ) -> Option<usize> {
        let job = self.job(&part.job)?;
        let avoid = &job.task(&part.task(index))?.avoid;
        let wish = self.wish(job, part, step);
        let claim = wish.claim;
        let mut best: Option<(bool, u64, usize)> = None;
        for (at, spot) in spots.iter().enumerate() {
            let worker = &self.workers[spot.worker];
            let free = worker.free();
            if spot.left == 0 || !free.holds(claim) {
                continue;
            }
            let failed_here = avoid.contains(&worker.node.id);
            let speed = self.permille(worker);
            let cost = cost(&wish, worker, free, speed);
            let candidate = (failed_here, cost, at);
            if best.is_none_or(|best| candidate < best) {
                best = Some(candidate);
            }
        }
        best.map(|(_, _, at)| at)
    }

    /// Places tasks until one finds no room, since all of a step need the same.
    fn place_each(
        &mut self,
        part: &Part,
        step: &Step,
        waiting: &[u32],
        spots: &mut [Spot],
        now: Millis,
    ) -> usize {
        for (placed, index) in waiting.iter().enumerate() {
            let Some(best) = self.best(part, step, *index, spots) else {
                return placed;
            };
            spots[best].left -= 1;
            self.next_run += 1;
            let run = self.next_run;
            self.claim(part, *index, spots[best].worker, run, now);
        }
        waiting.len()
    }

    /// Places all members of a gang or none; all carry the same run.
    fn place_gang(
        &mut self,
        part: &Part,
        step: &Step,
        waiting: &[u32],
        spots: &[Spot],
        now: Millis,
    ) -> usize {
        self.next_run += 1;
        let run = self.next_run;
        let racks = self.racks(step, spots);
        for rack in racks {
            let mut usable: Vec<Spot> = spots
                .iter()
                .filter(|spot| rack.is_none() || self.workers[spot.worker].node.rack == rack)
                .cloned()
                .collect();
            let mut placed = Vec::new();
            for index in waiting {
                let Some(best) = self.best(part, step, *index, &usable) else {
                    break;
                };
                usable[best].left -= 1;
                let worker = usable[best].worker;
                self.claim(part, *index, worker, run, now);
                placed.push((*index, worker));
            }
            if placed.len() == waiting.len() {
                return placed.len();
            }
            for (index, worker) in placed {
                self.unclaim(part, index, worker, run);
            }
        }
        0
    }

    /// Returns the racks to try for a gang: one rack alone first, where that matters.
    fn racks(&self, step: &Step, spots: &[Spot]) -> Vec<Option<Name>> {
        if !step.one_rack {
            return vec![None];
        }
        let mut racks: Vec<Option<Name>> = spots
            .iter()
            .map(|spot| self.workers[spot.worker].node.rack.clone())
            .filter(Option::is_some)
            .collect();
        racks.sort();
        racks.dedup();
        racks.push(None);
        racks
    }

    pub(super) fn claim(&mut self, part: &Part, index: u32, worker: usize, run: u64, now: Millis) {
        let task = part.task(index);
        let Some(entry) = self.run_of(&task, run, Phase::Recording, now) else {
            return;
        };
        self.workers[worker].add(entry);
        let id = self.workers[worker].node.id.clone();
        let Some(at) = self.at(&part.job) else { return };
        if let Some(state) = self.jobs[at].task_mut(&task) {
            state.places.push(Place {
                worker: id.clone(),
                run,
            });
        }
        self.touch(at);
        let change = self.jobs[at].change;
        self.recording.push(Recording {
            worker: id,
            task,
            run,
            change,
        });
    }

    fn unclaim(&mut self, part: &Part, index: u32, worker: usize, run: u64) {
        let task = part.task(index);
        self.workers[worker].remove(&task, run);
        let Some(at) = self.at(&part.job) else { return };
        if let Some(state) = self.jobs[at].task_mut(&task) {
            state.places.retain(|place| place.run != run);
        }
    }
}
