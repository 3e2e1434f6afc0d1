//! `marigold-bench cost`: the cost of the control plane, as slopes over the size of a site.
//!
//! Each slope is fitted through measurements at three or more sizes. Measured are real entry processes
//! over loopback, or the state machines alone, without I/O.

mod days;
mod latency;
mod plot;
mod process;
mod regions;
mod rig;
mod roles;
mod sites;
mod slope;
mod state_machines;

use std::process::ExitCode;

use gumdrop::Options;
use serde::Serialize;

use days::Outcome;
use latency::Spread;
use process::Error;
use slope::Slope;

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
        help = "measure all, machines, sites, or one of workers, pace, tasks, entries, domains, starts, changes, teams, requests, config, regions, take-over, days",
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

/// `Report` holds all results.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    slopes: Vec<Slope>,
    spreads: Vec<Spread>,
    days: Vec<Outcome>,
}

/// Runs the measurements.
pub(crate) fn run(arguments: &Arguments) -> ExitCode {
    let report = match async_std::task::block_on(measure(arguments)) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("marigold-bench: {error}");
            return ExitCode::FAILURE;
        }
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

async fn measure(arguments: &Arguments) -> Result<Report, Error> {
    let (part, seed) = (arguments.part.as_str(), arguments.seed);
    let mut report = Report {
        seed,
        slopes: Vec::new(),
        spreads: Vec::new(),
        days: Vec::new(),
    };
    if matches!(part, "machines" | "all") {
        report.slopes.extend(state_machines::measure(seed));
    }
    report
        .slopes
        .extend(sites::measure(part, arguments.seconds, seed).await?);
    if matches!(part, "config" | "all") {
        report.spreads.push(latency::measure_config(3, seed).await?);
        report.spreads.push(latency::measure_config(8, seed).await?);
    }
    if matches!(part, "regions" | "all") {
        report.spreads.extend(regions::measure(seed).await?);
    }
    if matches!(part, "take-over" | "all") {
        report
            .spreads
            .push(latency::measure_take_over(true, seed).await?);
        report
            .spreads
            .push(latency::measure_take_over(false, seed).await?);
    }
    if matches!(part, "days" | "all") {
        report.days = days::play(arguments.seconds, seed).await?;
    }
    Ok(report)
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
    report.slopes.iter().for_each(|slope| println!("{slope}"));
    report
        .spreads
        .iter()
        .for_each(|spread| println!("{spread}"));
    report.days.iter().for_each(|day| println!("{day}"));
}
