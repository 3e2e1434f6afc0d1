//! One of the project's programs as a process, which gets signals by its id alone.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// `Process` is a running program; it is killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program that lies beside this one; its output is added to a log file.
    ///
    /// # Errors
    /// Fails when there is no such program, or no file can be written.
    pub(crate) fn start(program: &str, settings: &Path) -> io::Result<Self> {
        let log = log_of(settings)?;
        let child = Command::new(beside(program)?)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Starts a program and reads the line that it prints first.
    ///
    /// # Errors
    /// As [`Process::start`].
    pub(crate) fn start_and_read(program: &str, settings: &Path) -> io::Result<(Self, String)> {
        let mut child = Command::new(beside(program)?)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_of(settings)?)
            .spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        Ok((Self { child }, line))
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Fails when the process has ended and was waited for.
    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Tells whether it has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended already is as wanted.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn log_of(settings: &Path) -> io::Result<File> {
    let path = settings.with_extension("log");
    OpenOptions::new().create(true).append(true).open(path)
}

/// Finds a program beside this one, or beside the tests of this one.
fn beside(program: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut folders = own.ancestors().skip(1);
    let found = folders.find_map(|folder| {
        let path = folder.join(program);
        path.is_file().then_some(path)
    });
    found.ok_or_else(|| {
        let why = format!("{program} is missing: build it by `cargo build --workspace --bins`");
        io::Error::new(io::ErrorKind::NotFound, why)
    })
}
