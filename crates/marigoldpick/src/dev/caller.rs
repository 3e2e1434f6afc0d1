//! Callers: each sends one request to any entry, retries as the codes permit, checks its answer.

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

use super::book::{Attempt, Book};
use super::cluster::{Cluster, Door};
use super::mix::{Mix, Wish};

/// Callers at one time.
const CALLERS: u32 = 48;
/// How long a caller goes on.
const PATIENCE: Duration = Duration::from_secs(45);
/// The deadline that a caller names for one attempt.
const DEADLINE: Millis = Millis(4_000);
/// The longest wait for an answer: the deadline, and time for a large answer to arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The wait before the second attempt when the entry names none; it doubles from there.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest wait between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// The largest answer that a caller reads, in bytes.
const MAX_ANSWER: u64 = 64 << 20;

/// `Verdict` is how one attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Verdict {
    /// The own whole answer.
    Answered,
    /// An answer told as whole that is not.
    Wrong(String),
    /// It did not run.
    NotRun(Code, Option<Duration>),
    /// It may have run.
    Unknown(Code),
    /// No entry was reached; no byte left.
    NotReached,
    /// The connection ended without a whole answer.
    Lost(String),
}

/// Sends `count` requests and returns when each one has ended.
pub(super) async fn run(cluster: &Arc<Cluster>, book: &Arc<Book>, mix: Mix, count: u32) {
    let mix = Arc::new(mix);
    let next = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> = (0..CALLERS.min(count))
        .map(|_| {
            let (cluster, book) = (Arc::clone(cluster), Arc::clone(book));
            let (mix, next) = (Arc::clone(&mix), Arc::clone(&next));
            task::spawn(async move {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let wish = (number < count).then(|| mix.draw(number)).flatten();
                    let Some(wish) = wish else {
                        return;
                    };
                    call(&cluster, &book, wish).await;
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await;
    }
}

/// Makes one request, with retries, and records how it ended.
async fn call(cluster: &Cluster, book: &Book, mut wish: Wish) {
    begin(book, &wish);
    let began = Instant::now();
    let mut attempt = 1;
    let mut pause = FIRST_PAUSE;
    let mut may_have_run = false;
    while began.elapsed() < PATIENCE {
        let doors = cluster.doors();
        let verdict = match doors.choose(&mut wish.draws) {
            Some(door) => try_once(cluster, door, &wish, attempt, began).await,
            None => Verdict::NotReached,
        };
        match verdict {
            Verdict::Answered => {
                book.write().requests.answered += 1;
                return;
            }
            Verdict::Wrong(why) => {
                book.note(format!("request {} attempt {attempt}: {why}", wish.id));
                let mut pages = book.write();
                pages.requests.wrong += 1;
                pages.requests.unknown += 1;
                return;
            }
            Verdict::NotRun(code, after) => {
                log::debug!(target: "dev", "Not run; request={} code={code}.", wish.id);
                book.write().told_not_run.push(Attempt {
                    request: wish.id.clone(),
                    attempt,
                });
                attempt += 1;
                pause = after.unwrap_or(pause);
            }
            Verdict::Unknown(code) => {
                log::info!(target: "dev", "Unknown; request={} code={code}.", wish.id);
                may_have_run = true;
                if !wish.idempotent {
                    break;
                }
                attempt += 1;
            }
            Verdict::Lost(why) => {
                log::info!(target: "dev", "Lost; request={} why={why}.", wish.id);
                may_have_run = true;
                attempt += 1;
            }
            Verdict::NotReached => {}
        }
        task::sleep(jittered(pause, &mut wish)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    let mut pages = book.write();
    if may_have_run {
        pages.requests.unknown += 1;
    } else {
        pages.requests.not_run += 1;
    }
}

fn begin(book: &Book, wish: &Wish) {
    let mut pages = book.write();
    pages.requests.sent += 1;
    if !wish.idempotent {
        pages.once_only.push(wish.id.clone());
    }
}

fn jittered(pause: Duration, wish: &mut Wish) -> Duration {
    pause.mul_f64(wish.draws.random_range(0.75..1.25))
}

async fn try_once(
    cluster: &Cluster,
    door: &Door,
    wish: &Wish,
    attempt: u32,
    began: Instant,
) -> Verdict {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(&door.callers)).await;
    let Ok(Ok(stream)) = connected else {
        return Verdict::NotReached;
    };
    let request = request(door, wish, attempt, began);
    let verdict = match timeout(ANSWER_TIMEOUT, exchange(stream, request, wish)).await {
        Ok(verdict) => verdict,
        Err(_) => return Verdict::Lost("no answer in time".to_owned()),
    };
    match verdict {
        Verdict::Lost(why) if cluster.stands(door) => Verdict::Wrong(format!(
            "{} ended the connection without a whole answer: {why}",
            door.entry
        )),
        verdict => verdict,
    }
}

fn request(door: &Door, wish: &Wish, attempt: u32, began: Instant) -> Request {
    let url = format!("http://{}/v1/call/{}", door.callers, wish.service);
    let url = Url::parse(&url).expect("an address and a name make a URL");
    let mut request = Request::new(Method::Post, url);
    let age = began.elapsed().as_millis().to_string();
    request.insert_header("x-marigold-team", wish.team.as_str());
    request.insert_header("x-marigold-class", wish.class);
    request.insert_header("x-marigold-idempotent", wish.idempotent.to_string());
    request.insert_header("x-marigold-request", wish.id.as_str());
    request.insert_header("x-marigold-attempt", attempt.to_string());
    request.insert_header("x-marigold-age-ms", age);
    request.insert_header("x-marigold-deadline-ms", DEADLINE.0.to_string());
    request.insert_header("connection", "close");
    request.set_body(wish.body.clone());
    request
}

async fn exchange(stream: TcpStream, request: Request, wish: &Wish) -> Verdict {
    let mut response = match async_h1::connect(stream, request).await {
        Ok(response) => response,
        Err(error) => return Verdict::Lost(error.to_string()),
    };
    let mut body = Vec::new();
    let length = response.len();
    let read = (&mut response)
        .take(MAX_ANSWER)
        .read_to_end(&mut body)
        .await;
    if let Err(error) = read {
        return Verdict::Lost(error.to_string());
    }
    if length.is_some_and(|length| length != body.len()) {
        return Verdict::Lost(format!("{} bytes of {length:?}", body.len()));
    }
    judge(&response, &body, wish)
}

fn judge(response: &Response, body: &[u8], wish: &Wish) -> Verdict {
    let text = |name: &str| response.header(name).map(|values| values.last().as_str());
    let code = text("x-marigold-code")
        .and_then(|code| code.parse().ok())
        .and_then(Code::from_number);
    match code {
        Some(Code::Done) => {
            let own = endpoint::answer(&wish.id, &wish.body, wish.answer_bytes);
            if body == own {
                Verdict::Answered
            } else {
                Verdict::Wrong(format!(
                    "the answer has {} bytes in place of {}, or another's",
                    body.len(),
                    own.len()
                ))
            }
        }
        Some(code) if code.is_not_run() => {
            let after = text("x-marigold-retry-after-ms").and_then(|span| span.parse().ok());
            Verdict::NotRun(code, after.map(Duration::from_millis))
        }
        Some(code) if code.is_unknown() => Verdict::Unknown(code),
        code => Verdict::Wrong(format!("answered {} with {code:?}", response.status())),
    }
}
