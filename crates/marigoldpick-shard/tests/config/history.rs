//! Linearizability of histories of concurrent proposals under faults.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_shard::Settings;
use marigoldpick_shard::config::Log;
use rand::Rng;

use crate::cluster::{check_end, cluster, load};
use crate::specification::job;
use crate::support::FaultRates;

#[googletest::test]
fn history_under_lost_and_late_answers_is_linearizable() {
    for seed in 100..140 {
        let mut cluster = cluster(seed, &Settings::default());
        cluster.rates = FaultRates::LOSSY;
        load(&mut cluster, 40);
        check_end(&mut cluster);
    }
}

#[googletest::test]
fn history_with_cuts_pauses_and_outages_is_linearizable() {
    for seed in 200..230 {
        let mut cluster = cluster(seed, &Settings::default());
        for round in 0..6 {
            cluster.rates = if round % 3 == 1 {
                FaultRates::AWAY
            } else {
                FaultRates::LOSSY
            };
            let at = cluster.rng.random_range(0..4);
            cluster.cut[at] = !cluster.cut[at];
            let other = cluster.rng.random_range(0..4);
            cluster.paused[other] = cluster.now + cluster.rng.random_range(0..6_000);
            load(&mut cluster, 8);
        }
        check_end(&mut cluster);
    }
}

#[googletest::test]
fn history_with_compaction_and_a_writer_cut_off_is_linearizable() {
    let settings = Settings {
        snapshot_every: 4,
        recent: 3,
        ..Settings::default()
    };
    for seed in 300..330 {
        let mut cluster = cluster(seed, &settings);
        cluster.rates.late = 150;
        cluster.cut[1] = true;
        load(&mut cluster, 30);
        // The entry is connected again, far behind the floor, and writes at once.
        cluster.cut[1] = false;
        cluster.propose(1, job(1, 1_000, 0));
        load(&mut cluster, 10);
        check_end(&mut cluster);
        let logged = cluster
            .store
            .items
            .keys()
            .filter(|key| key.contains("/log/"))
            .count();
        assert!(logged < 20, "seed {seed}: {logged} entries are left");
    }
}

#[googletest::test]
fn entry_that_starts_while_the_store_is_down_asks_its_peers() {
    let mut cluster = cluster(6, &Settings::default());
    cluster.propose(0, job(1, 1, 0));
    cluster.run(1_000);
    cluster.rates = FaultRates::AWAY;
    let id = id::Entry::new("e2").expect("a name");
    cluster.logs[2] = Log::new(id, 77, Settings::default(), 7);
    cluster.in_force[2] = 0;
    cluster.run(3_000);
    expect_that!(cluster.in_force[2], eq(2));
    cluster.run(20_000);
    expect_that!(cluster.logs[2].is_old(Millis(cluster.now)), eq(true));
    check_end(&mut cluster);
}

#[googletest::test]
fn failure_domain_cut_off_for_minutes_is_old_and_catches_up() {
    for seed in 350..354 {
        let mut cluster = cluster(seed, &Settings::default());
        // The last entry is in a failure domain of its own, with its own watcher.
        cluster.cut[3] = true;
        let before = cluster.in_force[3];
        for _ in 0..5 {
            load(&mut cluster, 6);
            cluster.run(60_000);
            expect_that!(cluster.logs[3].is_old(Millis(cluster.now)), eq(true));
        }
        expect_that!(cluster.in_force[3], eq(before), "seed {seed}");
        expect_that!(cluster.in_force[0], gt(before), "seed {seed}");
        cluster.cut[3] = false;
        cluster.run(11_000);
        expect_that!(cluster.in_force[3], eq(cluster.in_force[0]), "seed {seed}");
        expect_that!(cluster.logs[3].is_old(Millis(cluster.now)), eq(false));
        check_end(&mut cluster);
    }
}
