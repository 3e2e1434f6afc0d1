//! Callers that are slow or disconnect, and requests that are malformed or too large.

use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::traffic::Settings;

use super::site::{SINGLE, call, raw, receive, start, start_with, test_settings, until};

const IDEMPOTENT: (&str, &str) = ("x-marigold-idempotent", "true");

fn short_timeouts() -> Settings {
    Settings {
        header_wait: Millis(200),
        body_wait: Millis(200),
        ..test_settings()
    }
}

#[googletest::test]
#[async_std::test]
async fn serve_malformed_http_is_refused_and_the_next_caller_served() {
    let site = start(&[1], &[1]).await;
    let address = &site.nodes[0].address;
    for text in ["nonsense\r\n\r\n", "POST\r\n\r\n", "GET / HTTP/9.9\r\n\r\n"] {
        let answer = raw(address, text).await;
        expect_that!(answer.status, eq(400));
        expect_that!(answer.result, eq("not-run"));
        expect_that!(answer.code, eq(Code::BadRequest.number()));
    }
    let answer = site.call(0, &[], "plain").await;
    expect_that!(answer.result_and_code(), eq("done 0"));
}

#[googletest::test]
#[async_std::test]
async fn serve_bad_headers_are_named() {
    let site = start(&[1], &[1]).await;
    let bad = [
        ("x-marigold-class", "first"),
        ("x-marigold-deadline-ms", "soon"),
        ("x-marigold-idempotent", "maybe"),
        ("x-marigold-attempt", "0"),
        ("x-marigold-attempt", "2"),
        ("x-marigold-request", "two words"),
        ("x-marigold-team", ""),
    ];
    for (name, value) in bad {
        let answer = site.call(0, &[(name, value)], "plain").await;
        expect_that!(answer.status, eq(400));
        expect_that!(answer.body, contains_substring("x-marigold-"));
    }
    expect_true!(site.log.lock().unwrap().is_empty());
}

#[googletest::test]
#[async_std::test]
async fn serve_too_large_head_and_body_are_refused() {
    let site = start_with(&[1], &[1], test_settings(), "body_limit = 1000\n").await;
    let long = "x".repeat(20_000);
    let answer = site.call(0, &[("x-other", &long)], "plain").await;
    expect_that!(answer.status, any![eq(400), eq(0)]);
    let answer = site.call(0, &[], &"x".repeat(1_001)).await;
    expect_that!(answer.status, eq(413));
    expect_that!(answer.code, eq(Code::TooLarge.number()));
    expect_true!(site.log.lock().unwrap().is_empty());
}

#[googletest::test]
#[async_std::test]
async fn serve_slow_head_and_body_time_out() {
    let site = start_with(&[1], &[1], short_timeouts(), "").await;
    let address = &site.nodes[0].address;
    let answer = raw(address, "POST /v1/call/booking HTTP/1.1\r\nhost: a\r\n").await;
    expect_that!(answer.status, eq(0));
    let head = "POST /v1/call/booking HTTP/1.1\r\nhost: a\r\nx-marigold-team: t\r\n";
    let answer = raw(address, &format!("{head}content-length: 100\r\n\r\nsome")).await;
    expect_that!(answer.status, eq(400));
    expect_that!(answer.result, eq("not-run"));
    expect_true!(site.log.lock().unwrap().is_empty());
    until("nothing is in flight", || site.nodes[0].frontend.is_idle()).await;
}

#[googletest::test]
#[async_std::test]
async fn serve_a_queued_request_whose_caller_disconnects_is_not_run() {
    let site = start_with(&[1], &[1], test_settings(), SINGLE).await;
    until("a slot is held", || site.held() == 1).await;
    let address = site.nodes[0].address.clone();
    let own = address.clone();
    let busy = async_std::task::spawn(async move { call(&own, &[], "slow 700").await });
    until("the slot is in use", || site.in_flight() == 1).await;
    let mut gone = TcpStream::connect(&address).await.unwrap();
    let text = "POST /v1/call/booking HTTP/1.1\r\nhost: a\r\nx-marigold-team: t\r\n\
        x-marigold-request: gone\r\ncontent-length: 5\r\n\r\nplain";
    gone.write_all(text.as_bytes()).await.unwrap();
    until("it waits", || site.queued() == 1).await;
    drop(gone);
    until("it is dropped", || site.queued() == 0).await;
    expect_that!(busy.await.result_and_code(), eq("done 0"));
    async_std::task::sleep(Duration::from_millis(50)).await;
    expect_that!(site.runs("gone"), eq(0));
}

#[googletest::test]
#[async_std::test]
async fn serve_one_connection_carries_many_requests() {
    let site = start(&[1], &[2]).await;
    let mut stream = TcpStream::connect(&site.nodes[0].address).await.unwrap();
    for nth in 0..50 {
        let text = format!(
            "POST /v1/call/booking HTTP/1.1\r\nhost: a\r\nx-marigold-team: t\r\n\
            x-marigold-request: r{nth}\r\nx-marigold-idempotent: true\r\ncontent-length: 5\r\n\r\nplain"
        );
        stream.write_all(text.as_bytes()).await.unwrap();
        let answer = receive(&mut stream).await;
        expect_that!(answer.body, eq(&format!("answer to r{nth}: plain")));
    }
}

#[googletest::test]
#[async_std::test]
async fn drain_finishes_requests_in_flight_and_refuses_new_ones() {
    let site = start(&[1], &[1]).await;
    let address = site.nodes[0].address.clone();
    let busy =
        async_std::task::spawn(async move { call(&address, &[IDEMPOTENT], "slow 500").await });
    until("it is in flight", || site.in_flight() == 1).await;
    site.nodes[0].frontend.drain();
    let answer = site.call(0, &[], "plain").await;
    expect_that!(answer.code, eq(Code::NotRunDraining.number()));
    expect_that!(answer.result, eq("not-run"));
    expect_false!(site.nodes[0].frontend.is_idle());
    expect_that!(busy.await.result_and_code(), eq("done 0"));
    until("nothing is in flight", || site.nodes[0].frontend.is_idle()).await;
}
