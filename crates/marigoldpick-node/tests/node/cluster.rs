//! A test cluster: the stand-in's store, fake workers in memory, and nodes on loopback.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Store as _};
use marigoldpick_core::team::{Limit, Share};
use marigoldpick_core::work::peer::Receipt;
use marigoldpick_core::work::port::Node as Listed;
use marigoldpick_core::work::port::{
    Advice, Adviser, Ended, Exit, Fault, Order, Refusal, Reply, Report, Running, Target, Ticket,
    Workers,
};
use marigoldpick_core::work::{Access, Job, Part, Phase, Schedule, Step, Task};
use marigoldpick_job::Queue;
use marigoldpick_job::queue::Policy;
use marigoldpick_node::access::{self, Directory, Team};
use marigoldpick_node::config::{Config, Route};
use marigoldpick_node::platform::{Confirmed, Platform, Registry, Source, Update};
use marigoldpick_node::{Node, Settings};
use marigoldpick_platform::{Caller, Store};
use marigoldpick_standin::settings;

use crate::faulty_store::{FaultyStore, LeadFaults};

/// The timeout of a wait for an expected condition.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// The run time of a lasting task in milliseconds, which is longer than any test.
const LASTING_SPAN: u64 = 600_000;

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// `FakeWorkers` is the state of all fake workers, shared by all nodes.
#[derive(Debug)]
pub struct FakeWorkers {
    started: Instant,
    workers: Vec<Worker>,
    /// Violated guarantees, such as a task that runs twice.
    pub violations: Vec<String>,
    /// All starts.
    pub starts: Vec<(Task, u64)>,
    /// The entry that sent each start, in the order of `starts`.
    pub start_senders: Vec<usize>,
    /// When each start was carried out, in the order of `starts`.
    pub start_times: Vec<Instant>,
    /// Whether orders for a run are repeated; the workers then tell repeated and late ones apart, as real ones do.
    pub expects_repeats: bool,
    /// The worker of each start, in the order of `starts`.
    pub start_workers: Vec<usize>,
    /// The entry that sent each order to a worker, and the term of the order.
    pub orders: Vec<(usize, u64)>,
}

#[derive(Debug)]
struct Worker {
    token: u64,
    running: Vec<(Task, u64, Instant)>,
    ended: Vec<Ended>,
    /// The runs that were stopped or have ended.
    settled: Vec<(Task, u64)>,
    last_number: u64,
    /// The end of its lease, by its clock.
    lease_end: Millis,
    /// Whether it has left the registry and answers no order; its runs end with its lease.
    has_departed: bool,
    /// Whether it answers no order, though it is listed.
    is_cut_off: bool,
    /// The entry that does not reach it, if there is one.
    unreachable_for: Option<usize>,
}

impl FakeWorkers {
    fn new(workers: usize) -> Self {
        let worker = || Worker {
            token: 0,
            running: Vec::new(),
            ended: Vec::new(),
            settled: Vec::new(),
            last_number: 0,
            lease_end: Millis::ZERO,
            has_departed: false,
            is_cut_off: false,
            unreachable_for: None,
        };
        Self {
            started: Instant::now(),
            workers: (0..workers).map(|_| worker()).collect(),
            violations: Vec::new(),
            starts: Vec::new(),
            start_senders: Vec::new(),
            start_times: Vec::new(),
            expects_repeats: false,
            start_workers: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Returns the number of runs on all workers.
    pub fn count_running(&self) -> usize {
        self.workers.iter().map(|worker| worker.running.len()).sum()
    }

    /// Lets a worker leave: it is no longer listed and answers no order.
    pub fn depart(&mut self, at: usize) {
        self.workers[at].has_departed = true;
    }

    /// Returns a worker that has runs, if there is one.
    pub fn busy_worker(&self) -> Option<usize> {
        let mut workers = self.workers.iter();
        workers.position(|worker| !worker.running.is_empty())
    }

    /// Sets whether a worker answers no order; it stays listed, and runs on until its lease ends.
    pub fn set_cut_off(&mut self, at: usize, is_cut_off: bool) {
        self.workers[at].is_cut_off = is_cut_off;
    }

    /// Separates one of two entries and a worker from the other entry and the other workers.
    ///
    /// Runs on a worker that an entry does not reach end with its lease.
    pub fn separate(&mut self, entry: usize, worker: usize) {
        for (at, separated) in self.workers.iter_mut().enumerate() {
            let other = if at == worker { 1 - entry } else { entry };
            separated.unreachable_for = Some(other);
        }
    }

    /// Returns the time of the workers' clocks.
    fn clock(&self) -> Millis {
        let elapsed = self.started.elapsed().as_millis();
        Millis(u64::try_from(elapsed).expect("a short test"))
    }

    /// Returns whether a run of the task may still last on some worker.
    fn is_running(&self, task: &Task) -> bool {
        let clock = self.clock();
        let may_run = |worker: &&Worker| {
            let is_cut_off = worker.is_cut_off || worker.unreachable_for.is_some();
            let is_reachable = !worker.has_departed && !is_cut_off;
            is_reachable || clock < worker.lease_end
        };
        let mut workers = self.workers.iter().filter(may_run);
        workers.any(|worker| worker.running.iter().any(|(have, ..)| have == task))
    }

    fn end_due_runs(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        let now = Instant::now();
        let (over, running) = std::mem::take(&mut worker.running)
            .into_iter()
            .partition(|(_, _, end)| *end <= now);
        worker.running = running;
        for (task, run, _) in over {
            worker.end(task, run, Exit::Done);
        }
    }

    fn order(&mut self, at: usize, token: u64, order: &Order) -> Result<Option<Report>, Fault> {
        self.end_due_runs(at);
        if token < self.workers[at].token {
            return Err(Fault::Fenced);
        }
        self.workers[at].token = token;
        if let Order::Hold {
            until: Some(until), ..
        } = order
        {
            self.workers[at].renew(*until);
        }
        match order {
            Order::Start(start) => {
                if self.expects_repeats && self.workers[at].has_settled(&start.task, start.run) {
                    return Err(Fault::Old);
                }
                if self.expects_repeats && self.workers[at].has_run(&start.task, start.run) {
                    return Ok(None);
                }
                if self.is_running(&start.task) {
                    self.violations.push(format!("{} runs twice", start.task));
                }
                let span: u64 = start.payload.parse().expect("the payload tells the time");
                let end = Instant::now() + Duration::from_millis(span);
                self.starts.push((start.task.clone(), start.run));
                self.start_times.push(Instant::now());
                self.start_workers.push(at);
                let worker = &mut self.workers[at];
                worker.renew(start.until);
                worker.running.push((start.task.clone(), start.run, end));
                Ok(None)
            }
            Order::Stop { task, run } => {
                let worker = &mut self.workers[at];
                worker.settled.push((task.clone(), *run));
                let before = worker.running.len();
                worker
                    .running
                    .retain(|(have, number, _)| have != task || number != run);
                if worker.running.len() != before {
                    worker.end(task.clone(), *run, Exit::Stopped);
                }
                Ok(None)
            }
            Order::Pace { .. } => Ok(None),
            Order::Hold { seen, .. } => {
                let worker = &mut self.workers[at];
                worker.ended.retain(|end| end.number > *seen);
                Ok(Some(worker.report()))
            }
        }
    }
}

impl Worker {
    fn renew(&mut self, until: Millis) {
        self.lease_end = self.lease_end.max(until);
    }

    fn has_run(&self, task: &Task, run: u64) -> bool {
        let mut running = self.running.iter();
        running.any(|(have, number, _)| have == task && *number == run)
    }

    /// Returns whether a run is not higher than one that was stopped or has ended here.
    fn has_settled(&self, task: &Task, run: u64) -> bool {
        let mut settled = self.settled.iter();
        settled.any(|(have, number)| have == task && run <= *number)
    }

    fn end(&mut self, task: Task, run: u64, how: Exit) {
        self.settled.push((task.clone(), run));
        self.last_number += 1;
        self.ended.push(Ended {
            number: self.last_number,
            task,
            run,
            how,
            checkpoint: String::new(),
        });
    }

    fn report(&self) -> Report {
        let running = self.running.iter().map(|(task, run, _)| Running {
            task: task.clone(),
            run: *run,
            checkpoint: String::new(),
            percent: 50,
            figure: 0,
        });
        Report {
            running: running.collect(),
            ended: self.ended.clone(),
            is_cut: false,
        }
    }
}

/// `FakePlatform` is the platform of one node.
#[derive(Clone, Debug)]
pub struct FakePlatform {
    store: FaultyStore,
    fake_workers: Arc<Mutex<FakeWorkers>>,
    /// The number of the node's entry.
    number: usize,
    /// Whether the workers are unreachable for this entry.
    cut_off: Arc<AtomicBool>,
    /// Whether the entry hangs when it sends an order.
    hangs: Arc<AtomicBool>,
    /// Whether there is no configuration for this entry.
    unconfigured: bool,
    /// The newest configuration.
    config: Arc<Mutex<Config>>,
}

pub fn lock(fake_workers: &Mutex<FakeWorkers>) -> MutexGuard<'_, FakeWorkers> {
    fake_workers.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Workers for FakePlatform {
    async fn order(&self, node: &Target, term: u64, order: Order) -> Result<Reply, Fault> {
        let since = Instant::now();
        while self.hangs.load(Ordering::SeqCst) && since.elapsed() < WAIT_LIMIT {
            // The thread of the entry is blocked, so that it answers no batch either.
            std::thread::sleep(Duration::from_millis(1));
        }
        let at: usize = node.address.parse().expect("a number");
        lock(&self.fake_workers).orders.push((self.number, term));
        let token = node.fencing_token(term);
        if self.cut_off.load(Ordering::SeqCst) {
            task::sleep(Duration::from_millis(500)).await;
            return Err(Fault::Unknown);
        }
        let is_unreachable = {
            let worker = &lock(&self.fake_workers).workers[at];
            let is_cut_off = worker.unreachable_for == Some(self.number);
            worker.has_departed || worker.is_cut_off || is_cut_off
        };
        if is_unreachable {
            task::sleep(Duration::from_millis(500)).await;
            return Err(Fault::Unknown);
        }
        let report = {
            let mut fake_workers = lock(&self.fake_workers);
            let starts = fake_workers.starts.len();
            let report = fake_workers.order(at, token, &order)?;
            if fake_workers.starts.len() > starts {
                fake_workers.start_senders.push(self.number);
            }
            report
        };
        let has_ended = |report: &Report| !report.ended.is_empty();
        if let (Order::Hold { wait, .. }, Some(report)) = (&order, &report)
            && !has_ended(report)
        {
            task::sleep(wait.min(&Millis(30)).duration()).await;
        }
        let report = match &order {
            Order::Hold { .. } => lock(&self.fake_workers).order(at, token, &order)?,
            _ => report,
        };
        let clock = lock(&self.fake_workers).clock();
        Ok(Reply {
            clock,
            born: 1,
            report,
        })
    }
}

impl Adviser for FakePlatform {
    async fn advise(
        &self,
        _part: &Part,
        workers: &[id::Worker],
        _limit: Millis,
    ) -> Result<Advice, Refusal> {
        let good = workers.iter().map(|worker| Ticket {
            worker: worker.clone(),
            ticket: "t".to_owned(),
        });
        Ok(Advice {
            good: good.collect(),
            valid: Millis(2_500),
        })
    }
}

impl Registry for FakePlatform {
    async fn nodes(&self) -> Result<Vec<Listed>, store::Fault> {
        let fake_workers = lock(&self.fake_workers);
        let count = fake_workers.workers.len();
        let is_listed = |number: &usize| !fake_workers.workers[*number].has_departed;
        let node = |number: usize| Listed {
            id: id::Worker::new(&format!("w{number}")).expect("a name"),
            born: 1,
            address: number.to_string(),
            service: name("s"),
            domain: id::Domain::new("a").expect("a name"),
            kind: None,
            rack: None,
            labels: Vec::new(),
            capacity: Amount::new(8_000, 8_000),
            draining: false,
            remaining: None,
        };
        Ok((0..count).filter(is_listed).map(node).collect())
    }
}

impl Source for FakePlatform {
    /// Returns the configuration once; later changes are not reported, as by a store that has dropped
    /// its history.
    async fn follow(&self, revision: u64, wait: Millis) -> Result<Update, store::Fault> {
        if self.unconfigured {
            task::sleep(Duration::from_millis(20)).await;
            return Ok(Update {
                config: None,
                revision: 0,
                is_current: true,
            });
        }
        if revision > 0 {
            task::sleep(wait.duration()).await;
            if self.store.is_down.load(Ordering::SeqCst) {
                return Err(store::Fault::Unknown);
            }
            return Ok(Update {
                config: None,
                revision,
                is_current: false,
            });
        }
        Ok(Update {
            config: Some(read_config(&self.config)),
            revision: 1,
            is_current: true,
        })
    }

    async fn confirm(&self, known: u64) -> Result<Confirmed, store::Fault> {
        let is_lost = || {
            let faults = [
                &self.store.only_watches,
                &self.store.silent,
                &self.store.is_down,
            ];
            faults.iter().any(|fault| fault.load(Ordering::SeqCst))
        };
        if is_lost() {
            task::sleep(Duration::from_millis(100)).await;
            return Err(store::Fault::Unknown);
        }
        let config = read_config(&self.config);
        Ok(Confirmed {
            revision: config.revision,
            config: (config.revision != known).then_some(config),
        })
    }
}

fn read_config(config: &Mutex<Config>) -> Config {
    config
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone()
}

/// `Admission` is an entry's decision on a caller, without what it borrows.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    Admitted(Access),
    Unauthorized,
    Unsure,
}

fn first_config() -> Config {
    let queue = Queue {
        name: name("q"),
        service: name("s"),
        priority: 0,
        attempts: 3,
        stretch: 1.5,
        target: Millis(250),
        policy: Some(Policy {
            base_ms: 1.0,
            each_ms: 0.1,
            valid: Millis(2_500),
        }),
    };
    Config {
        version: 1,
        revision: 1,
        routes: vec![Route {
            queue: name("q"),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            is_open: false,
        }],
        queues: vec![queue],
        body_limit: 10_000,
        ..Config::default()
    }
}

impl Platform for FakePlatform {
    type Store = FaultyStore;
    type Workers = Self;
    type Adviser = Self;
    type Registry = Self;
    type Source = Self;

    fn store(&self) -> &FaultyStore {
        &self.store
    }
    fn workers(&self) -> &Self {
        self
    }
    fn adviser(&self) -> &Self {
        self
    }
    fn registry(&self) -> &Self {
        self
    }
    fn source(&self) -> &Self {
        self
    }
}

/// `Cluster` is a running test cluster.
pub struct Cluster {
    pub platform: marigoldpick_standin::Platform,
    pub fake_workers: Arc<Mutex<FakeWorkers>>,
    pub nodes: Vec<Node>,
    /// Whether the store is silent for a node.
    pub silent: Vec<Arc<AtomicBool>>,
    /// The number of a node's next writes that are not answered.
    pub lost_answers: Vec<Arc<AtomicUsize>>,
    /// Whether the workers are unreachable for a node.
    pub cut_off: Vec<Arc<AtomicBool>>,
    /// Whether a node hangs when it sends an order.
    pub hangs: Vec<Arc<AtomicBool>>,
    /// Whether the store answers only watches of a node.
    pub only_watches: Vec<Arc<AtomicBool>>,
    /// Whether all of a node's calls to the store fail without an answer.
    pub down: Vec<Arc<AtomicBool>>,
    /// Whether a node's reads of large pages get no answer in time.
    pub slow: Vec<Arc<AtomicBool>>,
    /// How long answers to any node's reads of large pages take after they were made, in milliseconds.
    pub page_delay_ms: Arc<AtomicU64>,
    /// The number of a node's next watches of what a lead reads that are answered without the history.
    pub lost_histories: Vec<Arc<AtomicUsize>>,
    /// The number of a node's reads of large pages since its last claim to the lead.
    pub page_reads: Vec<Arc<AtomicUsize>>,
    /// How often the connections on which a node's watches wait have gone silent.
    pub silenced_watches: Vec<Arc<AtomicUsize>>,
    /// One more than the number of the entry that a node does not reach; zero for none.
    pub cut_entries: Vec<Arc<AtomicUsize>>,
    pub lead_faults: Arc<LeadFaults>,
    /// Whether entries read ahead while the lead is suspect.
    standby: bool,
    /// The position of the node without a configuration, if there is one.
    unconfigured: Option<usize>,
    /// The newest configuration.
    config: Arc<Mutex<Config>>,
    /// Whether entries need keys, and how fresh their configuration must be.
    access: access::Policy,
    lead_lease: Option<Millis>,
    strengths: Vec<u32>,
    /// Whether entries reject jobs that can't end in time.
    admission: bool,
    /// The settings of the job scheduler.
    job: marigoldpick_job::Settings,
}

impl Cluster {
    /// Starts a cluster, and waits until its entries are ready and one leads.
    pub fn start(entries: usize, workers: usize) -> Self {
        Self::start_with_lease(entries, workers, None)
    }

    /// Starts entries with the given strengths one after the other, so that the first one leads.
    pub fn start_with_strengths(strengths: &[u32], workers: usize) -> Self {
        let mut cluster = Self::new(workers, None, strengths.to_vec());
        for number in 0..strengths.len() {
            cluster.nodes.push(cluster.start_node(number));
            cluster.await_lead();
        }
        cluster
    }

    /// Starts entries that read ahead while the lead is suspect; the first one leads.
    pub fn start_with_standby(entries: usize, lead_lease: Millis, hides_addresses: bool) -> Self {
        let mut cluster = Self::new(8, Some(lead_lease), vec![1_000; entries]);
        cluster.standby = true;
        let hides = &cluster.lead_faults.hides_addresses;
        hides.store(hides_addresses, Ordering::SeqCst);
        for number in 0..entries {
            cluster.nodes.push(cluster.start_node(number));
            cluster.await_lead();
        }
        cluster
    }

    /// Starts three entries, the first two of which don't reach each other. The first one leads, and the second one is the
    /// next.
    pub fn start_with_cut(lead_lease: Millis) -> Self {
        let mut cluster = Self::new(8, Some(lead_lease), vec![1_000, 1_000, 500]);
        cluster.cut_entries[0].store(2, Ordering::SeqCst);
        cluster.cut_entries[1].store(1, Ordering::SeqCst);
        for number in 0..3 {
            cluster.nodes.push(cluster.start_node(number));
            cluster.await_lead();
        }
        cluster
    }

    /// Starts a cluster with the given duration of the lead's lease.
    pub fn start_with_lease(entries: usize, workers: usize, lead_lease: Option<Millis>) -> Self {
        let mut cluster = Self::new(workers, lead_lease, vec![1_000; entries]);
        cluster.nodes = (0..entries)
            .map(|number| cluster.start_node(number))
            .collect();
        cluster.await_lead();
        cluster
    }

    /// Starts a cluster whose first entry is the strongest and has no configuration.
    pub fn start_unconfigured(entries: usize, workers: usize) -> Self {
        let mut strengths = vec![500; entries];
        strengths[0] = 1_000;
        let mut cluster = Self::new(workers, None, strengths);
        cluster.unconfigured = Some(0);
        cluster.nodes = (0..entries)
            .map(|number| cluster.start_node(number))
            .collect();
        cluster
    }

    /// Starts entries that require keys and confirm their configuration within `bounds`.
    ///
    /// Team `a` has the key `key-a`, and team `b` has `key-b`.
    pub fn start_with_keys(entries: usize, bounds: access::Bounds) -> Self {
        let mut cluster = Self::new(2, None, vec![1_000; entries]);
        cluster.access = access::Policy {
            requires_keys: true,
            bounds: Some(bounds),
        };
        cluster.set_teams(&[("a", "key-a"), ("b", "key-b")]);
        cluster.nodes = (0..entries)
            .map(|number| cluster.start_node(number))
            .collect();
        cluster.await_lead();
        cluster
    }

    /// Starts a cluster whose entries reject jobs that can't end in time.
    pub fn start_with_admission(entries: usize, workers: usize) -> Self {
        let mut cluster = Self::new(workers, None, vec![1_000; entries]);
        cluster.admission = true;
        cluster.nodes = (0..entries)
            .map(|number| cluster.start_node(number))
            .collect();
        cluster.await_lead();
        cluster
    }

    /// Starts a cluster whose lead repeats orders without an answer.
    pub fn start_with_retries(entries: usize, workers: usize, retry: Millis) -> Self {
        let mut cluster = Self::new(workers, None, vec![1_000; entries]);
        cluster.job.start_retry = retry;
        cluster.job.hold_overdue = retry;
        lock(&cluster.fake_workers).expects_repeats = true;
        cluster.nodes = (0..entries)
            .map(|number| cluster.start_node(number))
            .collect();
        cluster.await_lead();
        cluster
    }

    /// Writes the next version of the configuration, with one more route.
    pub fn add_route(&self, prefix: &str) {
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config.version += 1;
        config.revision += 1;
        let route = Route {
            prefix: prefix.to_owned(),
            ..config.routes[0].clone()
        };
        config.routes.push(route);
    }

    /// Writes the next version of the configuration, without routes and queues.
    pub fn remove_routes(&self) {
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config.version += 1;
        config.revision += 1;
        config.routes.clear();
        config.queues.clear();
    }

    /// Writes the next version of the configuration, with teams and one key of each.
    pub fn set_teams(&self, teams: &[(&str, &str)]) {
        let team = |(team, key): &(&str, &str)| Team {
            share: Share {
                team: id::Team::new(team).expect("a name"),
                weight: 1.0,
                limit: Limit::UNLIMITED,
            },
            keys: vec![access::Digest::of(key)],
        };
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config.version += 1;
        config.revision += 1;
        config.teams = Directory::new(teams.iter().map(team).collect());
    }

    /// Returns how an entry decides on a caller with a key.
    pub fn admit(&self, at: usize, key: &str) -> Admission {
        let handle = self.nodes[at].handle();
        let active = handle.config().expect("a configuration");
        match handle.admit(&active, "h", "/q/1", Some(key)) {
            access::Verdict::Admitted { access, .. } => Admission::Admitted(access),
            access::Verdict::Unauthorized => Admission::Unauthorized,
            access::Verdict::Unsure => Admission::Unsure,
            access::Verdict::NoRoute => panic!("there is a route"),
        }
    }

    fn new(workers: usize, lead_lease: Option<Millis>, strengths: Vec<u32>) -> Self {
        let text = "seed = 1\n[[domain]]\nname = \"a\"\nrack = []\n";
        let settings = settings::Settings::parse("standin.toml", text).expect("settings");
        let platform = marigoldpick_standin::Platform::start(&settings).expect("a stand-in");
        Self {
            platform,
            fake_workers: Arc::new(Mutex::new(FakeWorkers::new(workers))),
            nodes: Vec::new(),
            silent: strengths.iter().map(|_| Arc::default()).collect(),
            lost_answers: strengths.iter().map(|_| Arc::default()).collect(),
            cut_off: strengths.iter().map(|_| Arc::default()).collect(),
            hangs: strengths.iter().map(|_| Arc::default()).collect(),
            only_watches: strengths.iter().map(|_| Arc::default()).collect(),
            down: strengths.iter().map(|_| Arc::default()).collect(),
            slow: strengths.iter().map(|_| Arc::default()).collect(),
            page_delay_ms: Arc::default(),
            lost_histories: strengths.iter().map(|_| Arc::default()).collect(),
            page_reads: strengths.iter().map(|_| Arc::default()).collect(),
            silenced_watches: strengths.iter().map(|_| Arc::default()).collect(),
            cut_entries: strengths.iter().map(|_| Arc::default()).collect(),
            lead_faults: Arc::default(),
            standby: false,
            unconfigured: None,
            config: Arc::new(Mutex::new(first_config())),
            access: access::Policy::default(),
            lead_lease,
            strengths,
            admission: false,
            job: marigoldpick_job::Settings::default(),
        }
    }

    fn await_lead(&self) {
        wait_until("all entries are ready", || {
            self.nodes.iter().all(|node| node.handle().is_ready())
        });
        wait_until("an entry leads", || {
            let waiting = self.nodes[0].handle().waiting(name("q"));
            task::block_on(waiting).is_ok()
        });
    }

    /// Cancels a job.
    pub fn cancel(&self, at: usize, id: &id::Job) -> Receipt {
        let handle = self.nodes[at].handle();
        task::block_on(handle.cancel(id.clone(), Access::default()))
    }

    /// Returns the position of the node that leads according to the store.
    pub fn lead(&self) -> usize {
        self.lead_if_any().expect("a lead")
    }

    /// Lets the connections on which a node's watches wait go silent; new ones work.
    pub fn silence_watches(&self, at: usize) {
        self.silenced_watches[at].fetch_add(1, Ordering::SeqCst);
    }

    /// Ends the process of an entry; the later ones move up by one position.
    pub fn kill(&mut self, at: usize) {
        drop(self.nodes.remove(at));
    }

    /// Starts the process of entry `number` again, after that of the first one has ended.
    pub fn restart_first(&mut self) {
        let node = self.start_node(0);
        self.nodes.insert(0, node);
    }

    /// Ends the processes of all entries, and starts them again.
    pub fn restart_entries(&mut self) {
        let entries = self.nodes.len();
        self.nodes.clear();
        self.nodes = (0..entries).map(|number| self.start_node(number)).collect();
    }

    /// Returns the unique name of the claim under which the last commit was made.
    pub fn holder(&self) -> String {
        let value = self.read_key("marigold/chain").expect("a chain");
        let (_, rest) = value.split_once("\"holder\":\"").expect("a holder");
        let (holder, _) = rest.split_once('"').expect("a holder");
        holder.to_owned()
    }

    /// Returns the position of the node that leads, if one does.
    pub fn lead_if_any(&self) -> Option<usize> {
        let value = self.read_key("marigold/lead")?;
        let names = (0..self.nodes.len()).map(|at| format!("\"e{at}\""));
        let mut leads = names.enumerate().filter(|(_, name)| value.contains(name));
        leads.next().map(|(at, _)| at)
    }

    /// Reads a key from the store, if the store has it.
    pub fn read_key(&self, key: &str) -> Option<String> {
        let caller = Caller {
            domain: id::Domain::new("a").expect("a name"),
            entry: id::Entry::new("test").expect("a name"),
        };
        let address = self.platform.address();
        let settings = marigoldpick_platform::Settings::default();
        let store = Store::new(&address, caller, settings);
        let key = key.to_owned();
        let found = task::block_on(store.call(store::Call::Get { key }));
        let Ok(store::Answer::Item(Some(item))) = found else {
            return None;
        };
        Some(item.value)
    }

    fn start_node(&self, number: usize) -> Node {
        let entry = id::Entry::new(&format!("e{number}")).expect("a name");
        let domain = id::Domain::new("a").expect("a name");
        let caller = Caller {
            domain: domain.clone(),
            entry: entry.clone(),
        };
        let address = self.platform.address();
        let services = FakePlatform {
            store: FaultyStore {
                store: Store::new(&address, caller, marigoldpick_platform::Settings::default()),
                silent: Arc::clone(&self.silent[number]),
                lost_answers: Arc::clone(&self.lost_answers[number]),
                only_watches: Arc::clone(&self.only_watches[number]),
                is_down: Arc::clone(&self.down[number]),
                is_slow: Arc::clone(&self.slow[number]),
                page_delay_ms: Arc::clone(&self.page_delay_ms),
                lost_histories: Arc::clone(&self.lost_histories[number]),
                page_reads: Arc::clone(&self.page_reads[number]),
                silenced_watches: Arc::clone(&self.silenced_watches[number]),
                cut_entry: Arc::clone(&self.cut_entries[number]),
                faults: Arc::clone(&self.lead_faults),
            },
            fake_workers: Arc::clone(&self.fake_workers),
            number,
            cut_off: Arc::clone(&self.cut_off[number]),
            hangs: Arc::clone(&self.hangs[number]),
            unconfigured: self.unconfigured == Some(number),
            config: Arc::clone(&self.config),
        };
        loop {
            // The port is released here, and the node binds it again; another socket may take it meanwhile.
            let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let inner = free.local_addr().expect("an address").to_string();
            drop(free);
            let mut settings = Settings::new(entry.clone(), domain.clone(), inner);
            settings.strength = self.strengths[number];
            settings.access = self.access;
            settings.admission = self.admission;
            settings.standby = self.standby;
            settings.job = self.job;
            settings.lead_lease = self.lead_lease.unwrap_or(settings.lead_lease);
            match Node::start(services.clone(), settings) {
                Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
                started => return started.expect("a node"),
            }
        }
    }

    pub fn submit(&self, at: usize, number: u32, tasks: u32, span: u64) -> (id::Job, Receipt) {
        self.submit_for(at, number, tasks, span, None)
    }

    pub fn submit_for(
        &self,
        at: usize,
        number: u32,
        tasks: u32,
        span: u64,
        team: Option<&str>,
    ) -> (id::Job, Receipt) {
        let step = Step {
            count: tasks,
            needs: Amount::new(1_000, 100),
            estimate: Millis(span),
            ..Step::default()
        };
        let job = Job {
            queue: name("q"),
            payload: span.to_string(),
            steps: vec![
                step.clone(),
                Step {
                    after: vec![0],
                    ..step
                },
            ],
            schedule: None,
            accepted: 0,
            team: team.map(|team| id::Team::new(team).expect("a name")),
        };
        let id = id::Job::new(&format!("{number:016x}")).expect("a name");
        let receipt = task::block_on(self.nodes[at].handle().submit(id.clone(), Arc::new(job)));
        (id, receipt)
    }

    /// Submits a job of one lasting task.
    pub fn submit_lasting(&self, at: usize, number: u32) -> id::Job {
        let step = Step {
            lasting: true,
            ..one_task(LASTING_SPAN)
        };
        self.submit_step(at, number, step, None)
    }

    /// Submits a job of one task that runs longer than any test.
    pub fn submit_long(&self, at: usize, number: u32) -> id::Job {
        self.submit_step(at, number, one_task(LASTING_SPAN), None)
    }

    /// Submits a job of one task that is due at `due`, in milliseconds since 1970.
    pub fn submit_at(&self, at: usize, number: u32, due: u64, span: u64) -> id::Job {
        let schedule = Schedule {
            first: due,
            every: Millis(1_000),
            times: 1,
        };
        self.submit_step(at, number, one_task(span), Some(schedule))
    }

    fn submit_step(
        &self,
        at: usize,
        number: u32,
        step: Step,
        schedule: Option<Schedule>,
    ) -> id::Job {
        let job = Job {
            queue: name("q"),
            payload: step.estimate.0.to_string(),
            steps: vec![step],
            schedule,
            accepted: 0,
            team: None,
        };
        let id = id::Job::new(&format!("{number:016x}")).expect("a name");
        let receipt = task::block_on(self.nodes[at].handle().submit(id.clone(), Arc::new(job)));
        assert_eq!(receipt, Receipt::Stored);
        id
    }

    pub fn phase(&self, at: usize, id: &id::Job) -> Option<Phase> {
        task::block_on(self.nodes[at].handle().phase(id.clone(), Access::default()))
            .ok()
            .flatten()
    }

    pub fn wait_for_phase(&self, at: usize, id: &id::Job, phase: Phase) {
        wait_until(&format!("{id} is {phase:?}"), || {
            self.phase(at, id) == Some(phase)
        });
    }
}

/// Returns a step of one task that runs for `span` milliseconds.
fn one_task(span: u64) -> Step {
    Step {
        count: 1,
        needs: Amount::new(1_000, 100),
        estimate: Millis(span),
        ..Step::default()
    }
}

pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_LIMIT, "{what}: timed out");
        std::thread::sleep(Duration::from_millis(5));
    }
}
