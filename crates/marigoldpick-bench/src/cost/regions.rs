//! Spans over links of tens of milliseconds that part for a while.

use std::time::{Duration, Instant};

use async_std::task;
use marigoldpick_core::prelude::*;

use super::process::Error;
use super::rig::{Rig, Shape};
use super::spans::{Spread, change, changes, reached};

/// Failure domains at the target, one entry in each, so that each link between entries has latency.
const DOMAINS: u32 = 8;
/// One way, with the names of the spreads.
const LATENCIES: [(Millis, &str); 2] = [
    (Millis(20), "config in force, 8 entries, links of 20 ms"),
    (Millis(40), "config in force, 8 entries, links of 40 ms"),
];
/// Times that a region is parted, for how long, and the changes in that time.
const PARTS: u64 = 5;
const PARTED: Duration = Duration::from_secs(10);
const PARTED_CHANGES: u32 = 20;
const PARTED_LATENCY: Millis = Millis(40);

/// Times the spread of changes at each latency, and after a region was parted.
pub(crate) async fn measure(seed: u64) -> Result<Vec<Spread>, Error> {
    let mut spreads = Vec::new();
    for (latency, name) in LATENCIES {
        let mut shape = Shape::new(1, 4, seed);
        shape.domains = DOMAINS;
        shape.latency = Some(latency);
        let rig = Rig::start(shape).await?;
        spreads.push(Spread::new(name, &changes(&rig).await?));
    }
    spreads.push(parted(seed).await?);
    Ok(spreads)
}

/// Times from a link's healing until the changes of the meantime are in force behind it.
async fn parted(seed: u64) -> Result<Spread, Error> {
    let mut shape = Shape::new(1, 4, seed);
    shape.domains = 2;
    shape.latency = Some(PARTED_LATENCY);
    let rig = Rig::start(shape).await?;
    let mut spans = Vec::new();
    for _ in 0..PARTS {
        rig.part(1, true);
        let mut last = 0;
        for number in 0..PARTED_CHANGES {
            last = change(&rig, number).await?;
        }
        task::sleep(PARTED).await;
        rig.part(1, false);
        let start = Instant::now();
        reached(&rig, 1, last).await?;
        spans.push(start.elapsed());
    }
    Ok(Spread::new("config in force after a part of 10 s", &spans))
}
