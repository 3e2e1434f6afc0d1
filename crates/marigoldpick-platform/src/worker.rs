//! Calls the platform's workers over HTTP.

use http_types::Method;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Answer, Call, Fault, Port};

use crate::exchange::{Client, Failure, count_call};
use crate::{Caller, Settings};

/// `Workers` is a client of workers, whose addresses come from the list of VMs.
#[derive(Clone, Debug)]
pub struct Workers {
    client: Client,
}

impl Workers {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(caller: Caller, settings: Settings) -> Self {
        Self {
            client: Client::new("worker", caller, settings),
        }
    }

    async fn exchange(&self, address: &str, call: &Call) -> Result<Answer, Fault> {
        let url = format!("{}/v1/worker", address.trim_end_matches('/'));
        let body = serde_json::to_vec(call).map_err(|_source| Fault::Invalid)?;
        let answer = self
            .client
            .exchange(Method::Post, &url, body, Millis::ZERO)
            .await
            .map_err(call_fault)?;
        let answer: Answer = serde_json::from_slice(&answer).map_err(|_source| Fault::Unknown)?;
        Ok(answer.restore_epoch(call.epoch()))
    }
}

impl Port for Workers {
    async fn call(&self, address: &str, call: Call) -> Result<Answer, Fault> {
        let answer = self.exchange(address, &call).await;
        count_call("worker", call.kind(), result_label(answer.as_ref().err()));
        if let Err(fault) = &answer {
            log::debug!(target: "worker", "{} at {address} failed: {fault}", call.kind());
        }
        answer
    }
}

/// Maps a failed exchange to a fault.
///
/// Workers have no rate limit; one that refuses a call because of load has executed nothing.
const fn call_fault(failure: Failure) -> Fault {
    match failure {
        Failure::Away | Failure::Overloaded => Fault::Away,
        Failure::Unknown => Fault::Unknown,
        Failure::Invalid => Fault::Invalid,
    }
}

const fn result_label(fault: Option<&Fault>) -> &'static str {
    match fault {
        None => "answered",
        Some(Fault::Away) => "away",
        Some(Fault::Unknown) => "unknown",
        Some(Fault::Invalid) => "invalid",
    }
}
