//! Passes the body of a request to its handler, within the budget.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncReadExt};
use http_types::Body;

use crate::Failure;
use crate::budget::BASE_BYTES;
use crate::wire::Wire;

/// `ReturnSlot` is where a connection returns to when the body of its request is dropped.
pub(crate) type ReturnSlot = Arc<Mutex<Option<Box<Wire>>>>;

/// `Reader` reads a body; it owns the connection until it is dropped.
#[derive(Debug)]
pub(crate) struct Reader {
    wire: Option<Box<Wire>>,
    slot: ReturnSlot,
}

impl Reader {
    pub(crate) const fn new(wire: Box<Wire>, slot: ReturnSlot) -> Self {
        Self {
            wire: Some(wire),
            slot,
        }
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match &mut self.wire {
            Some(wire) => wire.poll_body(cx, buf),
            None => Poll::Ready(Ok(0)),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        *self.slot.lock().unwrap_or_else(PoisonError::into_inner) = self.wire.take();
    }
}

/// Reads a whole body of at most `limit` bytes; its buffer never exceeds what the budget has granted by
/// more than 4 KiB.
///
/// # Errors
/// Fails when the body is incomplete, malformed or larger than its listener allows, or when there is no
/// room for it.
pub async fn read_body(mut body: Body, limit: usize) -> Result<Vec<u8>, Failure> {
    let length = body.len();
    let most = length.unwrap_or(limit + 1);
    if length.is_some_and(|length| length > limit) {
        return Err(Failure::BodyTooLarge);
    }
    let mut bytes = Vec::new();
    let mut read = 0;
    while read < most {
        if read == bytes.len() {
            let size = (2 * read).max(BASE_BYTES).min(most);
            bytes.reserve_exact(size - read);
            bytes.resize(size, 0);
        }
        match body.read(&mut bytes[read..]).await {
            Ok(0) => break,
            Ok(count) => read += count,
            Err(error) => return Err(find_failure(&error)),
        }
    }
    if read > limit {
        return Err(Failure::BodyTooLarge);
    }
    bytes.truncate(read);
    Ok(bytes)
}

fn find_failure(error: &io::Error) -> Failure {
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref());
    inner.copied().unwrap_or(Failure::BodyIncomplete)
}
