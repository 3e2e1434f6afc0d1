//! A TCP connection as a network of two for capnp-rpc.

use async_std::net::TcpStream;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::io::{BufReader, BufWriter};

/// The largest frame, in words of eight bytes: 32 MiB.
const MAX_FRAME: usize = 4 << 20;
/// The deepest nesting in a frame.
const MAX_NESTING: i32 = 32;

/// Makes the network of one side; a frame beyond the bounds ends the connection.
pub(crate) fn network(stream: &TcpStream, side: Side) -> Box<VatNetwork<BufReader<TcpStream>>> {
    let mut options = ReaderOptions::new();
    options
        .traversal_limit_in_words(Some(MAX_FRAME))
        .nesting_limit(MAX_NESTING);
    let reader = BufReader::new(stream.clone());
    let writer = BufWriter::new(stream.clone());
    Box::new(VatNetwork::new(reader, writer, side, options))
}
