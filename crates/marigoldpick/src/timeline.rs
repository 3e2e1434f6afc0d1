//! Merging the events of several processes into one causal order.
//!
//! An event comes after the one before it in its own incarnation of a process and after its cause.
//! Clocks of different processes are not comparable, so times only break ties.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use marigoldpick_core::clock::Millis;
use marigoldpick_core::timeline::{Event, Mark, Message};

/// Merges events into an order in which each one follows its predecessors and its cause.
///
/// An event that was given more than once is kept once. A cause that is not among the events is
/// taken as past. Events whose causes run in a circle, which a correct process never writes, come
/// in the order of their times.
#[must_use]
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| a.mark.cmp(&b.mark));
    events.dedup_by(|a, b| a.mark == b.mark);
    link(&mut events);
    let graph = Graph::new(&events);
    let order = graph.order(&events);
    pick(events, &order)
}

/// Names the cause of each event that received a message: the event that sent it.
///
/// A message's name that was sent or received more than once, as when a caller repeats an attempt,
/// links nothing, since its ends can't be told apart.
fn link(events: &mut [Event]) {
    let mut ends: Vec<(&Message, usize)> = Vec::new();
    for (at, event) in events.iter().enumerate() {
        if let Some(message) = &event.message {
            ends.push((message, at));
        }
    }
    ends.sort_by(|a, b| (&a.0.name, a.0.side, a.1).cmp(&(&b.0.name, b.0.side, b.1)));
    let pairs: Vec<(usize, usize)> = ends
        .chunk_by(|a, b| a.0.name == b.0.name)
        .filter_map(|ends| match ends {
            [(sent, from), (received, to)] if sent.side < received.side => Some((*from, *to)),
            _ => None,
        })
        .collect();
    for (from, to) in pairs {
        let sent = events[from].mark.clone();
        events[to].cause.get_or_insert(sent);
    }
}

/// Keeps the events about `about` and the causes that led to them, in the order given.
///
/// `about` is a task, whose runs and job are also followed, or a request.
#[must_use]
pub fn follow(events: Vec<Event>, about: &str) -> Vec<Event> {
    let mut wanted: Vec<Mark> = Vec::new();
    for event in events.iter().rev() {
        let caused = wanted.binary_search(&event.mark).is_ok();
        if !caused && !concerns(&event.about, about) {
            continue;
        }
        insert(&mut wanted, &event.mark);
        if let Some(cause) = &event.cause {
            insert(&mut wanted, cause);
        }
    }
    let keep = |event: &Event| wanted.binary_search(&event.mark).is_ok();
    events.into_iter().filter(keep).collect()
}

/// Tells whether an event about `subject` belongs to `about`: the same, or a run of the task.
fn concerns(subject: &str, about: &str) -> bool {
    match subject.strip_prefix(about) {
        Some(rest) => rest.is_empty() || rest.starts_with('#'),
        None => false,
    }
}

fn insert(marks: &mut Vec<Mark>, mark: &Mark) {
    if let Err(at) = marks.binary_search(mark) {
        marks.insert(at, mark.clone());
    }
}

/// `Graph` holds who waits for whom, by position in the events sorted by mark.
struct Graph {
    /// The events that wait for each one.
    followers: Vec<Vec<usize>>,
    /// How many events each one still waits for.
    blocked: Vec<u32>,
}

impl Graph {
    fn new(events: &[Event]) -> Self {
        let mut graph = Self {
            followers: vec![Vec::new(); events.len()],
            blocked: vec![0; events.len()],
        };
        for (at, event) in events.iter().enumerate() {
            if at > 0 && same_incarnation(&events[at - 1].mark, &event.mark) {
                graph.edge(at - 1, at);
            }
            let cause = event.cause.as_ref();
            let known = cause.and_then(|c| events.binary_search_by(|e| e.mark.cmp(c)).ok());
            if let Some(from) = known {
                graph.edge(from, at);
            }
        }
        graph
    }

    fn edge(&mut self, from: usize, to: usize) {
        if from != to {
            self.followers[from].push(to);
            self.blocked[to] += 1;
        }
    }

    fn order(mut self, events: &[Event]) -> Vec<usize> {
        let mut ready: BinaryHeap<Reverse<(Millis, usize)>> = (0..events.len())
            .filter(|&at| self.blocked[at] == 0)
            .map(|at| Reverse((events[at].at, at)))
            .collect();
        let mut done = vec![false; events.len()];
        let mut order = Vec::with_capacity(events.len());
        while order.len() < events.len() {
            let at = match ready.pop() {
                Some(Reverse((_, at))) => at,
                None => earliest(events, &done),
            };
            if std::mem::replace(&mut done[at], true) {
                continue;
            }
            order.push(at);
            for &next in &self.followers[at] {
                self.blocked[next] = self.blocked[next].saturating_sub(1);
                if self.blocked[next] == 0 {
                    ready.push(Reverse((events[next].at, next)));
                }
            }
        }
        order
    }
}

/// Finds the earliest event that is left, to break a circle of causes.
fn earliest(events: &[Event], done: &[bool]) -> usize {
    (0..events.len())
        .filter(|&at| !done[at])
        .min_by_key(|&at| (events[at].at, at))
        .expect("an event is left")
}

fn same_incarnation(a: &Mark, b: &Mark) -> bool {
    a.process == b.process && a.incarnation == b.incarnation
}

fn pick(events: Vec<Event>, order: &[usize]) -> Vec<Event> {
    let mut slots: Vec<Option<Event>> = events.into_iter().map(Some).collect();
    order.iter().filter_map(|&at| slots[at].take()).collect()
}
