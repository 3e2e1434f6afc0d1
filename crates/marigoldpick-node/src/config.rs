//! The configuration in force, as the operators wrote it.

use marigoldpick_core::prelude::*;
use marigoldpick_job::Queue;

/// `Route` leads callers to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The queue.
    pub queue: Name,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with; the rest is the job's id.
    pub prefix: String,
}

/// `Config` is one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The version; it grows.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The queues, sorted by name.
    pub queues: Vec<Queue>,
    /// The largest body of a request, in bytes.
    pub body_limit: usize,
}

impl Config {
    /// Finds the queue for a request: the longest prefix of the path among the host's routes.
    ///
    /// Returns the route and the rest of the path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter_map(|route| Some((route, path.strip_prefix(route.prefix.as_str())?)))
            .max_by_key(|(route, _)| route.prefix.len())
    }
}
