//! Provides an HTTP listener that can be closed and reopened at the same address.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use futures::future::{Either, select};
use http_types::{Request, Response};

/// The delay before a failed bind or accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// `Handler` answers requests; an error closes the connection without an answer.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, request: Request)
    -> impl Future<Output = http_types::Result<Response>> + Send;
}

/// `Listener` accepts connections, a bounded number of them at a time.
#[derive(Clone, Debug)]
pub struct Listener {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: async_channel::Sender<()>,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    streams: Vec<(u64, TcpStream)>,
    next_number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Open,
    Closed,
    Ended,
}

impl Listener {
    /// Listens at `address`; connections beyond `max_connections` are closed at once.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub fn start<H: Handler>(
        address: &str,
        max_connections: usize,
        handler: H,
    ) -> std::io::Result<Self> {
        let socket = std::net::TcpListener::bind(address)?;
        let (changed, changes) = async_channel::bounded(1);
        let listener = Self {
            address: socket.local_addr()?,
            state: Arc::new(Mutex::new(State {
                mode: Mode::Open,
                streams: Vec::new(),
                next_number: 0,
            })),
            changed,
        };
        let this = listener.clone();
        task::spawn(async move { this.run(socket, changes, max_connections, handler).await });
        Ok(listener)
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections.
    pub fn close(&self) {
        self.set_mode(Mode::Closed);
    }

    /// Listens again.
    pub fn open(&self) {
        self.set_mode(Mode::Open);
    }

    /// Closes for good.
    pub fn end(&self) {
        self.set_mode(Mode::Ended);
    }

    fn set_mode(&self, mode: Mode) {
        let mut state = self.lock();
        if state.mode == Mode::Ended {
            return;
        }
        state.mode = mode;
        if mode != Mode::Open {
            for (_, stream) in state.streams.drain(..) {
                drop(stream.shutdown(Shutdown::Both));
            }
        }
        drop(state);
        let _is_pending = self.changed.try_send(());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run<H: Handler>(
        self,
        socket: std::net::TcpListener,
        changes: async_channel::Receiver<()>,
        max_connections: usize,
        handler: H,
    ) {
        let mut socket = Some(TcpListener::from(socket));
        loop {
            let mode = self.lock().mode;
            match mode {
                Mode::Ended => return,
                Mode::Closed => {
                    socket = None;
                    let _is_ended = changes.recv().await;
                }
                Mode::Open => match &socket {
                    Some(open) => self.accept(open, &changes, max_connections, &handler).await,
                    None => socket = self.bind().await,
                },
            }
        }
    }

    async fn bind(&self) -> Option<TcpListener> {
        match std::net::TcpListener::bind(self.address) {
            Ok(socket) => Some(TcpListener::from(socket)),
            Err(error) => {
                log::warn!(target: "worker", "can't reopen the listener at {}: {error}", self.address);
                task::sleep(RETRY_DELAY).await;
                None
            }
        }
    }

    async fn accept<H: Handler>(
        &self,
        socket: &TcpListener,
        changes: &async_channel::Receiver<()>,
        max_connections: usize,
        handler: &H,
    ) {
        let accepted = {
            let accept = std::pin::pin!(socket.accept());
            let change = std::pin::pin!(changes.recv());
            match select(accept, change).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => return,
            }
        };
        match accepted {
            Ok((stream, _)) => self.serve(stream, max_connections, handler.clone()),
            Err(error) => {
                log::warn!(target: "worker", "accepting a connection at {} failed: {error}", self.address);
                task::sleep(RETRY_DELAY).await;
            }
        }
    }

    fn serve<H: Handler>(&self, stream: TcpStream, max_connections: usize, handler: H) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let mut state = self.lock();
        if state.mode != Mode::Open || state.streams.len() >= max_connections {
            return;
        }
        let number = state.next_number;
        state.next_number += 1;
        state.streams.push((number, stream.clone()));
        drop(state);
        let this = self.clone();
        task::spawn(async move {
            let served = async_h1::accept(stream, |request| {
                let handler = handler.clone();
                async move { handler.answer(request).await }
            });
            if let Err(error) = served.await {
                log::debug!(target: "worker", "connection ended: {error}");
            }
            this.lock().streams.retain(|(other, _)| *other != number);
        });
    }
}
