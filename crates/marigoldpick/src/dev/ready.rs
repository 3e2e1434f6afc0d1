//! Waits until a site that has just started is ready for operators and callers.

use std::time::{Duration, Instant};

use async_std::task;
use marigoldpick_core::id;

use super::cluster::Cluster;
use super::site::Site;
use super::{operator, watch};

/// The interval between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of each wait; the run continues after it.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until each failure domain has a shard with a lead and workers, or until the timeout.
///
/// A fault may delay a site for longer; operators and callers then start regardless.
pub(super) async fn wait_for_leads(cluster: &Cluster, site: &Site) {
    let until = Instant::now() + READY_TIMEOUT;
    while Instant::now() < until && !has_leads(cluster, site).await {
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until each running entry has an endpoint of each service, or until the timeout.
pub(super) async fn wait_for_endpoints(cluster: &Cluster, services: &[id::Service]) {
    let until = Instant::now() + READY_TIMEOUT;
    while Instant::now() < until && !has_endpoints(cluster, services).await {
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether each failure domain has a shard with a lead and workers.
async fn has_leads(cluster: &Cluster, site: &Site) -> bool {
    let Ok(status) = operator::client(cluster).status().await else {
        return false;
    };
    site.standin.domain.iter().all(|domain| {
        let start = format!("{}/", domain.name);
        let mut shards = status.shards.iter();
        shards.any(|s| s.lead.is_some() && s.workers > 0 && s.shard.as_str().starts_with(&start))
    })
}

/// Returns whether each running entry has an endpoint of each service.
async fn has_endpoints(cluster: &Cluster, services: &[id::Service]) -> bool {
    for entry in cluster.running_entries() {
        let Some(status) = watch::read_status(&entry).await else {
            return false;
        };
        let has = |service: &id::Service| {
            let mut known = status.services.iter();
            known.any(|s| s.service == *service && s.endpoints > 0)
        };
        if !services.iter().all(has) {
            return false;
        }
    }
    true
}
