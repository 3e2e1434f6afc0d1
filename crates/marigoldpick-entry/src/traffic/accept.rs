//! Callers' connections: accepts them, reads requests, watches for callers that leave.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use futures::FutureExt;
use futures::channel::oneshot;
use http_types::{Request, Response, StatusCode};
use marigoldpick_core::prelude::*;

use super::Wire;
use super::caller::{self, Problem};
use super::run::{self, Ask, Reply};
use super::state::State;
use crate::recorder::Kind;

/// How long an unread body is skipped before the connection is closed.
const SKIP: Duration = Duration::from_millis(500);
/// What is sent to callers whose request can't be read.
const MALFORMED: &[u8] = b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\
    x-marigold-result: not-run\r\nx-marigold-code: 106\r\ncontent-length: 0\r\n\r\n";
/// The wait after an accept that failed, for example for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the face is killed.
pub async fn serve<W: Wire>(state: Arc<State<W>>, listener: TcpListener) {
    while !state.killed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                async_std::task::spawn(connection(Arc::clone(&state), stream));
            }
            Err(error) => {
                log::warn!(target: "entry", "accept failed: {error}");
                async_std::task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// `Marks` is what a connection's handler tells its loop.
#[derive(Debug, Default)]
struct Marks {
    /// Whether the last request was read.
    read: AtomicBool,
    /// Whether the connection ends after this answer.
    close: AtomicBool,
}

async fn connection<W: Wire>(state: Arc<State<W>>, stream: TcpStream) {
    let Some(number) = state.connect(&stream) else {
        return;
    };
    // Without it answers are late, but right.
    drop(stream.set_nodelay(true));
    let marks = Arc::new(Marks::default());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let handler = {
        let (state, stream, marks) = (Arc::clone(&state), stream.clone(), Arc::clone(&marks));
        move |request: Request| {
            let (state, stream) = (Arc::clone(&state), stream.clone());
            let (marks, stop) = (Arc::clone(&marks), stop.clone());
            async move {
                marks.read.store(true, Ordering::SeqCst);
                let response = handle(&state, &stream, request).await?;
                if response.header("connection").is_some() {
                    marks.close.store(true, Ordering::SeqCst);
                    let _ = stop.try_send(());
                }
                Ok(response)
            }
        }
    };
    let header_wait = state.settings.header_wait.duration();
    let mut server = Server::new(stream.clone(), handler);
    loop {
        marks.read.store(false, Ordering::SeqCst);
        let mut one = Box::pin(server.accept_one().fuse());
        let slow = async {
            async_std::task::sleep(header_wait).await;
            if marks.read.load(Ordering::SeqCst) {
                futures::future::pending::<()>().await;
            }
        };
        let skipped = async {
            let _ = stopped.recv().await;
            async_std::task::sleep(SKIP).await;
        };
        let mut cut = Box::pin(futures::future::select(Box::pin(slow), Box::pin(skipped)).fuse());
        let status = futures::select! {
            status = one => status,
            _ = cut => break,
        };
        match status {
            Ok(ConnectionStatus::KeepAlive) if !marks.close.load(Ordering::SeqCst) => {}
            Ok(_) => break,
            Err(_) => {
                if !marks.read.load(Ordering::SeqCst) {
                    // The caller may be gone already.
                    drop((&stream).write_all(MALFORMED).await);
                }
                break;
            }
        }
    }
    state.disconnect(number);
    drop(stream.shutdown(std::net::Shutdown::Both));
}

/// Handles one request; an error closes the connection without an answer.
async fn handle<W: Wire>(
    state: &Arc<State<W>>,
    stream: &TcpStream,
    request: Request,
) -> http_types::Result<Response> {
    state.gate.pass().await;
    if request.url().path() == caller::HEALTH {
        return Ok(caller::health(state.draining()));
    }
    let head = match caller::head(&request) {
        Ok(head) => head,
        Err(problem) => return Ok(close(caller::refusal(problem.code, &problem.message, None))),
    };
    let Some(busy) = state.enter() else {
        let refusal = caller::refusal(Code::NotRunDraining, "", Some(Millis::ZERO));
        return Ok(close(refusal));
    };
    let Some(desk) = state.desk(&head.service) else {
        return Ok(close(caller::refusal(Code::NotRunUnknownService, "", None)));
    };
    let settings = desk.settings();
    let within = head.deadline.unwrap_or(settings.deadline_ms);
    let within = within.min(state.settings.longest);
    let deadline = state.now() + within;
    let wait = state.settings.body_wait.min(within);
    let held = Held::new(state);
    let body = match read(request, settings.body_limit, wait, &held).await {
        Ok(body) => body,
        Err(problem) => return Ok(close(caller::refusal(problem.code, &problem.message, None))),
    };
    let number = state.number();
    let named = head.request.clone();
    let request = named.unwrap_or_else(|| unnamed(state, number));
    let ask = Ask {
        request: request.clone(),
        domain: state.view.load().domain.clone(),
        attempt: head.attempt,
        service: head.service,
        team: head.team,
        class: head.class,
        idempotent: head.idempotent,
        deadline,
        age: head.age,
        limit: settings.body_limit,
        forwarded: false,
        body: Arc::new(body),
    };
    state.step(&ask, Kind::Accepted);
    let (open, gone) = async_channel::bounded(1);
    let (sender, receiver) = oneshot::channel();
    async_std::task::spawn(run::run(Arc::clone(state), busy, ask, gone, sender));
    let reply = futures::select_biased! {
        reply = receiver.fuse() => reply,
        () = closed(stream).fuse() => {
            drop(open);
            let gone = http_types::Error::from_str(StatusCode::BadRequest, "caller is gone");
            return Err(gone);
        }
    };
    drop(held);
    state.gate.pass().await;
    Ok(response(reply, &request))
}

fn response(reply: Result<Reply, oneshot::Canceled>, request: &id::Request) -> Response {
    let lost = Reply::failed(Code::UnknownEndpointLost, None);
    let mut response = match reply.unwrap_or(lost) {
        Reply::Failed { code, retry_after } => caller::refusal(code, "", retry_after),
        Reply::Done {
            status,
            content,
            body,
        } => {
            let status = StatusCode::try_from(status).unwrap_or(StatusCode::Ok);
            let mut response = Response::new(status);
            response.set_body(body);
            if !content.is_empty() {
                response.insert_header("content-type", content);
            }
            caller::mark(&mut response, Code::Done);
            response
        }
    };
    response.insert_header("x-marigold-request", request.as_str());
    response
}

/// `Held` counts the bytes of a request's body until it is dropped.
#[derive(Debug)]
struct Held<'a, W> {
    state: &'a State<W>,
    bytes: AtomicU64,
}

impl<'a, W> Held<'a, W> {
    const fn new(state: &'a State<W>) -> Self {
        Self {
            state,
            bytes: AtomicU64::new(0),
        }
    }

    /// Counts more bytes; tells whether there is room for them.
    fn add(&self, bytes: u64) -> bool {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let held = &self.state.held;
        held.fetch_add(bytes, Ordering::Relaxed) + bytes <= self.state.settings.body_bytes
    }
}

impl<W> Drop for Held<'_, W> {
    fn drop(&mut self) {
        self.state
            .held
            .fetch_sub(*self.bytes.get_mut(), Ordering::Relaxed);
    }
}

/// Reads a request's body whole.
async fn read<W>(
    mut request: Request,
    limit: u64,
    wait: Millis,
    held: &Held<'_, W>,
) -> Result<Vec<u8>, Problem> {
    let named = request.len().map(|length| length as u64);
    if named.is_some_and(|length| length > limit) {
        return Err(problem(
            Code::TooLarge,
            "the body is larger than the service allows",
        ));
    }
    let mut body = Vec::new();
    let reader = request.take_body();
    let read = async_std::io::timeout(wait.duration(), async {
        let mut reader = reader.take(limit + 1);
        let mut part = vec![0; 16 << 10];
        loop {
            let count = reader.read(&mut part).await?;
            if count == 0 || !held.add(count as u64) {
                return Ok(count == 0);
            }
            body.extend_from_slice(&part[..count]);
        }
    });
    match read.await {
        Ok(true) => {}
        Ok(false) => return Err(problem(Code::NotRunQueueFull, "too many bodies are held")),
        Err(_) => return Err(problem(Code::BadRequest, "the body did not come in time")),
    }
    let length = body.len() as u64;
    if length > limit {
        return Err(problem(
            Code::TooLarge,
            "the body is larger than the service allows",
        ));
    }
    if named.is_some_and(|named| named != length) {
        return Err(problem(
            Code::BadRequest,
            "the body is shorter than its length",
        ));
    }
    Ok(body)
}

/// Resolves when the caller has closed its connection.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => futures::future::pending().await,
    }
}

/// Names a request whose caller did not; its home is this failure domain.
fn unnamed<W>(state: &State<W>, number: u64) -> id::Request {
    let view = state.view.load();
    let text = format!("unnamed-{:x}-{number}", view.incarnation);
    let homed = id::Request::new(&format!("{}/{text}", view.domain));
    homed
        .or_else(|_too_long| id::Request::new(&text))
        .unwrap_or_else(|error| unreachable!("a name has such letters: {error}"))
}

fn close(mut response: Response) -> Response {
    response.insert_header("connection", "close");
    response
}

fn problem(code: Code, message: &str) -> Problem {
    Problem {
        code,
        message: message.to_owned(),
    }
}
