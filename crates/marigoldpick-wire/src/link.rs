//! One connection to one peer: made on demand, made again after a wait that grows.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::channel::oneshot;
use marigoldpick_core::prelude::*;
use marigoldpick_core::{control, peer as traffic, work};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::call::{Answer, Call, Error, Local, Settings};
use crate::convert::{self, Malformed};
use crate::peer_capnp::{peer, session};
use crate::server::close;
use crate::stream::network;

/// Calls in a row that may stay unanswered before the connection is given up.
const MAX_SILENT: u32 = 3;
/// Doublings of the wait that are counted.
const MAX_DOUBLINGS: u32 = 16;

/// `Link` is the way to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    address: String,
    pub(crate) domain: id::Domain,
    local: Rc<Local>,
    settings: Settings,
    draws: Rc<RefCell<ChaCha8Rng>>,
    state: RefCell<State>,
}

#[derive(Debug)]
enum State {
    Down(Down),
    /// Who waits is woken when this ends.
    Connecting(Vec<oneshot::Sender<()>>, u32),
    Up(Rc<Up>),
}

/// `Down` is a link without a connection.
#[derive(Clone, Copy, Debug)]
struct Down {
    failures: u32,
    until: Instant,
    why: Error,
}

/// `Up` is a connection with a session.
struct Up {
    session: session::Client,
    wire: Wire,
    silent: Cell<u32>,
}

/// `Wire` is a TCP connection that is closed when it is dropped.
struct Wire {
    stream: TcpStream,
    /// Set when the other side or an error has ended it.
    ended: Rc<Cell<bool>>,
}

impl std::fmt::Debug for Up {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Up")
            .field("stream", &self.wire.stream)
            .finish_non_exhaustive()
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        close(&self.stream);
    }
}

impl Link {
    /// Makes a link without a connection.
    pub(crate) fn new(
        address: String,
        domain: id::Domain,
        local: Rc<Local>,
        settings: Settings,
        draws: Rc<RefCell<ChaCha8Rng>>,
    ) -> Self {
        let state = State::Down(Down {
            failures: 0,
            until: Instant::now(),
            why: Error::Away,
        });
        Self {
            address,
            domain,
            local,
            settings,
            draws,
            state: RefCell::new(state),
        }
    }

    /// Tells whether there is neither a connection nor one in the making.
    pub(crate) fn is_down(&self) -> bool {
        matches!(*self.state.borrow(), State::Down(_))
    }

    /// Makes one call within `limit`.
    pub(crate) async fn call(self: Rc<Self>, call: Call, limit: Millis) -> Result<Answer, Error> {
        let start = Instant::now();
        let up = match timeout(limit.duration(), Rc::clone(&self).session()).await {
            Ok(up) => up?,
            Err(_) => return Err(Error::Away),
        };
        let left = limit.duration().saturating_sub(start.elapsed());
        match timeout(left, up.send(&call)).await {
            Ok(answer) => {
                up.silent.set(0);
                answer
            }
            Err(_) => {
                up.note_silence(&self.address);
                Err(Error::Unknown)
            }
        }
    }

    /// Closes the connection, if there is one.
    pub(crate) fn close(&self) {
        if let State::Up(up) = &*self.state.borrow() {
            close(&up.wire.stream);
        }
    }

    async fn session(self: Rc<Self>) -> Result<Rc<Up>, Error> {
        loop {
            let wait = match &mut *self.state.borrow_mut() {
                State::Up(up) if !up.wire.ended.get() => return Ok(Rc::clone(up)),
                State::Down(down) if Instant::now() < down.until => return Err(down.why),
                State::Connecting(waiting, _) => waiter(waiting),
                state => {
                    let mut waiting = Vec::new();
                    let wait = waiter(&mut waiting);
                    *state = State::Connecting(waiting, state.failures());
                    task::spawn_local(Rc::clone(&self).connect());
                    wait
                }
            };
            let _is_over = wait.await;
        }
    }

    async fn connect(self: Rc<Self>) {
        let limit = self.settings.connect.duration();
        let opened = timeout(limit, self.open())
            .await
            .unwrap_or(Err(Error::Away));
        let failures = self.state.borrow().failures();
        let state = match opened {
            Ok(up) => State::Up(Rc::new(up)),
            Err(why) => {
                log::debug!(target: "wire", "no connection to {}: {why}", self.address);
                State::Down(Down {
                    failures: failures + 1,
                    until: Instant::now() + self.backoff(failures).duration(),
                    why,
                })
            }
        };
        // The waiters of the replaced state are woken as it is dropped.
        drop(self.state.replace(state));
    }

    async fn open(&self) -> Result<Up, Error> {
        let stream = TcpStream::connect(&self.address)
            .await
            .map_err(|_source| Error::Away)?;
        stream.set_nodelay(true).map_err(|_source| Error::Away)?;
        let mut system = RpcSystem::new(network(&stream, Side::Client), None);
        let door: peer::Client = system.bootstrap(Side::Server);
        let wire = Wire {
            stream,
            ended: Rc::default(),
        };
        let ended = Rc::clone(&wire.ended);
        task::spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!(target: "wire", "connection ended: {error}");
            }
            ended.set(true);
        });
        Ok(Up {
            session: self.open_session(&door).await?,
            wire,
            silent: Cell::new(0),
        })
    }

    /// Returns the wait after the connection has failed once more than `failures` times.
    fn backoff(&self, failures: u32) -> Millis {
        let doubled = self
            .settings
            .backoff
            .times(1 << failures.min(MAX_DOUBLINGS));
        let most = doubled.min(self.settings.backoff_most).0.max(1);
        let least = most.div_ceil(2);
        Millis(self.draws.borrow_mut().random_range(least..=most))
    }

    async fn open_session(&self, door: &peer::Client) -> Result<session::Client, Error> {
        let mut request = door.open_request();
        let mut params = request.get();
        params.set_version(self.settings.version);
        params.set_entry(self.local.entry.as_str());
        params.set_domain(self.local.domain.as_str());
        let response = request
            .send()
            .promise
            .await
            .map_err(|_source| Error::Away)?;
        let results = response.get().map_err(|_source| Error::Away)?;
        if results.get_version() != self.settings.version {
            return Err(Error::Refused(Code::Version));
        }
        results.get_session().map_err(|_source| Error::Away)
    }
}

impl State {
    /// Returns how often in a row the connection has failed.
    const fn failures(&self) -> u32 {
        match self {
            Self::Down(down) => down.failures,
            Self::Connecting(_, failures) => *failures,
            Self::Up(_) => 0,
        }
    }
}

fn waiter(waiting: &mut Vec<oneshot::Sender<()>>) -> oneshot::Receiver<()> {
    let (wake, wait) = oneshot::channel();
    waiting.push(wake);
    wait
}

impl Up {
    /// Sends a call and waits for its answer.
    async fn send(&self, call: &Call) -> Result<Answer, Error> {
        match call {
            Call::Control(call) => self.control(call).await.map(Answer::Control),
            Call::Traffic(call) => self.traffic(call).await.map(Answer::Traffic),
            Call::Jobs(call) => self.jobs(call).await.map(Answer::Jobs),
        }
    }

    async fn control(&self, call: &control::Call) -> Result<control::Answer, Error> {
        let mut request = self.session.control_request();
        convert::control::write_call(call, request.get().init_call()).map_err(unwritable)?;
        let response = request.send().promise.await.map_err(lost)?;
        let results = response.get().map_err(lost)?;
        check(results.get_code())?;
        let answer = results.get_answer().map_err(lost)?;
        convert::control::read_answer(answer).map_err(|Malformed| Error::Unknown)
    }

    async fn traffic(&self, call: &traffic::Call) -> Result<traffic::Answer, Error> {
        let mut request = self.session.traffic_request();
        convert::traffic::write_call(call, request.get().init_call()).map_err(unwritable)?;
        let response = request.send().promise.await.map_err(lost)?;
        let results = response.get().map_err(lost)?;
        check(results.get_code())?;
        let answer = results.get_answer().map_err(lost)?;
        convert::traffic::read_answer(answer).map_err(|Malformed| Error::Unknown)
    }

    async fn jobs(&self, call: &work::peer::Call) -> Result<work::peer::Answer, Error> {
        let mut request = self.session.jobs_request();
        convert::jobs::write_call(call, request.get().init_call()).map_err(unwritable)?;
        let response = request.send().promise.await.map_err(lost)?;
        let results = response.get().map_err(lost)?;
        check(results.get_code())?;
        let answer = results.get_answer().map_err(lost)?;
        convert::jobs::read_answer(answer).map_err(|Malformed| Error::Unknown)
    }

    /// Notes a call that stayed unanswered; a connection on which all do is closed.
    fn note_silence(&self, address: &str) {
        self.silent.set(self.silent.get() + 1);
        if self.silent.get() >= MAX_SILENT {
            log::warn!(target: "wire", "{address} is silent, the connection is closed");
            close(&self.wire.stream);
            self.wire.ended.set(true);
        }
    }
}

/// Reads the code before an answer.
fn check(number: u16) -> Result<(), Error> {
    match Code::from_number(number) {
        Some(Code::Done) => Ok(()),
        Some(code) => Err(Error::Refused(code)),
        None => Err(Error::Unknown),
    }
}

/// A call that has left and got no answer may have had an effect.
fn lost(error: capnp::Error) -> Error {
    log::debug!(target: "wire", "no answer: {error}");
    Error::Unknown
}

/// A call that could not be written has not left.
const fn unwritable(_source: Malformed) -> Error {
    Error::Refused(Code::BadRequest)
}
