//! A request's way: once-only check, slot, endpoint, retries, answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::channel::oneshot;
use http_types::Body;
use marigoldpick_core::peer::{Class, Outcome};
use marigoldpick_core::prelude::*;
use marigoldpick_route::back::End;
use marigoldpick_route::router::{Input, Request};
use rand::Rng;

use super::answer as body;
use super::desk::{Desk, Turn};
use super::exchange::{Large, Start, Whole, content, exchange, left};
use super::state::{Busy, State};
use super::{Wire, forward, once};
use crate::recorder::Kind;

/// Tries of one request at one entry.
const TRIES: u32 = 4;
/// The longest pause before the first retry of what may have run; it doubles.
const JITTER: Duration = Duration::from_millis(10);

/// `Ask` is a request with all that its way needs.
#[derive(Clone, Debug)]
pub struct Ask {
    pub request: id::Request,
    /// The failure domain of this entry.
    pub domain: id::Domain,
    pub attempt: u32,
    pub service: id::Service,
    pub team: id::Team,
    pub class: Class,
    pub idempotent: bool,
    /// When the answer must be there.
    pub deadline: Millis,
    /// How long ago the first attempt may have been made.
    pub age: Option<Millis>,
    /// The largest answer.
    pub limit: u64,
    /// Whether it came from another failure domain, which has done the once-only check.
    pub forwarded: bool,
    pub body: Arc<Vec<u8>>,
}

/// `Reply` is what the caller gets.
#[derive(Debug)]
pub enum Reply {
    /// An answer. A large one is still being read.
    Done {
        /// The HTTP status.
        status: u16,
        /// The content type, empty when none was named.
        content: String,
        /// The body.
        body: Body,
    },
    /// No answer, and why.
    Failed {
        /// The code.
        code: Code,
        /// When a later try makes sense.
        retry_after: Option<Millis>,
    },
}

/// `Gone` resolves when the caller is gone.
pub type Gone = async_channel::Receiver<()>;

impl Reply {
    /// Makes a reply without an answer.
    pub const fn failed(code: Code, retry_after: Option<Millis>) -> Self {
        Self::Failed { code, retry_after }
    }

    /// Returns the result.
    pub const fn code(&self) -> Code {
        match self {
            Self::Done { .. } => Code::Done,
            Self::Failed { code, .. } => *code,
        }
    }

    /// Makes a reply of a whole answer.
    pub fn whole(whole: Whole) -> Self {
        Self::Done {
            status: whole.status,
            content: whole.content,
            body: Body::from_bytes(whole.body),
        }
    }
}

/// `Found` is what a request came to, before the caller is told.
enum Found<'a> {
    Whole(Whole),
    Large {
        large: Box<Large<'a>>,
        flight: Flight,
    },
    Failed(Code, Option<Millis>),
}

/// `Flight` is a request that holds a slot.
#[derive(Debug)]
struct Flight {
    ticket: u64,
    started: Instant,
}

/// Takes a request all the way. The reply is sent as soon as it is certain; the body of a large
/// answer follows.
pub async fn run<W: Wire>(
    state: Arc<State<W>>,
    busy: Busy<W>,
    ask: Ask,
    gone: Gone,
    reply: oneshot::Sender<Reply>,
) {
    let Some(desk) = state.desk(&ask.service) else {
        let unknown = Reply::failed(Code::NotRunUnknownService, None);
        return answer(&state, &ask, reply, unknown);
    };
    let claim = match once::claim(&state, &ask).await {
        Ok(claim) => claim,
        Err(known) => return answer(&state, &ask, reply, known),
    };
    let found = Way {
        state: &state,
        desk: &desk,
        ask: &ask,
    }
    .find(&gone)
    .await;
    let outcome = match found {
        Found::Whole(whole) => {
            let outcome = once::done(whole.status, Some(&whole.body));
            answer(&state, &ask, reply, Reply::whole(whole));
            outcome
        }
        Found::Failed(code, retry_after) => {
            answer(&state, &ask, reply, Reply::failed(code, retry_after));
            ended(code)
        }
        Found::Large { large, flight } => pass(&state, &desk, &ask, large, flight, reply).await,
    };
    once::settle(&state, claim, outcome);
    drop(busy);
}

/// Sends the reply. A request of another entry is told of where that entry is answered.
fn answer<W: Wire>(state: &State<W>, ask: &Ask, to: oneshot::Sender<Reply>, reply: Reply) {
    if !ask.forwarded {
        state.step(ask, Kind::Answered(reply.code()));
    }
    // A caller that is gone needs no reply.
    drop(to.send(reply));
}

/// Passes a large answer on and ends its flight.
async fn pass<W: Wire>(
    state: &State<W>,
    desk: &Desk,
    ask: &Ask,
    large: Box<Large<'_>>,
    flight: Flight,
    reply: oneshot::Sender<Reply>,
) -> Outcome {
    let status = large.response.status() as u16;
    let (sink, body) = body::body(large.length);
    let done = Reply::Done {
        status,
        content: content(&large.response),
        body,
    };
    drop(reply.send(done));
    let rest = left(ask.deadline, state.now());
    let passed = async_std::future::timeout(rest, body::pass(*large, &sink)).await;
    let passed = passed.unwrap_or(Err(Code::UnknownTimeout));
    if !ask.forwarded {
        let code = passed.err().unwrap_or(Code::Done);
        state.step(ask, Kind::Answered(code));
    }
    let end = match passed {
        Ok(()) => End::Answered(flight.started.elapsed()),
        Err(Code::NotRunCallerGone) => End::Unsent,
        Err(Code::UnknownTimeout) => End::TimedOut,
        Err(_) => End::Lost,
    };
    state.note_changes(desk.tell(
        Input::Ended {
            ticket: flight.ticket,
            end,
        },
        state.now(),
    ));
    match passed {
        Ok(()) => once::done(status, None),
        Err(Code::NotRunCallerGone) => Outcome::Unknown(Code::UnknownAnswerCut),
        Err(code) => {
            state.note("answer-cut", ask.request.as_str(), code.name());
            let cut = std::io::Error::other("the answer was cut short");
            // A caller that is gone needs no error.
            drop(sink.send(Err(cut)).await);
            Outcome::Unknown(code)
        }
    }
}

const fn ended(code: Code) -> Outcome {
    if code.is_unknown() {
        Outcome::Unknown(code)
    } else {
        Outcome::NotRun
    }
}

/// `Way` is a request at its service's desk.
struct Way<'a, W> {
    state: &'a Arc<State<W>>,
    desk: &'a Desk,
    ask: &'a Ask,
}

impl<'a, W: Wire> Way<'a, W> {
    /// Tries endpoints until there is an answer or a reason to stop.
    async fn find(&self, gone: &Gone) -> Found<'a> {
        let mut avoid = None;
        let mut unknown = None;
        let mut refused = Code::NotRunNoEndpoint;
        for tries in 0..TRIES {
            if unknown.is_some() {
                self.pause(tries).await;
            }
            let ticket = self.state.number();
            let turn = self
                .place(ticket, unknown.is_some(), avoid.take(), gone)
                .await;
            let (endpoint, address) = match turn {
                Turn::Go { endpoint, address } => (endpoint, address),
                Turn::Refused { code, retry_after } => {
                    if code == Code::NotRunBudget {
                        let request = self.ask.request.as_str();
                        self.state.note("request-not-retried", request, code.name());
                        return Found::Failed(unknown.unwrap_or(refused), None);
                    }
                    return self.refused(unknown, code, retry_after).await;
                }
            };
            let flight = Flight {
                ticket,
                started: Instant::now(),
            };
            self.state.gate.pass().await;
            let start = self.exchange(&address).await;
            self.state.gate.pass().await;
            match self.ended(start, flight, gone) {
                Ok(found) => return found,
                Err(code) if code.is_unknown() => {
                    self.state
                        .note("request-unknown", self.ask.request.as_str(), code.name());
                    if !self.ask.idempotent {
                        return Found::Failed(code, None);
                    }
                    unknown = unknown.or(Some(code));
                }
                Err(code) => refused = code,
            }
            avoid = Some(endpoint);
        }
        self.refused(unknown, refused, Some(Millis(100))).await
    }

    async fn place(
        &self,
        ticket: u64,
        retry: bool,
        avoid: Option<id::Endpoint>,
        gone: &Gone,
    ) -> Turn {
        let request = Request {
            ticket,
            team: self.ask.team.clone(),
            class: self.ask.class,
            deadline: self.ask.deadline,
            retry,
            spare: self.ask.forwarded,
            avoid,
        };
        let mut turn = self.desk.place(request, self.state.now());
        if let Ok(Some(turn)) = turn.try_recv() {
            return turn;
        }
        let lost = Turn::Refused {
            code: Code::Internal,
            retry_after: None,
        };
        futures::select_biased! {
            turn = (&mut turn).fuse() => return turn.unwrap_or(lost),
            _ = gone.recv().fuse() => {}
        }
        let cancel = Input::Cancel {
            ticket,
            team: self.ask.team.clone(),
        };
        self.state
            .note_changes(self.desk.tell(cancel, self.state.now()));
        // Either the cancel came in time, or a slot was given just before.
        match turn.await {
            Ok(Turn::Go { .. }) => {
                self.end(ticket, End::Unsent);
                Turn::Refused {
                    code: Code::NotRunCallerGone,
                    retry_after: None,
                }
            }
            Ok(refused) => refused,
            Err(_) => lost,
        }
    }

    /// Sends the request; none when the deadline passed before the answer began.
    async fn exchange(&self, address: &str) -> Option<Start<'a>> {
        let now = self.state.now();
        let rest = left(self.ask.deadline, now);
        let start = exchange(
            &self.state.pool,
            address,
            self.ask,
            self.ask.deadline.since(now),
        );
        async_std::future::timeout(rest, start).await.ok()
    }

    /// Ends a flight, unless a large answer still holds it. Errors are codes of this try.
    fn ended(
        &self,
        start: Option<Start<'a>>,
        flight: Flight,
        gone: &Gone,
    ) -> Result<Found<'a>, Code> {
        let (end, result) = match start {
            Some(Start::Whole(whole)) => (
                End::Answered(flight.started.elapsed()),
                Ok(Found::Whole(whole)),
            ),
            Some(Start::Large(large)) => return Ok(Found::Large { large, flight }),
            Some(Start::Refused) => (End::Refused, Err(Code::NotRunRefused)),
            Some(Start::Unreached) => (End::Unreached, Err(Code::NotRunNoEndpoint)),
            Some(Start::Lost) => (End::Lost, Err(Code::UnknownEndpointLost)),
            Some(Start::Cut) => (End::Lost, Err(Code::UnknownAnswerCut)),
            None => (End::TimedOut, Err(Code::UnknownTimeout)),
        };
        self.end(flight.ticket, end);
        if matches!(result, Err(code) if code.is_unknown()) && gone.is_closed() {
            // Nobody waits for a retry.
            return Ok(Found::Failed(Code::UnknownEndpointLost, None));
        }
        result
    }

    fn end(&self, ticket: u64, end: End) {
        let changes = self
            .desk
            .tell(Input::Ended { ticket, end }, self.state.now());
        self.state.note_changes(changes);
    }

    /// Ends a request that gets no endpoint here: another failure domain may have one.
    async fn refused(
        &self,
        unknown: Option<Code>,
        code: Code,
        retry_after: Option<Millis>,
    ) -> Found<'a> {
        let wanted = !self.ask.forwarded && forward::helps(code);
        if wanted && let Some(answer) = forward::send(self.state, self.ask).await {
            return match answer {
                Ok(whole) => Found::Whole(whole),
                Err((code, after)) if code.is_unknown() => {
                    Found::Failed(unknown.unwrap_or(code), after)
                }
                Err((_, after)) => Found::Failed(unknown.unwrap_or(code), retry_after.or(after)),
            };
        }
        Found::Failed(unknown.unwrap_or(code), retry_after)
    }

    /// Waits a random while, so that retries of many requests don't come at once.
    async fn pause(&self, tries: u32) {
        let most = JITTER * (1 << tries.min(4));
        let span = rand::rng().random_range(Duration::ZERO..=most);
        let rest = left(self.ask.deadline, self.state.now());
        async_std::task::sleep(span.min(rest)).await;
    }
}
