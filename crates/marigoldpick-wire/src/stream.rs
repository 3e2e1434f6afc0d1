//! A TCP connection as a two-party network for capnp-rpc, with a count of its bytes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use capnp::message::ReaderOptions;
use capnp_futures::serialize_packed::{PackedRead, PackedWrite};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::io::{AsyncRead, AsyncWrite, BufReader, BufWriter};
use metrics::Counter;

use crate::arrival::{Gauge, Place};

/// The largest frame, in words of eight bytes: 32 MiB.
const MAX_FRAME_WORDS: usize = 4 << 20;
/// The deepest nesting of pointers in a frame.
const MAX_NESTING: i32 = 32;

/// The reader of incoming frames, which are packed since most of their bytes are zero.
type Incoming = Gauge<PackedRead<BufReader<Metered>>>;

/// Makes the network of one side; a frame beyond the limits, or beyond the room that `place` has, ends
/// the connection.
pub(crate) fn network(
    stream: &TcpStream,
    side: Side,
    place: Option<Place>,
) -> Box<VatNetwork<Incoming>> {
    let mut options = ReaderOptions::new();
    options
        .traversal_limit_in_words(Some(MAX_FRAME_WORDS))
        .nesting_limit(MAX_NESTING);
    let reader = PackedRead::new(BufReader::new(Metered::new(stream)));
    let reader = Gauge::new(reader, place);
    let writer = PackedWrite::new(BufWriter::new(Metered::new(stream)));
    Box::new(VatNetwork::new(reader, writer, side, options))
}

/// `Metered` counts the bytes of a connection.
pub(crate) struct Metered {
    stream: TcpStream,
    sent: Counter,
    received: Counter,
}

impl Metered {
    fn new(stream: &TcpStream) -> Self {
        let counter = |direction: &'static str| metrics::counter!("marigold_bytes_total", "target" => "entry", "direction" => direction);
        Self {
            stream: stream.clone(),
            sent: counter("sent"),
            received: counter("received"),
        }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = read {
            self.received.increment(count as u64);
        }
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.sent.increment(count as u64);
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
