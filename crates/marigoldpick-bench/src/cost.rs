//! `marigold-bench cost`: what control costs, as slopes over sizes.
//!
//! Each slope is fitted through measurements at three or more sizes: of real entry processes over
//! loopback, or of the pure machines alone.

mod fit;
mod machines;
mod plot;
mod process;
mod rig;
mod sites;

use std::process::ExitCode;

use gumdrop::Options;
use serde::Serialize;

use fit::Slope;

/// `Arguments` is the command line of `cost`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON")]
    json: bool,
    #[options(help = "write the slopes as a plot", meta = "FILE")]
    svg: Option<String>,
    #[options(
        help = "measure all, machines, sites, or one of workers, tasks, entries, starts, changes",
        meta = "PART",
        default = "all"
    )]
    part: String,
    #[options(
        help = "seconds of one measurement of a site",
        meta = "N",
        default = "8"
    )]
    seconds: u64,
    #[options(help = "where all draws come from", meta = "N", default = "1")]
    seed: u64,
}

/// `Report` is all that was measured.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    slopes: Vec<Slope>,
}

/// Runs the measurements.
pub(crate) fn run(arguments: &Arguments) -> ExitCode {
    let mut slopes = Vec::new();
    if matches!(arguments.part.as_str(), "machines" | "all") {
        slopes.extend(machines::measure(arguments.seed));
    }
    let part = arguments.part.as_str();
    if part != "machines" {
        let sites = sites::measure(part, arguments.seconds, arguments.seed);
        match async_std::task::block_on(sites) {
            Ok(more) => slopes.extend(more),
            Err(error) => {
                eprintln!("marigold-bench: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    let report = Report {
        seed: arguments.seed,
        slopes,
    };
    if let Some(file) = &arguments.svg
        && let Err(error) = plot::write(file, &report.slopes)
    {
        eprintln!("marigold-bench: {file}: {error}");
        return ExitCode::FAILURE;
    }
    print(arguments.json, &report);
    ExitCode::SUCCESS
}

fn print(json: bool, report: &Report) {
    if json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
        return;
    }
    println!(
        "{:<44} {:>12} {:>12} {:>8}  points",
        "slope", "each", "at zero", "residual"
    );
    for slope in &report.slopes {
        println!("{slope}");
    }
}
