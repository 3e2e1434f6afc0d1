//! Holds: renewing leases, and reading what runs and what ended.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Ended, Fault, How, Order, Reply, Report, Running};
use marigoldpick_core::work::{self, Task};

use super::Lead;
use crate::worker::{Phase, Run, Worker};

/// The longest wait between holds of a worker on which nothing runs.
const IDLE: Millis = Millis(5_000);
/// The wait of a hold on a worker where serving and filling tasks meet.
const CLOSE_WATCH: Millis = Millis(400);
/// A task that has not moved for this long stands still.
const STALL: Millis = Millis(1_500);
/// Workers of a failure domain that do not answer before all of it is suspected.
const QUIET_DOMAIN: usize = 3;
/// A serving task above this share of its target is disturbed, in percent.
const TENSE: u64 = 80;
/// A serving task below this share of its target has room for filling tasks, in percent.
const CALM: u64 = 50;
/// The step by which filling tasks may work more, in percent.
const EASE: u32 = 20;

impl Lead {
    pub(super) fn give_holds(&mut self, now: Millis) {
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            if worker.node.address.is_empty() {
                continue;
            }
            if worker.holding {
                if worker.suspect && !worker.probing && worker.hold_wait > Millis::ZERO {
                    self.probe(at);
                }
                continue;
            }
            if now < worker.next_hold && !worker.suspect {
                continue;
            }
            if worker.listed && worker.runs.is_empty() && worker.unsettled.is_empty() {
                let recent = worker.clock.is_some_and(|(_, read)| now.since(read) < IDLE);
                if recent && worker.acknowledged == worker.seen && worker.answers() {
                    continue;
                }
            }
            self.hold(at, now);
        }
    }

    /// Asks a worker for a report at once, beside a hold that waits.
    fn probe(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        worker.probing = true;
        let seen = worker.acknowledged;
        self.count.holds += 1;
        self.order(
            at,
            Order::Hold {
                until: None,
                seen,
                wait: Millis::ZERO,
            },
        );
    }

    fn hold(&mut self, at: usize, now: Millis) {
        let jobs = &self.jobs;
        let stored = |id: &id::Job| {
            let found = jobs.binary_search_by(|job| job.id.cmp(id));
            found.ok().map(|at| jobs[at].stored)
        };
        let settings = self.settings;
        let worker = &mut self.workers[at];
        let seen = worker.settle(stored);
        // The first hold of a term renews nothing, so that it can't prolong what is not ours. Nor
        // does one to a silent worker: it might arrive, and the lease would never be known to end.
        let renews = worker.listed && worker.answers() && !worker.runs.is_empty();
        let until = if renews {
            worker.extend(&settings, now)
        } else {
            None
        };
        let quiet = worker.runs.is_empty() || !worker.listed || !worker.answers();
        let wait = if quiet || seen < worker.seen {
            Millis::ZERO
        } else if worker.runs.iter().any(|run| run.fills)
            && worker.runs.iter().any(|run| run.target.is_some())
        {
            CLOSE_WATCH
        } else {
            settings.hold_wait
        };
        // A report that is asked for once a stop is over frees the room.
        let stopping = settings.stopping();
        let stops = worker.runs.iter().filter_map(|run| match run.phase {
            Phase::Stopped(since) => Some((since + stopping).since(now)),
            _ => None,
        });
        let wait = stops.fold(wait, Millis::min);
        worker.holding = true;
        worker.hold_wait = wait;
        self.count.holds += 1;
        self.order(at, Order::Hold { until, seen, wait });
    }

    pub(super) fn held(
        &mut self,
        at: usize,
        (seen, wait): (u64, Millis),
        answer: Result<Reply, Fault>,
        sent: Millis,
        now: Millis,
    ) {
        let settings = self.settings;
        let worker = &mut self.workers[at];
        if worker.probing && wait == Millis::ZERO {
            worker.probing = false;
        } else {
            worker.holding = false;
        }
        match answer {
            Ok(reply) => {
                if reply.born > worker.node.born {
                    let mut node = worker.node.clone();
                    node.born = reply.born;
                    self.renew_node(at, node, now);
                }
                let worker = &mut self.workers[at];
                worker.read_clock(reply.clock, &settings, now);
                let is_back = !worker.answers() || !worker.listed;
                self.unscheduled |= is_back;
                if !worker.listed {
                    worker.note_fenced(&settings, now);
                }
                worker.silent = 0;
                worker.suspect = false;
                worker.listed = true;
                worker.acknowledged = worker.acknowledged.max(seen);
                worker.next_hold = if is_back {
                    now
                } else {
                    now + settings.hold_gap
                };
                if let Some(report) = reply.report {
                    self.read(at, report, sent, now);
                }
            }
            Err(fault) => {
                worker.silent = worker.silent.saturating_add(1);
                worker.suspect = false;
                worker.next_hold = now + settings.hold_retry;
                let detail = format!("why={fault} silent={}", worker.silent);
                if worker.silent == 1 {
                    let about = worker.node.id.to_string();
                    self.note("worker-silent", about, detail);
                    self.suspect_domain(at);
                }
            }
        }
    }

    /// Notes that an order to a worker was not answered.
    pub(super) fn suspect(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        if worker.answers() {
            worker.suspect = true;
            self.suspect_domain(at);
        }
    }

    /// Suspects all workers of a failure domain in which several do not answer at the same time.
    ///
    /// Load pattern: a domain is cut off while starts go on. Each start that is sent there waits for
    /// a lease to lapse, so the others are probed before they get more.
    fn suspect_domain(&mut self, at: usize) {
        let domain = self.workers[at].node.domain.clone();
        let of_domain = |worker: &Worker| worker.node.domain == domain && worker.present;
        let quiet = self.workers.iter().filter(|w| of_domain(w) && !w.answers());
        if quiet.count() < QUIET_DOMAIN {
            return;
        }
        for worker in &mut self.workers {
            if of_domain(worker) && worker.answers() && worker.listed {
                worker.suspect = true;
            }
        }
    }

    fn read(&mut self, at: usize, report: Report, sent: Millis, now: Millis) {
        let mut ended = report.ended;
        ended.sort_by_key(|end| end.number);
        for end in ended {
            if end.number > self.workers[at].seen {
                self.workers[at].seen = end.number;
                self.ended(at, &end, now);
            }
        }
        for running in &report.running {
            self.running(at, running, now);
        }
        self.missing(at, &report.running, sent);
        self.pace(at, &report.running);
    }

    /// Takes in a run that goes on.
    fn running(&mut self, at: usize, running: &Running, now: Millis) {
        let worker = &mut self.workers[at];
        let Some(run) = worker.run_mut(&running.task, running.run) else {
            self.found(at, running, now);
            return;
        };
        if run.percent != running.percent {
            run.percent = running.percent;
            run.moved = now;
        }
        if matches!(run.phase, Phase::Ordered | Phase::Unknown(_)) {
            run.phase = Phase::Running;
            run.confirmed = now;
            self.note_begun(&running.task);
        }
        self.check_stall(at, &running.task, running.run, now);
        if !running.checkpoint.is_empty()
            && let Some(job) = self.at(&running.task.part.job)
            && let Some(task) = self.jobs[job].task_mut(&running.task)
            && !task.done
        {
            task.checkpoint.clone_from(&running.checkpoint);
        }
    }

    /// Stops a run that stands still; its task is placed elsewhere.
    ///
    /// Load pattern: tasks on some workers stand still for seconds while the workers answer all that
    /// they are asked. A task of half a minute moves by a percent in 300 ms.
    fn check_stall(&mut self, at: usize, task: &Task, run: u64, now: Millis) {
        let worker = &mut self.workers[at];
        let Some(entry) = worker.run_mut(task, run) else {
            return;
        };
        let works_alone = !entry.lasting && !entry.fills && !entry.gang;
        let stalls = now.since(entry.moved) >= STALL && now.since(entry.confirmed) >= STALL;
        if works_alone && stalls && entry.phase == Phase::Running && entry.percent < 100 {
            entry.phase = Phase::Stop;
            let percent = entry.percent;
            let detail = format!("worker={} run={run} percent={percent}", worker.node.id);
            worker.note_stall(now);
            self.note("run-stalled", task.to_string(), detail);
        }
    }

    /// Takes in a run that was not expected: it is adopted if its task runs nowhere else.
    fn found(&mut self, at: usize, running: &Running, now: Millis) {
        let task = &running.task;
        let wanted = self.job(&task.part.job).is_some_and(|job| {
            let state = job.task(task);
            !job.phase.is_over() && state.is_some_and(|t| !t.done && t.places.is_empty())
        });
        let phase = if wanted { Phase::Running } else { Phase::Stop };
        let unknown = || Run::new(task.clone(), running.run, Phase::Stop, now);
        let run = self
            .run_of(task, running.run, phase, now)
            .unwrap_or_else(unknown);
        self.workers[at].add(run);
        let detail = format!("run={} adopted={wanted}", running.run);
        self.note("run-found", task.to_string(), detail);
        if wanted && let Some(job) = self.at(&task.part.job) {
            let worker = self.workers[at].node.id.clone();
            if let Some(state) = self.jobs[job].task_mut(task) {
                state.places.push(crate::job::Place {
                    worker,
                    run: running.run,
                });
            }
            self.note_begun(task);
            self.touch(job);
        }
    }

    /// Looks for runs that should go on but are not in a report that was asked for at `sent`.
    fn missing(&mut self, at: usize, running: &[Running], sent: Millis) {
        let stopping = self.settings.stopping();
        let is_there = |run: &Run| {
            running
                .iter()
                .any(|there| there.run == run.run && there.task == run.task)
        };
        let mut gone: Vec<(Task, u64)> = Vec::new();
        let mut lost: Vec<(Task, u64)> = Vec::new();
        for run in &mut self.workers[at].runs {
            match run.phase {
                // While a stop goes on the run may be in neither list, and still takes room.
                Phase::Stopped(since) if since + stopping <= sent && !is_there(run) => {
                    gone.push((run.task.clone(), run.run));
                }
                // It has not arrived: the stop makes sure that it never will.
                Phase::Unknown(since) if since <= sent && !is_there(run) => {
                    run.phase = Phase::Stop;
                    lost.push((run.task.clone(), run.run));
                }
                Phase::Running if run.confirmed < sent && !is_there(run) => {
                    run.phase = Phase::Stop;
                    lost.push((run.task.clone(), run.run));
                }
                _ => {}
            }
        }
        for (task, run) in gone {
            self.release(at, &task, run);
        }
        for (task, run) in lost {
            self.stop_gang(&task, run);
        }
    }

    /// Takes in an end.
    fn ended(&mut self, at: usize, end: &Ended, now: Millis) {
        self.count.ends += 1;
        let run = self.workers[at].remove(&end.task, end.run);
        if let Some(run) = &run
            && end.how == How::Done
            && run.phase == Phase::Running
        {
            self.learn_speed(at, run, now);
        }
        if matches!(end.how, How::Done | How::Failed) {
            self.workers[at].judge(end.how == How::Failed, now);
        }
        let worker = self.workers[at].node.id.clone();
        let detail = format!("worker={worker} run={} how={}", end.run, end.how);
        self.note("run-ended", end.task.to_string(), detail);
        self.unplace(&end.task, end.run, &worker);
        self.unscheduled = true;
        let Some(job) = self.at(&end.task.part.job) else {
            return;
        };
        if !self.jobs[job].phase.is_over() {
            self.note_begun(&end.task);
            self.apply_end(job, &worker, end, now);
        }
        let change = self.jobs[job].change;
        if self.jobs[job].stored < change {
            let id = end.task.part.job.clone();
            self.workers[at]
                .unsettled
                .push_back((end.number, id, change));
        }
    }

    fn apply_end(&mut self, at: usize, worker: &id::Worker, end: &Ended, now: Millis) {
        let Some(step) = self.jobs[at].step(&end.task.part) else {
            return;
        };
        let (gang, lasting) = (step.gang, step.lasting);
        let attempts = self
            .queue(&self.jobs[at].spec.queue)
            .map_or(1, |queue| queue.attempts.max(1));
        let Some(stage) = self.jobs[at].stage_mut(end.task.part.occurrence, end.task.part.step)
        else {
            return;
        };
        let index = if gang { 0 } else { end.task.index };
        match end.how {
            How::Done if !lasting => {
                if gang {
                    (0..stage.tasks.len() as u32).for_each(|index| stage.finish(index));
                } else {
                    stage.finish(end.task.index);
                }
                self.touch(at);
                self.stop_copies(at, &end.task, gang);
                if self.jobs[at].is_done() {
                    self.finish(at, work::Phase::Completed, now);
                }
            }
            How::Failed if !lasting => {
                let Some(task) = stage.tasks.get_mut(index as usize) else {
                    return;
                };
                if !task.failed.contains(&end.run) {
                    task.failed.push(end.run);
                }
                task.avoid.push(worker.clone());
                let failed = task.failed.len();
                self.touch(at);
                if failed >= attempts as usize {
                    self.finish(at, work::Phase::Failed, now);
                }
            }
            _ => {
                if let Some(task) = stage.tasks.get_mut(end.task.index as usize)
                    && !end.checkpoint.is_empty()
                {
                    task.checkpoint.clone_from(&end.checkpoint);
                }
                self.touch(at);
            }
        }
    }

    /// Stops the other runs of a task that is done.
    fn stop_copies(&mut self, at: usize, task: &Task, gang: bool) {
        if gang {
            return;
        }
        let places = self.jobs[at]
            .task(task)
            .map(|state| state.places.clone())
            .unwrap_or_default();
        for place in places {
            self.stop_run(task, &place.worker, place.run);
        }
    }

    fn learn_speed(&mut self, at: usize, run: &Run, now: Millis) {
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
        let permille = now.since(run.confirmed).0 * 1_000 / estimate;
        if let Some(kind) = self.workers[at].node.kind.clone() {
            self.speeds.learn(&kind, permille.clamp(50, 10_000));
        }
    }

    /// Slows filling tasks down while a serving task on the worker is near its target.
    fn pace(&mut self, at: usize, running: &[Running]) {
        let worker = &self.workers[at];
        let strain = running
            .iter()
            .filter_map(|there| {
                let found = worker.find(&there.task, there.run).ok()?;
                let target = worker.runs[found].target?;
                Some(there.figure * 100 / target.0.max(1))
            })
            .max();
        let Some(strain) = strain else { return };
        let mut paces = Vec::new();
        for run in &mut self.workers[at].runs {
            if !run.fills || run.phase != Phase::Running {
                continue;
            }
            let pace = if strain > 100 {
                0
            } else if strain > TENSE {
                run.pace / 2
            } else if strain < CALM {
                (run.pace + EASE).min(100)
            } else {
                run.pace
            };
            if pace != run.pace {
                run.pace = pace;
                paces.push((run.task.clone(), run.run, pace));
            }
        }
        for (task, run, percent) in paces {
            self.order(at, Order::Pace { task, run, percent });
        }
    }

    /// Frees what ran on workers whose lease has lapsed while they were silent.
    pub(super) fn lapse_silent(&mut self, now: Millis) {
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            let silent = !worker.answers() || !worker.listed;
            if !silent || now < worker.lapse || worker.runs.is_empty() {
                continue;
            }
            let id = worker.node.id.to_string();
            let runs = self.workers[at].runs.clone();
            self.note("worker-lapsed", id, format!("runs={}", runs.len()));
            for run in runs {
                self.release(at, &run.task, run.run);
            }
        }
    }
}
