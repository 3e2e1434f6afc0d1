//! Counts what actually happened on the simulated platform, independently of the scheduler.

use std::collections::{BTreeMap, HashMap};

use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The prefix of the keys of the configuration log's entries.
const CONFIG_LOG: &str = "config/log/";

/// `Truth` is the counts of what happened on a platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Truth {
    /// Tasks that were started at least once.
    pub tasks_started: u64,
    /// Starts of tasks, including repeated ones.
    pub starts: u64,
    /// Tasks of which a run completed.
    pub tasks_completed: u64,
    /// Tasks that were started again after one of their runs had completed.
    pub tasks_done_twice: u64,
    /// Tasks that ran in two places at the same time.
    pub tasks_in_two_places: u64,
    /// Non-idempotent tasks that were started more than once.
    pub tasks_started_twice: u64,
    /// Tasks that are running.
    pub tasks_running: u64,
    /// Starts that made the reservations on a VM exceed its size.
    pub vm_overloads: u64,
    /// Starts that a worker refused because they would have exceeded its size.
    pub starts_refused: u64,
    /// The peak reservations of each VM on which tasks started, sorted by worker.
    pub carried: Vec<Carried>,
    /// Executions of requests.
    pub requests_run: u64,
    /// Non-idempotent request ids that ran more than once.
    pub requests_run_twice: u64,
    /// Requests that endpoints refused before reading their bodies.
    pub requests_refused: u64,
    /// Requests in flight that were lost when a planned stop ended their endpoint.
    pub requests_cut: u64,
    /// Entries of the configuration log that were created.
    pub configs_accepted: u64,
    /// Entries of the configuration log that were changed after creation, or created past a gap.
    pub configs_reverted: u64,
    /// Calls to the store by caller and kind.
    pub store_calls: Vec<Count>,
    /// Calls to workers by caller and kind.
    pub worker_calls: Vec<Count>,
}

/// `Carried` is the peak reservation of each resource on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carried {
    /// The worker.
    pub worker: id::Worker,
    /// The peak reservation of each resource.
    pub most: Amount,
    /// The resources of the VM.
    pub size: Amount,
    /// The number of starts on the VM.
    pub starts: u64,
}

/// `Count` is the number of calls of one kind from one caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The caller's entry; empty for calls that named none.
    pub caller: String,
    /// The kind of call.
    pub kind: String,
    /// The number of calls.
    pub calls: u64,
}

/// `Executed` is the executions of one request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executed {
    /// The request id.
    pub request: String,
    /// Whether all its executions were marked as idempotent.
    pub idempotent: bool,
    /// The executions in order.
    pub runs: Vec<Execution>,
}

/// `Execution` is one execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The attempt number in the request.
    pub attempt: u32,
    /// The task whose endpoint executed the request.
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

/// `Configs` tracks writes to the configuration log; the removal of old entries does not count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configs {
    /// The digest of each accepted entry by its number.
    accepted: BTreeMap<u64, [u8; 32]>,
    /// The number of entries that were changed after acceptance, or accepted past a gap.
    pub(crate) reverted: u64,
}

impl Configs {
    /// Records a write of `key`.
    pub(crate) fn record_write(&mut self, key: &str, value: &str) {
        let Some(number) = key.strip_prefix(CONFIG_LOG).and_then(|n| n.parse().ok()) else {
            return;
        };
        let digest: [u8; 32] = Sha256::digest(value).into();
        let has_predecessor = number <= 1 || self.accepted.contains_key(&(number - 1));
        let before = self.accepted.insert(number, digest);
        if !has_predecessor || before.is_some_and(|before| before != digest) {
            self.reverted += 1;
        }
    }

    /// Returns how many entries were accepted.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.len() as u64
    }
}

/// `Tasks` tracks which task runs where.
#[derive(Debug, Default)]
pub(crate) struct Tasks {
    tasks: HashMap<id::Task, History>,
    workers: BTreeMap<id::Worker, Carried>,
    overloads: u64,
    refused: u64,
}

/// `History` is the history of one task.
#[derive(Debug, Default)]
struct History {
    active: Vec<id::Worker>,
    starts: u64,
    idempotent: bool,
    done: bool,
    restarted_after_done: bool,
    two_places: bool,
}

impl Tasks {
    /// Returns another worker on which the task still runs according to the recorded ends.
    pub(crate) fn other_worker(&self, task: &id::Task, worker: &id::Worker) -> Option<&id::Worker> {
        let history = self.tasks.get(task)?;
        history.active.iter().find(|active| *active != worker)
    }

    /// Records a start on a VM of `size` on which `reserved` is now reserved.
    pub(crate) fn record_start(
        &mut self,
        task: &id::Task,
        idempotent: bool,
        worker: &id::Worker,
        reserved: &Amount,
        size: &Amount,
    ) {
        let history = self.tasks.entry(task.clone()).or_default();
        history.two_places |= !history.active.is_empty();
        history.restarted_after_done |= history.done;
        history.active.push(worker.clone());
        history.starts += 1;
        history.idempotent = idempotent;
        if !size.holds(reserved) {
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
        raise_peak(&mut entry.most, reserved);
    }

    /// Records the end of a run.
    pub(crate) fn record_end(&mut self, task: &id::Task, worker: &id::Worker, done: bool) {
        let Some(history) = self.tasks.get_mut(task) else {
            return;
        };
        if let Some(at) = history.active.iter().position(|active| active == worker) {
            history.active.remove(at);
        }
        history.done |= done;
    }

    /// Records a start that was refused because of its size.
    pub(crate) const fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Returns the tasks of which a run completed, sorted.
    pub(crate) fn completed(&self) -> Vec<id::Task> {
        self.select(|history| history.done)
    }

    /// Returns the tasks that are running, sorted.
    pub(crate) fn running(&self) -> Vec<id::Task> {
        self.select(|history| !history.active.is_empty())
    }

    fn select(&self, wanted: impl Fn(&History) -> bool) -> Vec<id::Task> {
        let histories = self.tasks.iter().filter(|(_, history)| wanted(history));
        let mut tasks: Vec<id::Task> = histories.map(|(task, _)| task.clone()).collect();
        tasks.sort_unstable();
        tasks
    }

    /// Adds the counts to `truth`.
    pub(crate) fn add_to(&self, truth: &mut Truth) {
        for history in self.tasks.values() {
            truth.tasks_started += 1;
            truth.starts += history.starts;
            truth.tasks_completed += u64::from(history.done);
            truth.tasks_done_twice += u64::from(history.restarted_after_done);
            truth.tasks_in_two_places += u64::from(history.two_places);
            truth.tasks_started_twice += u64::from(!history.idempotent && history.starts > 1);
            truth.tasks_running += u64::from(!history.active.is_empty());
        }
        truth.vm_overloads += self.overloads;
        truth.starts_refused += self.refused;
        truth.carried = self.workers.values().cloned().collect();
    }
}

fn raise_peak(peak: &mut Amount, reserved: &Amount) {
    peak.millicores = peak.millicores.max(reserved.millicores);
    peak.memory_mib = peak.memory_mib.max(reserved.memory_mib);
    for accelerators in &reserved.accelerators {
        let increase = accelerators
            .count
            .saturating_sub(peak.accelerators_of(&accelerators.kind));
        *peak = std::mem::take(peak).with(accelerators.kind.clone(), increase);
    }
}

/// `Requests` tracks how often each request was executed.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    executed: HashMap<String, Executed>,
    refused: u64,
    cut: u64,
}

impl Requests {
    /// Records an execution of a request.
    pub(crate) fn record_execution(
        &mut self,
        request: &str,
        idempotent: bool,
        execution: Execution,
    ) {
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

    /// Records a refused request.
    pub(crate) const fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Records requests that a planned stop cut off.
    pub(crate) const fn record_cut(&mut self, count: u64) {
        self.cut += count;
    }

    /// Returns the executions of each request, sorted by id.
    pub(crate) fn executed(&self) -> Vec<Executed> {
        let mut executed: Vec<Executed> = self.executed.values().cloned().collect();
        executed.sort_unstable_by(|a, b| a.request.cmp(&b.request));
        executed
    }

    /// Returns the executions of one request.
    pub(crate) fn executed_of(&self, request: &str) -> Option<Executed> {
        self.executed.get(request).cloned()
    }

    /// Adds the counts to `truth`.
    pub(crate) fn add_to(&self, truth: &mut Truth) {
        for executed in self.executed.values() {
            let runs = executed.runs.len() as u64;
            truth.requests_run += runs;
            truth.requests_run_twice += u64::from(!executed.idempotent && runs > 1);
        }
        truth.requests_refused += self.refused;
        truth.requests_cut += self.cut;
    }
}
