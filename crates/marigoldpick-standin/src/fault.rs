//! Faults of the platform that can be caused and healed.

use marigoldpick_core::document::Error;
use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

/// How much a slow endpoint is slowed down when nothing is said.
const SLOW_FACTOR: u32 = 20;
/// How much a slow store takes for a call when nothing is said.
const SLOW_STORE: Millis = Millis(1_500);
/// The share of writes whose answer is lost when nothing is said.
const LOST_PERCENT: u32 = 50;

/// `Fault` is one fault of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// The store cuts its connections and accepts none.
    StoreDown,
    /// Each call to the store takes effect late, and its answer comes late.
    StoreSlow {
        /// How late.
        delay_ms: Millis,
    },
    /// Writes to the store take effect, but their answers are lost.
    StoreLostAnswer {
        /// The share of the writes that this happens to.
        percent: u32,
    },
    /// The VM is gone with all that runs on it; the VM list says so after its lag.
    KillWorker {
        /// The worker.
        worker: id::Worker,
    },
    /// All that is started on the worker fails at once.
    FailWorker {
        /// The worker.
        worker: id::Worker,
    },
    /// The failure domain's callers reach only their own workers, and no one else reaches those.
    CutDomain {
        /// The failure domain.
        domain: id::Domain,
    },
    /// The endpoint takes longer for each request.
    SlowEndpoint {
        /// The task whose endpoint it is.
        task: id::Task,
        /// How many times longer.
        factor: u32,
    },
    /// The platform stops the endpoint's task, leaving it its grace.
    LeaveEndpoint {
        /// The task whose endpoint it is.
        task: id::Task,
    },
}

/// `Switch` begins or ends a fault, as the body of `POST /v1/fault`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Switch {
    /// The fault.
    pub fault: Fault,
    /// Whether it begins.
    pub on: bool,
}

impl Fault {
    /// The kinds, as `kind` names them.
    pub const KINDS: &'static [&'static str] = &[
        "store-down",
        "store-slow",
        "store-lost-answer",
        "kill-worker",
        "fail-worker",
        "cut-domain",
        "slow-endpoint",
        "leave-endpoint",
    ];

    /// Makes a fault from its kind and its target, as a faults file names them.
    ///
    /// Faults of the store have an empty target.
    ///
    /// # Errors
    /// Names the field `kind` or `target`.
    pub fn named(kind: &str, target: &str) -> Result<Self, Error> {
        let of_store = kind.starts_with("store-");
        if of_store && !target.is_empty() {
            return Err(bad_target("the store has no targets"));
        }
        match kind {
            "store-down" => Ok(Self::StoreDown),
            "store-slow" => Ok(Self::StoreSlow {
                delay_ms: SLOW_STORE,
            }),
            "store-lost-answer" => Ok(Self::StoreLostAnswer {
                percent: LOST_PERCENT,
            }),
            "kill-worker" => Ok(Self::KillWorker {
                worker: read(target)?,
            }),
            "fail-worker" => Ok(Self::FailWorker {
                worker: read(target)?,
            }),
            "cut-domain" => Ok(Self::CutDomain {
                domain: read(target)?,
            }),
            "slow-endpoint" => Ok(Self::SlowEndpoint {
                task: read(target)?,
                factor: SLOW_FACTOR,
            }),
            "leave-endpoint" => Ok(Self::LeaveEndpoint {
                task: read(target)?,
            }),
            _ => {
                let message = format!("no fault is called '{kind}'");
                Err(Error::field(Code::UnknownName, "kind", message))
            }
        }
    }
}

fn read<T: std::str::FromStr<Err: std::fmt::Display>>(target: &str) -> Result<T, Error> {
    target
        .parse()
        .map_err(|error: T::Err| bad_target(&error.to_string()))
}

fn bad_target(message: &str) -> Error {
    Error::field(Code::BadValue, "target", message)
}
