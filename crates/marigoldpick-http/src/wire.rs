//! Reads heads and bodies from one connection into one buffer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use marigoldpick_core::prelude::*;

use crate::budget::{BASE_BYTES, Stage};
use crate::chunk::Decoder;
use crate::head::{self, Length};
use crate::intake::Lease;
use crate::{Failure, Terms};

/// The interim answer to a client that waits before it sends a body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// The most bytes of an unread body that are read for the sake of the next request.
const MAX_SKIPPED_BYTES: usize = 65_536;

/// `Body` is what is left of the body of the present request.
#[derive(Clone, Copy, Debug)]
enum Body {
    Bytes(u64),
    Chunked(Decoder),
}

/// `Wire` is a connection with what has been read from it and not been used.
#[derive(Debug)]
pub(crate) struct Wire {
    stream: TcpStream,
    pub(crate) lease: Lease,
    buffer: Vec<u8>,
    /// The part of the buffer that holds bytes.
    start: usize,
    end: usize,
    body: Body,
    /// The number of bytes of the body, if its head tells it.
    length: Option<usize>,
    /// The bytes of the body that have been passed on.
    delivered: usize,
    limit: usize,
    /// The part of the interim answer that is still to be sent.
    interim: &'static [u8],
    is_waiting: bool,
    pub(crate) failure: Option<Failure>,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream, lease: Lease) -> Self {
        Self {
            stream,
            lease,
            buffer: vec![0; BASE_BYTES],
            start: 0,
            end: 0,
            body: Body::Bytes(0),
            length: None,
            delivered: 0,
            limit: 0,
            interim: &[],
            is_waiting: false,
            failure: None,
        }
    }

    pub(crate) const fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    pub(crate) const fn has_buffered(&self) -> bool {
        self.start < self.end
    }

    /// Reads until the buffer holds a whole head; returns its bytes, or `None` if there is no further
    /// request.
    pub(crate) async fn read_head(&mut self, terms: &Terms) -> Result<Option<&[u8]>, Failure> {
        let max_lines = self.lease.settings().empty_lines;
        let (mut scanned, mut lines) = (0, 0);
        let mut has_begun = false;
        loop {
            if scanned == 0 {
                let (skipped, skipped_lines) =
                    head::skip_empty_lines(&self.buffer[self.start..self.end]);
                self.start += skipped;
                lines += skipped_lines;
                if lines > max_lines || skipped > 2 * max_lines {
                    return Err(Failure::EmptyLines);
                }
            }
            let unread = &self.buffer[self.start..self.end];
            if let Some(length) = head::find_end(unread, scanned) {
                if length > terms.head_bytes {
                    return Err(Failure::HeadTooLarge);
                }
                let at = self.start;
                self.start += length;
                return Ok(Some(&self.buffer[at..at + length]));
            }
            scanned = unread.len();
            if scanned >= terms.head_bytes {
                return Err(Failure::HeadTooLarge);
            }
            if !has_begun && (scanned > 0 || lines > 0) {
                has_begun = true;
                self.lease.enter(Stage::Head, terms.head);
            }
            self.make_space(terms.head_bytes)?;
            match self.stream.read(&mut self.buffer[self.end..]).await {
                Ok(count @ 1..) => self.end += count,
                Ok(0) | Err(_) => return Ok(None),
            }
        }
    }

    /// Makes space behind the bytes of the buffer, within the budget.
    fn make_space(&mut self, head_bytes: usize) -> Result<(), Failure> {
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.end == self.buffer.len() {
            let size = (2 * self.end).min(head_bytes).max(self.end + 1);
            self.lease.hold(size)?;
            self.buffer.reserve_exact(size - self.end);
            self.buffer.resize(size, 0);
        }
        Ok(())
    }

    /// Prepares for the body of a request whose head has been read.
    pub(crate) fn begin_body(&mut self, length: Length, limit: usize, expects_continue: bool) {
        (self.body, self.length) = match length {
            Length::Bytes(bytes) => (Body::Bytes(bytes), usize::try_from(bytes).ok()),
            Length::Chunked => (Body::Chunked(Decoder::default()), None),
        };
        self.delivered = 0;
        self.limit = limit;
        self.failure = None;
        self.interim = if expects_continue { CONTINUE } else { &[] };
        self.is_waiting = false;
    }

    /// Releases what the request held.
    pub(crate) fn release(&mut self) {
        if self.buffer.len() > BASE_BYTES && self.end - self.start <= BASE_BYTES {
            let mut buffer = vec![0; BASE_BYTES];
            let unread = self.end - self.start;
            buffer[..unread].copy_from_slice(&self.buffer[self.start..self.end]);
            (self.buffer, self.start, self.end) = (buffer, 0, unread);
        }
        let size = self.buffer.len();
        self.lease.record(if size > BASE_BYTES { size } else { 0 });
    }

    /// Returns whether the body has been read to its end.
    pub(crate) fn is_body_read(&self) -> bool {
        match &self.body {
            Body::Bytes(left) => *left == 0,
            Body::Chunked(decoder) => decoder.is_done(),
        }
    }

    /// Returns whether the rest of the body is short enough to be skipped, as far as is known.
    pub(crate) fn can_skip_body(&self) -> bool {
        let is_short = match &self.body {
            Body::Bytes(left) => *left <= MAX_SKIPPED_BYTES as u64,
            Body::Chunked(_) => true,
        };
        self.failure.is_none() && self.interim.is_empty() && is_short
    }

    /// Reads the rest of the body and drops it; returns whether it ended.
    pub(crate) async fn skip_body(&mut self, span: Millis) -> bool {
        if self.is_body_read() {
            return true;
        }
        self.lease.enter(Stage::Closing, span);
        let mut bytes = [0; 512];
        let mut left = MAX_SKIPPED_BYTES;
        while let Ok(count) = futures::future::poll_fn(|cx| self.poll_raw(cx, &mut bytes)).await {
            if self.is_body_read() {
                return true;
            }
            if count == 0 || count > left {
                return false;
            }
            left -= count;
        }
        false
    }

    /// Reads a part of the body; no byte counts as passed on before the budget has granted it.
    pub(crate) fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(failure) = self.failure {
            return Poll::Ready(Err(io::Error::other(failure)));
        }
        if out.is_empty() || self.is_body_read() {
            return Poll::Ready(Ok(0));
        }
        if self.length.is_some_and(|length| length > self.limit) {
            return Poll::Ready(Err(self.fail(Failure::BodyTooLarge)));
        }
        let read = match self.poll_raw(cx, out) {
            Poll::Ready(Ok(count)) => self.account(count).map(|()| count),
            Poll::Ready(Err(failure)) => Err(failure),
            Poll::Pending => {
                if !self.is_waiting {
                    self.is_waiting = true;
                    let span = self.lease.settings().body_ms;
                    self.lease.enter(Stage::Body, span);
                }
                return Poll::Pending;
            }
        };
        Poll::Ready(read.map_err(|failure| self.fail(failure)))
    }

    fn fail(&mut self, failure: Failure) -> io::Error {
        self.failure = Some(failure);
        self.lease.count(failure);
        io::Error::other(failure)
    }

    /// Asks the budget for `count` more bytes of the body.
    fn account(&mut self, count: usize) -> Result<(), Failure> {
        self.delivered += count;
        if self.delivered > self.limit {
            return Err(Failure::BodyTooLarge);
        }
        // The reader's buffer doubles when it is full, up to the length in the head or the limit.
        let size = (self.delivered + 1).next_power_of_two();
        let size = size.min(self.length.unwrap_or(self.limit + 1));
        if size > BASE_BYTES {
            self.lease.hold(size)?;
        }
        // A request of a connection that is closing would run without an answer.
        if self.is_body_read() && !self.lease.enter(Stage::Handling, Millis::MAX) {
            return Err(Failure::BodyIncomplete);
        }
        Ok(())
    }

    /// Reads a part of the body, without an account of it; 0 is the end of the body.
    fn poll_raw(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<Result<usize, Failure>> {
        loop {
            if !self.interim.is_empty() && !self.has_buffered() {
                let written = Pin::new(&mut self.stream).poll_write(cx, self.interim);
                match ready!(written) {
                    Ok(count) => self.interim = &self.interim[count..],
                    Err(_) => return Poll::Ready(Err(Failure::BodyIncomplete)),
                }
                continue;
            }
            match &mut self.body {
                Body::Bytes(0) => return Poll::Ready(Ok(0)),
                Body::Bytes(left) => {
                    let most = out.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    let count = if self.start < self.end {
                        let count = most.min(self.end - self.start);
                        out[..count].copy_from_slice(&self.buffer[self.start..self.start + count]);
                        self.start += count;
                        count
                    } else {
                        let read = Pin::new(&mut self.stream).poll_read(cx, &mut out[..most]);
                        ready!(read).unwrap_or(0)
                    };
                    *left -= count as u64;
                    return Poll::Ready(match count {
                        0 => Err(Failure::BodyIncomplete),
                        _ => Ok(count),
                    });
                }
                Body::Chunked(decoder) => {
                    let input = &self.buffer[self.start..self.end];
                    let Ok((used, made)) = decoder.decode(input, out) else {
                        return Poll::Ready(Err(Failure::BodyMalformed));
                    };
                    let is_done = decoder.is_done();
                    self.start += used;
                    if made > 0 || is_done {
                        return Poll::Ready(Ok(made));
                    }
                    (self.start, self.end) = (0, 0);
                    let read = Pin::new(&mut self.stream).poll_read(cx, &mut self.buffer);
                    match ready!(read) {
                        Ok(count @ 1..) => self.end = count,
                        Ok(0) | Err(_) => return Poll::Ready(Err(Failure::BodyIncomplete)),
                    }
                }
            }
        }
    }
}
