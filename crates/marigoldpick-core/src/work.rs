//! The jobs that callers submit, and the identities of their steps and tasks.
//!
//! A job consists of steps, and a step of equal tasks. A step starts when all tasks of the steps it
//! depends on are done. A repeated job runs all its steps once for each occurrence.
//!
//! These jobs are not the ones that operators declare in an [`Intent`](crate::intent::Intent).

use std::fmt;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id;
use crate::name::Name;
use crate::resource::Amount;

pub mod explain;
pub mod lease;
pub mod load;
pub mod peer;
pub mod port;
pub mod relay;

/// The maximum size of a job's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;
/// The maximum number of tasks of a step.
pub const MAX_TASKS: u32 = 10_000;

/// `Step` is a set of equal tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub needs: Amount,
    /// A rough estimate of the run time of a task.
    pub estimate: Millis,
    /// The earlier steps, numbered from zero, whose tasks must all be done before this step starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints.
    #[serde(default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks make progress only while all of them run.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over more than one rack.
    #[serde(default, skip_serializing_if = "is_false")]
    pub one_rack: bool,
    /// A label that a worker must have to run the tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<Name>,
    /// The rack that holds the input data; the tasks are slower on other racks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rack: Option<Name>,
    /// The maximum number of the step's tasks on one worker; `None` sets no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread: Option<u32>,
    /// Whether speculative copies of a task may run; the first one to finish counts.
    #[serde(default, skip_serializing_if = "is_false")]
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_false")]
    pub lasting: bool,
    /// The program that the tasks run; tasks of the same image behave alike.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub image: Option<Name>,
    /// The target for the response time of a task that serves requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Millis>,
    /// Whether the tasks use only processors that other tasks leave idle, and reserve none.
    #[serde(default, skip_serializing_if = "is_false")]
    pub fills: bool,
    /// The maximum number of lasting tasks that the system itself may keep down at the same time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns the resources that a task reserves on a worker.
    ///
    /// A task that uses idle processors only (`fills`) reserves none.
    #[must_use]
    pub fn claim(&self) -> Amount {
        let mut claim = self.needs.clone();
        if self.fills {
            claim.millicores = 0;
        }
        claim
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// `Schedule` defines when the occurrences of a repeated job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The time of the first occurrence, in milliseconds since 1970.
    pub first: u64,
    /// The interval between two occurrences.
    pub every: Millis,
    /// The number of occurrences.
    pub times: u32,
}

/// `Job` is a job as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The queue to which it was submitted.
    pub queue: Name,
    /// The text that is passed to each task.
    pub payload: String,
    /// The steps, in the order of their numbers.
    pub steps: Vec<Step>,
    /// When it is due; `None` means that it runs once and at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// The time of acceptance in milliseconds since 1970, by the clock of the accepting entry.
    pub accepted: u64,
    /// The team that submitted it; `None` if it was submitted without a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<id::Team>,
}

/// `Access` is what a caller may see and cancel.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Access {
    /// The team of the caller's key.
    pub team: Option<id::Team>,
    /// The queue of the call, if its route needs no key.
    pub open_queue: Option<Name>,
}

impl Access {
    /// Returns whether the caller may see and cancel a job.
    #[must_use]
    pub fn permits(&self, job: &Job) -> bool {
        job.team.is_none() || self.team == job.team || self.open_queue.as_ref() == Some(&job.queue)
    }
}

/// `Error` is the reason why a job is malformed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the payload is longer than 4000 bytes
    Payload,
    /// a job has from 1 to 64 steps
    Steps,
    /// a step has from 1 to 10000 tasks
    Tasks,
    /// a step may only come after earlier steps
    Order,
    /// a repeated job has an interval above zero
    Interval,
}

impl std::error::Error for Error {}

impl Job {
    /// Checks the job against the limits on its form.
    ///
    /// # Errors
    /// Fails with the first violation found.
    pub fn verify(&self) -> Result<(), Error> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(Error::Payload);
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::Steps);
        }
        for (number, step) in (0u32..).zip(&self.steps) {
            if step.count == 0 || step.count > MAX_TASKS {
                return Err(Error::Tasks);
            }
            if step.after.iter().any(|before| *before >= number) {
                return Err(Error::Order);
            }
        }
        match self.schedule {
            Some(schedule) if schedule.times > 1 && schedule.every == Millis::ZERO => {
                Err(Error::Interval)
            }
            _ => Ok(()),
        }
    }

    /// Returns the number of occurrences of the job.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }
}

/// `Part` identifies a step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part {
    /// The job.
    pub job: id::Job,
    /// The number of the occurrence, from zero.
    pub occurrence: u32,
    /// The number of the step, from zero.
    pub step: u32,
}

impl Part {
    /// Returns the identity of the step's task with number `index`.
    #[must_use]
    pub fn task(&self, index: u32) -> Task {
        Task {
            part: self.clone(),
            index,
        }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// `Task` identifies a task of a step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// The step and its occurrence.
    pub part: Part,
    /// The task's number in the step, from zero.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.part, self.index)
    }
}

/// `Phase` is the state of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows, so the job was given up.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl Phase {
    /// Returns whether the job is over.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
