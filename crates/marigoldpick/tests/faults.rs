//! Tests that each mistake in a faults file gives a numbered error with its line and field.

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

fn fault(kind: &str, target: &str, duration: &str) -> String {
    format!(
        "# a fault\n[[fault]]\nat_ms = 100\nkind = \"{kind}\"\ntarget = \"{target}\"\n{duration}"
    )
}

fn parse_error(text: &str) -> (Code, u32, String) {
    let error = faults::parse_for("f.toml", text, &targets()).expect_err("the file has a mistake");
    assert_eq!(error.file, "f.toml");
    (error.code, error.line, error.field)
}

#[googletest::test]
fn parse_accepts_each_kind() {
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
    for (kind, target, duration) in kinds {
        let text = fault(kind, target, &format!("for_ms = {duration}\n"));
        let read = faults::parse_for("f.toml", &text, &targets());
        expect_that!(read, ok(len(eq(1))), "{kind}");
    }
}

#[googletest::test]
fn parse_sorts_faults_by_time() {
    let late = "[[fault]]\nat_ms = 9\nkind = \"store-down\"\ntarget = \"store\"\nfor_ms = 1\n";
    let early = "[[fault]]\nat_ms = 2\nkind = \"store-slow\"\ntarget = \"store\"\nfor_ms = 1\n";
    let read = faults::parse("f.toml", &format!("{late}{early}")).expect("the file is valid");
    expect_that!(read[0].kind, eq(Kind::StoreSlow));
    expect_that!(read[1].kind, eq(Kind::StoreDown));
}

#[googletest::test]
fn parse_unknown_kind_names_line() {
    let (code, line, field) = parse_error(&fault("set-on-fire", "store", ""));
    expect_that!(code, eq(Code::UnknownName));
    expect_that!(line, eq(4));
    expect_that!(field, eq("fault[0].kind"));
}

#[googletest::test]
fn parse_unknown_targets_name_line_and_field() {
    let unknown = [
        ("kill-entry", "turku-9"),
        ("kill-worker", "turku"),
        ("cut-domain", "oulu"),
        ("slow-endpoint", "booking:50"),
        ("leave-endpoint", "dispatch"),
        ("cancel-wave", "maps*"),
    ];
    for (kind, target) in unknown {
        let duration = if kind == "cancel-wave" {
            ""
        } else {
            "for_ms = 5\n"
        };
        let error = parse_error(&fault(kind, target, duration));
        let expected = (Code::UnknownName, 5, "fault[0].target".to_owned());
        expect_that!(error, eq(&expected), "{kind}");
    }
}

#[googletest::test]
fn parse_store_fault_has_only_the_store_as_target() {
    let error = parse_error(&fault("store-down", "turku", "for_ms = 5\n"));
    expect_that!(
        error,
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
        parse_error(text),
        eq(&(Code::UnknownName, 2, "fault[0].target".to_owned()))
    );
}

#[googletest::test]
fn parse_duration_missing_or_zero_is_rejected() {
    let missing = parse_error(&fault("store-down", "store", ""));
    expect_that!(
        missing,
        eq(&(Code::BadValue, 3, "fault[0].for_ms".to_owned()))
    );
    let zero = parse_error(&fault("kill-entry", "turku-1", "for_ms = 0\n"));
    expect_that!(zero, eq(&(Code::BadValue, 6, "fault[0].for_ms".to_owned())));
    let permanent = fault("kill-entry", "turku-1", "");
    expect_that!(
        faults::parse_for("f.toml", &permanent, &targets()),
        ok(len(eq(1)))
    );
}

#[googletest::test]
fn parse_negative_time_is_rejected() {
    let text = fault("store-down", "store", "for_ms = -5\n");
    let (code, line, _) = parse_error(&text);
    expect_that!(code, eq(Code::BadValue));
    expect_that!(line, eq(6));
}

#[googletest::test]
fn parse_unknown_field_names_it() {
    let text = fault("store-down", "store", "for_ms = 5\nhow = 3\n");
    expect_that!(
        parse_error(&text),
        eq(&(Code::UnknownField, 7, "how".to_owned()))
    );
}
