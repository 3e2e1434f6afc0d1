//! Where a job would go if it were submitted now, and why.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id;
use crate::name::Name;
use crate::resource::Amount;

/// `Answer` is what an entry knows of where a job would go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The entry.
    pub entry: id::Entry,
    /// The entry that leads, as far as this entry knows.
    pub lead: Option<id::Entry>,
    /// The version of the configuration in force at the entry; zero if there is none.
    pub version: u64,
    /// The time since this version was last confirmed to be the newest; `None` if it never was.
    pub config_age: Option<Millis>,
    /// Whether the job would be accepted.
    pub admission: Admission,
    /// What the lead would do; `None` if the lead does not know the queue, or if the entry does not lead and the lead
    /// did not answer it.
    pub placement: Option<Placement>,
}

/// `Admission` says whether a job would be accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// The bound that rejects the job; `None` if it would be accepted.
    pub rejected_by: Option<String>,
    /// The time after which a rejected job may be submitted again.
    pub retry_after: Option<Millis>,
}

/// `Placement` is what the lead would do with a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Whether the job exceeds the rate of its team.
    pub excess: bool,
    /// How long the job may take to be on time.
    pub objective: Millis,
    /// The steps that wait for placement at the lead.
    pub waiting: usize,
    /// The steps that could start at once, in the order in which they are placed.
    pub steps: Vec<Step>,
    /// The time since the lead's term began.
    pub term_age: Millis,
    /// The time since the lead last placed waiting work.
    pub pass_age: Millis,
    /// The time since the oldest of the last reports of the workers that qualify for a step; `None` if none does.
    pub report_age: Option<Millis>,
}

/// `Step` is what the lead would do with one step of the job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The number of the step, from zero.
    pub number: u32,
    /// The number of its tasks.
    pub tasks: u32,
    /// What happens to the step.
    pub outcome: Outcome,
    /// The number of waiting steps that go before it.
    pub behind: usize,
    /// The queues, teams and remaining work of the first few of these, in their order.
    pub before: Vec<Ahead>,
    /// The workers that have room for a task now.
    pub qualified: usize,
    /// The number of other workers by the first reason that excludes them.
    pub excluded: Vec<(Reason, usize)>,
    /// What remains of the limit of its team for the step: the tasks that it admits.
    pub admitted: u32,
    /// The worker that its first task would take.
    pub worker: Option<Candidate>,
    /// The next best worker for its first task.
    pub next: Option<Candidate>,
    /// The number of tasks for each worker, sorted by worker.
    pub places: Vec<(id::Worker, u32)>,
    /// The question to the adviser, if the step needs one.
    pub question: Option<Question>,
}

/// `Ahead` is a waiting step that goes before the job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ahead {
    /// The job.
    pub job: id::Job,
    /// Its queue.
    pub queue: Name,
    /// Its team.
    pub team: Option<id::Team>,
    /// What each of its tasks claims.
    pub claim: Amount,
}

/// `Candidate` is a worker that could take a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The worker.
    pub worker: id::Worker,
    /// Its cost for the task, in milliseconds of run time; the least is taken.
    pub cost_ms: u64,
    /// The time since its last report.
    pub report_age: Option<Millis>,
}

/// `Question` is a question that the lead would send to the adviser.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The number of workers that it names.
    pub workers: usize,
    /// The adviser's time for it.
    pub span: Millis,
}

/// `Outcome` is what happens to a step.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// all tasks start
    Starts,
    /// some tasks start, the others wait for room
    StartsInPart,
    /// it waits for room
    Room,
    /// it waits for the limit of its team
    Limit,
    /// the adviser is asked first
    Advice,
}

/// `Reason` says why a worker can't take a task of a step.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// not in the registry
    Unlisted,
    /// draining
    Draining,
    /// slow or failing, in quarantine
    Slow,
    /// silent or not heard of yet
    Silent,
    /// too small
    Size,
    /// without the label
    Label,
    /// at the step's limit for one worker
    Spread,
    /// without the adviser's leave
    Advice,
    /// without room now
    Full,
    /// on another rack than the gang
    Rack,
}
