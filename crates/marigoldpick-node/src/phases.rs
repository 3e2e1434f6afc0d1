//! The phases of a takeover: how long it takes from the campaign until the new lead starts work.

use std::fmt;

use marigoldpick_core::prelude::*;

/// How long after the stored jobs were applied the phases are reported although nothing has started; often
/// nothing waits.
const REPORT_LIMIT: Millis = Millis(2_000);

/// `Phase` is a part of a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// From the campaign until the claim is stored.
    Claim,
    /// From the claim until all stored jobs have been read.
    Read,
    /// Until these jobs have been passed to the lead.
    Apply,
    /// Until a worker has reported.
    FirstReport,
    /// Until a start has been ordered.
    FirstStart,
}

/// All phases, in the order in which they end.
const PHASES: [Phase; 5] = [
    Phase::Claim,
    Phase::Read,
    Phase::Apply,
    Phase::FirstReport,
    Phase::FirstStart,
];

impl Phase {
    /// Returns the name of the phase in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Claim => "claim",
            Self::Read => "read",
            Self::Apply => "apply",
            Self::FirstReport => "first_report",
            Self::FirstStart => "first_start",
        }
    }
}

/// `Phases` holds the times at which the phases of a takeover ended.
#[derive(Clone, Copy, Debug)]
pub struct Phases {
    began: Millis,
    ends: [Option<Millis>; PHASES.len()],
    is_reported: bool,
}

impl Phases {
    /// Starts at the beginning of the campaign.
    #[must_use]
    pub const fn new(began: Millis) -> Self {
        Self {
            began,
            ends: [None; PHASES.len()],
            is_reported: false,
        }
    }

    /// Records the end of a phase; the first time is kept.
    pub fn end(&mut self, phase: Phase, now: Millis) {
        self.ends[phase as usize].get_or_insert(now);
    }

    /// Returns how long a phase took, if it has ended.
    ///
    /// It began when the one before it ended, or the last one before it that has ended.
    #[must_use]
    pub fn duration(&self, phase: Phase) -> Option<Millis> {
        let end = self.ends[phase as usize]?;
        let before = self.ends[..phase as usize].iter().flatten();
        let began = before.fold(self.began, |latest, at| latest.max(*at));
        Some(end.since(began))
    }

    /// Returns whether the phases are to be reported at `now`, which holds once.
    pub fn take_report(&mut self, now: Millis) -> bool {
        let applied = self.ends[Phase::Apply as usize];
        let is_late = applied.is_some_and(|at| now.since(at) >= REPORT_LIMIT);
        let is_due = self.ends[Phase::FirstStart as usize].is_some() || is_late;
        let is_first = is_due && !self.is_reported;
        self.is_reported |= is_first;
        is_first
    }

    /// Returns the phases that have ended, each with its duration.
    pub fn durations(&self) -> impl Iterator<Item = (Phase, Millis)> {
        PHASES.into_iter().filter_map(|phase| {
            let duration = self.duration(phase)?;
            Some((phase, duration))
        })
    }
}

impl fmt::Display for Phases {
    /// Writes the duration of each phase in milliseconds, or `none`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for phase in PHASES {
            match self.duration(phase) {
                Some(duration) => write!(f, "{}_ms={} ", phase.name(), duration.0)?,
                None => write!(f, "{}_ms=none ", phase.name())?,
            }
        }
        let ends = self.ends.iter().flatten();
        let last = ends.fold(self.began, |latest, at| latest.max(*at));
        write!(f, "total_ms={}", last.since(self.began).0)
    }
}
