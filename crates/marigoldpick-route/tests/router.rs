//! Tests of the router's decisions: admission, choice, fairness, ejection and retries.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_route::endpoint::End;
use marigoldpick_route::holder::Update;
use marigoldpick_route::router::{Endpoint, Input, Output, Request, Router};
use proptest::prelude::prop;
use proptest::proptest;

fn endpoint(at: usize) -> id::Endpoint {
    id::Endpoint::new(&format!("endpoint-{at}")).unwrap()
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    let make = |at| Endpoint {
        id: endpoint(at),
        address: Arc::from("127.0.0.1:1"),
        leaving: false,
    };
    (0..count).map(make).collect()
}

fn team(name: &str) -> id::Team {
    id::Team::new(name).unwrap()
}

fn request(ticket: u64, name: &str) -> Request {
    Request {
        ticket,
        team: team(name),
        class: Class::Normal,
        deadline: Millis(1_000_000),
        retry: false,
        never_queue: false,
        avoid: None,
    }
}

/// `Harness` is a router with a clock and the decisions that it made.
struct Harness {
    router: Router,
    now: Millis,
    out: Vec<Output>,
}

impl Harness {
    fn new(settings: &str, count: usize, slots: u32) -> Self {
        let text = format!("[[service]]\nname = \"booking\"\n{settings}");
        let service = Intent::parse("t", &text).unwrap().service.remove(0);
        let mut harness = Self {
            router: Router::new(service, 1, Millis(0)),
            now: Millis(0),
            out: Vec::new(),
        };
        harness.handle(Input::Endpoints(endpoints(count)));
        let lease = |at| Update {
            endpoint: endpoint(at),
            slots: Some(slots),
            until: Millis::MAX,
        };
        harness.handle(Input::Leases((0..count).map(lease).collect()));
        harness
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        self.router.handle(input, self.now, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn submit(&mut self, request: Request) -> Vec<Output> {
        self.handle(Input::Request(request))
    }

    fn end(&mut self, ticket: u64, end: End) -> Vec<Output> {
        self.handle(Input::Ended { ticket, end })
    }

    fn advance(&mut self, span: u64) -> Vec<Output> {
        self.now += Millis(span);
        self.handle(Input::Tick)
    }
}

fn answered(millis: u64) -> End {
    End::Answered(Duration::from_millis(millis))
}

fn sent(out: &[Output]) -> Vec<(u64, usize)> {
    let sent = |output: &Output| match output {
        Output::Send {
            ticket, endpoint, ..
        } => {
            let at = endpoint.as_str().strip_prefix("endpoint-")?;
            Some((*ticket, at.parse().ok()?))
        }
        _ => None,
    };
    out.iter().filter_map(sent).collect()
}

fn refused(out: &[Output]) -> Vec<(u64, Code)> {
    let refused = |output: &Output| match output {
        Output::Refuse { ticket, code, .. } => Some((*ticket, *code)),
        _ => None,
    };
    out.iter().filter_map(refused).collect()
}

#[googletest::test]
fn request_prefers_the_endpoint_measured_faster() {
    let mut harness = Harness::new("", 2, 8);
    for ticket in 0..40 {
        let out = harness.submit(request(ticket, "a"));
        let (_, at) = sent(&out)[0];
        harness.now += Millis(5);
        harness.end(ticket, answered(if at == 0 { 10 } else { 80 }));
    }
    for ticket in 100..108 {
        let out = harness.submit(request(ticket, "a"));
        expect_that!(sent(&out), elements_are![eq(&(ticket, 0))]);
    }
}

#[googletest::test]
fn request_without_any_endpoint_is_refused_at_once() {
    let mut harness = Harness::new("", 0, 8);
    let out = harness.submit(request(1, "a"));
    expect_that!(
        refused(&out),
        elements_are![eq(&(1, Code::NotRunNoEndpoint))]
    );
}

#[googletest::test]
fn request_without_slots_waits_then_is_refused_at_once() {
    let mut harness = Harness::new("", 1, 0);
    expect_that!(harness.submit(request(1, "a")), is_empty());
    let out = harness.advance(600);
    expect_that!(
        refused(&out),
        elements_are![eq(&(1, Code::NotRunNoEndpoint))]
    );
    let out = harness.submit(request(2, "a"));
    expect_that!(
        refused(&out),
        elements_are![eq(&(2, Code::NotRunNoEndpoint))]
    );
}

#[googletest::test]
fn request_beyond_the_queue_bound_is_refused() {
    let mut harness = Harness::new("queue = 2\n", 1, 1);
    for ticket in 0..3 {
        expect_that!(refused(&harness.submit(request(ticket, "a"))), is_empty());
    }
    let out = harness.submit(request(3, "a"));
    expect_that!(
        refused(&out),
        elements_are![eq(&(3, Code::NotRunQueueFull))]
    );
    expect_that!(refused(&harness.submit(request(4, "b"))), is_empty());
}

#[googletest::test]
fn request_that_waits_past_its_deadline_is_refused() {
    let mut harness = Harness::new("", 1, 1);
    harness.submit(request(1, "a"));
    let late = Request {
        deadline: Millis(50),
        ..request(2, "a")
    };
    harness.submit(late);
    let out = harness.advance(60);
    expect_that!(refused(&out), elements_are![eq(&(2, Code::NotRunTooLate))]);
}

#[googletest::test]
fn request_of_a_low_class_is_shed_first() {
    let mut harness = Harness::new("", 1, 1);
    harness.submit(request(0, "a"));
    harness.now = Millis(100);
    harness.end(0, answered(100));
    for ticket in 1..6 {
        harness.submit(request(ticket, "a"));
    }
    let with = |ticket, class| Request {
        class,
        deadline: Millis(1_100),
        ..request(ticket, "a")
    };
    let out = harness.submit(with(10, Class::Low));
    expect_that!(refused(&out), elements_are![eq(&(10, Code::NotRunShed))]);
    expect_that!(
        refused(&harness.submit(with(11, Class::Urgent))),
        is_empty()
    );
}

#[googletest::test]
fn queue_serves_urgent_first_and_teams_by_share() {
    let settings = "weight = [{ team = \"a\", share = 3 }]\n";
    let mut harness = Harness::new(settings, 1, 1);
    harness.submit(request(0, "c"));
    for ticket in 0..40 {
        harness.submit(request(100 + ticket, "a"));
        harness.submit(request(200 + ticket, "b"));
    }
    let urgent = Request {
        class: Class::Urgent,
        ..request(399, "a")
    };
    harness.submit(urgent);
    let mut last = 0;
    let mut order = Vec::new();
    for _ in 0..24 {
        harness.now += Millis(10);
        let out = harness.end(last, answered(10));
        last = sent(&out)[0].0;
        order.push(last);
    }
    let a = order
        .iter()
        .filter(|t| (100..200).contains(*t) || **t == 399);
    expect_that!(a.count(), all![ge(16), le(20)]);
    let first = order.iter().find(|t| !(200..300).contains(*t));
    expect_that!(first, some(eq(&399)));
}

#[googletest::test]
fn endpoint_that_fails_is_ejected_but_at_most_half_are() {
    let mut harness = Harness::new("", 4, 8);
    let mut ticket = 0;
    let mut ejected = 0;
    for _ in 0..200 {
        ticket += 1;
        let out = harness.submit(request(ticket, "a"));
        if sent(&out).is_empty() {
            harness.handle(Input::Cancel {
                ticket,
                team: team("a"),
            });
        }
        let out = harness.end(ticket, End::Lost);
        ejected += out
            .iter()
            .filter(|o| matches!(o, Output::Ejected(_)))
            .count();
        harness.advance(60);
        expect_that!(harness.router.count(harness.now).ejected, le(2));
    }
    expect_that!(ejected, ge(2));
}

/// Sends requests that time out after `left` to endpoints that take 200 ms; returns how many
/// endpoints were ejected.
fn ejections_after_timeouts(left: Millis) -> u32 {
    let mut harness = Harness::new("", 4, 8);
    for ticket in 0..32 {
        expect_that!(sent(&harness.submit(request(ticket, "a"))).len(), eq(1));
    }
    harness.advance(200);
    (0..32).for_each(|ticket| drop(harness.end(ticket, answered(200))));
    for ticket in 100..140 {
        let request = Request {
            deadline: harness.now + left,
            class: Class::Urgent,
            ..request(ticket, "a")
        };
        let out = harness.submit(request);
        harness.advance(left.0);
        if !sent(&out).is_empty() {
            harness.end(ticket, End::TimedOut);
        }
        harness.advance(60);
    }
    harness.router.count(harness.now).ejected
}

#[googletest::test]
fn endpoint_that_got_a_request_too_late_is_not_ejected() {
    expect_that!(ejections_after_timeouts(Millis(250)), eq(0));
    expect_that!(ejections_after_timeouts(Millis(1_000)), ge(1));
}

#[googletest::test]
fn endpoint_ejected_is_probed_with_one_request_and_restored() {
    let mut harness = Harness::new("", 2, 8);
    let mut ticket = 0;
    while harness.router.count(harness.now).ejected == 0 {
        ticket += 1;
        let out = harness.submit(request(ticket, "a"));
        let at = sent(&out)[0].1;
        harness.end(ticket, if at == 0 { End::Lost } else { answered(100) });
        harness.advance(60);
    }
    harness.advance(2_000);
    let mut restored = false;
    for _ in 0..20 {
        ticket += 1;
        let out = harness.submit(request(ticket, "a"));
        harness.now += Millis(10);
        if !sent(&out).is_empty() {
            let out = harness.end(ticket, answered(10));
            restored |= out.iter().any(|o| matches!(o, Output::Restored(_)));
        }
    }
    expect_true!(restored);
    expect_that!(harness.router.count(harness.now).ejected, eq(0));
}

#[googletest::test]
fn leaving_endpoint_gets_no_new_requests() {
    let mut harness = Harness::new("", 2, 8);
    let mut list = endpoints(2);
    list[0].leaving = true;
    harness.handle(Input::Endpoints(list));
    for ticket in 0..8 {
        let out = harness.submit(request(ticket, "a"));
        expect_that!(sent(&out), elements_are![eq(&(ticket, 1))]);
    }
    expect_that!(sent(&harness.submit(request(9, "a"))), is_empty());
}

#[googletest::test]
fn retries_are_a_share_of_first_attempts() {
    let mut harness = Harness::new("retry_percent = 10\n", 1, 8);
    let mut retried = 0;
    for ticket in 0..1_000 {
        harness.submit(request(2 * ticket, "a"));
        harness.end(2 * ticket, answered(1));
        let retry = Request {
            retry: true,
            ..request(2 * ticket + 1, "a")
        };
        let out = harness.submit(retry);
        retried += sent(&out).len();
        harness.end(2 * ticket + 1, answered(1));
    }
    // A tenth, and the one that the budget holds at the start.
    expect_that!(retried, le(101));
    expect_that!(retried, ge(99));
}

proptest! {
    /// Each request is decided exactly once, and no endpoint is used beyond its lease.
    #[test]
    fn router_decides_each_request_once(steps in prop::collection::vec((0_u8..6, 0_u64..40), 1..300)) {
        let mut harness = Harness::new("queue = 5\n", 3, 2);
        let mut open: Vec<u64> = Vec::new();
        let mut in_flight: Vec<(u64, usize)> = Vec::new();
        let mut ticket = 0;
        for (step, number) in steps {
            let out = match step {
                0..=2 => {
                    ticket += 1;
                    open.push(ticket);
                    let deadline = harness.now + Millis(10 * number + 1);
                    harness.submit(Request { deadline, ..request(ticket, ["a", "b"][step as usize % 2]) })
                }
                3 if !in_flight.is_empty() => {
                    let (ticket, _) = in_flight.swap_remove(number as usize % in_flight.len());
                    harness.end(ticket, answered(number))
                }
                4 if !in_flight.is_empty() => {
                    let (ticket, _) = in_flight.swap_remove(number as usize % in_flight.len());
                    harness.end(ticket, End::Lost)
                }
                _ => harness.advance(number),
            };
            for decided in sent(&out).iter().map(|s| s.0).chain(refused(&out).iter().map(|r| r.0)) {
                let at = open.iter().position(|ticket| *ticket == decided);
                assert!(at.is_some(), "decided twice");
                open.remove(at.unwrap());
            }
            in_flight.extend(sent(&out));
            for endpoint in 0..3 {
                assert!(in_flight.iter().filter(|f| f.1 == endpoint).count() <= 2);
            }
            assert_eq!(harness.router.count(harness.now).queued as usize, open.len());
        }
    }
}
