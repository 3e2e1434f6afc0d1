//! Decisions of a node that need no surroundings.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_node::election::hesitation;
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
