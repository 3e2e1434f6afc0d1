//! Handles usage reports: estimates learn from them, and runs that exceed their allocation are limited.

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Outcome;

use super::Scheduler;
use super::answer::End;
use crate::action::Action;
use crate::run::{Phase, Run};
use crate::score::Policy;
use crate::size::Size;

/// Memory use from which a failed run counts as out of memory, in percent of its allocation.
const FULL_PERCENT: u64 = 95;
/// Processor use above which a run on a full worker is throttled, in percent of its allocation.
const OVER_PERCENT: u64 = 120;

/// `Shortage` is the reason why a run had too little memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shortage {
    /// It had enough memory, or can't be given more.
    None,
    /// The estimate allocated less than was declared, so the job is not at fault.
    Underestimated,
    /// The run used all that was declared, so the worker is not at fault.
    Underdeclared,
}

impl<P: Policy> Scheduler<P> {
    /// Updates the estimates when a run ends, because its peak usage is known only then.
    pub(super) fn learn_from_end(&mut self, job: u32, run: &Run, end: &End) {
        let slot = self.jobs.get(job).kind;
        let kind = self.kinds.get_mut(slot);
        if end.outcome == Outcome::Done {
            kind.estimate.record_run_time(end.age);
        }
        let reported = matches!(end.outcome, Outcome::Done | Outcome::Failed);
        let Some(used) = end.usage.as_ref().filter(|_| reported) else {
            return;
        };
        let mut used = self.accelerators.size_of_known(used);
        // A run that failed with all of its memory in use would have used more, unless its worker
        // caused the failure. The kind's record of shortages tells which.
        if end.outcome == Outcome::Failed && used.memory >= full_memory(run.held.memory) {
            if !self.kinds.get(slot).shortages.is_at_fault() {
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
        kind.estimate.record_usage(&declared, used);
        let request = kind.estimate.request(&declared, kind.at_least_declared);
        kind.request = Size {
            millicores: request
                .millicores
                .min(largest.millicores.max(declared.millicores)),
            memory: request.memory.min(largest.memory.max(declared.memory)),
            ..declared
        };
    }

    fn largest(&self) -> Size {
        let pools = self.fleet.index().pools().iter();
        pools.fold(Size::default(), |most, pool| most.max(&pool.size))
    }

    /// Returns why a failed run ran out of memory, if it did, and raises the memory of its next attempt.
    pub(super) fn classify_shortage(
        &mut self,
        job: u32,
        run: &Run,
        usage: Option<&Amount>,
    ) -> Shortage {
        if usage.is_none_or(|used| used.memory_mib < full_memory(run.held.memory)) {
            return Shortage::None;
        }
        let most = self.largest().memory;
        let job = self.jobs.get_mut(job);
        let declared = job.spec.needs.memory_mib;
        if run.held.memory >= most.max(declared) || !job.spec.idempotent {
            return Shortage::None;
        }
        let more = declared.max(run.held.memory.saturating_mul(2));
        job.memory_overrides
            .insert(run.index, more.min(most.max(declared)));
        if run.held.memory < declared {
            Shortage::Underestimated
        } else {
            Shortage::Underdeclared
        }
    }

    /// Handles a usage report of a running run.
    pub(super) fn handle_usage(&mut self, id: &id::Run, amount: &Amount, out: &mut Vec<Action>) {
        let Some(slot) = self.find_current_run(id) else {
            return;
        };
        let used = self.accelerators.size_of_known(amount);
        let run = self.runs.get(slot);
        if let Some(job) = run.job {
            let this = self.jobs.get(job);
            let service = this.spec.class == Class::Service;
            let over = used.memory > run.held.memory || used.millicores > run.held.millicores;
            if service || over {
                self.learn_usage(this.kind, &used);
            }
        }
        self.enforce_memory(slot, &used, out);
        self.enforce_processors(slot, &used, out);
    }

    /// Raises the allocation of a run to the memory that it uses.
    ///
    /// If the worker or the quota lacks room, the run is stopped instead, unless it is not idempotent.
    fn enforce_memory(&mut self, slot: u32, used: &Size, out: &mut Vec<Action>) {
        let run = self.runs.get(slot);
        if used.memory <= run.held.memory || run.phase != Phase::Running {
            return;
        }
        let more = Size {
            memory: used.memory - run.held.memory,
            ..Size::default()
        };
        let (worker, job, index) = (run.worker, run.job, run.index);
        let within = self.teams.get(run.team).has_quota_for(&more);
        if within && self.fleet.get(worker).free().can_hold(&more) {
            let held = self.runs.get(slot).held.plus(&more);
            self.resize_run(slot, held);
            return;
        }
        let Some(job) = job else {
            return;
        };
        let this = self.jobs.get_mut(job);
        this.memory_overrides.insert(index, used.memory);
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

    /// Throttles a run on a full worker that uses more processors than it was allocated.
    fn enforce_processors(&mut self, slot: u32, used: &Size, out: &mut Vec<Action>) {
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

    /// Restores the processors of throttled runs where there is room.
    pub(super) fn lift_throttles(&mut self, out: &mut Vec<Action>) {
        for slot in std::mem::take(&mut self.throttled_runs) {
            let Some(run) = self.runs.find(slot.run).filter(|r| r.serial == slot.serial) else {
                continue;
            };
            let more = Size {
                millicores: slot.millicores.saturating_sub(run.held.millicores),
                ..Size::default()
            };
            let within = self.teams.get(run.team).has_quota_for(&more);
            if !within || !self.fleet.get(run.worker).free().can_hold(&more) {
                self.throttled_runs.push(slot);
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

/// Returns the memory use in MiB from which `held` counts as used up.
const fn full_memory(held: u64) -> u64 {
    held.saturating_mul(FULL_PERCENT) / 100
}
