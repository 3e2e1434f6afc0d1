//! A child process that runs one of the project's programs, and the resources that it uses.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use displaydoc::Display;
use serde_json::Value;

/// `Error` is the reason why a program could not be measured.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// {0}: {1}; build it with `cargo build --release --workspace`
    Start(String, std::io::Error),
    /// {0} printed no addresses
    Addresses(String),
    /// {0}
    File(std::io::Error),
    /// not available in time: {0}
    Timeout(&'static str),
    /// {0}
    Entry(String),
}

impl std::error::Error for Error {}

/// `Process` is a running program; it is killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    addresses: Value,
}

impl Process {
    /// Starts a program from this program's folder and reads the addresses that it prints.
    pub(crate) fn start(program: &str, settings: &str) -> Result<Self, Error> {
        let path = path_of(program).map_err(Error::File)?;
        let mut child = Command::new(path)
            .args(["--settings", settings])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| Error::Start(program.to_owned(), error))?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out)
                .read_line(&mut line)
                .map_err(Error::File)?;
        }
        let process = Self {
            child,
            addresses: serde_json::from_str(&line).unwrap_or_default(),
        };
        if process.addresses.is_object() {
            Ok(process)
        } else {
            Err(Error::Addresses(program.to_owned()))
        }
    }

    /// Returns the address that the program printed under a name.
    pub(crate) fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the processor time used since the start, in microseconds.
    pub(crate) fn processor_us(&self) -> f64 {
        let tasks = format!("/proc/{}/task", self.child.id());
        let Ok(tasks) = std::fs::read_dir(tasks) else {
            return 0.0;
        };
        tasks
            .flatten()
            .filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok())
            .filter_map(|text| text.split_whitespace().next()?.parse::<f64>().ok())
            .sum::<f64>()
            / 1_000.0
    }

    /// Returns the resident memory, in KiB.
    pub(crate) fn memory_kib(&self) -> f64 {
        let status = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(status).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok())
            .unwrap_or(0.0)
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        // Errors are ignored: the process may have ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program in the folder of this executable.
fn path_of(program: &str) -> std::io::Result<PathBuf> {
    let mut path = std::env::current_exe()?;
    path.set_file_name(program);
    Ok(path)
}
