//! Displacement: the cheapest runs give way, only as the confirmed plan permits.
//!
//! A task that was itself displaced displaces nothing, so one displacement never leads to another.

use marigoldpick_core::intent::{self, Class, Yield};
use marigoldpick_core::prelude::*;

use super::claim::Claim;
use super::pick::admits;
use super::{Limited, Scheduler};
use crate::action::Action;
use crate::kind::Waiter;
use crate::run::{Phase, Run};
use crate::score::Policy;
use crate::size::Size;

/// Workers that are looked at for victims.
const SCANNED: u32 = 512;
/// Workers with victims that are compared.
const COMPARED: usize = 16;
/// The part of its processors that a throttled run keeps, in hundredths.
const KEPT_PERCENT: u64 = 25;
/// The time that a claim waits beyond the grace of those that give way.
const CLAIM_MARGIN: Millis = Millis::from_secs(10);
/// Seconds of work that a checkpoint is taken to cost.
const CHECKPOINT_SECONDS: f64 = 2.0;
/// Seconds of work that a throttle is taken to cost.
const THROTTLE_SECONDS: f64 = 0.5;

/// `Victim` is a run that could give way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Victim {
    /// The run's slot.
    pub run: u32,
    /// How it gives way.
    pub how: Yield,
    room: Size,
    cost: f64,
}

/// `Choice` is a worker with those that would give way on it.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    /// The worker.
    pub worker: u32,
    /// Those that give way.
    pub victims: Vec<Victim>,
    cost: f64,
}

impl<P: Policy> Scheduler<P> {
    /// Makes others give way to a task and claims the room; tells whether it did.
    pub(super) fn displace(
        &mut self,
        waiter: Waiter,
        index: u32,
        ask: &Size,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> bool {
        let job = self.jobs.get(waiter.job);
        if job.task(index).is_some_and(|task| task.displaced) {
            return false;
        }
        let by = job.spec.clone();
        let budget = by.displace.tasks.saturating_sub(job.displacing);
        let Some(choice) = self.cheapest(&by, ask, budget, now, &[]) else {
            return false;
        };
        self.commit(waiter, &choice, ask, now, out);
        true
    }

    /// Makes others give way to a whole gang, or to none of it.
    pub(super) fn displace_for_gang(
        &mut self,
        waiter: Waiter,
        ask: &Size,
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
        let mut workers = self.pick_all(waiter, ask, count);
        let mut taken: Vec<u32> = Vec::new();
        let mut choices = Vec::new();
        for &worker in &workers {
            self.claim(worker, ask, true);
        }
        while workers.len() < count as usize {
            let Some(choice) = self.cheapest(&by, ask, budget, now, &taken) else {
                break;
            };
            budget -= u32::try_from(choice.victims.len()).unwrap_or(budget);
            taken.push(choice.worker);
            self.claim(choice.worker, ask, true);
            workers.push(choice.worker);
            choices.push(choice);
        }
        if workers.len() < count as usize {
            workers
                .iter()
                .for_each(|&worker| self.claim(worker, ask, false));
            return false;
        }
        for choice in &choices {
            self.give_way(waiter, choice, out);
        }
        self.hold_together(waiter, ask, workers, now);
        true
    }

    /// Finds the worker on which room for a task costs least.
    fn cheapest(
        &mut self,
        by: &intent::Job,
        ask: &Size,
        budget: u32,
        now: Millis,
        taken: &[u32],
    ) -> Option<Choice> {
        let count = u32::try_from(self.fleet.workers().len()).ok()?;
        if by.displace.how == Yield::Never || budget == 0 || count == 0 {
            return None;
        }
        let mut best: Option<Choice> = None;
        let mut compared = 0;
        let first = self.cursor % count;
        for at in 0..count.min(SCANNED) {
            let slot = (first + at) % count;
            self.cursor = slot + 1;
            let worker = self.fleet.get(slot);
            let open = worker.usable()
                && worker.size.holds(ask)
                && admits(&by.place, &self.fleet, worker)
                && !taken.contains(&slot);
            if !open {
                continue;
            }
            let free = worker.free();
            let Some(choice) = self.victims(slot, &free, ask, by, budget, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|least| choice.cost < least.cost) {
                best = Some(choice);
            }
            compared += 1;
            if compared == COMPARED {
                break;
            }
        }
        best
    }

    /// Chooses on one worker the runs that free what `free` lacks, cheapest first.
    pub(super) fn victims(
        &self,
        slot: u32,
        free: &Size,
        ask: &Size,
        by: &intent::Job,
        budget: u32,
        now: Millis,
    ) -> Option<Choice> {
        let lack = ask.minus(free);
        if lack.memory == 0 && lack.accelerator_sum() == 0 {
            let softly = self.able(slot, true, by, now);
            let choice = choose(slot, softly, free, ask, budget);
            if choice.is_some() {
                return choice;
            }
        }
        choose(slot, self.able(slot, false, by, now), free, ask, budget)
    }

    /// Returns the runs on a worker that may give way; `softly` by a throttle alone.
    fn able(&self, slot: u32, softly: bool, by: &intent::Job, now: Millis) -> Vec<Victim> {
        let mut able = Vec::new();
        for &slot in &self.fleet.get(slot).runs {
            let run = self.runs.get(slot);
            let Some(how) = self.permitted(run, by) else {
                continue;
            };
            if softly && run.limit.is_none() {
                able.push(throttled(slot, run));
            } else if !softly && how >= Yield::Checkpoint {
                able.push(stopped(slot, run, how, now));
            }
        }
        able.sort_unstable_by(|a, b| a.cost.total_cmp(&b.cost));
        able
    }

    /// Returns the hardest way in which both intents let a run give way.
    fn permitted(&self, run: &Run, by: &intent::Job) -> Option<Yield> {
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

    fn commit(
        &mut self,
        waiter: Waiter,
        choice: &Choice,
        ask: &Size,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let wait = self.give_way(waiter, choice, out);
        self.claim(choice.worker, ask, true);
        self.claims.push(Claim {
            waiter,
            worker: choice.worker,
            ask: *ask,
            until: now + wait,
        });
    }

    /// Asks the victims to give way; returns how long that may take.
    fn give_way(&mut self, waiter: Waiter, choice: &Choice, out: &mut Vec<Action>) -> Millis {
        let worker = self.fleet.get(choice.worker).id.clone();
        let mut wait = self.settings.throttle_wait;
        for victim in &choice.victims {
            let run = self.runs.get_mut(victim.run);
            let id = run.id();
            if victim.how == Yield::Throttle {
                let millicores = kept(run.held.millicores);
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

    /// Takes note that a run which gave way to a job has ended.
    pub(super) fn end_displacing(&mut self, by: Waiter) {
        if self.jobs.find(by.job, by.order).is_some() {
            let job = self.jobs.get_mut(by.job);
            job.displacing = job.displacing.saturating_sub(1);
        }
    }

    /// Takes note that a limit on a run's processors is in force.
    pub(super) fn throttled(&mut self, id: &id::Run, millicores: u64) {
        let Some(slot) = self.find_run(id) else {
            return;
        };
        let run = self.runs.get(slot);
        if run.limit == Some(millicores) && run.held.millicores > millicores {
            let held = Size {
                millicores,
                ..run.held
            };
            self.limited.push(Limited {
                run: slot,
                serial: run.serial,
                millicores: run.held.millicores,
            });
            self.resize_run(slot, held);
        }
    }
}

fn kept(millicores: u64) -> u64 {
    (millicores * KEPT_PERCENT / 100).max(1)
}

fn throttled(slot: u32, run: &Run) -> Victim {
    let room = Size {
        millicores: run.held.millicores - kept(run.held.millicores),
        ..Size::default()
    };
    Victim {
        run: slot,
        how: Yield::Throttle,
        room,
        cost: THROTTLE_SECONDS * cores(&run.held),
    }
}

/// A checkpoint goes before a stop, unless the run is so young that its work is worth less.
fn stopped(slot: u32, run: &Run, how: Yield, now: Millis) -> Victim {
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
    size.millicores as f64 / 1e3 + f64::from(size.accelerator_sum())
}

/// Chooses, cheapest first, what frees the room that a task lacks.
fn choose(worker: u32, able: Vec<Victim>, free: &Size, ask: &Size, budget: u32) -> Option<Choice> {
    let mut chosen: Vec<Victim> = Vec::new();
    let mut room = *free;
    for victim in able {
        if room.holds(ask) || chosen.len() >= budget as usize {
            break;
        }
        if helps(&victim.room, &ask.minus(&room)) {
            room = room.plus(&victim.room);
            chosen.push(victim);
        }
    }
    if !room.holds(ask) || chosen.is_empty() {
        return None;
    }
    leave_out_needless(&mut chosen, room, ask);
    Some(Choice {
        worker,
        cost: chosen.iter().map(|victim| victim.cost).sum(),
        victims: chosen,
    })
}

fn helps(room: &Size, lack: &Size) -> bool {
    let min = |a: u64, b: u64| a.min(b) > 0;
    min(room.millicores, lack.millicores)
        || min(room.memory, lack.memory)
        || (room.accelerators.iter().zip(&lack.accelerators)).any(|(a, b)| *a.min(b) > 0)
}

/// Leaves out the dearest victims without which the room still suffices.
fn leave_out_needless(chosen: &mut Vec<Victim>, mut room: Size, ask: &Size) {
    for at in (0..chosen.len()).rev() {
        let without = room.minus(&chosen[at].room);
        if without.holds(ask) {
            room = without;
            chosen.remove(at);
        }
    }
}
