//! Holds: calls that renew a worker's lease and long-poll its report, and the handling of silence.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Fault, Order, Reply};

use super::Lead;
use super::release::{Evidence, Ground};
use crate::open::{Hold, Probe, Source};
use crate::worker::{BROKEN_CALL_TIME, Phase, SETTLE_TIME, Worker};

/// The longest time between holds of a worker without runs.
const IDLE_HOLD_INTERVAL: Millis = Millis(5_000);
/// The wait of a hold on a worker that runs both serving and filling tasks.
const INTERFERENCE_HOLD_WAIT: Millis = Millis(400);
/// The wait of a hold while answers are being lost; a lost hold delays reports by its wait.
const LOSSY_HOLD_WAIT: Millis = Millis(300);
/// The least number of unresponsive workers for which a whole failure domain becomes suspect.
const SUSPECT_DOMAIN_MIN_WORKERS: usize = 3;
/// The least share of a domain's workers, in percent, that must be unresponsive as well. Where any
/// single order may be lost, some workers of a large domain are always unresponsive.
const SUSPECT_DOMAIN_MIN_PERCENT: usize = 20;

impl Lead {
    /// Sends the holds that are due, and probes to workers that are suspect or whose hold is overdue.
    pub(super) fn send_holds(&mut self, now: Millis) {
        let is_lossy = self.settings.detects_losses_early() && self.losses.is_high(now);
        let mut early = 0;
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            if worker.node.address.is_empty() || worker.has_ended {
                continue;
            }
            if let Some(hold) = &worker.holds.current {
                let is_overdue = worker.is_responsive()
                    && !hold.is_probed
                    && hold.is_overdue(self.settings.hold_overdue, now);
                let is_suspect = worker.is_suspect && hold.wait > Millis::ZERO;
                let is_early = is_lossy && self.is_probe_due_early(worker, hold, now);
                if worker.holds.probe.is_some() {
                    let is_unfenced = worker.has_restarted() && !worker.has_reported;
                    if is_lossy || is_unfenced {
                        self.repeat_probe(at, is_unfenced, now);
                    }
                } else if is_overdue {
                    self.send_overdue_probe(at, now);
                } else if is_early {
                    self.send_probe(at, true, false, now);
                    early += 1;
                } else if is_suspect {
                    self.send_probe(at, false, false, now);
                }
                continue;
            }
            if now < worker.next_hold && !worker.is_suspect {
                continue;
            }
            let is_idle = worker.runs.is_empty() && worker.unrecorded_ends.is_empty();
            if let Some(until) = worker.stops_until {
                if is_idle && now < until && worker.is_responsive() {
                    continue;
                }
            } else if worker.has_reported && is_idle {
                let last = worker.lease.last_reading();
                let recent = last.is_some_and(|read| now.since(read) < IDLE_HOLD_INTERVAL);
                if recent && worker.acknowledged_end == worker.last_end && worker.is_responsive() {
                    continue;
                }
            }
            self.send_hold(at, now);
        }
        if early > 0 {
            self.counters.early_probes += early;
            self.log(
                "holds-probed",
                self.term.to_string(),
                format!("count={early}"),
            );
        }
    }

    /// Requests a report at once while another hold is waiting.
    ///
    /// Load pattern: one order in twenty gets no answer. A lost hold would delay the ends of its worker's runs by its
    /// timeout, so that the answer to a probe lets the next hold begin.
    fn send_probe(&mut self, at: usize, is_for_overdue: bool, is_repeated: bool, now: Millis) {
        self.counters.holds += 1;
        let probe = Order::Hold {
            until: None,
            seen: 0,
            wait: Millis::ZERO,
        };
        let number = self.send_retry(at, probe);
        let holds = &mut self.workers[at].holds;
        holds.probe = Some(Probe {
            number,
            sent: now,
            is_for_overdue,
            is_repeated,
        });
        if is_for_overdue && let Some(hold) = &mut holds.current {
            hold.is_probed = true;
        }
    }

    /// Sends a probe beside a hold whose answer is overdue.
    fn send_overdue_probe(&mut self, at: usize, now: Millis) {
        if self.settings.detects_losses_early()
            && let Some(hold) = &self.workers[at].holds.current
        {
            self.losses.record_overdue_hold(hold.number, now);
        }
        self.send_probe(at, true, false, now);
        self.counters.hold_retries += 1;
        let id = self.workers[at].node.id.to_string();
        self.log("hold-overdue", id, String::new());
    }

    /// Sends a probe again that has not been answered in time.
    ///
    /// A hold that is lost together with its probe would delay the ends of its worker's runs by 800 ms, more than the
    /// slack of an urgent job. A lost hold is open for longer than others, so that this befalls one end in a hundred.
    ///
    /// A worker that has restarted is probed until it answers, since it may carry out orders to its former incarnation
    /// as long as it has not (`is_unfenced`).
    fn repeat_probe(&mut self, at: usize, is_unfenced: bool, now: Millis) {
        let delay = self.settings.hold_overdue;
        let worker = &mut self.workers[at];
        if worker.is_responsive()
            && let Some(probe) = worker.holds.replace_probe(delay, is_unfenced, now)
        {
            self.losses.record_overdue_hold(probe.number, now);
            self.send_probe(at, true, true, now);
            self.counters.probe_retries += 1;
        }
    }

    /// Returns whether a hold has waited longer than it would if it were sent now, while answers are being lost.
    fn is_probe_due_early(&self, worker: &Worker, hold: &Hold, now: Millis) -> bool {
        let waited = now.since(hold.sent).min(hold.wait);
        waited > LOSSY_HOLD_WAIT
            && worker.is_responsive()
            && !hold.is_probed
            && waited > self.usual_wait(worker, now)
    }

    /// Returns the wait of a hold on a worker of which nothing is due at a known time.
    fn usual_wait(&self, worker: &Worker, now: Millis) -> Millis {
        let runs = || worker.runs.iter();
        if runs().any(|run| run.fills) && runs().any(|run| run.target.is_some()) {
            INTERFERENCE_HOLD_WAIT
        } else if self.losses.is_high(now) {
            LOSSY_HOLD_WAIT
        } else {
            self.settings.hold_wait
        }
    }

    fn send_hold(&mut self, at: usize, now: Millis) {
        let jobs = &self.jobs;
        let stored = |id: &id::Job| {
            let found = jobs.binary_search_by(|job| job.id.cmp(id));
            found.ok().map(|at| jobs[at].stored_revision)
        };
        let settings = self.settings;
        let worker = &mut self.workers[at];
        let recorded = worker.drop_recorded_ends(stored);
        // Ends are numbered anew after a restart, of which the lead may not know. An end is therefore named only
        // right after the worker has listed it, and not once it is forgotten.
        let seen = if worker.is_responsive() && recorded > worker.acknowledged_end {
            recorded
        } else {
            0
        };
        // The first hold of a term does not renew the lease, since the worker may run what another
        // lead started. A hold to an unresponsive worker does not renew it either: the hold might
        // arrive late, and the lead could not tell when the lease ends.
        let renews = worker.is_renewable() && !worker.runs.is_empty();
        let until = if renews {
            self.extend_lease(at, now)
        } else {
            None
        };
        let worker = &self.workers[at];
        // A hold that does not renew the lease must not keep the next one, which may, waiting.
        let returns_at_once = worker.runs.is_empty() || !worker.is_renewable();
        let wait = if returns_at_once || recorded < worker.last_end {
            Millis::ZERO
        } else {
            self.usual_wait(&self.workers[at], now)
        };
        let worker = &self.workers[at];
        // A report requested after the stop has completed releases the run, so the hold must not
        // wait longer.
        let stop_bound = settings.stop_bound();
        let stops = worker.runs.iter().filter_map(|run| match run.phase {
            Phase::Stopped(since) => Some((since + stop_bound).since(now)),
            _ => None,
        });
        // The first report after a run on trial has settled clears its task.
        let trials = worker.runs.iter().filter_map(|run| {
            let settled = (run.confirmed_at + SETTLE_TIME).since(now);
            (run.on_trial && run.phase == Phase::Running && settled > Millis::ZERO)
                .then_some(settled)
        });
        let earlier_stops = worker.stops_until.map(|until| until.since(now));
        let waits = stops.chain(trials).chain(earlier_stops);
        let wait = waits.fold(wait, Millis::min);
        self.counters.holds += 1;
        let number = self.send_order(at, Order::Hold { until, seen, wait });
        self.workers[at].holds.current = Some(Hold {
            number,
            sent: now,
            wait,
            is_probed: false,
        });
    }

    pub(super) fn handle_hold_reply(
        &mut self,
        at: usize,
        (number, seen, wait): (u64, u64, Millis),
        answer: Result<Reply, Fault>,
        sent: Millis,
        now: Millis,
    ) {
        let settings = self.settings;
        let worker = &mut self.workers[at];
        let Some(source) = worker.holds.close(number) else {
            return;
        };
        let is_for_overdue = matches!(
            source,
            Source::Probe {
                is_for_overdue: true
            }
        );
        match answer {
            Ok(reply) => {
                self.counters.reports += 1;
                let known = worker.node.born;
                if reply.born != 0 && reply.born != known {
                    self.update_born(at, reply.born, now);
                    if known != 0 {
                        // Orders to the former incarnation may arrive until the next one answers an order of its own.
                        self.workers[at].hold_soon(now);
                        return;
                    }
                }
                self.log_clock_jump(at, reply.clock, now);
                let worker = &mut self.workers[at];
                worker.lease.read_clock(reply.clock, &settings, now);
                let is_back = !worker.is_responsive() || !worker.has_reported;
                self.needs_pass |= is_back;
                let is_first = !worker.has_reported;
                if is_first {
                    worker.lease.record_first_report(&settings, now);
                    if self.expects_unrecorded && self.expects_stops {
                        // From this report on the worker obeys no earlier lead.
                        worker.stops_until = Some(now + settings.stop_bound());
                    }
                }
                worker.unanswered_holds = 0;
                worker.silent_since = None;
                worker.is_suspect = false;
                worker.has_reported = true;
                if matches!(source, Source::Probe { .. }) {
                    worker.holds.replace_overdue(settings.hold_overdue, now);
                }
                let is_stale = worker.record_report(number, reply.clock);
                worker.acknowledged_end = worker.acknowledged_end.max(seen);
                worker.next_hold = if is_back {
                    now
                } else {
                    now + settings.hold_gap
                };
                if is_first {
                    self.roster.record_first_report();
                }
                self.clear_crash_suspects(at);
                if let Some(report) = reply.report
                    && !is_stale
                {
                    let is_prompt = !is_back && !is_for_overdue;
                    self.handle_report(at, report, sent, is_prompt, now);
                }
            }
            // The hold beside the probe tells whether the worker is silent, unless connections broke.
            Err(Fault::Unknown) if is_for_overdue && now.since(sent) >= BROKEN_CALL_TIME => {}
            Err(fault) => {
                let may_have_crashed = worker.record_silence(sent, wait, now);
                worker.unanswered_holds = worker.unanswered_holds.saturating_add(1);
                worker.is_suspect = false;
                // A single answer can be lost on its own, so the first retry follows at once.
                worker.next_hold = if worker.unanswered_holds == 1 {
                    now
                } else {
                    now + settings.hold_retry
                };
                let detail = format!("why={fault} silent={}", worker.unanswered_holds);
                if worker.unanswered_holds == 1 {
                    let about = worker.node.id.to_string();
                    self.log("worker-silent", about, detail);
                    self.suspect_domain(at);
                }
                if may_have_crashed {
                    self.suspect_crash(at, now);
                }
                if fault == Fault::Restarted {
                    self.handle_incarnation_end(at, now);
                }
            }
        }
    }

    /// Logs a reading of a worker's clock that does not continue the earlier ones.
    pub(super) fn log_clock_jump(&mut self, at: usize, clock: Millis, now: Millis) {
        let worker = &self.workers[at];
        if let Some(expected) = worker.lease.clock_jump(clock, now) {
            let detail = format!("read_ms={} expected_ms={}", clock.0, expected.0);
            let id = worker.node.id.to_string();
            self.log("worker-clock-jumped", id, detail);
        }
    }

    /// Marks a worker suspect after an order without an answer.
    pub(super) fn mark_suspect(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        if worker.is_responsive() {
            worker.is_suspect = true;
            self.suspect_domain(at);
        }
    }

    /// Marks a failure domain suspect when several of its workers are unresponsive at once.
    ///
    /// Load pattern: a domain is cut off while starts continue. A start sent there blocks its task
    /// until a lease lapses, so the remaining workers are probed before they get more starts.
    /// Random loss of one order in twenty must not trigger this.
    fn suspect_domain(&mut self, at: usize) {
        let domain = self.workers[at].node.domain.clone();
        let of_domain = |worker: &Worker| worker.node.domain == domain && worker.is_registered;
        let (mut all, mut unresponsive) = (0, 0);
        for worker in self.workers.iter().filter(|worker| of_domain(worker)) {
            all += 1;
            unresponsive += usize::from(!worker.is_responsive());
        }
        if unresponsive < SUSPECT_DOMAIN_MIN_WORKERS
            || unresponsive * 100 < all * SUSPECT_DOMAIN_MIN_PERCENT
        {
            return;
        }
        for worker in &mut self.workers {
            if of_domain(worker) && worker.is_responsive() && worker.has_reported {
                worker.is_suspect = true;
            }
        }
    }

    /// Releases the runs of silent workers whose lease has lapsed.
    ///
    /// A worker is silent while it is unresponsive or has not reported in this term.
    pub(super) fn release_lapsed_runs(&mut self, now: Millis) {
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            let silent = !worker.is_responsive() || !worker.has_reported;
            if !silent || now < worker.lease.lapse() || worker.runs.is_empty() {
                continue;
            }
            let id = worker.node.id.to_string();
            let runs = self.workers[at].runs.clone();
            let detail = format!(
                "runs={} reported={} silent_ms={} term_ms={} confirmed_ms={} bound={}",
                runs.len(),
                worker.has_reported,
                now.since(worker.earliest_loss(now)).0,
                now.since(self.term_start).0,
                now.since(self.confirmed).0,
                worker.lease.source()
            );
            let evidence =
                Evidence::new(Ground::Lapsed(worker.lease.source()), worker.lease.lapse());
            self.counters.lease_releases += 1;
            self.log("worker-lapsed", id, detail);
            for run in runs {
                self.log_loss(at, &run, now);
                self.release_run(at, &run.task, run.run, evidence, now);
            }
        }
    }
}
