//! Holds: renewing leases, and what silence means.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::{Fault, Order, Reply};

use super::Lead;
use crate::worker::{Phase, Worker};

/// The longest wait between holds of a worker on which nothing runs.
const IDLE: Millis = Millis(5_000);
/// The wait of a hold on a worker where serving and filling tasks meet.
const CLOSE_WATCH: Millis = Millis(400);
/// The wait of a hold while answers get lost: news of the worker are late by as much.
const LOSSY_WAIT: Millis = Millis(300);
/// The least workers of a failure domain that do not answer before all of it is suspected.
const QUIET_LEAST: usize = 3;
/// The same as a share of the domain's workers, in percent: where each order may be lost by itself,
/// some workers of a large domain are always silent.
const QUIET_PERCENT: usize = 20;

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
        } else if self.losses.are_many() {
            LOSSY_WAIT
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
                    self.replace_node(at, node, now);
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
                    self.read(at, report, sent, !is_back, now);
                }
            }
            Err(fault) => {
                worker.silent = worker.silent.saturating_add(1);
                worker.suspect = false;
                // One answer may be lost by itself.
                worker.next_hold = if worker.silent == 1 {
                    now
                } else {
                    now + settings.hold_retry
                };
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
    /// a lease to lapse, so the others are probed before they get more. One order in twenty that is
    /// lost anywhere must not have that effect.
    fn suspect_domain(&mut self, at: usize) {
        let domain = self.workers[at].node.domain.clone();
        let of_domain = |worker: &Worker| worker.node.domain == domain && worker.present;
        let (mut all, mut quiet) = (0, 0);
        for worker in self.workers.iter().filter(|worker| of_domain(worker)) {
            all += 1;
            quiet += usize::from(!worker.answers());
        }
        if quiet < QUIET_LEAST || quiet * 100 < all * QUIET_PERCENT {
            return;
        }
        for worker in &mut self.workers {
            if of_domain(worker) && worker.answers() && worker.listed {
                worker.suspect = true;
            }
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
