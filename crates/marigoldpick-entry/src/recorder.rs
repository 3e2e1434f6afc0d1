//! Keeps the latest events of this process for the time line.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use marigoldpick_core::operator::Timeline;
use marigoldpick_core::prelude::*;
use marigoldpick_core::timeline::{Event, Mark};

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
    kept: Arc<Mutex<Kept>>,
}

#[derive(Debug, Default)]
struct Kept {
    next: u64,
    events: VecDeque<Event>,
}

impl Recorder {
    /// Makes a recorder that keeps at most `most` events.
    #[must_use]
    pub fn new(process: Name, incarnation: u64, most: usize) -> Self {
        let kept = Kept {
            next: 1,
            events: VecDeque::new(),
        };
        Self {
            process,
            incarnation,
            most,
            kept: Arc::new(Mutex::new(kept)),
        }
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
            sequence: kept.next,
        };
        kept.next += 1;
        if kept.events.len() >= self.most {
            kept.events.pop_front();
        }
        kept.events.push_back(Event {
            mark: mark.clone(),
            at,
            cause,
            part,
            what: note.what,
            about: note.about,
            note: note.note,
        });
        mark
    }

    /// Returns the events with numbers above `after`, one page of them.
    #[must_use]
    pub fn page(&self, after: u64) -> Timeline {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let first = kept
            .events
            .front()
            .map_or(kept.next, |event| event.mark.sequence);
        let dropped = first.saturating_sub(after + 1);
        let events: Vec<Event> = kept
            .events
            .iter()
            .skip(usize::try_from((after + 1).saturating_sub(first)).unwrap_or(usize::MAX))
            .take(PAGE)
            .cloned()
            .collect();
        let next = events.last().map_or(after, |event| event.mark.sequence);
        Timeline {
            events,
            next,
            dropped,
        }
    }
}
