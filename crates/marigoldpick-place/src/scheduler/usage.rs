//! Usage reports: what is learnt from them, and runs that use more than was set aside.

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Outcome;

use super::Scheduler;
use super::answer::End;
use crate::action::Action;
use crate::run::{Phase, Run};
use crate::score::Policy;
use crate::size::Size;

/// The part of its memory from which on a failed run is taken to have run out of it, in hundredths.
const FULL_PERCENT: u64 = 95;
/// The use of processors above its share at which a run is throttled, in hundredths.
const OVER_PERCENT: u64 = 120;

/// `Shortage` is whose fault it was that a run had too little memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shortage {
    /// It had enough, or more can't be set aside.
    None,
    /// Less was set aside than was declared; the job is not to blame.
    Ours,
    /// More was used than was declared; the worker is not to blame.
    Theirs,
}

impl<P: Policy> Scheduler<P> {
    /// Learns from a run's end; only then is it known how much it used at most.
    pub(super) fn learn_end(&mut self, job: u32, run: &Run, end: &End) {
        let slot = self.jobs.get(job).kind;
        let kind = self.kinds.get_mut(slot);
        if end.outcome == Outcome::Done {
            kind.estimate.note_run(end.age);
        }
        let told = matches!(end.outcome, Outcome::Done | Outcome::Failed);
        let Some(used) = end.usage.as_ref().filter(|_| told) else {
            return;
        };
        let mut used = self.accelerators.known(used);
        // A run that failed with all of its memory in use would have used more, unless its worker
        // is at fault.
        if end.outcome == Outcome::Failed && used.memory >= full(run.held.memory) {
            if !self.kinds.get(slot).shortages.at_fault() {
                return;
            }
            used.memory = run.held.memory.saturating_mul(2);
        }
        self.learn_usage(slot, &used);
    }

    fn learn_usage(&mut self, slot: u32, used: &Size) {
        if !self.settings.learn {
            return;
        }
        let largest = self.largest();
        let kind = self.kinds.get_mut(slot);
        let Some(declared) = kind.declared else {
            return;
        };
        kind.estimate.note_usage(&declared, used);
        let ask = kind.estimate.ask(&declared, kind.floor);
        kind.ask = Size {
            millicores: ask
                .millicores
                .min(largest.millicores.max(declared.millicores)),
            memory: ask.memory.min(largest.memory.max(declared.memory)),
            ..declared
        };
    }

    fn largest(&self) -> Size {
        let pools = self.fleet.index().pools().iter();
        pools.fold(Size::default(), |most, pool| most.max(&pool.size))
    }

    /// Tells whether a failed run ran out of memory, and sets aside more for its next try.
    pub(super) fn shortage(&mut self, job: u32, run: &Run, usage: Option<&Amount>) -> Shortage {
        if usage.is_none_or(|used| used.memory_mib < full(run.held.memory)) {
            return Shortage::None;
        }
        let most = self.largest().memory;
        let job = self.jobs.get_mut(job);
        let declared = job.spec.needs.memory_mib;
        if run.held.memory >= most.max(declared) || !job.spec.idempotent {
            return Shortage::None;
        }
        let more = declared.max(run.held.memory.saturating_mul(2));
        job.memory.insert(run.index, more.min(most.max(declared)));
        if run.held.memory < declared {
            Shortage::Ours
        } else {
            Shortage::Theirs
        }
    }

    /// Takes a report of a run that goes on.
    pub(super) fn used(&mut self, id: &id::Run, amount: &Amount, out: &mut Vec<Action>) {
        let Some(slot) = self.find_run(id) else {
            return;
        };
        let used = self.accelerators.known(amount);
        let run = self.runs.get(slot);
        if let Some(job) = run.job {
            let this = self.jobs.get(job);
            let service = this.spec.class == Class::Service;
            let over = used.memory > run.held.memory || used.millicores > run.held.millicores;
            if service || over {
                self.learn_usage(this.kind, &used);
            }
        }
        self.keep_memory(slot, &used, out);
        self.keep_processors(slot, &used, out);
    }

    /// Holds the memory that a run really uses; on a full worker the run itself has to go.
    fn keep_memory(&mut self, slot: u32, used: &Size, out: &mut Vec<Action>) {
        let run = self.runs.get(slot);
        if used.memory <= run.held.memory || run.phase != Phase::Running {
            return;
        }
        let more = Size {
            memory: used.memory - run.held.memory,
            ..Size::default()
        };
        let (worker, job, index) = (run.worker, run.job, run.index);
        let within = self.teams.get(run.team).allows(&more);
        if within && self.fleet.get(worker).free().holds(&more) {
            let held = self.runs.get(slot).held.plus(&more);
            self.resize_run(slot, held);
            return;
        }
        let Some(job) = job else {
            return;
        };
        let this = self.jobs.get_mut(job);
        this.memory.insert(index, used.memory);
        let (idempotent, grace) = (this.spec.idempotent, this.spec.stop_ms);
        if idempotent {
            out.push(Action::Event {
                what: "over-size",
                about: self.runs.get(slot).id().to_string(),
                note: "uses more memory than it declared on a full worker; it starts again"
                    .to_owned(),
            });
            self.stop(slot, grace, out);
        }
    }

    /// Throttles a run that uses more processors than were set aside on a full worker.
    fn keep_processors(&mut self, slot: u32, used: &Size, out: &mut Vec<Action>) {
        let run = self.runs.get(slot);
        let over = used.millicores.saturating_mul(100) > run.held.millicores * OVER_PERCENT;
        let worker = self.fleet.get(run.worker);
        let full = worker.free().millicores < used.millicores.saturating_sub(run.held.millicores);
        if !over || !full || run.limit.is_some() || run.phase != Phase::Running {
            return;
        }
        let millicores = run.held.millicores;
        out.push(Action::Throttle {
            worker: worker.id.clone(),
            run: run.id(),
            millicores,
        });
        self.runs.get_mut(slot).limit = Some(millicores);
    }

    /// Gives throttled runs their processors back where there is room.
    pub(super) fn lift_limits(&mut self, out: &mut Vec<Action>) {
        for slot in std::mem::take(&mut self.limited) {
            let Some(run) = self.runs.find(slot.run).filter(|r| r.serial == slot.serial) else {
                continue;
            };
            let more = Size {
                millicores: slot.millicores.saturating_sub(run.held.millicores),
                ..Size::default()
            };
            let within = self.teams.get(run.team).allows(&more);
            if !within || !self.fleet.get(run.worker).free().holds(&more) {
                self.limited.push(slot);
                continue;
            }
            let held = run.held.plus(&more);
            out.push(Action::Throttle {
                worker: self.fleet.get(run.worker).id.clone(),
                run: run.id(),
                millicores: slot.millicores,
            });
            self.resize_run(slot.run, held);
            self.runs.get_mut(slot.run).limit = None;
        }
    }
}

/// Returns the use from which on memory counts as all used up.
const fn full(held: u64) -> u64 {
    held.saturating_mul(FULL_PERCENT) / 100
}
