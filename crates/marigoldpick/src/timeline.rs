//! Merges the events of several processes into one causal order.
//!
//! An event follows its predecessor in the same incarnation of a process, and it follows its cause.
//! Clocks of different processes are not comparable, so times only break ties.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use marigoldpick_core::clock::Millis;
use marigoldpick_core::timeline::{Event, Mark, Message};

/// Merges events into an order in which each one follows its predecessor and its cause.
///
/// Duplicate events are removed. A cause that is not among the events is ignored. Events whose
/// causes form a cycle, which a correct process never writes, are ordered by their times.
#[must_use]
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| a.mark.cmp(&b.mark));
    events.dedup_by(|a, b| a.mark == b.mark);
    link_messages(&mut events);
    let graph = Graph::new(&events);
    let order = graph.into_order(&events);
    reorder(events, &order)
}

/// Sets the cause of each event that received a message to the event that sent it.
///
/// When a message of the same name was sent or received more than once, such as when a caller
/// repeats an attempt, sender and receiver can't be paired, and no cause is set.
fn link_messages(events: &mut [Event]) {
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

/// Keeps the events about `subject` and their transitive causes, in the given order.
///
/// `subject` is a task, whose runs are included, or a request.
#[must_use]
pub fn follow(events: Vec<Event>, subject: &str) -> Vec<Event> {
    let mut wanted: Vec<Mark> = Vec::new();
    for event in events.iter().rev() {
        let is_cause = wanted.binary_search(&event.mark).is_ok();
        if !is_cause && !is_about(&event.about, subject) {
            continue;
        }
        insert_sorted(&mut wanted, &event.mark);
        if let Some(cause) = &event.cause {
            insert_sorted(&mut wanted, cause);
        }
    }
    let keep = |event: &Event| wanted.binary_search(&event.mark).is_ok();
    events.into_iter().filter(keep).collect()
}

/// Returns whether `about` names `subject` or, when that is a task, one of its runs.
fn is_about(about: &str, subject: &str) -> bool {
    match about.strip_prefix(subject) {
        Some(rest) => rest.is_empty() || rest.starts_with('#'),
        None => false,
    }
}

fn insert_sorted(marks: &mut Vec<Mark>, mark: &Mark) {
    if let Err(at) = marks.binary_search(mark) {
        marks.insert(at, mark.clone());
    }
}

/// `Graph` holds the precedence edges between events, by their index when sorted by mark.
struct Graph {
    /// The events that directly follow each one.
    successors: Vec<Vec<usize>>,
    /// The number of events before each one that are not ordered yet.
    in_degrees: Vec<u32>,
}

impl Graph {
    fn new(events: &[Event]) -> Self {
        let mut graph = Self {
            successors: vec![Vec::new(); events.len()],
            in_degrees: vec![0; events.len()],
        };
        for (at, event) in events.iter().enumerate() {
            if at > 0 && is_same_incarnation(&events[at - 1].mark, &event.mark) {
                graph.add_edge(at - 1, at);
            }
            let cause = event.cause.as_ref();
            let source = cause.and_then(|c| events.binary_search_by(|e| e.mark.cmp(c)).ok());
            if let Some(from) = source {
                graph.add_edge(from, at);
            }
        }
        graph
    }

    fn add_edge(&mut self, from: usize, to: usize) {
        if from != to {
            self.successors[from].push(to);
            self.in_degrees[to] += 1;
        }
    }

    fn into_order(mut self, events: &[Event]) -> Vec<usize> {
        let mut ready: BinaryHeap<Reverse<(Millis, usize)>> = (0..events.len())
            .filter(|&at| self.in_degrees[at] == 0)
            .map(|at| Reverse((events[at].at, at)))
            .collect();
        let mut ordered = vec![false; events.len()];
        let mut order = Vec::with_capacity(events.len());
        while order.len() < events.len() {
            let at = match ready.pop() {
                Some(Reverse((_, at))) => at,
                None => earliest_unordered(events, &ordered),
            };
            if std::mem::replace(&mut ordered[at], true) {
                continue;
            }
            order.push(at);
            for &next in &self.successors[at] {
                self.in_degrees[next] = self.in_degrees[next].saturating_sub(1);
                if self.in_degrees[next] == 0 {
                    ready.push(Reverse((events[next].at, next)));
                }
            }
        }
        order
    }
}

/// Returns the earliest event that is not ordered yet, to break a cycle of causes.
fn earliest_unordered(events: &[Event], ordered: &[bool]) -> usize {
    (0..events.len())
        .filter(|&at| !ordered[at])
        .min_by_key(|&at| (events[at].at, at))
        .expect("an event is left")
}

fn is_same_incarnation(a: &Mark, b: &Mark) -> bool {
    a.process == b.process && a.incarnation == b.incarnation
}

fn reorder(events: Vec<Event>, order: &[usize]) -> Vec<Event> {
    let mut slots: Vec<Option<Event>> = events.into_iter().map(Some).collect();
    order.iter().filter_map(|&at| slots[at].take()).collect()
}
