//! Starts a stand-in, two entries and the command line as separate processes.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task;
use http_types::{Method, Request, Response, Url};
use marigoldpick::standin::{Truth, endpoint};
use serde::Deserialize;

/// The timeout for a condition, which only determines how long a failing test takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
/// The timeout for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

const STANDIN: &str = r#"
seed = 3

[endpoint]
work_ms = { from = 2.0, to = 8.0 }
speed = { from = 1.0, to = 3.0 }

[[domain]]
name = "north"

[[domain.rack]]
name = "north-a"
workers = 4
kind = "general"
size = { millicores = 16000, memory_mib = 32768 }
"#;

const SITE: &str = r#"
[[team]]
name = "sellers"
quota = { millicores = 60000, memory_mib = 60000 }

[[service]]
name = "booking"
"#;

const SERVICE: &str = r#"
[[job]]
name = "booking"
class = "service"
team = "sellers"
count = 6
needs = { millicores = 2000, memory_mib = 2048 }
where = { spread = "worker" }
service = "booking"
command = "forever"
"#;

const NIGHT: &str = r#"
[[job]]
name = "night"
class = "batch"
team = "sellers"
count = 12
needs = { millicores = 1000, memory_mib = 1024 }
run_ms = 200
command = "run_ms=200"
"#;

/// `Daemon` is a daemon process, which is killed when it is dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
}

/// `Addresses` is the line that an entry prints after its start.
#[derive(Debug, Deserialize)]
struct Addresses {
    callers: String,
    operators: String,
    inner: String,
}

/// `Entry` is a running entry.
#[derive(Debug)]
pub struct Entry {
    daemon: Daemon,
    pub callers: String,
    pub operators: String,
    inner: String,
}

/// `Site` is a stand-in and two entries, each in a process of its own.
#[derive(Debug)]
pub struct Site {
    pub entries: Vec<Entry>,
    _standin: Daemon,
    platform: String,
    directory: PathBuf,
}

/// `Call` is the outcome of one caller's request.
#[derive(Debug, PartialEq, Eq)]
pub enum Call {
    Answered,
    NotRun,
    NotReached,
    Cut(String),
}

impl Daemon {
    /// Starts a program with settings and returns the first line that it prints.
    fn start(program: &str, settings: &Path) -> (Self, String) {
        let log = fs::File::create(settings.with_extension("log")).expect("a log file");
        let mut child = Command::new(find_program(program))
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("the output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the output is read");
        assert!(!line.is_empty(), "{program} ended: {settings:?}");
        (Self { child }, line)
    }

    /// Runs a program with invalid settings and returns its exit code and error output.
    pub fn run_rejected(program: &str, text: &str) -> (Option<i32>, String) {
        let path = directory("refused").join(format!("{program}.toml"));
        fs::write(&path, text).expect("the settings are written");
        let output = Command::new(find_program(program))
            .arg("--settings")
            .arg(&path)
            .output()
            .expect("the program starts");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.code(), errors)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Entry {
    /// Sends SIGTERM to the entry, as the platform does, and returns its exit code.
    pub fn stop(mut self) -> Option<i32> {
        let kill = format!("kill -TERM {}", self.daemon.child.id());
        let sent = Command::new("sh").args(["-c", &kill]).status();
        assert!(sent.expect("the shell runs").success());
        let mut code = None;
        wait_for("the entry exits", || {
            let status = self.daemon.child.try_wait().expect("the process is ours");
            code = status.map(|status| status.code());
            code.is_some()
        });
        code.flatten()
    }
}

impl Site {
    /// Starts all processes in a directory of their own.
    pub fn start(name: &str) -> Self {
        let directory = directory(name);
        for (file, text) in [
            ("standin.toml", STANDIN),
            ("site.toml", SITE),
            ("service.toml", SERVICE),
            ("night.toml", NIGHT),
        ] {
            fs::write(directory.join(file), text).expect("the file is written");
        }
        let (standin, line) = Daemon::start("marigold-standin", &directory.join("standin.toml"));
        let line: serde_json::Value = serde_json::from_str(&line).expect("one JSON object");
        let platform = line["platform"].as_str().expect("an address").to_owned();
        let mut site = Self {
            entries: Vec::new(),
            _standin: standin,
            platform,
            directory,
        };
        site.add_entry("north-1");
        site.add_entry("north-2");
        site
    }

    fn add_entry(&mut self, name: &str) {
        let mut settings = format!(
            "entry = \"{name}\"\ndomain = \"north\"\ncallers = \"127.0.0.1:0\"\n\
             operators = \"127.0.0.1:0\"\ninner = \"127.0.0.1:0\"\nplatform = \"{}\"\n",
            self.platform
        );
        if let Some(peer) = self.entries.first() {
            settings += &format!(
                "[[peer]]\nentry = \"north-1\"\ndomain = \"north\"\naddress = \"{}\"\n",
                peer.inner
            );
        }
        let path = self.directory.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings are written");
        let (daemon, line) = Daemon::start("marigold-entry", &path);
        let addresses: Addresses = serde_json::from_str(&line).expect("one JSON object");
        self.entries.push(Entry {
            daemon,
            callers: addresses.callers,
            operators: addresses.operators,
            inner: addresses.inner,
        });
    }

    /// Returns the operators' addresses of all entries, as `--entry` takes them.
    pub fn operators(&self) -> String {
        let addresses: Vec<&str> = self.entries.iter().map(|e| e.operators.as_str()).collect();
        addresses.join(",")
    }

    /// Returns the path of one of the site's files.
    pub fn file(&self, name: &str) -> String {
        self.directory.join(name).display().to_string()
    }

    /// Reads the stand-in's counts.
    pub fn truth(&self) -> Truth {
        let url = Url::parse(&format!("{}/v1/truth", self.platform)).expect("a URL");
        let address = self.platform.trim_start_matches("http://").to_owned();
        let request = Request::new(Method::Get, url);
        let (_, body) = exchange(&address, request).expect("the stand-in answers");
        serde_json::from_slice(&body).expect("the response holds the counts")
    }
}

/// Runs `marigold` with these arguments.
pub fn marigold(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_marigold"))
        .args(words)
        .output()
        .expect("the program runs")
}

/// Sends a non-idempotent request and checks that its response is complete and correct.
pub fn call(callers: &str, request_id: &str, attempt: u32) -> Call {
    let url = Url::parse(&format!("http://{callers}/v1/call/booking")).expect("a URL");
    let body = format!("answer-bytes=20000\nfor {request_id}").into_bytes();
    let mut request = Request::new(Method::Post, url);
    request.insert_header("x-marigold-team", "sellers");
    request.insert_header("x-marigold-request", request_id);
    request.insert_header("x-marigold-attempt", attempt.to_string());
    request.insert_header("connection", "close");
    request.set_body(body.clone());
    let (response, answer) = match exchange(callers, request) {
        Ok(answer) => answer,
        Err(Failure::NotReached) => return Call::NotReached,
        Err(Failure::Cut(why)) => return Call::Cut(why),
    };
    let result = response.header("x-marigold-result");
    match result.map(|values| values.last().as_str()) {
        Some("done") if answer == endpoint::answer(request_id, &body, 20_000) => Call::Answered,
        Some("not-run") => Call::NotRun,
        result => {
            let text = String::from_utf8_lossy(&answer)
                .chars()
                .take(80)
                .collect::<String>();
            Call::Cut(format!("{result:?} {}: {text}", response.status()))
        }
    }
}

/// Returns whether an entry reports that it is healthy, as the platform's load balancer checks it.
pub fn is_healthy(callers: &str) -> bool {
    let url = Url::parse(&format!("http://{callers}/v1/health")).expect("a URL");
    let mut request = Request::new(Method::Get, url);
    request.insert_header("connection", "close");
    exchange(callers, request).is_ok_and(|(response, _)| response.status().is_success())
}

/// Waits until `condition` holds.
///
/// # Panics
/// When the condition does not hold within a generous timeout.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[derive(Debug)]
enum Failure {
    NotReached,
    Cut(String),
}

fn exchange(address: &str, request: Request) -> Result<(Response, Vec<u8>), Failure> {
    let cut = |error: &dyn std::fmt::Display| Failure::Cut(error.to_string());
    task::block_on(async_std::future::timeout(RESPONSE_TIMEOUT, async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_refused| Failure::NotReached)?;
        let mut response = async_h1::connect(stream, request)
            .await
            .map_err(|error| cut(&error))?;
        let body = response.body_bytes().await.map_err(|error| cut(&error))?;
        Ok((response, body))
    }))
    .map_err(|timeout| cut(&timeout))?
}

/// Creates a directory for the files of a test and returns its path.
fn directory(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("processes-{name}"));
    fs::create_dir_all(&path).expect("a directory for the test");
    path
}

/// Returns the path of a daemon's program, which must be next to `marigold`.
fn find_program(program: &str) -> PathBuf {
    let own = Path::new(env!("CARGO_BIN_EXE_marigold"));
    let path = own.with_file_name(program);
    assert!(
        path.is_file(),
        "{} is missing: build it first by `cargo build --workspace --bins`",
        path.display()
    );
    path
}
