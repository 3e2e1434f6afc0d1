//! Plays one case of the review: starts the project's program on some machines, the stand-ins of the platform, and
//! clients; then judges what clients and minions have seen.

mod gang;
mod net;
mod pause;
mod platform;
mod site;
mod starve;
mod wide;

use std::path::PathBuf;

/// The exit codes.
const BROKEN: i32 = 1;
const HELD: i32 = 0;
const NOT_RUN: i32 = 2;

/// The steps of the wide job in the two cases with one.
const FLOOD_STEPS: u64 = 2;
const RECORD_STEPS: u64 = 4;

/// `Verdict` is what a case has shown.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    NotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE FOLDER");
        std::process::exit(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let verdict = match name.as_str() {
        "flood" => wide::play(&folder, trouble, FLOOD_STEPS),
        "record" => wide::play(&folder, trouble, RECORD_STEPS),
        "gang" => gang::play(&folder, trouble),
        "advice" => starve::play_advice(&folder, trouble),
        "quota" => starve::play_quota(&folder, trouble),
        "reserve" => starve::play_reserve(&folder, trouble),
        "pause-cancel" => pause::play(&folder, trouble.then_some(pause::Trouble::Cancel)),
        "pause-kill" => pause::play(&folder, trouble.then_some(pause::Trouble::Kill)),
        _ => Verdict::NotRun,
    };
    std::process::exit(match verdict {
        Verdict::Held => HELD,
        Verdict::Broken => BROKEN,
        Verdict::NotRun => NOT_RUN,
    });
}
