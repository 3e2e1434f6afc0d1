//! Decisions of a node that need no surroundings.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::Fault;
use marigoldpick_node::election::hesitation;
use marigoldpick_node::reach::Reach;
use marigoldpick_node::retry;

/// Site with entries of very unequal size: leads belong on large ones, but any may lead in need.
#[googletest::test]
fn hesitation_lets_larger_entries_go_first() {
    expect_that!(hesitation(500, Some(500)), eq(Millis::ZERO));
    expect_that!(hesitation(250, Some(500)), eq(Millis::ZERO));
    expect_that!(hesitation(250, None), eq(Millis::ZERO));
    let small = hesitation(90, Some(500));
    expect_that!(small, gt(hesitation(200, Some(500))));
    expect_that!(small, lt(Millis(1_000)));
    expect_that!(hesitation(90, Some(90)), eq(Millis::ZERO));
}

/// Callers come 0, 1, .. 4 seconds into an outage of 5.3 s and try five times in all: the waits
/// that they are told must bring each of them past its end.
#[googletest::test]
fn retry_after_carries_callers_past_an_outage_of_five_seconds() {
    let end = 5_300;
    for arrival in (0..5_000).step_by(100) {
        let mut now = arrival;
        let mut tries = 1;
        while now < end && tries < 5 {
            now += retry::after(Some(Millis(now))).0;
            tries += 1;
        }
        expect_that!(now, ge(end), "arrival at {arrival} ms");
        // Nor do they come much later than they could.
        expect_that!(now, le(end + 2_000), "arrival at {arrival} ms");
    }
    expect_that!(retry::after(None), eq(Millis(1_000)));
}

/// A store that was silent is back at 1,000; calls sent before that end by their time-out.
#[googletest::test]
fn reach_time_out_of_an_earlier_call_is_no_news() {
    let mut reach = Reach::default();
    expect_true!(reach.note(Millis(100), Some(Fault::Unknown), Millis(800)));
    expect_false!(reach.answers());
    expect_true!(reach.note(Millis(1_000), None, Millis(1_005)));
    expect_false!(reach.note(Millis(900), Some(Fault::Unknown), Millis(1_600)));
    expect_true!(reach.answers());
    expect_that!(reach.age(Millis(1_605)), eq(Millis(600)));
    // A later call that fails is news.
    expect_true!(reach.note(Millis(1_700), Some(Fault::Unknown), Millis(2_400)));
    expect_false!(reach.answers());
}

#[googletest::test]
fn reach_refusals_in_a_row_are_an_outage() {
    let mut reach = Reach::default();
    let refused = Some(Fault::Overloaded);
    expect_false!(reach.note(Millis(1), refused, Millis(1)));
    expect_false!(reach.note(Millis(2), refused, Millis(2)));
    expect_false!(reach.note(Millis(3), None, Millis(3)));
    expect_false!(reach.note(Millis(4), refused, Millis(4)));
    expect_false!(reach.note(Millis(5), refused, Millis(5)));
    expect_true!(reach.note(Millis(6), refused, Millis(6)));
    expect_false!(reach.answers());
}
