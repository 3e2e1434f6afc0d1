//! Typed identities of workers, endpoints, failure domains, jobs, tasks and the like.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::name::{self, Name};

macro_rules! name_types {
    ($($(#[$doc:meta])* $id:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $id(pub Name);

        impl $id {
            /// Creates the identity from a text.
            ///
            /// # Errors
            /// Fails when the text is not a valid [`Name`].
            pub fn new(text: &str) -> Result<Self, name::Error> {
                Name::new(text).map(Self)
            }

            /// Returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl FromStr for $id {
            type Err = name::Error;
            fn from_str(text: &str) -> Result<Self, name::Error> {
                Self::new(text)
            }
        }

        impl fmt::Display for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl fmt::Debug for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    )+};
}

name_types! {
    /// `Worker` identifies a VM that runs tasks.
    Worker;
    /// `Entry` identifies a marigoldpick process on an entry VM.
    Entry;
    /// `Domain` identifies a failure domain.
    Domain;
    /// `Region` identifies a region, which is a set of failure domains.
    Region;
    /// `Rack` identifies a rack of workers.
    Rack;
    /// `Shard` identifies a set of racks of one failure domain. Each shard is owned by one lead.
    Shard;
    /// `Team` identifies a team, which has a quota.
    Team;
    /// `Job` identifies a job.
    Job;
    /// `Service` identifies a service that callers send requests to; its instances are endpoints.
    Service;
    /// `Endpoint` identifies one running instance of a service.
    Endpoint;
    /// `Plan` identifies a plan by its digest.
    Plan;
    /// `Request` identifies a caller's request.
    Request;
}

/// `Task` identifies a task by its job and an index from zero. It is written `job:index`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Task {
    /// The job that the task belongs to.
    pub job: Job,
    /// The task's number in the job, from zero.
    pub index: u32,
}

/// `Run` identifies one start of a task. A task that is started again gets a higher attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The task that is run.
    pub task: Task,
    /// The number of the start, counted from one.
    pub attempt: u32,
}

/// a task is written job:index
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct TaskError;

impl std::error::Error for TaskError {}

impl Task {
    /// Creates the identity of the task of `job` with number `index`.
    #[must_use]
    pub const fn new(job: Job, index: u32) -> Self {
        Self { job, index }
    }
}

impl Run {
    /// Returns the run that serves as `endpoint`, if the endpoint's name has the form of a run's.
    ///
    /// It is the inverse of [`Run::endpoint`].
    #[must_use]
    pub fn from_endpoint(endpoint: &Endpoint) -> Option<Self> {
        let (rest, attempt) = endpoint.as_str().rsplit_once('.')?;
        let (job, index) = rest.rsplit_once('.')?;
        let task = Task::new(Job::new(job).ok()?, index.parse().ok()?);
        let attempt = attempt.parse().ok()?;
        Some(Self { task, attempt })
    }

    /// Returns the identity of the endpoint that this run serves as, `job.index.attempt`.
    ///
    /// # Panics
    /// Panics when the job's name is longer than an intent allows.
    #[must_use]
    pub fn endpoint(&self) -> Endpoint {
        let text = format!("{}.{}.{}", self.task.job, self.task.index, self.attempt);
        Endpoint::new(&text).expect("an accepted job's name is short enough")
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.job, self.index)
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}

impl FromStr for Task {
    type Err = TaskError;
    fn from_str(text: &str) -> Result<Self, TaskError> {
        let (job, index) = text.rsplit_once(':').ok_or(TaskError)?;
        let job = Job::new(job).map_err(|_source| TaskError)?;
        let index = index.parse().map_err(|_source| TaskError)?;
        Ok(Self { job, index })
    }
}

impl TryFrom<String> for Task {
    type Error = TaskError;
    fn try_from(text: String) -> Result<Self, TaskError> {
        text.parse()
    }
}

impl From<Task> for String {
    fn from(task: Task) -> Self {
        task.to_string()
    }
}
