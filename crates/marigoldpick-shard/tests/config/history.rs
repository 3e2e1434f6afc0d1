//! Histories of racing proposals under faults.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_shard::Settings;
use marigoldpick_shard::config::Log;
use rand::Rng;

use crate::cell::{cell, check_end, load};
use crate::names::job;
use crate::support::Odds;

#[googletest::test]
fn history_under_lost_and_late_answers_is_linearizable() {
    for seed in 100..140 {
        let mut cell = cell(seed, &Settings::default());
        cell.odds = Odds::LOSSY;
        load(&mut cell, 40);
        check_end(&mut cell);
    }
}

#[googletest::test]
fn history_with_cuts_pauses_and_outages_is_linearizable() {
    for seed in 200..230 {
        let mut cell = cell(seed, &Settings::default());
        for round in 0..6 {
            cell.odds = if round % 3 == 1 {
                Odds::AWAY
            } else {
                Odds::LOSSY
            };
            let at = cell.rng.random_range(0..4);
            cell.cut[at] = !cell.cut[at];
            let other = cell.rng.random_range(0..4);
            cell.paused[other] = cell.now + cell.rng.random_range(0..6_000);
            load(&mut cell, 8);
        }
        check_end(&mut cell);
    }
}

#[googletest::test]
fn history_with_trimming_under_a_paused_writer_is_linearizable() {
    let settings = Settings {
        snapshot_every: 4,
        recent: 3,
        ..Settings::default()
    };
    for seed in 300..330 {
        let mut cell = cell(seed, &settings);
        cell.odds.late = 150;
        cell.cut[1] = true;
        load(&mut cell, 30);
        // It wakes up far behind the floor and writes at once.
        cell.cut[1] = false;
        cell.propose(1, job(1, 1_000, 0));
        load(&mut cell, 10);
        check_end(&mut cell);
        let logged = cell
            .store
            .items
            .keys()
            .filter(|key| key.contains("/log/"))
            .count();
        assert!(logged < 20, "seed {seed}: {logged} entries are left");
    }
}

#[googletest::test]
fn entry_that_starts_while_the_store_is_out_asks_its_peers() {
    let mut cell = cell(6, &Settings::default());
    cell.propose(0, job(1, 1, 0));
    cell.run(1_000);
    cell.odds = Odds::AWAY;
    let id = id::Entry::new("e2").expect("a name");
    cell.logs[2] = Log::new(id, 77, Settings::default(), 7);
    cell.in_force[2] = 0;
    cell.run(3_000);
    expect_that!(cell.in_force[2], eq(2));
    cell.run(20_000);
    expect_that!(cell.logs[2].is_old(Millis(cell.now)), eq(true));
    check_end(&mut cell);
}

#[googletest::test]
fn failure_domain_cut_off_for_minutes_knows_it_and_catches_up() {
    for seed in 350..354 {
        let mut cell = cell(seed, &Settings::default());
        // The last entry is a failure domain of its own, with its own watcher.
        cell.cut[3] = true;
        let before = cell.in_force[3];
        for _ in 0..5 {
            load(&mut cell, 6);
            cell.run(60_000);
            expect_that!(cell.logs[3].is_old(Millis(cell.now)), eq(true));
        }
        expect_that!(cell.in_force[3], eq(before), "seed {seed}");
        expect_that!(cell.in_force[0], gt(before), "seed {seed}");
        cell.cut[3] = false;
        cell.run(11_000);
        expect_that!(cell.in_force[3], eq(cell.in_force[0]), "seed {seed}");
        expect_that!(cell.logs[3].is_old(Millis(cell.now)), eq(false));
        check_end(&mut cell);
    }
}
