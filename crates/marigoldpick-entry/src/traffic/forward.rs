//! Forwards requests that find no slot in this failure domain to another one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use async_std::io::ReadExt;
use futures::channel::oneshot;
use marigoldpick_core::peer::{self, Forward, Forwarded, MAX_FORWARD_BYTES};
use marigoldpick_core::prelude::*;
use rand::seq::IndexedRandom;

use super::Transport;
use super::exchange::{Whole, remaining};
use super::run::{self, Invocation, Reply};
use super::state::{State, lock};
use crate::recorder::Kind;

/// The time for which a failure domain gets no forwarded requests after one was refused, failed or was not
/// answered there.
const BACK_OFF: Millis = Millis(300);
/// Requests with less time left than this are not forwarded.
const MIN_REMAINING: Millis = Millis(20);

/// `Backoffs` records which failure domains get no forwarded requests, and until when.
#[derive(Debug, Default)]
pub struct Backoffs {
    until: Mutex<HashMap<id::Domain, Millis>>,
}

/// Returns whether another failure domain may run a request that was refused with this code.
#[must_use]
pub const fn is_forwardable(code: Code) -> bool {
    matches!(
        code,
        Code::NotRunNoEndpoint
            | Code::NotRunQueueFull
            | Code::NotRunTooLate
            | Code::NotRunShed
            | Code::NotRunRefused
    )
}

/// Runs the request in another failure domain, or returns `None` when it can't be forwarded.
///
/// The error is a code of the 300s when the request did not run there, else one of the 400s.
pub async fn send<T: Transport>(
    state: &State<T>,
    invocation: &Invocation,
) -> Option<Result<Whole, (Code, Option<Millis>)>> {
    let now = state.now();
    let time_left = invocation.deadline.since(now);
    if time_left < MIN_REMAINING || invocation.body.len() > MAX_FORWARD_BYTES {
        return None;
    }
    let peer = pick_peer(state, now)?;
    let forward = Forward {
        request: invocation.request.clone(),
        attempt: invocation.attempt,
        service: invocation.service.clone(),
        team: invocation.team.clone(),
        class: invocation.class,
        idempotent: invocation.idempotent,
        deadline: time_left,
        body: invocation.body.to_vec(),
    };
    let call = peer::Call::Forward(Box::new(forward));
    state.record_step(invocation, Kind::Forwarded(peer.entry.clone()));
    let call = state.transport.call(&peer.entry, &peer.address, call);
    let answer = async_std::future::timeout(remaining(invocation.deadline, now), call).await;
    let answered = matches!(
        answer,
        Ok(Ok(peer::Answer::Forward(_) | peer::Answer::Refused(_)))
    );
    let result = match answer {
        Ok(Ok(peer::Answer::Forward(forwarded))) => unpack(*forwarded),
        Ok(Ok(peer::Answer::Refused(code))) if code.is_not_run() => Err((code, None)),
        Ok(Err(Code::PeerAway)) => Err((Code::NotRunNoEndpoint, None)),
        Ok(_) => Err((Code::UnknownEndpointLost, None)),
        Err(_) => Err((Code::UnknownTimeout, None)),
    };
    let code = result
        .as_ref()
        .map_or_else(|failed| failed.0, |_| Code::Done);
    let kind = if answered { Kind::Returned } else { Kind::Lost };
    state.record_step(invocation, kind(peer.entry.clone(), code));
    if result.is_err() {
        lock(&state.backoffs.until).insert(peer.domain, state.now() + BACK_OFF);
    }
    Some(result)
}

/// Runs a request from another failure domain, if a slot is free at once.
pub async fn receive<T: Transport>(state: &Arc<State<T>>, forward: Forward) -> peer::Answer {
    let (request, attempt) = (forward.request.clone(), forward.attempt);
    let step = |kind| state.trail.record(state.now(), &request, attempt, kind);
    step(Kind::Received);
    let answer = run_received(state, forward).await;
    step(Kind::Replied(match &answer {
        peer::Answer::Forward(forwarded) => forwarded.code,
        peer::Answer::Refused(code) => *code,
        peer::Answer::Grant(_) | peer::Answer::Record(_) => Code::Internal,
    }));
    answer
}

/// Runs a received request and returns the answer for the entry that forwarded it.
async fn run_received<T: Transport>(state: &Arc<State<T>>, forward: Forward) -> peer::Answer {
    let Some(in_flight) = state.begin_request() else {
        return peer::Answer::Refused(Code::NotRunDraining);
    };
    let Some(dispatcher) = state.dispatcher(&forward.service) else {
        return peer::Answer::Refused(Code::NotRunUnknownService);
    };
    let invocation = Invocation {
        request: forward.request,
        domain: state.view.load().domain.clone(),
        attempt: forward.attempt,
        service: forward.service,
        team: forward.team,
        class: forward.class,
        idempotent: forward.idempotent,
        deadline: state.now() + forward.deadline,
        age: None,
        limit: dispatcher.settings().body_limit,
        forwarded: true,
        body: Arc::new(forward.body),
    };
    // The sender stays open while the other entry waits for the reply.
    let (_open, gone) = async_channel::bounded(1);
    let (reply, answer) = oneshot::channel();
    async_std::task::spawn(run::run(
        Arc::clone(state),
        in_flight,
        invocation,
        gone,
        reply,
    ));
    let forwarded = match answer.await {
        Ok(reply) => read_reply(reply).await,
        Err(_) => failed(Code::UnknownEndpointLost, None),
    };
    peer::Answer::Forward(Box::new(forwarded))
}

/// Picks a random entry of the other failure domains, which is alive, does not drain and is in no failure
/// domain that is backed off.
fn pick_peer<T: Transport>(state: &State<T>, now: Millis) -> Option<crate::view::Peer> {
    let view = state.view.load();
    let until = lock(&state.backoffs.until);
    let available = |domain: &id::Domain| until.get(domain).is_none_or(|until| now >= *until);
    let eligible = |peer: &&crate::view::Peer| {
        peer.alive && !peer.draining && peer.domain != view.domain && available(&peer.domain)
    };
    let peers: Vec<&crate::view::Peer> = view.entries.iter().filter(eligible).collect();
    peers.choose(&mut rand::rng()).map(|peer| (*peer).clone())
}

fn unpack(forwarded: Forwarded) -> Result<Whole, (Code, Option<Millis>)> {
    if forwarded.code != Code::Done {
        return Err((forwarded.code, forwarded.retry_after));
    }
    Ok(Whole {
        status: forwarded.status,
        content: forwarded.content,
        body: forwarded.body,
    })
}

/// Reads a reply to its end, because the inner protocol has no streams.
async fn read_reply(reply: Reply) -> Forwarded {
    let (status, content, mut reader) = match reply {
        Reply::Done {
            status,
            content,
            body,
        } => (status, content, body),
        Reply::Failed { code, retry_after } => return failed(code, retry_after),
    };
    let mut body = Vec::new();
    if reader.read_to_end(&mut body).await.is_err() {
        return failed(Code::UnknownAnswerCut, None);
    }
    Forwarded {
        code: Code::Done,
        status,
        content,
        body,
        retry_after: None,
    }
}

const fn failed(code: Code, retry_after: Option<Millis>) -> Forwarded {
    Forwarded {
        code,
        status: 0,
        content: String::new(),
        body: Vec::new(),
        retry_after,
    }
}
