//! The replayed scenarios and their results.

use hdrhistogram::Histogram;
use marigoldpick_core::intent::{Job, Objective};
use marigoldpick_place::score::{BestFit, DotProduct, FirstFit, LeastStranded, RandomTwo};
use serde::Serialize;

use super::arrivals::{
    LARGE_FLEET, RealSize, declare_real_sizes, full_scenario, mixed_scenario, sizes_scenario,
};
use super::replay::{BlackHole, Scenario, replay};
use super::tally::Tally;
use super::workload::{FIRMS, Firm};

/// `Wait` is the distribution of the waiting time of one class.
#[derive(Debug, Serialize)]
pub struct Wait {
    class: &'static str,
    started: u64,
    unstarted: u64,
    p50_ms: u64,
    p99_ms: u64,
    max_ms: u64,
}

/// `Row` is the result of one replay.
#[derive(Debug, Serialize)]
pub struct Row {
    scenario: &'static str,
    firm: &'static str,
    policy: &'static str,
    waits: Vec<Wait>,
    used_processors_percent: f64,
    used_memory_percent: f64,
    used_accelerators_percent: f64,
    starts: u64,
    rounds: u64,
    displaced: u64,
    throttled: u64,
    lost_core_seconds: f64,
    out_of_memory: u64,
    overloads: u64,
    black_hole_percent: f64,
    decision_p50_us: f64,
    decision_p99_us: f64,
}

/// Replays a mixed workload on a cluster that starts full of batch, with each policy.
pub fn mixed(workers: u32, seed: u64) -> Vec<Row> {
    let replayed = |firm: &Firm| {
        let scenario = mixed_scenario(firm, workers, seed, |_| 1_000);
        replay_policies("mixed", firm, &scenario, seed)
    };
    FIRMS.iter().flat_map(replayed).collect()
}

/// Replays urgent jobs on a cluster that batch keeps full until the end, with each policy.
pub fn urgent(workers: u32, seed: u64) -> Vec<Row> {
    let replayed = |firm: &Firm| {
        let scenario = full_scenario(firm, workers, seed);
        replay_policies("urgent", firm, &scenario, seed)
    };
    FIRMS.iter().flat_map(replayed).collect()
}

/// Replays a scenario with each policy.
///
/// On a large fleet the policies that examine each worker are left out.
fn replay_policies(name: &'static str, firm: &Firm, scenario: &Scenario, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    let row = |policy, tally| build_row(name, firm, policy, &tally);
    if scenario.fleet.len() < LARGE_FLEET {
        rows.push(row("first-fit", replay::<FirstFit>(scenario, seed)));
        rows.push(row("best-fit", replay::<BestFit>(scenario, seed)));
        rows.push(row("dot-product", replay::<DotProduct>(scenario, seed)));
    }
    rows.push(row("random-two", replay::<RandomTwo>(scenario, seed)));
    rows.push(row("marigoldpick", replay::<LeastStranded>(scenario, seed)));
    rows
}

/// Replays batch whose declared sizes are right, 4 times too large, 4 times too small, or a mix of these.
///
/// After each row with wrong sizes comes a row with the same real work and right sizes, as the baseline
/// for the cost of the wrong sizes.
pub fn sizes(workers: u32, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for firm in &FIRMS {
        let errors: [(&'static str, &'static str, RealSize); 3] = [
            ("sizes-4x-too-large", "known-4x-too-large", |_| 250),
            ("sizes-4x-too-small", "known-4x-too-small", |_| 4_000),
            ("sizes-4x-either-way", "known-4x-either-way", mixed_size),
        ];
        let replayed = |name, scenario: &Scenario| {
            let tally = replay::<LeastStranded>(scenario, seed);
            build_row(name, firm, "marigoldpick", &tally)
        };
        let right = sizes_scenario(firm, workers, seed, |_| 1_000);
        rows.push(replayed("sizes-right", &right));
        for (wrong, known, real) in errors {
            let scenario = sizes_scenario(firm, workers, seed, real);
            rows.push(replayed(wrong, &scenario));
            rows.push(replayed(known, &declare_real_sizes(scenario)));
        }
    }
    rows
}

/// Replays a mixed workload on a fleet in which one worker fails each task.
///
/// Its failures report no usage, or all of their memory as used, as tasks that lack memory do.
pub fn black_hole(workers: u32, seed: u64) -> Vec<Row> {
    let replayed = |firm: &Firm, name, full_memory| {
        let mut scenario = mixed_scenario(firm, workers, seed, |_| 1_000);
        scenario.black_hole = scenario.fleet.first().map(|worker| BlackHole {
            worker: worker.id.clone(),
            full_memory,
        });
        let tally = replay::<LeastStranded>(&scenario, seed);
        build_row(name, firm, "marigoldpick", &tally)
    };
    let both = |firm: &Firm| {
        [
            replayed(firm, "black-hole", false),
            replayed(firm, "black-hole-full", true),
        ]
    };
    FIRMS.iter().flat_map(both).collect()
}

/// Replays a mixed workload with different weights of the objective.
pub fn objectives(workers: u32, seed: u64) -> Vec<Row> {
    let weights: [(&'static str, f64, f64, f64); 4] = [
        ("objective-default", 1.0, 1.0, 0.1),
        ("objective-waiting", 4.0, 1.0, 0.1),
        ("objective-packing", 0.1, 4.0, 0.05),
        ("objective-control", 1.0, 1.0, 4.0),
    ];
    let mut rows = Vec::new();
    for firm in &FIRMS {
        for (name, waiting, packing, control) in weights {
            let mut scenario = mixed_scenario(firm, workers, seed, |_| 1_000);
            scenario.objective = Some(Objective {
                waiting,
                packing,
                control,
            });
            rows.push(build_row(
                name,
                firm,
                "marigoldpick",
                &replay::<LeastStranded>(&scenario, seed),
            ));
        }
    }
    rows
}

/// Prints the rows as a table.
pub fn print(rows: &[Row]) {
    for row in rows {
        println!(
            "{:20} {:12} {:13} used cpu {:5.1}% mem {:5.1}% acc {:5.1}%, {} starts in {} rounds, \
             {} displaced, {} throttled, {:.0} core s lost, {} oom, {} overloads, \
             black hole {:.2}%, p50 {:.1} us p99 {:.1} us",
            row.scenario,
            row.firm,
            row.policy,
            row.used_processors_percent,
            row.used_memory_percent,
            row.used_accelerators_percent,
            row.starts,
            row.rounds,
            row.displaced,
            row.throttled,
            row.lost_core_seconds,
            row.out_of_memory,
            row.overloads,
            row.black_hole_percent,
            row.decision_p50_us,
            row.decision_p99_us,
        );
        for wait in &row.waits {
            println!(
                "    {:8} {:7} started {:6} not yet, wait p50 {:7} p99 {:7} max {:7} ms",
                wait.class, wait.started, wait.unstarted, wait.p50_ms, wait.p99_ms, wait.max_ms,
            );
        }
    }
}

/// Returns the row of a replay.
fn build_row(scenario: &'static str, firm: &Firm, policy: &'static str, tally: &Tally) -> Row {
    let wait = |(class, waits): (&&'static str, &Histogram<u64>)| Wait {
        class,
        started: waits.len(),
        unstarted: tally.unstarted.get(class).copied().unwrap_or_default(),
        p50_ms: waits.value_at_quantile(0.5),
        p99_ms: waits.value_at_quantile(0.99),
        max_ms: waits.max(),
    };
    Row {
        scenario,
        firm: firm.name,
        policy,
        waits: tally.waits.iter().map(wait).collect(),
        used_processors_percent: tally.used_processors_percent,
        used_memory_percent: tally.used_memory_percent,
        used_accelerators_percent: tally.used_accelerators_percent,
        starts: tally.starts,
        rounds: tally.rounds,
        displaced: tally.displaced,
        throttled: tally.throttled,
        lost_core_seconds: tally.lost_core_seconds,
        out_of_memory: tally.out_of_memory,
        overloads: tally.overloads,
        black_hole_percent: 100.0 * tally.black_hole_starts as f64 / tally.starts.max(1) as f64,
        decision_p50_us: tally.decisions.value_at_quantile(0.5) as f64 / 1e3,
        decision_p99_us: tally.decisions.value_at_quantile(0.99) as f64 / 1e3,
    }
}

/// Returns a real size that depends on the job's type: a fourth, the same or four times the declared one.
fn mixed_size(job: &Job) -> u64 {
    let letters = job.name.as_str().bytes().filter(u8::is_ascii_lowercase);
    match letters.map(u32::from).sum::<u32>() % 3 {
        0 => 250,
        1 => 1_000,
        _ => 4_000,
    }
}
