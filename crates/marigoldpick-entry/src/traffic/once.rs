//! Registers non-idempotent requests with their owners, so that each runs at most once.
//!
//! The owners of a request id are a few entries of the id's home failure domain. An attempt runs only
//! when their replies show that no other attempt has run or may still run.

use std::sync::Arc;

use futures::future::join_all;
use marigoldpick_core::peer::{self, Once, Outcome, Step};
use marigoldpick_core::prelude::*;
use marigoldpick_route::once::RETENTION;
use marigoldpick_route::quorum::{OWNER_COUNT, Reply, Verdict, judge};
use marigoldpick_route::rank;
use rand::Rng;

use super::Transport;
use super::exchange::Whole;
use super::run::{self, Invocation};
use super::state::State;
use crate::view::View;

/// An owner that does not answer within this time counts as silent.
const TIMEOUT: Millis = Millis(400);
/// How often the outcome is sent, at most, to an owner that does not answer.
const SETTLE_TRIES: u32 = 3;
/// Answer bodies up to this size are stored by the owners.
const KEPT_BODY_BYTES: usize = 4 << 10;
/// The advised wait before a caller asks again for the state of an earlier attempt.
const RETRY_AFTER: Millis = Millis(500);

/// `Claim` is a request's registration with its owners.
#[derive(Clone, Debug)]
pub struct Claim {
    request: id::Request,
    attempt: u32,
    token: u64,
    owners: Vec<id::Entry>,
}

/// Registers a non-idempotent request with its owners.
///
/// Idempotent requests need no claim, and forwarded ones were registered by the entry that forwarded them.
///
/// # Errors
/// Returns the caller's reply when this attempt must not run.
pub async fn claim<T: Transport>(
    state: &Arc<State<T>>,
    invocation: &Invocation,
) -> Result<Option<Claim>, run::Reply> {
    if invocation.idempotent || invocation.forwarded {
        return Ok(None);
    }
    let view = state.current_view();
    let claim = Claim {
        request: invocation.request.clone(),
        attempt: invocation.attempt,
        token: rand::rng().random(),
        owners: owners(
            &view,
            &home_domain(&view, &invocation.request),
            &invocation.request,
        ),
    };
    let verdict = loop {
        let verdict = check_owners(state, &view, &claim, invocation).await;
        let Verdict::Wait(span) = verdict else {
            break verdict;
        };
        if state.now() + span >= invocation.deadline {
            break Verdict::Unsure;
        }
        async_std::task::sleep(span.duration()).await;
    };
    let reply = match verdict {
        Verdict::Clear => return Ok(Some(claim)),
        Verdict::Ended(Outcome::Done {
            status,
            body: Some(body),
        }) => run::Reply::whole(Whole {
            status,
            content: String::new(),
            body,
        }),
        Verdict::Ended(_) => run::Reply::failed(Code::UnknownEarlierAttempt, None),
        Verdict::Taken => run::Reply::failed(Code::UnknownEarlierAttempt, Some(RETRY_AFTER)),
        Verdict::Unsure | Verdict::Wait(_) => {
            run::Reply::failed(Code::UnknownOwnerLost, Some(RETRY_AFTER))
        }
    };
    state.note("request-not-repeated", invocation.request.as_str(), "");
    settle(state, Some(claim), Outcome::NotRun);
    Err(reply)
}

/// Sends the outcome of the run to the owners, in the background.
pub fn settle<T: Transport>(state: &Arc<State<T>>, claim: Option<Claim>, outcome: Outcome) {
    let Some(claim) = claim else {
        return;
    };
    let state = Arc::clone(state);
    async_std::task::spawn(async move {
        let view = state.current_view();
        let step = Step::Settle(outcome);
        let notify = |owner| notify_owner(&state, &view, &claim, owner, &step);
        join_all(claim.owners.iter().map(notify)).await;
    });
}

/// Returns the outcome of an answered request, with a small body kept for later attempts.
#[must_use]
pub fn outcome_of_answer(status: u16, body: Option<&[u8]>) -> Outcome {
    let body = body
        .filter(|body| body.len() <= KEPT_BODY_BYTES)
        .map(<[u8]>::to_vec);
    Outcome::Done { status, body }
}

/// Sends a step to one owner until it acknowledges, at most [`SETTLE_TRIES`] times.
async fn notify_owner<T: Transport>(
    state: &State<T>,
    view: &View,
    claim: &Claim,
    owner: &id::Entry,
    step: &Step,
) {
    for _ in 0..SETTLE_TRIES {
        if matches!(
            ask_owner(state, view, claim, owner, step).await,
            Reply::Record(_)
        ) {
            return;
        }
        async_std::task::sleep(TIMEOUT.duration()).await;
    }
}

/// Asks the owners whether this attempt may run. A later attempt also closes the request id in the other
/// failure domains.
async fn check_owners<T: Transport>(
    state: &State<T>,
    view: &View,
    claim: &Claim,
    invocation: &Invocation,
) -> Verdict {
    let first = claim.attempt == 1;
    let resend = state.settings.resend;
    // How far back the owners' records must reach.
    let need = if first {
        resend
    } else {
        invocation
            .age
            .map_or(RETENTION, |age| age + resend)
            .min(RETENTION)
    };
    // The owners may already have removed their record of an attempt that is older.
    if invocation.age.is_some_and(|age| age + resend > RETENTION) {
        return Verdict::Unsure;
    }
    let within = invocation.deadline.since(state.now());
    let step = Step::Register { within };
    // An entry that has just started may not know all failure domains yet.
    let age = state.now();
    if first && age < resend {
        return Verdict::Wait(resend - age);
    }
    let verdict = poll_owners(state, view, claim, &claim.owners, &step, first, need).await;
    if verdict != Verdict::Clear || first {
        return verdict;
    }
    let close_in = |domain| async move {
        let owners = owners(view, &domain, &claim.request);
        poll_owners(state, view, claim, &owners, &Step::Close, false, need).await
    };
    let verdicts = join_all(
        other_domains(view, &invocation.request)
            .into_iter()
            .map(close_in),
    )
    .await;
    let precedence = |verdict: &Verdict| match verdict {
        Verdict::Ended(_) => 0,
        Verdict::Taken => 1,
        Verdict::Unsure | Verdict::Wait(_) => 2,
        Verdict::Clear => 3,
    };
    let decisive = verdicts.into_iter().min_by_key(precedence);
    decisive.unwrap_or(Verdict::Clear)
}

/// Asks the first owner alone, so that it orders concurrent attempts, then the other owners.
async fn poll_owners<T: Transport>(
    state: &State<T>,
    view: &View,
    claim: &Claim,
    owners: &[id::Entry],
    step: &Step,
    first: bool,
    need: Millis,
) -> Verdict {
    let Some((primary, rest)) = owners.split_first() else {
        return Verdict::Unsure;
    };
    let mut replies = vec![ask_owner(state, view, claim, primary, step).await];
    if let verdict @ (Verdict::Taken | Verdict::Ended(_)) = judge(&replies, first, need) {
        return verdict;
    }
    let others = rest
        .iter()
        .map(|owner| ask_owner(state, view, claim, owner, step));
    replies.extend(join_all(others).await);
    judge(&replies, first, need)
}

/// Sends a step to one owner and returns its reply.
async fn ask_owner<T: Transport>(
    state: &State<T>,
    view: &View,
    claim: &Claim,
    owner: &id::Entry,
    step: &Step,
) -> Reply {
    state.gate.pass().await;
    let once = Once {
        request: claim.request.clone(),
        attempt: claim.attempt,
        entry: view.me.clone(),
        token: claim.token,
        step: step.clone(),
    };
    if *owner == view.me {
        return Reply::Record(state.handle_once(once));
    }
    let peer = view.entries.iter().find(|peer| peer.entry == *owner);
    let Some(peer) = peer.filter(|peer| peer.alive) else {
        return Reply::Dead;
    };
    let call = state
        .transport
        .call(&peer.entry, &peer.address, peer::Call::Once(once));
    match async_std::future::timeout(TIMEOUT.duration(), call).await {
        Ok(Ok(peer::Answer::Record(record))) => Reply::Record(record),
        _ if peer.draining => Reply::Dead,
        _ => Reply::Silent,
    }
}

/// Returns the owners of a request id in a failure domain.
fn owners(view: &View, domain: &id::Domain, request: &id::Request) -> Vec<id::Entry> {
    let there = view.entries.iter().filter(|peer| peer.domain == *domain);
    let mut entries: Vec<id::Entry> = there.map(|peer| peer.entry.clone()).collect();
    if view.domain == *domain {
        entries.push(view.me.clone());
    }
    rank::top(request.as_str(), entries, OWNER_COUNT)
}

/// Returns the home failure domain of a request id, whose entries own the id. It is the domain that the
/// id's prefix names, else the first by rendezvous hash. All entries that know the same failure domains
/// agree on it.
fn home_domain(view: &View, request: &id::Request) -> id::Domain {
    let domains = all_domains(view);
    let named = request.as_str().split_once('/');
    let named = named.and_then(|(name, _)| domains.iter().find(|d| d.as_str() == name));
    let hashed = || {
        let score = |domain: &&id::Domain| rank::score(request.as_str(), domain.as_str());
        domains.iter().max_by_key(score)
    };
    named.or_else(hashed).unwrap_or(&view.domain).clone()
}

/// Returns all failure domains but a request id's home.
fn other_domains(view: &View, request: &id::Request) -> Vec<id::Domain> {
    let home = home_domain(view, request);
    let mut domains = all_domains(view);
    domains.retain(|domain| *domain != home);
    domains
}

/// Returns all known failure domains, sorted.
fn all_domains(view: &View) -> Vec<id::Domain> {
    let mut domains: Vec<id::Domain> = view.entries.iter().map(|p| p.domain.clone()).collect();
    domains.push(view.domain.clone());
    domains.sort_unstable();
    domains.dedup();
    domains
}
