//! `status` and `explain`: what an entry knows.

use std::ffi::OsStr;
use std::path::Path;

use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::name::Name;
use marigoldpick_core::operator::Problem;

use super::{Outcome, none, only, print_json, usage};
use crate::arguments;
use crate::client::Client;
use crate::{files, render, story};

pub(super) async fn status(arguments: &arguments::Status) -> Outcome {
    none(&arguments.words)?;
    let status = Client::new(&arguments.entry)?.status().await?;
    if arguments.json {
        print_json(&status);
    } else {
        say!("{}", render::status(&status).trim_end());
    }
    Ok(Code::Done)
}

pub(super) async fn explain(arguments: &arguments::Explain) -> Outcome {
    if !arguments.log.is_empty() {
        return tell(arguments);
    }
    let word = only(&arguments.words, "the task")?;
    let task: id::Task = word
        .parse()
        .map_err(|error| usage(&format!("'{word}': {error}")))?;
    let explain = Client::new(&arguments.entry)?.explain(&task).await?;
    if arguments.json {
        print_json(&explain);
    } else {
        say!("{}", render::explain(&explain).trim_end());
    }
    Ok(Code::Done)
}

/// Tells what the log files say of a job.
fn tell(arguments: &arguments::Explain) -> Outcome {
    let Some((job, files)) = arguments.words.split_last() else {
        return Err(usage("the id of a job is missing"));
    };
    let mut events = Vec::new();
    for file in arguments.log.iter().chain(files) {
        let stem = Path::new(file).file_stem().and_then(OsStr::to_str);
        let name = stem.and_then(|stem| Name::new(stem).ok());
        let name = name.ok_or_else(|| usage(&format!("'{file}' has no name of an entry")))?;
        events.extend(story::read(&name, &files::read_log(file)?));
    }
    let story = story::tell(events, job);
    if story.is_empty() {
        let message = format!("no line is about job '{job}'");
        return Err(Problem::new(Code::UnknownTask, message));
    }
    for event in &story {
        if arguments.json {
            print_json(event);
        } else {
            say!("{}", render::story(event));
        }
    }
    Ok(Code::Done)
}
