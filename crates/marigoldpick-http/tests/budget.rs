//! Tests of the decisions on connections and bytes, without a network.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_http::Settings;
use marigoldpick_http::budget::{
    BASE_BYTES, Budget, Held, Limits, MIN_EVICTION_AGE, MIN_IDLE_EVICTION_AGE, Opened, Port, Stage,
};

const BODY: usize = 262_144;
const LIMITS: Limits = Limits {
    bytes: 4 << 20,
    connections: 32,
};

fn open(budget: &mut Budget, now: Millis) -> u64 {
    match budget.open(Port::Callers, now, Millis::MAX) {
        Opened::Accepted(id, _) => id,
        Opened::Refused => panic!("refused"),
    }
}

/// Opens connections that hold bodies until the share of large requests is used up.
fn crowd(budget: &mut Budget, now: Millis) -> Vec<u64> {
    let ids: Vec<u64> = (0..12).map(|_| open(budget, now)).collect();
    for id in &ids {
        budget.enter(*id, Stage::Body, now, Millis::MAX);
        expect_that!(budget.hold(*id, BODY, now), eq(&Held::Granted(Vec::new())));
    }
    ids
}

#[googletest::test]
fn hold_crowd_of_young_bodies_is_not_closed_for_a_newcomer() {
    let mut budget = Budget::new(LIMITS);
    crowd(&mut budget, Millis(0));
    let newcomer = open(&mut budget, Millis(1));
    expect_that!(budget.hold(newcomer, BODY, Millis(1)), eq(&Held::Refused));
    // A small request is granted what is left beside the large ones.
    let small = budget.hold(newcomer, 2 * BASE_BYTES, Millis(1));
    expect_that!(small, eq(&Held::Granted(Vec::new())));
}

#[googletest::test]
fn hold_oldest_stalled_body_makes_room() {
    let mut budget = Budget::new(LIMITS);
    let ids = crowd(&mut budget, Millis(0));
    // The first one has been read whole meanwhile, so that it must be answered.
    budget.enter(ids[0], Stage::Handling, Millis(500), Millis::MAX);
    let newcomer = open(&mut budget, MIN_EVICTION_AGE);
    let held = budget.hold(newcomer, BODY, MIN_EVICTION_AGE);
    expect_that!(held, eq(&Held::Granted(vec![ids[1]])));
    expect_false!(budget.enter(ids[1], Stage::Handling, MIN_EVICTION_AGE, Millis::MAX));
    expect_true!(budget.enter(ids[2], Stage::Handling, MIN_EVICTION_AGE, Millis::MAX));
}

#[googletest::test]
fn hold_connections_that_are_closing_exceed_the_budget_by_a_quarter_at_most() {
    let mut budget = Budget::new(LIMITS);
    crowd(&mut budget, Millis(0));
    let newcomers: Vec<u64> = (0..12)
        .map(|_| open(&mut budget, MIN_EVICTION_AGE))
        .collect();
    let granted = newcomers
        .iter()
        .filter(|id| budget.hold(**id, BODY, MIN_EVICTION_AGE) != Held::Refused);
    expect_that!(granted.count(), eq(4));
    expect_that!(budget.usage().1, le(LIMITS.bytes * 5 / 4));
}

#[googletest::test]
fn hold_request_over_the_share_is_too_large() {
    let mut budget = Budget::new(LIMITS);
    let id = open(&mut budget, Millis(0));
    let held = budget.hold(id, LIMITS.bytes, Millis(0));
    expect_that!(held, eq(&Held::TooLarge));
}

#[googletest::test]
fn close_releases_what_was_held() {
    let mut budget = Budget::new(LIMITS);
    for id in crowd(&mut budget, Millis(0)) {
        budget.close(id);
    }
    expect_that!(budget.usage(), eq((0, 0)));
    crowd(&mut budget, Millis(0));
}

#[googletest::test]
fn open_closes_the_connection_that_waited_longest() {
    let mut budget = Budget::new(LIMITS);
    let ids: Vec<u64> = (0..30).map(|_| open(&mut budget, Millis(0))).collect();
    budget.enter(ids[0], Stage::Idle, Millis(100), Millis::MAX);
    let now = MIN_IDLE_EVICTION_AGE;
    let opened = budget.open(Port::Callers, now, Millis::MAX);
    expect_that!(opened, eq(Opened::Accepted(30, Some(ids[1]))));
    // Other listeners have connections of their own.
    let other = budget.open(Port::Readiness, now, Millis::MAX);
    expect_that!(other, eq(Opened::Accepted(31, None)));
}

#[googletest::test]
fn open_more_connections_than_the_limit_are_refused() {
    let mut budget = Budget::new(LIMITS);
    for _ in 0..32 {
        open(&mut budget, Millis(0));
    }
    let opened = budget.open(Port::Callers, Millis(1), Millis::MAX);
    expect_that!(opened, eq(Opened::Refused));
}

#[googletest::test]
fn overdue_requests_that_were_read_are_left_alone() {
    let mut budget = Budget::new(LIMITS);
    let ids = [
        open(&mut budget, Millis(0)),
        open(&mut budget, Millis(0)),
        open(&mut budget, Millis(0)),
    ];
    budget.enter(ids[0], Stage::Handling, Millis(0), Millis(10));
    budget.enter(ids[1], Stage::Body, Millis(0), Millis(10));
    budget.enter(ids[2], Stage::Head, Millis(0), Millis(11));
    expect_that!(budget.overdue(Millis(10)), eq(&vec![(ids[1], Stage::Body)]));
    expect_that!(budget.overdue(Millis(10)), is_empty());
}

#[googletest::test]
fn limits_follow_the_machine() {
    let of = |machine_mb, descriptors| {
        let settings = Settings {
            machine_mb,
            descriptors,
            ..Settings::default()
        };
        let limits = settings.limits();
        (limits.bytes >> 20, limits.connections)
    };
    expect_that!(of(120, 3_075), eq((15, 1_200)));
    expect_that!(of(512, 3_075), eq((64, 1_437)));
    expect_that!(of(512, 10_250), eq((64, 5_025)));
}
