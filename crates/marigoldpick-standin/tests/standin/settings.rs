//! Settings and faults: each mistake gives its numbered error with the line or the field.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_standin::{Fault, Settings};

const RACK: &str = "[[domain.rack]]\nname = \"r\"\nworkers = 1\nkind = \"k\"\n\
                    size = { millicores = 1, memory_mib = 1 }\n";

fn mistake(text: &str) -> (Code, u32, String) {
    let error = Settings::parse("s.toml", text).expect_err("the settings have a mistake");
    (error.code, error.line, error.field)
}

fn with(text: &str) -> String {
    format!("{text}\n[[domain]]\nname = \"d\"\n{RACK}")
}

#[googletest::test]
fn parse_mistakes_name_line_or_field() {
    let no_work = with("[endpoint]\nwork_ms = { from = 2.0, to = 1.0 }");
    let zero = with("[store]\nwrites_per_second = 0");
    let twice = format!("[[domain]]\nname = \"d\"\n{RACK}{RACK}");
    let unknown = with("colour = 1");
    let negative = with("").replace("millicores = 1", "millicores = -1");
    let empty = with("").replace("millicores = 1", "millicores = 0");
    let cases = [
        (no_work, Code::BadValue, 0, "endpoint.work_ms"),
        (zero, Code::BadValue, 0, "store.writes_per_second"),
        (twice, Code::Duplicate, 0, "domain.rack"),
        (unknown, Code::UnknownField, 1, "colour"),
        (with("listen = \"here\""), Code::BadValue, 0, "listen"),
        (
            empty,
            Code::BadValue,
            0,
            "domain[0].rack[0].size.millicores",
        ),
        ("domain = []".to_owned(), Code::BadValue, 0, "domain"),
    ];
    for (text, code, line, field) in cases {
        expect_that!(
            mistake(&text),
            eq(&(code, line, field.to_owned())),
            "{text}"
        );
    }
    expect_that!(mistake(&negative).0, eq(Code::BadValue));
    expect_that!(Settings::parse("s.toml", &with("")), ok(anything()));
}

#[googletest::test]
fn named_fault_mistakes_name_the_field() {
    for kind in Fault::KINDS {
        let target = if kind.starts_with("store") { "" } else { "a:0" };
        let named = Fault::named(kind, target);
        let takes_task = kind.ends_with("endpoint") || kind.starts_with("store");
        expect_that!(named.is_ok(), eq(takes_task), "{kind}");
    }
    let field = |kind, target| Fault::named(kind, target).expect_err("a mistake").field;
    expect_that!(field("rain", ""), eq("kind"));
    expect_that!(field("store-down", "r/w0"), eq("target"));
    expect_that!(field("kill-worker", ""), eq("target"));
    expect_that!(Fault::named("kill-worker", "r/w0"), ok(anything()));
}
