//! `marigold-soak`: plays soak runs and reports those that failed.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use marigoldpick_core::code::Code;
use marigoldpick_soak::run::{self, Error, Outcome, Shape};

/// The command line of `marigold-soak`.
#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// The number of runs, each with a seed of its own.
    #[options(no_short, meta = "N", default = "1")]
    seeds: u64,
    /// The first seed; a run plays the same faults for the same seed.
    #[options(no_short, meta = "S", default = "1")]
    first: u64,
    /// Entries; each is a process.
    #[options(no_short, meta = "N", default = "5")]
    entries: u32,
    /// Workers of the stand-in.
    #[options(no_short, meta = "N", default = "9")]
    workers: u32,
    /// How long jobs are handed in, in seconds.
    #[options(no_short, meta = "S", default = "15")]
    seconds: u32,
    /// Jobs handed in a second.
    #[options(no_short, meta = "N", default = "4")]
    jobs: u32,
    /// Where settings and logs are written; those of runs that failed stay there.
    #[options(no_short, meta = "DIR", default = "target/soak")]
    folder: PathBuf,
    /// Prints a line of JSON for each run.
    #[options(no_short)]
    json: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match play_all(&arguments) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            eprintln!("{failed} of {} runs failed", arguments.seeds);
            exit(Code::PromiseBroken)
        }
        Err(error) => {
            eprintln!("marigold-soak: {error}");
            exit(Code::Internal)
        }
    }
}

fn exit(code: Code) -> ExitCode {
    ExitCode::from(u8::try_from(code.exit_status()).unwrap_or(u8::MAX))
}

/// Plays all runs and returns how many failed.
fn play_all(arguments: &Arguments) -> Result<u64, Error> {
    let shape = Shape {
        entries: arguments.entries.max(1),
        workers: arguments.workers.max(1),
        seconds: arguments.seconds.max(1),
        jobs_per_second: arguments.jobs.max(1),
    };
    let bar = progress(arguments.seeds);
    let mut failed = 0;
    for seed in (arguments.first..).take(arguments.seeds as usize) {
        bar.set_message(format!("seed {seed}"));
        let folder = arguments.folder.join(format!("seed-{seed}"));
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        let outcome = async_std::task::block_on(run::play(seed, &shape, &folder))?;
        bar.suspend(|| show(&outcome, arguments));
        if outcome.broken.is_empty() {
            std::fs::remove_dir_all(&folder)?;
        } else {
            failed += 1;
        }
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(failed)
}

fn show(outcome: &Outcome, arguments: &Arguments) {
    let verdict = &outcome.verdict;
    if arguments.json {
        println!("{}", serde_json::json!(outcome));
    } else {
        println!(
            "seed {}: {} accepted, {} completed, {} cancelled, {} refused, {} runs: {}",
            outcome.seed,
            verdict.accepted,
            verdict.completed,
            verdict.cancelled,
            verdict.refused,
            verdict.runs,
            if outcome.broken.is_empty() {
                "passed"
            } else {
                "FAILED"
            }
        );
    }
    if outcome.broken.is_empty() {
        return;
    }
    for what in &outcome.broken {
        eprintln!("  {what}");
    }
    eprintln!(
        "  again: marigold-soak --first {} --entries {} --workers {} --seconds {} --jobs {}; logs: {}",
        outcome.seed,
        arguments.entries,
        arguments.workers,
        arguments.seconds,
        arguments.jobs,
        arguments
            .folder
            .join(format!("seed-{}", outcome.seed))
            .display()
    );
}

fn progress(runs: u64) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(Some(runs), ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{pos} of {len} runs: {msg} [{elapsed}]");
    bar.set_style(style.unwrap_or_else(|_source| ProgressStyle::default_bar()));
    bar
}
