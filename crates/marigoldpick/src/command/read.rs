//! Implements `status` and `explain`, which print the state of an entry or a task.

use std::ffi::OsStr;
use std::path::Path;

use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::name::Name;
use marigoldpick_core::operator::Problem;

use super::{Outcome, no_words, print_json, single_word, usage_error};
use crate::arguments;
use crate::client::Client;
use crate::{files, job_history, render};

pub(super) async fn status(arguments: &arguments::Status) -> Outcome {
    no_words(&arguments.words)?;
    let status = Client::new(&arguments.entry)?.status().await?;
    if arguments.json {
        print_json(&status);
    } else {
        print_line!("{}", render::status(&status).trim_end());
    }
    Ok(Code::Done)
}

/// Prints the teams as each entry knows them; fails if none of the entries answers.
pub(super) async fn teams(arguments: &arguments::Teams) -> Outcome {
    no_words(&arguments.words)?;
    let client = Client::new(&arguments.entry)?;
    let mut last = None;
    let mut answered = false;
    for entry in client.entries() {
        match Client::of(vec![entry.clone()]).teams().await {
            Ok(overview) if arguments.json => print_json(&overview),
            Ok(overview) => print_line!("{}", render::teams(&overview).trim_end()),
            Err(problem) => {
                last = Some(problem);
                continue;
            }
        }
        answered = true;
    }
    match last {
        Some(problem) if !answered => Err(problem),
        _ => Ok(Code::Done),
    }
}

pub(super) async fn explain(arguments: &arguments::Explain) -> Outcome {
    if !arguments.log.is_empty() {
        return explain_from_logs(arguments);
    }
    let word = single_word(&arguments.words, "the task")?;
    let task: id::Task = word
        .parse()
        .map_err(|error| usage_error(&format!("'{word}': {error}")))?;
    let explain = Client::new(&arguments.entry)?.explain(&task).await?;
    if arguments.json {
        print_json(&explain);
    } else {
        print_line!("{}", render::explain(&explain).trim_end());
    }
    Ok(Code::Done)
}

/// Prints the history of a job from entries' log files.
fn explain_from_logs(arguments: &arguments::Explain) -> Outcome {
    let Some((job, files)) = arguments.words.split_last() else {
        return Err(usage_error("the id of a job is missing"));
    };
    let mut events = Vec::new();
    for file in arguments.log.iter().chain(files) {
        let stem = Path::new(file).file_stem().and_then(OsStr::to_str);
        let name = stem.and_then(|stem| Name::new(stem).ok());
        let name = name.ok_or_else(|| usage_error(&format!("'{file}' has no valid entry name")))?;
        events.extend(job_history::parse_log(&name, &files::read_log(file)?));
    }
    let history = job_history::of_job(events, job);
    if history.is_empty() {
        let message = format!("no line is about job '{job}'");
        return Err(Problem::new(Code::UnknownTask, message));
    }
    for event in &history {
        if arguments.json {
            print_json(event);
        } else {
            print_line!("{}", render::history_event(event));
        }
    }
    Ok(Code::Done)
}
