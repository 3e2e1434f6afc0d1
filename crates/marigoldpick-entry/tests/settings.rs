//! Settings out of bounds are refused with an error that names the field.

use googletest::prelude::*;
use marigoldpick_core::document::Error;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::Settings;

const ENTRY: &str = r#"
entry = "turku-1"
domain = "turku"
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
inner = "127.0.0.1:0"
platform = "http://127.0.0.1:7300"
"#;

fn parse(ownership: &str) -> std::result::Result<Settings, Error> {
    Settings::parse(
        "entry.toml",
        &format!("{ENTRY}\n[ownership]\n{ownership}\n"),
    )
}

#[googletest::test]
fn parse_ownership_out_of_bounds_names_the_field() {
    for line in [
        "renew_ms = 0",
        "lease_ms = 0",
        "lease_ms = 1000",
        "beat_ms = 0",
        "far_dead_ms = 0",
        "snapshot_every = 0",
        "recent = 0",
        "shards = 0",
        "shards = 4000000000",
        "drift_permille = 501",
    ] {
        let refused = parse(line).expect_err("out of bounds");
        expect_that!(refused.code, eq(Code::BadValue), "{line}");
        let field = line.split(' ').next().unwrap_or_default();
        let place = format!("102 BadValue: entry.toml: ownership.{field}:");
        expect_that!(refused.to_string(), starts_with(place), "{line}");
    }
}

#[googletest::test]
fn parse_ownership_negative_names_the_line() {
    let refused = parse("renew_ms = -1").expect_err("negative");
    expect_that!(refused.code, eq(Code::BadValue));
    expect_that!(refused.line, gt(1));
}

#[googletest::test]
fn parse_ownership_within_bounds_is_taken() {
    expect_that!(parse("shards = 8\nrenew_ms = 2000").is_ok(), eq(true));
}
