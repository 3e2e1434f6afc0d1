//! Operators race through each fault alone and through selected pairs.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use async_std::task::{block_on, sleep, spawn};
use googletest::prelude::*;
use marigoldpick::core::prelude::*;
use marigoldpick::standin::Fault as Platform;

use crate::check;
use crate::cluster::{Cluster, DOMAINS, domain};
use crate::operators::{JOBS, Told, declare_team, race};

/// One cluster at a time, to keep within the machine.
static ONE: Mutex<()> = Mutex::new(());

/// `Fault` is one fault of a run.
#[derive(Clone, Debug)]
enum Fault {
    /// The entry of a seat dies, and a new process takes its seat.
    Kill(usize),
    /// The entry of a seat stands still.
    Pause(usize),
    /// The failure domains are cut off from each other, and one of them from the platform.
    Cut,
    /// A fault of the platform.
    Platform(Platform),
}

/// How long a fault lasts.
const SPAN: Millis = Millis(2_500);
/// When a fault begins.
const BEGIN: Millis = Millis(300);

async fn play(cluster: &Cluster, fault: &Fault) {
    sleep(BEGIN.duration()).await;
    match fault {
        Fault::Kill(seat) => {
            cluster.kill(*seat);
            sleep(SPAN.duration()).await;
            cluster.launch(*seat).await;
        }
        Fault::Pause(seat) => {
            cluster.pause(*seat, SPAN);
            sleep(SPAN.duration()).await;
        }
        Fault::Cut => {
            let cut = Platform::CutDomain {
                domain: domain(DOMAINS[1]),
            };
            cluster.cut(true);
            cluster.platform.fault(&cut).expect("the target is there");
            sleep(SPAN.duration()).await;
            cluster.platform.heal(&cut).expect("the target is there");
            cluster.cut(false);
        }
        Fault::Platform(fault) => {
            cluster.platform.fault(fault).expect("the target is there");
            sleep(SPAN.duration()).await;
            cluster.platform.heal(fault).expect("the target is there");
        }
    }
}

/// Runs a history through `faults` and checks it; returns how many confirms were accepted.
fn run(seed: u64, faults: &[Fault]) -> usize {
    eprintln!("seed {seed}, {faults:?}");
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let cluster = Arc::new(Cluster::start(seed).await);
        let base = declare_team(&cluster).await;
        let played: Vec<_> = faults
            .iter()
            .map(|fault| {
                let (cluster, fault) = (Arc::clone(&cluster), fault.clone());
                spawn(async move { play(&cluster, &fault).await })
            })
            .collect();
        let ended = Arc::new(AtomicBool::new(false));
        let racing = spawn({
            let (cluster, ended) = (Arc::clone(&cluster), Arc::clone(&ended));
            async move { race(&cluster, &ended).await }
        });
        for fault in played {
            fault.await;
        }
        ended.store(true, Ordering::SeqCst);
        let log = racing.await;
        let statuses = cluster
            .until("all is in force and runs", |statuses| {
                let accepted = cluster.platform.truth().configs_accepted.max(base);
                let in_force = statuses.iter().all(|status| status.sequence >= accepted);
                in_force
                    && statuses.first().is_some_and(|status| {
                        let tasks: u32 = status.jobs.iter().map(|job| job.count).sum();
                        cluster.platform.truth().tasks_running == u64::from(tasks)
                    })
            })
            .await;
        check::confirms(&log.confirms(), &statuses);
        check::truth(&cluster.platform.truth());
        let confirms = log.confirms();
        let accepted = confirms
            .iter()
            .filter(|confirm| matches!(confirm.told, Told::Accepted(_)));
        accepted.count()
    })
}

fn worker(number: u32) -> id::Worker {
    id::Worker::new(&format!("{}-r/w{number}", DOMAINS[0])).expect("a name")
}

fn lost_answers() -> Fault {
    Fault::Platform(Platform::StoreLostAnswer { percent: 50 })
}

fn slow_store() -> Fault {
    Fault::Platform(Platform::StoreSlow {
        delay_ms: Millis(700),
    })
}

fn killed_worker() -> Fault {
    Fault::Platform(Platform::KillWorker { worker: worker(0) })
}

#[googletest::test]
fn history_without_fault() {
    expect_that!(run(1, &[]), ge(JOBS));
}

#[googletest::test]
fn history_store_down() {
    run(2, &[Fault::Platform(Platform::StoreDown)]);
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
    run(7, &[killed_worker()]);
}

#[googletest::test]
fn history_worker_fails_all() {
    run(
        8,
        &[Fault::Platform(Platform::FailWorker { worker: worker(1) })],
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
    run(13, &[Fault::Platform(Platform::StoreDown), Fault::Kill(2)]);
}

#[googletest::test]
fn history_worker_and_entry_killed() {
    run(14, &[killed_worker(), Fault::Kill(1)]);
}
