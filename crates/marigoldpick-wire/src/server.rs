//! The side that answers calls.

use std::cell::RefCell;
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
use crate::call::{Answer, Call};
use crate::convert::{self, Malformed};
use crate::cut::Cut;
use crate::peer_capnp::{peer, session};
use crate::stream::network;

/// Connections beyond these are closed at once.
const MAX_CONNECTIONS: usize = 1_024;
/// The wait after a failed accept.
const RETRY: Duration = Duration::from_millis(50);

/// `Handler` carries out calls. It runs on the server's thread and must not block it.
pub trait Handler: Clone + Send + 'static {
    /// Carries out one call; the answer is of the call's own kind.
    fn handle(&self, call: Call) -> impl Future<Output = Result<Answer, Code>> + Send;
}

/// `Server` answers calls on a thread of its own until it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    cut: Cut,
    /// The thread ends when this is closed.
    alive: async_channel::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts to answer calls with `handler`.
    ///
    /// # Errors
    /// Fails when the listener has no address or no thread can be made.
    pub fn start<H: Handler>(listener: TcpListener, handler: H) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let cut = Cut::default();
        let (alive, ended) = async_channel::bounded(1);
        let host = Host {
            handler,
            cut: cut.clone(),
        };
        let thread = thread::Builder::new()
            .name("wire-server".to_owned())
            .spawn(move || task::block_on(host.run(listener.into(), ended)))?;
        Ok(Self {
            address,
            cut,
            alive,
            thread: Some(thread),
        })
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers no entry of these failure domains any more, until it is called with others.
    pub fn cut(&self, domains: &[id::Domain]) {
        self.cut.set(domains);
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

/// `Host` is what all connections of a server share.
#[derive(Clone, Debug)]
struct Host<H> {
    handler: H,
    cut: Cut,
}

/// `Streams` is the open connections, to be closed at the end.
type Streams = Rc<RefCell<Vec<(u64, TcpStream)>>>;

impl<H: Handler> Host<H> {
    async fn run(self, listener: async_std::net::TcpListener, ended: async_channel::Receiver<()>) {
        let streams = Streams::default();
        let mut next = 0;
        loop {
            let accept = std::pin::pin!(listener.accept());
            let end = std::pin::pin!(ended.recv());
            match select(accept, end).await {
                Either::Left((Ok((stream, _)), _)) => {
                    next += 1;
                    self.serve(stream, next, &streams);
                }
                Either::Left((Err(error), _)) => {
                    log::warn!(target: "wire", "accept failed: {error}");
                    task::sleep(RETRY).await;
                }
                Either::Right(_) => break,
            }
        }
        for (_, stream) in streams.borrow().iter() {
            close(stream);
        }
    }

    fn serve(&self, stream: TcpStream, number: u64, streams: &Streams) {
        if streams.borrow().len() >= MAX_CONNECTIONS {
            log::warn!(target: "wire", "too many connections, one is closed");
            return;
        }
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "wire", "connection lost at once: {error}");
            return;
        }
        streams.borrow_mut().push((number, stream.clone()));
        let door: peer::Client = capnp_rpc::new_client(Door { host: self.clone() });
        let system = RpcSystem::new(network(&stream, Side::Server), Some(door.client));
        let streams = Rc::clone(streams);
        task::spawn_local(async move {
            if let Err(error) = system.await {
                log::warn!(target: "wire", "connection closed: {error}");
            }
            close(&stream);
            streams.borrow_mut().retain(|(have, _)| *have != number);
        });
    }
}

/// Closes a connection; one that the other side has closed already is left as it is.
pub(crate) fn close(stream: &TcpStream) {
    let _is_closed_already = stream.shutdown(Shutdown::Both);
}

/// `Door` is what a new connection reaches first.
struct Door<H> {
    host: Host<H>,
}

impl<H: Handler> peer::Server for Door<H> {
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
        let domain: id::Domain = convert::name(params.get_domain()).map_err(malformed)?;
        if self.host.cut.has(&domain) {
            return Err(cut_off());
        }
        let host = self.host.clone();
        let session: session::Client = capnp_rpc::new_client(Session { host, domain });
        results.get().set_session(session);
        Ok(())
    }
}

/// `Session` answers the calls of a peer of the same version.
struct Session<H> {
    host: Host<H>,
    domain: id::Domain,
}

impl<H: Handler> Session<H> {
    /// Carries out a call. In a cut neither calls nor answers get through.
    async fn handle(&self, call: Call) -> Result<Result<Answer, Code>, capnp::Error> {
        self.pass()?;
        let answer = self.host.handler.handle(call).await;
        self.pass()?;
        Ok(answer)
    }

    fn pass(&self) -> Result<(), capnp::Error> {
        if self.host.cut.has(&self.domain) {
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
            Ok(Answer::Traffic(_) | Answer::Jobs(_)) => Err(mixed_up()),
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
            Ok(Answer::Control(_) | Answer::Jobs(_)) => Err(mixed_up()),
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
            Ok(Answer::Control(_) | Answer::Traffic(_)) => Err(mixed_up()),
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

fn mixed_up() -> capnp::Error {
    capnp::Error::failed("the answer is not of the call's kind".to_owned())
}
