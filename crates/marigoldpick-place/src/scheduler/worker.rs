//! Handles the events of workers: up, silent, heard again, gone and drained.

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
    pub(super) fn handle_worker_up(
        &mut self,
        vm: &vm::Worker,
        running: Vec<Running>,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let size = self.accelerators.register(&vm.size);
        self.teams.refresh(&self.accelerators);
        let slot = self.fleet.upsert(vm, size);
        let mut seen = Vec::with_capacity(running.len());
        for report in running {
            seen.push(self.record_reported_run(slot, report, now, out));
        }
        self.mark_missing(slot, &seen, now);
        self.unblock_all();
        self.mark_heard(&vm.id, out);
    }

    /// Records one reported run and returns its slot.
    fn record_reported_run(
        &mut self,
        worker: u32,
        report: Running,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> u32 {
        let id = &report.spec.run;
        let same = |slot: &u32| self.runs.get(*slot).is(id);
        let known = self.fleet.get(worker).runs.iter().copied().find(same);
        if let Some(slot) = known {
            self.update_reported_run(slot, report.stopping);
            return slot;
        }
        let slot = self.add_reported(worker, &report, now);
        self.match_reported_run(slot, out);
        slot
    }

    fn update_reported_run(&mut self, slot: u32, stopping: bool) {
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
        let held = self.accelerators.register(&report.spec.needs);
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

    /// Matches a reported run to its task, or keeps it as an orphan until its job is known.
    pub(super) fn match_reported_run(&mut self, slot: u32, out: &mut Vec<Action>) {
        let run = self.runs.get(slot);
        let (name, index, attempt) = (run.name.clone(), run.index, run.attempt);
        let Some(job) = self.jobs.slot(&name) else {
            self.orphans.entry(name).or_default().push(slot);
            return;
        };
        let state = self.jobs.get(job).task(index).map(|task| task.state);
        match state {
            Some(State::Waiting | State::Delayed) => {
                self.assign_run(job, slot);
                if self.jobs.get(job).cancelled {
                    self.stop(slot, Millis::ZERO, out);
                }
            }
            Some(State::Placed(other)) => {
                self.resolve_duplicate_runs(job, slot, other, attempt, out)
            }
            Some(State::Done | State::Failed | State::Cancelled) | None => {
                self.stop(slot, Millis::ZERO, out);
            }
        }
    }

    /// Keeps the run with the later attempt of two runs of one task, and stops the other.
    fn resolve_duplicate_runs(
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
            self.detach_run(other);
            self.assign_run(job, slot);
            self.stop(other, Millis::ZERO, out);
        } else {
            self.stop(slot, Millis::ZERO, out);
        }
    }

    /// Marks the runs that the worker should have listed but did not.
    fn mark_missing(&mut self, worker: u32, seen: &[u32], now: Millis) {
        for &slot in &self.fleet.get(worker).runs {
            let run = self.runs.get_mut(slot);
            let listed = run.phase == Phase::Starting || seen.contains(&slot);
            if !listed && !matches!(run.phase, Phase::Missing(_)) {
                run.phase = Phase::Missing(now);
                self.missing_runs.push(slot);
            }
        }
    }

    /// Ends missing runs whose end was not reported before the timeout.
    pub(super) fn expire_missing_runs(&mut self, now: Millis, out: &mut Vec<Action>) {
        let settle = self.settings.missing_timeout;
        for slot in std::mem::take(&mut self.missing_runs) {
            let phase = self.runs.find(slot).map(|run| run.phase);
            match phase {
                Some(Phase::Missing(at)) if now.since(at) >= settle => self.end_lost_run(slot, out),
                Some(Phase::Missing(_)) => self.missing_runs.push(slot),
                _ => {}
            }
        }
    }

    pub(super) fn handle_worker_heard(&mut self, id: &id::Worker) {
        let Some(slot) = self.fleet.slot(id) else {
            return;
        };
        self.fleet.update(slot, |worker| {
            if worker.state == fleet::State::Silent {
                worker.state = fleet::State::Up;
            }
        });
        self.unblock(slot);
    }

    pub(super) fn handle_worker_silent(&mut self, id: id::Worker) {
        match self.fleet.slot(&id) {
            Some(slot) => self.fleet.update(slot, |worker| {
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

    pub(super) fn handle_worker_gone(&mut self, id: &id::Worker, out: &mut Vec<Action>) {
        if let Some(slot) = self.fleet.slot(id) {
            self.fleet
                .update(slot, |worker| worker.state = fleet::State::Gone);
            let runs = self.fleet.get(slot).runs.clone();
            runs.into_iter().for_each(|run| self.end_lost_run(run, out));
        }
        self.mark_heard(id, out);
    }

    fn mark_heard(&mut self, id: &id::Worker, out: &mut Vec<Action>) {
        let Ok(at) = self.unheard.binary_search(id) else {
            return;
        };
        self.unheard.remove(at);
        if self.unheard.is_empty() {
            self.enqueue_all_jobs(out);
        }
    }

    pub(super) fn handle_worker_drain(&mut self, id: &id::Worker, on: bool, out: &mut Vec<Action>) {
        let Some(slot) = self.fleet.slot(id) else {
            return;
        };
        self.fleet.update(slot, |worker| worker.draining = on);
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
