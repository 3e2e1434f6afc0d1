//! A worker's interface as marigoldpick sees it: epochs, leases by the worker's own stamps, tasks.
//!
//! A worker obeys the highest epoch that has claimed it and refuses all lower ones. All its tasks
//! hang on one lease: when the worker's clock passes the lease's end, it stops them. Renewals alone
//! extend a lease, to `stamp + span`, where `stamp` is one the worker itself gave out earlier; nothing
//! shortens it. A claim leaves the lease as it is, so that a lead which has not yet shown its right to
//! the shard keeps no task alive that another lead takes for ended.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id;
use crate::resource::Amount;

/// `Epoch` is a shard lead's term: the shard log's tenure, then a count of claims without the store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct Epoch {
    /// The number of the tenure in the shard's log.
    pub tenure: u64,
    /// The count of take-overs without the store since that tenure.
    pub interim: u64,
    /// A hash of the lead's identity and incarnation, so that no two leads share an epoch.
    pub lead: u64,
}

impl From<(u64, u64, u64)> for Epoch {
    fn from((tenure, interim, lead): (u64, u64, u64)) -> Self {
        Self {
            tenure,
            interim,
            lead,
        }
    }
}

impl From<Epoch> for (u64, u64, u64) {
    fn from(epoch: Epoch) -> Self {
        (epoch.tenure, epoch.interim, epoch.lead)
    }
}

impl Epoch {
    /// Tells whether it is the epoch of a worker that nobody has claimed.
    #[must_use]
    pub fn is_unset(&self) -> bool {
        *self == Self::default()
    }
}

/// `Spec` is what a worker is told of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The run.
    pub run: id::Run,
    /// The configuration's entry that accepted the job. A name may be used again after the job's end,
    /// so the name alone does not tell which job a run belongs to.
    pub accepted: u64,
    /// The team, for accounts.
    pub team: id::Team,
    /// What is set aside for it.
    pub needs: Amount,
    /// The service whose endpoint it becomes, if any.
    pub service: Option<id::Service>,
    /// What the stand-in's task really does; a real platform would have an image and arguments.
    pub command: String,
    /// Whether it may be run again.
    pub idempotent: bool,
    /// How long a stop waits for it to end by itself.
    pub grace: Millis,
    /// A checkpoint to go on from, if any.
    pub checkpoint: Option<String>,
}

/// `Call` is one call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Call {
    /// Claims the worker for an epoch; refused unless higher than the worker's, and carried out
    /// again without effect at the same epoch. The lease stays as it is.
    Claim {
        /// The epoch.
        epoch: Epoch,
    },
    /// Renews the lease, also one that has lapsed, and acknowledges finished runs, which the worker
    /// then forgets. Refused as lapsed when `stamp + span` has passed.
    Renew {
        /// The epoch.
        epoch: Epoch,
        /// The last stamp received from the worker.
        stamp: Millis,
        /// The lease is extended to `stamp + span`.
        span: Millis,
        /// Finished runs whose end is recorded.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        acknowledged: Vec<id::Run>,
    },
    /// Starts a run; refused when the lease has lapsed, the size is passed or the task runs.
    Start {
        /// The epoch.
        epoch: Epoch,
        /// The last stamp received from the worker; refused when older than `span`.
        stamp: Millis,
        /// How long after the stamp the start is still valid.
        span: Millis,
        /// The task.
        spec: Spec,
    },
    /// Stops a run: no new requests at once, then the end after its grace.
    Stop {
        /// The epoch.
        epoch: Epoch,
        /// The run.
        run: id::Run,
        /// How long the task may take to end.
        grace: Millis,
    },
    /// Writes a checkpoint of a run, then stops it.
    Checkpoint {
        /// The epoch.
        epoch: Epoch,
        /// The run.
        run: id::Run,
    },
    /// Limits a run's processors.
    Throttle {
        /// The epoch.
        epoch: Epoch,
        /// The run.
        run: id::Run,
        /// The limit in thousandths of a core.
        millicores: u64,
    },
    /// Asks for the report alone; needs no epoch.
    List,
}

impl Call {
    /// Returns the epoch at which the call is made.
    #[must_use]
    pub const fn epoch(&self) -> Option<Epoch> {
        match self {
            Self::Claim { epoch }
            | Self::Renew { epoch, .. }
            | Self::Start { epoch, .. }
            | Self::Stop { epoch, .. }
            | Self::Checkpoint { epoch, .. }
            | Self::Throttle { epoch, .. } => Some(*epoch),
            Self::List => None,
        }
    }

    /// Returns the call's kind, for counters.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Claim { .. } => "claim",
            Self::Renew { .. } => "renew",
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
            Self::Checkpoint { .. } => "checkpoint",
            Self::Throttle { .. } => "throttle",
            Self::List => "list",
        }
    }
}

/// `Outcome` is how a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It did what it should.
    Done,
    /// It ended with an error.
    Failed,
    /// It was stopped as asked.
    Stopped,
    /// It was stopped after writing this checkpoint.
    Checkpointed(String),
    /// It was stopped since the worker's lease lapsed.
    Lapsed,
}

/// `Running` is a run that goes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Running {
    /// The task as it was started.
    pub spec: Spec,
    /// How long it has run.
    pub age: Millis,
    /// The endpoint's address when the run is an endpoint, by IP number and port.
    pub endpoint: Option<String>,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// What it used, as measured a while ago, if there is a measurement.
    pub usage: Option<Amount>,
}

/// `Finished` is a run that ended and is not yet acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Finished {
    /// The run.
    pub run: id::Run,
    /// The configuration's entry that accepted the job.
    pub accepted: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it ran.
    pub age: Millis,
    /// The most it used.
    pub usage: Option<Amount>,
}

/// `Report` is a worker's state with each answer.
///
/// `running` and `finished` are whole in answers to `Claim` and `List`; in others they have only the
/// runs that changed or ended since the last stamp that the lead has shown to have received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The highest epoch that claimed the worker.
    #[serde(default, skip_serializing_if = "Epoch::is_unset")]
    pub epoch: Epoch,
    /// The worker's clock at the answer.
    pub stamp: Millis,
    /// The lease's end by the worker's clock.
    pub lease_end: Millis,
    /// Whether `running` and `finished` are the whole sets.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub whole: bool,
    /// What runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<Running>,
    /// What ended and waits for acknowledgement.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<Finished>,
}

/// `Answer` is a worker's answer: the report, and whether the call was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// Why the call was refused, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<Refusal>,
    /// The worker's state.
    pub report: Report,
}

impl Answer {
    /// Leaves out the epoch of an answer to a call that was carried out, since it is the call's.
    #[must_use]
    pub fn short(mut self, call: Option<Epoch>) -> Self {
        if self.refused.is_none() && call == Some(self.report.epoch) {
            self.report.epoch = Epoch::default();
        }
        self
    }

    /// Puts the epoch of the call back into an answer that [`Answer::short`] has shortened.
    #[must_use]
    pub fn full(mut self, call: Option<Epoch>) -> Self {
        if self.refused.is_none() && self.report.epoch.is_unset() {
            self.report.epoch = call.unwrap_or_default();
        }
        self
    }
}

/// `Refusal` is why a worker did not carry out a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// another lead's epoch has claimed the worker
    Fenced,
    /// the lease has lapsed or the stamp is too old
    Lapsed,
    /// the worker's size would be passed
    Full,
    /// the task runs here already, under this or another attempt
    Runs,
    /// the run was started here before
    Again,
    /// no such run is known here
    UnknownRun,
}

/// `Fault` is why a call got no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// the worker was not reached; the call had no effect
    Away,
    /// the answer was lost; the call may or may not have been carried out
    Unknown,
    /// the call is malformed; it had no effect
    Invalid,
}

impl std::error::Error for Fault {}

/// `Port` is the way to the workers.
pub trait Port: Clone + 'static {
    /// Makes one call to the worker at `address`.
    ///
    /// # Errors
    /// A [`Fault`] tells whether the call may have been carried out.
    fn call(&self, address: &str, call: Call) -> impl Future<Output = Result<Answer, Fault>>;
}
