//! Waits until a site that has just started can be worked with.

use std::time::{Duration, Instant};

use async_std::task;
use marigoldpick_core::id;

use super::cluster::Cluster;
use super::site::Site;
use super::{operator, watch};

/// The time between two looks.
const EVERY: Duration = Duration::from_millis(100);
/// The longest wait for leads, and for endpoints, before things go on without them.
const READY: Duration = Duration::from_secs(20);

/// Waits until each failure domain has a shard with a lead and workers, or there was time enough: a
/// fault may hold a site up for longer, and operators and callers go on all the same.
pub(super) async fn leads(cluster: &Cluster, site: &Site) {
    let until = Instant::now() + READY;
    while Instant::now() < until && !led(cluster, site).await {
        task::sleep(EVERY).await;
    }
}

/// Waits until each running entry has an endpoint of each service, or there was time enough.
pub(super) async fn endpoints(cluster: &Cluster, services: &[id::Service]) {
    let until = Instant::now() + READY;
    while Instant::now() < until && !reachable(cluster, services).await {
        task::sleep(EVERY).await;
    }
}

/// Tells whether each failure domain has a shard with a lead.
async fn led(cluster: &Cluster, site: &Site) -> bool {
    let Ok(status) = operator::client(cluster).status().await else {
        return false;
    };
    site.standin.domain.iter().all(|domain| {
        let start = format!("{}/", domain.name);
        let mut shards = status.shards.iter();
        shards.any(|s| s.lead.is_some() && s.workers > 0 && s.shard.as_str().starts_with(&start))
    })
}

/// Tells whether each running entry has an endpoint of each service.
async fn reachable(cluster: &Cluster, services: &[id::Service]) -> bool {
    for door in cluster.doors() {
        let Some(status) = watch::status(&door).await else {
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
