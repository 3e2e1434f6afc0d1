//! Jobs made of steps: what callers hand in, and the names of tasks and their runs.
//!
//! A job has steps, a step has tasks. A step begins once all tasks of the steps it comes after are
//! done. A job that repeats runs all its steps once for each occurrence.

use std::fmt;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id;
use crate::name::Name;
use crate::resource::Amount;

pub mod peer;
pub mod port;
pub mod relay;

/// The longest payload, in bytes.
pub const MAX_PAYLOAD: usize = 4_000;
/// The most steps of a job.
pub const MAX_STEPS: usize = 64;
/// The most tasks of a step.
pub const MAX_TASKS: u32 = 10_000;

/// `Step` is a set of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks it has.
    pub count: u32,
    /// What each task needs.
    pub needs: Amount,
    /// A rough estimate of a task's duration.
    pub estimate: Millis,
    /// Earlier steps, by number from zero, whose tasks must all be done before.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether its tasks write checkpoints.
    #[serde(default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether its tasks work only while all of them run.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether its tasks are slower when they run on more than one rack.
    #[serde(default, skip_serializing_if = "is_false")]
    pub one_rack: bool,
    /// A label that the worker must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<Name>,
    /// The rack that holds the data; tasks are slower elsewhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rack: Option<Name>,
    /// The most tasks of the step that may share a worker, when bounded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread: Option<u32>,
    /// Whether several copies of a task may run; the first to finish counts.
    #[serde(default, skip_serializing_if = "is_false")]
    pub copies: bool,
    /// Whether its tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_false")]
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub image: Option<Name>,
    /// The bound on the response time of a serving task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Millis>,
    /// Whether its tasks use the processors that others leave idle; then they claim none.
    #[serde(default, skip_serializing_if = "is_false")]
    pub fills: bool,
    /// How many of its lasting tasks may be away at once through acts of the system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns what a task claims of a worker: a filling task claims no processors.
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

/// `Schedule` tells when a repeated job is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The first occurrence, in milliseconds since 1970.
    pub first: u64,
    /// The time between two occurrences.
    pub every: Millis,
    /// How many occurrences there are.
    pub times: u32,
}

/// `Job` is what a caller hands in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The queue that accepted it.
    pub queue: Name,
    /// What its tasks are told.
    pub payload: String,
    /// The steps, in the order of their numbers.
    pub steps: Vec<Step>,
    /// When it is due; at once and only once if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// When it was accepted, in milliseconds since 1970 by the accepting entry's clock.
    pub accepted: u64,
}

/// `Error` tells why a job is malformed.
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
    /// Checks the job's form.
    ///
    /// # Errors
    /// Fails with the first fault found.
    pub fn verify(&self) -> Result<(), Error> {
        if self.payload.len() > MAX_PAYLOAD {
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

    /// Returns how many occurrences the job has.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }
}

/// `Part` names a step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part {
    /// The job.
    pub job: id::Job,
    /// The occurrence, from zero.
    pub occurrence: u32,
    /// The step, from zero.
    pub step: u32,
}

impl Part {
    /// Names one of the step's tasks.
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

/// `Task` names a task of a step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// The step.
    pub part: Part,
    /// The task's number in the step, from zero.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.part, self.index)
    }
}

/// `Phase` is what callers are told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl Phase {
    /// Tells whether the job is over.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
