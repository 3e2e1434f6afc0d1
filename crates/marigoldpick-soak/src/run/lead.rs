//! Injects faults around the entry that leads, which the key of the lead in the stand-in's store names.

use async_std::task;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_types::{Method, Request, Url};
use marigoldpick_core::prelude::*;
use marigoldpick_standin::Relay;
use serde::Deserialize;

use super::Site;
use crate::fault::{Fault, Kind};

/// The key that names the lead.
const LEAD_KEY: &str = "marigold/lead";

/// `Item` is the part that is read of the store's answer.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Item {
    value: String,
}

/// `Claim` is the part that is read of the key's value.
#[derive(Deserialize)]
struct Claim {
    /// The entry's name and a number.
    holder: String,
}

impl Site {
    /// Injects a fault whose effect depends on which entry leads at its start.
    pub(super) async fn inject_lead_fault(&self, fault: &Fault) {
        let lead = self.find_lead().await;
        match fault.kind {
            Kind::PauseLead => {
                self.pause(lead.unwrap_or(fault.target), fault.duration)
                    .await
            }
            Kind::SilenceLead => {
                let store = &self.entries[lead.unwrap_or(fault.target)].store;
                partition(&[store], fault).await;
            }
            kind => {
                // Without a lead no worker is cut off.
                let Some(lead) = lead else { return };
                let entries = self.entries.iter().enumerate();
                let cut: Vec<&Relay> = entries
                    .filter(|(number, _)| (*number == lead) == (kind == Kind::CutLeadOnly))
                    .map(|(_, entry)| &entry.workers[fault.target])
                    .collect();
                partition(&cut, fault).await;
            }
        }
    }

    /// Returns the entry that leads, if the store tells one.
    async fn find_lead(&self) -> Option<usize> {
        let lead = self.read_lead().await;
        let lead = lead.filter(|lead| *lead < self.entries.len());
        self.note(&format!("lead {lead:?}"));
        lead
    }

    async fn read_lead(&self) -> Option<usize> {
        let url = format!("http://{}/kv-key?Key={LEAD_KEY}", self.store);
        let request = Request::new(Method::Get, Url::parse(&url).expect("an address"));
        let reply = self.client.send(request, Millis::ZERO).await.ok()?;
        let item: Item = serde_json::from_slice(&reply.body).ok()?;
        let value = STANDARD.decode(item.value).ok()?;
        let claim: Claim = serde_json::from_slice(&value).ok()?;
        let (entry, _) = claim.holder.split_once('/')?;
        entry.strip_prefix('e')?.parse().ok()
    }
}

/// Drops everything on the links as long as the fault lasts.
async fn partition(links: &[&Relay], fault: &Fault) {
    links.iter().for_each(|link| link.partition(true));
    task::sleep(fault.duration.duration()).await;
    links.iter().for_each(|link| link.partition(false));
}
