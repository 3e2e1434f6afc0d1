//! Wraps a TCP connection to record whether a byte was sent and to count bytes.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};
use metrics::Counter;

/// `Meter` counts the bytes that connections to one target transfer.
#[derive(Clone)]
pub(crate) struct Meter {
    sent: Counter,
    received: Counter,
}

impl Meter {
    /// Creates the counters of a target.
    pub(crate) fn new(target: &'static str) -> Self {
        let counter = |direction: &'static str| metrics::counter!("marigold_bytes_total", "target" => target, "direction" => direction);
        Self {
            sent: counter("sent"),
            received: counter("received"),
        }
    }
}

impl fmt::Debug for Meter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meter").finish_non_exhaustive()
    }
}

/// `Connection` wraps a TCP connection for one exchange.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    sent: Arc<AtomicBool>,
    meter: Meter,
}

impl Connection {
    /// Wraps `stream`; sets `sent` as soon as a byte is sent.
    pub(crate) fn new(stream: TcpStream, sent: Arc<AtomicBool>, meter: Meter) -> Self {
        Self {
            stream,
            sent,
            meter,
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = read {
            self.meter.received.increment(count as u64);
        }
        read
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count @ 1..)) = written {
            self.sent.store(true, Ordering::SeqCst);
            self.meter.sent.increment(count as u64);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
