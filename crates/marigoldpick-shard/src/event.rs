//! Events for the time line; the entry adds its own mark.

use marigoldpick_core::prelude::*;
use marigoldpick_core::timeline::Mark;

/// `Event` is one thing that a machine did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// What happened, in a word.
    pub what: Name,
    /// What it is about.
    pub about: String,
    /// More, for people.
    pub note: String,
    /// The event that led to this one, if known.
    pub cause: Option<Mark>,
}

impl Event {
    /// Makes an event.
    ///
    /// # Panics
    /// Panics when `what` is no name.
    #[must_use]
    pub fn new(what: &'static str, about: impl ToString, note: impl Into<String>) -> Self {
        Self {
            what: Name::new(what).expect("the word is a name"),
            about: about.to_string(),
            note: note.into(),
            cause: None,
        }
    }
}
