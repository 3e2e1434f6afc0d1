//! The operator of a run: confirms each intent, also through faults.

use std::time::Duration;

use async_std::task;
use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::operator::{Accepted, Ask, Problem};

use super::book::Book;
use super::cluster::Cluster;
use super::site::Document;
use crate::client::Client;

/// The wait before a call is made again.
const AGAIN: Duration = Duration::from_millis(300);

/// Confirms the intents one after the other; only a wrong intent ends it early.
///
/// # Errors
/// The problem of the intent that can't be accepted.
pub(super) async fn submit(
    cluster: &Cluster,
    book: &Book,
    documents: &[Document],
) -> Result<(), Problem> {
    for document in documents {
        let accepted = accept(cluster, document).await?;
        log::info!(
            target: "dev",
            "Accepted; file={} sequence={}.", document.file, accepted.sequence
        );
        book.accepted(&document.intent, accepted.sequence);
    }
    Ok(())
}

/// Cancels jobs; those that ended before are no mistake.
pub(super) async fn cancel(cluster: &Cluster, book: &Book, jobs: &[id::Job]) {
    loop {
        match client(cluster).cancel(jobs.to_vec()).await {
            Ok(accepted) => return book.cancelled(jobs, accepted.sequence),
            Err(problem) if problem.code == Code::UnknownTask => return,
            Err(problem) => {
                log::info!(target: "dev", "Cancelling again; problem={}.", problem.message);
                task::sleep(AGAIN).await;
            }
        }
    }
}

/// Returns a client of all running entries.
pub(super) fn client(cluster: &Cluster) -> Client {
    let doors = cluster.doors();
    Client::of(doors.into_iter().map(|door| door.operators).collect())
}

async fn accept(cluster: &Cluster, document: &Document) -> Result<Accepted, Problem> {
    let ask = Ask {
        file: document.file.clone(),
        text: document.text.clone(),
    };
    loop {
        let planned = client(cluster).plan(&ask).await;
        match planned {
            Ok(plan) if plan.blocked.is_none() => {
                if let Some(accepted) = confirm(cluster, &plan.id).await? {
                    return Ok(accepted);
                }
            }
            Ok(plan) => wait(&document.file, &plan.reason).await,
            Err(problem) if is_wrong(problem.code) => return Err(problem),
            Err(problem) => wait(&document.file, &problem.message).await,
        }
    }
}

/// Confirms a plan until it is known what became of it; nothing when a fresh plan is needed.
async fn confirm(cluster: &Cluster, plan: &id::Plan) -> Result<Option<Accepted>, Problem> {
    loop {
        match client(cluster).confirm(plan.clone()).await {
            Ok(accepted) => return Ok(Some(accepted)),
            Err(problem) if needs_plan(problem.code) => return Ok(None),
            Err(problem) if is_wrong(problem.code) => return Err(problem),
            Err(problem) => wait(plan.as_str(), &problem.message).await,
        }
    }
}

async fn wait(what: &str, why: &str) {
    log::info!(target: "dev", "Asking again; about={what} problem={why}.");
    task::sleep(AGAIN).await;
}

const fn needs_plan(code: Code) -> bool {
    matches!(code, Code::Stale | Code::UnknownPlan | Code::OverQuota)
}

/// Tells whether the intent itself is wrong.
const fn is_wrong(code: Code) -> bool {
    code.number() / 100 == 1
}
