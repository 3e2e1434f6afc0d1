//! What the store keeps of a job's progress.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Phase;
use serde::{Deserialize, Serialize};

/// `Record` is the progress of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What callers are told.
    pub phase: Phase,
    /// The steps of each occurrence that has begun, sorted by occurrence and step.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Part>,
}

/// `Part` is the progress of a step of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The occurrence.
    #[serde(rename = "k")]
    pub occurrence: u32,
    /// The step.
    #[serde(rename = "s")]
    pub step: u32,
    /// Ranges of tasks that are done: first and last.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Runs that failed: task and run.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<(u32, u64)>,
    /// Checkpoints of tasks that are not done.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<(u32, String)>,
    /// Where tasks may run: task, worker and run.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub places: Vec<(u32, id::Worker, u64)>,
}

/// Joins task numbers, which ascend, into ranges.
#[must_use]
pub fn ranges(numbers: impl Iterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for number in numbers {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == number => *last = number,
            _ => ranges.push((number, number)),
        }
    }
    ranges
}

impl Record {
    /// Reads a record.
    ///
    /// # Errors
    /// Fails when the text is no record.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Writes the record as text.
    ///
    /// # Panics
    /// Never: a record has only maps with text keys.
    #[must_use]
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a record is plain JSON")
    }
}
