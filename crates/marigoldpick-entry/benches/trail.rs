//! Measures the time to record a step of a request in the time line, with one thread and with several.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Instant;

use marigoldpick_core::clock::System;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::recorder::{Kind, Trail};

/// Steps that each thread records.
const STEPS: u32 = 1_000_000;
/// Steps that the trail keeps.
const KEPT_STEPS: usize = 20_000;

fn main() {
    for threads in [1, 4, 8] {
        let nanos = measure(threads);
        println!("{threads} threads: {nanos:.0} ns a step of each thread");
    }
}

/// Returns the time per step of each thread, in nanoseconds.
fn measure(threads: u32) -> f64 {
    let trail = Trail::new(Arc::new(AtomicU64::new(1)), KEPT_STEPS);
    let clock = System::new();
    let start = Instant::now();
    std::thread::scope(|scope| {
        for thread in 0..threads {
            let trail = &trail;
            scope.spawn(move || {
                let request = id::Request::new(&format!("r-{thread}")).expect("a name");
                for _ in 0..STEPS {
                    trail.record(clock.now(), &request, 1, Kind::Accepted);
                }
            });
        }
    });
    start.elapsed().as_nanos() as f64 / f64::from(STEPS)
}
