//! A child process that runs one of the project's programs and receives signals by process id.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// `Process` is a running program; it is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program from this program's folder and appends its output to a log file.
    ///
    /// # Errors
    /// Fails when the program is missing or the log file cannot be written.
    pub fn start(program: &str, settings: &Path) -> io::Result<Self> {
        let log = open_log(settings)?;
        let child = Command::new(find_program(program)?)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Starts a program and returns its first line of output.
    ///
    /// # Errors
    /// Fails as [`Process::start`] does.
    pub fn start_and_read(program: &str, settings: &Path) -> io::Result<(Self, String)> {
        let mut child = Command::new(find_program(program)?)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(open_log(settings)?)
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
    /// Fails when the process has ended and has been reaped.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Returns the process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the memory that the process uses, in kibibytes; `None` if it has ended.
    #[must_use]
    pub fn resident_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: the process may have ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn open_log(settings: &Path) -> io::Result<File> {
    let path = settings.with_extension("log");
    OpenOptions::new().create(true).append(true).open(path)
}

/// Finds a program in the folder of the running executable or in one of the folders above it.
///
/// A test executable lies one folder below the programs.
fn find_program(program: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut folders = own.ancestors().skip(1);
    let found = folders.find_map(|folder| {
        let path = folder.join(program);
        path.is_file().then_some(path)
    });
    found.ok_or_else(|| {
        let message = format!("{program} is missing: build it by `cargo build --workspace --bins`");
        io::Error::new(io::ErrorKind::NotFound, message)
    })
}
