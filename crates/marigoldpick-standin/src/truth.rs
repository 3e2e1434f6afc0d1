//! What truly happened, counted by the stand-ins alone.

use std::collections::{BTreeMap, HashMap};

use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Where the entries of the configuration log are kept in the store.
const CONFIG_LOG: &str = "config/log/";

/// `Truth` is the sum of what happened on a platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Truth {
    /// Tasks that were started at least once.
    pub tasks_started: u64,
    /// Starts of tasks, repeated ones included.
    pub starts: u64,
    /// Tasks of which a run ended well.
    pub tasks_completed: u64,
    /// Tasks that went on after a run of them had ended well.
    pub tasks_done_twice: u64,
    /// Tasks that ran in two places at one time.
    pub tasks_in_two_places: u64,
    /// Non-idempotent tasks that were started more than once.
    pub tasks_started_twice: u64,
    /// Tasks running now.
    pub tasks_running: u64,
    /// Starts that made a VM carry more than its size.
    pub vm_overloads: u64,
    /// Starts that a worker refused since its size would have been passed.
    pub starts_refused: u64,
    /// The most that each VM carried, for those that carried something, sorted by worker.
    pub carried: Vec<Carried>,
    /// Runs of requests.
    pub requests_run: u64,
    /// Non-idempotent request ids that ran more than once.
    pub requests_run_twice: u64,
    /// Requests that endpoints refused unread.
    pub requests_refused: u64,
    /// Requests in flight when a planned stop ended their endpoint.
    pub requests_cut: u64,
    /// Entries of the configuration log that were created.
    pub configs_accepted: u64,
    /// Entries of the configuration log that were changed after that, or created past a gap.
    pub configs_reverted: u64,
    /// Calls to the store by caller and kind.
    pub store_calls: Vec<Count>,
    /// Calls to workers by caller and kind.
    pub worker_calls: Vec<Count>,
}

/// `Carried` is the most that one VM carried of each resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carried {
    /// The worker.
    pub worker: id::Worker,
    /// The most of each resource.
    pub most: Amount,
    /// What the VM has.
    pub size: Amount,
    /// Tasks started there.
    pub starts: u64,
}

/// `Count` is how often a caller made calls of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The caller's entry; empty for calls that named none.
    pub caller: String,
    /// The kind.
    pub kind: String,
    /// How often.
    pub calls: u64,
}

/// `Executed` is what became of one request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executed {
    /// The request.
    pub request: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Each run, in order.
    pub runs: Vec<Execution>,
}

/// `Execution` is one run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The attempt that the request named.
    pub attempt: u32,
    /// The task whose endpoint ran it.
    pub task: id::Task,
}

/// `Counters` counts calls by caller and kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters(BTreeMap<(String, &'static str), u64>);

impl Counters {
    /// Adds a call.
    pub(crate) fn add(&mut self, caller: &str, kind: &'static str) {
        *self.0.entry((caller.to_owned(), kind)).or_default() += 1;
    }

    /// Returns the counts, sorted by caller and kind.
    pub(crate) fn counts(&self) -> Vec<Count> {
        self.0
            .iter()
            .map(|((caller, kind), calls)| Count {
                caller: caller.clone(),
                kind: (*kind).to_owned(),
                calls: *calls,
            })
            .collect()
    }
}

/// `Configs` follows the configuration log; removing old entries is no change of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configs {
    accepted: BTreeMap<u64, [u8; 32]>,
    /// Numbers that were changed after they had been accepted, or accepted past a gap.
    pub(crate) reverted: u64,
}

impl Configs {
    /// Notes a write of `key`.
    pub(crate) fn written(&mut self, key: &str, value: &str) {
        let Some(number) = key.strip_prefix(CONFIG_LOG).and_then(|n| n.parse().ok()) else {
            return;
        };
        let digest: [u8; 32] = Sha256::digest(value).into();
        let is_dense = number <= 1 || self.accepted.contains_key(&(number - 1));
        let before = self.accepted.insert(number, digest);
        if !is_dense || before.is_some_and(|before| before != digest) {
            self.reverted += 1;
        }
    }

    /// Returns how many entries were accepted.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.len() as u64
    }
}

/// `Tasks` follows which task runs where.
#[derive(Debug, Default)]
pub(crate) struct Tasks {
    tasks: HashMap<id::Task, Life>,
    workers: BTreeMap<id::Worker, Carried>,
    overloads: u64,
    refused: u64,
}

/// `Life` is what became of one task.
#[derive(Debug, Default)]
struct Life {
    active: Vec<id::Worker>,
    starts: u64,
    idempotent: bool,
    done: bool,
    done_twice: bool,
    two_places: bool,
}

impl Tasks {
    /// Returns another worker on which the task runs, as far as it is known yet.
    pub(crate) fn elsewhere(&self, task: &id::Task, worker: &id::Worker) -> Option<&id::Worker> {
        let life = self.tasks.get(task)?;
        life.active.iter().find(|active| *active != worker)
    }

    /// Notes a start on a VM that now carries `carried` and has `size`.
    pub(crate) fn started(
        &mut self,
        task: &id::Task,
        idempotent: bool,
        worker: &id::Worker,
        carried: &Amount,
        size: &Amount,
    ) {
        let life = self.tasks.entry(task.clone()).or_default();
        life.two_places |= !life.active.is_empty();
        life.done_twice |= life.done;
        life.active.push(worker.clone());
        life.starts += 1;
        life.idempotent = idempotent;
        if !size.holds(carried) {
            self.overloads += 1;
        }
        let entry = self
            .workers
            .entry(worker.clone())
            .or_insert_with(|| Carried {
                worker: worker.clone(),
                most: Amount::default(),
                size: size.clone(),
                starts: 0,
            });
        entry.starts += 1;
        raise(&mut entry.most, carried);
    }

    /// Notes the end of a run.
    pub(crate) fn ended(&mut self, task: &id::Task, worker: &id::Worker, done: bool) {
        let Some(life) = self.tasks.get_mut(task) else {
            return;
        };
        if let Some(at) = life.active.iter().position(|active| active == worker) {
            life.active.remove(at);
        }
        life.done |= done;
    }

    /// Notes a start that was refused for its size.
    pub(crate) const fn refused(&mut self) {
        self.refused += 1;
    }

    /// Returns the tasks of which a run ended well, sorted.
    pub(crate) fn completed(&self) -> Vec<id::Task> {
        self.select(|life| life.done)
    }

    /// Returns the tasks that run now, sorted.
    pub(crate) fn running(&self) -> Vec<id::Task> {
        self.select(|life| !life.active.is_empty())
    }

    fn select(&self, wanted: impl Fn(&Life) -> bool) -> Vec<id::Task> {
        let lives = self.tasks.iter().filter(|(_, life)| wanted(life));
        let mut tasks: Vec<id::Task> = lives.map(|(task, _)| task.clone()).collect();
        tasks.sort_unstable();
        tasks
    }

    /// Adds the sums to `truth`.
    pub(crate) fn sum(&self, truth: &mut Truth) {
        for life in self.tasks.values() {
            truth.tasks_started += 1;
            truth.starts += life.starts;
            truth.tasks_completed += u64::from(life.done);
            truth.tasks_done_twice += u64::from(life.done_twice);
            truth.tasks_in_two_places += u64::from(life.two_places);
            truth.tasks_started_twice += u64::from(!life.idempotent && life.starts > 1);
            truth.tasks_running += u64::from(!life.active.is_empty());
        }
        truth.vm_overloads += self.overloads;
        truth.starts_refused += self.refused;
        truth.carried = self.workers.values().cloned().collect();
    }
}

fn raise(most: &mut Amount, carried: &Amount) {
    most.millicores = most.millicores.max(carried.millicores);
    most.memory_mib = most.memory_mib.max(carried.memory_mib);
    for accelerators in &carried.accelerators {
        let missing = accelerators
            .count
            .saturating_sub(most.accelerators_of(&accelerators.kind));
        *most = std::mem::take(most).with(accelerators.kind.clone(), missing);
    }
}

/// `Requests` follows which request ran how often.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    executed: HashMap<String, Executed>,
    refused: u64,
    cut: u64,
}

impl Requests {
    /// Notes a run.
    pub(crate) fn ran(&mut self, request: &str, idempotent: bool, execution: Execution) {
        let executed = self
            .executed
            .entry(request.to_owned())
            .or_insert_with(|| Executed {
                request: request.to_owned(),
                idempotent,
                runs: Vec::new(),
            });
        executed.idempotent &= idempotent;
        executed.runs.push(execution);
    }

    /// Notes a refusal.
    pub(crate) const fn refused(&mut self) {
        self.refused += 1;
    }

    /// Notes requests that a planned stop cut off.
    pub(crate) const fn cut(&mut self, count: u64) {
        self.cut += count;
    }

    /// Returns what became of each request, sorted by id.
    pub(crate) fn executed(&self) -> Vec<Executed> {
        let mut executed: Vec<Executed> = self.executed.values().cloned().collect();
        executed.sort_unstable_by(|a, b| a.request.cmp(&b.request));
        executed
    }

    /// Returns what became of one request.
    pub(crate) fn executed_of(&self, request: &str) -> Option<Executed> {
        self.executed.get(request).cloned()
    }

    /// Adds the sums to `truth`.
    pub(crate) fn sum(&self, truth: &mut Truth) {
        for executed in self.executed.values() {
            let runs = executed.runs.len() as u64;
            truth.requests_run += runs;
            truth.requests_run_twice += u64::from(!executed.idempotent && runs > 1);
        }
        truth.requests_refused += self.refused;
        truth.requests_cut += self.cut;
    }
}
