//! Reads the platform's list of VMs over HTTP.

use http_types::Method;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm::{List, Source};

use crate::exchange::{Client, count_call};
use crate::{Caller, Settings};

/// `Vms` is a client of the platform's list of VMs.
#[derive(Clone, Debug)]
pub struct Vms {
    base: String,
    client: Client,
}

impl Vms {
    /// Creates a client of the list at `base`, a URL with an IP number.
    #[must_use]
    pub fn new(base: &str, caller: Caller, settings: Settings) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client: Client::new("vms", caller, settings),
        }
    }

    async fn exchange(&self, domain: &id::Domain) -> Result<List, Code> {
        let url = format!("{}/v1/vms?domain={domain}", self.base);
        let answer = self
            .client
            .exchange(Method::Get, &url, Vec::new(), Millis::ZERO)
            .await
            .map_err(|_failure| Code::StoreAway)?;
        serde_json::from_slice(&answer).map_err(|_source| Code::StoreAway)
    }
}

impl Source for Vms {
    async fn list(&self, domain: &id::Domain) -> Result<List, Code> {
        let answer = self.exchange(domain).await;
        let result = if answer.is_ok() { "answered" } else { "away" };
        count_call("vms", "list", result);
        answer
    }
}
