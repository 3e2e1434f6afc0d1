//! The pass over the waiting work: places what fits, in the order of its rank.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Part, Step};

use super::advise::spread_left;
use super::room::Room;
use super::{Lead, Recording};
use crate::job::{Place, Stage, Task};
use crate::place::{Wish, cost};
use crate::rank::{Rank, rank};
use crate::worker::Phase;

/// The time between two passes when nothing has changed.
const PASS: Millis = Millis(40);
/// The least time between two passes: news comes far more often while much work runs.
const GAP: Millis = Millis(5);

/// The share of the free room that questions may be about: not all workers asked are good.
const FREE_PERCENT: u64 = 200;
/// The share of the room in use that is expected to be free within a long question's time.
const USED_PERCENT: u64 = 25;

/// `Open` is a step with tasks that wait for a place.
#[derive(Clone, Debug)]
struct Open {
    rank: Rank,
    part: Part,
}

/// `Spot` is a worker that may take tasks of a step.
#[derive(Clone, Debug)]
struct Spot {
    worker: usize,
    /// The tasks of the step that may still be placed there.
    left: u64,
}

impl Lead {
    /// Returns when the next pass is due.
    #[must_use]
    pub fn next_pass(&self) -> Millis {
        self.passed + if self.unscheduled { GAP } else { PASS }
    }

    pub(super) fn schedule(&mut self, now: Millis) {
        self.unscheduled = false;
        self.passed = now;
        self.count.passes += 1;
        let mut open = self.open_parts(now);
        open.sort_by_key(|open| open.rank);
        let mut budget = self.question_budget();
        let mut rooms = Room::of(&self.workers, now);
        self.count.looks += self.workers.len() as u64;
        for open in open {
            self.serve(&open, &mut rooms, &mut budget, now);
        }
    }

    /// Returns how much work, in millicores, questions may be about.
    ///
    /// Load pattern: far more work waits than there is room for. Were all of it asked about, the
    /// adviser would spend its time on steps that can't start before their tickets expire. So only
    /// the front of the queue asks, for the room that is free and that will be free soon.
    fn question_budget(&self) -> u64 {
        let (mut free, mut used) = (0, 0);
        for worker in self.workers.iter().filter(|worker| worker.present) {
            used += worker.used().millicores;
            free += worker.free().millicores;
        }
        free * FREE_PERCENT / 100 + used * USED_PERCENT / 100
    }

    fn open_parts(&self, now: Millis) -> Vec<Open> {
        let doubts = self.doubts_records(now);
        let mut open = Vec::new();
        for job in &self.jobs {
            if job.phase.is_over() || (doubts && job.loaded) {
                continue;
            }
            let Some(queue) = self.queue(&job.spec.queue) else {
                continue;
            };
            for (number, occurrence) in (0..).zip(&job.occurrences) {
                if now < occurrence.due || occurrence.is_done() {
                    continue;
                }
                let mut known = None;
                for (step, stage) in occurrence.stages.iter().enumerate() {
                    let wants = stage.has_unplaced()
                        || (job.spec.steps[step].copies && self.wants_copy(stage));
                    if !wants || !occurrence.is_ready(&job.spec, step) {
                        continue;
                    }
                    let rank = *known.get_or_insert_with(|| rank(job, occurrence, queue, now));
                    let part = Part {
                        job: job.id.clone(),
                        occurrence: number,
                        step: step as u32,
                    };
                    open.push(Open { rank, part });
                }
            }
        }
        open
    }

    /// Places the tasks of a step that have none, as far as there is room, and asks for advice.
    fn serve(&mut self, open: &Open, rooms: &mut [Room], budget: &mut u64, now: Millis) {
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
        let claim = &job.claims[part.step as usize];
        let room = Room::find(rooms, &queue.service).filter(|&at| rooms[at].may_hold(claim));
        if room.is_none() && *budget == 0 {
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
        let work = step.needs.millicores;
        let Some(room) = room else {
            *budget = budget.saturating_sub(work * waiting.len() as u64);
            return;
        };
        let step = step.clone();
        let mut spots = self.spots(part, &step, &rooms[room], now);
        self.count.looks += (spots.len() * waiting.len()) as u64;
        let placed = if step.gang {
            self.place_gang(part, &step, &waiting, &spots, now)
        } else {
            self.place_each(part, &step, &waiting, &mut spots, now)
        };
        if placed > 0 {
            rooms[room].shrink(&self.workers);
        }
        let missing = waiting.len() - placed;
        if missing > 0 && *budget > 0 {
            self.ask(part, missing, &rooms[room], now);
            *budget = budget.saturating_sub(work * missing as u64);
        }
    }

    /// Tells whether a copy of a task of the step would help.
    fn wants_copy(&self, stage: &Stage) -> bool {
        stage.left > 0 && stage.tasks.iter().any(|task| self.is_stranded(task))
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
        let spot = |at: usize| {
            let worker = &self.workers[at];
            if !worker.free().holds(claim) || !worker.suits(step) {
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

    fn best(&self, part: &Part, step: &Step, index: u32, spots: &[Spot]) -> Option<usize> {
        let job = self.job(&part.job)?;
        let claim = &job.claims[part.step as usize];
        let avoid = &job.task(&part.task(index))?.avoid;
        let wish = Wish {
            step,
            claim,
            remote_permille: self.settings.remote_permille,
        };
        let mut best: Option<(bool, u64, usize)> = None;
        for (at, spot) in spots.iter().enumerate() {
            let worker = &self.workers[spot.worker];
            let free = worker.free();
            if spot.left == 0 || !free.holds(claim) {
                continue;
            }
            let failed_here = avoid.contains(&worker.node.id);
            let speed = self.speeds.permille(worker.node.kind.as_ref());
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

    fn claim(&mut self, part: &Part, index: u32, worker: usize, run: u64, now: Millis) {
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
