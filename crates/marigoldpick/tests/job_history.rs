//! Tests the history of a job from the logs of entries whose clocks differ.

use std::fs;
use std::path::Path;
use std::process::Command;

use googletest::prelude::*;
use marigoldpick::core::prelude::*;
use marigoldpick::core::timeline::Event;
use marigoldpick::job_history;

const JOB: &str = "5cdb6ba0701cefae";

/// The log of the entry that the job was submitted to.
const SUBMITTED_TO: &str = "\
2026-10-14T01:16:17.008 level=INFO part=node event=start entry=a domain=x callers=1 inner=2
2026-10-14T01:16:19.500 level=INFO part=node event=job-handed-in id=00000000000000ff queue=q outcome=\"stored\"
2026-10-14T01:16:20.000 level=WARN part=store event=store-lost after_ms=2000
2026-10-14T01:16:20.900 level=INFO part=store event=store-regained after_ms=900
2026-10-14T01:16:21.000 level=INFO part=node event=job-handed-in id=5cdb6ba0701cefae queue=q outcome=\"the store has it\"
";

/// The log of the lead, whose clock is ten seconds behind.
const LEAD: &str = "\
no line of an entry
2026-10-14T01:16:10.000 level=INFO part=node event=start entry=b domain=x callers=1 inner=2
2026-10-14T01:16:10.900 level=INFO part=node event=lead-taken term=12
2026-10-14T01:16:11.010 level=INFO part=lead event=advice-asked id=5cdb6ba0701cefae.0.1 term=12 asker=c
2026-10-14T01:16:11.050 level=INFO part=lead event=starts-ordered id=5cdb6ba0701cefae.0.1 term=12 tasks=0 workers=w1 runs=9
2026-10-14T01:16:11.060 level=INFO part=lead event=worker-silent id=w1 term=12 why=unknown silent=1
2026-10-14T01:16:11.070 level=INFO part=lead event=worker-silent id=w2 term=12 why=unknown silent=1
2026-10-14T01:16:11.080 level=INFO part=lead event=run-ended id=5cdb6ba0701cefaf.0.0.0 term=12 worker=w1 run=8 how=done
2026-10-14T01:16:12.000 level=INFO part=lead event=job-over id=5cdb6ba0701cefae term=12 phase=Completed change=2
";

/// The log of an entry without lines about the job.
const OTHER: &str = "\
2026-10-14T01:16:20.100 level=WARN part=store event=store-lost after_ms=2000
";

fn events() -> Vec<Event> {
    let name = |text: &str| Name::new(text).expect("a name");
    let mut events = job_history::parse_log(&name("lead"), LEAD);
    events.extend(job_history::parse_log(&name("taker"), SUBMITTED_TO));
    events.extend(job_history::parse_log(&name("other"), OTHER));
    events
}

fn words(events: &[Event]) -> Vec<String> {
    let word = |event: &Event| format!("{} {}", event.mark.process, event.what);
    events.iter().map(word).collect()
}

#[googletest::test]
fn parse_log_skips_lines_that_are_no_events() {
    let name = Name::new("lead").expect("a name");
    expect_that!(job_history::parse_log(&name, LEAD).len(), eq(8));
    expect_that!(
        job_history::parse_log(&name, "2026-13-14T01:16:10.000 event=start"),
        is_empty()
    );
}

#[googletest::test]
fn of_job_orders_by_cause_when_clocks_differ() {
    let history = words(&job_history::of_job(events(), JOB));
    let at = |what: &str| history.iter().position(|word| word == what);
    let handed_in = at("taker job-handed-in");
    expect_that!(handed_in, some(anything()));
    expect_that!(at("lead advice-asked"), gt(handed_in));
    expect_that!(at("lead starts-ordered"), gt(at("lead advice-asked")));
    expect_that!(at("lead job-over"), gt(at("lead starts-ordered")));
    expect_that!(at("lead lead-taken"), lt(at("lead advice-asked")));
}

#[googletest::test]
fn of_job_includes_events_of_its_entries_and_workers() {
    let history = job_history::of_job(events(), JOB);
    let words = words(&history);
    expect_that!(words, contains(eq("taker store-lost")));
    expect_that!(words, not(contains(eq("other store-lost"))));
    let silent: Vec<&str> = history
        .iter()
        .filter(|event| event.what.as_str() == "worker-silent")
        .map(|event| event.about.as_str())
        .collect();
    expect_that!(silent, elements_are![eq(&"w1")]);
    // Excludes another job whose id has the same prefix, and one submitted to the same entry.
    expect_that!(words, not(contains(eq("lead run-ended"))));
    let others = history.iter().filter(|e| e.about == "00000000000000ff");
    expect_that!(others.count(), eq(0));
}

#[googletest::test]
fn of_job_without_a_line_is_empty() {
    expect_that!(
        job_history::of_job(events(), "0123456789abcdef"),
        is_empty()
    );
}

#[googletest::test]
fn explain_reads_logs_of_many_entries() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("story");
    fs::create_dir_all(&folder).expect("a directory");
    for (name, text) in [
        ("taker.log", SUBMITTED_TO),
        ("lead.log", LEAD),
        ("other.log", OTHER),
    ] {
        fs::write(folder.join(name), text).expect("a file");
    }
    let explain = |job: &str| {
        Command::new(env!("CARGO_BIN_EXE_marigold"))
            .current_dir(&folder)
            .args([
                "explain",
                "--log",
                "taker.log",
                "lead.log",
                "other.log",
                job,
            ])
            .output()
            .expect("the program runs")
    };
    let output = explain(JOB);
    expect_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(text, contains_substring("01:16:21.000 taker"));
    expect_that!(text, contains_substring("starts-ordered"));
    let unknown = explain("0123456789abcdef");
    expect_that!(unknown.status.code(), not(some(eq(0))));
    expect_that!(
        String::from_utf8_lossy(&unknown.stderr).into_owned(),
        contains_substring("no line is about job")
    );
}
