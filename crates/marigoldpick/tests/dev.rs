//! Tests that `dev --once` completes the samples with every promise kept, and reports missing work.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use googletest::prelude::*;
use marigoldpick::core::prelude::*;
use marigoldpick::dev::Report;

fn sample(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name).display().to_string()
}

fn dev(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_marigold"))
        .args(["dev", "--once", "--json"])
        .args(words)
        .output()
        .expect("the program runs")
}

fn report(output: &Output) -> Report {
    let text = String::from_utf8_lossy(&output.stdout);
    let last = text.lines().last().expect("the output has a last line");
    serde_json::from_str(last).expect("the last line is a JSON report")
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn write_faults(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the file is written");
    path
}

fn verify_complete(output: &Output, tasks: u64, requests: u64) {
    let report = report(output);
    expect_that!(output.status.code(), some(eq(0)), "{}", stderr_of(output));
    expect_that!(report.broken(), is_empty());
    expect_that!(report.tasks_accepted, eq(tasks));
    expect_that!(report.tasks_completed, eq(tasks));
    expect_that!(report.requests_sent, eq(requests));
    expect_that!(report.requests_answered, eq(requests));
    expect_that!(report.configs_accepted, ge(5));
}

#[googletest::test]
fn once_kirpputori_holds_every_promise() {
    let directory = sample("kirpputori");
    let words = ["--intents", &directory, "--requests", "400", "--seed", "7"];
    verify_complete(&dev(&words), 448, 400);
}

#[googletest::test]
fn once_cyd_robotau_holds_every_promise() {
    let directory = sample("cyd-robotau");
    let words = ["--intents", &directory, "--requests", "400", "--seed", "8"];
    verify_complete(&dev(&words), 470, 400);
}

#[googletest::test]
fn once_both_samples_share_the_requests() {
    verify_complete(&dev(&["--requests", "51"]), 918, 51);
}

/// Runs a site through overlapping faults. Requests may end as unknown or not run, but no promise
/// may break.
fn verify_through_faults(site: &str, name: &str, text: &str, tasks: u64) {
    let directory = sample(site);
    let file = write_faults(name, text);
    let file = file.to_str().expect("a path in UTF-8");
    let words = [
        "--intents",
        &directory,
        "--requests",
        "3000",
        "--faults",
        file,
    ];
    let output = dev(&words);
    expect_that!(output.status.code(), some(eq(0)), "{}", stderr_of(&output));
    let report = report(&output);
    expect_that!(report.broken(), is_empty());
    expect_that!(report.tasks_accepted, eq(tasks));
    expect_that!(report.requests_sent, eq(3_000));
    expect_that!(
        stderr_of(&output),
        not(contains_substring("was not injected"))
    );
}

#[googletest::test]
fn once_kirpputori_holds_every_promise_through_faults() {
    let text = r#"
        [[fault]]
        at_ms = 4500
        kind = "store-lost-answer"
        target = "store"
        for_ms = 2000
        [[fault]]
        at_ms = 5000
        kind = "kill-entry"
        target = "helsinki-1"
        for_ms = 3000
        [[fault]]
        at_ms = 5500
        kind = "kill-worker"
        target = "turku-a/w0"
        for_ms = 5000
        [[fault]]
        at_ms = 6000
        kind = "pause-entry"
        target = "turku-1"
        for_ms = 3000
        [[fault]]
        at_ms = 7000
        kind = "leave-endpoint"
        target = "booking:7"
        [[fault]]
        at_ms = 7500
        kind = "store-down"
        target = "store"
        for_ms = 4000
    "#;
    verify_through_faults("kirpputori", "storm-kirpputori.toml", text, 448);
}

#[googletest::test]
fn once_cyd_robotau_holds_every_promise_through_faults() {
    let text = r#"
        [[fault]]
        at_ms = 1000
        kind = "fail-worker"
        target = "swansea-a/w1"
        for_ms = 9000
        [[fault]]
        at_ms = 4500
        kind = "store-slow"
        target = "store"
        for_ms = 2000
        [[fault]]
        at_ms = 5500
        kind = "cut-domain"
        target = "bangor"
        for_ms = 5000
        [[fault]]
        at_ms = 6000
        kind = "slow-endpoint"
        target = "dispatch:3"
        for_ms = 4000
        [[fault]]
        at_ms = 6200
        kind = "cancel-wave"
        target = "lift*"
        [[fault]]
        at_ms = 6500
        kind = "kill-entry"
        target = "cardiff-1"
        for_ms = 2000
        [[fault]]
        at_ms = 6500
        kind = "kill-entry"
        target = "cardiff-2"
        for_ms = 3000
    "#;
    verify_through_faults("cyd-robotau", "storm-cyd.toml", text, 470);
}

#[googletest::test]
fn once_timeout_reports_missing_work() {
    let directory = sample("kirpputori");
    let text = "[[fault]]\nat_ms = 0\nkind = \"store-down\"\ntarget = \"store\"\nfor_ms = 60000\n";
    let file = write_faults("down.toml", text);
    let file = file.to_str().expect("a path in UTF-8");
    let words = ["--intents", &directory, "--faults", file, "--limit", "3"];
    let output = dev(&words);
    expect_that!(
        output.status.code(),
        some(eq(Code::PromiseBroken.exit_status()))
    );
    expect_that!(
        stderr_of(&output),
        contains_substring("of 5 intents were accepted")
    );
    expect_that!(report(&output).requests_sent, eq(0));
}

#[googletest::test]
fn once_unknown_fault_target_is_rejected_before_start() {
    let text = "[[fault]]\nat_ms = 0\nkind = \"kill-entry\"\ntarget = \"oulu-1\"\nfor_ms = 1\n";
    let file = write_faults("target.toml", text);
    let output = dev(&["--faults", file.to_str().expect("a path in UTF-8")]);
    expect_that!(
        output.status.code(),
        some(eq(Code::UnknownName.exit_status()))
    );
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(text, contains_substring("target.toml:4: fault[0].target"));
}

#[googletest::test]
fn once_directory_without_intents_is_rejected() {
    let empty = Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-intents");
    fs::create_dir_all(&empty).expect("a directory");
    let output = dev(&["--intents", empty.to_str().expect("a path in UTF-8")]);
    expect_that!(output.status.code(), some(eq(Code::BadValue.exit_status())));
}
