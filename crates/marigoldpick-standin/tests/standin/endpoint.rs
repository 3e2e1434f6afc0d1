//! Tests endpoints: slots, draining, complete answers, and the counts of requests in the truth.

use async_std::net::TcpStream;
use async_std::task::{block_on, spawn};
use futures::AsyncReadExt;
use googletest::prelude::*;
use http_types::{Method, Request, Response, StatusCode, Url};
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Call, Outcome};
use marigoldpick_standin::Fault;
use marigoldpick_standin::endpoint::{
    ATTEMPT_HEADER, BYTES_HEADER, DIGEST_HEADER, IDEMPOTENT_HEADER, REQUEST_HEADER, answer, digest,
};

use crate::common::{LONG_LEASE, Site, epoch, name, settings, spec, task};

/// Starts an endpoint on the first worker and returns its address.
async fn endpoint(site: &Site, command: &str) -> String {
    site.lease(0, epoch(1), LONG_LEASE).await;
    let mut spec = spec("booking", 100, command);
    spec.service = Some(name("booking", id::Service::new));
    let started = site.start_run(0, epoch(1), spec).await;
    let address = started
        .report
        .running
        .first()
        .and_then(|run| run.endpoint.clone());
    address.expect("the run is an endpoint")
}

fn request(address: &str, id: &str, body: &str) -> Request {
    let url = Url::parse(&format!("http://{address}/")).expect("a URL");
    let mut request = Request::new(Method::Post, url);
    request.insert_header(REQUEST_HEADER, id);
    request.set_body(body);
    request
}

async fn send(address: String, request: Request) -> http_types::Result<(Response, Vec<u8>)> {
    let stream = TcpStream::connect(address).await?;
    let mut response = async_h1::connect(stream, request).await?;
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await?;
    Ok((response, body))
}

/// Creates the call that stops the run of [`endpoint`].
fn stop(grace: Millis) -> Call {
    Call::Stop {
        epoch: epoch(1),
        run: spec("booking", 100, "").run,
        grace,
    }
}

fn header_text<'a>(response: &'a Response, header: &str) -> &'a str {
    response
        .header(header)
        .map_or("", |value| value.last().as_str())
}

#[googletest::test]
fn answer_matches_its_request_and_is_complete() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let address = endpoint(&site, "").await;
        let mut large = request(&address, "r1", "pitch 7");
        large.insert_header(BYTES_HEADER, "300000");
        let (response, body) = send(address.clone(), large).await.expect("an answer");
        expect_that!(response.status(), eq(StatusCode::Ok));
        expect_that!(body.len(), eq(300_000));
        expect_that!(body == answer("r1", b"pitch 7", 300_000), eq(true));
        expect_that!(header_text(&response, REQUEST_HEADER), eq("r1"));
        expect_that!(header_text(&response, DIGEST_HEADER), eq(&digest(&body)));
        let (_, other) = send(address.clone(), request(&address, "r2", "pitch 7"))
            .await
            .expect("an answer");
        expect_that!(other == answer("r1", b"pitch 7", 0), eq(false));
    });
}

#[googletest::test]
fn request_beyond_the_slots_is_refused_without_execution() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let address = endpoint(&site, "work_ms=200").await;
        let sends = (0..30).map(|n| {
            let request = request(&address, &format!("r{n}"), "");
            spawn(send(address.clone(), request))
        });
        let answers = futures::future::join_all(sends).await;
        let refused = answers
            .iter()
            .flatten()
            .filter(|(response, _)| header_text(response, "x-marigold-refused") == "1")
            .count();
        let truth = site.platform.truth();
        expect_that!(refused, gt(0));
        expect_that!(truth.requests_refused, eq(refused as u64));
        expect_that!(truth.requests_run, eq(30 - refused as u64));
        for (n, answer) in answers.iter().enumerate() {
            let (response, _) = answer.as_ref().expect("an answer");
            let ran = site.platform.executed_of(&format!("r{n}")).is_some();
            expect_that!(ran, eq(response.status() == StatusCode::Ok));
        }
    });
}

#[googletest::test]
fn truth_counts_request_run_twice() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let address = endpoint(&site, "").await;
        for (id, attempt, idempotent) in
            [("a", 1, "1"), ("a", 2, "1"), ("b", 1, "0"), ("b", 2, "0")]
        {
            let mut request = request(&address, id, "");
            request.insert_header(ATTEMPT_HEADER, attempt.to_string());
            request.insert_header(IDEMPOTENT_HEADER, idempotent);
            send(address.clone(), request).await.expect("an answer");
        }
        let truth = site.platform.truth();
        expect_that!((truth.requests_run, truth.requests_run_twice), eq((4, 1)));
        let attempts: Vec<u32> = site.platform.executed()[1]
            .runs
            .iter()
            .map(|run| run.attempt)
            .collect();
        expect_that!(attempts, eq(&vec![1, 2]));
    });
}

#[googletest::test]
fn stop_waits_for_requests_in_flight() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let address = endpoint(&site, "work_ms=300").await;
        let pending = spawn(send(address.clone(), request(&address, "r1", "")));
        while site.platform.executed_of("r1").is_none() {}
        let stopped = site.call(0, stop(Millis(60_000))).await.expect("an answer");
        expect_that!(stopped.report.running[0].stopping, eq(true));
        let (refused, _) = send(address.clone(), request(&address, "r2", ""))
            .await
            .expect("an answer");
        expect_that!(refused.status(), eq(StatusCode::ServiceUnavailable));
        let (completed, _) = pending.await.expect("an answer");
        expect_that!(completed.status(), eq(StatusCode::Ok));
        let ended = site
            .poll_until(0, |answer| !answer.report.finished.is_empty())
            .await;
        expect_that!(ended.report.finished[0].outcome, eq(&Outcome::Stopped));
        expect_that!(site.platform.truth().requests_cut, eq(0));
    });
}

#[googletest::test]
fn truth_counts_request_cut_by_stop() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let address = endpoint(&site, "work_ms=60000").await;
        let pending = spawn(send(address.clone(), request(&address, "r1", "")));
        while site.platform.executed_of("r1").is_none() {}
        site.call(0, stop(Millis(20))).await.expect("an answer");
        expect_that!(pending.await.is_err(), eq(true));
        expect_that!(site.platform.truth().requests_cut, eq(1));
    });
}

#[googletest::test]
fn fault_leave_endpoint_stops_the_task() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let leave = Fault::LeaveEndpoint {
            task: task("booking"),
        };
        expect_that!(site.platform.fault(&leave), err(eq(Code::UnknownName)));
        endpoint(&site, "").await;
        expect_that!(site.platform.fault(&leave), ok(eq(())));
        let ended = site
            .poll_until(0, |answer| !answer.report.finished.is_empty())
            .await;
        expect_that!(ended.report.finished[0].outcome, eq(&Outcome::Stopped));
    });
}

#[googletest::test]
fn malformed_request_does_not_stop_the_endpoint() {
    use futures::AsyncWriteExt;
    block_on(async {
        let site = Site::start(&settings()).await;
        let address = endpoint(&site, "").await;
        let truncated =
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\nx-marigold-request: r1\r\n\r\nxy";
        for malformed in ["\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "\0\0\0\0", truncated] {
            let mut stream = TcpStream::connect(&address).await.expect("a connection");
            stream
                .write_all(malformed.as_bytes())
                .await
                .expect("written");
            stream
                .shutdown(async_std::net::Shutdown::Write)
                .expect("a shutdown");
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.expect("the end");
        }
        expect_that!(site.platform.truth().requests_run, eq(0));
        let completed = send(address.clone(), request(&address, "r1", "")).await;
        expect_that!(completed.expect("an answer").0.status(), eq(StatusCode::Ok));
    });
}
