//! Runs with each single fault and with every pair of faults, at seeded random times.
//!
//! The long run is `MARIGOLD_SEEDS=200 cargo test --release -p marigoldpick-shard --test faults`.

mod support;

use std::env;

use marigoldpick_core::intent::Class;
use marigoldpick_core::vm;
use rand::Rng;
use support::FaultRates;
use support::site::Site;
use support::site::job::job;

/// The number of seeds in CI.
const SEEDS: u64 = 1;
const ENTRIES: usize = 3;
const WORKERS: usize = 7;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    LeadKilled,
    LeadPaused,
    AllPaused,
    StoreAway,
    StoreLossy,
    StoreCutFromLead,
    WorkersLossy,
    LeadCutFromWorkers,
    EntriesCut,
    WorkerDead,
    RackLost,
    EntryReplaced,
}

const FAULTS: [Fault; 12] = [
    Fault::LeadKilled,
    Fault::LeadPaused,
    Fault::AllPaused,
    Fault::StoreAway,
    Fault::StoreLossy,
    Fault::StoreCutFromLead,
    Fault::WorkersLossy,
    Fault::LeadCutFromWorkers,
    Fault::EntriesCut,
    Fault::WorkerDead,
    Fault::RackLost,
    Fault::EntryReplaced,
];

fn seeds() -> u64 {
    let given = env::var("MARIGOLD_SEEDS").ok();
    given.and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

fn pause(site: &mut Site, at: usize) {
    let span = site.rng.random_range(500..20_000);
    site.entries[at].paused_until = site.now + span;
}

fn cause(site: &mut Site, fault: Fault) {
    let lead = site.leader().unwrap_or(0);
    match fault {
        Fault::LeadKilled => site.kill(lead),
        Fault::LeadPaused => pause(site, lead),
        Fault::AllPaused => (0..ENTRIES).for_each(|at| pause(site, at)),
        Fault::StoreAway => site.store_faults = FaultRates::AWAY,
        Fault::StoreLossy => site.store_faults = FaultRates::LOSSY,
        Fault::StoreCutFromLead => drop(site.cut_store.insert(lead)),
        Fault::WorkersLossy => site.worker_faults = FaultRates::LOSSY,
        Fault::LeadCutFromWorkers => {
            let first = site.rng.random_range(0..WORKERS);
            for worker in first..WORKERS {
                site.cut_workers.insert((lead, worker));
            }
        }
        Fault::EntriesCut => {
            for other in 0..ENTRIES {
                site.cut_entries.insert((lead, other));
            }
        }
        Fault::WorkerDead => {
            let worker = site.rng.random_range(0..WORKERS);
            site.dead_workers.insert(worker);
        }
        Fault::RackLost => site.dead_workers.extend([0, 1, 2]),
        Fault::EntryReplaced => {
            let at = site.rng.random_range(0..ENTRIES);
            site.kill(at);
            site.restart(at);
        }
    }
}

/// Ends all faults except the loss of workers, which the platform's list then shows as gone.
fn heal(site: &mut Site) {
    site.store_faults = FaultRates::default();
    site.worker_faults = FaultRates::default();
    site.cut_store.clear();
    site.cut_workers.clear();
    site.cut_entries.clear();
    for at in 0..ENTRIES {
        if site.entries[at].dead {
            site.restart(at);
        }
    }
    for worker in site.dead_workers.clone() {
        site.vms[worker].state = vm::State::Gone;
    }
}

fn run(seed: u64, faults: &[Fault]) {
    let jobs = vec![
        job("web", 7, Class::Service, true, None),
        job("maps", 30, Class::Batch, true, Some(2_000)),
        job("bills", 20, Class::Batch, false, Some(700)),
    ];
    let mut site = Site::new(seed, ENTRIES, WORKERS, jobs);
    let before = site.rng.random_range(0..9_000);
    site.run(before);
    for fault in faults {
        cause(&mut site, *fault);
        let between = site.rng.random_range(0..12_000);
        site.run(between);
    }
    let span = site.rng.random_range(0..30_000);
    site.run(span);
    heal(&mut site);
    let done = site.run_until(120_000, |site| site.is_complete() && site.is_serving());
    let missing = site.missing();
    assert!(
        done,
        "seed {seed}, {faults:?}: missing {missing:?}, leads {:?}",
        site.leads
    );
    site.check_at_most_once();
}

#[googletest::test]
fn fault_alone_violates_no_guarantee() {
    for seed in 0..seeds() {
        for (at, fault) in FAULTS.iter().enumerate() {
            run(seed * 1_000 + at as u64, &[*fault]);
        }
    }
}

#[googletest::test]
fn faults_in_pairs_violate_no_guarantee() {
    for seed in 0..seeds() {
        for (at, first) in FAULTS.iter().enumerate() {
            for (to, second) in FAULTS.iter().enumerate() {
                let seed = seed * 1_000_000 + (at * 100 + to) as u64;
                run(seed, &[*first, *second]);
            }
        }
    }
}
