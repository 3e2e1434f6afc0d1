//! At-most-once records of non-idempotent request ids, as one owner keeps them.
//!
//! An id belongs to the first token that registers it. It becomes free again when the same token
//! reports that nothing ran, or [`RETENTION`] after its last change. An attempt may also close a
//! free id: from then on only later attempts or the same token can register it.

use std::collections::VecDeque;

use fxhash::FxHashMap;
use marigoldpick_core::peer::{Once, Outcome, Record, State, Step};
use marigoldpick_core::prelude::*;

/// How long an id is kept after its last change. Callers may retry an id within this time.
pub const RETENTION: Millis = Millis::from_secs(600);
/// How long after its deadline a run without a recorded end counts as unknown.
const DEADLINE_SLACK: Millis = Millis::from_secs(2);
/// The most ids that are kept.
const MAX_IDS: usize = 400_000;
/// The most bytes of answers that are kept.
const MAX_BYTES: usize = 16 << 20;

/// `Claim` is what is kept of one id.
#[derive(Clone, Debug)]
struct Claim {
    token: u64,
    attempt: u32,
    changed_at: Millis,
    phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
    Open { until: Millis },
    Closed,
    Ended(Outcome),
}

/// `Register` keeps the records of the ids that this entry owns.
#[derive(Clone, Debug)]
pub struct Register {
    started: Millis,
    claims: FxHashMap<id::Request, Claim>,
    changes: VecDeque<(Millis, id::Request)>,
    kept_bytes: usize,
}

impl Register {
    /// Makes an empty register.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            claims: FxHashMap::default(),
            changes: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Returns the number of ids that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no id is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies one step and returns what is known of the id.
    pub fn handle(&mut self, once: Once, now: Millis) -> Record {
        self.remove_expired(now);
        let age = now.since(self.started);
        let state = match once.step.clone() {
            Step::Register { within } => {
                let until = now + within + DEADLINE_SLACK;
                self.claim(&once, Phase::Open { until }, State::Yours, now)
            }
            Step::Close => self.claim(&once, Phase::Closed, State::Never, now),
            Step::Settle(outcome) => self.settle(&once, outcome, now),
        };
        Record { state, age }
    }

    /// Moves a free id to `phase` and returns `state`; else returns what is known of the id.
    fn claim(&mut self, once: &Once, phase: Phase, state: State, now: Millis) -> State {
        match self.claims.get(&once.request) {
            Some(claim) if !claim.is_free(once) => return state_for(claim, once.token, now),
            None if self.claims.len() >= MAX_IDS => return State::Full,
            Some(_) | None => {}
        }
        self.insert(once, phase, now);
        state
    }

    fn settle(&mut self, once: &Once, outcome: Outcome, now: Millis) -> State {
        let known = self.claims.get(&once.request);
        if known.is_some_and(|claim| claim.token != once.token) {
            return State::Taken;
        }
        let outcome = self.limit_body(outcome);
        self.insert(once, Phase::Ended(outcome), now);
        State::Yours
    }

    fn insert(&mut self, once: &Once, phase: Phase, now: Millis) {
        self.kept_bytes += body_len(&phase);
        let claim = Claim {
            token: once.token,
            attempt: once.attempt,
            changed_at: now,
            phase,
        };
        if let Some(old) = self.claims.insert(once.request.clone(), claim) {
            self.kept_bytes -= body_len(&old.phase);
        }
        self.changes.push_back((now, once.request.clone()));
    }

    /// Discards an answer's body when too many bytes are kept.
    fn limit_body(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Done {
                status,
                body: Some(body),
            } if self.kept_bytes + body.len() > MAX_BYTES => Outcome::Done { status, body: None },
            other => other,
        }
    }

    fn remove_expired(&mut self, now: Millis) {
        while let Some((at, request)) = self.changes.front() {
            if now.since(*at) < RETENTION {
                return;
            }
            let last = self.claims.get(request).map(|claim| claim.changed_at);
            if last.is_some_and(|last| last <= *at) {
                let removed = self.claims.remove(request);
                self.kept_bytes -= removed.map_or(0, |claim| body_len(&claim.phase));
            }
            self.changes.pop_front();
        }
    }
}

impl Claim {
    /// Returns whether the asking attempt may claim the id.
    fn is_free(&self, once: &Once) -> bool {
        match &self.phase {
            Phase::Closed => once.attempt > self.attempt || once.token == self.token,
            Phase::Ended(Outcome::NotRun) => true,
            Phase::Open { .. } | Phase::Ended(_) => false,
        }
    }
}

fn state_for(claim: &Claim, token: u64, now: Millis) -> State {
    match &claim.phase {
        Phase::Open { .. } if claim.token == token => State::Yours,
        Phase::Open { until } if now >= *until => {
            State::Ended(Outcome::Unknown(Code::UnknownEarlierAttempt))
        }
        Phase::Open { .. } | Phase::Closed => State::Taken,
        Phase::Ended(outcome) => State::Ended(outcome.clone()),
    }
}

fn body_len(phase: &Phase) -> usize {
    match phase {
        Phase::Ended(Outcome::Done {
            body: Some(body), ..
        }) => body.len(),
        _ => 0,
    }
}
