//! Records the steps of the latest requests, separately so that they evict no other events.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigoldpick_core::prelude::*;
use marigoldpick_core::timeline::{Event, Mark, Message, Side};

/// `Kind` is the kind of a step in a request's handling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A caller's request was read to its end.
    Accepted,
    /// The result for the caller was determined.
    Answered(Code),
    /// The request was forwarded to an entry of another failure domain.
    Forwarded(id::Entry),
    /// The request was received from an entry of another failure domain.
    Received,
    /// The result for that entry was determined.
    Replied(Code),
    /// The other entry's answer arrived.
    Returned(id::Entry, Code),
    /// No answer of the other entry arrived.
    Lost(id::Entry, Code),
}

/// `Step` is one step of a request, in the form in which it is stored.
#[derive(Clone, Debug)]
struct Step {
    sequence: u64,
    at: Millis,
    request: id::Request,
    attempt: u32,
    kind: Kind,
}

/// `Trail` keeps the steps of the latest requests. Clones share the steps.
///
/// A step is converted to an event only when it is read, because steps are recorded on the request path.
#[derive(Clone, Debug)]
pub struct Trail {
    next: Arc<AtomicU64>,
    max_steps: usize,
    steps: Arc<Mutex<VecDeque<Step>>>,
}

impl Trail {
    /// Creates a trail that keeps at most `max_steps` steps and numbers them from `next`.
    #[must_use]
    pub fn new(next: Arc<AtomicU64>, max_steps: usize) -> Self {
        Self {
            next,
            max_steps,
            steps: Arc::default(),
        }
    }

    /// Records a step of a request.
    pub fn record(&self, at: Millis, request: &id::Request, attempt: u32, kind: Kind) {
        let mut step = Step {
            sequence: 0,
            at,
            request: request.clone(),
            attempt,
            kind,
        };
        let mut steps = lock(&self.steps);
        step.sequence = self.next.fetch_add(1, Ordering::Relaxed);
        let oldest = if steps.len() >= self.max_steps {
            steps.pop_front()
        } else {
            None
        };
        steps.push_back(step);
        std::mem::drop(steps);
        // The evicted step is freed after the lock is released.
        std::mem::drop(oldest);
    }

    /// Returns the steps with numbers above `after` as events of this process. The caller holds the lock
    /// of the recorder's other events, so that no event is numbered in between.
    pub(super) fn events(&self, after: u64, process: &Name, incarnation: u64) -> Vec<Event> {
        let steps = lock(&self.steps);
        let first = steps.partition_point(|step| step.sequence <= after);
        let event = |step: &Step| step.event(process, incarnation);
        steps.range(first..).map(event).collect()
    }
}

impl Step {
    fn event(&self, process: &Name, incarnation: u64) -> Event {
        let (what, note, message) = self.describe(process);
        Event {
            mark: Mark {
                process: process.clone(),
                incarnation,
                sequence: self.sequence,
            },
            at: self.at,
            cause: None,
            part: Name::new("route").expect("the name of a part is a valid name"),
            what: Name::new(what).expect("the name of an event is a valid name"),
            about: self.request.to_string(),
            note: format!("attempt={}{note}", self.attempt),
            message,
        }
    }

    fn describe(&self, me: &Name) -> (&'static str, String, Option<Message>) {
        let call = |to: &Name| format!("{}#{}>{to}", self.request, self.attempt);
        let reply = |from: &Name| format!("{}#{}<{from}", self.request, self.attempt);
        let sent = |name| Some(Message::new(name, Side::Sent));
        let received = |name| Some(Message::new(name, Side::Received));
        let code = |code: &Code| format!(" code={}", code.number());
        match &self.kind {
            Kind::Accepted => ("request-accepted", String::new(), None),
            Kind::Answered(result) => ("request-answered", code(result), None),
            Kind::Forwarded(to) => ("request-forwarded", format!(" to={to}"), sent(call(&to.0))),
            Kind::Received => ("request-received", String::new(), received(call(me))),
            Kind::Replied(result) => ("request-replied", code(result), sent(reply(me))),
            Kind::Returned(from, result) => (
                "request-returned",
                format!(" from={from}{}", code(result)),
                received(reply(&from.0)),
            ),
            Kind::Lost(to, result) => {
                let note = format!(" to={to}{}", code(result));
                ("request-lost", note, None)
            }
        }
    }
}

fn lock(steps: &Mutex<VecDeque<Step>>) -> MutexGuard<'_, VecDeque<Step>> {
    steps.lock().unwrap_or_else(PoisonError::into_inner)
}
