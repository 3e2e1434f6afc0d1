//! Bounds what the frames in arrival on all connections of a server hold.
//!
//! A frame's segments are allocated, and filled with zeros, as soon as its table has been read: 16 bytes
//! of a stranger would take 32 MiB. So the budget is asked between the table and the allocation.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use async_std::net::TcpStream;
use futures::io::AsyncRead;
use marigoldpick_core::clock::System;
use marigoldpick_core::prelude::*;
use marigoldpick_http::budget::{BASE_BYTES, Budget, Held, Limits, Opened, Port, Stage};

use crate::server::close;

/// The bytes that all frames in arrival may hold. The share of large ones holds one frame of 32 MiB.
const MAX_BYTES: usize = 44 << 20;
/// The bytes of a word.
const WORD: u64 = 8;

/// `Arrivals` holds the open connections of a server and what arrives on them.
#[derive(Clone)]
pub(crate) struct Arrivals {
    shared: Rc<RefCell<Shared>>,
}

struct Shared {
    budget: Budget,
    clock: System,
    /// The open connections, sorted by id.
    streams: Vec<(u64, TcpStream)>,
}

impl Arrivals {
    pub(crate) fn new(connections: usize) -> Self {
        let limits = Limits {
            bytes: MAX_BYTES,
            connections,
        };
        let shared = Shared {
            budget: Budget::new(limits),
            clock: System::new(),
            streams: Vec::new(),
        };
        Self {
            shared: Rc::new(RefCell::new(shared)),
        }
    }

    /// Admits a connection; `None` if there are too many.
    ///
    /// No connection is closed for it: calls may be in flight on one that sends nothing.
    pub(crate) fn open(&self, stream: &TcpStream) -> Option<Place> {
        let mut shared = self.shared.borrow_mut();
        // Connections that have just been opened make no room for each other.
        let Opened::Accepted(id, _) = shared.budget.open(Port::Callers, Millis::ZERO, Millis::MAX)
        else {
            return None;
        };
        shared.streams.push((id, stream.clone()));
        let arrivals = self.clone();
        Some(Place { arrivals, id })
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        for (_, stream) in &self.shared.borrow().streams {
            close(stream);
        }
    }
}

/// `Place` is the place of one connection; the connection counts as closed when it is dropped.
pub(crate) struct Place {
    arrivals: Arrivals,
    id: u64,
}

impl Place {
    /// Asks for room for a frame.
    fn hold(&self, bytes: usize) -> io::Result<()> {
        let mut shared = self.arrivals.shared.borrow_mut();
        let now = shared.clock.now();
        shared.budget.enter(self.id, Stage::Body, now, Millis::MAX);
        match shared.budget.hold(self.id, bytes, now) {
            Held::Granted(victims) => {
                let streams = shared.streams.iter();
                for (_, stream) in streams.filter(|(id, _)| victims.contains(id)) {
                    close(stream);
                }
                Ok(())
            }
            Held::Refused | Held::TooLarge => Err(io::Error::other("no room for a frame")),
        }
    }

    fn release(&self) {
        let mut shared = self.arrivals.shared.borrow_mut();
        shared.budget.record(self.id, 0);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut shared = self.arrivals.shared.borrow_mut();
        shared.budget.close(self.id);
        shared.streams.retain(|(id, _)| *id != self.id);
    }
}

/// `Gauge` passes an unpacked stream of frames on and asks for room before each large one.
pub(crate) struct Gauge<R> {
    inner: R,
    /// `None` if the connection's frames are not bounded.
    place: Option<Place>,
    frame: Frame,
}

impl<R> Gauge<R> {
    pub(crate) fn new(inner: R, place: Option<Place>) -> Self {
        Self {
            inner,
            place,
            frame: Frame::default(),
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Gauge<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let Self { place, frame, .. } = &mut *self;
        if let Some(place) = place {
            frame.follow(&buf[..count], place)?;
        }
        Poll::Ready(Ok(count))
    }
}

/// `Frame` is the position in the present frame.
#[derive(Default)]
struct Frame {
    /// The number of bytes of the table that have been read.
    read: u64,
    /// The part of the present number of the table.
    number: u32,
    segments: u64,
    /// The words of the segments so far.
    words: u64,
    /// The bytes of the segments that are still to come.
    left: u64,
    is_large: bool,
}

impl Frame {
    fn follow(&mut self, mut bytes: &[u8], place: &Place) -> io::Result<()> {
        while let Some((byte, rest)) = bytes.split_first() {
            if self.left > 0 {
                let count = self.left.min(bytes.len() as u64);
                self.left -= count;
                bytes = bytes
                    .split_at(usize::try_from(count).unwrap_or(bytes.len()))
                    .1;
                if self.left == 0 && self.is_large {
                    place.release();
                }
                continue;
            }
            bytes = rest;
            if self.add(*byte) {
                let size = usize::try_from(self.left).unwrap_or(usize::MAX);
                self.is_large = size > BASE_BYTES;
                if self.is_large {
                    place.hold(size)?;
                }
            }
        }
        Ok(())
    }

    /// Reads a byte of the table; returns whether it was the last one.
    fn add(&mut self, byte: u8) -> bool {
        self.number |= u32::from(byte) << (8 * (self.read % 4));
        self.read += 1;
        if !self.read.is_multiple_of(4) {
            return false;
        }
        let number = u64::from(std::mem::take(&mut self.number));
        let at = self.read / 4 - 1;
        if at == 0 {
            self.segments = number + 1;
            self.words = 0;
        } else if at <= self.segments {
            self.words += number;
        }
        let is_last = self.read == WORD * (self.segments / 2 + 1);
        if is_last {
            self.read = 0;
            self.left = self.words * WORD;
        }
        is_last
    }
}
