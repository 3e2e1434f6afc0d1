//! Calls the platform's store over HTTP.

use http_types::Method;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Fault, MAX_VALUE_BYTES, Store as Port};

use crate::exchange::{Client, Failure, count_call};
use crate::{Caller, Settings};

/// `Store` is a client of the platform's key-value store.
#[derive(Clone, Debug)]
pub struct Store {
    url: String,
    calls: Client,
    /// The client for watches, which wait long; they share no connections with other calls.
    watches: Client,
}

impl Store {
    /// Creates a client of the store at `base`, a URL with an IP number.
    #[must_use]
    pub fn new(base: &str, caller: Caller, settings: Settings) -> Self {
        Self {
            url: format!("{}/v1/store", base.trim_end_matches('/')),
            calls: Client::new("store", caller.clone(), settings),
            watches: Client::new("store", caller, settings),
        }
    }

    async fn exchange(&self, call: &Call) -> Result<Answer, Fault> {
        if matches!(call, Call::Put { value, .. } if value.len() > MAX_VALUE_BYTES) {
            return Err(Fault::Invalid);
        }
        let body = serde_json::to_vec(call).map_err(|_source| Fault::Invalid)?;
        let (client, extra) = match call {
            Call::Watch { wait, .. } | Call::Follow { wait, .. } => (&self.watches, *wait),
            _ => (&self.calls, Millis::ZERO),
        };
        let answer = client
            .exchange(Method::Post, &self.url, body, extra)
            .await
            .map_err(Fault::from)?;
        serde_json::from_slice(&answer).map_err(|_source| Fault::Unknown)
    }
}

impl Port for Store {
    async fn call(&self, call: Call) -> Result<Answer, Fault> {
        let answer = self.exchange(&call).await;
        count_call("store", call.kind(), result_label(answer.as_ref().err()));
        if let Err(fault) = &answer {
            log::debug!(target: "store", "{} failed: {fault}", call.kind());
        }
        answer
    }
}

impl From<Failure> for Fault {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Away => Self::Away,
            Failure::Unknown => Self::Unknown,
            Failure::Overloaded => Self::Overloaded,
            Failure::Invalid => Self::Invalid,
        }
    }
}

const fn result_label(fault: Option<&Fault>) -> &'static str {
    match fault {
        None => "answered",
        Some(Fault::Away) => "away",
        Some(Fault::Unknown) => "unknown",
        Some(Fault::Overloaded) => "overloaded",
        Some(Fault::Invalid) => "invalid",
    }
}
