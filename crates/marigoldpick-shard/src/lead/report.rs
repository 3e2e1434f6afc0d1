//! Workers' answers: who obeys, what runs, what ended.

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{self, Finished, Outcome, Report, Running};

use super::homes::Owner;
use super::ledger::Ending;
use super::member::{Act, Probe};
use super::takeover::Role;
use super::work::{Kind, Sent};
use super::{Lead, Notice, Output};

/// `Place` is where a task may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) worker: id::Worker,
    pub(super) attempt: u32,
}

impl Lead {
    pub(super) fn find(&self, worker: &id::Worker) -> Option<usize> {
        self.members.binary_search_by(|m| m.id.cmp(worker)).ok()
    }

    pub(super) fn answered(
        &mut self,
        call: u64,
        result: Result<worker::Answer, worker::Fault>,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let Some(sent) = self.calls.remove(&call) else {
            return;
        };
        let Some(at) = self.find(&sent.worker) else {
            return;
        };
        self.members[at].call = None;
        match result {
            Ok(answer) => self.heard(at, sent, answer, now, out),
            Err(fault) => self.worker_fault(at, sent, fault, now, out),
        }
    }

    fn heard(
        &mut self,
        at: usize,
        sent: Sent,
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
            self.event(out, "lead-fenced", note);
            return self.depose(now, out);
        }
        if report.epoch < self.epoch {
            // The worker has forgotten the claim: it was replaced or started anew.
            member.claimed = false;
            member.known = false;
            member.due = now;
            if let Kind::Start(run) = sent.kind {
                self.doubt_start(&run, Millis::ZERO);
            }
            return;
        }
        member.claimed = true;
        member.heard = member.heard.max(Some(sent.at));
        member.stamp = report.stamp;
        member.stamp_at = Some(now);
        self.freshen(at, &report, now);
        self.merge(at, report, out);
        self.after_call(at, sent.kind, answer.refused, out);
    }

    /// Notes how young the worker's runs are.
    fn freshen(&mut self, at: usize, report: &Report, now: Millis) {
        let began = |run: &Running| if run.stopping { now } else { now - run.age };
        if let Some(time) = report.running.iter().map(began).max() {
            self.members[at].freshen(time, now, self.settings.renew_ms);
        }
    }

    fn after_call(
        &mut self,
        at: usize,
        kind: Kind,
        refused: Option<worker::Refusal>,
        out: &mut Vec<Output>,
    ) {
        match (kind, refused) {
            (Kind::Start(run), None) => {
                let worker = self.members[at].id.clone();
                self.started(&run, &worker, out);
            }
            (Kind::Start(run), Some(refusal)) => self.start_refused(&run, refusal, out),
            (Kind::Act(Act::Throttle(run, millicores)), None) => {
                Self::notice(out, Notice::Throttled { run, millicores });
            }
            (Kind::Renew(acks), None) => self.members[at].acks.retain(|run| !acks.contains(run)),
            _ => {}
        }
    }

    /// Takes a report at the own epoch into account.
    fn merge(&mut self, at: usize, report: Report, out: &mut Vec<Output>) {
        let whole = report.whole;
        let stamp = report.stamp;
        let worker = self.members[at].id.clone();
        if whole {
            self.drop_vanished(at, &report, out);
        }
        for running in &report.running {
            self.note_running(at, &worker, running, out);
        }
        for finished in report.finished {
            self.finished(at, &worker, finished, out);
        }
        if whole {
            self.settle_doubts(&worker, stamp, out);
        }
        let doubt = self.has_doubt(&worker);
        let member = &mut self.members[at];
        if whole {
            member.known = true;
            member.want_whole = doubt;
        }
        // A report of changes does not do when all that it has was not yet seen.
        member.want_whole |= !member.known;
        if member.up {
            if std::mem::take(&mut member.silent) {
                Self::notice(out, Notice::WorkerHeard(worker.clone()));
            }
            if !report.running.is_empty() {
                let changed = report.running;
                Self::notice(out, Notice::WorkerReport { worker, changed });
            }
        } else {
            member.lost &= !member.known;
            member.arrive(report.running, whole);
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
        self.seen.insert(run.task.clone());
        let place = Place {
            worker: worker.clone(),
            attempt: run.attempt,
        };
        self.yield_start(run, out);
        self.drop_checkpoints(|task| *task == run.task);
        match self.placed.get(&run.task) {
            Some(have) if have.worker != *worker => {
                self.event(
                    out,
                    "task-twice",
                    format!("{run} on {worker} and {}", have.worker),
                );
                let act = super::member::Act::Stop(run.clone(), Millis::ZERO);
                self.members[at].queue.push_back(act);
                return;
            }
            _ => drop(self.placed.insert(run.task.clone(), place)),
        }
        self.members[at].add_run(run);
        self.started(run, worker, out);
    }

    /// Runs that a whole report no longer has ended with the worker's memory of them.
    fn drop_vanished(&mut self, at: usize, report: &Report, out: &mut Vec<Output>) {
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
                accepted: self.home(&run.task.job).map_or(0, |home| home.accepted),
                run,
                outcome: Outcome::Lapsed,
                age: Millis::ZERO,
                usage: None,
            };
            self.end(at, &worker, finished, false, out);
        }
    }

    fn finished(
        &mut self,
        at: usize,
        worker: &id::Worker,
        finished: Finished,
        out: &mut Vec<Output>,
    ) {
        let member = &self.members[at];
        if member.acks.contains(&finished.run) || member.ending.contains(&finished.run) {
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
            // The worker tells it again, and by then the configuration may have the job.
            Owner::Unknown => {
                self.members[at].want_whole = true;
                return;
            }
        }
        // That it ended here does not tell where the task is now: the earlier lead may have started it
        // elsewhere already. Only a run that was seen going on does.
        self.yield_start(&finished.run, out);
        self.started(&finished.run, worker, out);
        if self.is_over(&finished.run.task) {
            // The scheduler may have it as running, if it learned of it before the log could be read.
            return self.end(at, worker, finished, true, out);
        }
        if finished.outcome == Outcome::Done && self.is_recorded(&finished.run.task.job) {
            let member = &mut self.members[at];
            member.drop_run(&finished.run);
            member.ending.push(finished.run.clone());
            self.unplace(&finished.run, worker);
            self.endings.push(Ending {
                worker: worker.clone(),
                finished,
                written: false,
            });
            return;
        }
        if self.is_elsewhere(&finished.run.task, worker) {
            // A run of an earlier lead, under a name that the task's present run may have too.
            self.members[at].acks.push(finished.run);
            return;
        }
        self.end(at, worker, finished, true, out);
    }

    fn is_elsewhere(&self, task: &id::Task, worker: &id::Worker) -> bool {
        self.placed
            .get(task)
            .is_some_and(|place| place.worker != *worker)
    }

    fn end(
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
        Self::notice(out, Notice::Finished { worker, finished });
    }

    pub(super) fn unplace(&mut self, run: &id::Run, worker: &id::Worker) {
        let here = |place: &Place| place.worker == *worker && place.attempt == run.attempt;
        if self.placed.get(&run.task).is_some_and(here) {
            self.placed.remove(&run.task);
        }
    }
}
