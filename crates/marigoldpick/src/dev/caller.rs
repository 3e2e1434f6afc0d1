//! Runs the callers: each sends a request to any entry, retries as the result codes permit, and
//! checks the response.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Method, Request, Response, Url};
use marigoldpick_core::clock::Millis;
use marigoldpick_core::code::Code;
use marigoldpick_standin::endpoint;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::cluster::{Cluster, RunningEntry};
use super::mix::{Mix, RequestSpec};
use super::record::{Attempt, Record};

/// The number of concurrent callers.
const MAX_CONCURRENT_CALLERS: u32 = 48;
/// The time after which a caller stops retrying.
const CALL_TIMEOUT: Duration = Duration::from_secs(45);
/// The deadline that a caller sets for one attempt.
const ATTEMPT_DEADLINE: Millis = Millis(4_000);
/// The timeout for a response: the deadline, and time to receive a large response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The first retry delay when the entry gives none; it doubles with each attempt.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The most bytes that a caller reads of a response body.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// `Verdict` is the outcome of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Verdict {
    /// The complete and correct response.
    Answered,
    /// A response that breaks a promise, such as one that is reported as complete and is not.
    Wrong(String),
    /// The request did not run; the entry may give a delay before the next attempt.
    NotRun(Code, Option<Duration>),
    /// The request may have run.
    Unknown(Code),
    /// No connection to an entry was made, so nothing was sent.
    NotReached,
    /// The connection ended without a complete response.
    Lost(String),
}

/// Sends `count` requests and returns when all have ended.
pub(super) async fn run(cluster: &Arc<Cluster>, record: &Arc<Record>, mix: Mix, count: u32) {
    let mix = Arc::new(mix);
    let next = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> = (0..MAX_CONCURRENT_CALLERS.min(count))
        .map(|_| {
            let (cluster, record) = (Arc::clone(cluster), Arc::clone(record));
            let (mix, next) = (Arc::clone(&mix), Arc::clone(&next));
            task::spawn(async move {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let spec = (number < count).then(|| mix.draw(number)).flatten();
                    let Some(spec) = spec else {
                        return;
                    };
                    call(&cluster, &record, spec).await;
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await;
    }
}

/// Makes one request, with retries, and records its outcome.
async fn call(cluster: &Cluster, record: &Record, mut spec: RequestSpec) {
    record_sent(record, &spec);
    let began = Instant::now();
    let mut attempt = 1;
    let mut delay = INITIAL_RETRY_DELAY;
    let mut may_have_run = false;
    while began.elapsed() < CALL_TIMEOUT {
        let entries = cluster.running_entries();
        let verdict = match entries.choose(&mut spec.rng) {
            Some(entry) => try_once(cluster, entry, &spec, attempt, began).await,
            None => Verdict::NotReached,
        };
        match verdict {
            Verdict::Answered => {
                record.lock().requests.answered += 1;
                return;
            }
            Verdict::Wrong(why) => {
                record.add_violation(format!("request {} attempt {attempt}: {why}", spec.id));
                let mut state = record.lock();
                state.requests.wrong += 1;
                state.requests.unknown += 1;
                return;
            }
            Verdict::NotRun(code, retry_after) => {
                log::debug!(target: "dev", "Did not run; request={} code={code}.", spec.id);
                record.lock().not_run_attempts.push(Attempt {
                    request: spec.id.clone(),
                    attempt,
                });
                attempt += 1;
                delay = retry_after.unwrap_or(delay);
            }
            Verdict::Unknown(code) => {
                log::info!(target: "dev", "Outcome unknown; request={} code={code}.", spec.id);
                may_have_run = true;
                if !spec.idempotent {
                    break;
                }
                attempt += 1;
            }
            Verdict::Lost(why) => {
                log::info!(target: "dev", "Response lost; request={} why={why}.", spec.id);
                may_have_run = true;
                attempt += 1;
            }
            Verdict::NotReached => {}
        }
        task::sleep(jittered(delay, &mut spec)).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
    let mut state = record.lock();
    if may_have_run {
        state.requests.unknown += 1;
    } else {
        state.requests.not_run += 1;
    }
}

fn record_sent(record: &Record, spec: &RequestSpec) {
    let mut state = record.lock();
    state.requests.sent += 1;
    if !spec.idempotent {
        state.non_idempotent.push(spec.id.clone());
    }
}

fn jittered(delay: Duration, spec: &mut RequestSpec) -> Duration {
    delay.mul_f64(spec.rng.random_range(0.75..1.25))
}

async fn try_once(
    cluster: &Cluster,
    entry: &RunningEntry,
    spec: &RequestSpec,
    attempt: u32,
    began: Instant,
) -> Verdict {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(&entry.callers)).await;
    let Ok(Ok(stream)) = connected else {
        return Verdict::NotReached;
    };
    let request = request(entry, spec, attempt, began);
    let verdict = match timeout(RESPONSE_TIMEOUT, exchange(stream, request, spec)).await {
        Ok(verdict) => verdict,
        Err(_) => return Verdict::Lost("response timed out".to_owned()),
    };
    match verdict {
        Verdict::Lost(why) if cluster.is_running(entry) => Verdict::Wrong(format!(
            "{} ended the connection without a complete response: {why}",
            entry.name
        )),
        verdict => verdict,
    }
}

fn request(entry: &RunningEntry, spec: &RequestSpec, attempt: u32, began: Instant) -> Request {
    let url = format!("http://{}/v1/call/{}", entry.callers, spec.service);
    let url = Url::parse(&url).expect("an address and a name make a URL");
    let mut request = Request::new(Method::Post, url);
    let age = began.elapsed().as_millis().to_string();
    request.insert_header("x-marigold-team", spec.team.as_str());
    request.insert_header("x-marigold-class", spec.class);
    request.insert_header("x-marigold-idempotent", spec.idempotent.to_string());
    request.insert_header("x-marigold-request", spec.id.as_str());
    request.insert_header("x-marigold-attempt", attempt.to_string());
    request.insert_header("x-marigold-age-ms", age);
    request.insert_header("x-marigold-deadline-ms", ATTEMPT_DEADLINE.0.to_string());
    request.insert_header("connection", "close");
    request.set_body(spec.body.clone());
    request
}

async fn exchange(stream: TcpStream, request: Request, spec: &RequestSpec) -> Verdict {
    let mut response = match async_h1::connect(stream, request).await {
        Ok(response) => response,
        Err(error) => return Verdict::Lost(error.to_string()),
    };
    let mut body = Vec::new();
    let length = response.len();
    let read = (&mut response)
        .take(MAX_RESPONSE_BYTES)
        .read_to_end(&mut body)
        .await;
    if let Err(error) = read {
        return Verdict::Lost(error.to_string());
    }
    if length.is_some_and(|length| length != body.len()) {
        return Verdict::Lost(format!("{} bytes of {length:?}", body.len()));
    }
    judge(&response, &body, spec)
}

fn judge(response: &Response, body: &[u8], spec: &RequestSpec) -> Verdict {
    let header = |name: &str| response.header(name).map(|values| values.last().as_str());
    let code = header("x-marigold-code")
        .and_then(|code| code.parse().ok())
        .and_then(Code::from_number);
    match code {
        Some(Code::Done) => {
            let expected = endpoint::answer(&spec.id, &spec.body, spec.answer_bytes);
            if body == expected {
                Verdict::Answered
            } else {
                Verdict::Wrong(format!(
                    "the response has {} bytes instead of {}, or wrong content",
                    body.len(),
                    expected.len()
                ))
            }
        }
        Some(code) if code.is_not_run() => {
            let retry_after =
                header("x-marigold-retry-after-ms").and_then(|span| span.parse().ok());
            Verdict::NotRun(code, retry_after.map(Duration::from_millis))
        }
        Some(code) if code.is_unknown() => Verdict::Unknown(code),
        code => Verdict::Wrong(format!(
            "responded {} with code {code:?}",
            response.status()
        )),
    }
}
