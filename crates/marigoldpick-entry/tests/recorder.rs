//! Which events an entry keeps for the time line, and which of them a page returns.

use googletest::prelude::*;
use marigoldpick_core::operator::Timeline;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::Settings;
use marigoldpick_entry::recorder::{Kind, Note, Recorder};

const SETTINGS: &str = r#"
entry = "turku-1"
domain = "turku"
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
inner = "127.0.0.1:0"
platform = "http://127.0.0.1:7300"
"#;

fn recorder(events: usize, requests: usize) -> Recorder {
    Recorder::new(Name::new("turku-1").expect("a name"), 7, events, requests)
}

fn record_event(recorder: &Recorder) {
    recorder.record(Millis(1), Note::new("shard", "lead-taken", "turku/0", ""));
}

fn record_step(recorder: &Recorder) {
    let request = id::Request::new("r-1").expect("a name");
    recorder
        .trail()
        .record(Millis(1), &request, 1, Kind::Accepted);
}

fn numbers(page: &Timeline) -> Vec<u64> {
    page.events.iter().map(|e| e.mark.sequence).collect()
}

#[googletest::test]
fn page_requests_evict_no_other_events() {
    let recorder = recorder(2, 3);
    record_event(&recorder);
    (0..10).for_each(|_| record_step(&recorder));
    record_event(&recorder);
    let page = recorder.page(0);
    expect_that!(numbers(&page), eq(&vec![1, 9, 10, 11, 12]));
    expect_that!(page.dropped, eq(7));
    expect_that!(page.next, eq(12));
}

#[googletest::test]
fn page_after_number_has_later_events_only() {
    let recorder = recorder(10, 10);
    record_event(&recorder);
    record_step(&recorder);
    record_event(&recorder);
    expect_that!(numbers(&recorder.page(1)), eq(&vec![2, 3]));
    let last = recorder.page(3);
    expect_that!(numbers(&last), eq(&Vec::<u64>::new()));
    expect_that!((last.next, last.dropped), eq((3, 0)));
}

#[googletest::test]
fn page_of_many_events_continues_without_loss() {
    let recorder = recorder(3_000, 3_000);
    for _ in 0..3_000 {
        record_event(&recorder);
        record_step(&recorder);
    }
    let (mut read, mut after) = (Vec::new(), 0);
    loop {
        let page = recorder.page(after);
        expect_that!(page.dropped, eq(0));
        if page.events.is_empty() {
            break;
        }
        read.extend(numbers(&page));
        after = page.next;
    }
    expect_that!(read, eq(&(1..=6_000).collect::<Vec<u64>>()));
}

#[googletest::test]
fn settings_of_no_or_too_many_events_are_refused() {
    for field in ["events", "requests"] {
        for value in ["0", "200001"] {
            let text = format!("{field} = {value}\n{SETTINGS}");
            let refused = Settings::parse("entry.toml", &text).expect_err("out of bounds");
            expect_that!(refused.code, eq(Code::BadValue));
            expect_that!(refused.to_string(), contains_substring(field));
        }
        let text = format!("{field} = -1\n{SETTINGS}");
        let refused = Settings::parse("entry.toml", &text).expect_err("out of bounds");
        expect_that!(refused.code, eq(Code::BadValue));
    }
}
