//! Pools idle connections to endpoints.
//!
//! Each request in flight holds a slot and one connection, so the slots bound the connections.

use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_std::net::TcpStream;
use futures::poll;
use std::task::Poll;

use super::state::lock;

/// The timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// `Pool` holds the idle connections by endpoint address, and the connections in use by number.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<TcpStream>>>,
    open: Mutex<HashMap<u64, TcpStream>>,
    number: AtomicU64,
    killed: AtomicBool,
}

/// `Conn` is a connection in use, which closes when dropped unless it was put back.
#[derive(Debug)]
pub struct Conn<'a> {
    /// The connection.
    pub stream: TcpStream,
    address: String,
    number: u64,
    pool: &'a Pool,
    keep: bool,
}

impl Pool {
    /// Returns an idle connection that is open and has nothing to read, or makes one.
    ///
    /// # Errors
    /// Fails when no connection can be made; no byte was sent then.
    pub async fn get(&self, address: &str) -> std::io::Result<Conn<'_>> {
        while let Some(stream) = self.pop_idle(address) {
            if is_quiet(&stream).await {
                return self.register(address, stream);
            }
        }
        let made = async_std::io::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await?;
        made.set_nodelay(true)?;
        self.register(address, made)
    }

    /// Closes an address's idle connections beyond `max_idle`.
    pub fn trim(&self, address: &str, max_idle: usize) {
        let mut idle = lock(&self.idle);
        if let Some(list) = idle.get_mut(address) {
            list.truncate(max_idle);
            if list.is_empty() {
                idle.remove(address);
            }
        }
    }

    /// Closes the idle connections to all addresses but `addresses`, which must be sorted.
    pub fn retain(&self, addresses: &[&str]) {
        lock(&self.idle).retain(|address, _| addresses.binary_search(&address.as_str()).is_ok());
    }

    /// Closes all connections at once.
    pub fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
        lock(&self.idle).clear();
        for stream in lock(&self.open).values() {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    fn pop_idle(&self, address: &str) -> Option<TcpStream> {
        lock(&self.idle).get_mut(address)?.pop()
    }

    /// Records a connection as open, so that a kill closes it.
    fn register(&self, address: &str, stream: TcpStream) -> std::io::Result<Conn<'_>> {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        lock(&self.open).insert(number, stream.clone());
        if self.killed.load(Ordering::SeqCst) {
            lock(&self.open).remove(&number);
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        Ok(Conn {
            stream,
            address: address.to_owned(),
            number,
            pool: self,
            keep: false,
        })
    }
}

impl Conn<'_> {
    /// Puts the connection back into the pool, after its answer was read to the end.
    pub fn put_back(mut self) {
        self.keep = true;
    }
}

impl Drop for Conn<'_> {
    fn drop(&mut self) {
        lock(&self.pool.open).remove(&self.number);
        if self.keep && !self.pool.killed.load(Ordering::SeqCst) {
            let mut idle = lock(&self.pool.idle);
            let list = idle.entry(std::mem::take(&mut self.address)).or_default();
            list.push(self.stream.clone());
        } else {
            drop(self.stream.shutdown(Shutdown::Both));
        }
    }
}

/// Returns whether an idle connection is open and has nothing to read, such as a late answer.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut peek = std::pin::pin!(stream.peek(&mut byte));
    matches!(poll!(peek.as_mut()), Poll::Pending)
}
