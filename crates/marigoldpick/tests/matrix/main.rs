//! Tests whole runs through each kind of fault alone and through selected pairs.
//!
//! Each run is a process of `marigold dev --once` over a small site. The stand-ins count what
//! happens independently of the entries. No promise may be broken, and all accepted work must be
//! done at the end.

mod site;

use std::fs;
use std::path::Path;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

use googletest::prelude::*;
use marigoldpick::dev::Report;

/// Limits the number of concurrent runs, to bound the load on the machine.
static RUN_SLOTS: [Mutex<()>; 3] = [const { Mutex::new(()) }; 3];

/// The number of requests in a run.
const REQUESTS: u64 = 1_000;
/// When each fault begins, in milliseconds: before, during and late in the work.
const BEGINS_MS: [u64; 3] = [1_500, 4_500, 7_500];
/// The duration of each fault, in milliseconds.
const DURATION_MS: u64 = 1_500;
/// The time limit of a run, in seconds, which only determines how long a failing test takes.
const LIMIT_SECONDS: u64 = 150;

/// A kind of fault and its target.
type Fault = (&'static str, &'static str);

const STORE_DOWN: Fault = ("store-down", "store");
const STORE_SLOW: Fault = ("store-slow", "store");
const LOST_ANSWER: Fault = ("store-lost-answer", "store");
const KILL_ENTRY: Fault = ("kill-entry", "north-0");
const PAUSE_ENTRY: Fault = ("pause-entry", "south-0");
const KILL_WORKER: Fault = ("kill-worker", "north-r/w0");
const FAIL_WORKER: Fault = ("fail-worker", "south-r/w1");
const CUT_DOMAIN: Fault = ("cut-domain", "south");
const SLOW_ENDPOINT: Fault = ("slow-endpoint", "booking:0");
const LEAVE_ENDPOINT: Fault = ("leave-endpoint", "booking:1");
const CANCEL_WAVE: Fault = ("cancel-wave", "maps");

fn faults_file(faults: &[Fault]) -> String {
    let entry = |(kind, target): &Fault, begin: u64| {
        format!(
            "[[fault]]\nat_ms = {begin}\nkind = \"{kind}\"\ntarget = \"{target}\"\n\
             for_ms = {DURATION_MS}\n"
        )
    };
    faults
        .iter()
        .flat_map(|fault| BEGINS_MS.map(|begin| entry(fault, begin)))
        .collect()
}

/// Runs the site through `faults`, checks every promise, and returns the counts.
fn run(name: &str, seed: u64, faults: &[Fault]) -> Report {
    let slot = &RUN_SLOTS[seed as usize % RUN_SLOTS.len()];
    let _guard = slot.lock().unwrap_or_else(PoisonError::into_inner);
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join("matrix");
    let site = site::write(&root, name, seed);
    let file = site.join("faults.toml");
    fs::write(&file, faults_file(faults)).expect("the file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_marigold"))
        .args(["dev", "--once", "--json"])
        .args(["--requests", &REQUESTS.to_string()])
        .args(["--seed", &seed.to_string()])
        .args(["--limit", &LIMIT_SECONDS.to_string()])
        .arg("--intents")
        .arg(&site)
        .arg("--faults")
        .arg(&file)
        .output()
        .expect("the program runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    let text = String::from_utf8_lossy(&output.stdout);
    let last = text.lines().last().unwrap_or_default();
    let report: Report = serde_json::from_str(last).expect("the last line is a JSON report");
    println!("{name}, seed {seed}: {last}");
    expect_that!(output.status.code(), some(eq(0)), "{name}: {errors}");
    expect_that!(report.broken(), is_empty(), "{name}");
    let workers_can_fail = faults.iter().any(|(kind, _)| kind.ends_with("-worker"));
    if workers_can_fail {
        // A non-idempotent task whose worker fails is reported as failed and not started again.
        let ended = report.tasks_completed + report.tasks_failed;
        expect_that!(ended, ge(report.tasks_accepted), "{name}");
        expect_that!(
            report.tasks_failed,
            le(site::NON_IDEMPOTENT_TASKS),
            "{name}"
        );
    } else {
        expect_that!(report.tasks_completed, eq(report.tasks_accepted), "{name}");
        expect_that!(report.tasks_failed, eq(0), "{name}");
    }
    expect_that!(report.tasks_started_twice, eq(0), "{name}");
    expect_that!(report.requests_sent, eq(REQUESTS), "{name}");
    report
}

#[googletest::test]
fn run_without_fault() {
    let report = run("none", 1, &[]);
    expect_that!(
        report.tasks_accepted,
        eq(site::IDEMPOTENT_TASKS + site::NON_IDEMPOTENT_TASKS)
    );
    expect_that!(report.requests_answered, eq(REQUESTS));
}

#[googletest::test]
fn run_store_down() {
    run("store-down", 2, &[STORE_DOWN]);
}

#[googletest::test]
fn run_store_slow() {
    run("store-slow", 3, &[STORE_SLOW]);
}

#[googletest::test]
fn run_store_loses_answers() {
    run("lost-answer", 4, &[LOST_ANSWER]);
}

#[googletest::test]
fn run_entry_killed() {
    run("kill-entry", 5, &[KILL_ENTRY]);
}

#[googletest::test]
fn run_entry_paused() {
    run("pause-entry", 6, &[PAUSE_ENTRY]);
}

#[googletest::test]
fn run_worker_killed() {
    run("kill-worker", 7, &[KILL_WORKER]);
}

#[googletest::test]
fn run_worker_fails_all() {
    run("fail-worker", 8, &[FAIL_WORKER]);
}

#[googletest::test]
fn run_domain_cut() {
    run("cut-domain", 9, &[CUT_DOMAIN]);
}

#[googletest::test]
fn run_endpoint_slow() {
    run("slow-endpoint", 10, &[SLOW_ENDPOINT]);
}

#[googletest::test]
fn run_endpoint_leaves() {
    run("leave-endpoint", 11, &[LEAVE_ENDPOINT]);
}

#[googletest::test]
fn run_cancel_wave() {
    run("cancel-wave", 12, &[CANCEL_WAVE]);
}

#[googletest::test]
fn run_lost_answers_and_entry_killed() {
    run("lost-answer-kill-entry", 13, &[LOST_ANSWER, KILL_ENTRY]);
}

#[googletest::test]
fn run_store_down_and_worker_killed() {
    run("store-down-kill-worker", 14, &[STORE_DOWN, KILL_WORKER]);
}

#[googletest::test]
fn run_domain_cut_and_entry_killed() {
    run("cut-domain-kill-entry", 15, &[CUT_DOMAIN, KILL_ENTRY]);
}

#[googletest::test]
fn run_entry_paused_and_endpoint_leaves() {
    run("pause-leave", 16, &[PAUSE_ENTRY, LEAVE_ENDPOINT]);
}

#[googletest::test]
fn run_store_slow_and_cancel_wave() {
    run("slow-cancel", 17, &[STORE_SLOW, CANCEL_WAVE]);
}
