//! Tests that a report names each count that breaks a promise.

use googletest::prelude::*;
use marigoldpick::dev::Report;

fn valid_report() -> Report {
    Report {
        tasks_accepted: 5,
        tasks_completed: 5,
        requests_sent: 9,
        requests_answered: 6,
        requests_not_run: 2,
        requests_unknown: 1,
        configs_accepted: 3,
        ..Report::default()
    }
}

#[googletest::test]
fn broken_is_empty_for_complete_run() {
    expect_that!(valid_report().broken(), is_empty());
}

/// A change of one count that breaks a promise.
type BreakCount = fn(&mut Report);

#[googletest::test]
fn broken_accepts_tasks_that_were_reported_as_failed() {
    let mut report = valid_report();
    report.tasks_completed = 3;
    report.tasks_failed = 2;
    expect_that!(report.broken(), is_empty());
    report.tasks_failed = 1;
    expect_that!(
        report.broken(),
        elements_are![contains_substring("3 of 5 accepted tasks")]
    );
}

#[googletest::test]
fn broken_names_each_count() {
    let breaks: [(&str, BreakCount); 10] = [
        ("tasks_started_twice", |r| r.tasks_started_twice = 1),
        ("6 of 5 accepted tasks", |r| r.tasks_completed = 6),
        ("tasks_in_two_places", |r| r.tasks_in_two_places = 1),
        ("vm_overloads", |r| r.vm_overloads = 1),
        ("requests_run_twice", |r| r.requests_run_twice = 1),
        ("answers_wrong_or_cut", |r| r.answers_wrong_or_cut = 1),
        ("not_run_but_ran", |r| r.not_run_but_ran = 1),
        ("configs_reverted", |r| r.configs_reverted = 1),
        ("4 of 5 accepted tasks", |r| r.tasks_completed = 4),
        ("8 of 9 requests", |r| r.requests_answered = 5),
    ];
    for (expected, break_count) in breaks {
        let mut report = valid_report();
        break_count(&mut report);
        expect_that!(report.broken(), elements_are![contains_substring(expected)]);
    }
}
