//! Keeps idle connections for reuse, by address.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::FutureExt;
use marigoldpick_core::prelude::*;

/// `Pool` holds the idle connections of a client.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// One bucket per address, sorted by address.
    idle: Arc<Mutex<Vec<Bucket>>>,
    max_per_address: usize,
}

/// `Bucket` holds the idle connections to one address.
#[derive(Debug)]
struct Bucket {
    address: String,
    streams: Vec<TcpStream>,
}

impl Pool {
    /// Creates an empty pool that keeps at most `max_per_address` connections per address.
    pub(crate) fn new(max_per_address: usize) -> Self {
        Self {
            idle: Arc::default(),
            max_per_address,
        }
    }

    /// Returns an idle connection to `address`, or opens one within `limit`.
    ///
    /// # Errors
    /// Fails when no connection can be opened in time.
    pub(crate) async fn take(&self, address: &str, limit: Millis) -> io::Result<TcpStream> {
        while let Some(stream) = self.pop(address) {
            if is_reusable(&stream) {
                return Ok(stream);
            }
        }
        let connect = TcpStream::connect(address);
        let stream = timeout(limit.duration(), connect)
            .await
            .map_err(io::Error::other)??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Keeps a connection whose exchange is complete, unless the limit for its address is reached.
    pub(crate) fn put(&self, address: &str, stream: TcpStream) {
        let mut buckets = self.lock();
        let at = match buckets.binary_search_by(|s| s.address.as_str().cmp(address)) {
            Ok(at) => at,
            Err(at) => {
                let address = address.to_owned();
                let streams = Vec::new();
                buckets.insert(at, Bucket { address, streams });
                at
            }
        };
        if buckets[at].streams.len() < self.max_per_address {
            buckets[at].streams.push(stream);
        }
    }

    /// Closes the idle connections to an address.
    pub(crate) fn forget(&self, address: &str) {
        let mut buckets = self.lock();
        if let Ok(at) = buckets.binary_search_by(|s| s.address.as_str().cmp(address)) {
            buckets.remove(at);
        }
    }

    fn pop(&self, address: &str) -> Option<TcpStream> {
        let mut buckets = self.lock();
        let at = buckets
            .binary_search_by(|s| s.address.as_str().cmp(address))
            .ok()?;
        buckets[at].streams.pop()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Bucket>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the peer has neither closed the connection nor sent anything on it.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    stream.peek(&mut byte).now_or_never().is_none()
}
