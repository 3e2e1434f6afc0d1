//! The router's decisions: admission, choice, fairness, ejection, retries.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_route::back::End;
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
        spare: false,
        avoid: None,
    }
}

/// `Desk` is a router with its clock and what it decided.
struct Desk {
    router: Router,
    now: Millis,
    out: Vec<Output>,
}

impl Desk {
    fn new(settings: &str, count: usize, slots: u32) -> Self {
        let text = format!("[[service]]\nname = \"booking\"\n{settings}");
        let service = Intent::parse("t", &text).unwrap().service.remove(0);
        let mut desk = Self {
            router: Router::new(service, 1, Millis(0)),
            now: Millis(0),
            out: Vec::new(),
        };
        desk.tell(Input::Endpoints(endpoints(count)));
        let lease = |at| Update {
            endpoint: endpoint(at),
            slots: Some(slots),
            until: Millis::MAX,
        };
        desk.tell(Input::Leases((0..count).map(lease).collect()));
        desk
    }

    fn tell(&mut self, input: Input) -> Vec<Output> {
        self.router.handle(input, self.now, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn ask(&mut self, request: Request) -> Vec<Output> {
        self.tell(Input::Request(request))
    }

    fn end(&mut self, ticket: u64, end: End) -> Vec<Output> {
        self.tell(Input::Ended { ticket, end })
    }

    fn pass(&mut self, span: u64) -> Vec<Output> {
        self.now += Millis(span);
        self.tell(Input::Tick)
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
    let mut desk = Desk::new("", 2, 8);
    for ticket in 0..40 {
        let out = desk.ask(request(ticket, "a"));
        let (_, at) = sent(&out)[0];
        desk.now += Millis(5);
        desk.end(ticket, answered(if at == 0 { 10 } else { 80 }));
    }
    for ticket in 100..108 {
        let out = desk.ask(request(ticket, "a"));
        expect_that!(sent(&out), elements_are![eq(&(ticket, 0))]);
    }
}

#[googletest::test]
fn request_without_any_endpoint_is_refused_at_once() {
    let mut desk = Desk::new("", 0, 8);
    let out = desk.ask(request(1, "a"));
    expect_that!(
        refused(&out),
        elements_are![eq(&(1, Code::NotRunNoEndpoint))]
    );
}

#[googletest::test]
fn request_without_slots_waits_a_little_then_is_refused_at_once() {
    let mut desk = Desk::new("", 1, 0);
    expect_that!(desk.ask(request(1, "a")), is_empty());
    let out = desk.pass(600);
    expect_that!(
        refused(&out),
        elements_are![eq(&(1, Code::NotRunNoEndpoint))]
    );
    let out = desk.ask(request(2, "a"));
    expect_that!(
        refused(&out),
        elements_are![eq(&(2, Code::NotRunNoEndpoint))]
    );
}

#[googletest::test]
fn request_beyond_the_queue_bound_is_refused() {
    let mut desk = Desk::new("queue = 2\n", 1, 1);
    for ticket in 0..3 {
        expect_that!(refused(&desk.ask(request(ticket, "a"))), is_empty());
    }
    let out = desk.ask(request(3, "a"));
    expect_that!(
        refused(&out),
        elements_are![eq(&(3, Code::NotRunQueueFull))]
    );
    expect_that!(refused(&desk.ask(request(4, "b"))), is_empty());
}

#[googletest::test]
fn request_that_waits_past_its_deadline_is_refused() {
    let mut desk = Desk::new("", 1, 1);
    desk.ask(request(1, "a"));
    let late = Request {
        deadline: Millis(50),
        ..request(2, "a")
    };
    desk.ask(late);
    let out = desk.pass(60);
    expect_that!(refused(&out), elements_are![eq(&(2, Code::NotRunTooLate))]);
}

#[googletest::test]
fn request_of_a_low_class_is_shed_first() {
    let mut desk = Desk::new("", 1, 1);
    desk.ask(request(0, "a"));
    desk.now = Millis(100);
    desk.end(0, answered(100));
    for ticket in 1..6 {
        desk.ask(request(ticket, "a"));
    }
    let with = |ticket, class| Request {
        class,
        deadline: Millis(1_100),
        ..request(ticket, "a")
    };
    let out = desk.ask(with(10, Class::Low));
    expect_that!(refused(&out), elements_are![eq(&(10, Code::NotRunShed))]);
    expect_that!(refused(&desk.ask(with(11, Class::Urgent))), is_empty());
}

#[googletest::test]
fn queue_serves_urgent_first_and_teams_by_share() {
    let settings = "weight = [{ team = \"a\", share = 3 }]\n";
    let mut desk = Desk::new(settings, 1, 1);
    desk.ask(request(0, "c"));
    for ticket in 0..40 {
        desk.ask(request(100 + ticket, "a"));
        desk.ask(request(200 + ticket, "b"));
    }
    let urgent = Request {
        class: Class::Urgent,
        ..request(399, "a")
    };
    desk.ask(urgent);
    let mut last = 0;
    let mut order = Vec::new();
    for _ in 0..24 {
        desk.now += Millis(10);
        let out = desk.end(last, answered(10));
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
fn endpoint_that_fails_is_set_aside_but_never_more_than_half() {
    let mut desk = Desk::new("", 4, 8);
    let mut ticket = 0;
    let mut ejected = 0;
    for _ in 0..200 {
        ticket += 1;
        let out = desk.ask(request(ticket, "a"));
        if sent(&out).is_empty() {
            desk.tell(Input::Cancel {
                ticket,
                team: team("a"),
            });
        }
        let out = desk.end(ticket, End::Lost);
        ejected += out
            .iter()
            .filter(|o| matches!(o, Output::Ejected(_)))
            .count();
        desk.pass(60);
        expect_that!(desk.router.count(desk.now).ejected, le(2));
    }
    expect_that!(ejected, ge(2));
}

/// Lets requests that have `left` run out of time at endpoints that take 200 ms; returns how many
/// endpoints were set aside.
fn set_aside_by_timeouts(left: Millis) -> u32 {
    let mut desk = Desk::new("", 4, 8);
    for ticket in 0..32 {
        expect_that!(sent(&desk.ask(request(ticket, "a"))).len(), eq(1));
    }
    desk.pass(200);
    (0..32).for_each(|ticket| drop(desk.end(ticket, answered(200))));
    for ticket in 100..140 {
        let request = Request {
            deadline: desk.now + left,
            class: Class::Urgent,
            ..request(ticket, "a")
        };
        let out = desk.ask(request);
        desk.pass(left.0);
        if !sent(&out).is_empty() {
            desk.end(ticket, End::TimedOut);
        }
        desk.pass(60);
    }
    desk.router.count(desk.now).ejected
}

#[googletest::test]
fn endpoint_that_got_a_request_too_late_is_not_set_aside() {
    expect_that!(set_aside_by_timeouts(Millis(250)), eq(0));
    expect_that!(set_aside_by_timeouts(Millis(1_000)), ge(1));
}

#[googletest::test]
fn endpoint_set_aside_is_probed_with_one_request_and_restored() {
    let mut desk = Desk::new("", 2, 8);
    let mut ticket = 0;
    while desk.router.count(desk.now).ejected == 0 {
        ticket += 1;
        let out = desk.ask(request(ticket, "a"));
        let at = sent(&out)[0].1;
        desk.end(ticket, if at == 0 { End::Lost } else { answered(100) });
        desk.pass(60);
    }
    desk.pass(2_000);
    let mut restored = false;
    for _ in 0..20 {
        ticket += 1;
        let out = desk.ask(request(ticket, "a"));
        desk.now += Millis(10);
        if !sent(&out).is_empty() {
            let out = desk.end(ticket, answered(10));
            restored |= out.iter().any(|o| matches!(o, Output::Restored(_)));
        }
    }
    expect_true!(restored);
    expect_that!(desk.router.count(desk.now).ejected, eq(0));
}

#[googletest::test]
fn leaving_endpoint_gets_nothing_new() {
    let mut desk = Desk::new("", 2, 8);
    let mut list = endpoints(2);
    list[0].leaving = true;
    desk.tell(Input::Endpoints(list));
    for ticket in 0..8 {
        let out = desk.ask(request(ticket, "a"));
        expect_that!(sent(&out), elements_are![eq(&(ticket, 1))]);
    }
    expect_that!(sent(&desk.ask(request(9, "a"))), is_empty());
}

#[googletest::test]
fn retries_are_a_share_of_first_attempts() {
    let mut desk = Desk::new("retry_percent = 10\n", 1, 8);
    let mut retried = 0;
    for ticket in 0..1_000 {
        desk.ask(request(2 * ticket, "a"));
        desk.end(2 * ticket, answered(1));
        let retry = Request {
            retry: true,
            ..request(2 * ticket + 1, "a")
        };
        let out = desk.ask(retry);
        retried += sent(&out).len();
        desk.end(2 * ticket + 1, answered(1));
    }
    // A tenth, and one that was there at the start.
    expect_that!(retried, le(101));
    expect_that!(retried, ge(99));
}

proptest! {
    /// Each request is decided exactly once, and no endpoint is used beyond its lease.
    #[test]
    fn router_decides_each_request_once(steps in prop::collection::vec((0_u8..6, 0_u64..40), 1..300)) {
        let mut desk = Desk::new("queue = 5\n", 3, 2);
        let mut open: Vec<u64> = Vec::new();
        let mut flying: Vec<(u64, usize)> = Vec::new();
        let mut ticket = 0;
        for (step, number) in steps {
            let out = match step {
                0..=2 => {
                    ticket += 1;
                    open.push(ticket);
                    let deadline = desk.now + Millis(10 * number + 1);
                    desk.ask(Request { deadline, ..request(ticket, ["a", "b"][step as usize % 2]) })
                }
                3 if !flying.is_empty() => {
                    let (ticket, _) = flying.swap_remove(number as usize % flying.len());
                    desk.end(ticket, answered(number))
                }
                4 if !flying.is_empty() => {
                    let (ticket, _) = flying.swap_remove(number as usize % flying.len());
                    desk.end(ticket, End::Lost)
                }
                _ => desk.pass(number),
            };
            for decided in sent(&out).iter().map(|s| s.0).chain(refused(&out).iter().map(|r| r.0)) {
                let at = open.iter().position(|ticket| *ticket == decided);
                assert!(at.is_some(), "decided twice");
                open.remove(at.unwrap());
            }
            flying.extend(sent(&out));
            for endpoint in 0..3 {
                assert!(flying.iter().filter(|f| f.1 == endpoint).count() <= 2);
            }
            assert_eq!(desk.router.count(desk.now).queued as usize, open.len());
        }
    }
}
