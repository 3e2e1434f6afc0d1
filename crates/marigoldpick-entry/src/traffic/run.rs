//! Runs one request: at-most-once check, slot, endpoint, retries and reply.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::channel::oneshot;
use http_types::Body;
use marigoldpick_core::peer::{Class, Outcome};
use marigoldpick_core::prelude::*;
use marigoldpick_route::endpoint::End;
use marigoldpick_route::router::{Input, Request};
use rand::Rng;

use super::dispatcher::{Decision, Dispatcher};
use super::exchange::{Answer, Large, Whole, content_type, exchange, remaining};
use super::state::{InFlight, State};
use super::stream;
use super::{Transport, forward, once};
use crate::recorder::Kind;

/// The most tries of one request at one entry.
const MAX_TRIES: u32 = 4;
/// The base of the random pause before a retry of a request that may have run. The longest pause is the
/// base doubled for each earlier try, so it is 20 ms before the second try.
const BASE_JITTER: Duration = Duration::from_millis(10);

/// `Invocation` is a caller's request with everything that its routing needs.
#[derive(Clone, Debug)]
pub struct Invocation {
    pub request: id::Request,
    /// The failure domain of this entry.
    pub domain: id::Domain,
    pub attempt: u32,
    pub service: id::Service,
    pub team: id::Team,
    pub class: Class,
    pub idempotent: bool,
    /// When the answer must have arrived.
    pub deadline: Millis,
    /// How long ago the first attempt may have been made.
    pub age: Option<Millis>,
    /// The largest accepted answer, in bytes.
    pub limit: u64,
    /// Whether it was forwarded by another failure domain, which did the at-most-once check.
    pub forwarded: bool,
    pub body: Arc<Vec<u8>>,
}

/// `Reply` is the result that the caller receives.
#[derive(Debug)]
pub enum Reply {
    /// An endpoint's answer; the body of a large one may still be arriving.
    Done {
        /// The HTTP status.
        status: u16,
        /// The content type, empty when the endpoint sent none.
        content: String,
        /// The body.
        body: Body,
    },
    /// No answer, and the reason.
    Failed {
        /// The result code.
        code: Code,
        /// The advised wait before another attempt.
        retry_after: Option<Millis>,
    },
}

/// `CallerGone` is closed when the caller has disconnected.
pub type CallerGone = async_channel::Receiver<()>;

impl Reply {
    /// Creates a reply without an answer.
    pub const fn failed(code: Code, retry_after: Option<Millis>) -> Self {
        Self::Failed { code, retry_after }
    }

    /// Returns the result code.
    pub const fn code(&self) -> Code {
        match self {
            Self::Done { .. } => Code::Done,
            Self::Failed { code, .. } => *code,
        }
    }

    /// Creates a reply from a whole answer.
    pub fn whole(whole: Whole) -> Self {
        Self::Done {
            status: whole.status,
            content: whole.content,
            body: Body::from_bytes(whole.body),
        }
    }
}

/// `Resolution` is the result of routing, before the caller receives it.
enum Resolution<'a> {
    Whole(Whole),
    Large {
        large: Box<Large<'a>>,
        slot: HeldSlot,
    },
    Failed(Code, Option<Millis>),
}

/// `HeldSlot` is the slot that a request occupies at an endpoint.
#[derive(Debug)]
struct HeldSlot {
    ticket: u64,
    started: Instant,
}

/// Runs a request to its end. The reply is sent as soon as the request has failed or its answer is
/// verified. The reply with a large answer is sent when the answer begins, and the body follows.
pub async fn run<T: Transport>(
    state: Arc<State<T>>,
    in_flight: InFlight<T>,
    invocation: Invocation,
    gone: CallerGone,
    reply: oneshot::Sender<Reply>,
) {
    let Some(dispatcher) = state.dispatcher(&invocation.service) else {
        let unknown = Reply::failed(Code::NotRunUnknownService, None);
        return send_reply(&state, &invocation, reply, unknown);
    };
    let claim = match once::claim(&state, &invocation).await {
        Ok(claim) => claim,
        Err(known) => return send_reply(&state, &invocation, reply, known),
    };
    let resolution = Routing {
        state: &state,
        dispatcher: &dispatcher,
        invocation: &invocation,
    }
    .route(&gone)
    .await;
    let outcome = match resolution {
        Resolution::Whole(whole) => {
            let outcome = once::outcome_of_answer(whole.status, Some(&whole.body));
            send_reply(&state, &invocation, reply, Reply::whole(whole));
            outcome
        }
        Resolution::Failed(code, retry_after) => {
            send_reply(&state, &invocation, reply, Reply::failed(code, retry_after));
            outcome_of_failure(code)
        }
        Resolution::Large { large, slot } => {
            stream_answer(&state, &dispatcher, &invocation, large, slot, reply).await
        }
    };
    once::settle(&state, claim, outcome);
    drop(in_flight);
}

/// Sends the reply. For a forwarded request, `forward::receive` records the step instead.
fn send_reply<T: Transport>(
    state: &State<T>,
    invocation: &Invocation,
    to: oneshot::Sender<Reply>,
    reply: Reply,
) {
    if !invocation.forwarded {
        state.record_step(invocation, Kind::Answered(reply.code()));
    }
    // Sending fails only when the caller has disconnected.
    drop(to.send(reply));
}

/// Streams a large answer to the caller, then releases the slot.
async fn stream_answer<T: Transport>(
    state: &State<T>,
    dispatcher: &Dispatcher,
    invocation: &Invocation,
    large: Box<Large<'_>>,
    slot: HeldSlot,
    reply: oneshot::Sender<Reply>,
) -> Outcome {
    let status = large.response.status() as u16;
    let (sink, body) = stream::body(large.length);
    let done = Reply::Done {
        status,
        content: content_type(&large.response),
        body,
    };
    drop(reply.send(done));
    let time_left = remaining(invocation.deadline, state.now());
    let relayed = async_std::future::timeout(time_left, stream::relay(*large, &sink)).await;
    let relayed = relayed.unwrap_or(Err(Code::UnknownTimeout));
    if !invocation.forwarded {
        let code = relayed.err().unwrap_or(Code::Done);
        state.record_step(invocation, Kind::Answered(code));
    }
    let end = match relayed {
        Ok(()) => End::Answered(slot.started.elapsed()),
        Err(Code::NotRunCallerGone) => End::Unsent,
        Err(Code::UnknownTimeout) => End::TimedOut,
        Err(_) => End::Lost,
    };
    state.note_changes(dispatcher.handle(
        Input::Ended {
            ticket: slot.ticket,
            end,
        },
        state.now(),
    ));
    match relayed {
        Ok(()) => once::outcome_of_answer(status, None),
        Err(Code::NotRunCallerGone) => Outcome::Unknown(Code::UnknownAnswerCut),
        Err(code) => {
            state.note("answer-cut", invocation.request.as_str(), code.name());
            let cut = std::io::Error::other("the answer was cut short");
            // Sending fails only when the caller has disconnected.
            drop(sink.send(Err(cut)).await);
            Outcome::Unknown(code)
        }
    }
}

/// Returns the outcome that the owners of the request id record for a failure.
const fn outcome_of_failure(code: Code) -> Outcome {
    if code.is_unknown() {
        Outcome::Unknown(code)
    } else {
        Outcome::NotRun
    }
}

/// `Routing` routes one request through the dispatcher of its service.
struct Routing<'a, T> {
    state: &'a Arc<State<T>>,
    dispatcher: &'a Dispatcher,
    invocation: &'a Invocation,
}

impl<'a, T: Transport> Routing<'a, T> {
    /// Tries endpoints until one answers or no further try is allowed.
    async fn route(&self, gone: &CallerGone) -> Resolution<'a> {
        let mut avoid = None;
        let mut unknown = None;
        let mut refused = Code::NotRunNoEndpoint;
        for tries in 0..MAX_TRIES {
            if unknown.is_some() {
                self.back_off(tries).await;
            }
            let ticket = self.state.next_number();
            let decision = self
                .acquire_slot(ticket, unknown.is_some(), avoid.take(), gone)
                .await;
            let (endpoint, address) = match decision {
                Decision::Send { endpoint, address } => (endpoint, address),
                Decision::Refuse { code, retry_after } => {
                    if code == Code::NotRunBudget {
                        let request = self.invocation.request.as_str();
                        self.state.note("request-not-retried", request, code.name());
                        return Resolution::Failed(unknown.unwrap_or(refused), None);
                    }
                    return self.forward_or_fail(unknown, code, retry_after).await;
                }
            };
            let slot = HeldSlot {
                ticket,
                started: Instant::now(),
            };
            self.state.gate.pass().await;
            let answer = self.exchange(&address).await;
            self.state.gate.pass().await;
            match self.finish_try(answer, slot, gone) {
                Ok(resolution) => return resolution,
                Err(code) if code.is_unknown() => {
                    self.state.note(
                        "request-unknown",
                        self.invocation.request.as_str(),
                        code.name(),
                    );
                    if !self.invocation.idempotent {
                        return Resolution::Failed(code, None);
                    }
                    unknown = unknown.or(Some(code));
                }
                Err(code) => refused = code,
            }
            avoid = Some(endpoint);
        }
        self.forward_or_fail(unknown, refused, Some(Millis(100)))
            .await
    }

    /// Waits for the router's decision; cancels the request when the caller disconnects.
    async fn acquire_slot(
        &self,
        ticket: u64,
        retry: bool,
        avoid: Option<id::Endpoint>,
        gone: &CallerGone,
    ) -> Decision {
        let request = Request {
            ticket,
            team: self.invocation.team.clone(),
            class: self.invocation.class,
            deadline: self.invocation.deadline,
            retry,
            never_queue: self.invocation.forwarded,
            avoid,
        };
        let mut decision = self.dispatcher.submit(request, self.state.now());
        if let Ok(Some(decision)) = decision.try_recv() {
            return decision;
        }
        let failed = Decision::Refuse {
            code: Code::Internal,
            retry_after: None,
        };
        futures::select_biased! {
            decision = (&mut decision).fuse() => return decision.unwrap_or(failed),
            _ = gone.recv().fuse() => {}
        }
        let cancel = Input::Cancel {
            ticket,
            team: self.invocation.team.clone(),
        };
        self.state
            .note_changes(self.dispatcher.handle(cancel, self.state.now()));
        // The router may have assigned a slot just before it handled the cancellation.
        match decision.await {
            Ok(Decision::Send { .. }) => {
                self.release_slot(ticket, End::Unsent);
                Decision::Refuse {
                    code: Code::NotRunCallerGone,
                    retry_after: None,
                }
            }
            Ok(refused) => refused,
            Err(_) => failed,
        }
    }

    /// Sends the request; returns `None` when the deadline passed before the answer began.
    async fn exchange(&self, address: &str) -> Option<Answer<'a>> {
        let now = self.state.now();
        let time_left = remaining(self.invocation.deadline, now);
        let answer = exchange(
            &self.state.pool,
            address,
            self.invocation,
            self.invocation.deadline.since(now),
        );
        async_std::future::timeout(time_left, answer).await.ok()
    }

    /// Releases the slot, unless a large answer still occupies it. An error is the code of this try.
    fn finish_try(
        &self,
        answer: Option<Answer<'a>>,
        slot: HeldSlot,
        gone: &CallerGone,
    ) -> Result<Resolution<'a>, Code> {
        let (end, result) = match answer {
            Some(Answer::Whole(whole)) => (
                End::Answered(slot.started.elapsed()),
                Ok(Resolution::Whole(whole)),
            ),
            Some(Answer::Large(large)) => return Ok(Resolution::Large { large, slot }),
            Some(Answer::Refused) => (End::Refused, Err(Code::NotRunRefused)),
            Some(Answer::Unreachable) => (End::Unreached, Err(Code::NotRunNoEndpoint)),
            Some(Answer::Lost) => (End::Lost, Err(Code::UnknownEndpointLost)),
            Some(Answer::Cut) => (End::Lost, Err(Code::UnknownAnswerCut)),
            None => (End::TimedOut, Err(Code::UnknownTimeout)),
        };
        self.release_slot(slot.ticket, end);
        if matches!(result, Err(code) if code.is_unknown()) && gone.is_closed() {
            // The caller has disconnected, so a retry would have no receiver.
            return Ok(Resolution::Failed(Code::UnknownEndpointLost, None));
        }
        result
    }

    /// Reports to the router how the try ended, which frees its slot.
    fn release_slot(&self, ticket: u64, end: End) {
        let changes = self
            .dispatcher
            .handle(Input::Ended { ticket, end }, self.state.now());
        self.state.note_changes(changes);
    }

    /// Forwards a request that found no endpoint here to another failure domain, or fails it.
    async fn forward_or_fail(
        &self,
        unknown: Option<Code>,
        code: Code,
        retry_after: Option<Millis>,
    ) -> Resolution<'a> {
        let may_forward = !self.invocation.forwarded && forward::is_forwardable(code);
        if may_forward && let Some(answer) = forward::send(self.state, self.invocation).await {
            return match answer {
                Ok(whole) => Resolution::Whole(whole),
                Err((code, after)) if code.is_unknown() => {
                    Resolution::Failed(unknown.unwrap_or(code), after)
                }
                Err((_, after)) => {
                    Resolution::Failed(unknown.unwrap_or(code), retry_after.or(after))
                }
            };
        }
        Resolution::Failed(unknown.unwrap_or(code), retry_after)
    }

    /// Waits for a random time, so that the retries of many requests are spread out.
    async fn back_off(&self, tries: u32) {
        let longest = BASE_JITTER * (1 << tries.min(4));
        let span = rand::rng().random_range(Duration::ZERO..=longest);
        let time_left = remaining(self.invocation.deadline, self.state.now());
        async_std::task::sleep(span.min(time_left)).await;
    }
}
