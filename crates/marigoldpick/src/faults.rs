//! Faults files: which part of a dev run fails, when, and for how long.

use std::ops::Range;

use marigoldpick_core::clock::Millis;
use marigoldpick_core::code::Code;
use marigoldpick_core::document::{self, Error};
use marigoldpick_core::id;
use serde::Deserialize;
use toml::Spanned;

/// The latest end of a fault: an hour after the start.
pub const MAX_END: Millis = Millis::from_secs(3_600);
/// The target of the faults of the store, which may be left out.
pub const STORE: &str = "store";

/// `Kind` is what a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The store answers nothing.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// The store's answers to writes are lost after the write took effect.
    StoreLostAnswer,
    /// An entry ends at once; a new one takes its place afterwards.
    KillEntry,
    /// An entry stands still.
    PauseEntry,
    /// A worker VM is lost; it comes back empty afterwards.
    KillWorker,
    /// A worker fails everything it starts.
    FailWorker,
    /// A failure domain is cut off from the others and from the platform.
    CutDomain,
    /// An endpoint answers slowly.
    SlowEndpoint,
    /// An endpoint's worker says that it is leaving.
    LeaveEndpoint,
    /// Jobs are cancelled together.
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

    /// Returns the kind that files name so.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        let mut kinds = Self::ALL.iter();
        kinds.find(|kind| kind.name() == name).copied()
    }

    /// Tells whether a fault of this kind may last for good.
    const fn may_last(self) -> bool {
        matches!(
            self,
            Self::KillEntry | Self::KillWorker | Self::LeaveEndpoint | Self::CancelWave
        )
    }

    /// Returns the kind as files name it.
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

/// `Fault` is one fault of a checked file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it begins, from the start of the run.
    pub at: Millis,
    /// What it does.
    pub kind: Kind,
    /// What it hits.
    pub target: String,
    /// How long it lasts; zero for good.
    pub span: Millis,
}

/// `Targets` is what a site has that can be hit. All lists hold plain names.
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
    /// Adds what another site has.
    pub fn extend(&mut self, other: Self) {
        self.entries.extend(other.entries);
        self.workers.extend(other.workers);
        self.domains.extend(other.domains);
        self.jobs.extend(other.jobs);
    }
}

/// `Job` is a job that can be hit.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its name.
    pub name: String,
    /// Its tasks, when they are endpoints.
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

/// Reads the faults of a file; their targets are not checked yet.
///
/// # Errors
/// Names the file, the line and the field.
pub fn parse(file: &str, text: &str) -> Result<Vec<Fault>, Error> {
    read(file, text, None)
}

/// Reads the faults of a file and checks that their targets exist.
///
/// # Errors
/// Names the file, the line and the field.
pub fn parse_for(file: &str, text: &str, targets: &Targets) -> Result<Vec<Fault>, Error> {
    read(file, text, Some(targets))
}

fn read(file: &str, text: &str, targets: Option<&Targets>) -> Result<Vec<Fault>, Error> {
    let document: Document = document::parse(file, text)?;
    let mut faults = Vec::with_capacity(document.fault.len());
    for (at, raw) in document.fault.iter().enumerate() {
        let place = Place { file, text, at };
        faults.push(verify(raw, &place, targets)?);
    }
    faults.sort_by_key(|fault| fault.at);
    Ok(faults)
}

/// `Place` makes errors that name the line.
struct Place<'a> {
    file: &'a str,
    text: &'a str,
    at: usize,
}

impl Place<'_> {
    fn error(&self, code: Code, field: &str, span: Range<usize>, message: String) -> Error {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        let lines = before.iter().filter(|&&b| b == b'\n').count() + 1;
        let mut error = Error::field(code, format!("fault[{}].{field}", self.at), message);
        error.line = u32::try_from(lines).unwrap_or(u32::MAX);
        error.in_file(self.file)
    }
}

fn verify(raw: &Raw, place: &Place<'_>, targets: Option<&Targets>) -> Result<Fault, Error> {
    let kind = verify_kind(raw, place)?;
    let span = verify_span(raw, kind, place)?;
    let target = raw.target.as_ref().map_or("", |target| target.get_ref());
    if let Err((code, message)) = verify_target(kind, target, targets) {
        let at = raw.target.as_ref().map_or(raw.at_ms.span(), Spanned::span);
        return Err(place.error(code, "target", at, message));
    }
    Ok(Fault {
        at: *raw.at_ms.get_ref(),
        kind,
        target: target.to_owned(),
        span,
    })
}

fn verify_kind(raw: &Raw, place: &Place<'_>) -> Result<Kind, Error> {
    let name = raw.kind.get_ref();
    Kind::named(name).ok_or_else(|| {
        let known: Vec<&str> = Kind::ALL.iter().map(|kind| kind.name()).collect();
        let message = format!("no fault is called '{name}', only {}", known.join(", "));
        place.error(Code::UnknownName, "kind", raw.kind.span(), message)
    })
}

fn verify_span(raw: &Raw, kind: Kind, place: &Place<'_>) -> Result<Millis, Error> {
    let span = raw.for_ms.as_ref().map(|span| *span.get_ref());
    let at = raw.for_ms.as_ref().map_or(raw.at_ms.span(), Spanned::span);
    if span == Some(Millis::ZERO) || (span.is_none() && !kind.may_last()) {
        let message = "this kind needs a span of more than zero".to_owned();
        return Err(place.error(Code::BadValue, "for_ms", at, message));
    }
    let span = span.unwrap_or_default();
    if *raw.at_ms.get_ref() + span > MAX_END {
        let message = format!("the fault must end within {MAX_END}");
        return Err(place.error(Code::BadValue, "at_ms", raw.at_ms.span(), message));
    }
    Ok(span)
}

impl Fault {
    /// Tells whether the fault's target is one of `targets`.
    #[must_use]
    pub fn hits(&self, targets: &Targets) -> bool {
        verify_target(self.kind, &self.target, Some(targets)).is_ok()
    }
}

type Refused = (Code, String);

fn verify_target(kind: Kind, target: &str, targets: Option<&Targets>) -> Result<(), Refused> {
    match kind {
        Kind::StoreDown | Kind::StoreSlow | Kind::StoreLostAnswer => {
            if target == STORE || target.is_empty() {
                Ok(())
            } else {
                Err((Code::UnknownName, format!("'{target}' must be '{STORE}'")))
            }
        }
        Kind::KillEntry | Kind::PauseEntry => known("entry", target, targets, |t| &t.entries),
        Kind::KillWorker | Kind::FailWorker => known("worker", target, targets, |t| &t.workers),
        Kind::CutDomain => known("failure domain", target, targets, |t| &t.domains),
        Kind::SlowEndpoint | Kind::LeaveEndpoint => verify_endpoint(target, targets),
        Kind::CancelWave => verify_wave(target, targets),
    }
}

fn known(
    what: &str,
    target: &str,
    targets: Option<&Targets>,
    list: impl Fn(&Targets) -> &Vec<String>,
) -> Result<(), Refused> {
    let Some(targets) = targets else {
        return Ok(());
    };
    if list(targets).iter().any(|name| name == target) {
        return Ok(());
    }
    let message = format!("no {what} is named '{target}'");
    Err((Code::UnknownName, message))
}

fn verify_endpoint(target: &str, targets: Option<&Targets>) -> Result<(), Refused> {
    let task = endpoint(target).ok_or_else(|| {
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

/// Returns the task whose endpoint a target names; a job alone stands for its first task.
#[must_use]
pub fn endpoint(target: &str) -> Option<id::Task> {
    if target.contains(':') {
        return target.parse().ok();
    }
    id::Job::new(target).ok().map(|job| id::Task::new(job, 0))
}

fn verify_wave(target: &str, targets: Option<&Targets>) -> Result<(), Refused> {
    let Some(targets) = targets else {
        return Ok(());
    };
    if targets.jobs.iter().any(|job| in_wave(target, &job.name)) {
        return Ok(());
    }
    let message = format!("no job matches '{target}'");
    Err((Code::UnknownName, message))
}

/// Tells whether a cancel wave hits a job: its name, or a pattern that ends with `*`.
#[must_use]
pub fn in_wave(target: &str, job: &str) -> bool {
    match target.strip_suffix('*') {
        Some(start) => job.starts_with(start),
        None => job == target,
    }
}
