//! One call of the load, and what its answer is worth.

use std::sync::{Arc, Mutex, PoisonError};

use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use serde::Serialize;

use super::site::Runs;

/// The short deadline.
const DEADLINE: &str = "1000";

/// `Target` is where requests go.
#[derive(Clone, Debug)]
pub struct Target {
    address: String,
    url: Url,
    idle: Arc<Mutex<Vec<TcpStream>>>,
}

/// `Job` is the kind of the requests.
#[derive(Clone, Debug)]
pub struct Job {
    team: &'static str,
    /// Whether each runs at most once.
    once: bool,
    /// Whether each has an id of its own and a short deadline.
    timed: bool,
}

impl Job {
    /// Requests that may run more than once.
    pub const fn idempotent() -> Self {
        Self {
            team: "sellers",
            once: false,
            timed: false,
        }
    }

    /// Requests with a short deadline that may run more than once.
    pub const fn timed() -> Self {
        Self {
            team: "sellers",
            once: false,
            timed: true,
        }
    }

    /// Requests of a team, or of four teams for `team`, that run at most once.
    pub const fn once(team: &'static str) -> Self {
        Self {
            team,
            once: true,
            timed: true,
        }
    }

    fn id(&self, nth: u64) -> String {
        if self.timed {
            format!("{}-{nth}", self.team)
        } else {
            "bench".to_owned()
        }
    }
}

/// `Found` is how a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// The whole answer came.
    Done,
    /// It did not run, says the entry.
    NotRun(String),
    /// It may have run.
    Unknown,
    /// The answer ended early, or there was none.
    Cut,
    /// The answer was another request's.
    Mixed,
}

impl Found {
    /// Tells whether the whole answer came.
    pub fn is_done(&self) -> bool {
        *self == Self::Done
    }
}

/// `Counts` are calls by their ends.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    done: u64,
    not_run: u64,
    unknown: u64,
    cut: u64,
    mixed: u64,
    /// Requests that ran more than once.
    doubled: u64,
    /// Requests that ran, though the caller was told that they did not.
    wrongly_not_run: u64,
    #[serde(skip)]
    told: Vec<String>,
}

impl FromIterator<Found> for Counts {
    fn from_iter<I: IntoIterator<Item = Found>>(iter: I) -> Self {
        let mut counts = Self::default();
        for found in iter {
            match found {
                Found::Done => counts.done += 1,
                Found::NotRun(id) => {
                    counts.not_run += 1;
                    counts.told.push(id);
                }
                Found::Unknown => counts.unknown += 1,
                Found::Cut => counts.cut += 1,
                Found::Mixed => counts.mixed += 1,
            }
        }
        counts
    }
}

impl Counts {
    /// Adds others.
    pub fn add(&mut self, other: &Self) {
        self.done += other.done;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.cut += other.cut;
        self.mixed += other.mixed;
        self.told.extend_from_slice(&other.told);
    }

    /// Holds what callers were told against what ran; `once` tells whether nothing may run twice.
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
    /// Makes a target of an address and a path.
    pub fn new(address: &str, path: &str) -> http_types::Result<Self> {
        Ok(Self {
            address: address.to_owned(),
            url: Url::parse(&format!("http://{address}{path}"))?,
            idle: Arc::default(),
        })
    }

    /// Makes the call of a number.
    pub async fn call(&self, job: &Job, nth: u64) -> Found {
        self.attempt(job, nth).await.unwrap_or(Found::Cut)
    }

    async fn attempt(&self, job: &Job, nth: u64) -> http_types::Result<Found> {
        let kept = self.idle().pop();
        let stream = match kept {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(&self.address).await?;
                stream.set_nodelay(true)?;
                stream
            }
        };
        let id = job.id(nth);
        let body = format!("a booking of {id}");
        let mut request = Request::new(Method::Post, self.url.clone());
        if job.team == "team" {
            request.insert_header("x-marigold-team", format!("team-{}", nth % 4));
        } else {
            request.insert_header("x-marigold-team", job.team);
        }
        request.insert_header("x-marigold-request", id.as_str());
        if job.timed {
            request.insert_header("x-marigold-deadline-ms", DEADLINE);
        }
        if !job.once {
            request.insert_header("x-marigold-idempotent", "true");
        }
        request.set_body(body.as_str());
        let mut response = async_h1::connect(stream.clone(), request).await?;
        let answer = response.body_bytes().await?;
        self.idle().push(stream);
        Ok(found(&response, id, answer == body.as_bytes()))
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn found(response: &Response, id: String, same: bool) -> Found {
    let result = response.header("x-marigold-result");
    match result.map(|result| result.as_str()) {
        Some("not-run") => Found::NotRun(id),
        Some("unknown") => Found::Unknown,
        // An endpoint that is called directly names no result.
        Some("done") | None if same => Found::Done,
        _ => Found::Mixed,
    }
}
