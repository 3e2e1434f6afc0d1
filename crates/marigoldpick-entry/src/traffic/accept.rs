//! Accepts callers' connections, reads their requests and detects callers that disconnect.

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

use super::Transport;
use super::caller::{self, Problem};
use super::run::{self, Invocation, Reply};
use super::state::State;
use crate::recorder::Kind;

/// How long the server may discard an unread body before the connection is closed.
const UNREAD_BODY_WAIT: Duration = Duration::from_millis(500);
/// The answer to a request whose header can't be parsed.
const MALFORMED: &[u8] = b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\
    x-marigold-result: not-run\r\nx-marigold-code: 106\r\ncontent-length: 0\r\n\r\n";
/// The pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the frontend is killed.
pub async fn serve<T: Transport>(state: Arc<State<T>>, listener: TcpListener) {
    while !state.is_killed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                async_std::task::spawn(serve_connection(Arc::clone(&state), stream));
            }
            Err(error) => {
                log::warn!(target: "entry", "accept failed: {error}");
                async_std::task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// `Flags` carries the state of a connection from its request handler to its loop.
#[derive(Debug, Default)]
struct Flags {
    /// Whether the header of the current request was read.
    read: AtomicBool,
    /// Whether the connection closes after this answer.
    close: AtomicBool,
}

/// Serves the requests of one connection, one after another, until it closes.
async fn serve_connection<T: Transport>(state: Arc<State<T>>, stream: TcpStream) {
    let Some(number) = state.add_caller(&stream) else {
        return;
    };
    // If this fails, answers are delayed by Nagle's algorithm but correct.
    drop(stream.set_nodelay(true));
    let flags = Arc::new(Flags::default());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let handler = {
        let (state, stream, flags) = (Arc::clone(&state), stream.clone(), Arc::clone(&flags));
        move |request: Request| {
            let (state, stream) = (Arc::clone(&state), stream.clone());
            let (flags, stop) = (Arc::clone(&flags), stop.clone());
            async move {
                flags.read.store(true, Ordering::SeqCst);
                let response = handle(&state, &stream, request).await?;
                if response.header("connection").is_some() {
                    flags.close.store(true, Ordering::SeqCst);
                    let _ = stop.try_send(());
                }
                Ok(response)
            }
        }
    };
    let header_wait = state.settings.header_wait.duration();
    let mut server = Server::new(stream.clone(), handler);
    loop {
        flags.read.store(false, Ordering::SeqCst);
        let mut served = Box::pin(server.accept_one().fuse());
        let slow_header = async {
            async_std::task::sleep(header_wait).await;
            if flags.read.load(Ordering::SeqCst) {
                futures::future::pending::<()>().await;
            }
        };
        let unread_body = async {
            let _ = stopped.recv().await;
            async_std::task::sleep(UNREAD_BODY_WAIT).await;
        };
        let mut aborted =
            Box::pin(futures::future::select(Box::pin(slow_header), Box::pin(unread_body)).fuse());
        let status = futures::select! {
            status = served => status,
            _ = aborted => break,
        };
        match status {
            Ok(ConnectionStatus::KeepAlive) if !flags.close.load(Ordering::SeqCst) => {}
            Ok(_) => break,
            Err(_) => {
                if !flags.read.load(Ordering::SeqCst) {
                    // The caller may have disconnected already.
                    drop((&stream).write_all(MALFORMED).await);
                }
                break;
            }
        }
    }
    state.remove_caller(number);
    drop(stream.shutdown(std::net::Shutdown::Both));
}

/// Handles one request. An error closes the connection without an answer.
async fn handle<T: Transport>(
    state: &Arc<State<T>>,
    stream: &TcpStream,
    request: Request,
) -> http_types::Result<Response> {
    state.gate.pass().await;
    if request.url().path() == caller::HEALTH {
        return Ok(caller::health_response(state.is_draining()));
    }
    let head = match caller::parse_head(&request) {
        Ok(head) => head,
        Err(problem) => return Ok(close(caller::refusal(problem.code, &problem.message, None))),
    };
    let Some(in_flight) = state.begin_request() else {
        let refusal = caller::refusal(Code::NotRunDraining, "", Some(Millis::ZERO));
        return Ok(close(refusal));
    };
    let Some(dispatcher) = state.dispatcher(&head.service) else {
        return Ok(close(caller::refusal(Code::NotRunUnknownService, "", None)));
    };
    let settings = dispatcher.settings();
    let timeout = head.deadline.unwrap_or(settings.deadline_ms);
    let timeout = timeout.min(state.settings.max_deadline);
    let deadline = state.now() + timeout;
    let wait = state.settings.body_wait.min(timeout);
    let held = BodyBytes::new(state);
    let body = match read_body(request, settings.body_limit, wait, &held).await {
        Ok(body) => body,
        Err(problem) => return Ok(close(caller::refusal(problem.code, &problem.message, None))),
    };
    let number = state.next_number();
    let named = head.request.clone();
    let request = named.unwrap_or_else(|| generate_id(state, number));
    let invocation = Invocation {
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
    state.record_step(&invocation, Kind::Accepted);
    let (caller_present, gone) = async_channel::bounded(1);
    let (sender, receiver) = oneshot::channel();
    async_std::task::spawn(run::run(
        Arc::clone(state),
        in_flight,
        invocation,
        gone,
        sender,
    ));
    let reply = futures::select_biased! {
        reply = receiver.fuse() => reply,
        () = caller_closed(stream).fuse() => {
            drop(caller_present);
            let gone = http_types::Error::from_str(StatusCode::BadRequest, "caller is gone");
            return Err(gone);
        }
    };
    drop(held);
    state.gate.pass().await;
    Ok(response(reply, &request))
}

/// Builds the HTTP response of a reply.
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
            caller::insert_result(&mut response, Code::Done);
            response
        }
    };
    response.insert_header("x-marigold-request", request.as_str());
    response
}

/// `BodyBytes` counts the bytes of one request's body in the total until it is dropped.
#[derive(Debug)]
struct BodyBytes<'a, T> {
    state: &'a State<T>,
    bytes: AtomicU64,
}

impl<'a, T> BodyBytes<'a, T> {
    const fn new(state: &'a State<T>) -> Self {
        Self {
            state,
            bytes: AtomicU64::new(0),
        }
    }

    /// Adds bytes to the total and returns whether the total is within its limit.
    fn reserve(&self, bytes: u64) -> bool {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let held = &self.state.held_body_bytes;
        held.fetch_add(bytes, Ordering::Relaxed) + bytes <= self.state.settings.body_bytes
    }
}

impl<T> Drop for BodyBytes<'_, T> {
    fn drop(&mut self) {
        self.state
            .held_body_bytes
            .fetch_sub(*self.bytes.get_mut(), Ordering::Relaxed);
    }
}

/// Reads a request's body to its end.
///
/// # Errors
/// Fails when the body is larger than `limit`, incomplete, late, or over the limit of all bodies.
async fn read_body<T>(
    mut request: Request,
    limit: u64,
    wait: Millis,
    held: &BodyBytes<'_, T>,
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
            if count == 0 || !held.reserve(count as u64) {
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
async fn caller_closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => futures::future::pending().await,
    }
}

/// Generates an id for a request without one. Its home is this failure domain, unless an id with the
/// domain's name would be too long.
fn generate_id<T>(state: &State<T>, number: u64) -> id::Request {
    let view = state.view.load();
    let text = format!("unnamed-{:x}-{number}", view.incarnation);
    let with_domain = id::Request::new(&format!("{}/{text}", view.domain));
    with_domain
        .or_else(|_too_long| id::Request::new(&text))
        .unwrap_or_else(|error| unreachable!("a generated id is a valid name: {error}"))
}

/// Marks the connection to be closed after this response.
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
