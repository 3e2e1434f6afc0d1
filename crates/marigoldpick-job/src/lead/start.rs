//! Start and stop orders, and the handling of their answers.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Fault, Order, Reply, Start};
use marigoldpick_core::work::{self, Task};

use super::losses::{Origin, Recent};
use super::release::{Evidence, Ground};
use super::{Lead, PendingStart};
use crate::open::Kind;
use crate::worker::{Phase, Run};

/// The most starts and stops in flight to one worker, a quarter of the connections that a worker accepts.
const MAX_WORKER_ORDERS: usize = 16;
/// The most starts and stops in flight to all workers. Each takes about 80 KB of the lead's memory.
const MAX_ORDERS: usize = 512;

impl Lead {
    /// Orders the recorded starts, and the unrecorded ones if that is allowed.
    ///
    /// A later lead finds an unrecorded run by the stored roster, which therefore has to name its worker.
    ///
    /// Recorded starts wait while the lead may have missed cancels: the store takes its records, but does not answer its
    /// reads of the inbox, or the process was paused since. In an outage, in which unrecorded starts are allowed, the
    /// store acknowledges no cancel.
    ///
    /// Load pattern: a record names 10,000 placements. Starts beyond the limits on orders in flight wait in their order.
    pub(super) fn start_recorded(&mut self, now: Millis) {
        let is_inbox_old = !self.allows_unrecorded(now) && !self.knows_inbox(now);
        if is_inbox_old || self.has_expired(now) {
            self.hold_starts(now);
            return;
        }
        self.holds_starts = false;
        self.caps_starts = false;
        let mut free = self.free_orders();
        if free == 0 {
            self.caps_starts = true;
            return;
        }
        let waiting = std::mem::take(&mut self.pending_starts);
        let mut ordered: Vec<PendingStart> = Vec::new();
        for start in waiting {
            let stored = self
                .job(&start.task.part.job)
                .is_some_and(|job| job.stored_revision >= start.revision);
            let waits = !self.allows_unrecorded(now)
                || !self.roster.is_stored(&start.worker)
                || self.lacks_crash_record(&start.task, now);
            if !stored && waits {
                self.pending_starts.push(start);
            } else if free == 0 || !self.has_free_order(&start.worker) {
                self.caps_starts = true;
                self.pending_starts.push(start);
            } else if self.order_start(&start.worker, &start.task, start.run, now) {
                if !stored {
                    self.note_unrecorded();
                }
                free -= 1;
                ordered.push(start);
            }
        }
        self.log_starts(&ordered);
    }

    /// Returns how many more starts and stops may be in flight to all workers.
    fn free_orders(&self) -> usize {
        let open = self.workers.iter().map(|worker| worker.orders.count());
        MAX_ORDERS.saturating_sub(open.sum())
    }

    /// Returns whether one more start may be in flight to a worker; one that is unknown takes none anyway.
    fn has_free_order(&self, worker: &id::Worker) -> bool {
        let at = self.worker_index(worker);
        at.is_none_or(|at| self.workers[at].orders.count() < MAX_WORKER_ORDERS)
    }

    /// Leaves the pending starts until the inbox has been read.
    fn hold_starts(&mut self, now: Millis) {
        if !self.holds_starts && !self.pending_starts.is_empty() {
            let starts = self.pending_starts.len();
            let age = now.since(self.inbox_as_of);
            let detail = format!("starts={starts} inbox_age_ms={}", age.0);
            self.log("starts-held", self.term.to_string(), detail);
        }
        self.holds_starts = true;
    }

    /// Logs the ordered starts, one line for the starts of a step.
    fn log_starts(&mut self, ordered: &[PendingStart]) {
        for starts in ordered.chunk_by(|a, b| a.task.part == b.task.part) {
            let tasks: Vec<String> = starts.iter().map(|s| s.task.index.to_string()).collect();
            let runs: Vec<String> = starts.iter().map(|s| s.run.to_string()).collect();
            let workers: Vec<&str> = starts.iter().map(|s| s.worker.as_str()).collect();
            let replaced = starts.iter().filter_map(|start| {
                let run = self.releases.take(&start.task)?;
                Some(format!("{}:{run}", start.task.index))
            });
            let replaced: Vec<String> = replaced.collect();
            let detail = format!(
                "tasks={} workers={} runs={} replaced={}",
                tasks.join(","),
                workers.join(","),
                runs.join(","),
                replaced.join(",")
            );
            self.log("starts-ordered", starts[0].task.part.to_string(), detail);
        }
    }

    /// Orders a start; returns whether the start was still valid.
    fn order_start(&mut self, worker: &id::Worker, task: &Task, run: u64, now: Millis) -> bool {
        let Some(at) = self.worker_index(worker) else {
            return false;
        };
        // The placement may be gone, for example after the worker restarted.
        let waits = self.workers[at].run_mut(task, run);
        if waits.is_none_or(|entry| entry.phase != Phase::Recording) {
            return false;
        }
        let Some(order) = self.start_order(at, task, run, now) else {
            // The ticket has expired, or the worker no longer takes work or has less capacity.
            let evidence = Evidence::new(Ground::Unordered, now);
            self.release_run(at, task, run, evidence, now);
            self.stop_gang(task, run, now);
            return false;
        };
        if let Some(entry) = self.workers[at].run_mut(task, run) {
            entry.phase = Phase::Ordered;
            entry.ordered_at = Some(now);
            entry.attempts.begin(now);
        }
        self.counters.starts += 1;
        let number = self.send_order(at, Order::Start(Box::new(order)));
        self.workers[at].orders.add(number, Kind::Start, task, run);
        true
    }

    /// Returns the order that starts a run, and extends the worker's lease for it.
    ///
    /// Returns `None` if the start is not valid now.
    pub(super) fn start_order(
        &mut self,
        at: usize,
        task: &Task,
        run: u64,
        now: Millis,
    ) -> Option<Start> {
        if !self.workers[at].can_take_work(now) || self.workers[at].is_overcommitted() {
            return None;
        }
        let checkpoint = self.start_checkpoint(task, run);
        let job = self.job(&task.part.job)?;
        if job.phase.is_over() {
            return None;
        }
        let stage = job.stage(task.part.occurrence, task.part.step)?;
        let has_policy = self
            .queue(&job.spec.queue)
            .is_some_and(|queue| queue.policy.is_some());
        let ticket = stage.tickets.valid_ticket(&self.workers[at].node.id, now);
        if has_policy && ticket.is_none() {
            return None;
        }
        let mut start = Start {
            task: task.clone(),
            run,
            payload: job.spec.payload.clone(),
            until: Millis::ZERO,
            checkpoint,
            ticket: ticket.map(str::to_owned),
        };
        start.until = self.extend_lease(at, now)?;
        Some(start)
    }

    /// Returns the checkpoint from which a run starts, if there is one.
    fn start_checkpoint(&mut self, task: &Task, run: u64) -> Option<String> {
        let at = self.job_index(&task.part.job)?;
        let stage = self.jobs[at].stage_mut(task.part.occurrence, task.part.step)?;
        let value = stage.checkpoint_for(task.index, run);
        (!value.is_empty()).then_some(value)
    }

    /// Orders the stops that are due.
    ///
    /// Load pattern: connections to a domain are reset, so that each order fails at once. Without a
    /// delay, repeated stops would take most of the lead's time.
    ///
    /// A run that no record names is stopped only once it is recorded. Until its stop has completed no report lists it,
    /// and another lead could not know of it.
    pub(super) fn order_stops(&mut self, now: Millis) {
        let jobs = &self.jobs;
        let may_lack_records = self.may_lack_records;
        let is_unrecorded = |run: &Run| {
            let found = jobs.binary_search_by(|job| job.id.cmp(&run.task.part.job));
            may_lack_records
                && run.recorded_by != u64::MAX
                && found.is_ok_and(|at| jobs[at].stored_revision < run.recorded_by)
        };
        let mut due: Vec<(usize, Task, u64)> = Vec::new();
        let mut free = self.free_orders();
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            let mut free_here = MAX_WORKER_ORDERS.saturating_sub(worker.orders.count());
            if !worker.has_stops || worker.node.address.is_empty() || now < worker.next_stop {
                continue;
            }
            worker.has_stops = false;
            for run in &mut worker.runs {
                if run.phase != Phase::Stop {
                    continue;
                }
                if is_unrecorded(run) || free_here == 0 || free == 0 {
                    worker.has_stops = true;
                } else {
                    (free, free_here) = (free - 1, free_here - 1);
                    run.phase = Phase::Stopping;
                    run.attempts.begin(now);
                    due.push((at, run.task.clone(), run.run));
                }
            }
        }
        for (at, task, run) in due {
            self.log("stop-ordered", task.to_string(), format!("run={run}"));
            let order = Order::Stop {
                task: task.clone(),
                run,
            };
            let number = self.send_order(at, order);
            self.workers[at].orders.add(number, Kind::Stop, &task, run);
        }
    }

    /// Returns where an order to a worker was lost; nothing if the worker is unknown.
    pub(super) fn origin(&self, worker: &id::Worker) -> Option<Origin> {
        let domain = self.domain_of(worker)?.clone();
        let mut workers = self.workers.iter();
        let is_only = workers.all(|worker| worker.node.domain == domain);
        Some(Origin { domain, is_only })
    }

    /// Returns whether an order without an answer shows no loss of its own: its worker is unresponsive, or the order was
    /// repeated and the first one has counted.
    fn is_down_or_repeated(&self, worker: &id::Worker, order: &Order) -> bool {
        let (kind, task, run) = match order {
            Order::Start(start) => (Kind::Start, &start.task, start.run),
            Order::Stop { task, run } => (Kind::Stop, task, *run),
            Order::Hold { .. } | Order::Pace { .. } => return false,
        };
        self.worker_index(worker).is_none_or(|at| {
            let worker = &self.workers[at];
            let found = worker.find_run(task, run);
            let has_repeated = |at: usize| worker.runs[at].attempts.has_repeated(kind);
            !worker.is_responsive() || found.is_ok_and(has_repeated)
        })
    }

    /// Handles the answer to the order with `number`, which was sent at `sent`.
    pub fn handle_reply(
        &mut self,
        worker: &id::Worker,
        (order, number): (&Order, u64),
        answer: Result<Reply, Fault>,
        sent: Millis,
        now: Millis,
    ) {
        let found = self.worker_index(worker);
        let is_outdated = found.is_some_and(|at| self.workers[at].is_outdated(number));
        // A restarted worker refuses the orders to its former incarnation.
        if answer == Err(Fault::Fenced) && !is_outdated {
            self.deposed = true;
        }
        let is_lost = answer == Err(Fault::Unknown);
        let counts = self.settings.detects_losses_early();
        let recent = match is_lost {
            true if counts && !self.is_down_or_repeated(worker, order) => {
                Recent::Lost(self.origin(worker))
            }
            false if counts => Recent::Answered,
            _ => Recent::Ignored,
        };
        self.losses.record((order, number), is_lost, recent, now);
        let Some(at) = found else {
            return;
        };
        if is_outdated {
            self.counters.outdated_answers += 1;
        } else {
            self.note_outcome(at, order, &answer, now);
        }
        match order {
            Order::Hold { seen, wait, .. } => {
                self.handle_hold_reply(at, (number, *seen, *wait), answer, sent, now);
            }
            Order::Start(start) => {
                self.workers[at].orders.close(number);
                self.handle_start_reply(at, &start.task, start.run, answer, now);
            }
            Order::Stop { task, run } => {
                if self.workers[at].orders.close(number) {
                    self.handle_stop_reply(at, task, *run, answer, now);
                }
            }
            Order::Pace { .. } => {}
        }
    }

    /// Records what the outcome of an order to the present incarnation of a worker says about that.
    ///
    /// Only reports name the incarnation that answers, so that the clock in other answers may be that of a later one.
    fn note_outcome(
        &mut self,
        at: usize,
        order: &Order,
        answer: &Result<Reply, Fault>,
        now: Millis,
    ) {
        let extends = matches!(order, Order::Start(_) | Order::Hold { until: Some(_), .. });
        match answer {
            Ok(reply) => {
                self.workers[at].record_answer(now);
                if reply.report.is_none() {
                    self.log_clock_jump(at, reply.clock, now);
                }
            }
            Err(Fault::Unknown) if extends => {
                let until = now + self.settings.order_delay;
                self.workers[at].record_unanswered_order(until);
            }
            Err(_) => {}
        }
    }

    fn handle_start_reply(
        &mut self,
        at: usize,
        task: &Task,
        run: u64,
        answer: Result<Reply, Fault>,
        now: Millis,
    ) {
        let worker = &mut self.workers[at];
        let is_open = worker.orders.has(Kind::Start, task, run);
        let is_lost = answer == Err(Fault::Unknown);
        let Some(entry) = worker.run_mut(task, run) else {
            return;
        };
        if let Err(fault) = answer
            && entry.attempts.has_repeated_start()
        {
            entry.attempts.is_refused |= !is_lost;
            self.handle_failed_repeat(at, (task, run), fault, is_open, now);
            return;
        }
        let is_stopping = !matches!(entry.phase, Phase::Ordered);
        match answer {
            Ok(_) => {
                entry.attempts.is_confirmed = true;
                if !is_stopping {
                    entry.phase = Phase::Running;
                    entry.confirmed_at = now;
                }
                self.mark_started(task);
                self.confirm_crash_suspect(at, task, run);
                self.workers[at].hold_soon(now);
            }
            Err(Fault::Unknown) => {
                if !is_stopping {
                    entry.phase = Phase::Unknown(now);
                }
                self.workers[at].hold_soon(now);
                self.log("start-unanswered", task.to_string(), format!("run={run}"));
                self.mark_suspect(at);
            }
            Err(fault) => {
                self.log("start-refused", task.to_string(), format!("why={fault}"));
                self.clear_crash_suspect(at, task, run);
                self.handle_start_refusal(at, task, run, fault, now);
            }
        }
    }

    /// Handles the failure of one of several starts that were sent for a run.
    ///
    /// A refusal says nothing about the other orders. The run counts as unanswered once none of them, which `is_open`
    /// tells, can be answered any more.
    fn handle_failed_repeat(
        &mut self,
        at: usize,
        (task, run): (&Task, u64),
        fault: Fault,
        is_open: bool,
        now: Millis,
    ) {
        let Some(entry) = self.workers[at].run_mut(task, run) else {
            return;
        };
        if entry.attempts.is_confirmed || entry.phase == Phase::Running {
            return;
        }
        let is_unanswered = !is_open && entry.phase == Phase::Ordered;
        if is_unanswered {
            entry.phase = Phase::Unknown(now);
        }
        if fault != Fault::Unknown {
            self.log("start-refused", task.to_string(), format!("why={fault}"));
            self.apply_refusal(at, task, fault, now);
        }
        if is_unanswered {
            self.log("start-unanswered", task.to_string(), format!("run={run}"));
        }
        if is_unanswered || fault == Fault::Unknown {
            self.workers[at].hold_soon(now);
            self.mark_suspect(at);
        }
    }

    fn handle_start_refusal(
        &mut self,
        at: usize,
        task: &Task,
        run: u64,
        fault: Fault,
        now: Millis,
    ) {
        let evidence = Evidence::new(Ground::Refused(fault), now);
        self.release_run(at, task, run, evidence, now);
        self.stop_gang(task, run, now);
        self.apply_refusal(at, task, fault, now);
    }

    /// Applies what a refused start says about its worker and its ticket.
    fn apply_refusal(&mut self, at: usize, task: &Task, fault: Fault, now: Millis) {
        let worker = &mut self.workers[at];
        match fault {
            Fault::Unhealthy => worker.quarantine_unhealthy(now),
            Fault::Away => worker.is_suspect = true,
            Fault::Restarted | Fault::Room => {
                worker.has_reported = false;
                worker.next_hold = now;
            }
            _ => {}
        }
        let id = worker.node.id.clone();
        if fault == Fault::Ticket
            && let Some(job) = self.job_index(&task.part.job)
            && let Some(stage) = self.jobs[job].stage_mut(task.part.occurrence, task.part.step)
        {
            stage.tickets.invalidate(&id);
        }
    }

    /// Stops all members of a gang when one of them does not run.
    ///
    /// The others would only wait for it.
    pub(super) fn stop_gang(&mut self, task: &Task, run: u64, now: Millis) {
        let Some(job) = self.job(&task.part.job) else {
            return;
        };
        if !job.step(&task.part).is_some_and(|step| step.gang) {
            return;
        }
        let Some(stage) = job.stage(task.part.occurrence, task.part.step) else {
            return;
        };
        let members: Vec<(Task, id::Worker)> = stage
            .touched()
            .flat_map(|(index, state)| {
                let places = state.places.iter().filter(|place| place.run == run);
                let member = task.part.task(index);
                places.map(move |place| (member.clone(), place.worker.clone()))
            })
            .collect();
        if members.is_empty() {
            return;
        }
        self.log(
            "gang-stopped",
            task.to_string(),
            format!("run={run} members={}", members.len()),
        );
        for (member, worker) in members {
            self.stop_run(&member, &worker, run, now);
        }
    }

    /// Marks the job of a started task as running.
    pub(super) fn mark_started(&mut self, task: &Task) {
        if let Some(at) = self.job_index(&task.part.job)
            && self.jobs[at].phase == work::Phase::Queued
        {
            self.jobs[at].phase = work::Phase::Running;
        }
    }

    fn handle_stop_reply(
        &mut self,
        at: usize,
        task: &Task,
        run: u64,
        answer: Result<Reply, Fault>,
        now: Millis,
    ) {
        let is_open = self.workers[at].orders.has(Kind::Stop, task, run);
        let Some(entry) = self.workers[at].run_mut(task, run) else {
            return;
        };
        if entry.phase != Phase::Stopping {
            return;
        }
        match answer {
            Ok(_) => {
                entry.phase = Phase::Stopped(now);
                self.workers[at].hold_soon(now);
            }
            // The worker has restarted, and the run ended with the process that ran it.
            Err(Fault::Restarted) => {
                let evidence = Evidence::new(Ground::Replaced, now);
                self.release_run(at, task, run, evidence, now);
            }
            // Another order may still be answered.
            Err(_) if is_open => {}
            Err(_) => {
                entry.phase = Phase::Stop;
                self.workers[at].has_stops = true;
                self.workers[at].next_stop = now + self.settings.hold_retry;
            }
        }
    }
}
