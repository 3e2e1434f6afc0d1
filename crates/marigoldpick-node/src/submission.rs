//! The value of a job's key: the job, and the settings that its queue had when it was accepted; or a marker.
//!
//! A marker says that the job was rejected. It keeps earlier writes of the same job from taking effect while they may
//! be in flight, and is removed with its lease.
//!
//! Load pattern: a version of the configuration removes a queue with accepted jobs, and another entry takes over. The
//! new lead has never seen that queue.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Job;
use marigoldpick_job::Queue;
use serde::{Deserialize, Serialize};

/// `Submission` is the value of a job's key.
#[derive(Debug, Serialize)]
struct Submission<'a> {
    #[serde(flatten)]
    job: &'a Job,
    terms: &'a Queue,
}

/// `Terms` is the part of a submission that only a lead without the queue's settings reads.
#[derive(Debug, Deserialize)]
struct Terms {
    terms: Option<Queue>,
}

/// Returns the value of the key of a job that is accepted at `queue`.
#[must_use]
pub fn write(job: &Job, queue: &Queue) -> String {
    let submission = Submission { job, terms: queue };
    serde_json::to_string(&submission).expect("a submission is plain JSON")
}

/// Reads the settings of the queue from the value of a job's key, if it has them.
///
/// # Errors
/// Fails if the value is no submission.
pub fn read_terms(value: &str) -> Result<Option<Queue>, serde_json::Error> {
    let Terms { terms } = serde_json::from_str(value)?;
    Ok(terms)
}

/// `Marker` is the value of a job's key while the job counts as rejected.
#[derive(Debug, Serialize)]
struct Marker<'a> {
    rejected: Rejection<'a>,
}

/// `Rejection` tells operators who rejected a job, and when.
#[derive(Debug, Serialize)]
struct Rejection<'a> {
    /// The time of the rejection in milliseconds since 1970.
    at: u64,
    /// The entry that rejected the job.
    entry: &'a id::Entry,
    /// The delay after which the caller may submit the job again.
    after: Millis,
}

/// The start of a marker's value. That of a job starts with its queue.
const MARKER_START: &str = "{\"rejected\":";

/// Returns the marker of a job that `entry` rejects at `at`, in milliseconds since 1970.
#[must_use]
pub fn write_marker(entry: &id::Entry, at: u64, after: Millis) -> String {
    let rejected = Rejection { at, entry, after };
    serde_json::to_string(&Marker { rejected }).expect("a marker is plain JSON")
}

/// Returns whether the value of a job's key says that the job is rejected.
#[must_use]
pub fn is_marker(value: &str) -> bool {
    value.starts_with(MARKER_START)
}
