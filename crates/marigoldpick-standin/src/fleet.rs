//! Simulates all workers of a platform and records what actually runs on them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http_types::{Request, Response, StatusCode};
use marigoldpick_core::clock::System;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Answer, Call, Outcome, Refusal, Spec};
use marigoldpick_platform::{DOMAIN_HEADER, ENTRY_HEADER};
use rand::Rng;

use crate::command::Command;
use crate::endpoint::Endpoint;
use crate::http::{drop_connection, header, json_without_type, parse};
use crate::listener::{Handler, Listener};
use crate::partition::Partition;
use crate::seed::Seed;
use crate::settings::{Range, Settings};
use crate::truth::{Counters, Executed, Requests, Tasks, Truth};
use crate::worker::{Behaviour, Run, Worker};

/// The largest accepted body of a call.
const MAX_BODY_BYTES: usize = 4 << 20;
/// The most connections to one worker.
const MAX_CONNECTIONS: usize = 256;
/// The most by which a worker's clock is ahead of the platform's.
const MAX_CLOCK_OFFSET: Millis = Millis::from_secs(1_000);
/// The factor by which the size of one task differs from the size of its job.
const TASK_SIZE_FACTOR: Range = Range::new(0.95, 1.05);

/// `Fleet` is all workers of a platform.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    requests: Arc<Mutex<Requests>>,
    counters: Mutex<Counters>,
    settings: Settings,
    partition: Partition,
    clock: System,
}

#[derive(Debug)]
struct State {
    /// The hosts of all workers, sorted by worker.
    hosts: Vec<Host>,
    tasks: Tasks,
    /// The resources that the first start of each job reserved.
    declared: HashMap<id::Job, Amount>,
}

/// `Host` is the VM of one worker: its failure domain, its listener and whether it is gone.
#[derive(Debug)]
struct Host {
    worker: Worker,
    domain: id::Domain,
    listener: Option<Listener>,
    gone: bool,
}

/// `Api` is the HTTP interface of one worker.
#[derive(Clone, Debug)]
struct Api {
    fleet: Fleet,
    host: usize,
}

impl Fleet {
    /// Creates the workers that the settings name, without listeners.
    pub(crate) fn new(settings: &Settings, partition: &Partition, clock: System) -> Self {
        let mut hosts: Vec<Host> = Vec::new();
        for domain in &settings.domain {
            for rack in &domain.rack {
                for number in 0..rack.workers {
                    let id = worker_id(&rack.name, number);
                    hosts.push(Host {
                        worker: new_worker(id, &rack.size, settings),
                        domain: domain.name.clone(),
                        listener: None,
                        gone: false,
                    });
                }
            }
        }
        hosts.sort_unstable_by(|a, b| a.worker.id.cmp(&b.worker.id));
        let state = State {
            hosts,
            tasks: Tasks::default(),
            declared: HashMap::new(),
        };
        Self {
            inner: Arc::new(Inner {
                state: Mutex::new(state),
                requests: Arc::default(),
                counters: Mutex::default(),
                settings: settings.clone(),
                partition: partition.clone(),
                clock,
            }),
        }
    }

    /// Opens a listener for each worker and returns their addresses.
    ///
    /// # Errors
    /// Fails when no port is free.
    pub(crate) fn listen(&self) -> std::io::Result<Vec<(id::Worker, String)>> {
        let mut state = self.lock();
        let mut addresses = Vec::new();
        for (at, host) in state.hosts.iter_mut().enumerate() {
            let api = Api {
                fleet: self.clone(),
                host: at,
            };
            let listener = Listener::start("127.0.0.1:0", MAX_CONNECTIONS, api)?;
            let address = format!("http://{}", listener.address());
            addresses.push((host.worker.id.clone(), address));
            host.listener = Some(listener);
        }
        Ok(addresses)
    }

    /// Ends all runs and closes all listeners.
    pub(crate) fn end(&self) {
        let mut state = self.lock();
        for host in &mut state.hosts {
            host.worker.remove_runs();
            if let Some(listener) = host.listener.take() {
                listener.end();
            }
        }
    }

    /// Ends the runs that are due to end by now.
    pub(crate) fn tick(&self) {
        let now = self.inner.clock.now();
        let mut state = self.lock();
        (0..state.hosts.len()).for_each(|at| self.end_due_runs(&mut state, at, now));
    }

    /// Removes a VM with all its runs, or restores it empty.
    ///
    /// Returns whether the worker exists.
    pub(crate) fn set_gone(&self, worker: &id::Worker, gone: bool) -> bool {
        let mut state = self.lock();
        let Some(at) = state.find(worker) else {
            return false;
        };
        let state = &mut *state;
        let host = &mut state.hosts[at];
        if host.gone == gone {
            return true;
        }
        host.gone = gone;
        if gone {
            for run in host.worker.remove_runs() {
                state.tasks.record_end(&run.task, worker, false);
            }
            let size = host.worker.size.clone();
            host.worker = new_worker(worker.clone(), &size, &self.inner.settings);
        }
        if let Some(listener) = &host.listener {
            if gone {
                listener.close()
            } else {
                listener.open()
            }
        }
        true
    }

    /// Sets whether every run that is started on the worker fails at once.
    ///
    /// Returns whether the worker exists.
    pub(crate) fn set_failing(&self, worker: &id::Worker, failing: bool) -> bool {
        let mut state = self.lock();
        let Some(at) = state.find(worker) else {
            return false;
        };
        state.hosts[at].worker.failing = failing;
        true
    }

    /// Makes an endpoint's requests take `factor` times as long; returns whether the endpoint runs.
    pub(crate) fn slow_endpoint(&self, task: &id::Task, factor: u32) -> bool {
        let state = self.lock();
        let endpoint = state
            .hosts
            .iter()
            .find_map(|host| host.worker.run_of(task)?.endpoint.as_ref());
        endpoint
            .map(|endpoint| endpoint.set_slowdown(factor))
            .is_some()
    }

    /// Stops an endpoint's task with its grace period; returns whether the task runs.
    pub(crate) fn stop_task(&self, task: &id::Task) -> bool {
        let now = self.inner.clock.now();
        let mut state = self.lock();
        let running = state
            .hosts
            .iter_mut()
            .find(|host| host.worker.run_of(task).is_some());
        running
            .map(|host| host.worker.stop_task(task, now))
            .is_some()
    }

    /// Adds the workers' counts to `truth`.
    pub(crate) fn add_to(&self, truth: &mut Truth) {
        self.lock().tasks.add_to(truth);
        lock(&self.inner.requests).add_to(truth);
        truth.worker_calls = lock(&self.inner.counters).counts();
    }

    /// Returns the executions of each request, sorted by id.
    pub(crate) fn executed(&self) -> Vec<Executed> {
        lock(&self.inner.requests).executed()
    }

    /// Returns the executions of one request.
    pub(crate) fn executed_of(&self, request: &str) -> Option<Executed> {
        lock(&self.inner.requests).executed_of(request)
    }

    /// Returns the tasks of which a run completed.
    pub(crate) fn completed(&self) -> Vec<id::Task> {
        self.lock().tasks.completed()
    }

    /// Returns the tasks that are running.
    pub(crate) fn running(&self) -> Vec<id::Task> {
        self.lock().tasks.running()
    }

    fn call(&self, at: usize, call: Call) -> std::io::Result<Answer> {
        let now = self.inner.clock.now();
        let mut state = self.lock();
        self.end_due_runs(&mut state, at, now);
        if let Call::Renew { epoch, stamp, .. } | Call::Start { epoch, stamp, .. } = &call {
            state.hosts[at].worker.acknowledge(*epoch, *stamp);
        }
        let is_whole = matches!(call, Call::Claim { .. } | Call::List);
        let result = match call {
            Call::Start {
                epoch,
                stamp,
                span,
                spec,
            } => {
                let admitted = state.hosts[at].worker.admit(epoch, stamp, span, &spec, now);
                if admitted.is_ok() {
                    self.start(&mut state, at, spec, now)?;
                }
                admitted
            }
            call => state.hosts[at].worker.apply(&call, now),
        };
        if result == Err(Refusal::Full) {
            state.tasks.record_refusal();
        }
        Ok(state.hosts[at].worker.answer(result.err(), is_whole, now))
    }

    fn start(&self, state: &mut State, at: usize, spec: Spec, now: Millis) -> std::io::Result<()> {
        let worker = state.hosts[at].worker.id.clone();
        let task = spec.run.task.clone();
        // A run elsewhere that is already due to end must not count as a second place.
        while let Some(other) = state.tasks.other_worker(&task, &worker).cloned() {
            let Some(other_at) = state.find(&other) else {
                break;
            };
            self.end_due_runs(state, other_at, now);
            if state.hosts[other_at].worker.run_of(&task).is_some() {
                break;
            }
        }
        let settings = &self.inner.settings;
        let behaviour = self.draw_behaviour(state, at, &spec);
        let domain = &state.hosts[at].domain;
        let endpoint = spec
            .service
            .as_ref()
            .map(|_| {
                Endpoint::start(
                    &spec,
                    domain,
                    &self.inner.partition,
                    &self.inner.requests,
                    settings,
                )
            })
            .transpose()?;
        let idempotent = spec.idempotent;
        let target = &mut state.hosts[at].worker;
        let local = target.local(now);
        target.add_run(Run::new(spec, behaviour, endpoint, local));
        let (reserved, size) = (target.reserved(), target.size.clone());
        state
            .tasks
            .record_start(&task, idempotent, &worker, &reserved, &size);
        Ok(())
    }

    fn draw_behaviour(&self, state: &mut State, at: usize, spec: &Spec) -> Behaviour {
        let settings = &self.inner.settings;
        let seed = Seed(settings.seed);
        let command = Command::parse(&spec.command);
        let task = spec.run.task.to_string();
        let job = &spec.run.task.job;
        let declared = state
            .declared
            .entry(job.clone())
            .or_insert_with(|| spec.needs.clone());
        let factor = command.size_percent.map_or_else(
            || {
                seed.draw("size", job.as_str(), settings.task.size)
                    * seed.draw("jitter", &task, TASK_SIZE_FACTOR)
            },
            |percent| f64::from(percent) / 100.0,
        );
        let usage = Amount {
            millicores: scale(declared.millicores, factor),
            memory_mib: scale(declared.memory_mib, factor),
            accelerators: declared.accelerators.clone(),
        };
        let is_endless = command.forever || spec.service.is_some();
        let drawn = || Millis(seed.draw("run", &task, settings.task.run_ms) as u64);
        let draws_failure = seed
            .generator("fail", &spec.run.to_string())
            .random_range(0..100)
            < command.fail_percent;
        let is_short_of_memory = usage.memory_mib > spec.needs.memory_mib;
        Behaviour {
            run_time: (!is_endless).then(|| command.run_time.unwrap_or_else(drawn)),
            fails: state.hosts[at].worker.failing || draws_failure || is_short_of_memory,
            usage,
        }
    }

    fn end_due_runs(&self, state: &mut State, at: usize, now: Millis) {
        let worker = &mut state.hosts[at].worker;
        for ended in worker.end_due_runs(now) {
            let done = ended.outcome == Outcome::Done;
            state.tasks.record_end(&ended.run.task, &worker.id, done);
            if ended.cut > 0 {
                lock(&self.inner.requests).record_cut(ended.cut);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.inner.state)
    }
}

impl State {
    fn find(&self, worker: &id::Worker) -> Option<usize> {
        self.hosts
            .binary_search_by(|host| host.worker.id.cmp(worker))
            .ok()
    }
}

impl Handler for Api {
    async fn answer(&self, mut request: Request) -> http_types::Result<Response> {
        let inner = &self.fleet.inner;
        let domain = self.fleet.lock().hosts[self.host].domain.clone();
        if !inner
            .partition
            .can_pass(header(&request, DOMAIN_HEADER), Some(&domain))
        {
            return Err(drop_connection());
        }
        if request.url().path() != "/v1/worker" {
            return Ok(Response::new(StatusCode::NotFound));
        }
        let call: Call = match parse(&mut request, MAX_BODY_BYTES).await {
            Ok(call) => call,
            Err(status) => return Ok(Response::new(status)),
        };
        let caller = header(&request, ENTRY_HEADER).unwrap_or_default();
        lock(&inner.counters).add(caller, call.kind());
        let epoch = call.epoch();
        let answer = self.fleet.call(self.host, call);
        let answer = answer.map_err(|_source| drop_connection())?;
        Ok(json_without_type(&answer.omit_epoch(epoch)))
    }
}

/// Returns the id of a worker from its rack and number.
pub(crate) fn worker_id(rack: &id::Rack, number: u32) -> id::Worker {
    id::Worker::new(&format!("{rack}/w{number}")).expect("checked with the settings")
}

fn new_worker(id: id::Worker, size: &Amount, settings: &Settings) -> Worker {
    let bounds = Range::new(0.0, MAX_CLOCK_OFFSET.0 as f64);
    let offset = Seed(settings.seed).draw("ahead", id.as_str(), bounds);
    Worker::new(id, size.clone(), Millis(offset as u64), settings)
}

fn scale(amount: u64, factor: f64) -> u64 {
    ((amount as f64) * factor).ceil() as u64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
