//! What the operators' command line and an entry say to each other, as JSON over HTTP.
//!
//! `POST /v1/plan`, `POST /v1/confirm`, `POST /v1/cancel`, `POST /v1/drain`, `GET /v1/status`,
//! `GET /v1/explain/{task}`, `GET /v1/timeline?after=N`. Each error is a [`Problem`].

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::code::Code;
use crate::config::{self, Target};
use crate::id;
use crate::timeline;
use crate::worker::Epoch;

/// `Problem` is an answer that is not what was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What went wrong.
    pub code: Code,
    /// Its meaning and details, for people.
    pub message: String,
    /// When to ask again, if that would help.
    pub retry_after_ms: Option<Millis>,
    /// A fresh plan in place of a stale one.
    #[serde(default)]
    pub plan: Option<id::Plan>,
}

impl Problem {
    /// Makes a problem from a code and details.
    #[must_use]
    pub fn new(code: Code, details: impl Into<String>) -> Self {
        let details = details.into();
        let message = if details.is_empty() {
            code.text().to_owned()
        } else {
            details
        };
        Self {
            code,
            message,
            retry_after_ms: None,
            plan: None,
        }
    }
}

/// `Ask` asks for a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// The file's name, for errors.
    pub file: String,
    /// The intent as TOML.
    pub text: String,
}

/// `Confirm` confirms a plan; the answer is [`Accepted`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    /// The plan.
    pub plan: id::Plan,
}

/// `Cancel` cancels jobs; the answer is [`Accepted`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    /// The jobs.
    pub jobs: Vec<id::Job>,
}

/// `Drain` starts or ends a drain; the answer is [`Accepted`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// What to drain.
    pub target: Target,
    /// Whether to start or end.
    pub on: bool,
}

/// `Accepted` tells the configuration's number under which a change was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The number.
    pub sequence: u64,
}

/// `Status` is what one entry knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The entry.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it is draining.
    pub draining: bool,
    /// The configuration's number in force here.
    pub sequence: u64,
    /// How long ago the store was last reached.
    pub store_age: Millis,
    /// Whether the configuration may be old, since neither store nor watcher was reached lately.
    pub config_old: bool,
    /// The failure domain's shards.
    pub shards: Vec<Shard>,
    /// Jobs that have not ended, and the last that have.
    pub jobs: Vec<Job>,
    /// Jobs of which the lead of some shard did not tell its part: their counts are lower bounds.
    pub partial: Vec<id::Job>,
    /// Other entries.
    pub peers: Vec<Peer>,
    /// Services, as this entry routes to them.
    pub services: Vec<Service>,
}

impl Status {
    /// Adds the progress that leads told to the counts of the configuration.
    ///
    /// A part of a job that has ended is counted in the configuration and has no home there any more;
    /// the newest lead of a shard counts. `accepted` are the jobs of the configuration; `self.jobs` are
    /// sorted by name.
    pub fn add<'a>(
        &mut self,
        accepted: impl IntoIterator<Item = &'a config::Accepted>,
        mut told: Vec<Progress>,
    ) {
        told.sort_by(|a, b| a.shard.cmp(&b.shard).then(b.epoch.cmp(&a.epoch)));
        told.dedup_by(|later, first| later.shard == first.shard);
        for progress in &mut told {
            progress.jobs.sort_by(|a, b| a.job.cmp(&b.job));
        }
        for job in accepted {
            let name = &job.job.name;
            for home in &job.homes {
                let lead = told.binary_search_by(|progress| progress.shard.cmp(&home.shard));
                let part = lead.ok().and_then(|at| told[at].job(name));
                let known = self.jobs.binary_search_by(|have| have.job.cmp(name));
                match (known, part) {
                    (Ok(at), Some(part)) => self.jobs[at].add(part),
                    _ => self.partial.push(name.clone()),
                }
            }
        }
        self.partial.sort();
        self.partial.dedup();
    }
}

/// `Progress` is what the lead of a shard tells of the jobs that have tasks there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The shard.
    pub shard: id::Shard,
    /// The lead's term.
    pub epoch: Epoch,
    /// The jobs; the counts are those of this shard.
    pub jobs: Vec<Job>,
}

impl Progress {
    fn job(&self, name: &id::Job) -> Option<&Job> {
        let at = self.jobs.binary_search_by(|job| job.job.cmp(name));
        at.ok().map(|at| &self.jobs[at])
    }
}

/// `Shard` is a shard's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// The shard.
    pub shard: id::Shard,
    /// The lead, if known.
    pub lead: Option<id::Entry>,
    /// Workers that hold a lease.
    pub workers: u32,
    /// Workers that don't answer.
    pub silent: u32,
    /// Tasks running.
    pub running: u32,
    /// Tasks waiting.
    pub waiting: u32,
    /// Completions that wait for the store.
    pub unrecorded: u32,
}

/// `Job` is a job's progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The job.
    pub job: id::Job,
    /// All tasks.
    pub count: u32,
    /// Tasks running.
    pub running: u32,
    /// Tasks waiting.
    pub waiting: u32,
    /// Tasks completed.
    pub completed: u32,
    /// Tasks given up.
    pub failed: u32,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

impl Job {
    fn add(&mut self, part: &Self) {
        self.running += part.running;
        self.waiting += part.waiting;
        self.completed += part.completed;
        self.failed += part.failed;
    }
}

/// `Peer` is another entry as seen from this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The entry.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
    /// How long ago it was last heard.
    pub age: Millis,
    /// The configuration's number it told.
    pub sequence: u64,
}

/// `Service` is a service as one entry routes to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service.
    pub service: id::Service,
    /// Endpoints in use.
    pub endpoints: u32,
    /// Endpoints set aside as failing.
    pub ejected: u32,
    /// Slots held by this entry.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests queued.
    pub queued: u32,
}

/// `Explain` tells why a task is as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explain {
    /// The task.
    pub task: id::Task,
    /// `running`, `waiting`, `never`, `completed`, `failed`, `cancelled`.
    pub state: String,
    /// The worker it runs on, if any.
    pub worker: Option<id::Worker>,
    /// Why, one reason a line: for example what it needs and what the largest worker has free.
    pub reasons: Vec<String>,
}

/// `Timeline` is a page of one process's events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timeline {
    /// The events, ascending by sequence.
    pub events: Vec<timeline::Event>,
    /// Where the next page begins.
    pub next: u64,
    /// Events that were dropped before this page since nobody asked in time.
    pub dropped: u64,
}
