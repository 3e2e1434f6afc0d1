//! Counts the slots of an endpoint and its requests in flight.
//!
//! A request occupies a slot until the last byte of its answer is read, and stays in flight until
//! the answer is written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use futures::io::{AsyncBufRead, AsyncRead, Cursor};

/// `Slots` counts the slots of one endpoint.
#[derive(Debug)]
pub(crate) struct Slots {
    limit: u64,
    occupied: AtomicU64,
    in_flight: AtomicU64,
    closed: AtomicBool,
}

/// `Slot` is an occupied slot.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
    occupied: bool,
}

/// `Body` is an answer's body that holds its slot until its last byte is read.
#[derive(Debug)]
pub(crate) struct Body {
    bytes: Cursor<Vec<u8>>,
    slot: Slot,
}

impl Slots {
    /// Creates `limit` free slots.
    pub(crate) fn new(limit: u64) -> Arc<Self> {
        Arc::new(Self {
            limit,
            occupied: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
            closed: AtomicBool::new(false),
        })
    }

    /// Stops giving out slots.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns how many requests are in flight.
    pub(crate) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Takes a slot, if one is free and the slots are not closed.
    pub(crate) fn take(self: &Arc<Self>) -> Option<Slot> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let before = self.occupied.fetch_add(1, Ordering::SeqCst);
        let slot = Slot {
            slots: Arc::clone(self),
            occupied: true,
        };
        let is_free = before < self.limit && !self.closed.load(Ordering::SeqCst);
        is_free.then_some(slot)
    }
}

impl Slot {
    /// Converts the slot into the body of its request's answer.
    pub(crate) fn body(self, bytes: Vec<u8>) -> Body {
        Body {
            bytes: Cursor::new(bytes),
            slot: self,
        }
    }

    fn release(&mut self) {
        if self.occupied {
            self.occupied = false;
            self.slots.occupied.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release();
        self.slots.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Body {
    fn release_at_end(&mut self) {
        if self.bytes.position() >= self.bytes.get_ref().len() as u64 {
            self.slot.release();
        }
    }
}

impl AsyncRead for Body {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.bytes).poll_read(cx, buf);
        self.release_at_end();
        read
    }
}

impl AsyncBufRead for Body {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().bytes).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        Pin::new(&mut self.bytes).consume(amt);
        self.release_at_end();
    }
}
