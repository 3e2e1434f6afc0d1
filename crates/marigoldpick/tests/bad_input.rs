//! Tests that bad input to each command gives a numbered error and its exit code, and no panic.

use std::fs;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use googletest::prelude::*;
use marigoldpick::core::prelude::*;

fn marigold(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_marigold"))
        .args(words)
        .env_remove("MARIGOLD_ENTRY")
        .output()
        .expect("the program runs")
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes `text` to a file and returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad-input");
    fs::create_dir_all(&directory).expect("a directory for the test");
    let path = directory.join(name);
    fs::write(&path, text).expect("the file is written");
    path
}

/// Expects the exit code of `code`, and an error with its number and `details`.
fn expect_error(words: &[&str], code: Code, details: &str) {
    let output = marigold(words);
    expect_that!(
        output.status.code(),
        some(eq(code.exit_status())),
        "{words:?}"
    );
    let error_text = stderr_of(&output);
    expect_that!(
        error_text,
        contains_substring(code.number().to_string()),
        "{words:?}"
    );
    expect_that!(error_text, contains_substring(details), "{words:?}");
}

#[googletest::test]
fn arguments_missing_or_too_many_are_rejected() {
    let code = Code::BadRequest;
    expect_error(&["plan"], code, "file is missing");
    expect_error(&["confirm"], code, "plan's name is missing");
    expect_error(&["confirm", "a", "b"], code, "'b'");
    expect_error(&["cancel"], code, "names are missing");
    expect_error(&["explain"], code, "task is missing");
    expect_error(&["status", "now"], code, "'now'");
    expect_error(&["timeline", "now"], code, "'now'");
    expect_error(&["check"], code, "file is missing");
    expect_error(&["where"], code, "file is missing");
    expect_error(&["drain", "worker"], code, "kind and a name");
    expect_error(&["dev", "now"], code, "'now'");
    expect_error(&["fly"], code, "fly");
    expect_error(&["plan", "--fast"], code, "--fast");
}

#[googletest::test]
fn arguments_malformed_are_rejected() {
    let code = Code::BadRequest;
    expect_error(&["confirm", "a b"], code, "'a b'");
    expect_error(&["cancel", "good", "not good"], code, "'not good'");
    expect_error(&["explain", "booking"], code, "job:index");
    expect_error(&["explain", "booking:x"], code, "job:index");
    expect_error(&["drain", "planet", "mars"], code, "'planet'");
    expect_error(&["timeline", "--task", "booking"], code, "job:index");
    let both = ["timeline", "--task", "a:1", "--request", "r"];
    expect_error(&both, code, "exclude");
    expect_error(&["dev", "--requests", "-4"], code, "requests");
}

#[googletest::test]
fn entry_address_malformed_is_rejected() {
    let words = ["status", "--entry", "example:7400"];
    expect_error(&words, Code::BadValue, "example:7400");
}

#[googletest::test]
fn entry_that_does_not_respond_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let words = ["status", "--json", "--entry", &address];
    let output = marigold(&words);
    expect_that!(output.status.code(), some(eq(Code::PeerAway.exit_status())));
    let text = String::from_utf8_lossy(&output.stdout);
    let problem: marigoldpick::core::operator::Problem =
        serde_json::from_str(&text).expect("one JSON object");
    expect_that!(problem.code, eq(Code::PeerAway));
}

#[googletest::test]
fn plan_and_check_name_file_line_and_field() {
    let bad = write_file(
        "zero.toml",
        "[[team]]\nname = \"a\"\nquota = { millicores = -1 }\n",
    );
    let bad = bad.to_str().expect("a path in UTF-8");
    expect_error(&["plan", bad], Code::BadValue, "zero.toml:3");
    expect_error(&["check", bad], Code::BadValue, "zero.toml:3");
    let unknown = write_file("unknown.toml", "[[job]]\nname = \"a\"\ncolour = 1\n");
    let unknown = unknown.to_str().expect("a path in UTF-8");
    expect_error(&["check", unknown], Code::UnknownField, "colour");
    expect_error(
        &["check", "no-such-file.toml"],
        Code::UnknownName,
        "no-such-file.toml",
    );
}

#[googletest::test]
fn check_detects_kinds_and_names_their_mistakes() {
    let entry = write_file(
        "entry.toml",
        "entry = \"e\"\ndomain = \"d\"\ncallers = \"somewhere\"\noperators = \"127.0.0.1:0\"\n\
         inner = \"127.0.0.1:0\"\nplatform = \"http://127.0.0.1:1\"\n",
    );
    let entry = entry.to_str().expect("a path in UTF-8");
    expect_error(&["check", entry], Code::BadValue, "callers");
    let faults = write_file(
        "faults.toml",
        "[[fault]]\nat_ms = 1\nkind = \"meteor\"\ntarget = \"store\"\nfor_ms = 1\n",
    );
    let faults = faults.to_str().expect("a path in UTF-8");
    expect_error(&["check", faults], Code::UnknownName, "faults.toml:3");
    expect_error(
        &["check", "--kind", "poem", faults],
        Code::BadRequest,
        "poem",
    );
}

#[googletest::test]
fn check_json_is_one_object_with_the_line() {
    let bad = write_file("line.toml", "[[team]]\nname = \n");
    let output = marigold(&["check", "--json", bad.to_str().expect("a path in UTF-8")]);
    let text = String::from_utf8_lossy(&output.stdout);
    let error: marigoldpick::core::document::Error =
        serde_json::from_str(&text).expect("one JSON object");
    expect_that!(error.code, eq(Code::BadSyntax));
    expect_that!(error.line, eq(2));
}

#[googletest::test]
fn output_to_closed_pipe_does_not_panic() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let output = Command::new(env!("CARGO_BIN_EXE_marigold"))
        .arg("--help")
        .stdout(writer)
        .output()
        .expect("the program runs");
    expect_that!(output.status.code(), some(eq(141)));
    expect_that!(stderr_of(&output), eq(""));
}
