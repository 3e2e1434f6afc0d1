//! Offers: what one shard could do for a job that is being planned.

use marigoldpick_core::plan::Displaced;
use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `Offer` is one shard's answer about one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The job.
    pub job: id::Job,
    /// The shard's failure domain, if it has a worker.
    pub domain: Option<id::Domain>,
    /// Tasks that fit into what is free now, besides the jobs before it in the same survey.
    pub now: u32,
    /// Tasks that would fit once what it may displace had given way, `now` among them.
    pub displacing: u32,
    /// Tasks that would fit if nothing else ran.
    pub ever: u32,
    /// The wait that is expected for as many tasks as fit ever or are asked for.
    pub wait: Millis,
    /// What would give way for the tasks between `now` and `displacing`.
    pub displaced: Vec<Displaced>,
    /// Why no task can ever run here, if so.
    pub never: Option<String>,
}
