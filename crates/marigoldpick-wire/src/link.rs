//! A link to one peer: connects on demand, and again after failures with exponential backoff.

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

/// Consecutive calls without an answer after which the connection is closed.
const MAX_UNANSWERED: u32 = 3;
/// The most doublings of the delay between connection attempts.
const MAX_DOUBLINGS: u32 = 16;

/// `Link` is the client's connection to one peer, open or not.
#[derive(Debug)]
pub(crate) struct Link {
    address: String,
    pub(crate) domain: id::Domain,
    local: Rc<Local>,
    settings: Settings,
    rng: Rc<RefCell<ChaCha8Rng>>,
    state: RefCell<State>,
}

#[derive(Debug)]
enum State {
    Down(Down),
    /// The calls that wait for the connection, and the number of failures so far. A waiting call is
    /// woken when its sender is dropped.
    Connecting(Vec<oneshot::Sender<()>>, u32),
    Up(Rc<Up>),
}

/// `Down` is the state of a link without a connection.
#[derive(Clone, Copy, Debug)]
struct Down {
    failures: u32,
    until: Instant,
    reason: Error,
}

/// `Up` is the state of a link with a connection and a session.
struct Up {
    session: session::Client,
    connection: Connection,
    unanswered: Cell<u32>,
}

/// `Connection` is a TCP connection that is closed when it is dropped.
struct Connection {
    stream: TcpStream,
    /// Whether the peer or an error has ended the connection.
    ended: Rc<Cell<bool>>,
}

impl std::fmt::Debug for Up {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Up")
            .field("stream", &self.connection.stream)
            .finish_non_exhaustive()
    }
}

impl Drop for Connection {
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
        rng: Rc<RefCell<ChaCha8Rng>>,
    ) -> Self {
        let state = State::Down(Down {
            failures: 0,
            until: Instant::now(),
            reason: Error::Away,
        });
        Self {
            address,
            domain,
            local,
            settings,
            rng,
            state: RefCell::new(state),
        }
    }

    /// Returns whether there is neither a connection nor an attempt to make one.
    pub(crate) fn is_down(&self) -> bool {
        matches!(*self.state.borrow(), State::Down(_))
    }

    /// Makes one call with a timeout of `limit`.
    pub(crate) async fn call(self: Rc<Self>, call: Call, limit: Millis) -> Result<Answer, Error> {
        let start = Instant::now();
        let up = match timeout(limit.duration(), Rc::clone(&self).session()).await {
            Ok(up) => up?,
            Err(_) => return Err(Error::Away),
        };
        let left = limit.duration().saturating_sub(start.elapsed());
        match timeout(left, up.send(&call)).await {
            Ok(answer) => {
                up.unanswered.set(0);
                answer
            }
            Err(_) => {
                up.record_unanswered(&self.address);
                Err(Error::Unknown)
            }
        }
    }

    /// Closes the connection, if there is one.
    pub(crate) fn close(&self) {
        if let State::Up(up) = &*self.state.borrow() {
            close(&up.connection.stream);
        }
    }

    async fn session(self: Rc<Self>) -> Result<Rc<Up>, Error> {
        loop {
            let wait = match &mut *self.state.borrow_mut() {
                State::Up(up) if !up.connection.ended.get() => return Ok(Rc::clone(up)),
                State::Down(down) if Instant::now() < down.until => return Err(down.reason),
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
            Err(reason) => {
                log::debug!(target: "wire", "no connection to {}: {reason}", self.address);
                State::Down(Down {
                    failures: failures + 1,
                    until: Instant::now() + self.backoff(failures).duration(),
                    reason,
                })
            }
        };
        // Dropping the replaced state wakes the calls that wait.
        drop(self.state.replace(state));
    }

    async fn open(&self) -> Result<Up, Error> {
        let stream = TcpStream::connect(&self.address)
            .await
            .map_err(|_source| Error::Away)?;
        stream.set_nodelay(true).map_err(|_source| Error::Away)?;
        let mut system = RpcSystem::new(network(&stream, Side::Client, None), None);
        let bootstrap: peer::Client = system.bootstrap(Side::Server);
        let connection = Connection {
            stream,
            ended: Rc::default(),
        };
        let ended = Rc::clone(&connection.ended);
        task::spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!(target: "wire", "connection ended: {error}");
            }
            ended.set(true);
        });
        Ok(Up {
            session: self.open_session(&bootstrap).await?,
            connection,
            unanswered: Cell::new(0),
        })
    }

    /// Returns the delay, with jitter, after an attempt that follows `failures` failed ones has
    /// failed.
    fn backoff(&self, failures: u32) -> Millis {
        let doubled = self
            .settings
            .backoff
            .times(1 << failures.min(MAX_DOUBLINGS));
        let longest = doubled.min(self.settings.backoff_most).0.max(1);
        let shortest = longest.div_ceil(2);
        Millis(self.rng.borrow_mut().random_range(shortest..=longest))
    }

    async fn open_session(&self, bootstrap: &peer::Client) -> Result<session::Client, Error> {
        let mut request = bootstrap.open_request();
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
    /// Returns the number of consecutive failed connection attempts.
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
        convert::control::write_call(call, request.get().init_call()).map_err(not_sent)?;
        let response = request.send().promise.await.map_err(no_answer)?;
        let results = response.get().map_err(no_answer)?;
        check(results.get_code())?;
        let answer = results.get_answer().map_err(no_answer)?;
        convert::control::read_answer(answer).map_err(|Malformed| Error::Unknown)
    }

    async fn traffic(&self, call: &traffic::Call) -> Result<traffic::Answer, Error> {
        let mut request = self.session.traffic_request();
        convert::traffic::write_call(call, request.get().init_call()).map_err(not_sent)?;
        let response = request.send().promise.await.map_err(no_answer)?;
        let results = response.get().map_err(no_answer)?;
        check(results.get_code())?;
        let answer = results.get_answer().map_err(no_answer)?;
        convert::traffic::read_answer(answer).map_err(|Malformed| Error::Unknown)
    }

    async fn jobs(&self, call: &work::peer::Call) -> Result<work::peer::Answer, Error> {
        let mut request = self.session.jobs_request();
        convert::jobs::write_call(call, request.get().init_call()).map_err(not_sent)?;
        let response = request.send().promise.await.map_err(no_answer)?;
        let results = response.get().map_err(no_answer)?;
        check(results.get_code())?;
        let answer = results.get_answer().map_err(no_answer)?;
        convert::jobs::read_answer(answer).map_err(|Malformed| Error::Unknown)
    }

    /// Records a call without an answer; closes the connection after [`MAX_UNANSWERED`] in a row.
    fn record_unanswered(&self, address: &str) {
        self.unanswered.set(self.unanswered.get() + 1);
        if self.unanswered.get() >= MAX_UNANSWERED {
            log::warn!(target: "wire", "{address} does not answer calls; closing the connection");
            close(&self.connection.stream);
            self.connection.ended.set(true);
        }
    }
}

/// Checks the result code that precedes an answer.
fn check(number: u16) -> Result<(), Error> {
    match Code::from_number(number) {
        Some(Code::Done) => Ok(()),
        Some(code) => Err(Error::Refused(code)),
        None => Err(Error::Unknown),
    }
}

/// Maps a failure after the call was sent: the call may have had an effect.
fn no_answer(error: capnp::Error) -> Error {
    log::debug!(target: "wire", "no answer: {error}");
    Error::Unknown
}

/// Maps a failure to write a call: the call was not sent.
const fn not_sent(_source: Malformed) -> Error {
    Error::Refused(Code::BadRequest)
}
