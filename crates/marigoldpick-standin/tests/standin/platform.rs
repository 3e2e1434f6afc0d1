//! Tests the truth and the faults over HTTP, and the effect of a partition on a call in flight.

use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task::{block_on, sleep, spawn};
use futures::AsyncReadExt;
use googletest::prelude::*;
use http_types::{Method, Request, StatusCode, Url};
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Expect, Fault, Store as _};
use marigoldpick_standin::truth::Executed;
use marigoldpick_standin::{Fault as PlatformFault, Truth};

use crate::common::{Site, adapters, name, settings};

/// Sends one request and returns the status and the body of its answer.
async fn send(site: &Site, method: Method, path: &str, body: &str) -> (StatusCode, String) {
    let base = site.platform.address();
    let url = Url::parse(&format!("{base}{path}")).expect("a URL");
    let mut request = Request::new(method, url);
    request.set_body(body);
    let address = base.trim_start_matches("http://");
    let stream = TcpStream::connect(address).await.expect("a connection");
    let mut response = async_h1::connect(stream, request).await.expect("an answer");
    let mut text = String::new();
    let body = &mut response.take_body();
    body.read_to_string(&mut text).await.expect("text");
    (response.status(), text)
}

fn put(key: &str) -> Call {
    Call::Put {
        key: key.to_owned(),
        value: String::new(),
        expect: Expect::Absent,
        lease: None,
    }
}

#[googletest::test]
fn truth_over_http_equals_the_truth_of_the_platform() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.store
            .call(put("config/log/1"))
            .await
            .expect("an answer");
        let (status, text) = send(&site, Method::Get, "/v1/truth", "").await;
        expect_that!(status, eq(StatusCode::Ok));
        let truth: Truth = serde_json::from_str(&text).expect("the truth");
        expect_that!(truth.configs_accepted, eq(1));
        expect_that!(truth, eq(&site.platform.truth()));
        let (_, text) = send(&site, Method::Get, "/v1/truth/requests", "").await;
        let executed: Vec<Executed> = serde_json::from_str(&text).expect("requests");
        expect_that!(executed, is_empty());
    });
}

#[googletest::test]
fn fault_over_http_begins_and_ends() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let switch = |on| format!("{{\"fault\":{{\"kind\":\"store-down\"}},\"on\":{on}}}");
        let (status, _) = send(&site, Method::Post, "/v1/fault", &switch(true)).await;
        expect_that!(status, eq(StatusCode::Ok));
        expect_that!(site.store.call(put("a")).await, err(eq(&Fault::Away)));
        send(&site, Method::Post, "/v1/fault", &switch(false)).await;
        expect_that!(site.store.call(put("a")).await, ok(anything()));
    });
}

#[googletest::test]
fn fault_over_http_invalid_request_is_refused() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let worker = |name: &str| {
            format!("{{\"fault\":{{\"kind\":\"kill-worker\",\"worker\":\"{name}\"}},\"on\":true}}")
        };
        let cases = [
            ("nonsense".to_owned(), StatusCode::BadRequest),
            (
                "{\"fault\":{\"kind\":\"rain\"},\"on\":true}".to_owned(),
                StatusCode::BadRequest,
            ),
            (worker("no one"), StatusCode::BadRequest),
            (worker("nowhere"), StatusCode::NotFound),
            (worker("r0/w0"), StatusCode::Ok),
        ];
        for (body, expected) in cases {
            let (status, _) = send(&site, Method::Post, "/v1/fault", &body).await;
            expect_that!(status, eq(expected), "{body}");
        }
        let (status, _) = send(&site, Method::Get, "/v1/nothing", "").await;
        expect_that!(status, eq(StatusCode::NotFound));
    });
}

#[googletest::test]
fn fault_cut_domain_loses_answer_in_flight() {
    block_on(async {
        let mut settings = settings();
        settings.store.delay_ms.from = 300.0;
        settings.store.delay_ms.to = 300.0;
        let site = Site::start(&settings).await;
        let (store, _, _) = adapters(&site.platform.address(), "south");
        let writing = spawn(async move { store.call(put("a")).await });
        while site.platform.truth().store_calls.is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        let domain = name("south", id::Domain::new);
        let cut = PlatformFault::CutDomain { domain };
        site.platform.fault(&cut).expect("the domain is there");
        expect_that!(writing.await, err(eq(&Fault::Unknown)));
        let read = site
            .store
            .call(Call::Get {
                key: "a".to_owned(),
            })
            .await;
        expect_that!(read, ok(matches_pattern!(Answer::Item(some(anything())))));
    });
}
