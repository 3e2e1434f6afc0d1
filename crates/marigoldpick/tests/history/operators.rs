//! Operators who race for the same job names, each with a count of its own by which its job is known.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task::{sleep, spawn};
use marigoldpick::core::operator::{Accepted, Ask, Problem, Status};
use marigoldpick::core::prelude::*;

use crate::cluster::{Cluster, DOMAINS};

/// Operators at work at the same time.
pub const OPERATORS: usize = 4;
/// Jobs that all of them want, at least; they go on to others while faults last.
pub const JOBS: usize = 6;
/// The most jobs, which bounds the history.
const MAX_JOBS: usize = 30;
/// The wait before an operator goes on when an entry did not help it.
const PAUSE: Duration = Duration::from_millis(100);

const TEAM: &str = "[[team]]\nname = \"crew\"\n\
                    quota = { millicores = 60000, memory_mib = 60000 }\n";

/// `Told` is what an operator was told of its confirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// It was accepted under this number.
    Accepted(u64),
    /// It was refused, since what it rests on had changed.
    Stale,
    /// It was not accepted.
    Refused(Code),
    /// It may have been accepted.
    Unknown,
}

/// `Confirm` is one confirm of a job.
#[derive(Clone, Debug)]
pub struct Confirm {
    pub operator: usize,
    pub job: id::Job,
    pub plan: id::Plan,
    /// The job's count, which tells whose it is.
    pub count: u32,
    pub told: Told,
    /// Positions among the begins and ends of all confirms.
    pub begin: usize,
    pub end: usize,
}

/// `Log` is what all operators were told.
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

/// Declares the team of all jobs; waits until that is in force and each shard is led.
pub async fn declare_team(cluster: &Cluster) -> u64 {
    let sequence = loop {
        if let Some(sequence) = try_team(cluster).await {
            break sequence;
        }
        sleep(PAUSE).await;
    };
    cluster
        .until("the team is in force and each shard is led", |statuses| {
            statuses
                .iter()
                .all(|status| status.sequence >= sequence && are_led(status))
        })
        .await;
    sequence
}

fn are_led(status: &Status) -> bool {
    let led = status.shards.iter().filter(|shard| shard.lead.is_some());
    led.filter(|shard| shard.workers > 0).count() == DOMAINS.len()
}

async fn try_team(cluster: &Cluster) -> Option<u64> {
    let client = cluster.client(0)?;
    let plan = client.plan(&ask(TEAM.to_owned())).await.ok()?;
    let accepted = client.confirm(plan.id).await.ok()?;
    Some(accepted.sequence)
}

/// Lets all operators work until `ended` is set.
pub async fn race(cluster: &Arc<Cluster>, ended: &Arc<AtomicBool>) -> Arc<Log> {
    let log = Arc::new(Log::default());
    let operators: Vec<_> = (0..OPERATORS)
        .map(|operator| {
            let (cluster, log) = (Arc::clone(cluster), Arc::clone(&log));
            let ended = Arc::clone(ended);
            spawn(async move { work(&cluster, &log, &ended, operator).await })
        })
        .collect();
    for operator in operators {
        operator.await;
    }
    log
}

/// Wants each job at two entries in turn, whatever becomes of it.
async fn work(cluster: &Cluster, log: &Log, ended: &AtomicBool, operator: usize) {
    for number in 0..MAX_JOBS {
        if number >= JOBS && ended.load(Ordering::SeqCst) {
            return;
        }
        let job = id::Job::new(&format!("race-{number}")).expect("a name");
        for turn in 0..2 {
            want(cluster, log, operator, (operator + turn) % OPERATORS, &job).await;
            sleep(PAUSE).await;
        }
    }
}

/// Plans and confirms a job at one entry.
async fn want(cluster: &Cluster, log: &Log, operator: usize, seat: usize, job: &id::Job) {
    let count = 1 + operator as u32;
    let Some(client) = cluster.client(seat) else {
        return;
    };
    let Ok(plan) = client.plan(&ask(intent(job, count))).await else {
        return;
    };
    if plan.blocked.is_some() {
        return;
    }
    // Others may plan the same meanwhile.
    sleep(PAUSE).await;
    let begin = log.tick();
    let told = told(client.confirm(plan.id.clone()).await);
    let end = log.tick();
    log.lock().push(Confirm {
        operator,
        job: job.clone(),
        plan: plan.id,
        count,
        told,
        begin,
        end,
    });
}

fn told(answer: Result<Accepted, Problem>) -> Told {
    match answer {
        Ok(accepted) => Told::Accepted(accepted.sequence),
        Err(problem) => match problem.code {
            Code::Stale => Told::Stale,
            Code::NotAccepted | Code::OverQuota | Code::UnknownPlan => Told::Refused(problem.code),
            _ => Told::Unknown,
        },
    }
}

fn ask(text: String) -> Ask {
    Ask {
        file: "race.toml".to_owned(),
        text,
    }
}

/// A job whose tasks run until they are stopped, so that it stays in the configuration.
fn intent(job: &id::Job, count: u32) -> String {
    format!(
        "[[job]]\nname = \"{job}\"\nclass = \"service\"\nteam = \"crew\"\ncount = {count}\n\
         needs = {{ millicores = 100, memory_mib = 64 }}\ncommand = \"forever\"\n"
    )
}
