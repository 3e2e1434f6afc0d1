//! Workers: how they come up, fall silent, go and are drained.

use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::Running;

use super::Scheduler;
use crate::action::Action;
use crate::fleet;
use crate::job::State;
use crate::run::{Phase, Run};
use crate::score::Policy;

impl<P: Policy> Scheduler<P> {
    pub(super) fn worker_up(
        &mut self,
        vm: &vm::Worker,
        running: Vec<Running>,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let size = self.accelerators.learn(&vm.size);
        self.teams.refresh(&self.accelerators);
        let slot = self.fleet.put(vm, size);
        let mut seen = Vec::with_capacity(running.len());
        for report in running {
            seen.push(self.see(slot, report, now, out));
        }
        self.miss(slot, &seen, now);
        self.unblock_all();
        self.heard(&vm.id, out);
    }

    /// Takes over one reported run and returns its slot.
    fn see(&mut self, worker: u32, report: Running, now: Millis, out: &mut Vec<Action>) -> u32 {
        let id = &report.spec.run;
        let same = |slot: &u32| self.runs.get(*slot).is(id);
        let known = self.fleet.get(worker).runs.iter().copied().find(same);
        if let Some(slot) = known {
            self.see_again(slot, report.stopping);
            return slot;
        }
        let slot = self.add_reported(worker, &report, now);
        self.adopt(slot, out);
        slot
    }

    fn see_again(&mut self, slot: u32, stopping: bool) {
        let run = self.runs.get_mut(slot);
        match run.phase {
            Phase::Starting | Phase::Missing(_) => run.phase = Phase::Running,
            Phase::Running | Phase::Stopping => {}
        }
        if stopping {
            run.phase = Phase::Stopping;
        }
    }

    fn add_reported(&mut self, worker: u32, report: &Running, now: Millis) -> u32 {
        let held = self.accelerators.learn(&report.spec.needs);
        let id = &report.spec.run;
        let team = self.teams.slot(&report.spec.team);
        self.add_run(Run {
            name: id.task.job.clone(),
            job: None,
            index: id.task.index,
            attempt: id.attempt,
            worker,
            team,
            held,
            phase: if report.stopping {
                Phase::Stopping
            } else {
                Phase::Running
            },
            since: now - report.age,
            limit: None,
            displaced: None,
            serial: 0,
            young: false,
        })
    }

    /// Joins a reported run with its task, or keeps it until its job is known.
    pub(super) fn adopt(&mut self, slot: u32, out: &mut Vec<Action>) {
        let run = self.runs.get(slot);
        let (name, index, attempt) = (run.name.clone(), run.index, run.attempt);
        let Some(job) = self.jobs.slot(&name) else {
            self.orphans.entry(name).or_default().push(slot);
            return;
        };
        let state = self.jobs.get(job).task(index).map(|task| task.state);
        match state {
            Some(State::Waiting | State::Delayed) => {
                self.adopt_run(job, slot);
                if self.jobs.get(job).cancelled {
                    self.stop(slot, Millis::ZERO, out);
                }
            }
            Some(State::Placed(other)) => self.settle_twice(job, slot, other, attempt, out),
            Some(State::Done | State::Failed | State::Cancelled) | None => {
                self.stop(slot, Millis::ZERO, out);
            }
        }
    }

    /// Keeps the later of two runs of one task and stops the earlier.
    fn settle_twice(
        &mut self,
        job: u32,
        slot: u32,
        other: u32,
        attempt: u32,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Event {
            what: "two-runs",
            about: self.runs.get(slot).id().to_string(),
            note: "a task was found running twice; the earlier run is stopped".to_owned(),
        });
        if attempt > self.runs.get(other).attempt {
            self.disown(other);
            self.adopt_run(job, slot);
            self.stop(other, Millis::ZERO, out);
        } else {
            self.stop(slot, Millis::ZERO, out);
        }
    }

    /// Marks runs that the worker should have listed.
    fn miss(&mut self, worker: u32, seen: &[u32], now: Millis) {
        for &slot in &self.fleet.get(worker).runs {
            let run = self.runs.get_mut(slot);
            let listed = run.phase == Phase::Starting || seen.contains(&slot);
            if !listed && !matches!(run.phase, Phase::Missing(_)) {
                run.phase = Phase::Missing(now);
                self.missing.push(slot);
            }
        }
    }

    /// Ends runs whose end was not told in time after the worker had no longer listed them.
    pub(super) fn settle_missing(&mut self, now: Millis, out: &mut Vec<Action>) {
        let settle = self.settings.settle;
        for slot in std::mem::take(&mut self.missing) {
            let phase = self.runs.find(slot).map(|run| run.phase);
            match phase {
                Some(Phase::Missing(at)) if now.since(at) >= settle => self.lose(slot, out),
                Some(Phase::Missing(_)) => self.missing.push(slot),
                _ => {}
            }
        }
    }

    pub(super) fn worker_heard(&mut self, id: &id::Worker) {
        let Some(slot) = self.fleet.slot(id) else {
            return;
        };
        self.fleet.change(slot, |worker| {
            if worker.state == fleet::State::Silent {
                worker.state = fleet::State::Up;
            }
        });
        self.unblock(slot);
    }

    pub(super) fn worker_silent(&mut self, id: id::Worker) {
        match self.fleet.slot(&id) {
            Some(slot) => self.fleet.change(slot, |worker| {
                if worker.state == fleet::State::Up {
                    worker.state = fleet::State::Silent;
                }
            }),
            None => {
                if let Err(at) = self.unheard.binary_search(&id) {
                    self.unheard.insert(at, id);
                }
            }
        }
    }

    pub(super) fn worker_gone(&mut self, id: &id::Worker, out: &mut Vec<Action>) {
        if let Some(slot) = self.fleet.slot(id) {
            self.fleet
                .change(slot, |worker| worker.state = fleet::State::Gone);
            let runs = self.fleet.get(slot).runs.clone();
            runs.into_iter().for_each(|run| self.lose(run, out));
        }
        self.heard(id, out);
    }

    fn heard(&mut self, id: &id::Worker, out: &mut Vec<Action>) {
        let Ok(at) = self.unheard.binary_search(id) else {
            return;
        };
        self.unheard.remove(at);
        if self.unheard.is_empty() {
            self.all_heard(out);
        }
    }

    pub(super) fn worker_drain(&mut self, id: &id::Worker, on: bool, out: &mut Vec<Action>) {
        let Some(slot) = self.fleet.slot(id) else {
            return;
        };
        self.fleet.change(slot, |worker| worker.draining = on);
        if !on {
            self.unblock(slot);
            return;
        }
        for run in self.fleet.get(slot).runs.clone() {
            let Some(job) = self.runs.get(run).job else {
                continue;
            };
            let spec = &self.jobs.get(job).spec;
            if spec.idempotent {
                let grace = spec.stop_ms;
                self.stop(run, grace, out);
            }
        }
    }
}
