//! The workers that there are: the registry's list, new lives, and what earlier leads recorded.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Task;
use marigoldpick_core::work::port::Node;

use super::Lead;
use crate::job::Place;
use crate::worker::{self, Worker};

/// How long a worker that the registry no longer has is kept, while nothing runs there.
const FORGET: Millis = Millis(10_000);

impl Lead {
    /// Takes in the registry's list, sorted by id.
    pub fn fleet(&mut self, nodes: &[Node], now: Millis) {
        for worker in &mut self.workers {
            worker.present = false;
        }
        for node in nodes {
            self.update_node(node, now);
        }
        let settings = self.settings;
        self.workers.retain(|worker| {
            worker.present
                || !worker.runs.is_empty()
                || worker.holding
                || now < worker.lapse + FORGET + settings.lease
        });
        self.unscheduled = true;
    }

    fn update_node(&mut self, node: &Node, now: Millis) {
        match self.search_worker(&node.id) {
            Ok(at) => {
                self.replace_node(at, node.clone(), now);
                self.workers[at].present = true;
            }
            Err(at) => {
                let worker = Worker::new(node.clone(), self.unknown_lapse());
                self.workers.insert(at, worker);
            }
        }
    }

    /// Takes in what is now known of a worker, which may be in a new life.
    pub(super) fn replace_node(&mut self, at: usize, node: Node, now: Millis) {
        let known = self.workers[at].node.born;
        if known != 0 && node.born > known {
            self.reborn(at, node, now);
        } else {
            self.workers[at].update(node);
        }
    }

    /// Returns when whatever an earlier lead may have left on a silent worker has ended.
    pub(super) fn unknown_lapse(&self) -> Millis {
        self.since + self.settings.term_grace + self.settings.inherited_lease()
    }

    /// Notes that a worker has begun a new life; what ran in the old one has ended.
    fn reborn(&mut self, at: usize, node: Node, now: Millis) {
        self.note(
            "worker-reborn",
            node.id.to_string(),
            format!("born={}", node.born),
        );
        let id = node.id.clone();
        for mut run in self.workers[at].renew(node, now) {
            match run.phase {
                // A late order could still start it in the new life.
                worker::Phase::Unknown(_) | worker::Phase::Stop | worker::Phase::Stopping => {
                    run.phase = worker::Phase::Stop;
                    self.workers[at].add(run);
                }
                _ => self.unplace(&run.task, run.run, &id),
            }
        }
    }

    /// Expects a run that an earlier lead recorded.
    pub(super) fn expect_run(&mut self, task: &Task, place: &Place, now: Millis) {
        let at = self.search_worker(&place.worker).unwrap_or_else(|at| {
            let mut worker = Worker::new(unlisted(place.worker.clone()), self.unknown_lapse());
            worker.present = false;
            self.workers.insert(at, worker);
            at
        });
        let phase = worker::Phase::Unknown(now);
        if let Some(run) = self.run_of(task, place.run, phase, now) {
            self.workers[at].add(run);
        }
    }
}

/// Returns what is known of a worker that only a record names.
fn unlisted(id: id::Worker) -> Node {
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
