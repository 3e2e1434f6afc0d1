//! Parses faults files, which define what fails during a dev run, when, and for how long.

use std::ops::Range;

use marigoldpick_core::clock::Millis;
use marigoldpick_core::code::Code;
use marigoldpick_core::document::{self, Error};
use marigoldpick_core::id;
use serde::Deserialize;
use toml::Spanned;

/// The latest end of a fault, one hour after the start of the run.
pub const MAX_END: Millis = Millis::from_secs(3_600);
/// The target of store faults, which a file may omit.
pub const STORE: &str = "store";

/// `Kind` is the effect of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The store does not respond.
    StoreDown,
    /// The store responds slowly.
    StoreSlow,
    /// The store's responses to writes are lost after the writes took effect.
    StoreLostAnswer,
    /// An entry is killed and started again at the end of the fault.
    KillEntry,
    /// An entry is paused.
    PauseEntry,
    /// A worker VM is lost and comes back empty at the end of the fault.
    KillWorker,
    /// A worker fails every task that it starts.
    FailWorker,
    /// A failure domain is cut off from the others and from the platform.
    CutDomain,
    /// An endpoint responds slowly.
    SlowEndpoint,
    /// An endpoint's worker announces that it is leaving.
    LeaveEndpoint,
    /// Several jobs are cancelled together.
    CancelWave,
}

impl Kind {
    /// All kinds.
    pub const ALL: &'static [Self] = &[
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreLostAnswer,
        Self::KillEntry,
        Self::PauseEntry,
        Self::KillWorker,
        Self::FailWorker,
        Self::CutDomain,
        Self::SlowEndpoint,
        Self::LeaveEndpoint,
        Self::CancelWave,
    ];

    /// Returns the kind with this name in files.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        let mut kinds = Self::ALL.iter();
        kinds.find(|kind| kind.name() == name).copied()
    }

    /// Returns whether a fault of this kind can be permanent.
    const fn can_be_permanent(self) -> bool {
        matches!(
            self,
            Self::KillEntry | Self::KillWorker | Self::LeaveEndpoint | Self::CancelWave
        )
    }

    /// Returns the name of the kind in files.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::StoreDown => "store-down",
            Self::StoreSlow => "store-slow",
            Self::StoreLostAnswer => "store-lost-answer",
            Self::KillEntry => "kill-entry",
            Self::PauseEntry => "pause-entry",
            Self::KillWorker => "kill-worker",
            Self::FailWorker => "fail-worker",
            Self::CutDomain => "cut-domain",
            Self::SlowEndpoint => "slow-endpoint",
            Self::LeaveEndpoint => "leave-endpoint",
            Self::CancelWave => "cancel-wave",
        }
    }
}

/// `Fault` is one fault of a valid file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The time from the start of the run to the start of the fault.
    pub at: Millis,
    /// The effect.
    pub kind: Kind,
    /// The name of the affected part.
    pub target: String,
    /// The duration; zero means that the fault is permanent.
    pub duration: Millis,
}

/// `Targets` lists the parts of a site that faults can affect, by name.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// The entries.
    pub entries: Vec<String>,
    /// The workers.
    pub workers: Vec<String>,
    /// The failure domains.
    pub domains: Vec<String>,
    /// The jobs.
    pub jobs: Vec<Job>,
}

impl Targets {
    /// Adds the targets of another site.
    pub fn extend(&mut self, other: Self) {
        self.entries.extend(other.entries);
        self.workers.extend(other.workers);
        self.domains.extend(other.domains);
        self.jobs.extend(other.jobs);
    }
}

/// `Job` is a job that faults can affect.
#[derive(Clone, Debug)]
pub struct Job {
    /// The name.
    pub name: String,
    /// The number of tasks that are endpoints; zero for a job without a service.
    pub endpoints: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(default)]
    fault: Vec<Raw>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    at_ms: Spanned<Millis>,
    kind: Spanned<String>,
    #[serde(default)]
    target: Option<Spanned<String>>,
    #[serde(default)]
    for_ms: Option<Spanned<Millis>>,
}

/// Parses the faults of a file without a check that their targets exist.
///
/// # Errors
/// Names the file, the line and the field.
pub fn parse(file: &str, text: &str) -> Result<Vec<Fault>, Error> {
    parse_document(file, text, None)
}

/// Parses the faults of a file and checks that their targets exist.
///
/// # Errors
/// Names the file, the line and the field.
pub fn parse_for(file: &str, text: &str, targets: &Targets) -> Result<Vec<Fault>, Error> {
    parse_document(file, text, Some(targets))
}

fn parse_document(file: &str, text: &str, targets: Option<&Targets>) -> Result<Vec<Fault>, Error> {
    let document: Document = document::parse(file, text)?;
    let mut faults = Vec::with_capacity(document.fault.len());
    for (at, raw) in document.fault.iter().enumerate() {
        let location = Location { file, text, at };
        faults.push(verify(raw, &location, targets)?);
    }
    faults.sort_by_key(|fault| fault.at);
    Ok(faults)
}

/// `Location` creates errors with the line and field of a fault.
struct Location<'a> {
    file: &'a str,
    text: &'a str,
    at: usize,
}

impl Location<'_> {
    fn error(&self, code: Code, field: &str, span: Range<usize>, message: String) -> Error {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        let lines = before.iter().filter(|&&b| b == b'\n').count() + 1;
        let mut error = Error::field(code, format!("fault[{}].{field}", self.at), message);
        error.line = u32::try_from(lines).unwrap_or(u32::MAX);
        error.in_file(self.file)
    }
}

fn verify(raw: &Raw, location: &Location<'_>, targets: Option<&Targets>) -> Result<Fault, Error> {
    let kind = verify_kind(raw, location)?;
    let duration = verify_duration(raw, kind, location)?;
    let target = raw.target.as_ref().map_or("", |target| target.get_ref());
    if let Err((code, message)) = verify_target(kind, target, targets) {
        let at = raw.target.as_ref().map_or(raw.at_ms.span(), Spanned::span);
        return Err(location.error(code, "target", at, message));
    }
    Ok(Fault {
        at: *raw.at_ms.get_ref(),
        kind,
        target: target.to_owned(),
        duration,
    })
}

fn verify_kind(raw: &Raw, location: &Location<'_>) -> Result<Kind, Error> {
    let name = raw.kind.get_ref();
    Kind::from_name(name).ok_or_else(|| {
        let known: Vec<&str> = Kind::ALL.iter().map(|kind| kind.name()).collect();
        let message = format!(
            "no kind of fault is named '{name}'; the kinds are {}",
            known.join(", ")
        );
        location.error(Code::UnknownName, "kind", raw.kind.span(), message)
    })
}

fn verify_duration(raw: &Raw, kind: Kind, location: &Location<'_>) -> Result<Millis, Error> {
    let duration = raw.for_ms.as_ref().map(|duration| *duration.get_ref());
    let at = raw.for_ms.as_ref().map_or(raw.at_ms.span(), Spanned::span);
    if duration == Some(Millis::ZERO) || (duration.is_none() && !kind.can_be_permanent()) {
        let message = "a fault of this kind needs a duration greater than zero".to_owned();
        return Err(location.error(Code::BadValue, "for_ms", at, message));
    }
    let duration = duration.unwrap_or_default();
    if *raw.at_ms.get_ref() + duration > MAX_END {
        let message = format!("the fault must end within {MAX_END}");
        return Err(location.error(Code::BadValue, "at_ms", raw.at_ms.span(), message));
    }
    Ok(duration)
}

impl Fault {
    /// Returns whether the fault's target is one of `targets`.
    #[must_use]
    pub fn has_target_in(&self, targets: &Targets) -> bool {
        verify_target(self.kind, &self.target, Some(targets)).is_ok()
    }
}

type TargetError = (Code, String);

fn verify_target(kind: Kind, target: &str, targets: Option<&Targets>) -> Result<(), TargetError> {
    match kind {
        Kind::StoreDown | Kind::StoreSlow | Kind::StoreLostAnswer => {
            if target == STORE || target.is_empty() {
                Ok(())
            } else {
                Err((Code::UnknownName, format!("'{target}' must be '{STORE}'")))
            }
        }
        Kind::KillEntry | Kind::PauseEntry => find_name("entry", target, targets, |t| &t.entries),
        Kind::KillWorker | Kind::FailWorker => find_name("worker", target, targets, |t| &t.workers),
        Kind::CutDomain => find_name("failure domain", target, targets, |t| &t.domains),
        Kind::SlowEndpoint | Kind::LeaveEndpoint => verify_endpoint(target, targets),
        Kind::CancelWave => verify_wave(target, targets),
    }
}

fn find_name(
    what: &str,
    target: &str,
    targets: Option<&Targets>,
    list: impl Fn(&Targets) -> &Vec<String>,
) -> Result<(), TargetError> {
    let Some(targets) = targets else {
        return Ok(());
    };
    if list(targets).iter().any(|name| name == target) {
        return Ok(());
    }
    let message = format!("no {what} is named '{target}'");
    Err((Code::UnknownName, message))
}

fn verify_endpoint(target: &str, targets: Option<&Targets>) -> Result<(), TargetError> {
    let task = parse_endpoint(target).ok_or_else(|| {
        let message = format!("'{target}' must be an endpoint's task, such as booking:0");
        (Code::BadValue, message)
    })?;
    let Some(targets) = targets else {
        return Ok(());
    };
    let found = targets
        .jobs
        .iter()
        .any(|job| job.name == task.job.as_str() && task.index < job.endpoints);
    if found {
        return Ok(());
    }
    let message = format!("no intent has an endpoint of task '{target}'");
    Err((Code::UnknownName, message))
}

/// Parses the task of an endpoint target; a job name alone means its first task.
#[must_use]
pub fn parse_endpoint(target: &str) -> Option<id::Task> {
    if target.contains(':') {
        return target.parse().ok();
    }
    id::Job::new(target).ok().map(|job| id::Task::new(job, 0))
}

fn verify_wave(target: &str, targets: Option<&Targets>) -> Result<(), TargetError> {
    let Some(targets) = targets else {
        return Ok(());
    };
    if targets.jobs.iter().any(|job| is_in_wave(target, &job.name)) {
        return Ok(());
    }
    let message = format!("no job matches '{target}'");
    Err((Code::UnknownName, message))
}

/// Returns whether a cancel wave with this target includes a job.
///
/// The target is a job name, or a prefix of job names followed by `*`.
#[must_use]
pub fn is_in_wave(target: &str, job: &str) -> bool {
    match target.strip_suffix('*') {
        Some(start) => job.starts_with(start),
        None => job == target,
    }
}
