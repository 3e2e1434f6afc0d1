//! `marigold-bench place`: compares task placement policies on the same seeded workload.

mod arrivals;
mod packing;
mod replay;
mod scale;
mod scenarios;
mod tally;
mod workload;

use std::process::ExitCode;

use gumdrop::Options;
use serde::Serialize;

/// `Arguments` is the command line of `place`.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "workers of the shard", default = "500")]
    workers: u32,
    #[options(help = "seed of the work and of random policies", default = "1")]
    seed: u64,
    #[options(help = "print JSON")]
    json: bool,
    #[options(
        help = "run only this part: packing, scale, mixed, urgent, sizes, black-hole, objectives"
    )]
    part: Option<String>,
}

/// Replays scenarios with a number of workers and a seed.
type Measure = fn(u32, u64) -> Vec<scenarios::Row>;

/// `Report` holds all results.
#[derive(Debug, Serialize)]
struct Report {
    workers: u32,
    seed: u64,
    packing: Vec<packing::Row>,
    scale: Vec<scale::Row>,
    replays: Vec<scenarios::Row>,
}

/// Runs the selected measurements and prints the report.
pub fn run(arguments: &Arguments) -> ExitCode {
    let wanted = |part: &str| arguments.part.as_deref().is_none_or(|only| only == part);
    let mut report = Report {
        workers: arguments.workers,
        seed: arguments.seed,
        packing: Vec::new(),
        scale: Vec::new(),
        replays: Vec::new(),
    };
    if wanted("packing") {
        report.packing = packing::measure(arguments.workers, arguments.seed);
    }
    let (workers, seed) = (arguments.workers, arguments.seed);
    if wanted("scale") {
        report.scale.push(scale::measure(workers, seed));
    }
    let replays: [(&str, Measure); 5] = [
        ("mixed", scenarios::mixed),
        ("urgent", scenarios::urgent),
        ("sizes", scenarios::sizes),
        ("black-hole", scenarios::black_hole),
        ("objectives", scenarios::objectives),
    ];
    for (part, measure) in replays {
        if wanted(part) {
            report.replays.extend(measure(workers, seed));
        }
    }
    if arguments.json {
        match serde_json::to_string_pretty(&report) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("the report can't be written: {error}");
                return ExitCode::FAILURE;
            }
        }
    } else {
        packing::print(&report.packing);
        report.scale.iter().for_each(scale::print);
        scenarios::print(&report.replays);
    }
    ExitCode::SUCCESS
}
