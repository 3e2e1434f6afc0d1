//! Records the latest events of this process for the time line.

mod trail;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use marigoldpick_core::operator::Timeline;
use marigoldpick_core::prelude::*;
use marigoldpick_core::timeline::{Event, Mark};

pub use trail::{Kind, Trail};

/// The most events in one page.
const PAGE_EVENTS: usize = 2_000;

/// `Note` is an event that has no mark yet.
#[derive(Clone, Debug)]
pub struct Note {
    /// The part of the program.
    pub part: &'static str,
    /// The name of what happened.
    pub what: Name,
    /// The subject of the event.
    pub about: String,
    /// Details for people.
    pub note: String,
    /// The cause.
    pub cause: Cause,
}

/// `Cause` is the cause of an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Cause {
    /// No known cause.
    #[default]
    None,
    /// Another event.
    Mark(Mark),
    /// The event that applied the job of this task; the event with this cause starts a run of the task.
    Started(id::Task),
    /// The event that started the run of this task; the event with this cause ends the run.
    Ended(id::Task),
}

impl Note {
    /// Creates a note without a cause.
    ///
    /// # Panics
    /// Panics when `what` is not a valid name, which is a bug in the calling code.
    pub fn new(
        part: &'static str,
        what: &'static str,
        about: impl ToString,
        note: impl Into<String>,
    ) -> Self {
        let what = Name::new(what).expect("the name of an event is a valid name");
        Self {
            part,
            what,
            about: about.to_string(),
            note: note.into(),
            cause: Cause::None,
        }
    }

    /// Sets the cause.
    #[must_use]
    pub fn after(mut self, cause: Cause) -> Self {
        self.cause = cause;
        self
    }

    /// Creates a note from an event of `marigoldpick_shard`.
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

/// `Recorder` numbers events and keeps the latest ones. Clones share the events.
#[derive(Clone, Debug)]
pub struct Recorder {
    process: Name,
    incarnation: u64,
    max_events: usize,
    next: Arc<AtomicU64>,
    kept: Arc<Mutex<VecDeque<Event>>>,
    trail: Trail,
}

impl Recorder {
    /// Creates a recorder of at most `max_events` events and of at most `max_steps` request steps.
    #[must_use]
    pub fn new(process: Name, incarnation: u64, max_events: usize, max_steps: usize) -> Self {
        let next = Arc::new(AtomicU64::new(1));
        Self {
            process,
            incarnation,
            max_events,
            trail: Trail::new(Arc::clone(&next), max_steps),
            next,
            kept: Arc::default(),
        }
    }

    /// Returns the trail that records the steps of requests.
    #[must_use]
    pub const fn trail(&self) -> &Trail {
        &self.trail
    }

    /// Records an event and returns its mark. The caller has resolved the cause to a mark; any other cause
    /// is dropped.
    ///
    /// # Panics
    /// Panics when `part` is not a valid name, which is a bug in the calling code.
    pub fn record(&self, at: Millis, note: Note) -> Mark {
        let part = Name::new(note.part).expect("the name of a part is a valid name");
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
        if kept.len() >= self.max_events {
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

    /// Returns one page of the events with numbers above `after`.
    ///
    /// Both lists stay locked while they are read, so a number that is missing in the page was dropped.
    #[must_use]
    pub fn page(&self, after: u64) -> Timeline {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let mut events = self.trail.events(after, &self.process, self.incarnation);
        let first = kept.partition_point(|event| event.mark.sequence <= after);
        events.extend(kept.range(first..).cloned());
        std::mem::drop(kept);
        events.sort_unstable_by_key(|event| event.mark.sequence);
        events.truncate(PAGE_EVENTS);
        let next = events.last().map_or(after, |event| event.mark.sequence);
        let returned = u64::try_from(events.len()).unwrap_or(u64::MAX);
        Timeline {
            dropped: next.saturating_sub(after).saturating_sub(returned),
            events,
            next,
        }
    }
}
