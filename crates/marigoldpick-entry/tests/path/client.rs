//! A client for the APIs of operators and callers.

use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use marigoldpick_core::config::Target;
use marigoldpick_core::operator::{Accepted, Confirm, Drain, PlanRequest, Problem, Status};
use marigoldpick_core::plan::Plan;
use marigoldpick_core::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The maximum number of attempts of a caller.
const ATTEMPTS: u32 = 100;

/// Asks for a plan.
pub(crate) async fn plan(address: &str, text: &str) -> Result<Plan, Problem> {
    let ask = PlanRequest {
        file: "test.toml".to_owned(),
        text: text.to_owned(),
    };
    post(address, "/v1/plan", &ask).await
}

/// Confirms a plan.
pub(crate) async fn confirm(address: &str, plan: &id::Plan) -> Result<Accepted, Problem> {
    post(address, "/v1/confirm", &Confirm { plan: plan.clone() }).await
}

/// Starts or ends a drain.
pub(crate) async fn drain(address: &str, target: Target, on: bool) -> Result<Accepted, Problem> {
    post(address, "/v1/drain", &Drain { target, on }).await
}

/// Requests an unknown path or method and returns the problem.
pub(crate) async fn call_unknown(address: &str, method: Method, path: &str) -> Problem {
    let mut response = exchange(address, request(address, method, path)).await;
    let refused: Result<Status, Problem> = read(&mut response).await;
    refused.expect_err("no such call")
}

/// Asks for the status.
pub(crate) async fn status(address: &str) -> Result<Status, Problem> {
    let mut response = exchange(address, request(address, Method::Get, "/v1/status")).await;
    read(&mut response).await
}

/// Calls a service and returns the last code and body.
///
/// Retries when an answer says that the request did not run and when to retry.
pub(crate) async fn call(address: &str, service: &str, id: &str) -> (Code, Vec<u8>) {
    for attempt in 1..=ATTEMPTS {
        let (code, later, body) = call_once(address, service, id, attempt).await;
        match later {
            Some(later) if code.is_not_run() => async_std::task::sleep(later.duration()).await,
            _ => return (code, body),
        }
    }
    panic!("no answer after {ATTEMPTS} attempts");
}

async fn call_once(
    address: &str,
    service: &str,
    id: &str,
    attempt: u32,
) -> (Code, Option<Millis>, Vec<u8>) {
    let mut request = request(address, Method::Post, &format!("/v1/call/{service}"));
    request.insert_header("x-marigold-team", "sales");
    request.insert_header(
        "x-marigold-request",
        format!("{id}-{address}").replace(':', "-"),
    );
    request.insert_header("x-marigold-attempt", attempt.to_string());
    request.insert_header("x-marigold-idempotent", "true");
    request.set_body("pitch 7");
    let mut response = exchange(address, request).await;
    let number = |name: &str| {
        let header = response.header(name)?;
        header.last().as_str().parse::<u64>().ok()
    };
    let code = number("x-marigold-code").and_then(|number| u16::try_from(number).ok());
    let code = code.and_then(Code::from_number).expect("the code is known");
    let later = number("x-marigold-retry-after-ms").map(Millis);
    let body = response.body_bytes().await.expect("the body is whole");
    (code, later, body)
}

async fn post<T: DeserializeOwned>(
    address: &str,
    path: &str,
    body: &impl Serialize,
) -> Result<T, Problem> {
    let mut request = request(address, Method::Post, path);
    request.set_body(serde_json::to_vec(body).expect("the body is JSON"));
    read(&mut exchange(address, request).await).await
}

fn request(address: &str, method: Method, path: &str) -> Request {
    let url = Url::parse(&format!("http://{address}{path}")).expect("the URL is well formed");
    Request::new(method, url)
}

async fn exchange(address: &str, request: Request) -> Response {
    let stream = TcpStream::connect(address)
        .await
        .expect("the entry listens");
    async_h1::connect(stream, request)
        .await
        .expect("the entry answers")
}

async fn read<T: DeserializeOwned>(response: &mut Response) -> Result<T, Problem> {
    let bytes = response.body_bytes().await.expect("the body is whole");
    if response.status().is_success() {
        Ok(serde_json::from_slice(&bytes).expect("the answer is of the type"))
    } else {
        Err(serde_json::from_slice(&bytes).expect("a refusal is a problem"))
    }
}
