//! Serves the requests of one connection, in order and one at a time.

use std::sync::{Arc, Mutex, PoisonError};

use async_h1::server::Encoder;
use async_std::net::Shutdown;
use async_std::task;
use futures::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use http_types::headers::{CONNECTION, RETRY_AFTER};
use http_types::{Body, Method, Response};
use marigoldpick_core::prelude::*;

use crate::budget::{BASE_BYTES, Stage};
use crate::failure::RETRY_AFTER_S;
use crate::head::{self, Head, Length};
use crate::reader::{Reader, ReturnSlot};
use crate::wire::Wire;
use crate::{Failure, Service, Terms};

/// The size of the pieces in which an answer is written, in bytes.
const PIECE_BYTES: usize = 4_096;
/// The size of the buffer between a body and readers that ask for less, in bytes.
const BODY_BUFFER_BYTES: usize = 1_024;
/// How long what a refused client still sends is discarded, so that it can read the refusal.
const CLOSING_TIME: Millis = Millis(1_000);
/// The most bytes that are discarded for a refused client.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Serves a connection until it is closed.
pub(crate) async fn serve<S: Service, T: Fn() -> Terms>(mut wire: Box<Wire>, service: S, terms: T) {
    loop {
        let limits = terms();
        let read = match wire.read_head(&limits).await {
            Ok(Some(bytes)) => head::parse(bytes),
            Ok(None) => return,
            Err(failure) => Err(failure),
        };
        let read = read.and_then(|head| {
            if head.cost > 2 * BASE_BYTES {
                wire.lease.hold(head.cost)?;
            }
            Ok(head)
        });
        let head = match read {
            Ok(head) => head,
            Err(failure) => {
                wire.lease.count(failure);
                refuse(wire, failure.response()).await;
                return;
            }
        };
        if !wire.lease.enter(Stage::Handling, Millis::MAX) {
            return;
        }
        let (method, keeps_alive) = (head.request.method(), head.keeps_alive);
        // The limits may have changed while the connection was idle.
        let limits = terms();
        wire.begin_body(head.length, limits.body_bytes, head.expects_continue);
        let Some((returned, response)) = respond(wire, &service, head).await else {
            // The handler kept the body, and with it the connection.
            return;
        };
        wire = returned;
        if !keeps_alive || !(wire.is_body_read() || wire.can_skip_body()) {
            refuse_with(wire, response, method).await;
            return;
        }
        if !write(&mut wire, response, method).await {
            return;
        }
        if !wire.skip_body(CLOSING_TIME).await {
            return;
        }
        wire.release();
        if !wire.lease.enter(Stage::Idle, limits.idle) {
            return;
        }
        if wire.has_buffered() {
            // A client that sends many requests at once must not keep others waiting.
            task::yield_now().await;
        }
    }
}

/// Lets the service answer a request; returns its answer with the connection.
async fn respond<S: Service>(
    wire: Box<Wire>,
    service: &S,
    mut head: Head,
) -> Option<(Box<Wire>, Response)> {
    let length = match head.length {
        Length::Bytes(0) => return Some((wire, service.respond(head.request).await)),
        Length::Bytes(bytes) => usize::try_from(bytes).ok(),
        Length::Chunked => None,
    };
    let slot: ReturnSlot = Arc::new(Mutex::new(None));
    let reader = Reader::new(wire, Arc::clone(&slot));
    let reader = BufReader::with_capacity(BODY_BUFFER_BYTES, reader);
    head.request.set_body(Body::from_reader(reader, length));
    let mut response = service.respond(head.request).await;
    let wire = slot.lock().unwrap_or_else(PoisonError::into_inner).take()?;
    if wire.failure == Some(Failure::NoRoom) {
        if response.status() != Failure::NoRoom.status() {
            response = Failure::NoRoom.response();
        } else if response.header(RETRY_AFTER).is_none() {
            response.insert_header(RETRY_AFTER, RETRY_AFTER_S);
        }
    }
    Some((wire, response))
}

/// Writes an answer; returns whether the client took all of it.
async fn write(wire: &mut Wire, response: Response, method: Method) -> bool {
    let size = response.len().unwrap_or(0);
    if size > BASE_BYTES {
        wire.lease.record(size);
    }
    let span = wire.lease.settings().answer_ms;
    wire.lease.enter(Stage::Answer, span);
    let mut encoder = Encoder::new(response, method);
    let mut piece = vec![0; PIECE_BYTES.min(size + 512)];
    loop {
        let mut filled = 0;
        while filled < piece.len() {
            match encoder.read(&mut piece[filled..]).await {
                Ok(0) => break,
                Ok(count) => filled += count,
                Err(_) => return false,
            }
        }
        if wire.stream().write_all(&piece[..filled]).await.is_err() {
            return false;
        }
        if filled < piece.len() {
            return true;
        }
    }
}

async fn refuse(wire: Box<Wire>, response: Response) {
    refuse_with(wire, response, Method::Get).await;
}

/// Writes a last answer and closes the connection.
///
/// What the client still sends is read for a while: closing a connection with unread bytes resets it,
/// and the client might lose the answer.
async fn refuse_with(mut wire: Box<Wire>, mut response: Response, method: Method) {
    response.insert_header(CONNECTION, "close");
    if !write(&mut wire, response, method).await {
        return;
    }
    wire.release();
    let is_open = wire.lease.enter(Stage::Closing, CLOSING_TIME);
    if !is_open || wire.stream().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut bytes = [0; 512];
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        match wire.stream().read(&mut bytes).await {
            Ok(count @ 1..) => discarded += count,
            Ok(0) | Err(_) => return,
        }
    }
}
