//! Watches the configuration at all entries: it never goes back, and comes into force everywhere.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use marigoldpick_core::id;
use marigoldpick_core::operator::Status;

use super::book::Book;
use super::cluster::{Cluster, Door};
use crate::client::Client;

/// The time between two looks at all entries.
const EVERY: Duration = Duration::from_millis(500);

/// `Seen` is the last number seen at a process.
#[derive(Debug)]
struct Seen {
    entry: id::Entry,
    generation: u64,
    sequence: u64,
}

/// Looks at all entries again and again until the task is cancelled.
pub(super) fn start(cluster: &Arc<Cluster>, book: &Arc<Book>) -> task::JoinHandle<()> {
    let (cluster, book) = (Arc::clone(cluster), Arc::clone(book));
    task::spawn(async move {
        let mut seen: Vec<Seen> = Vec::new();
        loop {
            for door in cluster.doors() {
                if let Some(status) = status(&door).await {
                    look(&book, &mut seen, &door, &status);
                }
            }
            task::sleep(EVERY).await;
        }
    })
}

/// Reads the status of one entry, if it answers.
pub(super) async fn status(door: &Door) -> Option<Status> {
    let client = Client::of(vec![door.operators.clone()]);
    client.status().await.ok()
}

/// Names the running entries at which `sequence` is not in force.
pub(super) async fn behind(cluster: &Cluster, sequence: u64) -> Vec<String> {
    let mut behind = Vec::new();
    for door in cluster.doors() {
        let reached = status(&door).await.map_or(0, |status| status.sequence);
        if reached < sequence {
            behind.push(format!("{} is at {reached}", door.entry));
        }
    }
    behind
}

fn look(book: &Book, seen: &mut Vec<Seen>, door: &Door, status: &Status) {
    let same = |seen: &&mut Seen| seen.entry == door.entry && seen.generation == door.generation;
    let Some(last) = seen.iter_mut().find(same) else {
        seen.push(Seen {
            entry: door.entry.clone(),
            generation: door.generation,
            sequence: status.sequence,
        });
        return;
    };
    if status.sequence < last.sequence {
        book.write().reverted += 1;
        book.note(format!(
            "{} went back from configuration {} to {}",
            door.entry, last.sequence, status.sequence
        ));
    }
    last.sequence = status.sequence;
}
