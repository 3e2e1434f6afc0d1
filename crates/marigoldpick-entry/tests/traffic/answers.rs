//! Answers that are lost, truncated, late, corrupt or belong to another request.

use googletest::prelude::*;
use marigoldpick_core::prelude::Code;

use super::site::{Answer, SINGLE, Site, start, start_with, test_settings, until};

const IDEMPOTENT: (&str, &str) = ("x-marigold-idempotent", "true");

fn id(request: &str) -> (&'static str, &str) {
    ("x-marigold-request", request)
}

fn has_result(answer: &Answer, result: &str, code: Code) -> bool {
    answer.result == result && answer.code == code.number() && answer.whole
}

async fn start_single() -> Site {
    let site = start(&[1], &[1]).await;
    site.ready().await;
    site
}

#[googletest::test]
#[async_std::test]
async fn call_is_answered_whole() {
    let site = start_single().await;
    let answer = site.call(0, &[id("r")], "plain").await;
    expect_that!(answer.body, eq("answer to r: plain"));
    expect_true!(has_result(&answer, "done", Code::Done));
    expect_that!(site.runs("r"), eq(1));
}

#[googletest::test]
#[async_std::test]
async fn call_large_is_answered_whole() {
    let site = start_single().await;
    for body in ["large 3000000", "chunked 3000000"] {
        let answer = site.call(0, &[], body).await;
        expect_that!(answer.status, eq(200));
        expect_that!(answer.body.len(), eq(3_000_000));
        expect_true!(answer.whole);
    }
}

#[googletest::test]
#[async_std::test]
async fn call_idempotent_is_retried_after_a_loss() {
    let site = start(&[1], &[3]).await;
    let answer = site.call(0, &[id("r"), IDEMPOTENT], "die-once").await;
    expect_true!(has_result(&answer, "done", Code::Done));
    expect_that!(site.runs("r"), eq(2));
}

#[googletest::test]
#[async_std::test]
async fn call_not_idempotent_is_unknown_after_a_loss() {
    let site = start(&[1], &[3]).await;
    let faults = [
        ("die", Code::UnknownEndpointLost),
        ("half-head", Code::UnknownEndpointLost),
        ("cut", Code::UnknownAnswerCut),
        ("other", Code::UnknownAnswerCut),
        ("false", Code::UnknownAnswerCut),
    ];
    for (body, code) in faults {
        let answer = site.call(0, &[id(body)], body).await;
        expect_true!(has_result(&answer, "unknown", code));
        expect_that!(site.runs(body), eq(1));
    }
}

#[googletest::test]
#[async_std::test]
async fn call_large_truncated_answer_is_never_whole_at_the_caller() {
    let site = start_single().await;
    for body in ["large-cut 1000000", "chunked-cut 1000000"] {
        let answer = site.call(0, &[], body).await;
        expect_false!(answer.whole);
        expect_that!(answer.body.len(), lt(1_000_000));
    }
}

#[googletest::test]
#[async_std::test]
async fn call_after_an_overlong_answer_gets_its_own_answer() {
    let site = start_single().await;
    for nth in 0..20 {
        let first = format!("long-{nth}");
        let answer = site.call(0, &[id(&first), IDEMPOTENT], "long").await;
        expect_that!(answer.body, eq(&format!("answer to {first}: long")));
        let second = format!("plain-{nth}");
        let answer = site.call(0, &[id(&second), IDEMPOTENT], "plain").await;
        if answer.result == "done" {
            expect_that!(answer.body, eq(&format!("answer to {second}: plain")));
        } else {
            expect_that!(answer.result, eq("unknown"));
        }
    }
}

#[googletest::test]
#[async_std::test]
async fn call_past_its_deadline_is_unknown_at_once_and_its_late_answer_is_dropped() {
    let site = start_single().await;
    let headers = [id("late"), ("x-marigold-deadline-ms", "100")];
    let answer = site.call(0, &headers, "slow 300").await;
    expect_true!(has_result(&answer, "unknown", Code::UnknownTimeout));
    expect_that!(answer.status, eq(504));
    let answer = site.call(0, &[id("next")], "slow 400").await;
    expect_that!(answer.body, eq("answer to next: slow 400"));
}

#[googletest::test]
#[async_std::test]
async fn call_refused_by_all_endpoints_did_not_run() {
    let site = start(&[1], &[2]).await;
    site.ready().await;
    site.endpoints.iter().for_each(|e| e.refuse(true));
    let answer = site.call(0, &[id("r")], "plain").await;
    expect_that!(answer.result, eq("not-run"));
    expect_that!(answer.status, eq(503));
    expect_that!(site.runs("r"), eq(0));
    site.endpoints.iter().for_each(|e| e.refuse(false));
    let again = [id("r"), ("x-marigold-attempt", "2"), IDEMPOTENT];
    let answer = site.call(0, &again, "plain").await;
    expect_that!(answer.result_and_code(), eq("done 0"));
}

#[googletest::test]
#[async_std::test]
async fn call_avoids_an_unreachable_endpoint() {
    let site = start(&[1], &[2]).await;
    site.change(|view| view.endpoints[0].address = "127.0.0.1:1".to_owned());
    site.ready().await;
    for nth in 0..20 {
        let name = format!("r{nth}");
        let answer = site.call(0, &[id(&name)], "plain").await;
        expect_that!(answer.result_and_code(), eq("done 0"));
        expect_that!(site.runs(&name), eq(1));
    }
}

#[googletest::test]
#[async_std::test]
async fn call_that_can_not_meet_its_deadline_is_refused_early() {
    let site = start_with(&[1], &[1], test_settings(), SINGLE).await;
    until("a slot is held", || site.held() == 1).await;
    for _ in 0..4 {
        site.call(0, &[IDEMPOTENT], "slow 1000").await;
    }
    let address = site.nodes[0].address.clone();
    let busy =
        async_std::task::spawn(async move { super::site::call(&address, &[], "slow 4000").await });
    until("the slot is in use", || site.in_flight() == 1).await;
    let headers = [id("late"), ("x-marigold-deadline-ms", "1500")];
    let answer = site.call(0, &headers, "plain").await;
    expect_true!(has_result(&answer, "not-run", Code::NotRunTooLate));
    expect_that!(site.runs("late"), eq(0));
    expect_true!(answer.head.contains("x-marigold-retry-after-ms"));
    expect_that!(busy.await.result_and_code(), eq("done 0"));
}
