//! Plays one soak run on real processes, with relays between them that take faults.

use std::cell::RefCell;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::task;
use displaydoc::Display;
use http_types::{Method, Request, Url};
use marigoldpick_core::clock::time_of_day;
use marigoldpick_core::prelude::*;
use marigoldpick_platform::Settings;
use marigoldpick_platform::exchange::Client;
use marigoldpick_standin::Relay;
use marigoldpick_standin::jobs::Verdict;
use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};

use crate::fault::{self, Fault, Kind};
use crate::port;
use crate::process::Process;
use crate::settings::{longest_lease, toml_of, worker_section};

mod lead;

/// The name of the entry program for the platform.
const ENTRY_PROGRAM: &str = "marigold-platform";
/// The name of the program that stands in for the platform.
const STANDIN_PROGRAM: &str = "marigold-platform-standin";
/// The longest time from the start of the programs to the first job.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// The longest time from the last submitted job to the end of all work. Expiring leases, take-overs and
/// retries need less than half of it.
const FINISH_TIMEOUT: Duration = Duration::from_secs(120);
/// The timeout for a connection to the stand-in; it allows for a busy machine.
const CONNECT_TIMEOUT: Millis = Millis(2_000);
/// The timeout for a call to the stand-in.
const CALL_TIMEOUT: Millis = Millis(5_000);
/// The interval between two polls of the verdict, or of a process that has to exit.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The one-way latency of a slow link.
const SLOW_LINK_LATENCY: Millis = Millis(300);
/// The share of jobs with long tasks, in percent.
const LONG_PERCENT: u32 = 15;
/// The share of jobs that are repeated far more often than they can run, in percent.
const REPEATED_PERCENT: u32 = 10;
/// The memory of an entry's machine on the smallest deployments, in kibibytes.
const MACHINE_KIB: u64 = 260_000;
/// The longest time from the stop signal to the exit of an entry.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// `Shape` is the size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// The number of entries.
    pub entries: u32,
    /// The number of workers.
    pub workers: u32,
    /// The time during which jobs are submitted, in seconds.
    pub seconds: u32,
    /// The number of jobs submitted per second.
    pub jobs_per_second: u32,
}

/// `Outcome` is the result of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The run's seed.
    pub seed: u64,
    /// The stand-in's counts and findings.
    pub verdict: Verdict,
    /// All violations of the guarantees; empty for a run that passed.
    pub broken: Vec<String>,
}

/// `Error` is the reason why a run could not be played.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Io(io::Error),
    /// the stand-in printed no addresses: {0}
    Addresses(String),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// `Addresses` is the first line that the stand-in prints.
#[derive(Debug, Deserialize)]
struct Addresses {
    store: SocketAddr,
    stores: Vec<SocketAddr>,
    control: SocketAddr,
    workers: Vec<SocketAddr>,
    advisers: Vec<SocketAddr>,
}

/// `Entry` is one entry; faults may replace its process.
struct Entry {
    settings: PathBuf,
    process: RefCell<Option<Process>>,
    /// The process that has received the stop signal, until it exits.
    stopping: RefCell<Option<Process>>,
    /// The number of active faults that stop or pause the process.
    faults: RefCell<u32>,
    store: Relay,
    front: Relay,
    /// The relays at which it alone finds the workers.
    workers: Vec<Relay>,
}

/// `Site` holds everything that faults are injected into.
struct Site {
    entries: Vec<Entry>,
    workers: Vec<Relay>,
    control: SocketAddr,
    store: SocketAddr,
    client: Client,
    /// The faults that began and ended, with the entries that were paused as leads.
    journal: RefCell<File>,
    broken: RefCell<Vec<String>>,
}

/// Plays the run of a seed; its settings and logs stay in `folder`.
///
/// # Errors
/// Fails when a program or a file is missing.
pub async fn play(seed: u64, shape: &Shape, folder: &Path) -> Result<Outcome, Error> {
    fs::create_dir_all(folder)?;
    let (standin, site) = start_site(seed, shape, folder).await?;
    let site = Rc::new(site);
    let mut verdict = site
        .wait_for_verdict(START_TIMEOUT, |verdict| verdict.begun)
        .await;
    if verdict.begun {
        let restarts = fault::draw_restarts(seed, shape);
        let stalls = fault::draw_stalls(seed, shape);
        let stops = fault::draw_stops(seed, shape);
        let cuts = fault::draw_cuts(seed, shape);
        let faults: Vec<_> = fault::draw(seed, shape)
            .into_iter()
            .chain(restarts)
            .chain(stalls)
            .chain(stops)
            .chain(cuts)
            .map(|fault| task::spawn_local(Rc::clone(&site).inject(fault)))
            .collect();
        for fault in faults {
            fault.await;
        }
        let length = Duration::from_secs(u64::from(shape.seconds));
        verdict = site
            .wait_for_verdict(length + FINISH_TIMEOUT, |verdict| {
                verdict.over && verdict.open.is_empty()
            })
            .await;
        site.stop_all().await;
    } else {
        site.record("the entries were not ready in time".to_owned());
    }
    drop(standin);
    let mut broken = site.broken.take();
    broken.extend(verdict.broken.iter().cloned());
    let open = verdict
        .open
        .iter()
        .map(|job| format!("{job}: not completed"));
    broken.extend(open);
    if verdict.begun && !verdict.over {
        broken.push("callers still wait for answers".to_owned());
    }
    Ok(Outcome {
        seed,
        verdict,
        broken,
    })
}

async fn start_site(seed: u64, shape: &Shape, folder: &Path) -> Result<(Process, Site), Error> {
    let mut relays = Vec::new();
    let mut pending_relays = Vec::new();
    for _ in 0..shape.workers {
        let (relay, pending) = Relay::reserve(Millis::ZERO).await?;
        relays.push(relay);
        pending_relays.push(pending);
    }
    let mut ports: Vec<[String; 4]> = Vec::new();
    for _ in 0..shape.entries {
        ports.push([
            port::allocate()?,
            port::allocate()?,
            port::allocate()?,
            port::allocate()?,
        ]);
    }
    let mut fronts = Vec::new();
    for [callers, ..] in &ports {
        let target = callers.parse().map_err(io::Error::other)?;
        fronts.push(Relay::start(target, Millis::ZERO).await?);
    }
    let mut entry_relays = Vec::new();
    for _ in &ports {
        let starts = relays
            .iter()
            .map(|r| Relay::start(r.address(), Millis::ZERO));
        entry_relays.push(futures::future::try_join_all(starts).await?);
    }
    let list = |relays: &[Relay]| -> Vec<String> {
        relays.iter().map(|r| r.address().to_string()).collect()
    };
    let ready: Vec<&String> = ports.iter().map(|[_, ready, ..]| ready).collect();
    let lists: Vec<Vec<String>> = entry_relays.iter().map(|relays| list(relays)).collect();
    let text = format!(
        "seed = {seed}\nworkers = {}\nrelays = {:?}\nentry_relays = {lists:?}\nfronts = {:?}\nready = {ready:?}\n\
         seconds = {}\njobs_per_second = {}\nlease_ms = {}\nlong_percent = {LONG_PERCENT}\n\
         repeated_percent = {REPEATED_PERCENT}\n",
        shape.workers,
        list(&relays),
        list(&fronts),
        shape.seconds,
        shape.jobs_per_second,
        longest_lease(seed).0
    );
    let file = folder.join("standin.toml");
    fs::write(&file, text)?;
    let (standin, line) = Process::start_and_read(STANDIN_PROGRAM, &file)?;
    let addresses: Addresses =
        serde_json::from_str(&line).map_err(|error| Error::Addresses(error.to_string()))?;
    for (pending, target) in pending_relays.into_iter().zip(&addresses.workers) {
        pending.forward_to(*target);
    }
    let mut entries = Vec::new();
    let relays_of_entries = fronts.into_iter().zip(entry_relays);
    for ((number, ports), (front, workers)) in ports.iter().enumerate().zip(relays_of_entries) {
        let store = Relay::start(addresses.stores[number], Millis::ZERO).await?;
        let settings = folder.join(format!("entry-{number}.toml"));
        let adviser = addresses.advisers[number];
        let mut text = toml_of(number, ports, store.address(), adviser);
        text += &worker_section(seed);
        fs::write(&settings, text)?;
        let process = Process::start(ENTRY_PROGRAM, &settings)?;
        entries.push(Entry {
            settings,
            process: RefCell::new(Some(process)),
            stopping: RefCell::default(),
            faults: RefCell::new(0),
            store,
            front,
            workers,
        });
    }
    let limits = Settings {
        connect: CONNECT_TIMEOUT,
        call: CALL_TIMEOUT,
        idle: 1,
        closes_idle_on_failure: true,
    };
    let site = Site {
        entries,
        workers: relays,
        control: addresses.control,
        store: addresses.store,
        client: Client::anonymous("standin", limits),
        journal: RefCell::new(File::create(folder.join("faults.log"))?),
        broken: RefCell::default(),
    };
    Ok((standin, site))
}

impl Site {
    /// Records a violation of the guarantees.
    fn record(&self, what: String) {
        self.broken.borrow_mut().push(what);
    }

    /// Polls the verdict until `wanted` holds, a violation is found or `longest` has passed.
    ///
    /// Returns the last verdict.
    async fn wait_for_verdict(
        &self,
        longest: Duration,
        wanted: impl Fn(&Verdict) -> bool,
    ) -> Verdict {
        let until = Instant::now() + longest;
        let mut last = Verdict::default();
        while Instant::now() < until {
            if let Some(verdict) = self.fetch_verdict().await {
                last = verdict;
                if wanted(&last) || !last.broken.is_empty() {
                    break;
                }
            }
            self.record_unexpected_exits();
            task::sleep(POLL_INTERVAL).await;
        }
        last
    }

    async fn fetch_verdict(&self) -> Option<Verdict> {
        let body = self.call_standin(Method::Get, "/v1/verdict", None).await?;
        serde_json::from_slice(&body).ok()
    }

    async fn call_standin(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Option<Vec<u8>> {
        let url = Url::parse(&format!("http://{}{path}", self.control)).expect("an address");
        let mut request = Request::new(method, url);
        if let Some(body) = body {
            request.set_body(body);
        }
        let reply = self.client.send(request, Millis::ZERO).await.ok()?;
        reply.status.is_success().then_some(reply.body)
    }

    /// Records each entry whose process exited while no fault affected it, or uses more memory than its machine has.
    fn record_unexpected_exits(&self) {
        for (number, entry) in self.entries.iter().enumerate() {
            let mut process = entry.process.borrow_mut();
            let used = process.as_ref().and_then(Process::resident_kib);
            if let Some(used) = used.filter(|used| *used > MACHINE_KIB) {
                self.record(format!("entry {number} uses {used} KiB"));
            }
            let ended = process.as_mut().is_some_and(Process::has_ended);
            if ended && *entry.faults.borrow() == 0 {
                self.record(format!("entry {number} ended by itself"));
                *process = None;
            }
        }
    }

    async fn inject(self: Rc<Self>, fault: Fault) {
        task::sleep(fault.at.duration()).await;
        self.note(&format!("began {fault:?}"));
        match fault.kind {
            Kind::KillEntry => self.kill_and_restart(&[fault.target], fault.duration).await,
            Kind::KillAll => {
                let all: Vec<usize> = (0..self.entries.len()).collect();
                self.kill_and_restart(&all, fault.duration).await;
            }
            Kind::PauseEntry => self.pause(fault.target, fault.duration).await,
            Kind::PauseLead | Kind::SilenceLead | Kind::KeepLeadOnly | Kind::CutLeadOnly => {
                self.inject_lead_fault(&fault).await;
            }
            Kind::StopEntry => self.stop_and_restart(fault.target).await,
            Kind::ReloadEntry => self.signal(fault.target, Signal::SIGHUP),
            Kind::Platform(name) => self.inject_platform_fault(name, &fault).await,
            Kind::StopWorker => self.inject_platform_fault("worker-stopped", &fault).await,
            kind => self.inject_link_fault(kind, &fault).await,
        }
        self.note(&format!("ended {fault:?}"));
    }

    /// Writes a line on the faults, for the trace of a run that failed.
    fn note(&self, what: &str) {
        let line = format!("{} {what}", time_of_day());
        if let Err(error) = writeln!(self.journal.borrow_mut(), "{line}") {
            self.record(format!("the faults can't be noted: {error}"));
        }
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(process) = &*self.entries[number].process.borrow()
            && let Err(error) = process.signal(signal)
        {
            self.record(format!("entry {number} got no {signal}: {error}"));
        }
    }

    /// Ends one fault of an entry and restarts its process when no other fault keeps it stopped.
    fn resume(&self, number: usize) {
        let entry = &self.entries[number];
        *entry.faults.borrow_mut() -= 1;
        let mut process = entry.process.borrow_mut();
        if process.is_some() || *entry.faults.borrow() > 0 {
            return;
        }
        match Process::start(ENTRY_PROGRAM, &entry.settings) {
            Ok(started) => *process = Some(started),
            Err(error) => self.record(format!("entry {number} did not start again: {error}")),
        }
    }

    async fn kill_and_restart(&self, numbers: &[usize], duration: Millis) {
        for number in numbers {
            let entry = &self.entries[*number];
            *entry.faults.borrow_mut() += 1;
            drop(entry.process.borrow_mut().take());
        }
        task::sleep(duration.duration()).await;
        numbers.iter().for_each(|number| self.resume(*number));
    }

    async fn pause(&self, number: usize, duration: Millis) {
        *self.entries[number].faults.borrow_mut() += 1;
        self.signal(number, Signal::SIGSTOP);
        task::sleep(duration.duration()).await;
        self.signal(number, Signal::SIGCONT);
        // The process may have received the stop signal meanwhile.
        if let Some(process) = &*self.entries[number].stopping.borrow()
            && let Err(error) = process.signal(Signal::SIGCONT)
        {
            self.record(format!("entry {number} was not resumed: {error}"));
        }
        self.resume(number);
    }

    async fn stop_and_restart(&self, number: usize) {
        *self.entries[number].faults.borrow_mut() += 1;
        let process = self.entries[number].process.borrow_mut().take();
        if let Some(process) = process {
            self.drain(number, process).await;
        }
        self.resume(number);
    }

    /// Sends the stop signal to a process and waits for its exit.
    async fn drain(&self, number: usize, process: Process) {
        if let Err(error) = process.signal(Signal::SIGTERM) {
            self.record(format!("entry {number} could not be told to stop: {error}"));
        }
        let stopping = &self.entries[number].stopping;
        *stopping.borrow_mut() = Some(process);
        let until = Instant::now() + STOP_TIMEOUT;
        let has_ended = || {
            stopping
                .borrow_mut()
                .as_mut()
                .is_none_or(Process::has_ended)
        };
        while !has_ended() {
            if Instant::now() > until {
                self.record(format!("entry {number} did not stop when it was told to"));
                break;
            }
            task::sleep(POLL_INTERVAL).await;
        }
        drop(stopping.borrow_mut().take());
    }

    async fn inject_platform_fault(&self, name: &str, fault: &Fault) {
        self.switch_fault(name, fault.target, true).await;
        task::sleep(fault.duration.duration()).await;
        self.switch_fault(name, fault.target, false).await;
    }

    async fn switch_fault(&self, name: &str, worker: usize, on: bool) {
        let body = serde_json::json!({ "kind": name, "worker": worker, "on": on });
        let path = "/v1/fault";
        if self
            .call_standin(Method::Post, path, Some(body.to_string()))
            .await
            .is_none()
        {
            self.record(format!("the stand-in did not take the fault {name}"));
        }
    }

    async fn inject_link_fault(&self, kind: Kind, fault: &Fault) {
        let index = fault.target;
        let relay = match kind {
            Kind::SilenceWorker
            | Kind::OneWayWorker
            | Kind::ResetWorker
            | Kind::DelayWorker
            | Kind::StallWorker
            | Kind::HoldOrders => &self.workers[index],
            Kind::SilenceFront | Kind::ResetFront => &self.entries[index].front,
            _ => &self.entries[index].store,
        };
        let set_active = |on: bool| match kind {
            Kind::SilenceStore | Kind::SilenceWorker | Kind::SilenceFront => relay.partition(on),
            Kind::OneWayStore | Kind::OneWayWorker => relay.partition_back(on),
            Kind::HoldOrders => relay.partition_forward(on),
            Kind::StallStore | Kind::StallWorker if on => relay.silence(),
            Kind::StallStore | Kind::StallWorker => {}
            Kind::DelayStore | Kind::DelayWorker => {
                relay.set_latency(if on { SLOW_LINK_LATENCY } else { Millis::ZERO });
            }
            _ if on => relay.reset(),
            _ => {}
        };
        set_active(true);
        task::sleep(fault.duration.duration()).await;
        set_active(false);
    }

    /// Sends the stop signal to all entries at once and waits for their exits.
    async fn stop_all(&self) {
        let processes = self.entries.iter().enumerate();
        let stops = processes.filter_map(|(number, entry)| {
            let process = entry.process.borrow_mut().take()?;
            Some(self.drain(number, process))
        });
        futures::future::join_all(stops).await;
    }
}
