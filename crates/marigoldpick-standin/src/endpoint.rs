//! The stand-in of an endpoint: slots, connections, its own speed and answers that can be checked.

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
use crate::cut::Cut;
use crate::http::{drop_connection, header, read, refused};
use crate::listener::{Handler, Listener};
use crate::seed::Seed;
use crate::settings::{Range, Settings};
use crate::slot::Slots;
use crate::truth::{Execution, Requests};

/// The request's id; the answer echoes it.
pub const REQUEST_HEADER: &str = "x-marigold-request";
/// The caller's attempt, from one.
pub const ATTEMPT_HEADER: &str = "x-marigold-attempt";
/// Whether the request may run again: `true` or `1`; without the header it may not.
pub const IDEMPOTENT_HEADER: &str = "x-marigold-idempotent";
/// How many bytes the answer should have at least. Entries pass on no headers of callers, so the
/// first line of the body may say it too, as `answer-bytes=N`.
pub const BYTES_HEADER: &str = "x-marigold-answer-bytes";
/// The SHA-256 of the answer's body in hexadecimal digits.
pub const DIGEST_HEADER: &str = "x-marigold-digest";
/// The task whose endpoint answered.
pub const ENDPOINT_HEADER: &str = "x-marigold-endpoint";

/// The largest request body, in bytes.
const MAX_BODY: usize = 64 << 20;
/// The largest answer that a request can ask for, in bytes.
const MAX_ANSWER: usize = 64 << 20;
/// A slowness of one, in hundredths.
const HUNDRED: u32 = 100;

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
    cut: Cut,
    seed: Seed,
    slots: Arc<Slots>,
    work: Range,
    speed: f64,
    slowness: AtomicU32,
    requests: Arc<Mutex<Requests>>,
}

#[derive(Clone, Debug)]
struct Face(Arc<Shared>);

impl Endpoint {
    /// Listens on a free port of the loopback address.
    ///
    /// # Errors
    /// Fails when there is none.
    pub(crate) fn start(
        spec: &Spec,
        domain: &id::Domain,
        cut: &Cut,
        requests: &Arc<Mutex<Requests>>,
        settings: &Settings,
    ) -> std::io::Result<Self> {
        let seed = Seed(settings.seed);
        let command = Command::read(&spec.command);
        let work = command.work.map_or(settings.endpoint.work_ms, |work| {
            let exact = work.0 as f64;
            Range::new(exact, exact)
        });
        let shared = Arc::new(Shared {
            run: spec.run.clone(),
            domain: domain.clone(),
            cut: cut.clone(),
            seed,
            slots: Slots::new(u64::from(settings.endpoint.slots)),
            work,
            speed: seed.draw("speed", &spec.run.task.to_string(), settings.endpoint.speed),
            slowness: AtomicU32::new(HUNDRED),
            requests: Arc::clone(requests),
        });
        let most = settings.endpoint.connections as usize;
        let listener = Listener::start("127.0.0.1:0", most, Face(Arc::clone(&shared)))?;
        Ok(Self { listener, shared })
    }

    /// Returns the address: IP number and port.
    pub(crate) fn address(&self) -> String {
        self.listener.address().to_string()
    }

    /// Refuses new requests from now on.
    pub(crate) fn leave(&self) {
        self.shared.slots.leave();
    }

    /// Returns how many requests are in flight.
    pub(crate) fn in_flight(&self) -> u64 {
        self.shared.slots.in_flight()
    }

    /// Makes each request take `factor` times as long.
    pub(crate) fn slow(&self, factor: u32) {
        let slowness = factor.max(1).saturating_mul(HUNDRED);
        self.shared.slowness.store(slowness, Ordering::SeqCst);
    }

    /// Closes the listener and cuts all connections.
    pub(crate) fn end(&self) {
        self.leave();
        self.listener.end();
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.end();
    }
}

impl Handler for Face {
    async fn answer(&self, request: Request) -> http_types::Result<Response> {
        self.0.answer(request).await
    }
}

impl Shared {
    async fn answer(&self, mut request: Request) -> http_types::Result<Response> {
        if !self
            .cut
            .passes(header(&request, DOMAIN_HEADER), Some(&self.domain))
        {
            return Err(drop_connection());
        }
        let Some(slot) = self.slots.take() else {
            self.lock().refused();
            return Ok(refused());
        };
        let body = match read(&mut request, MAX_BODY).await {
            Ok(body) => body,
            Err(status) => return Ok(Response::new(status)),
        };
        let id = header(&request, REQUEST_HEADER).unwrap_or_default();
        self.count(&request, id);
        task::sleep(self.work(id)).await;
        let answer = answer(id, &body, bytes(&request, &body));
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(REQUEST_HEADER, id);
        response.insert_header(DIGEST_HEADER, digest(&answer));
        response.insert_header(ENDPOINT_HEADER, self.run.task.to_string());
        let length = answer.len();
        response.set_body(Body::from_reader(slot.body(answer), Some(length)));
        Ok(response)
    }

    fn count(&self, request: &Request, id: &str) {
        let attempt = header(request, ATTEMPT_HEADER)
            .and_then(|text| text.parse().ok())
            .unwrap_or(1);
        let idempotent = matches!(header(request, IDEMPOTENT_HEADER), Some("1" | "true"));
        let task = self.run.task.clone();
        self.lock().ran(id, idempotent, Execution { attempt, task });
    }

    fn work(&self, id: &str) -> Duration {
        let usual = self.seed.draw("work", id, self.work);
        let slowness = f64::from(self.slowness.load(Ordering::SeqCst)) / f64::from(HUNDRED);
        Duration::from_secs_f64(usual * self.speed * slowness / 1_000.0)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many bytes an answer should have at least.
fn bytes(request: &Request, body: &[u8]) -> usize {
    let named = header(request, BYTES_HEADER).or_else(|| {
        let line = body.split(|&byte| byte == b'\n').next()?;
        std::str::from_utf8(line)
            .ok()?
            .strip_prefix("answer-bytes=")
    });
    named.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns the answer that an endpoint gives to a request: it depends on the id, the body and the
/// size asked for, so that a caller can tell another request's answer from its own.
#[must_use]
pub fn answer(request: &str, body: &[u8], bytes: usize) -> Vec<u8> {
    let head = format!("request={request} body={}\n", digest(body));
    let mut answer = head.clone().into_bytes();
    let bytes = bytes.min(MAX_ANSWER);
    while answer.len() < bytes {
        let left = bytes - answer.len();
        let piece = head.as_bytes();
        answer.extend_from_slice(&piece[..piece.len().min(left)]);
    }
    answer
}

/// Returns the SHA-256 of `body` in hexadecimal digits.
#[must_use]
pub fn digest(body: &[u8]) -> String {
    let hash = Sha256::digest(body);
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
