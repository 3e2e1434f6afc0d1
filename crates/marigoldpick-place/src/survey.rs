//! Provides the offer of one shard for a job in planning.

use marigoldpick_core::plan::Displaced;
use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `Offer` is the answer of one shard about one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The job.
    pub job: id::Job,
    /// The failure domain of the shard, if it has a worker.
    pub domain: Option<id::Domain>,
    /// Number of tasks that fit now, beside the earlier jobs of the same survey.
    pub now: u32,
    /// Number of tasks that would fit after permitted displacement, including `now`.
    pub displacing: u32,
    /// Number of tasks that would fit if nothing else ran.
    pub ever: u32,
    /// The expected wait until the last task of the job starts.
    pub wait: Millis,
    /// The tasks that would be displaced to raise `now` to `displacing`.
    pub displaced: Vec<Displaced>,
    /// The reason why no task can ever run in this shard, if there is one.
    pub never: Option<String>,
}
