//! Plays the scripts of the review: `standin CASE FOLDER`, with `TROUBLE=0` for a play without the disruption.
//!
//! Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod case;
mod http;
mod json;
mod minion;
mod record;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {name}, disruption: {trouble}"));
    let verdict = match name.as_str() {
        "silent-watch" => case::silent_watch(&record, trouble),
        "many-ends" => case::many_ends(&record, trouble),
        "long-schedule" => case::long_schedule(&record, trouble),
        "outage-restart" => case::outage_restart(&record, trouble),
        "removed-route" => case::removed_route(&record, trouble),
        "slow-link" => case::slow_link(&record, trouble),
        "unlisted" => case::unlisted(&record, trouble),
        "late-write" => case::late_write(&record, trouble),
        _ => None,
    };
    let (code, text) = match verdict {
        Some(true) => (1, "the rule was broken"),
        Some(false) => (0, "the rule held"),
        None => (2, "the case could not run"),
    };
    record.line(text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
