//! The once-only protocol from the side of the entry that has the request.

use std::sync::Arc;

use futures::future::join_all;
use marigoldpick_core::peer::{self, Once, Outcome, Step};
use marigoldpick_core::prelude::*;
use marigoldpick_route::once::MEMORY;
use marigoldpick_route::quorum::{OWNERS, Reply, Verdict, judge};
use marigoldpick_route::rank;
use rand::Rng;

use super::Wire;
use super::exchange::Whole;
use super::run::{self, Ask};
use super::state::State;
use crate::view::View;

/// An owner that does not answer in this time counts as away.
const TIMEOUT: Millis = Millis(400);
/// How often the end of a run is told to an owner that does not answer.
const TELLS: u32 = 3;
/// Answers up to this size are kept by the owners.
const KEPT: usize = 4 << 10;
/// When a caller may ask for the state of an earlier attempt again.
const LATER: Millis = Millis(500);

/// `Claim` is a registered request.
#[derive(Clone, Debug)]
pub struct Claim {
    request: id::Request,
    attempt: u32,
    token: u64,
    owners: Vec<id::Entry>,
}

/// Registers a non-idempotent request with its owners; idempotent ones need no claim.
///
/// # Errors
/// Returns what the caller is told when this attempt must not run.
pub async fn claim<W: Wire>(state: &Arc<State<W>>, ask: &Ask) -> Result<Option<Claim>, run::Reply> {
    if ask.idempotent || ask.forwarded {
        return Ok(None);
    }
    let view = state.look();
    let claim = Claim {
        request: ask.request.clone(),
        attempt: ask.attempt,
        token: rand::rng().random(),
        owners: owners(&view, &home(&view, &ask.request), &ask.request),
    };
    let verdict = loop {
        let verdict = verdict(state, &view, &claim, ask).await;
        let Verdict::Wait(span) = verdict else {
            break verdict;
        };
        if state.now() + span >= ask.deadline {
            break Verdict::Unsure;
        }
        async_std::task::sleep(span.duration()).await;
    };
    let known = match verdict {
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
        Verdict::Taken => run::Reply::failed(Code::UnknownEarlierAttempt, Some(LATER)),
        Verdict::Unsure | Verdict::Wait(_) => {
            run::Reply::failed(Code::UnknownOwnerLost, Some(LATER))
        }
    };
    state.note("request-not-repeated", ask.request.as_str(), "");
    settle(state, Some(claim), Outcome::NotRun);
    Err(known)
}

/// Tells the owners how the run ended, in the background.
pub fn settle<W: Wire>(state: &Arc<State<W>>, claim: Option<Claim>, outcome: Outcome) {
    let Some(claim) = claim else {
        return;
    };
    let state = Arc::clone(state);
    async_std::task::spawn(async move {
        let view = state.look();
        let step = Step::Settle(outcome);
        let tell = |owner| tell(&state, &view, &claim, owner, &step);
        join_all(claim.owners.iter().map(tell)).await;
    });
}

/// Makes the outcome of an answer; small bodies are kept for later attempts.
#[must_use]
pub fn done(status: u16, body: Option<&[u8]>) -> Outcome {
    let body = body.filter(|body| body.len() <= KEPT).map(<[u8]>::to_vec);
    Outcome::Done { status, body }
}

async fn tell<W: Wire>(
    state: &State<W>,
    view: &View,
    claim: &Claim,
    owner: &id::Entry,
    step: &Step,
) {
    for _ in 0..TELLS {
        if matches!(
            reply(state, view, claim, owner, step).await,
            Reply::Record(_)
        ) {
            return;
        }
        async_std::task::sleep(TIMEOUT.duration()).await;
    }
}

/// Asks all owners and judges their replies.
async fn verdict<W: Wire>(state: &State<W>, view: &View, claim: &Claim, ask: &Ask) -> Verdict {
    let first = claim.attempt == 1;
    let resend = state.settings.resend;
    let need = if first {
        resend
    } else {
        ask.age.map_or(MEMORY, |age| age + resend).min(MEMORY)
    };
    if ask.age.is_some_and(|age| age + resend > MEMORY) {
        return Verdict::Unsure;
    }
    let within = ask.deadline.since(state.now());
    let step = Step::Register { within };
    // An entry that just started may not know all failure domains yet.
    let age = state.now();
    if first && age < resend {
        return Verdict::Wait(resend - age);
    }
    let verdict = judge_owners(state, view, claim, &claim.owners, &step, first, need).await;
    if verdict != Verdict::Clear || first {
        return verdict;
    }
    let far = |domain| async move {
        let owners = owners(view, &domain, &claim.request);
        judge_owners(state, view, claim, &owners, &Step::Close, false, need).await
    };
    let verdicts = join_all(others(view, &ask.request).into_iter().map(far)).await;
    let rank = |verdict: &Verdict| match verdict {
        Verdict::Ended(_) => 0,
        Verdict::Taken => 1,
        Verdict::Unsure | Verdict::Wait(_) => 2,
        Verdict::Clear => 3,
    };
    let worst = verdicts.into_iter().min_by_key(rank);
    worst.unwrap_or(Verdict::Clear)
}

/// Asks the first owner alone, so that it decides between attempts that race, then the others.
async fn judge_owners<W: Wire>(
    state: &State<W>,
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
    let mut replies = vec![reply(state, view, claim, primary, step).await];
    if let verdict @ (Verdict::Taken | Verdict::Ended(_)) = judge(&replies, first, need) {
        return verdict;
    }
    let others = rest
        .iter()
        .map(|owner| reply(state, view, claim, owner, step));
    replies.extend(join_all(others).await);
    judge(&replies, first, need)
}

async fn reply<W: Wire>(
    state: &State<W>,
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
        return Reply::Record(state.register(once));
    }
    let peer = view.entries.iter().find(|peer| peer.entry == *owner);
    let Some(peer) = peer.filter(|peer| peer.alive) else {
        return Reply::Dead;
    };
    let call = state
        .wire
        .call(&peer.entry, &peer.address, peer::Call::Once(once));
    match async_std::future::timeout(TIMEOUT.duration(), call).await {
        Ok(Ok(peer::Answer::Record(record))) => Reply::Record(record),
        _ if peer.draining => Reply::Dead,
        _ => Reply::Away,
    }
}

/// Returns a request id's owners in a failure domain.
fn owners(view: &View, domain: &id::Domain, request: &id::Request) -> Vec<id::Entry> {
    let there = view.entries.iter().filter(|peer| peer.domain == *domain);
    let mut entries: Vec<id::Entry> = there.map(|peer| peer.entry.clone()).collect();
    if view.domain == *domain {
        entries.push(view.me.clone());
    }
    rank::top(request.as_str(), entries, OWNERS)
}

/// Returns the failure domain whose entries own a request id: the one that its first part names,
/// else the first by rendezvous hash. All entries that know the same failure domains agree on it.
fn home(view: &View, request: &id::Request) -> id::Domain {
    let domains = domains(view);
    let named = request.as_str().split_once('/');
    let named = named.and_then(|(name, _)| domains.iter().find(|d| d.as_str() == name));
    let hashed = || {
        let score = |domain: &&id::Domain| rank::score(request.as_str(), domain.as_str());
        domains.iter().max_by_key(score)
    };
    named.or_else(hashed).unwrap_or(&view.domain).clone()
}

/// Returns the failure domains that are not a request id's home.
fn others(view: &View, request: &id::Request) -> Vec<id::Domain> {
    let home = home(view, request);
    let mut domains = domains(view);
    domains.retain(|domain| *domain != home);
    domains
}

/// Returns all failure domains, sorted.
fn domains(view: &View) -> Vec<id::Domain> {
    let mut domains: Vec<id::Domain> = view.entries.iter().map(|p| p.domain.clone()).collect();
    domains.push(view.domain.clone());
    domains.sort_unstable();
    domains.dedup();
    domains
}
