//! Events for the time line, to which the entry adds its own mark.

use marigoldpick_core::prelude::*;
use marigoldpick_core::timeline::Mark;

/// `Event` is one action of a state machine in this package.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The kind of event, as one word.
    pub what: Name,
    /// The subject of the event.
    pub about: String,
    /// Details for operators.
    pub note: String,
    /// The event that caused this one, if known.
    pub cause: Option<Mark>,
}

impl Event {
    /// Creates an event without a cause.
    ///
    /// # Panics
    /// Panics if `what` is not a valid name.
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
