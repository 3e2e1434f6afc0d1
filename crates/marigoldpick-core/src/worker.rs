//! The interface of a worker: claims by epoch, a lease by the worker's own clock, and runs of
//! tasks.
//!
//! A worker obeys the highest epoch that has claimed it and refuses all lower ones; the epoch is
//! its fencing token. All its tasks depend on one lease: when the worker's clock passes the lease's
//! end, the worker stops them. Only renewals extend the lease, to `stamp + span`, where `stamp` is
//! a time of the worker's clock from one of its earlier answers; nothing shortens it. A claim does
//! not change the lease. Otherwise a lead that has not yet proved its ownership of the shard could
//! keep a task running that another lead considers ended.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id;
use crate::resource::Amount;

/// `Epoch` is the term of a shard's lead, which workers use as the fencing token.
///
/// Epochs are ordered by the tenure in the shard's log, then by the count of takeovers without the
/// store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct Epoch {
    /// The number of the tenure in the shard's log.
    pub tenure: u64,
    /// The number of takeovers without the store since the tenure began.
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
    /// Returns whether this is the epoch of a worker that no lead has claimed.
    #[must_use]
    pub fn is_unset(&self) -> bool {
        *self == Self::default()
    }
}

/// `Spec` is the description of a run that a worker is to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The run.
    pub run: id::Run,
    /// The number of the configuration entry that accepted the job. A job's name may be used again
    /// after its end, so the name alone does not identify the job of a run.
    pub accepted: u64,
    /// The team that the run's usage is charged to.
    pub team: id::Team,
    /// The resources that are reserved for it.
    pub needs: Amount,
    /// The service that it is an endpoint of, if any.
    pub service: Option<id::Service>,
    /// What the task of the stand-in does; a real platform would have an image and arguments here.
    pub command: String,
    /// Whether the task may be run again.
    pub idempotent: bool,
    /// How long a stop waits for the run to end by itself.
    pub grace: Millis,
    /// The checkpoint to resume from, if any.
    pub checkpoint: Option<String>,
}

/// `Call` is a request to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Call {
    /// Claims the worker for an epoch. The worker refuses an epoch lower than its own; a repeated
    /// claim at the same epoch has no effect. The lease does not change.
    Claim {
        /// The epoch.
        epoch: Epoch,
    },
    /// Renews the lease, even a lapsed one, and acknowledges finished runs, which the worker then
    /// forgets. The worker refuses it as [`Refusal::Lapsed`] if `stamp + span` has passed.
    Renew {
        /// The epoch.
        epoch: Epoch,
        /// The last stamp received from the worker.
        stamp: Millis,
        /// The lease's duration, counted from `stamp`.
        span: Millis,
        /// Finished runs whose end the lead has recorded.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        acknowledged: Vec<id::Run>,
    },
    /// Starts a run. The worker refuses it if the lease has lapsed, if the VM's size would be
    /// exceeded or if the task runs there already.
    Start {
        /// The epoch.
        epoch: Epoch,
        /// The last stamp received from the worker; the call is refused if it is older than `span`.
        stamp: Millis,
        /// How long the call is valid after the stamp.
        span: Millis,
        /// The description of the run.
        spec: Spec,
    },
    /// Stops a run: it gets no new requests from now on and ends after its grace period.
    Stop {
        /// The epoch.
        epoch: Epoch,
        /// The run.
        run: id::Run,
        /// The grace period.
        grace: Millis,
    },
    /// Writes a checkpoint of a run, then stops it.
    Checkpoint {
        /// The epoch.
        epoch: Epoch,
        /// The run.
        run: id::Run,
    },
    /// Limits the processor time of a run.
    Throttle {
        /// The epoch.
        epoch: Epoch,
        /// The run.
        run: id::Run,
        /// The limit in thousandths of a core.
        millicores: u64,
    },
    /// Asks for the report; needs no epoch.
    List,
}

impl Call {
    /// Returns the epoch under which the call is made.
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

    /// Returns the name of the call's kind, for metrics.
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
    /// It completed.
    Done,
    /// It ended with an error.
    Failed,
    /// It was stopped as asked.
    Stopped,
    /// It was stopped after it wrote this checkpoint.
    Checkpointed(String),
    /// It was stopped because the worker's lease lapsed.
    Lapsed,
}

/// `Running` is the state of an active run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Running {
    /// The description with which it was started.
    pub spec: Spec,
    /// How long it has run.
    pub age: Millis,
    /// The endpoint's IP address and port, if the run is an endpoint.
    pub endpoint: Option<String>,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// The resources it used at the last measurement, if there is one.
    pub usage: Option<Amount>,
}

/// `Finished` is a run that ended and that the lead has not acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Finished {
    /// The run.
    pub run: id::Run,
    /// The number of the configuration entry that accepted the job.
    pub accepted: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it ran.
    pub age: Millis,
    /// The maximum of the resources it used, if measured.
    pub usage: Option<Amount>,
}

/// `Report` is a worker's state, which each answer carries.
///
/// Answers to `Claim` and `List` list all runs in `running` and `finished`. Other answers list only
/// the runs that changed or ended after the newest stamp that the lead has sent back, as this stamp
/// proves which answers the lead received.
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
    /// The active runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<Running>,
    /// The ended runs that wait for acknowledgement.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<Finished>,
}

/// `Answer` is the response to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// The reason why the call was refused; `None` if it was carried out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<Refusal>,
    /// The worker's state.
    pub report: Report,
}

impl Answer {
    /// Omits the worker's epoch if the call was carried out at that epoch, to shorten the message.
    #[must_use]
    pub fn omit_epoch(mut self, call: Option<Epoch>) -> Self {
        if self.refused.is_none() && call == Some(self.report.epoch) {
            self.report.epoch = Epoch::default();
        }
        self
    }

    /// Restores the epoch that [`Answer::omit_epoch`] has omitted, which is that of the call.
    #[must_use]
    pub fn restore_epoch(mut self, call: Option<Epoch>) -> Self {
        if self.refused.is_none() && self.report.epoch.is_unset() {
            self.report.epoch = call.unwrap_or_default();
        }
        self
    }
}

/// `Refusal` is the reason why a worker refused a call.
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

/// `Fault` is the reason why a call got no answer.
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

/// `Port` sends calls to the workers.
pub trait Port: Clone + 'static {
    /// Sends one call to the worker at `address`.
    ///
    /// # Errors
    /// The [`Fault`] says whether the call may have been carried out.
    fn call(&self, address: &str, call: Call) -> impl Future<Output = Result<Answer, Fault>>;
}
