//! Holds docs/CAPACITY.md against the code's constants, and its results against its own slopes.

use googletest::prelude::*;
use marigoldpick::shard::Settings;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

/// Returns the cell `column` of the row that begins with `name` in the table under `heading`.
fn cell(heading: &str, name: &str, column: usize) -> String {
    let section = PAGE
        .split("\n## ")
        .find(|section| section.starts_with(heading))
        .unwrap_or_else(|| panic!("no section '{heading}'"));
    let row = section
        .lines()
        .find(|line| line.starts_with(&format!("| `{name}` ")))
        .unwrap_or_else(|| panic!("no row '{name}' under '{heading}'"));
    let cell = row.split('|').nth(column + 1);
    cell.unwrap_or_default().trim().to_owned()
}

fn number(heading: &str, name: &str, column: usize) -> f64 {
    let text = cell(heading, name, column).replace(',', "");
    text.parse()
        .unwrap_or_else(|_| panic!("'{name}': '{text}' is no number"))
}

fn slope(name: &str) -> f64 {
    number("Slopes", name, 1)
}

fn size(name: &str) -> f64 {
    number("Sizes", name, 1)
}

fn expect_result(name: &str, computed: f64) {
    let told = number("Each entry at the target", name, 2);
    let close = (told - computed).abs() <= computed.abs() * 0.01 + 0.05;
    expect_that!(
        close,
        eq(true),
        "{name}: the page tells {told}, it is {computed}"
    );
}

#[googletest::test]
fn constants_are_those_of_the_code() {
    let settings = Settings::default();
    let constants = [
        ("renew_ms", settings.renew_ms),
        ("lease_ms", settings.lease_ms),
        ("majority_ms", settings.majority_ms),
        ("beat_ms", settings.beat_ms),
        ("far_beat_ms", settings.far_beat_ms),
        ("dead_ms", settings.dead_ms),
        ("record_ms", settings.record_ms),
    ];
    for (name, value) in constants {
        expect_that!(number("Constants", name, 1), eq(value.0 as f64), "{name}");
    }
}

#[googletest::test]
fn results_follow_from_the_slopes() {
    let entries = size("entries");
    let near = entries / size("failure domains") - 1.0;
    let far = entries - 1.0 - near;
    let workers = size("workers") / entries;
    let tasks = size("running tasks") / entries;
    let starts = size("task starts a second") / entries;
    let changes = size("config changes a day") / 86_400.0;
    let jobs = size("open jobs");

    let bytes_workers = workers * slope("worker bytes");
    let bytes_beats = near * slope("near bytes") + far * slope("far bytes");
    let bytes_changes = changes * slope("change bytes");
    let bytes_starts = starts * slope("start bytes");
    expect_result("bytes: workers", bytes_workers);
    expect_result("bytes: beats", bytes_beats);
    expect_result("bytes: changes", bytes_changes);
    expect_result("bytes: idle", bytes_workers + bytes_beats + bytes_changes);
    expect_result("bytes: starts", bytes_starts);

    let idle = slope("entry processor")
        + workers * slope("worker processor")
        + near * slope("near processor")
        + tasks * slope("task processor");
    expect_result("processor: idle", idle / 10_000.0);
    expect_result(
        "processor: peak",
        starts.mul_add(slope("start processor"), idle) / 10_000.0,
    );

    let memory = slope("entry memory")
        + workers * slope("worker memory")
        + tasks * slope("task memory")
        + jobs * slope("job memory");
    expect_result("memory", memory / 1_024.0);
}
