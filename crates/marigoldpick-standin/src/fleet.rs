//! All workers of a platform, and what truly runs on them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http_types::{Request, Response, StatusCode};
use marigoldpick_core::clock::System;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Answer, Call, Outcome, Refusal, Spec};
use marigoldpick_platform::{DOMAIN_HEADER, ENTRY_HEADER};
use rand::Rng;

use crate::command::Command;
use crate::cut::Cut;
use crate::endpoint::Endpoint;
use crate::http::{drop_connection, header, parse, plain};
use crate::listener::{Handler, Listener};
use crate::seed::Seed;
use crate::settings::{Range, Settings};
use crate::truth::{Counters, Executed, Requests, Tasks, Truth};
use crate::worker::{Nature, Run, Worker};

/// The largest body of a call, in bytes.
const MAX_BODY: usize = 4 << 20;
/// The most connections of one worker.
const MAX_CONNECTIONS: usize = 256;
/// A worker's clock is ahead of the platform's by up to this.
const MAX_AHEAD: Millis = Millis::from_secs(1_000);
/// Tasks of one job differ in size by this share.
const JITTER: Range = Range::new(0.95, 1.05);

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
    cut: Cut,
    clock: System,
}

#[derive(Debug)]
struct State {
    /// Sorted by worker.
    seats: Vec<Seat>,
    tasks: Tasks,
    /// What the first start of each job set aside.
    declared: HashMap<id::Job, Amount>,
}

/// `Seat` is a worker and its place.
#[derive(Debug)]
struct Seat {
    worker: Worker,
    domain: id::Domain,
    listener: Option<Listener>,
    gone: bool,
}

/// `Face` is one worker's interface.
#[derive(Clone, Debug)]
struct Face {
    fleet: Fleet,
    seat: usize,
}

impl Fleet {
    /// Makes the workers that the settings name, without listeners.
    pub(crate) fn new(settings: &Settings, cut: &Cut, clock: System) -> Self {
        let mut seats: Vec<Seat> = Vec::new();
        for domain in &settings.domain {
            for rack in &domain.rack {
                for number in 0..rack.workers {
                    let id = worker_id(&rack.name, number);
                    seats.push(Seat {
                        worker: fresh(id, &rack.size, settings),
                        domain: domain.name.clone(),
                        listener: None,
                        gone: false,
                    });
                }
            }
        }
        seats.sort_unstable_by(|a, b| a.worker.id.cmp(&b.worker.id));
        let state = State {
            seats,
            tasks: Tasks::default(),
            declared: HashMap::new(),
        };
        Self {
            inner: Arc::new(Inner {
                state: Mutex::new(state),
                requests: Arc::default(),
                counters: Mutex::default(),
                settings: settings.clone(),
                cut: cut.clone(),
                clock,
            }),
        }
    }

    /// Opens a listener for each worker and returns their addresses.
    ///
    /// # Errors
    /// Fails when there is no free port.
    pub(crate) fn listen(&self) -> std::io::Result<Vec<(id::Worker, String)>> {
        let mut state = self.lock();
        let mut addresses = Vec::new();
        for (at, seat) in state.seats.iter_mut().enumerate() {
            let face = Face {
                fleet: self.clone(),
                seat: at,
            };
            let listener = Listener::start("127.0.0.1:0", MAX_CONNECTIONS, face)?;
            let address = format!("http://{}", listener.address());
            addresses.push((seat.worker.id.clone(), address));
            seat.listener = Some(listener);
        }
        Ok(addresses)
    }

    /// Closes everything.
    pub(crate) fn end(&self) {
        let mut state = self.lock();
        for seat in &mut state.seats {
            seat.worker.vanish();
            if let Some(listener) = seat.listener.take() {
                listener.end();
            }
        }
    }

    /// Ends what has ended by now.
    pub(crate) fn tick(&self) {
        let now = self.inner.clock.now();
        let mut state = self.lock();
        (0..state.seats.len()).for_each(|at| self.settle(&mut state, at, now));
    }

    /// Takes the VM away with all that runs on it, or brings it back empty.
    ///
    /// Returns whether there is such a worker.
    pub(crate) fn kill(&self, worker: &id::Worker, on: bool) -> bool {
        let mut state = self.lock();
        let Some(at) = state.find(worker) else {
            return false;
        };
        let state = &mut *state;
        let seat = &mut state.seats[at];
        if seat.gone == on {
            return true;
        }
        seat.gone = on;
        if on {
            for run in seat.worker.vanish() {
                state.tasks.ended(&run.task, worker, false);
            }
            let size = seat.worker.size.clone();
            seat.worker = fresh(worker.clone(), &size, &self.inner.settings);
        }
        if let Some(listener) = &seat.listener {
            if on {
                listener.close()
            } else {
                listener.open()
            }
        }
        true
    }

    /// Lets all that is started on the worker fail at once, or ends that.
    ///
    /// Returns whether there is such a worker.
    pub(crate) fn fail(&self, worker: &id::Worker, on: bool) -> bool {
        let mut state = self.lock();
        let Some(at) = state.find(worker) else {
            return false;
        };
        state.seats[at].worker.failing = on;
        true
    }

    /// Makes an endpoint's requests take `factor` times as long; returns whether it runs.
    pub(crate) fn slow(&self, task: &id::Task, factor: u32) -> bool {
        let state = self.lock();
        let endpoint = state
            .seats
            .iter()
            .find_map(|seat| seat.worker.run_of(task)?.endpoint.as_ref());
        endpoint.map(|endpoint| endpoint.slow(factor)).is_some()
    }

    /// Stops an endpoint's task, leaving it its grace; returns whether it runs.
    pub(crate) fn leave(&self, task: &id::Task) -> bool {
        let now = self.inner.clock.now();
        let mut state = self.lock();
        let running = state
            .seats
            .iter_mut()
            .find(|seat| seat.worker.run_of(task).is_some());
        running.map(|seat| seat.worker.leave(task, now)).is_some()
    }

    /// Adds what happened to `truth`.
    pub(crate) fn sum(&self, truth: &mut Truth) {
        self.lock().tasks.sum(truth);
        lock(&self.inner.requests).sum(truth);
        truth.worker_calls = lock(&self.inner.counters).counts();
    }

    /// Returns what became of each request.
    pub(crate) fn executed(&self) -> Vec<Executed> {
        lock(&self.inner.requests).executed()
    }

    /// Returns what became of one request.
    pub(crate) fn executed_of(&self, request: &str) -> Option<Executed> {
        lock(&self.inner.requests).executed_of(request)
    }

    /// Returns the tasks of which a run ended well.
    pub(crate) fn completed(&self) -> Vec<id::Task> {
        self.lock().tasks.completed()
    }

    /// Returns the tasks that run now.
    pub(crate) fn running(&self) -> Vec<id::Task> {
        self.lock().tasks.running()
    }

    fn call(&self, at: usize, call: Call) -> std::io::Result<Answer> {
        let now = self.inner.clock.now();
        let mut state = self.lock();
        self.settle(&mut state, at, now);
        if let Call::Renew { epoch, stamp, .. } | Call::Start { epoch, stamp, .. } = &call {
            state.seats[at].worker.hear(*epoch, *stamp);
        }
        let whole = matches!(call, Call::Claim { .. } | Call::List);
        let done = match call {
            Call::Start {
                epoch,
                stamp,
                span,
                spec,
            } => {
                let admitted = state.seats[at].worker.admit(epoch, stamp, span, &spec, now);
                if admitted.is_ok() {
                    self.start(&mut state, at, spec, now)?;
                }
                admitted
            }
            call => state.seats[at].worker.apply(&call, now),
        };
        if done == Err(Refusal::Full) {
            state.tasks.refused();
        }
        Ok(state.seats[at].worker.answer(done.err(), whole, now))
    }

    fn start(&self, state: &mut State, at: usize, spec: Spec, now: Millis) -> std::io::Result<()> {
        let worker = state.seats[at].worker.id.clone();
        let task = spec.run.task.clone();
        while let Some(other) = state.tasks.elsewhere(&task, &worker).cloned() {
            let Some(other_at) = state.find(&other) else {
                break;
            };
            self.settle(state, other_at, now);
            if state.seats[other_at].worker.run_of(&task).is_some() {
                break;
            }
        }
        let settings = &self.inner.settings;
        let nature = self.nature(state, at, &spec);
        let domain = &state.seats[at].domain;
        let endpoint = spec
            .service
            .as_ref()
            .map(|_| {
                Endpoint::start(
                    &spec,
                    domain,
                    &self.inner.cut,
                    &self.inner.requests,
                    settings,
                )
            })
            .transpose()?;
        let idempotent = spec.idempotent;
        let seat = &mut state.seats[at].worker;
        let local = seat.local(now);
        seat.begin(Run::new(spec, nature, endpoint, local));
        let (carried, size) = (seat.carried(), seat.size.clone());
        state
            .tasks
            .started(&task, idempotent, &worker, &carried, &size);
        Ok(())
    }

    fn nature(&self, state: &mut State, at: usize, spec: &Spec) -> Nature {
        let settings = &self.inner.settings;
        let seed = Seed(settings.seed);
        let command = Command::read(&spec.command);
        let task = spec.run.task.to_string();
        let job = &spec.run.task.job;
        let declared = state
            .declared
            .entry(job.clone())
            .or_insert_with(|| spec.needs.clone());
        let factor = command.size_percent.map_or_else(
            || {
                seed.draw("size", job.as_str(), settings.task.size)
                    * seed.draw("jitter", &task, JITTER)
            },
            |percent| f64::from(percent) / 100.0,
        );
        let usage = Amount {
            millicores: share(declared.millicores, factor),
            memory_mib: share(declared.memory_mib, factor),
            accelerators: declared.accelerators.clone(),
        };
        let runs_on = command.forever || spec.service.is_some();
        let drawn = || Millis(seed.draw("run", &task, settings.task.run_ms) as u64);
        let unlucky = seed
            .generator("fail", &spec.run.to_string())
            .random_range(0..100)
            < command.fail_percent;
        let is_short_of_memory = usage.memory_mib > spec.needs.memory_mib;
        Nature {
            run: (!runs_on).then(|| command.run.unwrap_or_else(drawn)),
            fails: state.seats[at].worker.failing || unlucky || is_short_of_memory,
            usage,
        }
    }

    fn settle(&self, state: &mut State, at: usize, now: Millis) {
        let worker = &mut state.seats[at].worker;
        for ended in worker.settle(now) {
            let done = ended.outcome == Outcome::Done;
            state.tasks.ended(&ended.run.task, &worker.id, done);
            if ended.cut > 0 {
                lock(&self.inner.requests).cut(ended.cut);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.inner.state)
    }
}

impl State {
    fn find(&self, worker: &id::Worker) -> Option<usize> {
        self.seats
            .binary_search_by(|seat| seat.worker.id.cmp(worker))
            .ok()
    }
}

impl Handler for Face {
    async fn answer(&self, mut request: Request) -> http_types::Result<Response> {
        let inner = &self.fleet.inner;
        let domain = self.fleet.lock().seats[self.seat].domain.clone();
        if !inner
            .cut
            .passes(header(&request, DOMAIN_HEADER), Some(&domain))
        {
            return Err(drop_connection());
        }
        if request.url().path() != "/v1/worker" {
            return Ok(Response::new(StatusCode::NotFound));
        }
        let call: Call = match parse(&mut request, MAX_BODY).await {
            Ok(call) => call,
            Err(status) => return Ok(Response::new(status)),
        };
        let caller = header(&request, ENTRY_HEADER).unwrap_or_default();
        lock(&inner.counters).add(caller, call.kind());
        let epoch = call.epoch();
        let answer = self.fleet.call(self.seat, call);
        let answer = answer.map_err(|_source| drop_connection())?;
        Ok(plain(&answer.short(epoch)))
    }
}

/// Names a worker by its rack and number.
pub(crate) fn worker_id(rack: &id::Rack, number: u32) -> id::Worker {
    id::Worker::new(&format!("{rack}/w{number}")).expect("checked with the settings")
}

fn fresh(id: id::Worker, size: &Amount, settings: &Settings) -> Worker {
    let most = Range::new(0.0, MAX_AHEAD.0 as f64);
    let ahead = Seed(settings.seed).draw("ahead", id.as_str(), most);
    Worker::new(id, size.clone(), Millis(ahead as u64), settings)
}

fn share(amount: u64, factor: f64) -> u64 {
    ((amount as f64) * factor).ceil() as u64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
