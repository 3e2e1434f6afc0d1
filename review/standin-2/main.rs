//! Stand-ins of a small deployment's store, minions and clients, and the scenarios of the cases.
//!
//! `standin SCENARIO FOLDER` starts the system's own processes, plays the scenario and writes `record.txt` into the
//! folder. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` it
//! plays the scenario without the disruption.

mod entry;
mod http;
mod json;
mod record;
mod scenario;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = words.as_slice() else {
        eprintln!("usage: standin SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&format!("{folder}/record.txt")) else {
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    record.line(&format!("scenario {scenario}, with the disruption: {trouble}"));
    let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let outcome = std::fs::create_dir_all(&dir)
        .map_err(|error| error.to_string())
        .and_then(|()| play(scenario, &dir, trouble, &record));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    match outcome {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in &broken {
                record.line(&format!("BROKEN {line}"));
                println!("BROKEN {line}");
            }
            ExitCode::from(1)
        }
        Err(why) => {
            record.line(&format!("the case couldn't run: {why}"));
            println!("the case couldn't run: {why}");
            ExitCode::from(2)
        }
    }
}

fn play(
    scenario: &str,
    dir: &Path,
    trouble: bool,
    record: &Arc<Record>,
) -> Result<Vec<String>, String> {
    match scenario {
        "schedule" => scenario::schedule(dir, trouble, record),
        "cancels" => scenario::cancels(dir, trouble, record),
        "revocation" => scenario::revocation(dir, trouble, record),
        _ => Err("no such scenario".to_owned()),
    }
}
