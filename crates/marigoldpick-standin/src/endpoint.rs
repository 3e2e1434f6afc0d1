//! Simulates an endpoint: slots, connections, a speed of its own and verifiable answers.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use http_types::{Body, Request, Response, StatusCode};
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Spec;
use marigoldpick_platform::DOMAIN_HEADER;
use sha2::{Digest, Sha256};

use crate::command::Command;
use crate::http::{drop_connection, header, read, refused};
use crate::listener::{Handler, Listener};
use crate::partition::Partition;
use crate::seed::Seed;
use crate::settings::{Range, Settings};
use crate::slot::Slots;
use crate::truth::{Execution, Requests};

/// Header with the request's id; the answer repeats it.
pub const REQUEST_HEADER: &str = "x-marigold-request";
/// Header with the number of the caller's attempt, counted from one.
pub const ATTEMPT_HEADER: &str = "x-marigold-attempt";
/// Header that says whether the request is idempotent: `true` or `1`; absent means no.
pub const IDEMPOTENT_HEADER: &str = "x-marigold-idempotent";
/// Header with the least number of bytes that the answer should have.
///
/// Entries do not forward callers' headers, so the first line of the body may set it instead, as
/// `answer-bytes=N`.
pub const BYTES_HEADER: &str = "x-marigold-answer-bytes";
/// Header with the SHA-256 of the answer's body in hexadecimal digits.
pub const DIGEST_HEADER: &str = "x-marigold-digest";
/// Header with the task whose endpoint answered.
pub const ENDPOINT_HEADER: &str = "x-marigold-endpoint";

/// The largest accepted request body.
const MAX_BODY_BYTES: usize = 64 << 20;
/// The largest answer that a request can ask for.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// The time for a request, in percent of the usual time, when no fault slows the endpoint.
const USUAL_PERCENT: u32 = 100;

/// `Endpoint` is the listener of one running task.
#[derive(Debug)]
pub(crate) struct Endpoint {
    listener: Listener,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    run: id::Run,
    domain: id::Domain,
    partition: Partition,
    seed: Seed,
    slots: Arc<Slots>,
    work: Range,
    slow_factor: f64,
    slowdown_percent: AtomicU32,
    requests: Arc<Mutex<Requests>>,
}

#[derive(Clone, Debug)]
struct Api(Arc<Shared>);

impl Endpoint {
    /// Listens on a free port of the loopback address.
    ///
    /// # Errors
    /// Fails when no port is free.
    pub(crate) fn start(
        spec: &Spec,
        domain: &id::Domain,
        partition: &Partition,
        requests: &Arc<Mutex<Requests>>,
        settings: &Settings,
    ) -> std::io::Result<Self> {
        let seed = Seed(settings.seed);
        let command = Command::parse(&spec.command);
        let work = command.work_time.map_or(settings.endpoint.work_ms, |work| {
            let exact = work.0 as f64;
            Range::new(exact, exact)
        });
        let shared = Arc::new(Shared {
            run: spec.run.clone(),
            domain: domain.clone(),
            partition: partition.clone(),
            seed,
            slots: Slots::new(u64::from(settings.endpoint.slots)),
            work,
            slow_factor: seed.draw("speed", &spec.run.task.to_string(), settings.endpoint.speed),
            slowdown_percent: AtomicU32::new(USUAL_PERCENT),
            requests: Arc::clone(requests),
        });
        let max_connections = settings.endpoint.connections as usize;
        let listener = Listener::start("127.0.0.1:0", max_connections, Api(Arc::clone(&shared)))?;
        Ok(Self { listener, shared })
    }

    /// Returns the listener's IP address and port.
    pub(crate) fn address(&self) -> String {
        self.listener.address().to_string()
    }

    /// Refuses new requests from now on.
    pub(crate) fn drain(&self) {
        self.shared.slots.close();
    }

    /// Returns how many requests are in flight.
    pub(crate) fn in_flight(&self) -> u64 {
        self.shared.slots.in_flight()
    }

    /// Makes each request take `factor` times as long.
    pub(crate) fn set_slowdown(&self, factor: u32) {
        let percent = factor.max(1).saturating_mul(USUAL_PERCENT);
        self.shared
            .slowdown_percent
            .store(percent, Ordering::SeqCst);
    }

    /// Closes the listener and all connections.
    pub(crate) fn end(&self) {
        self.drain();
        self.listener.end();
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.end();
    }
}

impl Handler for Api {
    async fn answer(&self, request: Request) -> http_types::Result<Response> {
        self.0.answer(request).await
    }
}

impl Shared {
    async fn answer(&self, mut request: Request) -> http_types::Result<Response> {
        if !self
            .partition
            .can_pass(header(&request, DOMAIN_HEADER), Some(&self.domain))
        {
            return Err(drop_connection());
        }
        let Some(slot) = self.slots.take() else {
            self.lock().record_refusal();
            return Ok(refused());
        };
        let body = match read(&mut request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(status) => return Ok(Response::new(status)),
        };
        let id = header(&request, REQUEST_HEADER).unwrap_or_default();
        self.record_execution(&request, id);
        task::sleep(self.work_time(id)).await;
        let answer = answer(id, &body, requested_bytes(&request, &body));
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(REQUEST_HEADER, id);
        response.insert_header(DIGEST_HEADER, digest(&answer));
        response.insert_header(ENDPOINT_HEADER, self.run.task.to_string());
        let length = answer.len();
        response.set_body(Body::from_reader(slot.body(answer), Some(length)));
        Ok(response)
    }

    fn record_execution(&self, request: &Request, id: &str) {
        let attempt = header(request, ATTEMPT_HEADER)
            .and_then(|text| text.parse().ok())
            .unwrap_or(1);
        let idempotent = matches!(header(request, IDEMPOTENT_HEADER), Some("1" | "true"));
        let task = self.run.task.clone();
        self.lock()
            .record_execution(id, idempotent, Execution { attempt, task });
    }

    fn work_time(&self, id: &str) -> Duration {
        let usual = self.seed.draw("work", id, self.work);
        let slowdown =
            f64::from(self.slowdown_percent.load(Ordering::SeqCst)) / f64::from(USUAL_PERCENT);
        Duration::from_secs_f64(usual * self.slow_factor * slowdown / 1_000.0)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the least number of bytes that the answer should have.
fn requested_bytes(request: &Request, body: &[u8]) -> usize {
    let named = header(request, BYTES_HEADER).or_else(|| {
        let line = body.split(|&byte| byte == b'\n').next()?;
        std::str::from_utf8(line)
            .ok()?
            .strip_prefix("answer-bytes=")
    });
    named.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns the answer that an endpoint gives to a request.
///
/// It depends on the id, the body and the requested size, so that a caller can tell another
/// request's answer from its own.
#[must_use]
pub fn answer(request: &str, body: &[u8], bytes: usize) -> Vec<u8> {
    let head = format!("request={request} body={}\n", digest(body));
    let mut answer = head.clone().into_bytes();
    let bytes = bytes.min(MAX_ANSWER_BYTES);
    while answer.len() < bytes {
        let left = bytes - answer.len();
        let pattern = head.as_bytes();
        answer.extend_from_slice(&pattern[..pattern.len().min(left)]);
    }
    answer
}

/// Returns the SHA-256 of `body` in hexadecimal digits.
#[must_use]
pub fn digest(body: &[u8]) -> String {
    let hash = Sha256::digest(body);
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
