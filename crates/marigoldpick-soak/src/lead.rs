//! Finds the entry that leads by the key that names it in the stand-in's store.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_types::{Method, Request, Url};
use marigoldpick_core::prelude::*;
use marigoldpick_platform::exchange::Client;
use serde::Deserialize;

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

/// Returns the number of the entry that leads; `None` if none does, or the store does not answer.
pub(crate) async fn find(client: &Client, store: SocketAddr) -> Option<usize> {
    let url = Url::parse(&format!("http://{store}/kv-key?Key={LEAD_KEY}")).expect("an address");
    let request = Request::new(Method::Get, url);
    let reply = client.send(request, Millis::ZERO).await.ok()?;
    let item: Item = serde_json::from_slice(&reply.body).ok()?;
    let value = STANDARD.decode(item.value).ok()?;
    let claim: Claim = serde_json::from_slice(&value).ok()?;
    let (entry, _) = claim.holder.split_once('/')?;
    entry.strip_prefix('e')?.parse().ok()
}
