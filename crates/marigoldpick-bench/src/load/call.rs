//! One request of the load, and the classification of its answer.

use std::sync::{Arc, Mutex, PoisonError};

use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use serde::Serialize;

use super::site::Runs;

/// The deadline of requests that have one, in milliseconds.
const DEADLINE_MS: &str = "1000";

/// `Target` is an address that requests are sent to, with its idle connections.
#[derive(Clone, Debug)]
pub struct Target {
    address: String,
    url: Url,
    idle: Arc<Mutex<Vec<TcpStream>>>,
}

/// `Profile` describes the requests of a load.
#[derive(Clone, Debug)]
pub struct Profile {
    team: &'static str,
    /// Whether each request may run at most once.
    once: bool,
    /// Whether each request has an id of its own and a short deadline.
    has_deadline: bool,
}

impl Profile {
    /// Describes idempotent requests without a deadline, all with the same id.
    pub const fn idempotent() -> Self {
        Self {
            team: "sellers",
            once: false,
            has_deadline: false,
        }
    }

    /// Describes idempotent requests with a short deadline.
    pub const fn with_deadline() -> Self {
        Self {
            team: "sellers",
            once: false,
            has_deadline: true,
        }
    }

    /// Describes requests of a team that run at most once; the name `team` stands for four teams.
    pub const fn once(team: &'static str) -> Self {
        Self {
            team,
            once: true,
            has_deadline: true,
        }
    }

    fn id(&self, nth: u64) -> String {
        if self.has_deadline {
            format!("{}-{nth}", self.team)
        } else {
            "bench".to_owned()
        }
    }
}

/// `Outcome` is the result of a call as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Done,
    /// The entry answered that the request with this id did not run.
    NotRun(String),
    /// The entry answered that the request may have run.
    Unknown,
    /// The answer was cut short or missing.
    Cut,
    /// The answer belongs to another request.
    Mixed,
}

impl Outcome {
    /// Returns whether the whole answer arrived.
    pub fn is_done(&self) -> bool {
        *self == Self::Done
    }
}

/// `Counts` holds the number of calls with each outcome.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    done: u64,
    not_run: u64,
    unknown: u64,
    cut: u64,
    mixed: u64,
    /// Requests that ran more than once.
    doubled: u64,
    /// Requests that ran although the caller was told that they did not.
    wrongly_not_run: u64,
    /// The ids of requests whose callers were told that they did not run.
    #[serde(skip)]
    told: Vec<String>,
}

impl FromIterator<Outcome> for Counts {
    fn from_iter<I: IntoIterator<Item = Outcome>>(iter: I) -> Self {
        let mut counts = Self::default();
        for outcome in iter {
            match outcome {
                Outcome::Done => counts.done += 1,
                Outcome::NotRun(id) => {
                    counts.not_run += 1;
                    counts.told.push(id);
                }
                Outcome::Unknown => counts.unknown += 1,
                Outcome::Cut => counts.cut += 1,
                Outcome::Mixed => counts.mixed += 1,
            }
        }
        counts
    }
}

impl Counts {
    /// Adds the counts of other calls.
    pub fn add(&mut self, other: &Self) {
        self.done += other.done;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.cut += other.cut;
        self.mixed += other.mixed;
        self.told.extend_from_slice(&other.told);
    }

    /// Compares the answers to callers with the runs at the endpoints.
    ///
    /// With `once`, requests that ran twice are counted too.
    pub fn check(&mut self, runs: &Runs, once: bool) {
        let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        if once {
            self.doubled = runs.values().filter(|count| **count > 1).count() as u64;
        }
        let ran = self.told.iter().filter(|id| runs.contains_key(*id));
        self.wrongly_not_run = ran.count() as u64;
    }
}

impl Target {
    /// Creates a target from an address and a path.
    pub fn new(address: &str, path: &str) -> http_types::Result<Self> {
        Ok(Self {
            address: address.to_owned(),
            url: Url::parse(&format!("http://{address}{path}"))?,
            idle: Arc::default(),
        })
    }

    /// Sends the `nth` request of a profile; a failed connection counts as a cut answer.
    pub async fn call(&self, profile: &Profile, nth: u64) -> Outcome {
        self.attempt(profile, nth).await.unwrap_or(Outcome::Cut)
    }

    async fn attempt(&self, profile: &Profile, nth: u64) -> http_types::Result<Outcome> {
        let idle = self.idle().pop();
        let stream = match idle {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(&self.address).await?;
                stream.set_nodelay(true)?;
                stream
            }
        };
        let id = profile.id(nth);
        let body = format!("a booking of {id}");
        let mut request = Request::new(Method::Post, self.url.clone());
        if profile.team == "team" {
            request.insert_header("x-marigold-team", format!("team-{}", nth % 4));
        } else {
            request.insert_header("x-marigold-team", profile.team);
        }
        request.insert_header("x-marigold-request", id.as_str());
        if profile.has_deadline {
            request.insert_header("x-marigold-deadline-ms", DEADLINE_MS);
        }
        if !profile.once {
            request.insert_header("x-marigold-idempotent", "true");
        }
        request.set_body(body.as_str());
        let mut response = async_h1::connect(stream.clone(), request).await?;
        let answer = response.body_bytes().await?;
        self.idle().push(stream);
        Ok(classify(&response, id, answer == body.as_bytes()))
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Classifies an answer; `same` is whether its body equals the request's.
fn classify(response: &Response, id: String, same: bool) -> Outcome {
    let result = response.header("x-marigold-result");
    match result.map(|result| result.as_str()) {
        Some("not-run") => Outcome::NotRun(id),
        Some("unknown") => Outcome::Unknown,
        // An endpoint that is called directly sends no result header.
        Some("done") | None if same => Outcome::Done,
        _ => Outcome::Mixed,
    }
}
