//! Handling of the workers' answers: their epochs, running tasks and ended runs.

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{self, Finished, Outcome, Report, Running};

use super::calls::{InFlight, Purpose};
use super::jobs::Owner;
use super::log_writer::Completion;
use super::member::{Command, Probe};
use super::takeover::Role;
use super::{Lead, Notice, Output};

/// `Placement` is the worker on which a task runs or may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Placement {
    pub(super) worker: id::Worker,
    pub(super) attempt: u32,
}

impl Lead {
    pub(super) fn find_member(&self, worker: &id::Worker) -> Option<usize> {
        self.members.binary_search_by(|m| m.id.cmp(worker)).ok()
    }

    pub(super) fn handle_worker_answer(
        &mut self,
        call: u64,
        result: Result<worker::Answer, worker::Fault>,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let Some(sent) = self.calls.remove(&call) else {
            return;
        };
        let Some(at) = self.find_member(&sent.worker) else {
            return;
        };
        self.members[at].call = None;
        match result {
            Ok(answer) => self.handle_report(at, sent, answer, now, out),
            Err(fault) => self.handle_worker_fault(at, sent, fault, now, out),
        }
    }

    fn handle_report(
        &mut self,
        at: usize,
        sent: InFlight,
        answer: worker::Answer,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let report = answer.report;
        let member = &mut self.members[at];
        member.failing = false;
        member.probe = Some(Probe {
            sent: sent.at,
            epoch: report.epoch,
            left: report.lease_end - report.stamp,
        });
        if !matches!(self.role, Role::Claim { .. } | Role::Lead) {
            return;
        }
        if report.epoch > self.epoch {
            let note = format!("by {} {}", report.epoch.tenure, report.epoch.interim);
            self.push_event(out, "lead-fenced", note);
            return self.depose(now, out);
        }
        if report.epoch < self.epoch {
            // The worker has lost the claim because it was replaced or restarted.
            member.claimed = false;
            member.known = false;
            member.due = now;
            if let Purpose::Start(run) = sent.purpose {
                self.doubt_start(&run, Millis::ZERO);
            }
            return;
        }
        member.claimed = true;
        member.heard_at = member.heard_at.max(Some(sent.at));
        member.stamp = report.stamp;
        member.stamp_at = Some(now);
        self.note_run_ages(at, &report, now);
        self.apply_report(at, report, out);
        self.handle_call_result(at, sent.purpose, answer.refused, out);
    }

    /// Records when the worker's youngest run began; a stopping run counts as just begun.
    fn note_run_ages(&mut self, at: usize, report: &Report, now: Millis) {
        let began = |run: &Running| if run.stopping { now } else { now - run.age };
        if let Some(time) = report.running.iter().map(began).max() {
            self.members[at].note_activity(time, now, self.settings.renew_ms);
        }
    }

    fn handle_call_result(
        &mut self,
        at: usize,
        purpose: Purpose,
        refused: Option<worker::Refusal>,
        out: &mut Vec<Output>,
    ) {
        match (purpose, refused) {
            (Purpose::Start(run), None) => {
                let worker = self.members[at].id.clone();
                self.confirm_start(&run, &worker, out);
            }
            (Purpose::Start(run), Some(refusal)) => self.start_refused(&run, refusal, out),
            (Purpose::Command(Command::Throttle(run, millicores)), None) => {
                Self::push_notice(out, Notice::Throttled { run, millicores });
            }
            (Purpose::Renew(acks), None) => self.members[at].acks.retain(|run| !acks.contains(run)),
            _ => {}
        }
    }

    /// Applies a report at this lead's epoch.
    fn apply_report(&mut self, at: usize, report: Report, out: &mut Vec<Output>) {
        let whole = report.whole;
        let stamp = report.stamp;
        let worker = self.members[at].id.clone();
        if whole {
            self.end_vanished_runs(at, &report, out);
        }
        for running in &report.running {
            self.note_running(at, &worker, running, out);
        }
        for finished in report.finished {
            self.handle_finished(at, &worker, finished, out);
        }
        if whole {
            self.resolve_uncertain_starts(&worker, stamp, out);
        }
        let doubt = self.has_uncertain_start(&worker);
        let member = &mut self.members[at];
        if whole {
            member.known = true;
            member.needs_whole_report = doubt;
        }
        // A report of changes is not enough before a whole report was seen.
        member.needs_whole_report |= !member.known;
        if member.up {
            if std::mem::take(&mut member.silent) {
                Self::push_notice(out, Notice::WorkerHeard(worker.clone()));
            }
            if !report.running.is_empty() {
                let changed = report.running;
                Self::push_notice(out, Notice::WorkerReport { worker, changed });
            }
        } else {
            member.lost &= !member.known;
            member.note_initial_runs(report.running, whole);
        }
    }

    fn note_running(
        &mut self,
        at: usize,
        worker: &id::Worker,
        running: &Running,
        out: &mut Vec<Output>,
    ) {
        let run = &running.spec.run;
        self.seen_tasks.insert(run.task.clone());
        let placement = Placement {
            worker: worker.clone(),
            attempt: run.attempt,
        };
        self.abandon_start(run, out);
        self.release_checkpoints(|task| *task == run.task);
        match self.placements.get(&run.task) {
            Some(have) if have.worker != *worker => {
                self.push_event(
                    out,
                    "task-twice",
                    format!("{run} on {worker} and {}", have.worker),
                );
                let command = super::member::Command::Stop(run.clone(), Millis::ZERO);
                self.members[at].commands.push_back(command);
                return;
            }
            _ => drop(self.placements.insert(run.task.clone(), placement)),
        }
        self.members[at].add_run(run);
        self.confirm_start(run, worker, out);
    }

    /// Ends the runs that are missing from a whole report, because the worker has lost its state.
    fn end_vanished_runs(&mut self, at: usize, report: &Report, out: &mut Vec<Output>) {
        let there = |run: &id::Run| {
            report.running.iter().any(|r| r.spec.run == *run)
                || report.finished.iter().any(|f| f.run == *run)
        };
        let member = &self.members[at];
        let worker = member.id.clone();
        let gone: Vec<id::Run> = member
            .runs
            .iter()
            .filter(|run| !there(run))
            .cloned()
            .collect();
        for run in gone {
            let finished = Finished {
                accepted: self
                    .homed_job(&run.task.job)
                    .map_or(0, |home| home.accepted),
                run,
                outcome: Outcome::Lapsed,
                age: Millis::ZERO,
                usage: None,
            };
            self.end_run(at, &worker, finished, false, out);
        }
    }

    fn handle_finished(
        &mut self,
        at: usize,
        worker: &id::Worker,
        finished: Finished,
        out: &mut Vec<Output>,
    ) {
        let member = &self.members[at];
        if member.acks.contains(&finished.run) || member.unrecorded.contains(&finished.run) {
            return;
        }
        match self.owner(&finished) {
            Owner::Homed => {}
            Owner::Past => {
                let member = &mut self.members[at];
                member.drop_run(&finished.run);
                member.acks.push(finished.run.clone());
                self.unplace(&finished.run, worker);
                return;
            }
            // The worker reports the run again, and the configuration may have the job by then.
            Owner::Unknown => {
                self.members[at].needs_whole_report = true;
                return;
            }
        }
        // The end of a run on this worker does not show where the task is now, since an earlier lead
        // may have started it on another worker. Only a running task shows that.
        self.abandon_start(&finished.run, out);
        self.confirm_start(&finished.run, worker, out);
        if self.is_over(&finished.run.task) {
            // The scheduler may consider it running, if it was notified before the log could be read.
            return self.end_run(at, worker, finished, true, out);
        }
        if finished.outcome == Outcome::Done && self.is_recorded(&finished.run.task.job) {
            let member = &mut self.members[at];
            member.drop_run(&finished.run);
            member.unrecorded.push(finished.run.clone());
            self.unplace(&finished.run, worker);
            self.completions.push(Completion {
                worker: worker.clone(),
                finished,
                written: false,
            });
            return;
        }
        if self.is_elsewhere(&finished.run.task, worker) {
            // A run of an earlier lead, whose id the task's present run may share.
            self.members[at].acks.push(finished.run);
            return;
        }
        self.end_run(at, worker, finished, true, out);
    }

    fn is_elsewhere(&self, task: &id::Task, worker: &id::Worker) -> bool {
        self.placements
            .get(task)
            .is_some_and(|placement| placement.worker != *worker)
    }

    fn end_run(
        &mut self,
        at: usize,
        worker: &id::Worker,
        finished: Finished,
        ack: bool,
        out: &mut Vec<Output>,
    ) {
        let member = &mut self.members[at];
        member.drop_run(&finished.run);
        match finished.outcome {
            Outcome::Checkpointed(_) if ack => self.keep_checkpoint(at, finished.clone()),
            _ if ack => member.acks.push(finished.run.clone()),
            _ => {}
        }
        self.unplace(&finished.run, worker);
        let worker = worker.clone();
        Self::push_notice(out, Notice::Finished { worker, finished });
    }

    pub(super) fn unplace(&mut self, run: &id::Run, worker: &id::Worker) {
        let here =
            |placement: &Placement| placement.worker == *worker && placement.attempt == run.attempt;
        if self.placements.get(&run.task).is_some_and(here) {
            self.placements.remove(&run.task);
        }
    }
}
