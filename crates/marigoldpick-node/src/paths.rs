//! The paths of the lead's orders to workers: through the first or the second relay of a failure domain, or directly.
//!
//! Load pattern: the connection to a relay stalls for some hundred milliseconds, as after a lost packet, while the
//! domain's workers are healthy. Retried orders take a second relay, and only they do. Its session is opened by the
//! first retry that needs it, and closed when none has used it for some seconds.

use std::rc::Rc;

use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;

use crate::relay::{Pair, Relay};

/// How long the session with a second relay stays open without an order.
///
/// It is longer than the timeout of an order and the suspension that follows it, which ends with the session.
const SECOND_EXPIRY: Millis = Millis(5_000);

/// `Path` is the way that an order takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Through the first relay of the worker's failure domain.
    First,
    /// Through the second relay.
    Second,
    /// From the lead to the worker.
    Direct,
}

impl Path {
    /// Returns its name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Second => "second",
            Self::Direct => "direct",
        }
    }
}

/// Returns the paths that an order may take, in the order of preference.
#[must_use]
pub const fn preferred(is_retry: bool) -> &'static [Path] {
    if is_retry {
        &[Path::Second, Path::First, Path::Direct]
    } else {
        &[Path::First, Path::Direct]
    }
}

/// Returns whether the session with a relay stays open.
///
/// `path` is what the relay is chosen for, if it still is. The session of a relay that is suspended and `remembered` is
/// kept because the suspension would end with it.
#[must_use]
pub fn is_kept(path: Option<Path>, unused: Millis, remembered: bool) -> bool {
    match path {
        Some(Path::First) => true,
        Some(Path::Second) => remembered || unused < SECOND_EXPIRY,
        Some(Path::Direct) | None => remembered,
    }
}

/// `Table` holds the chosen relays of a term and the open sessions with them.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// The chosen relays, sorted by failure domain.
    pairs: Vec<Pair>,
    /// The open sessions, sorted by entry.
    sessions: Vec<Rc<Relay>>,
}

impl Table {
    /// Puts chosen relays in force; returns those that were not chosen for the same path before.
    ///
    /// Sessions with relays that are chosen again stay open, also if the path is another one. `has_second` tells
    /// whether second relays are in force.
    pub(crate) fn update(
        &mut self,
        pairs: Vec<Pair>,
        has_second: bool,
        now: Millis,
    ) -> Vec<(Path, Known)> {
        let before = std::mem::replace(&mut self.pairs, pairs);
        let pairs = &self.pairs;
        self.sessions.retain(|relay| {
            let path = path_through(pairs, &relay.known);
            let is_remembered = has_second && relay.is_suspended(now);
            let is_kept = is_kept(path, relay.unused_time(now), is_remembered);
            if !is_kept {
                relay.close();
            }
            is_kept
        });
        let firsts = pairs.iter().map(|pair| (Path::First, &pair.first));
        let seconds = pairs.iter().filter_map(|pair| pair.second.as_ref());
        let chosen = firsts.chain(seconds.map(|second| (Path::Second, second)));
        chosen
            .filter(|(path, known)| path_through(&before, known) != Some(*path))
            .map(|(path, known)| (path, known.clone()))
            .collect()
    }

    /// Returns the relay of a path to the workers of a failure domain.
    pub(crate) fn relay(&self, domain: &id::Domain, path: Path) -> Option<&Known> {
        let found = self
            .pairs
            .binary_search_by(|pair| pair.first.domain.cmp(domain));
        let pair = &self.pairs[found.ok()?];
        match path {
            Path::First => Some(&pair.first),
            Path::Second => pair.second.as_ref(),
            Path::Direct => None,
        }
    }

    /// Returns what a relay is chosen for.
    pub(crate) fn path_through(&self, known: &Known) -> Option<Path> {
        path_through(&self.pairs, known)
    }

    /// Returns the session with a relay; if there is none, opens one with `open`.
    pub(crate) fn session(&mut self, known: &Known, open: impl FnOnce(&Rc<Relay>)) -> Rc<Relay> {
        let found = self.sessions.binary_search_by(|have| have.known.cmp(known));
        let at = found.unwrap_or_else(|at| {
            let relay = Rc::new(Relay::new(known.clone()));
            open(&relay);
            self.sessions.insert(at, relay);
            at
        });
        Rc::clone(&self.sessions[at])
    }

    /// Returns whether a relay has not answered lately.
    pub(crate) fn is_suspended(&self, known: &Known, now: Millis) -> bool {
        let found = self.sessions.binary_search_by(|have| have.known.cmp(known));
        found.is_ok_and(|at| self.sessions[at].is_suspended(now))
    }

    /// Closes all sessions, so that none outlives the term.
    pub(crate) fn close(&self) {
        for relay in &self.sessions {
            relay.close();
        }
    }
}

fn path_through(pairs: &[Pair], known: &Known) -> Option<Path> {
    let found = pairs.binary_search_by(|pair| pair.first.domain.cmp(&known.domain));
    let pair = &pairs[found.ok()?];
    if pair.first == *known {
        Some(Path::First)
    } else {
        (pair.second.as_ref() == Some(known)).then_some(Path::Second)
    }
}
