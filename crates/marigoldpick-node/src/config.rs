//! The routes, queues and teams that the operators configure.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use marigoldpick_core::prelude::*;
use marigoldpick_job::Queue;

use crate::access::Directory;

/// The number of confirmations within the bound that they keep, so that one may be lost with its whole timeout.
const CONFIRMATIONS_PER_BOUND: u64 = 3;

/// Returns the time between two confirmations of what a watch follows, of which each finds a change.
///
/// Load pattern: the connection of a watch dies without a reset, or the store drops the history that the watch
/// waits on. The watch then brings no change, or brings it only after its own timeout.
#[must_use]
pub fn confirmation_interval(bound: Millis) -> Millis {
    Millis(bound.0 / CONFIRMATIONS_PER_BOUND)
}

/// `Route` maps a host and a path prefix to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The queue.
    pub queue: Name,
    /// The host in the request.
    pub host: String,
    /// The prefix of the path; the rest is the job's id.
    pub prefix: String,
    /// Whether callers need no key.
    pub is_open: bool,
}

/// `Config` is one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The version, which increases with each change.
    pub version: u64,
    /// The store's revision of this version.
    pub revision: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The queues, sorted by name.
    pub queues: Vec<Queue>,
    /// The teams and their keys.
    pub teams: Directory,
    /// The maximum size of a request body, in bytes.
    pub body_limit: usize,
    /// The maximum size of a request head, in bytes; zero if the operators set none.
    pub head_limit: usize,
    /// The time in which the head of a request must be accepted if it arrives; zero if none is set.
    pub head_wait: Millis,
    /// The time for which an idle connection must be kept; zero if none is set.
    pub idle_wait: Millis,
}

impl Config {
    /// Returns the settings of a queue.
    #[must_use]
    pub fn queue(&self, name: &Name) -> Option<&Queue> {
        let found = self.queues.binary_search_by(|queue| queue.name.cmp(name));
        found.ok().map(|at| &self.queues[at])
    }

    /// Returns the route of a request and the rest of its path.
    ///
    /// Among the routes of the host, the one with the longest matching prefix is used.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter_map(|route| Some((route, path.strip_prefix(route.prefix.as_str())?)))
            .max_by_key(|(route, _)| route.prefix.len())
    }
}

/// `Active` is the configuration in force, with the time when it was last known to be the newest.
#[derive(Debug)]
pub struct Active {
    /// The configuration.
    pub config: Arc<Config>,
    /// The send time of the latest request to which the store answered that this configuration is
    /// the newest, in milliseconds of the process's clock; zero if there was none.
    confirmed: AtomicU64,
}

impl Active {
    /// Puts a configuration in force that is newer than one confirmed at `confirmed`.
    ///
    /// It was itself the newest when it was written, which was after that time.
    pub(crate) const fn new(config: Arc<Config>, confirmed: Option<Millis>) -> Self {
        let confirmed = match confirmed {
            Some(at) => at.0,
            None => 0,
        };
        Self {
            config,
            confirmed: AtomicU64::new(confirmed),
        }
    }

    /// Records that a request sent at `sent` was answered with this configuration as the newest.
    pub(crate) fn confirm(&self, sent: Millis) {
        self.confirmed.fetch_max(sent.0, Ordering::SeqCst);
    }

    /// Returns the time of the last confirmation.
    #[must_use]
    pub fn confirmed(&self) -> Option<Millis> {
        match self.confirmed.load(Ordering::SeqCst) {
            0 => None,
            at => Some(Millis(at)),
        }
    }

    /// Returns the time since the last confirmation; the longest time if there was none.
    #[must_use]
    pub fn age(&self, now: Millis) -> Millis {
        self.confirmed().map_or(Millis::MAX, |at| now.since(at))
    }
}
