//! Keeps the latest events of this process for the time line.

mod trail;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use marigoldpick_core::operator::Timeline;
use marigoldpick_core::prelude::*;
use marigoldpick_core::timeline::{Event, Mark};

pub use trail::{Kind, Trail};

/// The most events in one page.
const PAGE: usize = 2_000;

/// `Note` is an event before it has its mark.
#[derive(Clone, Debug)]
pub struct Note {
    /// The part of the program.
    pub part: &'static str,
    /// What happened, in a word.
    pub what: Name,
    /// What it is about.
    pub about: String,
    /// More, for people.
    pub note: String,
    /// What led to it.
    pub cause: Cause,
}

/// `Cause` is what led to an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Cause {
    /// Nothing that is known.
    #[default]
    None,
    /// An event.
    Mark(Mark),
    /// The configuration that brought the job; the event starts a run of this task.
    Started(id::Task),
    /// The start of the task's run.
    Ended(id::Task),
}

impl Note {
    /// Makes a note without a cause.
    ///
    /// # Panics
    /// Panics when the word is no name, which is a fault of the caller's source.
    pub fn new(
        part: &'static str,
        what: &'static str,
        about: impl ToString,
        note: impl Into<String>,
    ) -> Self {
        let what = Name::new(what).expect("an event's word is a name");
        Self {
            part,
            what,
            about: about.to_string(),
            note: note.into(),
            cause: Cause::None,
        }
    }

    /// Says what led to it.
    #[must_use]
    pub fn after(mut self, cause: Cause) -> Self {
        self.cause = cause;
        self
    }

    /// Makes a note of what an ownership machine did.
    #[must_use]
    pub fn event(part: &'static str, event: marigoldpick_shard::event::Event) -> Self {
        let marigoldpick_shard::event::Event {
            what,
            about,
            note,
            cause,
        } = event;
        Self {
            part,
            what,
            about,
            note,
            cause: cause.map_or(Cause::None, Cause::Mark),
        }
    }
}

/// `Recorder` numbers events and keeps the latest ones; clones share them.
#[derive(Clone, Debug)]
pub struct Recorder {
    process: Name,
    incarnation: u64,
    most: usize,
    next: Arc<AtomicU64>,
    kept: Arc<Mutex<VecDeque<Event>>>,
    trail: Trail,
}

impl Recorder {
    /// Makes a recorder that keeps at most `most` events, and `requests` of requests besides.
    #[must_use]
    pub fn new(process: Name, incarnation: u64, most: usize, requests: usize) -> Self {
        let next = Arc::new(AtomicU64::new(1));
        Self {
            process,
            incarnation,
            most,
            trail: Trail::new(Arc::clone(&next), requests),
            next,
            kept: Arc::default(),
        }
    }

    /// Returns where the steps of requests go.
    #[must_use]
    pub const fn trail(&self) -> &Trail {
        &self.trail
    }

    /// Records an event, whose cause must be resolved by now, and returns its mark.
    ///
    /// # Panics
    /// Panics when the part is no name, which is a fault of the caller's source.
    pub fn record(&self, at: Millis, note: Note) -> Mark {
        let part = Name::new(note.part).expect("a part is a name");
        let cause = match note.cause {
            Cause::Mark(mark) => Some(mark),
            Cause::None | Cause::Started(_) | Cause::Ended(_) => None,
        };
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let mark = Mark {
            process: self.process.clone(),
            incarnation: self.incarnation,
            sequence: self.next.fetch_add(1, Ordering::Relaxed),
        };
        if kept.len() >= self.most {
            kept.pop_front();
        }
        kept.push_back(Event {
            mark: mark.clone(),
            at,
            cause,
            part,
            what: note.what,
            about: note.about,
            note: note.note,
            message: None,
        });
        mark
    }

    /// Returns the events with numbers above `after`, one page of them.
    ///
    /// Both lists are held while they are read: a number that is missing in between was dropped.
    #[must_use]
    pub fn page(&self, after: u64) -> Timeline {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let mut events = self.trail.events(after, &self.process, self.incarnation);
        let first = kept.partition_point(|event| event.mark.sequence <= after);
        events.extend(kept.range(first..).cloned());
        std::mem::drop(kept);
        events.sort_unstable_by_key(|event| event.mark.sequence);
        events.truncate(PAGE);
        let next = events.last().map_or(after, |event| event.mark.sequence);
        let told = u64::try_from(events.len()).unwrap_or(u64::MAX);
        Timeline {
            dropped: next.saturating_sub(after).saturating_sub(told),
            events,
            next,
        }
    }
}
