//! Faults of the platform that can be injected and healed.

use marigoldpick_core::document::Error;
use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The factor of a slow endpoint when the faults file names none.
const DEFAULT_SLOW_FACTOR: u32 = 20;
/// The added delay of each call to a slow store when the faults file names none.
const DEFAULT_STORE_DELAY: Millis = Millis(1_500);
/// The percentage of lost answers to writes when the faults file names none.
const DEFAULT_LOST_PERCENT: u32 = 50;

/// `Fault` is one fault of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// The store closes its connections and accepts none.
    StoreDown,
    /// Each call to the store takes effect late, and its answer comes late.
    StoreSlow {
        /// The added delay.
        delay_ms: Millis,
    },
    /// Writes to the store take effect, but their answers are lost.
    StoreLostAnswer {
        /// The percentage of writes whose answers are lost.
        percent: u32,
    },
    /// The VM disappears with all its runs; the VM list shows that after its lag.
    KillWorker {
        /// The worker.
        worker: id::Worker,
    },
    /// Every run that is started on the worker fails at once.
    FailWorker {
        /// The worker.
        worker: id::Worker,
    },
    /// A network partition isolates the failure domain: its callers reach only its own workers, and
    /// no other caller reaches those.
    CutDomain {
        /// The failure domain.
        domain: id::Domain,
    },
    /// The endpoint takes longer for each request.
    SlowEndpoint {
        /// The task whose endpoint it is.
        task: id::Task,
        /// By which factor it takes longer.
        factor: u32,
    },
    /// The platform stops the endpoint's task with the task's grace period.
    LeaveEndpoint {
        /// The task whose endpoint it is.
        task: id::Task,
    },
}

/// `Switch` injects or heals a fault; it is the body of `POST /v1/fault`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Switch {
    /// The fault.
    pub fault: Fault,
    /// Whether the fault is injected, rather than healed.
    pub on: bool,
}

impl Fault {
    /// The values of `kind`.
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

    /// Creates a fault from the kind and the target that a faults file names.
    ///
    /// Faults of the store have an empty target.
    ///
    /// # Errors
    /// Fails with the field `kind` or `target` when its value is invalid.
    pub fn named(kind: &str, target: &str) -> Result<Self, Error> {
        let is_store_fault = kind.starts_with("store-");
        if is_store_fault && !target.is_empty() {
            return Err(target_error("a store fault takes no target"));
        }
        match kind {
            "store-down" => Ok(Self::StoreDown),
            "store-slow" => Ok(Self::StoreSlow {
                delay_ms: DEFAULT_STORE_DELAY,
            }),
            "store-lost-answer" => Ok(Self::StoreLostAnswer {
                percent: DEFAULT_LOST_PERCENT,
            }),
            "kill-worker" => Ok(Self::KillWorker {
                worker: parse_target(target)?,
            }),
            "fail-worker" => Ok(Self::FailWorker {
                worker: parse_target(target)?,
            }),
            "cut-domain" => Ok(Self::CutDomain {
                domain: parse_target(target)?,
            }),
            "slow-endpoint" => Ok(Self::SlowEndpoint {
                task: parse_target(target)?,
                factor: DEFAULT_SLOW_FACTOR,
            }),
            "leave-endpoint" => Ok(Self::LeaveEndpoint {
                task: parse_target(target)?,
            }),
            _ => {
                let message = format!("unknown fault kind '{kind}'");
                Err(Error::field(Code::UnknownName, "kind", message))
            }
        }
    }
}

fn parse_target<T: std::str::FromStr<Err: std::fmt::Display>>(target: &str) -> Result<T, Error> {
    target
        .parse()
        .map_err(|error: T::Err| target_error(&error.to_string()))
}

fn target_error(message: &str) -> Error {
    Error::field(Code::BadValue, "target", message)
}
