//! Changes of the set of workers: the registry's list, restarts, and placements from earlier leads.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Task;
use marigoldpick_core::work::port::Node;

use super::Lead;
use super::release::{Evidence, Ground};
use crate::job::Place;
use crate::lease::Lease;
use crate::worker::{self, Worker};

/// A worker without runs that has left the registry is kept for a lease and this time after its
/// last lease lapsed.
pub(super) const FORGET_DELAY: Millis = Millis(10_000);

impl Lead {
    /// Applies the registry's list of workers, sorted by id.
    pub fn update_workers(&mut self, nodes: &[Node], now: Millis) {
        for worker in &mut self.workers {
            worker.was_registered = std::mem::take(&mut worker.is_registered);
        }
        for node in nodes {
            self.update_node(node, now);
        }
        self.log_unlisted(now);
        let settings = self.settings;
        let is_awaited = |worker: &Worker| {
            worker.is_registered
                || !worker.runs.is_empty()
                || !worker.holds.is_empty()
                || (!worker.has_ended && now < worker.lease.lapse() + FORGET_DELAY + settings.lease)
        };
        for at in 0..self.workers.len() {
            // A worker that stays away for so long has ended.
            if !is_awaited(&self.workers[at]) {
                self.count_crash(at, now);
            }
        }
        self.workers
            .retain(|worker| is_awaited(worker) || worker.is_waived);
        self.update_roster(now);
        self.needs_pass = true;
    }

    /// Logs the workers with runs that the list no longer has, or that the first list of the term lacks.
    fn log_unlisted(&mut self, now: Millis) {
        let is_first = !std::mem::replace(&mut self.has_list, true);
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            let is_news = is_first || worker.was_registered;
            if worker.is_registered || worker.runs.is_empty() || !is_news {
                continue;
            }
            let lasting = worker.runs.iter().filter(|run| run.lasting).count();
            let detail = format!(
                "runs={} lasting={lasting} reported={} drained={} lapse_in_ms={}",
                worker.runs.len(),
                worker.has_reported,
                worker.node.draining,
                worker.lease.lapse().since(now).0
            );
            self.log("worker-unlisted", worker.node.id.to_string(), detail);
        }
    }

    fn update_node(&mut self, node: &Node, now: Millis) {
        match self.search_worker(&node.id) {
            Ok(at) => {
                self.update_node_at(at, node.clone(), now);
                self.workers[at].is_registered = true;
            }
            Err(at) => {
                let lease = self.inherited_lease(&node.id, node.born);
                let worker = Worker::new(node.clone(), lease, self.new_incarnation(), now);
                self.workers.insert(at, worker);
            }
        }
    }

    /// Applies new information on a worker, which may have restarted; that on a former incarnation changes nothing.
    pub(super) fn update_node_at(&mut self, at: usize, node: Node, now: Millis) {
        let known = self.workers[at].node.born;
        let is_unknown = node.born == 0 || self.workers[at].refuted_born == Some(node.born);
        if known != 0 && node.born > known && !is_unknown {
            self.handle_restart(at, node, now);
        } else if is_unknown {
            self.workers[at].update(Node {
                born: known,
                ..node
            });
        } else if node.born >= known {
            // The incarnation of a worker that only a record names becomes known with its first entry or report.
            if known == 0 && !self.workers[at].lease.has_report() {
                self.workers[at].lease = self.inherited_lease(&node.id, node.born);
            }
            self.workers[at].update(node);
        }
    }

    /// Applies the start of a worker's incarnation that a report tells.
    ///
    /// It goes before what the registry says. Only the present incarnation answers an order with its token; the time of
    /// day may have been set back before it started.
    pub(super) fn update_born(&mut self, at: usize, born: u64, now: Millis) {
        let known = self.workers[at].node.born;
        let mut node = self.workers[at].node.clone();
        node.born = born;
        if known == 0 {
            self.update_node_at(at, node, now);
            return;
        }
        self.handle_restart(at, node, now);
        if born < known {
            self.workers[at].refuted_born = Some(known);
        }
    }

    /// Handles a restart of a worker, which ended the runs that it had.
    ///
    /// The lead may have ordered starts since then that the restarted worker has carried out, or will until it answers
    /// an order with the next fencing token. Only its report in that answer tells which runs are there.
    fn handle_restart(&mut self, at: usize, node: Node, now: Millis) {
        self.counters.worker_restarts += 1;
        let open = self.workers[at].orders.starts().count();
        let detail = format!("born={} open_starts={open}", node.born);
        self.log("worker-reborn", node.id.to_string(), detail);
        let id = node.id.clone();
        let settings = self.settings;
        self.count_crash(at, now);
        for run in self.workers[at].runs.clone() {
            self.log_loss(at, &run, now);
        }
        self.end_tickets(&id);
        self.generation = self.generation.saturating_add(1);
        let late = self.workers[at].late_orders_until(&settings, now);
        // Orders of earlier leads may be late too, until the restarted worker has answered this one.
        let lapse = late + settings.restart_lease();
        let lease = Lease::after_restart(lapse.max(self.inherited.longest_after_restart()));
        let incarnation = self.new_incarnation();
        for mut run in self.workers[at].reset(node, lease, incarnation, late, now) {
            if let Some(team) = &run.team {
                self.quotas.refund(team, &run.needs);
            }
            match run.phase {
                // The restarted worker may have answered an earlier stop. Until it has ended, the run would be in neither
                // list of a report.
                worker::Phase::Stop | worker::Phase::Stopping | worker::Phase::Stopped(_) => {
                    run.phase = worker::Phase::Stop;
                    self.add_run(at, run);
                }
                worker::Phase::Ordered | worker::Phase::Unknown(_) | worker::Phase::Running => {
                    run.outlived = true;
                    self.add_run(at, run);
                }
                worker::Phase::Recording => {
                    let evidence = Evidence::new(Ground::Unordered, now);
                    self.record_release(at, &run, evidence, now);
                    self.end_evacuation(&run.task, run.run);
                    self.remove_place(&run.task, run.run, &id);
                }
            }
        }
    }

    /// Returns the position of a worker that an earlier lead knew, and adds a placeholder for an unknown one.
    pub(super) fn expect_worker(&mut self, id: &id::Worker, now: Millis) -> usize {
        self.search_worker(id).unwrap_or_else(|at| {
            let node = placeholder_node(id.clone());
            let lease = self.inherited_lease(id, node.born);
            let mut worker = Worker::new(node, lease, self.new_incarnation(), now);
            worker.is_registered = false;
            self.workers.insert(at, worker);
            at
        })
    }

    /// Adds a run that an earlier lead recorded, whose state is unknown.
    ///
    /// If its job is over, the run is stopped once more.
    pub(super) fn expect_run(&mut self, task: &Task, place: &Place, now: Millis) {
        let at = self.expect_worker(&place.worker, now);
        let is_over = self
            .job(&task.part.job)
            .is_some_and(|job| job.phase.is_over());
        let phase = if is_over {
            worker::Phase::Stop
        } else {
            worker::Phase::Unknown(now)
        };
        if let Some(run) = self.new_run(task, place.run, phase, now) {
            self.add_run(at, run);
        }
    }
}

/// Returns a placeholder for a worker that is known only from a job's record.
fn placeholder_node(id: id::Worker) -> Node {
    Node {
        id,
        born: 0,
        address: String::new(),
        service: Name::new("unknown").expect("a valid name"),
        domain: id::Domain::new("unknown").expect("a valid name"),
        kind: None,
        rack: None,
        labels: Vec::new(),
        capacity: Amount::default(),
        draining: false,
        remaining: None,
    }
}
