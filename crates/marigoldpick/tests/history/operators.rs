//! Runs operators that race for the same job names.
//!
//! The task count of a job identifies the operator that planned it.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task::{sleep, spawn};
use marigoldpick::core::operator::{Accepted, PlanRequest, Problem, Status};
use marigoldpick::core::prelude::*;

use crate::cluster::{Cluster, DOMAINS};

/// The number of concurrent operators.
pub const OPERATORS: usize = 4;
/// The least number of jobs that all operators compete for; they continue while faults last.
pub const MIN_JOBS: usize = 6;
/// The greatest number of jobs, which bounds the history.
const MAX_JOBS: usize = 30;
/// The delay between the steps of an operator.
const PAUSE: Duration = Duration::from_millis(100);

const TEAM: &str = "[[team]]\nname = \"crew\"\n\
                    quota = { millicores = 60000, memory_mib = 60000 }\n";

/// `Reply` is the response to a confirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The confirm was accepted under this number.
    Accepted(u64),
    /// The confirm was refused since the configuration had changed.
    Stale,
    /// The confirm was not accepted.
    Refused(Code),
    /// The confirm may have been accepted.
    Unknown,
}

/// `Confirm` is one confirm of a job.
#[derive(Clone, Debug)]
pub struct Confirm {
    pub operator: usize,
    pub job: id::Job,
    pub plan: id::Plan,
    /// The job's task count, which identifies the operator.
    pub count: u32,
    pub reply: Reply,
    /// The positions in the order of the begins and ends of all confirms.
    pub begin: usize,
    pub end: usize,
}

/// `Log` records the confirms of all operators.
#[derive(Debug, Default)]
pub struct Log {
    confirms: Mutex<Vec<Confirm>>,
    next: AtomicUsize,
}

impl Log {
    /// Returns the confirms.
    pub fn confirms(&self) -> Vec<Confirm> {
        self.lock().clone()
    }

    fn tick(&self) -> usize {
        self.next.fetch_add(1, Ordering::SeqCst)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Confirm>> {
        self.confirms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Declares the team of all jobs and waits until it is in force and each shard has a lead.
///
/// Returns the sequence number of the configuration.
pub async fn declare_team(cluster: &Cluster) -> u64 {
    let sequence = loop {
        if let Some(sequence) = try_declare_team(cluster).await {
            break sequence;
        }
        sleep(PAUSE).await;
    };
    cluster
        .wait_until(
            "the team is in force and each shard has a lead",
            |statuses| {
                statuses
                    .iter()
                    .all(|status| status.sequence >= sequence && has_leads(status))
            },
        )
        .await;
    sequence
}

fn has_leads(status: &Status) -> bool {
    let led = status.shards.iter().filter(|shard| shard.lead.is_some());
    led.filter(|shard| shard.workers > 0).count() == DOMAINS.len()
}

async fn try_declare_team(cluster: &Cluster) -> Option<u64> {
    let client = cluster.client(0)?;
    let plan = client.plan(&ask(TEAM.to_owned())).await.ok()?;
    let accepted = client.confirm(plan.id).await.ok()?;
    Some(accepted.sequence)
}

/// Runs all operators until `ended` is set and returns their log.
pub async fn race(cluster: &Arc<Cluster>, ended: &Arc<AtomicBool>) -> Arc<Log> {
    let log = Arc::new(Log::default());
    let operators: Vec<_> = (0..OPERATORS)
        .map(|operator| {
            let (cluster, log) = (Arc::clone(cluster), Arc::clone(&log));
            let ended = Arc::clone(ended);
            spawn(async move { run_operator(&cluster, &log, &ended, operator).await })
        })
        .collect();
    for operator in operators {
        operator.await;
    }
    log
}

/// Plans and confirms each job at two entries in turn, whatever the responses are.
async fn run_operator(cluster: &Cluster, log: &Log, ended: &AtomicBool, operator: usize) {
    for number in 0..MAX_JOBS {
        if number >= MIN_JOBS && ended.load(Ordering::SeqCst) {
            return;
        }
        let job = id::Job::new(&format!("race-{number}")).expect("a name");
        for turn in 0..2 {
            plan_and_confirm(cluster, log, operator, (operator + turn) % OPERATORS, &job).await;
            sleep(PAUSE).await;
        }
    }
}

/// Plans and confirms a job at one entry.
async fn plan_and_confirm(
    cluster: &Cluster,
    log: &Log,
    operator: usize,
    entry: usize,
    job: &id::Job,
) {
    let count = 1 + operator as u32;
    let Some(client) = cluster.client(entry) else {
        return;
    };
    let Ok(plan) = client.plan(&ask(intent(job, count))).await else {
        return;
    };
    if plan.blocked.is_some() {
        return;
    }
    // Gives other operators the time to plan the same job.
    sleep(PAUSE).await;
    let begin = log.tick();
    let reply = to_reply(client.confirm(plan.id.clone()).await);
    let end = log.tick();
    log.lock().push(Confirm {
        operator,
        job: job.clone(),
        plan: plan.id,
        count,
        reply,
        begin,
        end,
    });
}

fn to_reply(answer: Result<Accepted, Problem>) -> Reply {
    match answer {
        Ok(accepted) => Reply::Accepted(accepted.sequence),
        Err(problem) => match problem.code {
            Code::Stale => Reply::Stale,
            Code::NotAccepted | Code::OverQuota | Code::UnknownPlan => Reply::Refused(problem.code),
            _ => Reply::Unknown,
        },
    }
}

fn ask(text: String) -> PlanRequest {
    PlanRequest {
        file: "race.toml".to_owned(),
        text,
    }
}

/// Returns an intent with a job that stays in the configuration, since its tasks run until stopped.
fn intent(job: &id::Job, count: u32) -> String {
    format!(
        "[[job]]\nname = \"{job}\"\nclass = \"service\"\nteam = \"crew\"\ncount = {count}\n\
         needs = {{ millicores = 100, memory_mib = 64 }}\ncommand = \"forever\"\n"
    )
}
