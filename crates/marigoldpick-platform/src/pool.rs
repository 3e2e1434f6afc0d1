//! Idle connections by address.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::FutureExt;
use marigoldpick_core::prelude::*;

/// `Pool` keeps connections that are between two exchanges.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    idle: Arc<Mutex<Vec<Shelf>>>,
    most: usize,
}

/// `Shelf` is the idle connections of one address; the pool sorts them by address.
#[derive(Debug)]
struct Shelf {
    address: String,
    streams: Vec<TcpStream>,
}

impl Pool {
    /// Makes an empty pool that keeps at most `most` connections for an address.
    pub(crate) fn new(most: usize) -> Self {
        Self {
            idle: Arc::default(),
            most,
        }
    }

    /// Returns an idle connection to `address`, or makes one within `limit`.
    ///
    /// # Errors
    /// Fails when no connection could be made.
    pub(crate) async fn take(&self, address: &str, limit: Millis) -> io::Result<TcpStream> {
        while let Some(stream) = self.pop(address) {
            if is_quiet(&stream) {
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

    /// Keeps a connection on which an exchange has ended whole.
    pub(crate) fn put(&self, address: &str, stream: TcpStream) {
        let mut shelves = self.lock();
        let at = match shelves.binary_search_by(|s| s.address.as_str().cmp(address)) {
            Ok(at) => at,
            Err(at) => {
                let address = address.to_owned();
                let streams = Vec::new();
                shelves.insert(at, Shelf { address, streams });
                at
            }
        };
        if shelves[at].streams.len() < self.most {
            shelves[at].streams.push(stream);
        }
    }

    /// Drops the connections of an address that can't be reached any more.
    pub(crate) fn forget(&self, address: &str) {
        let mut shelves = self.lock();
        if let Ok(at) = shelves.binary_search_by(|s| s.address.as_str().cmp(address)) {
            shelves.remove(at);
        }
    }

    fn pop(&self, address: &str) -> Option<TcpStream> {
        let mut shelves = self.lock();
        let at = shelves
            .binary_search_by(|s| s.address.as_str().cmp(address))
            .ok()?;
        shelves[at].streams.pop()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Shelf>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whether the other side has neither closed the connection nor sent anything on it.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    stream.peek(&mut byte).now_or_never().is_none()
}
