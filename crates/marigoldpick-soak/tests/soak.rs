//! Tests of the drawn faults, and short soak runs of the real programs.

use std::path::Path;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_soak::{Kind, Shape, fault, run};

const SHAPE: Shape = Shape {
    entries: 3,
    workers: 5,
    seconds: 6,
    jobs_per_second: 3,
};

/// Seeds of the short runs; each draws kinds of faults that the other does not. In both, the platform allows longer
/// leases than leads grant.
const SEEDS: [u64; 2] = [3, 11];

#[googletest::test]
fn draw_same_seed_gives_the_same_faults() {
    expect_that!(fault::draw(5, &SHAPE), eq(&fault::draw(5, &SHAPE)));
    expect_that!(fault::draw(5, &SHAPE), not(eq(&fault::draw(6, &SHAPE))));
}

#[googletest::test]
fn draw_faults_are_within_the_run() {
    for seed in 0..200 {
        let faults = fault::draw(seed, &SHAPE);
        expect_that!(faults, not(is_empty()));
        expect_true!(faults.is_sorted_by_key(|fault| fault.at));
        for fault in faults {
            expect_that!(fault.at, lt(Millis(6_000)));
            expect_that!(fault.duration, all!(ge(Millis(200)), le(Millis(4_000))));
            expect_that!(fault.target, lt(5));
        }
    }
}

#[googletest::test]
fn draw_every_kind_occurs() {
    let mut seen: Vec<Kind> = Vec::new();
    for seed in 0..200 {
        let faults = fault::draw(seed, &SHAPE);
        seen.extend(faults.into_iter().map(|fault| fault.kind));
    }
    for kind in Kind::ALL {
        expect_that!(seen, contains(eq(kind)));
    }
}

#[googletest::test]
fn draw_restarts_same_seed_gives_the_same_faults() {
    let draw = |seed| fault::draw_restarts(seed, &SHAPE);
    expect_that!(draw(5), eq(&draw(5)));
    expect_that!(draw(5), not(eq(&draw(6))));
}

#[googletest::test]
fn draw_restarts_cut_workers_off_after_they_are_up() {
    let mut seen: Vec<Kind> = Vec::new();
    for seed in 0..200 {
        let faults = fault::draw_restarts(seed, &SHAPE);
        expect_true!(faults.is_sorted_by_key(|fault| fault.at));
        for fault in &faults {
            seen.push(fault.kind);
            expect_that!(fault.target, lt(5));
            match fault.kind {
                Kind::Platform("worker-down") => {
                    expect_that!(fault.at, lt(Millis(6_000)));
                    expect_that!(fault.duration, all!(ge(Millis(200)), le(Millis(1_200))));
                }
                Kind::HoldOrders => {
                    expect_that!(fault.duration, all!(ge(Millis(300)), le(Millis(3_000))));
                }
                Kind::SilenceWorker => {
                    expect_that!(fault.duration, all!(ge(Millis(1_000)), le(Millis(9_000))));
                    let precedes = |restart: &&fault::Fault| {
                        restart.kind == Kind::Platform("worker-down")
                            && restart.target == fault.target
                            && restart.at + restart.duration < fault.at
                    };
                    expect_true!(faults.iter().any(|restart| precedes(&restart)));
                }
                other => panic!("{other:?} is no part of a restart"),
            }
        }
    }
    for kind in [
        Kind::Platform("worker-down"),
        Kind::HoldOrders,
        Kind::SilenceWorker,
    ] {
        expect_that!(seen, contains(eq(&kind)));
    }
}

#[googletest::test]
fn draw_stalls_affect_entries_and_workers_within_the_run() {
    let draw = |seed| fault::draw_stalls(seed, &SHAPE);
    expect_that!(draw(5), eq(&draw(5)));
    let mut seen: Vec<Kind> = Vec::new();
    for stall in (0..50).flat_map(draw) {
        let targets = match stall.kind {
            Kind::StallStore => SHAPE.entries,
            Kind::StallWorker => SHAPE.workers,
            other => panic!("{other:?} is no stall"),
        };
        expect_that!(stall.target, lt(targets as usize));
        expect_that!(stall.at, lt(Millis(6_000)));
        seen.push(stall.kind);
    }
    for kind in [Kind::StallStore, Kind::StallWorker] {
        expect_that!(seen, contains(eq(&kind)));
    }
}

#[googletest::test]
fn draw_stops_and_cuts_affect_the_lead_while_workers_are_away() {
    type Draw = fn(u64, &Shape) -> Vec<fault::Fault>;
    let stops = [Kind::StopWorker, Kind::SilenceWorker, Kind::PauseLead].as_slice();
    let cuts = [
        Kind::KeepLeadOnly,
        Kind::CutLeadOnly,
        Kind::PauseLead,
        Kind::SilenceLead,
    ];
    let series: [(Draw, [u64; 4], &[Kind]); 2] = [
        (fault::draw_stops, [200, 9_000, 3_000, 6_000], stops),
        (fault::draw_cuts, [9_000, 16_000, 4_000, 7_000], &cuts),
    ];
    for (draw, [shortest, longest, lead_shortest, lead_longest], kinds) in series {
        expect_that!(draw(5, &SHAPE), eq(&draw(5, &SHAPE)));
        expect_that!(draw(5, &SHAPE), not(eq(&draw(6, &SHAPE))));
        let is_lead =
            |fault: &&fault::Fault| matches!(fault.kind, Kind::PauseLead | Kind::SilenceLead);
        let mut seen: Vec<Kind> = Vec::new();
        for faults in (0..200).map(|seed| draw(seed, &SHAPE)) {
            expect_true!(faults.is_sorted_by_key(|fault| fault.at));
            seen.extend(faults.iter().map(|fault| fault.kind));
            let (leads, away): (Vec<_>, Vec<_>) = faults.iter().partition(is_lead);
            for fault in &away {
                expect_that!(fault.target, lt(5));
                expect_that!(fault.at, lt(Millis(6_000)));
                expect_that!(
                    fault.duration,
                    all!(ge(Millis(shortest)), le(Millis(longest)))
                );
            }
            for fault in leads {
                expect_that!(fault.target, lt(3));
                let bounds = all!(ge(Millis(lead_shortest)), le(Millis(lead_longest)));
                expect_that!(fault.duration, bounds);
                let covers =
                    |away: &&fault::Fault| (away.at..away.at + away.duration).contains(&fault.at);
                expect_true!(away.iter().any(covers));
            }
        }
        expect_true!(seen.iter().all(|kind| kinds.contains(kind)));
        expect_true!(kinds.iter().all(|kind| seen.contains(kind)));
    }
}

#[googletest::test]
fn play_short_runs_violate_no_guarantee() {
    for seed in SEEDS {
        let name = format!("soak-{seed}");
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        if folder.exists() {
            std::fs::remove_dir_all(&folder).expect("the folder of an earlier run");
        }
        let outcome = async_std::task::block_on(run::play(seed, &SHAPE, &folder));
        let outcome = outcome.expect("the programs start");
        expect_that!(outcome.broken, is_empty(), "seed {seed}");
        expect_that!(outcome.verdict.accepted, gt(0), "seed {seed}");
        expect_that!(outcome.verdict.runs, gt(0), "seed {seed}");
    }
}
