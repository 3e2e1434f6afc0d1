//! One run: the processes, the relays between them, the faults, the verdict.

use std::cell::RefCell;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::task;
use displaydoc::Display;
use http_types::{Method, Request, Url};
use marigoldpick_core::prelude::*;
use marigoldpick_platform::Settings;
use marigoldpick_platform::exchange::Client;
use marigoldpick_standin::Relay;
use marigoldpick_standin::jobs::Verdict;
use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};

use crate::plan::{self, Fault, Kind};
use crate::port;
use crate::process::Process;

/// The program of an entry on the platform.
const ENTRY: &str = "marigold-platform";
/// The program of the platform's stand-in.
const STANDIN: &str = "marigold-platform-standin";
/// How long the programs may take until jobs are handed in.
const START: Duration = Duration::from_secs(60);
/// How long after the last job was handed in all work has to be done; leases, take-overs and retries
/// take less than half of it.
const FINISH: Duration = Duration::from_secs(120);
/// The longest time for a connection to the stand-in, whose machine may be busy.
const CONNECT: Millis = Millis(2_000);
/// The longest time for a call of the stand-in.
const CALL: Millis = Millis(5_000);
/// The time between two looks at the verdict.
const LOOK: Duration = Duration::from_millis(250);
/// The time that a slow link takes for one way.
const DELAY: Millis = Millis(300);
/// How long an entry may take to stop when it is told to.
const GRACE: Duration = Duration::from_secs(10);

/// `Shape` is how large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Entries.
    pub entries: u32,
    /// Workers.
    pub workers: u32,
    /// How long jobs are handed in, in seconds.
    pub seconds: u32,
    /// Jobs handed in a second.
    pub jobs_per_second: u32,
}

/// `Outcome` is how a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The run's seed.
    pub seed: u64,
    /// What the stand-in counted.
    pub verdict: Verdict,
    /// Everything that must not happen but did; empty for a run that passed.
    pub broken: Vec<String>,
}

/// `Error` is why a run could not be played.
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

/// `Addresses` is the line that the stand-in prints.
#[derive(Debug, Deserialize)]
struct Addresses {
    store: SocketAddr,
    control: SocketAddr,
    workers: Vec<SocketAddr>,
    advisers: Vec<SocketAddr>,
}

/// `Seat` is the place of one entry, whose process may change.
struct Seat {
    settings: PathBuf,
    process: RefCell<Option<Process>>,
    /// Faults under way that stop or pause the process.
    faults: RefCell<u32>,
    store: Relay,
    front: Relay,
}

/// `Scene` is everything that faults are injected into.
struct Scene {
    seats: Vec<Seat>,
    workers: Vec<Relay>,
    control: SocketAddr,
    client: Client,
    broken: RefCell<Vec<String>>,
}

/// Plays the run of a seed in a folder of its own, where its settings and logs stay.
///
/// # Errors
/// Fails when a program or a file is missing.
pub async fn play(seed: u64, shape: &Shape, folder: &Path) -> Result<Outcome, Error> {
    fs::create_dir_all(folder)?;
    let (standin, scene) = set_up(seed, shape, folder).await?;
    let scene = Rc::new(scene);
    let mut verdict = scene.wait(START, |verdict| verdict.begun).await;
    if verdict.begun {
        let faults: Vec<_> = plan::draw(seed, shape)
            .into_iter()
            .map(|fault| task::spawn_local(Rc::clone(&scene).inject(fault)))
            .collect();
        for fault in faults {
            fault.await;
        }
        let length = Duration::from_secs(u64::from(shape.seconds));
        verdict = scene
            .wait(length + FINISH, |verdict| {
                verdict.over && verdict.open.is_empty()
            })
            .await;
        scene.end().await;
    } else {
        scene.note("the entries were not ready in time".to_owned());
    }
    drop(standin);
    let mut broken = scene.broken.take();
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

async fn set_up(seed: u64, shape: &Shape, folder: &Path) -> Result<(Process, Scene), Error> {
    let mut relays = Vec::new();
    let mut pending_relays = Vec::new();
    for _ in 0..shape.workers {
        let (relay, pending) = Relay::reserve(Millis::ZERO).await?;
        relays.push(relay);
        pending_relays.push(pending);
    }
    let mut ports: Vec<[String; 4]> = Vec::new();
    for _ in 0..shape.entries {
        ports.push([port::free()?, port::free()?, port::free()?, port::free()?]);
    }
    let mut fronts = Vec::new();
    for [callers, ..] in &ports {
        let target = callers.parse().map_err(io::Error::other)?;
        fronts.push(Relay::start(target, Millis::ZERO).await?);
    }
    let list = |relays: &[Relay]| -> Vec<String> {
        relays.iter().map(|r| r.address().to_string()).collect()
    };
    let ready: Vec<&String> = ports.iter().map(|[_, ready, ..]| ready).collect();
    let text = format!(
        "seed = {seed}\nworkers = {}\nrelays = {:?}\nfronts = {:?}\nready = {ready:?}\n\
         seconds = {}\njobs_per_second = {}\n",
        shape.workers,
        list(&relays),
        list(&fronts),
        shape.seconds,
        shape.jobs_per_second
    );
    let file = folder.join("standin.toml");
    fs::write(&file, text)?;
    let (standin, line) = Process::start_and_read(STANDIN, &file)?;
    let addresses: Addresses =
        serde_json::from_str(&line).map_err(|error| Error::Addresses(error.to_string()))?;
    for (pending, target) in pending_relays.into_iter().zip(&addresses.workers) {
        pending.forward_to(*target);
    }
    let mut seats = Vec::new();
    for ((number, ports), front) in ports.iter().enumerate().zip(fronts) {
        let store = Relay::start(addresses.store, Millis::ZERO).await?;
        let settings = folder.join(format!("entry-{number}.toml"));
        let adviser = addresses.advisers[number];
        fs::write(&settings, entry(number, ports, store.address(), adviser))?;
        let process = Process::start(ENTRY, &settings)?;
        seats.push(Seat {
            settings,
            process: RefCell::new(Some(process)),
            faults: RefCell::new(0),
            store,
            front,
        });
    }
    let limits = Settings {
        connect: CONNECT,
        call: CALL,
        idle: 1,
        closes_idle_on_failure: true,
    };
    let scene = Scene {
        seats,
        workers: relays,
        control: addresses.control,
        client: Client::anonymous("standin", limits),
        broken: RefCell::default(),
    };
    Ok((standin, scene))
}

/// Makes the settings of an entry; entries are of unequal strength.
fn entry(number: usize, ports: &[String; 4], store: SocketAddr, adviser: SocketAddr) -> String {
    let [callers, ready, inner, metrics] = ports;
    let cores = if number.is_multiple_of(2) { 0.5 } else { 0.1 };
    format!(
        "entry = \"e{number}\"\ndomain = \"d{}\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
         inner = \"{inner}\"\nmetrics = \"{metrics}\"\nstore = \"{store}\"\nadviser = \"{adviser}\"\n\
         cores = {cores}\nlink_mbps = 100.0\ngrace_s = 6.0\n\n[worker]\nlease_ms = 6000\n\
         stop_ms = 400\nremote_slowdown = 2.0\n",
        number % 3
    )
}

impl Scene {
    fn note(&self, what: String) {
        self.broken.borrow_mut().push(what);
    }

    /// Asks for the verdict until it is as wanted or the time is over; returns the last one.
    async fn wait(&self, longest: Duration, wanted: impl Fn(&Verdict) -> bool) -> Verdict {
        let until = Instant::now() + longest;
        let mut last = Verdict::default();
        while Instant::now() < until {
            if let Some(verdict) = self.verdict().await {
                last = verdict;
                if wanted(&last) || !last.broken.is_empty() {
                    break;
                }
            }
            self.look_for_ends();
            task::sleep(LOOK).await;
        }
        last
    }

    async fn verdict(&self) -> Option<Verdict> {
        let body = self.ask(Method::Get, "/v1/verdict", None).await?;
        serde_json::from_slice(&body).ok()
    }

    async fn ask(&self, method: Method, path: &str, body: Option<String>) -> Option<Vec<u8>> {
        let url = Url::parse(&format!("http://{}{path}", self.control)).expect("an address");
        let mut request = Request::new(method, url);
        if let Some(body) = body {
            request.set_body(body);
        }
        let reply = self.client.send(request, Millis::ZERO).await.ok()?;
        reply.status.is_success().then_some(reply.body)
    }

    /// Notes entries that ended though no fault was under way.
    fn look_for_ends(&self) {
        for (number, seat) in self.seats.iter().enumerate() {
            let mut process = seat.process.borrow_mut();
            let ended = process.as_mut().is_some_and(Process::has_ended);
            if ended && *seat.faults.borrow() == 0 {
                self.note(format!("entry {number} ended by itself"));
                *process = None;
            }
        }
    }

    async fn inject(self: Rc<Self>, fault: Fault) {
        task::sleep(fault.at.duration()).await;
        match fault.kind {
            Kind::KillEntry => self.kill(&[fault.target], fault.span).await,
            Kind::KillAll => {
                let all: Vec<usize> = (0..self.seats.len()).collect();
                self.kill(&all, fault.span).await;
            }
            Kind::PauseEntry => self.pause(fault.target, fault.span).await,
            Kind::StopEntry => self.stop(fault.target).await,
            Kind::ReloadEntry => self.signal(fault.target, Signal::SIGHUP),
            Kind::Platform(name) => self.inject_on_platform(name, &fault).await,
            kind => self.inject_on_link(kind, &fault).await,
        }
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(process) = &*self.seats[number].process.borrow()
            && let Err(error) = process.signal(signal)
        {
            self.note(format!("entry {number} got no {signal}: {error}"));
        }
    }

    /// Starts an entry anew once no fault holds it down any more.
    fn revive(&self, number: usize) {
        let seat = &self.seats[number];
        *seat.faults.borrow_mut() -= 1;
        let mut process = seat.process.borrow_mut();
        if process.is_some() || *seat.faults.borrow() > 0 {
            return;
        }
        match Process::start(ENTRY, &seat.settings) {
            Ok(started) => *process = Some(started),
            Err(error) => self.note(format!("entry {number} did not start again: {error}")),
        }
    }

    async fn kill(&self, numbers: &[usize], span: Millis) {
        for number in numbers {
            let seat = &self.seats[*number];
            *seat.faults.borrow_mut() += 1;
            drop(seat.process.borrow_mut().take());
        }
        task::sleep(span.duration()).await;
        numbers.iter().for_each(|number| self.revive(*number));
    }

    async fn pause(&self, number: usize, span: Millis) {
        *self.seats[number].faults.borrow_mut() += 1;
        self.signal(number, Signal::SIGSTOP);
        task::sleep(span.duration()).await;
        self.signal(number, Signal::SIGCONT);
        self.revive(number);
    }

    async fn stop(&self, number: usize) {
        *self.seats[number].faults.borrow_mut() += 1;
        let process = self.seats[number].process.borrow_mut().take();
        if let Some(process) = process {
            self.drain(number, process).await;
        }
        self.revive(number);
    }

    /// Tells a process to stop, and waits until it has.
    async fn drain(&self, number: usize, mut process: Process) {
        if let Err(error) = process.signal(Signal::SIGTERM) {
            self.note(format!("entry {number} could not be told to stop: {error}"));
        }
        let until = Instant::now() + GRACE;
        while !process.has_ended() {
            if Instant::now() > until {
                self.note(format!("entry {number} did not stop when it was told to"));
                return;
            }
            task::sleep(LOOK).await;
        }
    }

    async fn inject_on_platform(&self, name: &str, fault: &Fault) {
        self.switch(name, fault.target, true).await;
        task::sleep(fault.span.duration()).await;
        self.switch(name, fault.target, false).await;
    }

    async fn switch(&self, name: &str, worker: usize, on: bool) {
        let body = serde_json::json!({ "kind": name, "worker": worker, "on": on });
        let path = "/v1/fault";
        if self
            .ask(Method::Post, path, Some(body.to_string()))
            .await
            .is_none()
        {
            self.note(format!("the stand-in did not take the fault {name}"));
        }
    }

    async fn inject_on_link(&self, kind: Kind, fault: &Fault) {
        let at = fault.target;
        let relay = match kind {
            Kind::SilenceWorker | Kind::OneWayWorker | Kind::ResetWorker | Kind::DelayWorker => {
                &self.workers[at]
            }
            Kind::SilenceFront | Kind::ResetFront => &self.seats[at].front,
            _ => &self.seats[at].store,
        };
        let set = |on: bool| match kind {
            Kind::SilenceStore | Kind::SilenceWorker | Kind::SilenceFront => relay.partition(on),
            Kind::OneWayStore | Kind::OneWayWorker => relay.partition_back(on),
            Kind::DelayStore | Kind::DelayWorker => {
                relay.set_latency(if on { DELAY } else { Millis::ZERO });
            }
            _ if on => relay.reset(),
            _ => {}
        };
        set(true);
        task::sleep(fault.span.duration()).await;
        set(false);
    }

    /// Tells all entries to stop, at once.
    async fn end(&self) {
        let processes = self.seats.iter().enumerate();
        let stops = processes.filter_map(|(number, seat)| {
            let process = seat.process.borrow_mut().take()?;
            Some(self.drain(number, process))
        });
        futures::future::join_all(stops).await;
    }
}
