//! Tests that docs/CAPACITY.md has the constants of the code, and that its results follow from its
//! slopes.

use googletest::prelude::*;
use marigoldpick::shard::Settings;
use marigoldpick_core::prelude::Millis;

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
        .unwrap_or_else(|_| panic!("'{name}': '{text}' is not a number"))
}

fn slope(name: &str) -> f64 {
    number("Slopes", name, 1)
}

fn size(name: &str) -> f64 {
    number("Sizes", name, 1)
}

/// Returns the lease renewals per second of a lead with this number of workers.
fn renewals(workers: f64) -> f64 {
    let interval = Settings::default().renew_interval(workers.round() as usize);
    workers / (interval.0 as f64 / 1_000.0)
}

fn expect_result(name: &str, computed: f64) {
    let documented = number("Each entry at the target", name, 2);
    let close = (documented - computed).abs() <= computed.abs() * 0.01 + 0.05;
    expect_that!(
        close,
        eq(true),
        "{name}: {documented} documented, {computed} computed"
    );
}

#[googletest::test]
fn constants_match_the_code() {
    let settings = Settings::default();
    let constants = [
        ("renew_ms", settings.renew_ms),
        ("renew_most_ms", settings.renew_most_ms),
        ("renewals", Millis(u64::from(settings.renewals))),
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
    let renewals = renewals(workers);
    let tasks = size("running tasks") / entries;
    let starts = size("task starts a second") / entries;
    let changes = size("config changes a day") / 86_400.0;
    let jobs = size("open jobs");

    expect_result("renewals", renewals);
    let bytes_workers = renewals * slope("renewal bytes");
    let bytes_beats = near * slope("near bytes") + far * slope("far bytes");
    let bytes_changes = changes * slope("change bytes");
    let bytes_starts = starts * slope("start bytes");
    expect_result("bytes: workers", bytes_workers);
    expect_result("bytes: beats", bytes_beats);
    expect_result("bytes: changes", bytes_changes);
    expect_result("bytes: idle", bytes_workers + bytes_beats + bytes_changes);
    expect_result("bytes: starts", bytes_starts);
    let idle = bytes_workers + bytes_beats + bytes_changes;
    let unpaced_renewals = (workers - renewals) * slope("renewal bytes");
    expect_result("bytes: peak", idle + bytes_starts + unpaced_renewals);

    let idle = slope("entry processor")
        + renewals * slope("renewal processor")
        + near * slope("near processor")
        + tasks * slope("task processor");
    expect_result("processor: idle", idle / 10_000.0);
    expect_result(
        "processor: peak",
        (idle
            + starts * slope("start processor")
            + (workers - renewals) * slope("renewal processor"))
            / 10_000.0,
    );

    let memory = slope("entry memory")
        + workers * slope("worker memory")
        + tasks * slope("task memory")
        + jobs * slope("job memory")
        + size("teams") * slope("team memory");
    expect_result("memory", memory / 1_024.0);
}

#[googletest::test]
fn table_of_sites_follows_from_the_slopes() {
    let settings = Settings::default();
    let sites = [
        ("today", 50.0, 3.0, 8.0),
        ("today, four domains", 50.0, 4.0, 8.0),
        ("target, 24 entries", 7_400.0, 8.0, 24.0),
        ("target, 48 entries", 7_400.0, 8.0, 48.0),
        ("target, 64 entries", 7_400.0, 8.0, 64.0),
        ("target, 96 entries", 7_400.0, 8.0, 96.0),
    ];
    for (name, workers, domains, entries) in sites {
        let documented_value = |column: usize| number("How many", name, column);
        // The firms' sites have one shard per failure domain, the target sizes one per entry.
        let leads = if entries > 8.0 { entries } else { domains };
        let led: f64 = workers / leads;
        let interval = settings.renew_interval(led.round() as usize);
        let near = entries / domains - 1.0;
        let far = entries - 1.0 - near;
        let renewed = renewals(led);
        let bytes = renewed * slope("renewal bytes")
            + near * slope("near bytes")
            + far * slope("far bytes");
        let processor = slope("entry processor")
            + renewed * slope("renewal processor")
            + near * slope("near processor");
        let paced = settings.with_renew_interval(interval);
        let computed = [
            led,
            interval.0 as f64 / 1_000.0,
            bytes / 1_000.0,
            processor / 10_000.0,
            paced.lapse_wait().0 as f64 / 1_000.0,
        ];
        for (column, computed) in computed.iter().enumerate() {
            let documented = documented_value(column + 1);
            let close = (documented - computed).abs() <= computed.abs() * 0.01 + 0.05;
            expect_that!(
                close,
                eq(true),
                "{name}, column {column}: {documented} documented, {computed} computed"
            );
        }
    }
}
