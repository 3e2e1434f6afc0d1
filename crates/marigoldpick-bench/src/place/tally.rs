//! Counts and measurements of a replay.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use marigoldpick_core::intent::{Class, Job, Priority};

/// `Tally` holds the counts and measurements of a replay.
#[derive(Debug)]
pub struct Tally {
    /// Waiting times of started tasks by class, in milliseconds.
    pub waits: BTreeMap<&'static str, Histogram<u64>>,
    /// Times of placement decisions, in nanoseconds.
    pub decisions: Histogram<u64>,
    pub starts: u64,
    pub black_hole_starts: u64,
    pub displaced: u64,
    pub throttled: u64,
    pub lost_core_seconds: f64,
    pub out_of_memory: u64,
    /// The number of times at which a worker's runs together held more than its size.
    pub overloads: u64,
    /// The mean real use of processors in the second half, in percent.
    pub used_processors_percent: f64,
    /// The mean real use of memory in the second half, in percent.
    pub used_memory_percent: f64,
    /// The mean share of reserved accelerators in the second half, in percent.
    pub used_accelerators_percent: f64,
    /// The number of tasks that never started, by class.
    pub unstarted: BTreeMap<&'static str, u64>,
    /// The number of events on which the scheduler started tasks.
    pub rounds: u64,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        Self {
            waits: BTreeMap::new(),
            decisions: Histogram::new(3).expect("three digits are allowed"),
            starts: 0,
            black_hole_starts: 0,
            displaced: 0,
            throttled: 0,
            lost_core_seconds: 0.0,
            out_of_memory: 0,
            overloads: 0,
            used_processors_percent: 0.0,
            used_memory_percent: 0.0,
            used_accelerators_percent: 0.0,
            unstarted: BTreeMap::new(),
            rounds: 0,
        }
    }
}

/// Returns the class under which a job's waiting times are counted.
pub fn class_of(job: &Job) -> &'static str {
    match (job.priority, job.class) {
        (Priority::Urgent, _) => "urgent",
        (_, Class::Service) => "service",
        (_, Class::Batch) => "batch",
        (_, Class::Gang) => "gang",
    }
}

/// Creates an empty histogram with three significant digits.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}
