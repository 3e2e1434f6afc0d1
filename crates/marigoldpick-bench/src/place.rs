//! `marigold-bench place`: task placement by policy on the same seeded work.

mod packing;
mod work;

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
    #[options(help = "run only this part: packing")]
    part: Option<String>,
}

/// `Report` is what was measured.
#[derive(Debug, Serialize)]
struct Report {
    workers: u32,
    seed: u64,
    packing: Vec<packing::Row>,
}

/// Measures and prints.
pub fn run(arguments: &Arguments) -> ExitCode {
    let wanted = |part: &str| arguments.part.as_deref().is_none_or(|only| only == part);
    let mut report = Report {
        workers: arguments.workers,
        seed: arguments.seed,
        packing: Vec::new(),
    };
    if wanted("packing") {
        report.packing = packing::measure(arguments.workers, arguments.seed);
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
    }
    ExitCode::SUCCESS
}
