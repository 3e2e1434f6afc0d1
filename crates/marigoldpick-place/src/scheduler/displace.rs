//! Provides displacement: preemption of the cheapest runs, within what both intents permit.
//!
//! A task that was itself displaced displaces no other task, so displacements never cascade.

use marigoldpick_core::intent::{self, Class, Yield};
use marigoldpick_core::prelude::*;

use super::claim::Claim;
use super::pick::is_eligible;
use super::{Scheduler, ThrottledRun};
use crate::action::Action;
use crate::kind::Waiter;
use crate::run::{Phase, Run};
use crate::score::Policy;
use crate::size::Size;

/// Maximum number of workers that are searched for victims.
const MAX_SCANNED_WORKERS: u32 = 512;
/// Maximum number of workers with victims that are compared.
const MAX_COMPARED_WORKERS: usize = 16;
/// Processors that a throttled run keeps, in percent.
const THROTTLED_PERCENT: u64 = 25;
/// How long a claim outlasts the grace period of its victims.
const CLAIM_MARGIN: Millis = Millis::from_secs(10);
/// Assumed cost of a checkpoint, in seconds of work.
const CHECKPOINT_SECONDS: f64 = 2.0;
/// Assumed cost of a throttle, in seconds of work.
const THROTTLE_SECONDS: f64 = 0.5;

/// `Victim` is a run that may be displaced.
#[derive(Clone, Copy, Debug)]
pub(super) struct Victim {
    /// The slot of the run.
    pub run: u32,
    /// How the run is displaced.
    pub how: Yield,
    room: Size,
    cost: f64,
}

/// `VictimSet` is a set of victims on one worker.
#[derive(Clone, Debug)]
pub(super) struct VictimSet {
    /// The worker.
    pub worker: u32,
    /// The runs to displace.
    pub victims: Vec<Victim>,
    cost: f64,
}

impl<P: Policy> Scheduler<P> {
    /// Displaces runs for a task and claims their room; returns whether it found victims.
    pub(super) fn displace_for_task(
        &mut self,
        waiter: Waiter,
        index: u32,
        request: &Size,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> bool {
        let job = self.jobs.get(waiter.job);
        if job.task(index).is_some_and(|task| task.displaced) {
            return false;
        }
        let by = job.spec.clone();
        let budget = by.displace.tasks.saturating_sub(job.displacing);
        let Some(choice) = self.cheapest_victims(&by, request, budget, now, &[]) else {
            return false;
        };
        self.displace_and_claim(waiter, &choice, request, now, out);
        true
    }

    /// Displaces runs for all tasks of a gang, or for none; returns whether it found victims.
    pub(super) fn displace_for_gang(
        &mut self,
        waiter: Waiter,
        request: &Size,
        count: u32,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> bool {
        let job = self.jobs.get(waiter.job);
        let displaced = job.tasks.iter().any(|task| task.displaced);
        if displaced || job.spec.displace.how == Yield::Never || self.reservation.is_some() {
            return false;
        }
        let by = job.spec.clone();
        let mut budget = by.displace.tasks.saturating_sub(job.displacing);
        let mut workers = self.pick_workers(waiter, request, count);
        let mut taken: Vec<u32> = Vec::new();
        let mut choices = Vec::new();
        for &worker in &workers {
            self.adjust_claimed(worker, request, true);
        }
        while workers.len() < count as usize {
            let Some(choice) = self.cheapest_victims(&by, request, budget, now, &taken) else {
                break;
            };
            budget -= u32::try_from(choice.victims.len()).unwrap_or(budget);
            taken.push(choice.worker);
            self.adjust_claimed(choice.worker, request, true);
            workers.push(choice.worker);
            choices.push(choice);
        }
        if workers.len() < count as usize {
            workers
                .iter()
                .for_each(|&worker| self.adjust_claimed(worker, request, false));
            return false;
        }
        for choice in &choices {
            self.displace_victims(waiter, choice, out);
        }
        self.set_reservation(waiter, request, workers, now, now);
        true
    }

    /// Finds the worker on which displacement for a task costs least.
    fn cheapest_victims(
        &mut self,
        by: &intent::Job,
        request: &Size,
        budget: u32,
        now: Millis,
        taken: &[u32],
    ) -> Option<VictimSet> {
        let count = u32::try_from(self.fleet.workers().len()).ok()?;
        if by.displace.how == Yield::Never || budget == 0 || count == 0 {
            return None;
        }
        let mut best: Option<VictimSet> = None;
        let mut compared = 0;
        let first = self.victim_cursor % count;
        for at in 0..count.min(MAX_SCANNED_WORKERS) {
            let slot = (first + at) % count;
            self.victim_cursor = slot + 1;
            let worker = self.fleet.get(slot);
            let open = worker.is_usable()
                && worker.size.can_hold(request)
                && is_eligible(&by.place, &self.fleet, worker)
                && !taken.contains(&slot);
            if !open {
                continue;
            }
            let free = worker.free();
            let Some(choice) = self.victims_on(slot, &free, request, by, budget, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|least| choice.cost < least.cost) {
                best = Some(choice);
            }
            compared += 1;
            if compared == MAX_COMPARED_WORKERS {
                break;
            }
        }
        best
    }

    /// Chooses victims on one worker that free what `free` lacks for a task, the cheapest first.
    pub(super) fn victims_on(
        &self,
        slot: u32,
        free: &Size,
        request: &Size,
        by: &intent::Job,
        budget: u32,
        now: Millis,
    ) -> Option<VictimSet> {
        let shortfall = request.minus(free);
        if shortfall.memory == 0 && shortfall.accelerator_count() == 0 {
            let throttled = self.candidates(slot, true, by, now);
            let choice = choose_victims(slot, throttled, free, request, budget);
            if choice.is_some() {
                return choice;
            }
        }
        choose_victims(
            slot,
            self.candidates(slot, false, by, now),
            free,
            request,
            budget,
        )
    }

    /// Returns the runs on a worker that may be displaced: throttled if `throttle_only` is set,
    /// otherwise stopped.
    fn candidates(
        &self,
        slot: u32,
        throttle_only: bool,
        by: &intent::Job,
        now: Millis,
    ) -> Vec<Victim> {
        let mut candidates = Vec::new();
        for &slot in &self.fleet.get(slot).runs {
            let run = self.runs.get(slot);
            let Some(how) = self.permitted_yield(run, by) else {
                continue;
            };
            if throttle_only && run.limit.is_none() {
                candidates.push(throttle_victim(slot, run));
            } else if !throttle_only && how >= Yield::Checkpoint {
                candidates.push(stop_victim(slot, run, how, now));
            }
        }
        candidates.sort_unstable_by(|a, b| a.cost.total_cmp(&b.cost));
        candidates
    }

    /// Returns the most disruptive way in which both intents allow a run to be displaced.
    fn permitted_yield(&self, run: &Run, by: &intent::Job) -> Option<Yield> {
        let job = &self.jobs.get(run.job?).spec;
        let listed = by.displace.classes.contains(&job.class) && job.class != Class::Gang;
        if !listed || job.priority >= by.priority || run.phase != Phase::Running {
            return None;
        }
        let how = job.yields.min(by.displace.how);
        let how = if job.idempotent {
            how
        } else {
            how.min(Yield::Throttle)
        };
        (how != Yield::Never).then_some(how)
    }

    fn displace_and_claim(
        &mut self,
        waiter: Waiter,
        choice: &VictimSet,
        request: &Size,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let wait = self.displace_victims(waiter, choice, out);
        self.adjust_claimed(choice.worker, request, true);
        self.claims.push(Claim {
            waiter,
            worker: choice.worker,
            request: *request,
            until: now + wait,
        });
    }

    /// Throttles or stops the victims; returns how long that may take.
    fn displace_victims(
        &mut self,
        waiter: Waiter,
        choice: &VictimSet,
        out: &mut Vec<Action>,
    ) -> Millis {
        let worker = self.fleet.get(choice.worker).id.clone();
        let mut wait = self.settings.throttle_timeout;
        for victim in &choice.victims {
            let run = self.runs.get_mut(victim.run);
            let id = run.id();
            if victim.how == Yield::Throttle {
                let millicores = throttled_millicores(run.held.millicores);
                run.limit = Some(millicores);
                out.push(Action::Throttle {
                    worker: worker.clone(),
                    run: id,
                    millicores,
                });
                continue;
            }
            run.phase = Phase::Stopping;
            run.displaced = Some(waiter);
            let job = run.job;
            self.jobs.get_mut(waiter.job).displacing += 1;
            let grace = job.map_or(Millis::ZERO, |job| self.jobs.get(job).spec.stop_ms);
            wait = wait.max(grace + CLAIM_MARGIN);
            self.mark_displaced(victim.run);
            let worker = worker.clone();
            out.push(match victim.how {
                Yield::Checkpoint => Action::Checkpoint { worker, run: id },
                _ => Action::Stop {
                    worker,
                    run: id,
                    grace,
                },
            });
        }
        wait
    }

    fn mark_displaced(&mut self, run: u32) {
        let run = self.runs.get(run);
        let Some(job) = run.job else {
            return;
        };
        if let Some(task) = self.jobs.get_mut(job).task_mut(run.index) {
            task.displaced = true;
        }
    }

    /// Records that a run that was displaced for a job has ended.
    pub(super) fn end_displacing(&mut self, by: Waiter) {
        if self.jobs.find(by.job, by.order).is_some() {
            let job = self.jobs.get_mut(by.job);
            job.displacing = job.displacing.saturating_sub(1);
        }
    }

    /// Handles the confirmation that a processor limit of a run is in force.
    pub(super) fn handle_throttled(&mut self, id: &id::Run, millicores: u64) {
        let Some(slot) = self.find_current_run(id) else {
            return;
        };
        let run = self.runs.get(slot);
        if run.limit == Some(millicores) && run.held.millicores > millicores {
            let held = Size {
                millicores,
                ..run.held
            };
            self.throttled_runs.push(ThrottledRun {
                run: slot,
                serial: run.serial,
                millicores: run.held.millicores,
            });
            self.resize_run(slot, held);
        }
    }
}

fn throttled_millicores(millicores: u64) -> u64 {
    (millicores * THROTTLED_PERCENT / 100).max(1)
}

fn throttle_victim(slot: u32, run: &Run) -> Victim {
    let room = Size {
        millicores: run.held.millicores - throttled_millicores(run.held.millicores),
        ..Size::default()
    };
    Victim {
        run: slot,
        how: Yield::Throttle,
        room,
        cost: THROTTLE_SECONDS * cores(&run.held),
    }
}

/// Creates a victim that is stopped, after a checkpoint unless the run has done less work than a
/// checkpoint costs and both intents permit a plain stop.
fn stop_victim(slot: u32, run: &Run, how: Yield, now: Millis) -> Victim {
    let age = now.since(run.since).0 as f64 / 1e3;
    let young = age <= CHECKPOINT_SECONDS && how == Yield::Stop;
    Victim {
        run: slot,
        how: if young {
            Yield::Stop
        } else {
            Yield::Checkpoint
        },
        room: run.held,
        cost: (CHECKPOINT_SECONDS.min(age) + THROTTLE_SECONDS) * cores(&run.held),
    }
}

fn cores(size: &Size) -> f64 {
    size.millicores as f64 / 1e3 + f64::from(size.accelerator_count())
}

/// Chooses the cheapest victims that free the room that a task lacks.
fn choose_victims(
    worker: u32,
    candidates: Vec<Victim>,
    free: &Size,
    request: &Size,
    budget: u32,
) -> Option<VictimSet> {
    let mut chosen: Vec<Victim> = Vec::new();
    let mut room = *free;
    for victim in candidates {
        if room.can_hold(request) || chosen.len() >= budget as usize {
            break;
        }
        if reduces_shortfall(&victim.room, &request.minus(&room)) {
            room = room.plus(&victim.room);
            chosen.push(victim);
        }
    }
    if !room.can_hold(request) || chosen.is_empty() {
        return None;
    }
    drop_unneeded_victims(&mut chosen, room, request);
    Some(VictimSet {
        worker,
        cost: chosen.iter().map(|victim| victim.cost).sum(),
        victims: chosen,
    })
}

fn reduces_shortfall(room: &Size, shortfall: &Size) -> bool {
    let min = |a: u64, b: u64| a.min(b) > 0;
    min(room.millicores, shortfall.millicores)
        || min(room.memory, shortfall.memory)
        || (room.accelerators.iter().zip(&shortfall.accelerators)).any(|(a, b)| *a.min(b) > 0)
}

/// Removes victims without which the room still suffices, the most expensive first.
fn drop_unneeded_victims(chosen: &mut Vec<Victim>, mut room: Size, request: &Size) {
    for at in (0..chosen.len()).rev() {
        let without = room.minus(&chosen[at].room);
        if without.can_hold(request) {
            room = without;
            chosen.remove(at);
        }
    }
}
