//! The record of a job's progress in the store.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Phase;
use serde::{Deserialize, Serialize};

/// `Record` is the stored progress of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The phase reported to callers.
    pub phase: Phase,
    /// The occurrences that are over, as ranges of first and last numbers.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<(u32, u32)>,
    /// The progress of each step of the other occurrences that has begun, sorted by occurrence and step.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Part>,
}

/// `Part` is the progress of a step in one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The occurrence.
    #[serde(rename = "k")]
    pub occurrence: u32,
    /// The step.
    #[serde(rename = "s")]
    pub step: u32,
    /// Ranges of finished tasks, as first and last.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Failed runs, as pairs of task and run.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<(u32, u64)>,
    /// Runs after whose start a worker crashed, as pairs of task and run.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<(u32, u64)>,
    /// The crashed runs of which it is not known that they began, as pairs of task and run.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub unconfirmed: Vec<(u32, u64)>,
    /// Runs after whose start a worker may have crashed, as task, worker and run.
    #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
    pub possible_crashes: Vec<(u32, id::Worker, u64)>,
    /// Checkpoints of unfinished tasks.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<(u32, String)>,
    /// Possible placements, as task, worker and run.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub places: Vec<(u32, id::Worker, u64)>,
}

impl Part {
    /// Returns the part with nothing but its placements; `None` if it has none.
    #[must_use]
    pub fn only_places(self) -> Option<Self> {
        let part = Self {
            occurrence: self.occurrence,
            step: self.step,
            places: self.places,
            ..Self::default()
        };
        (!part.places.is_empty()).then_some(part)
    }
}

impl Record {
    /// Parses a record.
    ///
    /// # Errors
    /// Returns an error if the text is not a valid record.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Returns the record as JSON.
    ///
    /// # Panics
    /// Never: a record has only maps with text keys.
    #[must_use]
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a record is plain JSON")
    }
}
