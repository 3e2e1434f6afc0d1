//! Checks that entries apply accepted configurations and never return to an older one.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use marigoldpick_core::id;
use marigoldpick_core::operator::Status;

use super::cluster::{Cluster, RunningEntry};
use super::record::Record;
use crate::client::Client;

/// The interval between two checks of all entries.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// `Observed` is the last sequence number that a process of an entry reported.
#[derive(Debug)]
struct Observed {
    entry: id::Entry,
    generation: u64,
    sequence: u64,
}

/// Starts a task that checks all entries periodically until it is cancelled.
pub(super) fn start(cluster: &Arc<Cluster>, record: &Arc<Record>) -> task::JoinHandle<()> {
    let (cluster, record) = (Arc::clone(cluster), Arc::clone(record));
    task::spawn(async move {
        let mut observed: Vec<Observed> = Vec::new();
        loop {
            for running in cluster.running_entries() {
                if let Some(status) = read_status(&running).await {
                    check_sequence(&record, &mut observed, &running, &status);
                }
            }
            task::sleep(POLL_INTERVAL).await;
        }
    })
}

/// Reads the status of one entry, or returns `None` when it does not respond.
pub(super) async fn read_status(running: &RunningEntry) -> Option<Status> {
    let client = Client::of(vec![running.operators.clone()]);
    client.status().await.ok()
}

/// Describes the running entries at which `sequence` is not in force yet.
pub(super) async fn entries_behind(cluster: &Cluster, sequence: u64) -> Vec<String> {
    let mut behind = Vec::new();
    for running in cluster.running_entries() {
        let reached = read_status(&running)
            .await
            .map_or(0, |status| status.sequence);
        if reached < sequence {
            behind.push(format!("{} is at {reached}", running.name));
        }
    }
    behind
}

fn check_sequence(
    record: &Record,
    observed: &mut Vec<Observed>,
    running: &RunningEntry,
    status: &Status,
) {
    let same =
        |last: &&mut Observed| last.entry == running.name && last.generation == running.generation;
    let Some(last) = observed.iter_mut().find(same) else {
        observed.push(Observed {
            entry: running.name.clone(),
            generation: running.generation,
            sequence: status.sequence,
        });
        return;
    };
    if status.sequence < last.sequence {
        record.lock().reverted_configs += 1;
        record.add_violation(format!(
            "{} went back from configuration {} to {}",
            running.name, last.sequence, status.sequence
        ));
    }
    last.sequence = status.sequence;
}
