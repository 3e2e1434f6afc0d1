//! Acts as the operator of a run, which confirms each intent and retries through faults.

use std::time::Duration;

use async_std::task;
use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::operator::{Accepted, PlanRequest, Problem};

use super::cluster::Cluster;
use super::record::Record;
use super::site::Document;
use crate::client::Client;

/// The delay before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Confirms the intents one after the other and stops early only at an invalid intent.
///
/// # Errors
/// The problem of the invalid intent.
pub(super) async fn submit_intents(
    cluster: &Cluster,
    record: &Record,
    documents: &[Document],
) -> Result<(), Problem> {
    for document in documents {
        let accepted = plan_and_confirm(cluster, document).await?;
        log::info!(
            target: "dev",
            "The intent was accepted; file={} sequence={}.", document.file, accepted.sequence
        );
        record.add_accepted(&document.intent, accepted.sequence);
    }
    Ok(())
}

/// Cancels jobs, and ignores jobs that have ended already.
pub(super) async fn cancel_jobs(cluster: &Cluster, record: &Record, jobs: &[id::Job]) {
    loop {
        match client(cluster).cancel(jobs.to_vec()).await {
            Ok(accepted) => return record.mark_cancelled(jobs, accepted.sequence),
            Err(problem) if problem.code == Code::UnknownTask => return,
            Err(problem) => {
                log::info!(target: "dev", "Could not cancel; problem={}.", problem.message);
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns a client of all running entries.
pub(super) fn client(cluster: &Cluster) -> Client {
    let entries = cluster.running_entries();
    Client::of(entries.into_iter().map(|entry| entry.operators).collect())
}

async fn plan_and_confirm(cluster: &Cluster, document: &Document) -> Result<Accepted, Problem> {
    let ask = PlanRequest {
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
            Ok(plan) => wait_to_retry(&document.file, &plan.reason).await,
            Err(problem) if is_intent_error(problem.code) => return Err(problem),
            Err(problem) => wait_to_retry(&document.file, &problem.message).await,
        }
    }
}

/// Confirms a plan and retries until its outcome is known; `None` means that a new plan is needed.
async fn confirm(cluster: &Cluster, plan: &id::Plan) -> Result<Option<Accepted>, Problem> {
    loop {
        match client(cluster).confirm(plan.clone()).await {
            Ok(accepted) => return Ok(Some(accepted)),
            Err(problem) if needs_new_plan(problem.code) => return Ok(None),
            Err(problem) if is_intent_error(problem.code) => return Err(problem),
            Err(problem) => wait_to_retry(plan.as_str(), &problem.message).await,
        }
    }
}

async fn wait_to_retry(what: &str, why: &str) {
    log::info!(target: "dev", "Not accepted yet, retrying; about={what} problem={why}.");
    task::sleep(RETRY_DELAY).await;
}

const fn needs_new_plan(code: Code) -> bool {
    matches!(code, Code::Stale | Code::UnknownPlan | Code::OverQuota)
}

/// Returns whether the code reports a mistake in the intent itself.
const fn is_intent_error(code: Code) -> bool {
    code.number() / 100 == 1
}
