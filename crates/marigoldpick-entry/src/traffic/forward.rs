//! Overflow: a request that finds no slot here may run in another failure domain.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use async_std::io::ReadExt;
use futures::channel::oneshot;
use marigoldpick_core::peer::{self, FORWARD_LIMIT, Forward, Forwarded};
use marigoldpick_core::prelude::*;
use rand::seq::IndexedRandom;

use super::Wire;
use super::exchange::{Whole, left};
use super::run::{self, Ask, Reply};
use super::state::{State, lock};
use crate::recorder::Kind;

/// A failure domain that refused or did not answer is left alone for this time.
const BACK_OFF: Millis = Millis(300);
/// Requests with less time left than this are not sent on.
const LEAST: Millis = Millis(20);

/// `Peers` remembers which failure domains can't help now.
#[derive(Debug, Default)]
pub struct Peers {
    until: Mutex<HashMap<id::Domain, Millis>>,
}

/// Tells whether another failure domain may do better.
#[must_use]
pub const fn helps(code: Code) -> bool {
    matches!(
        code,
        Code::NotRunNoEndpoint
            | Code::NotRunQueueFull
            | Code::NotRunTooLate
            | Code::NotRunShed
            | Code::NotRunRefused
    )
}

/// Runs the request in another failure domain; none when there is none to ask.
///
/// The error is a code of the 300s when it did not run there, else one of the 400s.
pub async fn send<W: Wire>(
    state: &State<W>,
    ask: &Ask,
) -> Option<Result<Whole, (Code, Option<Millis>)>> {
    let now = state.now();
    let rest = ask.deadline.since(now);
    if rest < LEAST || ask.body.len() > FORWARD_LIMIT {
        return None;
    }
    let peer = pick(state, now)?;
    let forward = Forward {
        request: ask.request.clone(),
        attempt: ask.attempt,
        service: ask.service.clone(),
        team: ask.team.clone(),
        class: ask.class,
        idempotent: ask.idempotent,
        deadline: rest,
        body: ask.body.to_vec(),
    };
    let call = peer::Call::Forward(Box::new(forward));
    state.step(ask, Kind::Forwarded(peer.entry.clone()));
    let call = state.wire.call(&peer.entry, &peer.address, call);
    let answer = async_std::future::timeout(left(ask.deadline, now), call).await;
    let came = matches!(
        answer,
        Ok(Ok(peer::Answer::Forward(_) | peer::Answer::Refused(_)))
    );
    let result = match answer {
        Ok(Ok(peer::Answer::Forward(forwarded))) => result(*forwarded),
        Ok(Ok(peer::Answer::Refused(code))) if code.is_not_run() => Err((code, None)),
        Ok(Err(Code::PeerAway)) => Err((Code::NotRunNoEndpoint, None)),
        Ok(_) => Err((Code::UnknownEndpointLost, None)),
        Err(_) => Err((Code::UnknownTimeout, None)),
    };
    let code = result
        .as_ref()
        .map_or_else(|failed| failed.0, |_| Code::Done);
    let kind = if came { Kind::Returned } else { Kind::Lost };
    state.step(ask, kind(peer.entry.clone(), code));
    if result.is_err() {
        lock(&state.forward.until).insert(peer.domain, state.now() + BACK_OFF);
    }
    Some(result)
}

/// Runs a request that came from another failure domain, if a slot is free at once.
pub async fn receive<W: Wire>(state: &Arc<State<W>>, forward: Forward) -> peer::Answer {
    let (request, attempt) = (forward.request.clone(), forward.attempt);
    let step = |kind| state.trail.record(state.now(), &request, attempt, kind);
    step(Kind::Received);
    let answer = place(state, forward).await;
    step(Kind::Replied(match &answer {
        peer::Answer::Forward(forwarded) => forwarded.code,
        peer::Answer::Refused(code) => *code,
        peer::Answer::Grant(_) | peer::Answer::Record(_) => Code::Internal,
    }));
    answer
}

async fn place<W: Wire>(state: &Arc<State<W>>, forward: Forward) -> peer::Answer {
    let Some(busy) = state.enter() else {
        return peer::Answer::Refused(Code::NotRunDraining);
    };
    let Some(desk) = state.desk(&forward.service) else {
        return peer::Answer::Refused(Code::NotRunUnknownService);
    };
    let ask = Ask {
        request: forward.request,
        domain: state.view.load().domain.clone(),
        attempt: forward.attempt,
        service: forward.service,
        team: forward.team,
        class: forward.class,
        idempotent: forward.idempotent,
        deadline: state.now() + forward.deadline,
        age: None,
        limit: desk.settings().body_limit,
        forwarded: true,
        body: Arc::new(forward.body),
    };
    // The sender stays open for as long as the other entry waits.
    let (_open, gone) = async_channel::bounded(1);
    let (reply, answer) = oneshot::channel();
    async_std::task::spawn(run::run(Arc::clone(state), busy, ask, gone, reply));
    let forwarded = match answer.await {
        Ok(reply) => whole(reply).await,
        Err(_) => failed(Code::UnknownEndpointLost, None),
    };
    peer::Answer::Forward(Box::new(forwarded))
}

fn pick<W: Wire>(state: &State<W>, now: Millis) -> Option<crate::view::Peer> {
    let view = state.view.load();
    let until = lock(&state.forward.until);
    let open = |domain: &id::Domain| until.get(domain).is_none_or(|until| now >= *until);
    let fits = |peer: &&crate::view::Peer| {
        peer.alive && !peer.draining && peer.domain != view.domain && open(&peer.domain)
    };
    let peers: Vec<&crate::view::Peer> = view.entries.iter().filter(fits).collect();
    peers.choose(&mut rand::rng()).map(|peer| (*peer).clone())
}

fn result(forwarded: Forwarded) -> Result<Whole, (Code, Option<Millis>)> {
    if forwarded.code != Code::Done {
        return Err((forwarded.code, forwarded.retry_after));
    }
    Ok(Whole {
        status: forwarded.status,
        content: forwarded.content,
        body: forwarded.body,
    })
}

/// Reads a reply whole; the inner protocol carries no streams.
async fn whole(reply: Reply) -> Forwarded {
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
