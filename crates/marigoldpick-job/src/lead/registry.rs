//! The workers that there are: the registry's list, new lives, and what earlier leads recorded.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Task;
use marigoldpick_core::work::port::Node;

use super::Lead;
use crate::job::Place;
use crate::worker::{self, Worker};

/// How long a worker that the registry no longer has is kept, while nothing runs there.
const FORGET_DELAY: Millis = Millis(10_000);

impl Lead {
    /// Takes in the registry's list, sorted by id.
    pub fn fleet(&mut self, nodes: &[Node], now: Millis) {
        for worker in &mut self.workers {
            worker.is_registered = false;
        }
        for node in nodes {
            self.update_node(node, now);
        }
        let settings = self.settings;
        self.workers.retain(|worker| {
            worker.is_registered
                || !worker.runs.is_empty()
                || worker.hold_in_flight
                || now < worker.lapse + FORGET_DELAY + settings.lease
        });
        self.needs_pass = true;
    }

    fn update_node(&mut self, node: &Node, now: Millis) {
        match self.search_worker(&node.id) {
            Ok(at) => {
                self.update_node_at(at, node.clone(), now);
                self.workers[at].is_registered = true;
            }
            Err(at) => {
                let worker = Worker::new(node.clone(), self.unknown_lapse());
                self.workers.insert(at, worker);
            }
        }
    }

    /// Takes in what is now known of a worker, which may be in a new life.
    pub(super) fn update_node_at(&mut self, at: usize, node: Node, now: Millis) {
        let known = self.workers[at].node.born;
        if known != 0 && node.born > known {
            self.handle_restart(at, node, now);
        } else {
            self.workers[at].update(node);
        }
    }

    /// Returns when whatever an earlier lead may have left on a silent worker has ended.
    pub(super) fn unknown_lapse(&self) -> Millis {
        self.term_start + self.settings.term_grace + self.settings.inherited_lease()
    }

    /// Notes that a worker has begun a new life; what ran in the old one has ended.
    fn handle_restart(&mut self, at: usize, node: Node, now: Millis) {
        self.log(
            "worker-reborn",
            node.id.to_string(),
            format!("born={}", node.born),
        );
        let id = node.id.clone();
        for mut run in self.workers[at].reset(node, now) {
            match run.phase {
                // A late order could still start it in the new life.
                worker::Phase::Unknown(_) | worker::Phase::Stop | worker::Phase::Stopping => {
                    run.phase = worker::Phase::Stop;
                    self.workers[at].add(run);
                }
                _ => self.remove_place(&run.task, run.run, &id),
            }
        }
    }

    /// Expects a run that an earlier lead recorded.
    pub(super) fn expect_run(&mut self, task: &Task, place: &Place, now: Millis) {
        let at = self.search_worker(&place.worker).unwrap_or_else(|at| {
            let mut worker =
                Worker::new(placeholder_node(place.worker.clone()), self.unknown_lapse());
            worker.is_registered = false;
            self.workers.insert(at, worker);
            at
        });
        let phase = worker::Phase::Unknown(now);
        if let Some(run) = self.new_run(task, place.run, phase, now) {
            self.workers[at].add(run);
        }
    }
}

/// Returns what is known of a worker that only a record names.
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
