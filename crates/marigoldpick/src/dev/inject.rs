//! Plays the faults of a file against a running site.

use std::sync::Arc;

use async_std::task;
use marigoldpick_core::clock::Millis;
use marigoldpick_core::id;
use marigoldpick_core::operator::Problem;
use marigoldpick_standin::Fault as PlatformFault;

use super::book::Book;
use super::cluster::Cluster;
use super::operator;
use super::site::Site;
use crate::faults::{self, Fault, Kind};

/// The wait before an entry that could not start is started again.
const AGAIN: Millis = Millis(200);
/// How often a fault looks for a target that does not run yet.
const TRIES: u32 = 100;

/// Starts a task for each fault; the tasks end when all are healed.
pub(super) fn play(
    cluster: &Arc<Cluster>,
    book: &Arc<Book>,
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
            let (cluster, book) = (Arc::clone(cluster), Arc::clone(book));
            let (fault, jobs) = (fault.clone(), jobs.clone());
            task::spawn(async move { play_one(&cluster, &book, &fault, &jobs).await })
        })
        .collect()
}

async fn play_one(cluster: &Cluster, book: &Book, fault: &Fault, jobs: &[id::Job]) {
    sleep(fault.at).await;
    log::info!(target: "dev", "Fault; kind={} target={}.", fault.kind.name(), fault.target);
    match fault.kind {
        Kind::KillEntry => replace(cluster, fault).await,
        Kind::PauseEntry => {
            if let Some(entry) = name(fault).and_then(|name| cluster.entry(&name)) {
                entry.pause(fault.span);
            }
        }
        Kind::CutDomain => cut(cluster, fault).await,
        Kind::CancelWave => {
            let wave: Vec<id::Job> = jobs
                .iter()
                .filter(|job| faults::in_wave(&fault.target, job.as_str()))
                .cloned()
                .collect();
            operator::cancel(cluster, book, &wave).await;
        }
        _ => switch(cluster, fault).await,
    }
}

async fn replace(cluster: &Cluster, fault: &Fault) {
    let Some(name) = name(fault) else {
        return;
    };
    cluster.kill(&name);
    if fault.span == Millis::ZERO {
        return;
    }
    sleep(fault.span).await;
    while let Err(problem) = cluster.launch(&name).await {
        log::warn!(target: "dev", "Starting again; problem={}.", problem.message);
        sleep(AGAIN).await;
    }
}

async fn cut(cluster: &Cluster, fault: &Fault) {
    let Ok(domain) = id::Domain::new(&fault.target) else {
        return;
    };
    let platform = PlatformFault::CutDomain {
        domain: domain.clone(),
    };
    cluster.cut(&domain, true);
    if cluster.platform.fault(&platform).is_err() {
        not_played(fault, "the platform has no such failure domain");
    }
    sleep(fault.span).await;
    heal(cluster, &platform);
    cluster.cut(&domain, false);
}

/// Switches a fault of the platform on, and off again.
async fn switch(cluster: &Cluster, fault: &Fault) {
    let switched = match platform_fault(fault) {
        Ok(switched) => switched,
        Err(problem) => return not_played(fault, &problem.message),
    };
    let mut tries = TRIES;
    while cluster.platform.fault(&switched).is_err() {
        tries -= 1;
        if tries == 0 {
            return not_played(fault, "its target does not run");
        }
        sleep(AGAIN).await;
    }
    if fault.span > Millis::ZERO && fault.kind != Kind::LeaveEndpoint {
        sleep(fault.span).await;
        heal(cluster, &switched);
    }
}

/// Ends a fault; a target that has gone meanwhile needs no healing.
fn heal(cluster: &Cluster, fault: &PlatformFault) {
    if let Err(code) = cluster.platform.heal(fault) {
        log::info!(target: "dev", "Nothing to heal; fault={fault:?} code={code}.");
    }
}

fn not_played(fault: &Fault, why: &str) {
    let kind = fault.kind.name();
    eprintln!("fault {kind} of '{}' was not played: {why}", fault.target);
}

fn platform_fault(fault: &Fault) -> Result<PlatformFault, Problem> {
    let target = match fault.kind {
        Kind::StoreDown | Kind::StoreSlow | Kind::StoreLostAnswer => String::new(),
        Kind::SlowEndpoint | Kind::LeaveEndpoint => {
            let task = faults::endpoint(&fault.target);
            task.map_or_else(|| fault.target.clone(), |task| task.to_string())
        }
        _ => fault.target.clone(),
    };
    PlatformFault::named(fault.kind.name(), &target)
        .map_err(|error| Problem::new(error.code, error.to_string()))
}

fn name(fault: &Fault) -> Option<id::Entry> {
    id::Entry::new(&fault.target).ok()
}

async fn sleep(span: Millis) {
    task::sleep(span.duration()).await;
}
