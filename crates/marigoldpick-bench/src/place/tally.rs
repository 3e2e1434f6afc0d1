//! What is seen in a replay.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use marigoldpick_core::intent::{Class, Job, Priority};

/// `Tally` is what was seen.
#[derive(Debug)]
pub struct Tally {
    pub waits: BTreeMap<&'static str, Histogram<u64>>,
    pub decisions: Histogram<u64>,
    pub starts: u64,
    pub black_hole_starts: u64,
    pub displaced: u64,
    pub throttled: u64,
    pub lost_core_seconds: f64,
    pub out_of_memory: u64,
    /// Moments at which a worker's runs together held or used more than its size.
    pub overloads: u64,
    /// Mean share of really used processors in the second half, in hundredths.
    pub used_processors_percent: f64,
    /// Mean share of really used memory in the second half, in hundredths.
    pub used_memory_percent: f64,
    /// Mean share of held accelerators in the second half, in hundredths.
    pub used_accelerators_percent: f64,
    pub unstarted: BTreeMap<&'static str, u64>,
    pub rounds: u64,
}

impl Tally {
    /// Makes a tally of nothing.
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

/// Returns the class under which a job's waits are counted.
pub fn class_of(job: &Job) -> &'static str {
    match (job.priority, job.class) {
        (Priority::Urgent, _) => "urgent",
        (_, Class::Service) => "service",
        (_, Class::Batch) => "batch",
        (_, Class::Gang) => "gang",
    }
}

/// Makes an empty histogram of three digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}
