//! Tests racing operators through each fault alone and through selected pairs.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use async_std::task::{block_on, sleep, spawn};
use googletest::prelude::*;
use marigoldpick::core::prelude::*;
use marigoldpick::standin::Fault as PlatformFault;

use crate::check;
use crate::cluster::{Cluster, DOMAINS, domain};
use crate::operators::{MIN_JOBS, Reply, declare_team, race};

/// Allows one cluster at a time, to bound the load on the machine.
static RUN_LOCK: Mutex<()> = Mutex::new(());

/// `Fault` is one fault of a run.
#[derive(Clone, Debug)]
enum Fault {
    /// The entry at an index is killed and started again.
    Kill(usize),
    /// The entry at an index is paused.
    Pause(usize),
    /// A network partition separates the failure domains, and one of them from the platform.
    Cut,
    /// A fault of the platform.
    Platform(PlatformFault),
}

/// The duration of a fault.
const DURATION: Millis = Millis(2_500);
/// The delay from the start of a run to the start of its faults.
const BEGIN: Millis = Millis(300);

async fn inject(cluster: &Cluster, fault: &Fault) {
    sleep(BEGIN.duration()).await;
    match fault {
        Fault::Kill(entry) => {
            cluster.kill(*entry);
            sleep(DURATION.duration()).await;
            cluster.start_entry(*entry).await;
        }
        Fault::Pause(entry) => {
            cluster.pause(*entry, DURATION);
            sleep(DURATION.duration()).await;
        }
        Fault::Cut => {
            let cut = PlatformFault::CutDomain {
                domain: domain(DOMAINS[1]),
            };
            cluster.set_cut(true);
            cluster.platform.fault(&cut).expect("the target exists");
            sleep(DURATION.duration()).await;
            cluster.platform.heal(&cut).expect("the target exists");
            cluster.set_cut(false);
        }
        Fault::Platform(fault) => {
            cluster.platform.fault(fault).expect("the target exists");
            sleep(DURATION.duration()).await;
            cluster.platform.heal(fault).expect("the target exists");
        }
    }
}

/// Runs a history through `faults`, checks it, and returns the number of accepted confirms.
fn run(seed: u64, faults: &[Fault]) -> usize {
    eprintln!("seed {seed}, {faults:?}");
    let _guard = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let cluster = Arc::new(Cluster::start(seed).await);
        let base = declare_team(&cluster).await;
        let injected: Vec<_> = faults
            .iter()
            .map(|fault| {
                let (cluster, fault) = (Arc::clone(&cluster), fault.clone());
                spawn(async move { inject(&cluster, &fault).await })
            })
            .collect();
        let ended = Arc::new(AtomicBool::new(false));
        let racing = spawn({
            let (cluster, ended) = (Arc::clone(&cluster), Arc::clone(&ended));
            async move { race(&cluster, &ended).await }
        });
        for fault in injected {
            fault.await;
        }
        ended.store(true, Ordering::SeqCst);
        let log = racing.await;
        let statuses = cluster
            .wait_until(
                "the configuration is in force and all tasks run",
                |statuses| {
                    let accepted = cluster.platform.truth().configs_accepted.max(base);
                    let in_force = statuses.iter().all(|status| status.sequence >= accepted);
                    in_force
                        && statuses.first().is_some_and(|status| {
                            let tasks: u32 = status.jobs.iter().map(|job| job.count).sum();
                            cluster.platform.truth().tasks_running == u64::from(tasks)
                        })
                },
            )
            .await;
        check::confirms(&log.confirms(), &statuses);
        check::truth(&cluster.platform.truth());
        let confirms = log.confirms();
        let accepted = confirms
            .iter()
            .filter(|confirm| matches!(confirm.reply, Reply::Accepted(_)));
        accepted.count()
    })
}

fn worker(number: u32) -> id::Worker {
    id::Worker::new(&format!("{}-r/w{number}", DOMAINS[0])).expect("a name")
}

fn lost_answers() -> Fault {
    Fault::Platform(PlatformFault::StoreLostAnswer { percent: 50 })
}

fn slow_store() -> Fault {
    Fault::Platform(PlatformFault::StoreSlow {
        delay_ms: Millis(700),
    })
}

fn worker_killed() -> Fault {
    Fault::Platform(PlatformFault::KillWorker { worker: worker(0) })
}

#[googletest::test]
fn history_without_fault() {
    expect_that!(run(1, &[]), ge(MIN_JOBS));
}

#[googletest::test]
fn history_store_down() {
    run(2, &[Fault::Platform(PlatformFault::StoreDown)]);
}

#[googletest::test]
fn history_store_slow() {
    run(3, &[slow_store()]);
}

#[googletest::test]
fn history_store_loses_answers() {
    run(4, &[lost_answers()]);
}

#[googletest::test]
fn history_entry_killed() {
    run(5, &[Fault::Kill(0)]);
}

#[googletest::test]
fn history_entry_paused() {
    run(6, &[Fault::Pause(1)]);
}

#[googletest::test]
fn history_worker_killed() {
    run(7, &[worker_killed()]);
}

#[googletest::test]
fn history_worker_fails_all() {
    run(
        8,
        &[Fault::Platform(PlatformFault::FailWorker {
            worker: worker(1),
        })],
    );
}

#[googletest::test]
fn history_domain_cut() {
    run(9, &[Fault::Cut]);
}

#[googletest::test]
fn history_lost_answers_and_entry_killed() {
    run(10, &[lost_answers(), Fault::Kill(0)]);
}

#[googletest::test]
fn history_lost_answers_and_entry_paused() {
    run(11, &[lost_answers(), Fault::Pause(0)]);
}

#[googletest::test]
fn history_slow_store_and_domain_cut() {
    run(12, &[slow_store(), Fault::Cut]);
}

#[googletest::test]
fn history_store_down_and_entry_killed() {
    run(
        13,
        &[Fault::Platform(PlatformFault::StoreDown), Fault::Kill(2)],
    );
}

#[googletest::test]
fn history_worker_and_entry_killed() {
    run(14, &[worker_killed(), Fault::Kill(1)]);
}
