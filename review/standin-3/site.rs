//! A small deployment: the program on some machines, the store, the minions, and calls of clients.

use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::net::{self, Value, number, table, text};
use crate::platform::{Pool, Settings, Store};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/marigold-platform";
/// The host of the queue's route.
pub const HOST: &str = "novo13.example";
/// `ValueBytes` of the settings.
pub const VALUE_BYTES: usize = 1_048_576;
/// `MaxFds` and `MemoryMb` of the settings.
const MAX_FDS: u32 = 4_100;
pub const MEMORY_MB: u64 = 260;
/// `Advice` of the routes with an adviser, in milliseconds.
const DECIDE_MS: f64 = 24.0;
const PERIOD_MS: f64 = 0.34;
const VALID_MS: f64 = 2_500.0;
/// How often the programs are started, with other ports each time.
const START_ATTEMPTS: u32 = 3;
/// `X-Deadline-Ms` of the calls.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// `Record` is the file that says what was sent, answered and run.
#[derive(Debug)]
pub struct Record {
    file: File,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    pub fn create(folder: &Path) -> Option<Self> {
        let file = File::create(folder.join("record.txt")).ok()?;
        let began = Instant::now();
        Some(Self { file, began })
    }

    /// Adds a line with the time since the start.
    pub fn line(&mut self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.began.elapsed().as_secs_f64());
        let _is_written = self.file.write_all(line.as_bytes());
        eprint!("{line}");
    }

    /// Returns a moment as seconds since the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }
}

/// `Route` is a queue of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub priority: u64,
    /// Whether the adviser says which minions may run its steps.
    pub advised: bool,
}

/// `Tenant` is a tenant of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    pub name: &'static str,
    pub key: &'static str,
    /// `MaxCount`, in thousandths of a core.
    pub max_cpu: u64,
}

/// The queue of cases with one.
pub const RESERVE: Route = Route {
    name: "reserve",
    prefix: "/gono990/",
    priority: 0,
    advised: false,
};

/// `Front` is one machine with the program.
#[derive(Debug)]
struct Front {
    settings: PathBuf,
    log: PathBuf,
    callers: String,
    ready: String,
    child: Option<Child>,
}

/// `Site` is the running deployment. The processes end when it is dropped.
#[derive(Debug)]
pub struct Site {
    pub store: Arc<Store>,
    pub pool: Arc<Pool>,
    pub record: Record,
    fronts: Vec<Front>,
    folder: PathBuf,
    next: usize,
    key: Option<&'static str>,
}

impl Site {
    /// Starts `fronts` machines and the platform, and waits until all are ready; `None` if that fails.
    pub fn start(folder: &Path, fronts: usize, settings: Settings) -> Option<Self> {
        Self::start_with(folder, fronts, settings, &[RESERVE], None)
    }

    /// Does the same with the routes, and with the tenant of all calls if there is one.
    pub fn start_with(
        folder: &Path,
        fronts: usize,
        settings: Settings,
        routes: &[Route],
        tenant: Option<Tenant>,
    ) -> Option<Self> {
        let mut record = Record::create(folder)?;
        if !Path::new(PROGRAM).exists() {
            record.line("the program has not been built");
            return None;
        }
        let work = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&work).ok()?;
        let store = Store::start(VALUE_BYTES);
        store.write("op/config", &config(routes, tenant));
        let adviser = net::serve(100, advise);
        let pool = Pool::start(settings.clone(), &store);
        let mut site = Self {
            store,
            pool,
            record,
            fronts: Vec::new(),
            folder: work,
            next: 0,
            key: tenant.map(|tenant| tenant.key),
        };
        for _ in 0..START_ATTEMPTS {
            site.write_settings(fronts, &settings, &adviser, tenant.is_some())?;
            for at in 0..fronts {
                site.launch(at)?;
            }
            if site.wait_until_ready() {
                site.record.line("all machines are ready");
                return Some(site);
            }
            // Another process may have taken a port meanwhile.
            (0..fronts).for_each(|at| site.kill(at));
        }
        site.record.line("the machines did not become ready");
        None
    }

    /// Chooses ports and writes the settings files.
    fn write_settings(
        &mut self,
        fronts: usize,
        settings: &Settings,
        adviser: &str,
        has_tenants: bool,
    ) -> Option<()> {
        let free: Vec<TcpListener> = (0..4 * fronts)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()
            .ok()?;
        let addresses: Vec<String> = free
            .iter()
            .filter_map(|listener| Some(listener.local_addr().ok()?.to_string()))
            .collect();
        self.fronts.clear();
        for (at, addresses) in addresses.chunks(4).enumerate() {
            let [callers, ready, inner, metrics] = addresses else {
                return None;
            };
            let tenants = if has_tenants { ",\"tenants\"" } else { "" };
            let contents = format!(
                "entry = \"front-{at}\"\ndomain = \"zone-{}\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
                 inner = \"{inner}\"\nmetrics = \"{metrics}\"\nstore = \"{}\"\nadviser = \"{adviser}\"\n\
                 cores = 0.25\nlink_mbps = 1000.0\ngrace_s = 6\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\
                 \"upkeep\",\"sharing\"{tenants}]\n\n[worker]\nlease_ms = {}\nstop_ms = {}\n\
                 remote_slowdown = 2\nretry_ms = 150\n\n[lead]\nstandby = true\n\n\
                 [intake]\nmachine_mb = {MEMORY_MB}\ndescriptors = {MAX_FDS}\n",
                at % settings.zones,
                self.store.serve(at),
                settings.max_hold_ms,
                settings.stop_ms,
            );
            let path = self.folder.join(format!("front-{at}.toml"));
            std::fs::write(&path, contents).ok()?;
            self.fronts.push(Front {
                settings: path,
                log: self.folder.join(format!("front-{at}.log")),
                callers: callers.clone(),
                ready: ready.clone(),
                child: None,
            });
        }
        Some(())
    }

    fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(6);
        while Instant::now() < end {
            if (0..self.fronts.len()).all(|at| self.is_ready(at)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Starts the program on a machine.
    pub fn launch(&mut self, at: usize) -> Option<()> {
        let front = &mut self.fronts[at];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&front.log)
            .ok()?;
        // The limit of the machines on open files; the program takes the place of the shell.
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {MAX_FDS} && exec {PROGRAM}"))
            .env("MARIGOLDPICK_NODE_FILE", &front.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().ok()?))
            .stderr(Stdio::from(log))
            .spawn()
            .ok()?;
        front.child = Some(child);
        Some(())
    }

    /// Kills the program on a machine.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.fronts[at].child.take() {
            let _is_killed = child.kill();
            let _is_over = child.wait();
        }
    }

    /// Returns the memory that the program on a machine holds, in MB; `None` if it does not run.
    pub fn memory_mb(&mut self, at: usize) -> Option<u64> {
        let child = self.fronts[at].child.as_mut()?;
        if let Ok(Some(_)) = child.try_wait() {
            return None;
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1_024)
    }

    pub fn front_count(&self) -> usize {
        self.fronts.len()
    }

    /// Returns whether a machine reports itself ready.
    pub fn is_ready(&self, at: usize) -> bool {
        let limit = Duration::from_millis(500);
        let reply = net::call(
            &self.fronts[at].ready,
            "ready",
            "GET",
            "/readiness",
            None,
            "",
            limit,
        );
        reply.is_some_and(|(status, _)| status == 200)
    }

    /// Sends a call of a client about a job, to the next machine in turn; retries as clients do, and returns the
    /// status and the body of the last answer.
    pub fn call(&mut self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        self.call_at(RESERVE, method, id, body)
    }

    /// Does the same at a route.
    pub fn call_at(
        &mut self,
        route: Route,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let path = format!("{}{id}", route.prefix);
        let mut last = None;
        for _ in 0..5 {
            self.next = (self.next + 1) % self.fronts.len();
            let address = &self.fronts[self.next].callers;
            last = net::call(address, HOST, method, &path, self.key, body, DEADLINE);
            let is_final = last
                .as_ref()
                .is_some_and(|(status, _)| !matches!(status, 429 | 502..=504));
            if is_final {
                break;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        last
    }

    /// Hands a job in, and records it; returns whether it was accepted.
    pub fn submit(&mut self, id: &str, body: &Value) -> bool {
        self.submit_at(RESERVE, id, body)
    }

    /// Does the same at a route.
    pub fn submit_at(&mut self, route: Route, id: &str, body: &Value) -> bool {
        let answer = self.call_at(route, "POST", id, &body.write());
        let status = answer.as_ref().map_or(0, |(status, _)| *status);
        self.record
            .line(&format!("POST {}{id} -> {status}", route.prefix));
        (200..300).contains(&status)
    }

    /// Returns the state that clients are shown for a job.
    pub fn state_of(&mut self, id: &str) -> String {
        match self.call("GET", id, "") {
            Some((200, body)) => {
                let body = Value::parse(&body).unwrap_or(Value::Null);
                body.get("State").text().to_owned()
            }
            Some((status, _)) => format!("status {status}"),
            None => "no answer".to_owned(),
        }
    }

    /// Waits until a job is shown as completed; returns whether it was, in time.
    pub fn wait_for(&mut self, id: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.state_of(id) == "completed" {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Copies the logs of the machines to a folder, for a look at what happened.
    pub fn keep_logs(&self) {
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            for front in &self.fronts {
                let name = front.log.file_name().unwrap_or_default();
                let _is_copied = std::fs::copy(&front.log, Path::new(&folder).join(name));
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.keep_logs();
        for at in 0..self.fronts.len() {
            self.kill(at);
        }
        let _is_removed = std::fs::remove_dir_all(&self.folder);
    }
}

/// Answers the adviser's callers: each minion may run each step, and gets a ticket.
fn advise(request: &net::Request) -> net::Reply {
    let body = Value::parse(&request.body)?;
    let workers = body.get("Workers").list();
    let took = DECIDE_MS + PERIOD_MS * workers.len() as f64;
    std::thread::sleep(Duration::from_micros((took * 1_000.0) as u64));
    let step = body.get("Step").text();
    let good = workers.iter().map(|worker| {
        let ticket = format!("{step}@{}", worker.text());
        Value::List(vec![worker.clone(), Value::Text(ticket)])
    });
    let good = Value::List(good.collect());
    let reply = table(vec![("Good", good), ("ValidMs", Value::Number(VALID_MS))]);
    Some((200, reply.write()))
}

/// Returns the configuration.
fn config(routes: &[Route], tenant: Option<Tenant>) -> Value {
    let route = |route: &Route| {
        let mut fields = vec![
            ("Name", text(route.name)),
            ("Host", text(HOST)),
            ("Prefix", text(route.prefix)),
            ("Service", text("booking")),
            ("Priority", number(route.priority)),
            ("MaxAttempts", number(3)),
            ("Stretch", Value::Number(2.0)),
            ("TargetLatencyMs", number(500)),
        ];
        if route.advised {
            let advice = table(vec![
                ("DecideMs", Value::Number(DECIDE_MS)),
                ("PeriodMs", Value::Number(PERIOD_MS)),
                ("ValidMs", Value::Number(VALID_MS)),
            ]);
            fields.push(("Advice", advice));
        }
        table(fields)
    };
    let service = table(vec![
        ("Name", text("booking")),
        ("AdmissionControl", Value::Bool(false)),
    ]);
    let mut fields = vec![
        ("Version", number(7)),
        ("Routes", Value::List(routes.iter().map(route).collect())),
        ("Services", Value::List(vec![service])),
        ("Limits", table(vec![("MaxBodyBytes", number(262_144))])),
    ];
    if let Some(tenant) = tenant {
        let limit = table(vec![
            ("Cpu", number(tenant.max_cpu)),
            ("MemMb", number(0)),
            ("Gpu", number(0)),
        ]);
        let tenant = table(vec![
            ("Name", text(tenant.name)),
            ("ApiKeys", Value::List(vec![text(tenant.key)])),
            ("Weight", number(10)),
            ("MaxCount", limit),
        ]);
        fields.push(("Tenants", Value::List(vec![tenant])));
    }
    table(fields)
}

/// Returns the id of a job.
pub fn job_id(number: u64) -> String {
    format!(
        "{:016x}",
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5c0e_7a21_d94b_36f8
    )
}
