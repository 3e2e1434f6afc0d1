//! Processing of workers' reports, which list running and ended runs.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Ended, Exit, Order, Report, Running};
use marigoldpick_core::work::{self, Task};

use super::Lead;
use super::release::{Evidence, Ground};
use crate::worker::{Phase, Run, Worker};

/// A running task without progress for this time is stalled, unless its progress is known to be slow.
const STALL_TIMEOUT: Millis = Millis(1_500);
/// A task stalls only after this multiple of the time in which it is expected to progress by one percent.
const STALL_FACTOR: u64 = 3;
/// The number of stalls that leave the timeout of a task as it is; each further one doubles it.
const UNCOUNTED_STALLS: u32 = 1;
/// The most doublings of the timeout.
const MAX_DOUBLINGS: u32 = 8;

/// Returns how long a run may make no progress, after earlier runs of its task have stalled.
///
/// Load pattern: a task takes minutes, or far longer than its estimate, and progresses by one percent in seconds. It is
/// not moved from worker to worker for good.
fn stall_timeout(run: &Run, stalls: u32) -> Millis {
    let worked = run.progressed_at.since(run.confirmed_at).0;
    let measured = worked.checked_div(u64::from(run.percent));
    let expected = measured.unwrap_or(0).max(run.estimate.0 / 100);
    let doublings = stalls.saturating_sub(UNCOUNTED_STALLS).min(MAX_DOUBLINGS);
    STALL_TIMEOUT
        .max(Millis(expected.saturating_mul(STALL_FACTOR)))
        .times(1 << doublings)
}
/// Above this share of a serving task's latency target, in percent, filling tasks slow down.
const HIGH_LATENCY_PERCENT: u64 = 80;
/// Below this share of a serving task's latency target, in percent, filling tasks speed up.
const LOW_LATENCY_PERCENT: u64 = 50;
/// The step by which the pace of filling tasks rises, in percent.
const PACE_STEP_PERCENT: u32 = 20;

impl Lead {
    /// Handles a report that was requested at `sent`.
    ///
    /// `is_prompt` says whether ends were reported as they happened; only then do they measure run
    /// times.
    pub(super) fn handle_report(
        &mut self,
        at: usize,
        report: Report,
        sent: Millis,
        is_prompt: bool,
        now: Millis,
    ) {
        let worker = &mut self.workers[at];
        worker.has_hidden_ends = report.is_cut;
        if worker.stops_until.is_some_and(|until| until <= sent) {
            worker.stops_until = None;
            self.needs_pass = true;
        }
        let mut ended = report.ended;
        ended.sort_by_key(|end| end.number);
        for end in ended {
            if end.number > self.workers[at].last_end {
                self.workers[at].last_end = end.number;
                self.handle_end(at, &end, is_prompt, now);
            }
        }
        for running in &report.running {
            self.handle_running(at, running, now);
            self.clear_settled(at, running, sent);
        }
        // A run that is missing in a report whose list of ends is cut may have ended as done.
        if !report.is_cut {
            self.handle_missing_runs(at, &report.running, sent, now);
        }
        self.adjust_pace(at, &report.running);
    }

    /// Handles a run that the worker reports as running.
    fn handle_running(&mut self, at: usize, running: &Running, now: Millis) {
        let worker = &mut self.workers[at];
        let Some(run) = worker.run_mut(&running.task, running.run) else {
            self.handle_unexpected_run(at, running, now);
            return;
        };
        if run.percent != running.percent {
            run.percent = running.percent;
            run.progressed_at = now;
        }
        run.outlived = false;
        if matches!(run.phase, Phase::Ordered | Phase::Unknown(_)) {
            run.phase = Phase::Running;
            run.confirmed_at = now;
            self.mark_started(&running.task);
        }
        self.check_stall(at, &running.task, running.run, now);
        if !running.checkpoint.is_empty()
            && let Some(job) = self.job_index(&running.task.part.job)
            && let part = &running.task.part
            && let Some(stage) = self.jobs[job].stage_mut(part.occurrence, part.step)
        {
            let Running {
                run,
                percent,
                checkpoint,
                ..
            } = running;
            stage.record_checkpoint(running.task.index, *run, *percent, checkpoint);
        }
    }

    /// Stops a stalled run, so that its task is placed elsewhere.
    ///
    /// Load pattern: tasks on some workers make no progress for seconds while the workers answer
    /// every call. For comparison, a task of 30 s progresses by one percent every 300 ms.
    fn check_stall(&mut self, at: usize, task: &Task, run: u64, now: Millis) {
        let job = self.job(&task.part.job);
        let stalls = job
            .and_then(|job| job.task(task))
            .map_or(0, |task| task.stalls);
        let worker = &mut self.workers[at];
        let Some(entry) = worker.run_mut(task, run) else {
            return;
        };
        let timeout = stall_timeout(entry, stalls);
        let works_alone = !entry.lasting && !entry.fills && !entry.gang;
        let has_stalled =
            now.since(entry.progressed_at) >= timeout && now.since(entry.confirmed_at) >= timeout;
        if works_alone && has_stalled && entry.phase == Phase::Running && entry.percent < 100 {
            entry.phase = Phase::Stop;
            let percent = entry.percent;
            worker.has_stops = true;
            let detail = format!("worker={} run={run} percent={percent}", worker.node.id);
            worker.quarantine_stalled(now);
            self.log("run-stalled", task.to_string(), detail);
            if let Some(job) = self.job_index(&task.part.job)
                && let Some(state) = self.jobs[job].task_mut(task)
            {
                state.stalls += 1;
            }
        }
    }

    /// Handles an unexpected run: adopts it if its task runs nowhere else, and stops it otherwise.
    ///
    /// The task is placed there in both cases, so that it does not start elsewhere before the run has ended.
    fn handle_unexpected_run(&mut self, at: usize, running: &Running, now: Millis) {
        let task = &running.task;
        let job = self.job_index(&task.part.job);
        self.has_unknown_runs |= job.is_none();
        let open = job.filter(|job| !self.jobs[*job].phase.is_over());
        let state = open.and_then(|job| self.jobs[job].task_mut(task));
        let is_open = state.as_ref().is_some_and(|state| !state.done);
        let wanted = state.is_some_and(|state| state.is_unplaced());
        let phase = if wanted { Phase::Running } else { Phase::Stop };
        let unknown = || Run::new(task.clone(), running.run, Phase::Stop, now);
        let mut run = self
            .new_run(task, running.run, phase, now)
            .unwrap_or_else(unknown);
        run.recorded_by = match job {
            Some(job) if wanted => self.jobs[job].revision + 1,
            _ => u64::MAX,
        };
        self.note_unrecorded();
        self.add_run(at, run);
        let detail = format!("run={} adopted={wanted}", running.run);
        self.log("run-found", task.to_string(), detail);
        self.releases.take(task);
        if is_open && let Some(job) = job {
            let worker = self.workers[at].node.id.clone();
            if let Some(state) = self.jobs[job].task_mut(task) {
                state.places.push(crate::job::Place {
                    worker,
                    run: running.run,
                });
            }
            self.mark_started(task);
            self.mark_changed(job);
        }
    }

    /// Handles expected runs that are missing from a report requested at `sent`.
    fn handle_missing_runs(&mut self, at: usize, running: &[Running], sent: Millis, now: Millis) {
        let stop_bound = self.settings.stop_bound();
        let is_reported = |run: &Run| {
            running
                .iter()
                .any(|reported| reported.run == run.run && reported.task == run.task)
        };
        let mut gone: Vec<(Task, u64, Millis)> = Vec::new();
        let mut outlived: Vec<(Task, u64)> = Vec::new();
        let mut lost: Vec<(Task, u64)> = Vec::new();
        for run in &mut self.workers[at].runs {
            match run.phase {
                // Until the stop completes, the run may be in neither list and still occupy the
                // worker.
                Phase::Stopped(since) if since + stop_bound <= sent && !is_reported(run) => {
                    gone.push((run.task.clone(), run.run, since));
                }
                // The report answers an order with a token under which no earlier start is carried out any more.
                Phase::Ordered | Phase::Unknown(_) | Phase::Running
                    if run.outlived && !is_reported(run) =>
                {
                    outlived.push((run.task.clone(), run.run));
                }
                // The start has not arrived; the stop makes the worker reject it if it still does.
                Phase::Unknown(since) if since <= sent && !is_reported(run) => {
                    run.phase = Phase::Stop;
                    lost.push((run.task.clone(), run.run));
                }
                Phase::Running if run.confirmed_at < sent && !is_reported(run) => {
                    run.phase = Phase::Stop;
                    lost.push((run.task.clone(), run.run));
                }
                _ => {}
            }
        }
        self.workers[at].has_stops |= !lost.is_empty();
        for (task, run, since) in gone {
            let evidence = Evidence::new(Ground::Stopped, since);
            self.release_run(at, &task, run, evidence, now);
        }
        for (task, run) in outlived {
            let evidence = Evidence::new(Ground::Outlived, sent);
            self.release_run(at, &task, run, evidence, now);
            self.stop_gang(&task, run, now);
        }
        for (task, run) in lost {
            self.stop_gang(&task, run, now);
        }
    }

    /// Handles the end of a run.
    fn handle_end(&mut self, at: usize, end: &Ended, is_prompt: bool, now: Millis) {
        self.counters.ends += 1;
        let run = self.remove_run(at, &end.task, end.run);
        if let Some(run) = &run
            && end.how == Exit::Done
            && run.phase == Phase::Running
            && is_prompt
        {
            self.record_slowdown(at, run, now);
        }
        if matches!(end.how, Exit::Done | Exit::Failed) {
            self.workers[at].record_outcome(end.how == Exit::Failed, now);
        }
        let worker = self.workers[at].node.id.clone();
        if end.how != Exit::Done {
            let detail = format!("worker={worker} run={} how={}", end.run, end.how);
            self.log("run-ended", end.task.to_string(), detail);
            self.releases.record(&end.task, end.run);
        }
        self.remove_place(&end.task, end.run, &worker);
        self.clear_ended(end);
        self.needs_pass = true;
        let Some(job) = self.job_index(&end.task.part.job) else {
            return;
        };
        if !self.jobs[job].phase.is_over() {
            self.mark_started(&end.task);
            self.apply_end(job, &worker, end, now);
        }
        self.jobs[job].settle(&end.task);
        let revision = self.jobs[job].revision;
        if self.jobs[job].stored_revision < revision {
            let id = end.task.part.job.clone();
            self.workers[at]
                .unrecorded_ends
                .push_back((end.number, id, revision));
        }
    }

    fn apply_end(&mut self, at: usize, worker: &id::Worker, end: &Ended, now: Millis) {
        let Some(step) = self.jobs[at].step(&end.task.part) else {
            return;
        };
        let (gang, lasting) = (step.gang, step.lasting);
        let Some(stage) = self.jobs[at].stage_mut(end.task.part.occurrence, end.task.part.step)
        else {
            return;
        };
        // The failures of all members of a gang are counted on its first task.
        let index = if gang { 0 } else { end.task.index };
        match end.how {
            Exit::Done if !lasting => {
                let unfinished = stage.unfinished;
                if gang {
                    stage.finish_all();
                } else {
                    stage.finish_task(end.task.index);
                }
                let (left, tasks) = (stage.unfinished, stage.count());
                self.record_throughput(at, &end.task.part, unfinished - left, now);
                if left == 0 {
                    let detail = format!("tasks={tasks}");
                    self.log("step-done", end.task.part.to_string(), detail);
                    self.update_estimates(at);
                    self.mark_waiting(at);
                }
                self.mark_changed(at);
                self.stop_copies(at, &end.task, gang, now);
                if self.jobs[at].is_done() {
                    self.finish_job(at, work::Phase::Completed, now);
                }
            }
            Exit::Failed if !lasting => {
                let Some(task) = stage.task_mut(index) else {
                    return;
                };
                if !task.failed.contains(&end.run) {
                    task.failed.push(end.run);
                }
                task.avoid.push(worker.clone());
                self.mark_changed(at);
                self.record_failures(at);
                self.resolve_failures(now);
            }
            _ => {
                stage.record_last_checkpoint(end.task.index, end.run, &end.checkpoint);
                self.mark_changed(at);
            }
        }
    }

    /// Queues a job with a failed task for the decision whether the job fails.
    pub(super) fn record_failures(&mut self, at: usize) {
        let job = &self.jobs[at];
        if job.phase.is_over() || !(job.has_failed(1) || job.has_given_up()) {
            return;
        }
        if let Err(place) = self.unresolved_failures.binary_search(&job.id) {
            self.unresolved_failures.insert(place, job.id.clone());
        }
    }

    /// Fails the jobs with a task that has no attempts left.
    ///
    /// A job is not decided while its queue is unknown, or while a worker that has not reported may
    /// have finished the task.
    pub(super) fn resolve_failures(&mut self, now: Millis) {
        if self.unresolved_failures.is_empty() {
            return;
        }
        let unrecorded = self.unrecorded_runs(now);
        for id in std::mem::take(&mut self.unresolved_failures) {
            let Some(at) = self.job_index(&id) else {
                continue;
            };
            let job = &self.jobs[at];
            if job.phase.is_over() {
                continue;
            }
            match self.queue(&job.spec.queue) {
                Some(queue) if !unrecorded.can_include(job) => {
                    if job.has_failed(queue.attempts.max(1)) || job.has_given_up() {
                        self.finish_job(at, work::Phase::Failed, now);
                    }
                }
                _ => self.unresolved_failures.push(id),
            }
        }
    }

    /// Stops the remaining runs of a finished task.
    fn stop_copies(&mut self, at: usize, task: &Task, gang: bool, now: Millis) {
        if gang {
            return;
        }
        let places = self.jobs[at]
            .task(task)
            .map(|state| state.places.clone())
            .unwrap_or_default();
        for place in places {
            self.stop_run(task, &place.worker, place.run, now);
        }
    }

    fn record_slowdown(&mut self, at: usize, run: &Run, now: Millis) {
        let Some(step) = self
            .job(&run.task.part.job)
            .and_then(|job| job.step(&run.task.part))
        else {
            return;
        };
        let estimate = step.estimate.0;
        if estimate == 0 || step.fills || step.rack.is_some() || step.gang {
            return;
        }
        let permille = now.since(run.confirmed_at).0 * 1_000 / estimate;
        let Worker { slowdown, node, .. } = &mut self.workers[at];
        self.slowdowns
            .record(slowdown, node.kind.as_ref(), permille);
    }

    /// Adjusts the pace of filling tasks on a worker to the latency of its serving tasks.
    ///
    /// Filling tasks slow down while a serving task is close to its latency target, pause while it
    /// exceeds the target, and speed up when its latency is low again.
    fn adjust_pace(&mut self, at: usize, running: &[Running]) {
        let worker = &self.workers[at];
        let latency_percent = running
            .iter()
            .filter_map(|reported| {
                let found = worker.find_run(&reported.task, reported.run).ok()?;
                let target = worker.runs[found].target?;
                Some(reported.figure.saturating_mul(100) / target.0.max(1))
            })
            .max();
        let Some(latency_percent) = latency_percent else {
            return;
        };
        let mut paces = Vec::new();
        for run in &mut self.workers[at].runs {
            if !run.fills || run.phase != Phase::Running {
                continue;
            }
            let pace = if latency_percent > 100 {
                0
            } else if latency_percent > HIGH_LATENCY_PERCENT {
                run.pace / 2
            } else if latency_percent < LOW_LATENCY_PERCENT {
                (run.pace + PACE_STEP_PERCENT).min(100)
            } else {
                run.pace
            };
            if pace != run.pace {
                run.pace = pace;
                paces.push((run.task.clone(), run.run, pace));
            }
        }
        for (task, run, percent) in paces {
            self.send_order(at, Order::Pace { task, run, percent });
        }
    }
}
