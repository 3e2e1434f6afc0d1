//! Injects the faults of a faults file into a running site.

use std::sync::Arc;

use async_std::task;
use marigoldpick_core::clock::Millis;
use marigoldpick_core::id;
use marigoldpick_core::operator::Problem;
use marigoldpick_standin::Fault as PlatformFault;

use super::cluster::Cluster;
use super::operator;
use super::record::Record;
use super::site::Site;
use crate::faults::{self, Fault, Kind};

/// The delay before another attempt to start an entry or to find a target.
const RETRY_DELAY: Millis = Millis(200);
/// The number of attempts to find a target that does not run yet.
const MAX_ATTEMPTS: u32 = 100;

/// Starts a task for each fault, which ends when the fault is healed.
pub(super) fn start(
    cluster: &Arc<Cluster>,
    record: &Arc<Record>,
    site: &Site,
    faults: &[Fault],
) -> Vec<task::JoinHandle<()>> {
    let jobs: Vec<id::Job> = site
        .intents
        .iter()
        .flat_map(|document| &document.intent.job)
        .map(|job| job.name.clone())
        .collect();
    faults
        .iter()
        .map(|fault| {
            let (cluster, record) = (Arc::clone(cluster), Arc::clone(record));
            let (fault, jobs) = (fault.clone(), jobs.clone());
            task::spawn(async move { inject(&cluster, &record, &fault, &jobs).await })
        })
        .collect()
}

async fn inject(cluster: &Cluster, record: &Record, fault: &Fault, jobs: &[id::Job]) {
    sleep(fault.at).await;
    log::info!(target: "dev", "Fault; kind={} target={}.", fault.kind.name(), fault.target);
    match fault.kind {
        Kind::KillEntry => restart_entry(cluster, fault).await,
        Kind::PauseEntry => {
            if let Some(entry) = entry_name(fault).and_then(|name| cluster.entry(&name)) {
                entry.pause(fault.duration);
            }
        }
        Kind::CutDomain => cut_domain(cluster, fault).await,
        Kind::CancelWave => {
            let wave: Vec<id::Job> = jobs
                .iter()
                .filter(|job| faults::is_in_wave(&fault.target, job.as_str()))
                .cloned()
                .collect();
            operator::cancel_jobs(cluster, record, &wave).await;
        }
        _ => inject_platform_fault(cluster, fault).await,
    }
}

async fn restart_entry(cluster: &Cluster, fault: &Fault) {
    let Some(name) = entry_name(fault) else {
        return;
    };
    cluster.kill(&name);
    if fault.duration == Millis::ZERO {
        return;
    }
    sleep(fault.duration).await;
    while let Err(problem) = cluster.start_entry(&name).await {
        log::warn!(target: "dev", "Could not restart; problem={}.", problem.message);
        sleep(RETRY_DELAY).await;
    }
}

async fn cut_domain(cluster: &Cluster, fault: &Fault) {
    let Ok(domain) = id::Domain::new(&fault.target) else {
        return;
    };
    let platform_fault = PlatformFault::CutDomain {
        domain: domain.clone(),
    };
    cluster.set_cut(&domain, true);
    if cluster.platform.fault(&platform_fault).is_err() {
        report_not_injected(fault, "the platform has no such failure domain");
    }
    sleep(fault.duration).await;
    heal(cluster, &platform_fault);
    cluster.set_cut(&domain, false);
}

/// Injects a fault of the platform and heals it at its end.
async fn inject_platform_fault(cluster: &Cluster, fault: &Fault) {
    let platform_fault = match to_platform_fault(fault) {
        Ok(platform_fault) => platform_fault,
        Err(problem) => return report_not_injected(fault, &problem.message),
    };
    let mut attempts_left = MAX_ATTEMPTS;
    while cluster.platform.fault(&platform_fault).is_err() {
        attempts_left -= 1;
        if attempts_left == 0 {
            return report_not_injected(fault, "its target does not run");
        }
        sleep(RETRY_DELAY).await;
    }
    if fault.duration > Millis::ZERO && fault.kind != Kind::LeaveEndpoint {
        sleep(fault.duration).await;
        heal(cluster, &platform_fault);
    }
}

/// Ends a fault. A target that no longer exists needs no healing.
fn heal(cluster: &Cluster, fault: &PlatformFault) {
    if let Err(code) = cluster.platform.heal(fault) {
        log::info!(target: "dev", "Nothing to heal; fault={fault:?} code={code}.");
    }
}

fn report_not_injected(fault: &Fault, why: &str) {
    let kind = fault.kind.name();
    eprintln!("fault {kind} of '{}' was not injected: {why}", fault.target);
}

fn to_platform_fault(fault: &Fault) -> Result<PlatformFault, Problem> {
    let target = match fault.kind {
        Kind::StoreDown | Kind::StoreSlow | Kind::StoreLostAnswer => String::new(),
        Kind::SlowEndpoint | Kind::LeaveEndpoint => {
            let task = faults::parse_endpoint(&fault.target);
            task.map_or_else(|| fault.target.clone(), |task| task.to_string())
        }
        _ => fault.target.clone(),
    };
    PlatformFault::named(fault.kind.name(), &target)
        .map_err(|error| Problem::new(error.code, error.to_string()))
}

fn entry_name(fault: &Fault) -> Option<id::Entry> {
    id::Entry::new(&fault.target).ok()
}

async fn sleep(span: Millis) {
    task::sleep(span.duration()).await;
}
