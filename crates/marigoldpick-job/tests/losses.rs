//! The loss rate, without a lead.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Part;
use marigoldpick_core::work::port::Order;
use marigoldpick_job::lead::losses::{LossRate, Origin, Recent};

fn origin(domain: &str) -> Origin {
    Origin {
        domain: id::Domain::new(domain).expect("a name"),
        is_only: false,
    }
}

fn stop() -> Order {
    let part = Part {
        job: id::Job::new("a").expect("a name"),
        occurrence: 0,
        step: 0,
    };
    Order::Stop {
        task: part.task(0),
        run: 1,
    }
}

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
        losses.record((&hold, number), true, Recent::Ignored, now);
    }
    expect_false!(losses.is_high(now));
    // The orders to one worker count as one loss among the last starts, and need four among all orders.
    let mut losses = LossRate::default();
    let (a, b) = (origin("a"), origin("b"));
    (0..3).for_each(|number| losses.record_retry(number, (number == 0).then_some(&a), now));
    expect_false!(losses.is_high(now));
    losses.record_retry(3, Some(&b), now);
    losses.record_retry(4, Some(&a), now);
    expect_true!(losses.is_high(now));
}

/// A relay's connection that stalls delays the answers of one failure domain. It must not bring about probes to all
/// workers; where there is no other domain, a loss can't be told from a stall.
#[googletest::test]
fn losses_of_one_domain_are_no_loss_everywhere() {
    let orders: Vec<Order> = (0..1_000).map(|_| stop()).collect();
    for is_only in [false, true] {
        let mut losses = LossRate::default();
        let origin = Origin {
            is_only,
            ..origin("a")
        };
        for (number, order) in (0..).zip(&orders) {
            losses.record((order, number), false, Recent::Answered, Millis(10));
        }
        (1_000..1_010).for_each(|n| losses.record_retry(n, Some(&origin), Millis(20)));
        expect_that!(losses.is_high(Millis(20)), eq(is_only));
    }
}
