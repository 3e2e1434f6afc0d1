//! Tests that the merge of several processes' events is causal, whatever their clocks show.

use googletest::prelude::*;
use marigoldpick::core::prelude::*;
use marigoldpick::core::timeline::{Event, Mark, Message, Side};
use marigoldpick::timeline;
use proptest::prelude::{Just, Strategy, any, prop, proptest};

fn mark(process: &str, sequence: u64) -> Mark {
    Mark {
        process: Name::new(process).expect("a name"),
        incarnation: 7,
        sequence,
    }
}

fn event(process: &str, sequence: u64, at: u64, about: &str) -> Event {
    Event {
        mark: mark(process, sequence),
        at: Millis(at),
        cause: None,
        part: Name::new("shard").expect("a name"),
        what: Name::new("task-started").expect("a name"),
        about: about.to_owned(),
        note: String::new(),
        message: None,
    }
}

fn with_cause(mut event: Event, cause: Mark) -> Event {
    event.cause = Some(cause);
    event
}

fn order(events: &[Event]) -> Vec<String> {
    events
        .iter()
        .map(|e| format!("{}{}", e.mark.process, e.mark.sequence))
        .collect()
}

#[googletest::test]
fn merge_orders_by_cause_before_clock() {
    let first = event("a", 1, 9_000, "");
    let second = with_cause(event("b", 1, 5, ""), mark("a", 1));
    let merged = timeline::merge(vec![second, first]);
    expect_that!(order(&merged), elements_are![eq("a1"), eq("b1")]);
}

#[googletest::test]
fn merge_orders_by_sequence_before_clock() {
    let merged = timeline::merge(vec![event("a", 2, 1, ""), event("a", 1, 8, "")]);
    expect_that!(order(&merged), elements_are![eq("a1"), eq("a2")]);
}

#[googletest::test]
fn merge_orders_unrelated_events_by_time() {
    let merged = timeline::merge(vec![event("a", 1, 8, ""), event("b", 1, 3, "")]);
    expect_that!(order(&merged), elements_are![eq("b1"), eq("a1")]);
}

#[googletest::test]
fn merge_removes_duplicate_events() {
    let merged = timeline::merge(vec![event("a", 1, 8, ""), event("a", 1, 8, "")]);
    expect_that!(merged.len(), eq(1));
}

#[googletest::test]
fn merge_ignores_unknown_cause() {
    let merged = timeline::merge(vec![with_cause(event("b", 4, 5, ""), mark("gone", 1))]);
    expect_that!(order(&merged), elements_are![eq("b4")]);
}

#[googletest::test]
fn merge_cycle_of_causes_keeps_all_events() {
    let one = with_cause(event("a", 1, 5, ""), mark("b", 1));
    let two = with_cause(event("b", 1, 4, ""), mark("a", 1));
    let after = event("a", 2, 6, "");
    let merged = timeline::merge(vec![one, two, after]);
    expect_that!(order(&merged), elements_are![eq("b1"), eq("a1"), eq("a2")]);
}

fn with_message(mut event: Event, name: &str, side: Side) -> Event {
    event.message = Some(Message::new(name.to_owned(), side));
    event
}

#[googletest::test]
fn merge_orders_receipt_of_message_after_sending() {
    let sent = with_message(event("a", 1, 9_000, "r"), "r#1>b", Side::Sent);
    let received = with_message(event("b", 1, 5, "r"), "r#1>b", Side::Received);
    let merged = timeline::merge(vec![received, sent]);
    expect_that!(order(&merged), elements_are![eq("a1"), eq("b1")]);
    expect_that!(merged[1].cause, some(eq(&mark("a", 1))));
}

#[googletest::test]
fn merge_ambiguous_message_sets_no_cause() {
    let sent = |process| with_message(event(process, 1, 9, "r"), "r#1>b", Side::Sent);
    let received = |number| with_message(event("b", number, 5, "r"), "r#1>b", Side::Received);
    let twice_sent = timeline::merge(vec![sent("a"), sent("c"), received(1)]);
    let twice_received = timeline::merge(vec![sent("a"), received(1), received(2)]);
    let never_sent = timeline::merge(vec![received(1), received(2)]);
    for merged in [twice_sent, twice_received, never_sent] {
        expect_that!(merged.iter().all(|e| e.cause.is_none()), eq(true));
    }
}

#[googletest::test]
fn follow_task_keeps_only_its_runs_and_causes() {
    let events = timeline::merge(vec![
        event("a", 1, 1, "plan-1"),
        event("a", 2, 2, "other:3"),
        with_cause(event("b", 1, 3, "maps:1#1"), mark("a", 1)),
        event("b", 2, 4, "maps:12"),
        event("b", 3, 5, "maps:1"),
    ]);
    let followed = timeline::follow(events, "maps:1");
    expect_that!(
        order(&followed),
        elements_are![eq("a1"), eq("b1"), eq("b3")]
    );
}

/// Generates events of three processes whose causes are earlier events of the list.
fn histories() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(
        (0_usize..3, any::<u16>(), any::<prop::sample::Index>()),
        1..60,
    )
    .prop_map(|steps| {
        let mut events: Vec<Event> = Vec::new();
        for (process, at, cause) in steps {
            let name = ["a", "b", "c"][process];
            let own = events.iter().filter(|e| e.mark.process.as_str() == name);
            let mut next = event(name, own.count() as u64 + 1, u64::from(at), "");
            if !events.is_empty() && at % 2 == 0 {
                next.cause = Some(cause.get(&events).mark.clone());
            }
            events.push(next);
        }
        events
    })
}

proptest! {
    #[test]
    fn merge_keeps_all_events_after_predecessors_and_causes(
        (given, shuffled) in histories()
            .prop_flat_map(|events| (Just(events.clone()), Just(events).prop_shuffle()))
    ) {
        let merged = timeline::merge(shuffled);
        assert_eq!(merged.len(), given.len());
        let place = |mark: &Mark| merged.iter().position(|e| e.mark == *mark);
        for (at, event) in merged.iter().enumerate() {
            if event.mark.sequence > 1 {
                let before = mark(event.mark.process.as_str(), event.mark.sequence - 1);
                assert!(place(&before) < Some(at));
            }
            if let Some(cause) = &event.cause {
                assert!(place(cause) < Some(at));
            }
        }
    }
}
