//! The messages between the operators' command line and an entry, as JSON over HTTP.
//!
//! The paths are `POST /v1/plan`, `POST /v1/confirm`, `POST /v1/cancel`, `POST /v1/drain`,
//! `GET /v1/status`, `GET /v1/explain/{task}` and `GET /v1/timeline?after=N`. A failed request is
//! answered by a [`Problem`].

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::code::Code;
use crate::config::{self, Target};
use crate::id;
use crate::timeline;
use crate::worker::Epoch;

/// `Problem` is the answer to a request that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The result code.
    pub code: Code,
    /// A description for people.
    pub message: String,
    /// The delay after which a retry makes sense, if one does.
    pub retry_after_ms: Option<Millis>,
    /// A new plan that replaces a stale one, if there is one.
    #[serde(default)]
    pub plan: Option<id::Plan>,
}

impl Problem {
    /// Creates a problem from a code and details; without details the message is the code's text.
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

/// `PlanRequest` is a request for a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// The name of the intent's file, for errors.
    pub file: String,
    /// The intent as TOML text.
    pub text: String,
}

/// `Confirm` is a request to confirm a plan; it is answered by [`Accepted`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    /// The plan.
    pub plan: id::Plan,
}

/// `Cancel` is a request to cancel jobs; it is answered by [`Accepted`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    /// The jobs.
    pub jobs: Vec<id::Job>,
}

/// `Drain` is a request to start or end a drain; it is answered by [`Accepted`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// What to drain.
    pub target: Target,
    /// Whether the drain starts; if not, it ends.
    pub on: bool,
}

/// `Accepted` is the answer to a change that was accepted into the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The number of the configuration entry with the change.
    pub sequence: u64,
}

/// `Status` is the state of the system as one entry knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The entry.
    pub entry: id::Entry,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether the entry is draining.
    pub draining: bool,
    /// The number of the last configuration entry that this entry applied.
    pub sequence: u64,
    /// The time since the store was last reached.
    pub store_age: Millis,
    /// Whether the configuration may be outdated, since neither the store nor an entry that watches
    /// it was reached recently.
    pub config_old: bool,
    /// The failure domain's shards.
    pub shards: Vec<Shard>,
    /// The jobs that have not ended, and those that ended last.
    pub jobs: Vec<Job>,
    /// Jobs for which the lead of at least one shard reported no progress, so that their counts are
    /// lower bounds.
    pub partial: Vec<id::Job>,
    /// The other entries.
    pub peers: Vec<Peer>,
    /// The services, as this entry routes to them.
    pub services: Vec<Service>,
}

impl Status {
    /// Adds the progress that the shards' leads reported to the counts from the configuration.
    ///
    /// If several leads reported progress for a shard, the one with the highest epoch counts. A
    /// shard whose tasks of a job have ended is no longer among the job's homes, and the
    /// configuration holds its counts. `accepted` are the jobs of the configuration. `self.jobs`
    /// must be sorted by name.
    pub fn add<'a>(
        &mut self,
        accepted: impl IntoIterator<Item = &'a config::Accepted>,
        mut reports: Vec<Progress>,
    ) {
        reports.sort_by(|a, b| a.shard.cmp(&b.shard).then(b.epoch.cmp(&a.epoch)));
        reports.dedup_by(|later, first| later.shard == first.shard);
        for progress in &mut reports {
            progress.jobs.sort_by(|a, b| a.job.cmp(&b.job));
        }
        for job in accepted {
            let name = &job.job.name;
            for home in &job.homes {
                let report = reports.binary_search_by(|report| report.shard.cmp(&home.shard));
                let part = report.ok().and_then(|at| reports[at].job(name));
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

/// `Progress` is the report of a shard's lead on the jobs that have tasks there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The shard.
    pub shard: id::Shard,
    /// The lead's term.
    pub epoch: Epoch,
    /// The jobs, with the counts of this shard's tasks alone.
    pub jobs: Vec<Job>,
}

impl Progress {
    fn job(&self, name: &id::Job) -> Option<&Job> {
        let at = self.jobs.binary_search_by(|job| job.job.cmp(name));
        at.ok().map(|at| &self.jobs[at])
    }
}

/// `Shard` is the state of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// The shard.
    pub shard: id::Shard,
    /// The lead, if known.
    pub lead: Option<id::Entry>,
    /// The number of workers that hold a lease.
    pub workers: u32,
    /// The number of workers that do not answer.
    pub silent: u32,
    /// The number of running tasks.
    pub running: u32,
    /// The number of waiting tasks.
    pub waiting: u32,
    /// The number of completions that are not recorded in the store yet.
    pub unrecorded: u32,
}

/// `Job` is the progress of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The job.
    pub job: id::Job,
    /// The number of all tasks.
    pub count: u32,
    /// The number of running tasks.
    pub running: u32,
    /// The number of waiting tasks.
    pub waiting: u32,
    /// The number of completed tasks.
    pub completed: u32,
    /// The number of tasks that were given up.
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
    /// The time since its last message.
    pub age: Millis,
    /// The number of the last configuration entry that it reported as applied.
    pub sequence: u64,
}

/// `Service` is a service as one entry routes to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service.
    pub service: id::Service,
    /// The number of endpoints in use.
    pub endpoints: u32,
    /// The number of endpoints that are ejected as failing.
    pub ejected: u32,
    /// The number of slots that this entry holds.
    pub slots: u32,
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The number of queued requests.
    pub queued: u32,
}

/// `Explain` is the state of a task and the reasons for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explain {
    /// The task.
    pub task: id::Task,
    /// The state: `running`, `waiting`, `never`, `completed`, `failed` or `cancelled`.
    pub state: String,
    /// The worker on which it runs, if any.
    pub worker: Option<id::Worker>,
    /// The reasons, one per line, such as what the task needs and what the largest worker has free.
    pub reasons: Vec<String>,
}

/// `Timeline` is a page of one process's events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timeline {
    /// The events, ascending by sequence.
    pub events: Vec<timeline::Event>,
    /// The position at which the next page begins.
    pub next: u64,
    /// The number of events before this page that were dropped before anyone read them.
    pub dropped: u64,
}
