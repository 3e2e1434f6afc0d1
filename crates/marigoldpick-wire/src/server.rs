//! The server, which answers calls of other entries.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use async_std::net::{Shutdown, TcpStream};
use async_std::task;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::future::{Either, select};
use marigoldpick_core::prelude::*;

use crate::VERSION;
use crate::arrival::Arrivals;
use crate::call::{Answer, Call};
use crate::convert::{self, Malformed};
use crate::partition::Partition;
use crate::peer_capnp::{peer, session};
use crate::stream::network;

/// The most open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 1_024;
/// The delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// `Handler` executes calls; it runs on the server's thread and must not block it.
pub trait Handler: Clone + Send + 'static {
    /// Executes one call; the answer must be the variant that belongs to the call.
    fn handle(&self, call: Call) -> impl Future<Output = Result<Answer, Code>> + Send;
}

/// `Server` answers calls on a thread of its own until it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    partition: Partition,
    /// The thread ends when this is closed.
    alive: async_channel::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a thread that answers calls with `handler`.
    ///
    /// # Errors
    /// Fails when the listener has no address or the thread can't be started.
    pub fn start<H: Handler>(listener: TcpListener, handler: H) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let partition = Partition::default();
        let (alive, ended) = async_channel::bounded(1);
        let host = Host {
            handler,
            partition: partition.clone(),
        };
        let thread = thread::Builder::new()
            .name("wire-server".to_owned())
            .spawn(move || task::block_on(host.run(listener.into(), ended)))?;
        Ok(Self {
            address,
            partition,
            alive,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts off these failure domains, and no others, from this server.
    pub fn set_partition(&self, domains: &[id::Domain]) {
        self.partition.set(domains);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.alive.close();
        let ended = self.thread.take().map(thread::JoinHandle::join);
        if let Some(Err(_)) = ended {
            log::error!(target: "wire", "the server's thread ended in a panic");
        }
    }
}

/// `Host` is the state that all connections of a server share.
#[derive(Clone, Debug)]
struct Host<H> {
    handler: H,
    partition: Partition,
}

impl<H: Handler> Host<H> {
    async fn run(self, listener: async_std::net::TcpListener, ended: async_channel::Receiver<()>) {
        let arrivals = Arrivals::new(MAX_CONNECTIONS);
        loop {
            let accept = std::pin::pin!(listener.accept());
            let end = std::pin::pin!(ended.recv());
            match select(accept, end).await {
                Either::Left((Ok((stream, _)), _)) => {
                    self.serve(stream, &arrivals);
                }
                Either::Left((Err(error), _)) => {
                    log::warn!(target: "wire", "accept failed: {error}");
                    task::sleep(ACCEPT_RETRY).await;
                }
                Either::Right(_) => break,
            }
        }
        arrivals.close_all();
    }

    fn serve(&self, stream: TcpStream, arrivals: &Arrivals) {
        let Some(place) = arrivals.open(&stream) else {
            log::warn!(target: "wire", "connection limit reached; closing a new connection");
            return;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "wire", "new connection lost: {error}");
            return;
        }
        let bootstrap: peer::Client = capnp_rpc::new_client(Bootstrap { host: self.clone() });
        let network = network(&stream, Side::Server, Some(place));
        let system = RpcSystem::new(network, Some(bootstrap.client));
        task::spawn_local(async move {
            if let Err(error) = system.await {
                log::warn!(target: "wire", "connection closed: {error}");
            }
            close(&stream);
        });
    }
}

/// Closes a connection; has no effect if the other side has closed it already.
pub(crate) fn close(stream: &TcpStream) {
    let _is_closed_already = stream.shutdown(Shutdown::Both);
}

/// `Bootstrap` is the capability that a new connection offers to the peer.
struct Bootstrap<H> {
    host: Host<H>,
}

impl<H: Handler> peer::Server for Bootstrap<H> {
    async fn open(
        self: Rc<Self>,
        params: peer::OpenParams,
        mut results: peer::OpenResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        results.get().set_version(VERSION);
        if params.get_version() != VERSION {
            return Ok(());
        }
        let domain: id::Domain = convert::read_name(params.get_domain()).map_err(malformed)?;
        if self.host.partition.contains(&domain) {
            return Err(cut_off());
        }
        let host = self.host.clone();
        let session: session::Client = capnp_rpc::new_client(Session { host, domain });
        results.get().set_session(session);
        Ok(())
    }
}

/// `Session` answers the calls of a peer of the same protocol version.
struct Session<H> {
    host: Host<H>,
    domain: id::Domain,
}

impl<H: Handler> Session<H> {
    /// Executes a call. Neither calls from a failure domain that is cut off nor answers to it get
    /// through.
    async fn handle(&self, call: Call) -> Result<Result<Answer, Code>, capnp::Error> {
        self.check_partition()?;
        let answer = self.host.handler.handle(call).await;
        self.check_partition()?;
        Ok(answer)
    }

    fn check_partition(&self) -> Result<(), capnp::Error> {
        if self.host.partition.contains(&self.domain) {
            return Err(cut_off());
        }
        Ok(())
    }
}

impl<H: Handler> session::Server for Session<H> {
    async fn control(
        self: Rc<Self>,
        params: session::ControlParams,
        mut results: session::ControlResults,
    ) -> Result<(), capnp::Error> {
        let call = convert::control::read_call(params.get()?.get_call()?);
        drop(params);
        let answer = match call {
            Ok(call) => self.handle(Call::Control(call)).await?,
            Err(Malformed) => Err(Code::BadRequest),
        };
        match answer {
            Ok(Answer::Control(answer)) => {
                convert::control::write_answer(&answer, results.get().init_answer())
                    .map_err(malformed)
            }
            Ok(Answer::Traffic(_) | Answer::Jobs(_)) => Err(wrong_kind()),
            Err(code) => {
                results.get().set_code(code.number());
                Ok(())
            }
        }
    }

    async fn traffic(
        self: Rc<Self>,
        params: session::TrafficParams,
        mut results: session::TrafficResults,
    ) -> Result<(), capnp::Error> {
        let call = convert::traffic::read_call(params.get()?.get_call()?);
        drop(params);
        let answer = match call {
            Ok(call) => self.handle(Call::Traffic(call)).await?,
            Err(Malformed) => Err(Code::BadRequest),
        };
        match answer {
            Ok(Answer::Traffic(answer)) => {
                convert::traffic::write_answer(&answer, results.get().init_answer())
                    .map_err(malformed)
            }
            Ok(Answer::Control(_) | Answer::Jobs(_)) => Err(wrong_kind()),
            Err(code) => {
                results.get().set_code(code.number());
                Ok(())
            }
        }
    }

    async fn jobs(
        self: Rc<Self>,
        params: session::JobsParams,
        mut results: session::JobsResults,
    ) -> Result<(), capnp::Error> {
        let call = convert::jobs::read_call(params.get()?.get_call()?);
        drop(params);
        let answer = match call {
            Ok(call) => self.handle(Call::Jobs(call)).await?,
            Err(Malformed) => Err(Code::BadRequest),
        };
        match answer {
            Ok(Answer::Jobs(answer)) => {
                convert::jobs::write_answer(&answer, results.get().init_answer()).map_err(malformed)
            }
            Ok(Answer::Control(_) | Answer::Traffic(_)) => Err(wrong_kind()),
            Err(code) => {
                results.get().set_code(code.number());
                Ok(())
            }
        }
    }
}

fn malformed(_source: Malformed) -> capnp::Error {
    capnp::Error::failed("the message is malformed".to_owned())
}

fn cut_off() -> capnp::Error {
    capnp::Error::disconnected("the failure domain is cut off".to_owned())
}

fn wrong_kind() -> capnp::Error {
    capnp::Error::failed("the answer is not of the call's kind".to_owned())
}
