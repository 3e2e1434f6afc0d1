//! Latencies of configuration changes between regions, over slow links and after network partitions.

use std::time::{Duration, Instant};

use async_std::task;
use marigoldpick_core::prelude::*;

use super::latency::{Spread, time_changes, toggle_drain, wait_for_change};
use super::process::Error;
use super::rig::{Rig, Shape};

/// Failure domains at the target size; each has one entry, so that each link between entries has latency.
const DOMAINS: u32 = 8;
/// One-way latencies of the links, with the names of the results.
const LATENCIES: [(Millis, &str); 2] = [
    (Millis(20), "config in force, 8 entries, links of 20 ms"),
    (Millis(40), "config in force, 8 entries, links of 40 ms"),
];
/// The number of partitions, the length of each, the changes made during it, and the one-way latency.
const PARTITIONS: u64 = 5;
const PARTITION_TIME: Duration = Duration::from_secs(10);
const PARTITION_CHANGES: u32 = 20;
const PARTITION_LATENCY: Millis = Millis(40);

/// Measures the propagation of changes at each link latency, and after a partition of a region.
pub(crate) async fn measure(seed: u64) -> Result<Vec<Spread>, Error> {
    let mut spreads = Vec::new();
    for (latency, name) in LATENCIES {
        let mut shape = Shape::new(1, 4, seed);
        shape.domains = DOMAINS;
        shape.latency = Some(latency);
        let rig = Rig::start(shape).await?;
        spreads.push(Spread::new(name, &time_changes(&rig).await?));
    }
    spreads.push(measure_partition(seed).await?);
    Ok(spreads)
}

/// Measures the time from the end of a partition until the changes made during it are in force behind it.
async fn measure_partition(seed: u64) -> Result<Spread, Error> {
    let mut shape = Shape::new(1, 4, seed);
    shape.domains = 2;
    shape.latency = Some(PARTITION_LATENCY);
    let rig = Rig::start(shape).await?;
    let mut durations = Vec::new();
    for _ in 0..PARTITIONS {
        rig.set_partition(1, true);
        let mut last = 0;
        for number in 0..PARTITION_CHANGES {
            last = toggle_drain(&rig, number).await?;
        }
        task::sleep(PARTITION_TIME).await;
        rig.set_partition(1, false);
        let start = Instant::now();
        wait_for_change(&rig, 1, last).await?;
        durations.push(start.elapsed());
    }
    Ok(Spread::new(
        "config in force after a part of 10 s",
        &durations,
    ))
}
