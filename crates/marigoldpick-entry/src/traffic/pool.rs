//! Kept connections to endpoints. A connection belongs to a slot, so slots bound them.

use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_std::net::TcpStream;
use futures::poll;
use std::task::Poll;

use super::state::lock;

/// How long a connection may take to be made.
const CONNECT: Duration = Duration::from_millis(500);

/// `Pool` keeps connections.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<TcpStream>>>,
    open: Mutex<HashMap<u64, TcpStream>>,
    number: AtomicU64,
    killed: AtomicBool,
}

/// `Conn` is a connection in use; it is closed when it is dropped, unless it is put back.
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
    /// Returns a kept connection that is quiet and open, or makes one.
    ///
    /// # Errors
    /// Fails when none can be made; no byte has left then.
    pub async fn get(&self, address: &str) -> std::io::Result<Conn<'_>> {
        while let Some(stream) = self.take(address) {
            if is_quiet(&stream).await {
                return self.conn(address, stream);
            }
        }
        let made = async_std::io::timeout(CONNECT, TcpStream::connect(address)).await?;
        made.set_nodelay(true)?;
        self.conn(address, made)
    }

    /// Closes kept connections beyond `most`.
    pub fn trim(&self, address: &str, most: usize) {
        let mut idle = lock(&self.idle);
        if let Some(list) = idle.get_mut(address) {
            list.truncate(most);
            if list.is_empty() {
                idle.remove(address);
            }
        }
    }

    /// Closes the kept connections to all addresses but these, which are sorted.
    pub fn retain(&self, addresses: &[&str]) {
        lock(&self.idle).retain(|address, _| addresses.binary_search(&address.as_str()).is_ok());
    }

    /// Resets all connections.
    pub fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
        lock(&self.idle).clear();
        for stream in lock(&self.open).values() {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    fn take(&self, address: &str) -> Option<TcpStream> {
        lock(&self.idle).get_mut(address)?.pop()
    }

    fn conn(&self, address: &str, stream: TcpStream) -> std::io::Result<Conn<'_>> {
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
    /// Puts the connection back: its answer was read to the end.
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

/// Tells whether a kept connection is open and has nothing to read, such as a late answer.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut peek = std::pin::pin!(stream.peek(&mut byte));
    matches!(poll!(peek.as_mut()), Poll::Pending)
}
