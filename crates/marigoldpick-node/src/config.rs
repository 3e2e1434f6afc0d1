//! The routes and queues that the operators configure.

use marigoldpick_core::prelude::*;
use marigoldpick_job::Queue;

/// `Route` maps a host and a path prefix to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The queue.
    pub queue: Name,
    /// The host in the request.
    pub host: String,
    /// The prefix of the path; the rest is the job's id.
    pub prefix: String,
}

/// `Config` is one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The version, which increases with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The queues, sorted by name.
    pub queues: Vec<Queue>,
    /// The maximum size of a request body, in bytes.
    pub body_limit: usize,
}

impl Config {
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
