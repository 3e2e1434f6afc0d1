//! The owner's record of non-idempotent request ids.
//!
//! An id belongs to the first token that registers it. It becomes free again only when that token
//! says that nothing ran.

use std::collections::VecDeque;

use fxhash::FxHashMap;
use marigoldpick_core::peer::{Once, Outcome, Record, State, Step};
use marigoldpick_core::prelude::*;

/// How long an id is remembered after its last change. Callers may retry an id within this time.
pub const MEMORY: Millis = Millis::from_secs(600);
/// How long after its deadline a run without a recorded end counts as unknown.
const SLACK: Millis = Millis::from_secs(2);
/// The most ids.
const MAX_IDS: usize = 400_000;
/// The most bytes of kept answers.
const MAX_BYTES: usize = 16 << 20;

/// `Entry` is what is kept of one id.
#[derive(Clone, Debug)]
struct Entry {
    token: u64,
    attempt: u32,
    changed: Millis,
    phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
    Open { until: Millis },
    Closed,
    Ended(Outcome),
}

/// `Register` keeps the ids that one entry owns.
#[derive(Clone, Debug)]
pub struct Register {
    started: Millis,
    entries: FxHashMap<id::Request, Entry>,
    order: VecDeque<(Millis, id::Request)>,
    bytes: usize,
}

impl Register {
    /// Makes an empty register.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            entries: FxHashMap::default(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns the number of ids kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no id is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Carries out one step and returns what is known of the id.
    pub fn handle(&mut self, once: Once, now: Millis) -> Record {
        self.forget(now);
        let age = now.since(self.started);
        let state = match once.step.clone() {
            Step::Register { within } => {
                let until = now + within + SLACK;
                self.claim(&once, Phase::Open { until }, State::Yours, now)
            }
            Step::Close => self.claim(&once, Phase::Closed, State::Never, now),
            Step::Settle(outcome) => self.settle(&once, outcome, now),
        };
        Record { state, age }
    }

    /// Puts an id that is free into `phase` and returns `state`, else what is known of the id.
    fn claim(&mut self, once: &Once, phase: Phase, state: State, now: Millis) -> State {
        match self.entries.get(&once.request) {
            Some(entry) if !entry.is_free(once) => return seen(entry, once.token, now),
            None if self.entries.len() >= MAX_IDS => return State::Full,
            Some(_) | None => {}
        }
        self.put(once, phase, now);
        state
    }

    fn settle(&mut self, once: &Once, outcome: Outcome, now: Millis) -> State {
        let known = self.entries.get(&once.request);
        if known.is_some_and(|entry| entry.token != once.token) {
            return State::Taken;
        }
        let outcome = self.trim(outcome);
        self.put(once, Phase::Ended(outcome), now);
        State::Yours
    }

    fn put(&mut self, once: &Once, phase: Phase, now: Millis) {
        self.bytes += size(&phase);
        let entry = Entry {
            token: once.token,
            attempt: once.attempt,
            changed: now,
            phase,
        };
        if let Some(old) = self.entries.insert(once.request.clone(), entry) {
            self.bytes -= size(&old.phase);
        }
        self.order.push_back((now, once.request.clone()));
    }

    /// Drops an answer's body when too many are kept.
    fn trim(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Done {
                status,
                body: Some(body),
            } if self.bytes + body.len() > MAX_BYTES => Outcome::Done { status, body: None },
            other => other,
        }
    }

    fn forget(&mut self, now: Millis) {
        while let Some((at, request)) = self.order.front() {
            if now.since(*at) < MEMORY {
                return;
            }
            let last = self.entries.get(request).map(|entry| entry.changed);
            if last.is_some_and(|last| last <= *at) {
                let gone = self.entries.remove(request);
                self.bytes -= gone.map_or(0, |entry| size(&entry.phase));
            }
            self.order.pop_front();
        }
    }
}

impl Entry {
    /// Tells whether an attempt may take the id.
    fn is_free(&self, once: &Once) -> bool {
        match &self.phase {
            Phase::Closed => once.attempt > self.attempt || once.token == self.token,
            Phase::Ended(Outcome::NotRun) => true,
            Phase::Open { .. } | Phase::Ended(_) => false,
        }
    }
}

fn seen(entry: &Entry, token: u64, now: Millis) -> State {
    match &entry.phase {
        Phase::Open { .. } if entry.token == token => State::Yours,
        Phase::Open { until } if now >= *until => {
            State::Ended(Outcome::Unknown(Code::UnknownEarlierAttempt))
        }
        Phase::Open { .. } | Phase::Closed => State::Taken,
        Phase::Ended(outcome) => State::Ended(outcome.clone()),
    }
}

fn size(phase: &Phase) -> usize {
    match phase {
        Phase::Ended(Outcome::Done {
            body: Some(body), ..
        }) => body.len(),
        _ => 0,
    }
}
