//! The loss rate, without a lead.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::port::Order;
use marigoldpick_job::lead::losses::LossRate;

/// A lost order that is sent again must not count a second time when it times out, or two losses would look like four.
#[googletest::test]
fn lost_order_counts_once() {
    let (hold, now) = (
        Order::Hold {
            until: None,
            seen: 0,
            wait: Millis(300),
        },
        Millis(10),
    );
    let mut losses = LossRate::default();
    for number in 1..=3 {
        losses.record_overdue_hold(number, now);
        losses.record_overdue_hold(number, now);
        losses.record((&hold, number), true, true, now);
    }
    expect_false!(losses.is_high(now));
    // The orders to one worker count as one loss among the last starts, and need four among all orders.
    let mut losses = LossRate::default();
    (0..3).for_each(|number| losses.record_retry(number, number == 0, now));
    expect_false!(losses.is_high(now));
    (3..5).for_each(|number| losses.record_retry(number, true, now));
    expect_true!(losses.is_high(now));
}
