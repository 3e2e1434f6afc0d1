//! Tests the checks of settings and faults: each error has its code and the line or the field.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_standin::{Fault, Settings};

const RACK: &str = "[[domain.rack]]\nname = \"r\"\nworkers = 1\nkind = \"k\"\n\
                    size = { millicores = 1, memory_mib = 1 }\n";

fn error_of(text: &str) -> (Code, u32, String) {
    let error = Settings::parse("s.toml", text).expect_err("the settings have a mistake");
    (error.code, error.line, error.field)
}

fn settings_with(text: &str) -> String {
    format!("{text}\n[[domain]]\nname = \"d\"\n{RACK}")
}

#[googletest::test]
fn parse_invalid_settings_name_line_or_field() {
    let reversed_range = settings_with("[endpoint]\nwork_ms = { from = 2.0, to = 1.0 }");
    let zero = settings_with("[store]\nwrites_per_second = 0");
    let twice = format!("[[domain]]\nname = \"d\"\n{RACK}{RACK}");
    let unknown = settings_with("colour = 1");
    let negative = settings_with("").replace("millicores = 1", "millicores = -1");
    let zero_size = settings_with("").replace("millicores = 1", "millicores = 0");
    let cases = [
        (reversed_range, Code::BadValue, 0, "endpoint.work_ms"),
        (zero, Code::BadValue, 0, "store.writes_per_second"),
        (twice, Code::Duplicate, 0, "domain.rack"),
        (unknown, Code::UnknownField, 1, "colour"),
        (
            settings_with("listen = \"here\""),
            Code::BadValue,
            0,
            "listen",
        ),
        (
            zero_size,
            Code::BadValue,
            0,
            "domain[0].rack[0].size.millicores",
        ),
        ("domain = []".to_owned(), Code::BadValue, 0, "domain"),
    ];
    for (text, code, line, field) in cases {
        expect_that!(
            error_of(&text),
            eq(&(code, line, field.to_owned())),
            "{text}"
        );
    }
    expect_that!(error_of(&negative).0, eq(Code::BadValue));
    expect_that!(
        Settings::parse("s.toml", &settings_with("")),
        ok(anything())
    );
}

#[googletest::test]
fn named_invalid_fault_names_the_field() {
    for kind in Fault::KINDS {
        let target = if kind.starts_with("store") { "" } else { "a:0" };
        let named = Fault::named(kind, target);
        let is_valid = kind.ends_with("endpoint") || kind.starts_with("store");
        expect_that!(named.is_ok(), eq(is_valid), "{kind}");
    }
    let field = |kind, target| Fault::named(kind, target).expect_err("a mistake").field;
    expect_that!(field("rain", ""), eq("kind"));
    expect_that!(field("store-down", "r/w0"), eq("target"));
    expect_that!(field("kill-worker", ""), eq("target"));
    expect_that!(Fault::named("kill-worker", "r/w0"), ok(anything()));
}
