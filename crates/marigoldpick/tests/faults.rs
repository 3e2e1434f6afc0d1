//! Faults files: each mistake gives a numbered error with its line and field.

use googletest::prelude::*;
use marigoldpick::core::prelude::*;
use marigoldpick::faults::{self, Job, Kind, Targets};

fn targets() -> Targets {
    Targets {
        entries: vec!["turku-1".to_owned()],
        workers: vec!["turku-r1-w1".to_owned()],
        domains: vec!["turku".to_owned()],
        jobs: vec![Job {
            name: "booking".to_owned(),
            endpoints: 50,
        }],
    }
}

fn fault(kind: &str, target: &str, span: &str) -> String {
    format!("# a fault\n[[fault]]\nat_ms = 100\nkind = \"{kind}\"\ntarget = \"{target}\"\n{span}")
}

fn refusal(text: &str) -> (Code, u32, String) {
    let error = faults::parse_for("f.toml", text, &targets()).expect_err("the file has a mistake");
    assert_eq!(error.file, "f.toml");
    (error.code, error.line, error.field)
}

#[googletest::test]
fn parse_each_kind_is_read() {
    let kinds = [
        ("store-down", "store", 1),
        ("store-slow", "store", 1),
        ("store-lost-answer", "store", 1),
        ("kill-entry", "turku-1", 1),
        ("pause-entry", "turku-1", 1),
        ("kill-worker", "turku-r1-w1", 1),
        ("fail-worker", "turku-r1-w1", 1),
        ("cut-domain", "turku", 1),
        ("slow-endpoint", "booking:49", 1),
        ("leave-endpoint", "booking", 1),
        ("cancel-wave", "book*", 1),
    ];
    for (kind, target, span) in kinds {
        let text = fault(kind, target, &format!("for_ms = {span}\n"));
        let read = faults::parse_for("f.toml", &text, &targets());
        expect_that!(read, ok(len(eq(1))), "{kind}");
    }
}

#[googletest::test]
fn parse_faults_come_by_time() {
    let late = "[[fault]]\nat_ms = 9\nkind = \"store-down\"\ntarget = \"store\"\nfor_ms = 1\n";
    let early = "[[fault]]\nat_ms = 2\nkind = \"store-slow\"\ntarget = \"store\"\nfor_ms = 1\n";
    let read = faults::parse("f.toml", &format!("{late}{early}")).expect("a good file");
    expect_that!(read[0].kind, eq(Kind::StoreSlow));
    expect_that!(read[1].kind, eq(Kind::StoreDown));
}

#[googletest::test]
fn parse_unknown_kind_names_line() {
    let (code, line, field) = refusal(&fault("set-on-fire", "store", ""));
    expect_that!(code, eq(Code::UnknownName));
    expect_that!(line, eq(4));
    expect_that!(field, eq("fault[0].kind"));
}

#[googletest::test]
fn parse_unknown_targets_name_line_and_field() {
    let wrong = [
        ("kill-entry", "turku-9"),
        ("kill-worker", "turku"),
        ("cut-domain", "oulu"),
        ("slow-endpoint", "booking:50"),
        ("leave-endpoint", "dispatch"),
        ("cancel-wave", "maps*"),
    ];
    for (kind, target) in wrong {
        let span = if kind == "cancel-wave" {
            ""
        } else {
            "for_ms = 5\n"
        };
        let seen = refusal(&fault(kind, target, span));
        let wanted = (Code::UnknownName, 5, "fault[0].target".to_owned());
        expect_that!(seen, eq(&wanted), "{kind}");
    }
}

#[googletest::test]
fn parse_store_fault_hits_the_store_alone() {
    let seen = refusal(&fault("store-down", "turku", "for_ms = 5\n"));
    expect_that!(
        seen,
        eq(&(Code::UnknownName, 5, "fault[0].target".to_owned()))
    );
    let text = "[[fault]]\nat_ms = 1\nkind = \"store-down\"\nfor_ms = 1\n";
    expect_that!(
        faults::parse_for("f.toml", text, &targets()),
        ok(len(eq(1)))
    );
}

#[googletest::test]
fn parse_target_missing_names_its_field() {
    let text = "[[fault]]\nat_ms = 1\nkind = \"kill-entry\"\nfor_ms = 1\n";
    expect_that!(
        refusal(text),
        eq(&(Code::UnknownName, 2, "fault[0].target".to_owned()))
    );
}

#[googletest::test]
fn parse_span_missing_or_zero_is_refused() {
    let missing = refusal(&fault("store-down", "store", ""));
    expect_that!(
        missing,
        eq(&(Code::BadValue, 3, "fault[0].for_ms".to_owned()))
    );
    let zero = refusal(&fault("kill-entry", "turku-1", "for_ms = 0\n"));
    expect_that!(zero, eq(&(Code::BadValue, 6, "fault[0].for_ms".to_owned())));
    let lasting = fault("kill-entry", "turku-1", "");
    expect_that!(
        faults::parse_for("f.toml", &lasting, &targets()),
        ok(len(eq(1)))
    );
}

#[googletest::test]
fn parse_negative_time_is_refused() {
    let text = fault("store-down", "store", "for_ms = -5\n");
    let (code, line, _) = refusal(&text);
    expect_that!(code, eq(Code::BadValue));
    expect_that!(line, eq(6));
}

#[googletest::test]
fn parse_unknown_field_names_it() {
    let text = fault("store-down", "store", "for_ms = 5\nhow = 3\n");
    expect_that!(
        refusal(&text),
        eq(&(Code::UnknownField, 7, "how".to_owned()))
    );
}
